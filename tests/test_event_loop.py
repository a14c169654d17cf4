"""The event loop: priorities, handlers and timers that raise, descriptors used again."""

import socket
import time
import unittest
from types import SimpleNamespace

from tests import platform_rig as rig
from tests.front_end_rig import LoopCase
from wickdyke.transport import event_loop
from wickdyke.transport.event_loop import Priority


class Loops(LoopCase):
    """Handlers made for the purpose, on socket pairs with something to read."""

    def handler(self, act, priority=Priority.NORMAL):
        mine, theirs = socket.socketpair()
        self.addCleanup(mine.close)
        self.addCleanup(theirs.close)
        theirs.send(b"x")
        made = SimpleNamespace(
            priority=priority,
            readable=lambda: act(mine),
            writable=lambda: None,
            broken=lambda: (self.loop.remove(mine), self.recorded.append("broken")),
        )
        self.loop.add(mine, made)
        return made

    def test_who_floods_does_not_keep_workers_waiting(self):
        for _ in range(20):
            self.handler(lambda sock: (time.sleep(0.02), self.recorded.append("client")))  # always more to read
        self.handler(lambda sock: self.recorded.append("worker"), priority=Priority.HIGH)
        for _ in range(3):
            self.loop.run_once(10.0, lambda: self.recorded.append("desk"))
        self.assertEqual(self.recorded, ["worker", "desk", "client"] * 3)

    def test_one_that_breaks_ends_alone(self):
        def breaks(sock):
            raise KeyError("unforeseen")

        faults = []
        self.loop.on_error = faults.append
        self.handler(breaks)
        self.handler(lambda sock: (sock.recv(1), self.recorded.append("read")))
        self.loop.call_at(0.0, breaks, None)
        self.until(lambda: len(self.recorded) == 2)
        self.assertEqual((sorted(self.recorded), len(faults)), (["broken", "read"], 2))
        self.assertEqual(len(self.loop.handlers), 1)


class Timers(unittest.TestCase):
    """Repeated timers that raise, and descriptors used again within an iteration."""

    def test_what_comes_again_comes_again_after_it_failed(self):
        faults, calls = [], []
        made = event_loop.EventLoop(faults.append)
        self.addCleanup(made.close)

        def fails():
            calls.append(1)
            raise KeyError("unforeseen")

        made.call_every(0.0, fails)
        ends = time.monotonic() + rig.LONG
        while len(calls) < 3 and time.monotonic() < ends:
            made.run_once(1.0, lambda: None)
        self.assertEqual((len(calls), len(faults)), (3, 3))

    def test_a_number_that_is_used_again_within_an_iteration(self):
        """One that is served ends another and makes a new socket, which gets its number: it is told nothing."""
        made, told = event_loop.EventLoop(), []
        self.addCleanup(made.close)
        pairs = [socket.socketpair() for _ in range(2)]
        self.addCleanup(lambda: [end.close() for pair in pairs for end in pair])
        fresh = []

        def serve_one(at):
            mine = pairs[at][0]
            other = pairs[1 - at][0]
            mine.recv(1)
            number = other.fileno()
            if fresh or number < 0:
                return
            made.remove(other)
            other.close()
            new = socket.socket()
            self.addCleanup(new.close)
            self.assertEqual(new.fileno(), number)
            fresh.append(new)
            made.add(
                new,
                SimpleNamespace(
                    priority=event_loop.Priority.HIGH,
                    readable=lambda: told.append("read"),
                    writable=lambda: told.append("written"),
                    broken=lambda: None,
                ),
                write=False,
            )

        for at in range(2):
            pairs[at][1].send(b"x")
            made.add(
                pairs[at][0],
                SimpleNamespace(
                    priority=event_loop.Priority.HIGH,
                    readable=lambda at=at: serve_one(at),
                    writable=lambda: None,
                    broken=lambda: None,
                ),
            )
        made.run_once(10.0, lambda: None)
        self.assertEqual((len(fresh), told), (1, []))


if __name__ == "__main__":
    unittest.main()

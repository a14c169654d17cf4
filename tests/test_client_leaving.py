"""Clients that leave, and attempts that outlive their requests: nothing is sent for them and nothing is kept."""

import contextlib
import gc
import socket
import struct
import unittest
import weakref
from unittest.mock import Mock

from tests import platform_rig as rig
from tests.front_end_rig import A, B, FrontEndCase, FullListener, reset
from wickdyke.gateway.answers import Success
from wickdyke.gateway.events import ClientClosed, EndpointsReceived


class ClientLeaving(FrontEndCase):
    """Clients that leave before, during and after an attempt."""

    def settings(self, **limits):
        return {**rig.SETTINGS, "limits": {**rig.SETTINGS["limits"], **limits}}

    def test_a_request_that_came_to_one_that_is_to_make_room(self):
        """All places are taken, and the one of least use has just asked, unread: it is read, and another goes."""
        serving = self.front_end(self.worker().address)
        serving.client_server.connection_limit = 3
        clients = [self.client() for _ in range(3)]
        for at, client in enumerate(clients):
            client.send(rig.alive(1))
            self.answer(client)
            next(c for c in serving.client_server.clients.values() if c.number == at + 1).last_used_at = float(at)
        read, asked = serving.client_server.readable, []

        def accept():  # between the kernel's word of the new connection and its being taken
            if not asked:
                clients[0].send(rig.dispatch(2, rig.fields(A), b"a"))
                asked.append(True)
            read()

        serving.client_server.readable = accept
        more = self.client()
        more.send(rig.alive(1))
        self.assertEqual(self.answer(clients[0]), (2, "answer", b"did a"))
        self.assertEqual(self.answer(more), (1, "good", b""))
        self.assertEqual(self.answer(clients[1])[1], "closed")

    def test_what_has_ended_is_free_without_the_collector(self):
        """Connections of clients and workers that have ended are gone at once: the collector comes rarely."""
        serving = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A), b"a"))
        self.answer(client)
        upstream = serving.coordinator.workers.clients["w0"]
        kept = [
            weakref.ref(thing)
            for thing in (upstream.connections[0], next(iter(serving.client_server.clients.values())))
        ]
        gc.disable()
        self.addCleanup(gc.enable)
        client.close()
        self.until(lambda: not serving.client_server.clients)
        upstream.connections[0].end("idle")
        serving.loop.timers.heap.clear()  # when a connection would have been late
        self.assertEqual([each() for each in kept], [None, None])

    def test_who_leaves_while_its_attempt_waits_for_a_connection(self):
        """(how it leaves, whether attempts may be cancelled): nothing of it goes out when the connection is there."""
        for cancelling in (True, False):
            for how in ("cancel", "close", "reset", "close after what can't be read"):
                with self.subTest(how=how, cancelling=cancelling):
                    full = FullListener(self)
                    serving = self.front_end(
                        full.address, settings=self.settings(cancelling=cancelling, **{"dial-timeout": 60000000})
                    )
                    self.discovery_heard()
                    client = self.client()
                    client.send(rig.dispatch(1, rig.fields(A, "pay"), b"x"))
                    upstream = serving.coordinator.workers.clients["w0"]
                    self.until(lambda upstream=upstream: any(conn.pending_commands for conn in upstream.connections))
                    if how == "cancel":
                        client.send(rig.cancel(2, 1))
                    elif how == "reset":
                        reset(client.sock)
                    else:
                        if how != "close":
                            client.send(struct.pack(">i", -1))
                            self.until(lambda s=serving: any(c.ending for c in s.client_server.clients.values()))
                            client.sock.shutdown(socket.SHUT_WR)  # an end, with no reset for what it has not read
                        else:
                            client.close()
                    self.until(lambda s=serving: s.coordinator.counts["clients_gone"], "its leaving")
                    serving.run_once()
                    self.assertEqual(serving.coordinator.requests.by_id, {})
                    self.assertFalse(any(conn.commands_in_flight for conn in upstream.connections))
                    self.assertEqual(self.faults(), [])
                    self.end()

    def test_a_drain_while_an_attempt_waits_for_a_connection(self):
        """(told how) -> it does not go there when the connection is up, and is answered by another worker."""
        for state in ("DRAINING", "DELETED"):
            with self.subTest(state):
                full, other = FullListener(self), self.worker()
                serving = self.front_end(full.address, settings=self.settings(**{"dial-timeout": 60000000}))
                self.discovery_heard()
                client = self.client()
                client.send(rig.dispatch(1, rig.fields(A, "pay"), b"x"))
                upstream = serving.coordinator.workers.clients["w0"]
                self.until(lambda upstream=upstream: any(conn.pending_commands for conn in upstream.connections))
                serving.coordinator.post(
                    EndpointsReceived(
                        [
                            rig.event(
                                2, rig.instance("w0", full.address, lifecycle=state), rig.instance("w9", other.address)
                            )
                        ]
                    )
                )
                self.assertEqual(self.answer(client), (1, "answer", b"did x"))
                self.assertFalse(any(conn.commands_in_flight for conn in upstream.connections))
                self.end()

    def test_between_two_attempts(self):
        """The worker answers that it is full as the client closes: no second attempt once both were handled."""
        serving = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A), b"slow"))
        self.at_worker(1)
        client.close()
        gone = []
        take = serving.client_server.post
        serving.client_server.post = lambda event: (gone.append(type(event)), take(event))
        self.until(lambda: ClientClosed in gone)
        sock, parts = self.held.pop()
        with contextlib.suppress(OSError):  # ended with the attempt
            sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
        for _ in range(4):
            serving.run_once()
        self.assertEqual((self.held, serving.coordinator.requests.by_id), ([], {}))

    def test_a_reset_under_an_answer(self):
        """The client's reset has come, unread, when the answer is written: its connection ends alone."""
        serving = self.front_end(self.worker().address)
        bad, good = self.client(), self.client()
        bad.send(rig.dispatch(1, rig.fields(A), b"slow"))
        self.at_worker(1)
        good.send(rig.dispatch(1, rig.fields(B), b"slow"))
        self.at_worker(2)
        reset(bad.sock)
        self.answer_held()
        self.answer_held(b"second")
        self.assertEqual(self.answer(good), (1, "answer", b"second"))
        self.until(lambda: len(serving.client_server.clients) == 1)
        self.assertEqual(
            (serving.client_server.open_requests, serving.coordinator.requests.by_id, self.faults()), ({}, {}, [])
        )

    def test_nothing_more_of_a_request_that_was_answered(self):
        """A attempt that has not begun as another one answers never goes out."""
        command = Mock()
        command.worker_client.withdraw_unsent.return_value = True
        self.front_end(self.worker().address)
        ask = Mock(commands={"one": command}, router_id=None)
        ask.succeed.__name__ = "succeed"
        self.serving.coordinator.requests.answer(ask, Success(b"", 1))
        command.worker_client.withdraw_unsent.assert_called_once_with(command)


class WithoutCancel(FrontEndCase):
    """Attempts past their time where workers accept no cancel."""

    def test_an_attempt_over_its_time_is_left_alone_and_its_place_is_free_later(self):
        limits = {**rig.SETTINGS["limits"], "cancelling": False}
        worker = self.worker()
        serving = self.front_end(worker.address, settings={**rig.SETTINGS, "limits": limits})
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A, "pay", d="400"), b"slow"))
        self.assertEqual(self.answer(client)[1], "fault")
        upstream = serving.coordinator.workers.clients["w0"]
        self.assertEqual((len(self.held), [conn.commands_in_flight for conn in upstream.connections]), (1, [1]))
        self.until(lambda: not any(conn.commands_in_flight for conn in upstream.connections), "its place")
        self.assertEqual(
            (worker.received(b"abort"), serving.coordinator.requests.by_id, upstream.connections), ([], {}, [])
        )


if __name__ == "__main__":
    unittest.main()

"""The platform's configuration, and its front end as a process."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from types import SimpleNamespace

from tests import platform_rig as rig
from wickdyke.platform import configuration


class Config(unittest.TestCase):
    """Invalid configurations, and the figures derived from valid ones."""

    def test_bad_ones_give_one_line_and_2(self):
        """(what is wrong) -> words of the line."""
        good = rig.config("127.0.0.1:1", "127.0.0.1:2", rig.instance("a", "127.0.0.1:3"))
        lanes = [{**rig.SETTINGS["lanes"][0], "repeat": "perhaps"}]
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            for name, text, words in (
                ("no file", None, "No such file"),
                ("no JSON", "{", "expected JSON"),
                ("a list", "[]", "an object"),
                ("no bus", {**good, "bus": None}, "bus is None, expected HOST:PORT"),
                ("port", {**good, "listen": "127.0.0.1:99999"}, "listen is"),
                ("seed", {**good, "seed": "xyz"}, "seed is 'xyz', expected hex digits"),
                ("limit", {**good, "limits": {"memory_mb": "64"}}, "limits.memory_mb is '64'"),
                ("settings", {**good, "settings": []}, "settings is list"),
                ("known", {**good, "known": {}}, "known.batch is None"),
                ("event", {**good, "known": {"batch": [7]}}, "known.batch has"),
                ("missing", {**good, "settings": {"lanes": []}}, "is missing"),
                ("word", {**good, "settings": {**rig.SETTINGS, "lanes": lanes}}, "lanes.0.repeat is 'perhaps'"),
            ):
                with self.subTest(name):
                    if text is not None:
                        with open(path, "w") as out:
                            out.write(text if isinstance(text, str) else json.dumps(text))
                    ran = subprocess.run(
                        [sys.executable, "-m", "wickdyke.platform"],
                        capture_output=True,
                        text=True,
                        env={**os.environ, "GW_CONFIG": path, "GW_LISTEN": ""},
                        timeout=60,
                    )
                    self.assertEqual((ran.returncode, ran.stderr.count("\n")), (2, 1), ran.stderr)
                    self.assertIn(words, ran.stderr)

    def test_figures(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            with open(path, "w") as out:
                json.dump(rig.config("127.0.0.1:1", "127.0.0.1:2"), out)
            config = configuration.read(path)
        self.assertEqual(
            (
                [m.effect for m in config.request_classes],
                config.request_classes[0].latency_objective,
                config.instance.count,
                config.instance.report_fields,
                config.sockets,
            ),
            (["idempotent", "side-effecting"], 500.0, 2, ("utilization", "in_flight"), 256),
        )
        self.assertEqual(config.bounds.open_requests, 1024)  # of 64 MB
        self.assertEqual(
            (config.attempt_limits.cancel, config.attempt_limits.hedging, config.prewarm_quota.free, config.kinds),
            (True, False, 6.0, ("std", "slow")),
        )


class Function(unittest.TestCase):
    """The program as the platform starts it."""

    def setUp(self):
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.path, self.listen = os.path.join(made.name, "config.json"), rig.free_address()

    def start(self, bus, *workers):
        self.write(bus, *workers)
        self.ran = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.platform"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "GW_CONFIG": self.path, "GW_LISTEN": self.listen},
        )
        self.addCleanup(self.ran.stderr.close)
        self.addCleanup(self.ran.wait)
        self.addCleanup(self.ran.kill)
        self.until("event=serving")

    def write(self, bus, *workers):
        with open(self.path + ".new", "w") as out:
            json.dump(
                rig.config(
                    self.listen, bus.address, *(rig.instance(f"w{n}", w.address) for n, w in enumerate(workers))
                ),
                out,
            )
        os.replace(self.path + ".new", self.path)

    def until(self, words):
        for line in self.ran.stderr:
            if words in line:
                return line
        self.fail(f"{words} never came")
        return None

    def made(self, thing):
        self.addCleanup(thing.close)
        return thing

    def wait(self, done):
        ends = time.monotonic() + rig.LONG
        while not done():
            self.assertLess(time.monotonic(), ends)
            time.sleep(0.01)

    def test_serves_follows_and_ends(self):
        bus, other = self.made(rig.Bus()), self.made(rig.Bus())
        slow = []

        def play(worker, sock, parts):
            if parts[0] == b"invoke" and parts[3] == b"slow":
                slow.append((sock, parts))
                return True
            return None

        one, two = self.made(rig.Worker(play)), self.made(rig.Worker(play))
        self.start(bus, one)
        client = self.made(rig.Client(self.listen))
        client.send(rig.alive(1))
        self.assertEqual(client.answer(), (1, "good", b""))
        client.send(rig.dispatch(2, rig.fields(), b"a"))
        self.assertEqual(client.answer(), (2, "answer", b"did a"))
        _, ident, told, body = one.received(b"invoke")[0]
        given = dict(pair.split(b"=") for pair in told.split(b","))
        self.assertEqual(
            (ident, given[b"lane"], given[b"name"], body), (b"9b1f03aa5c7e2d41", b"look", b"7f3a9c21e0b4d655", b"a")
        )
        self.assertTrue(1300 < int(given[b"ttl"]) <= 1500)
        # the list: half an event is thrown away, and asked for again where it was
        self.wait(lambda: bus.offsets == [1])
        bus.send_raw(b'id: 2\ndata: {"offset": 2, "topo')
        bus.readers[-1].shutdown(socket.SHUT_RDWR)
        self.wait(lambda: bus.offsets == [1, 1])
        bus.event(rig.event(2, rig.instance("w0", one.address, lifecycle="DELETED"), rig.instance("w9", two.address)))
        self.until("worker=w9")
        client.send(rig.dispatch(3, rig.fields("a" * 16), b"b"))
        self.assertEqual(client.answer(), (3, "answer", b"did b"))
        self.assertEqual(len(two.received(b"invoke")), 1)
        # a new configuration: one that can't be used leaves the old, a good one is followed with the numbers going on
        with open(self.path, "w") as out:
            out.write("{")
        self.ran.send_signal(signal.SIGHUP)
        self.until("configuration unusable")
        self.write(other, one)
        self.ran.send_signal(signal.SIGHUP)
        self.wait(lambda: other.offsets == [2])
        # the end: what is held is answered, what comes within the grace too, and alive says no
        client.send(rig.dispatch(4, rig.fields("b" * 16), b"slow"))
        self.wait(lambda: slow)
        self.ran.send_signal(signal.SIGTERM)
        self.until("event=stopping")
        late = self.made(rig.Client(self.listen))
        late.send(rig.alive(1) + rig.dispatch(2, rig.fields("c" * 16), b"c"))
        self.assertEqual([late.answer(), late.answer()], [(1, "bad", b""), (2, "answer", b"did c")])
        sock, parts = slow[0]
        time.sleep(1.0)  # past the grace: it does not end while an answer is owed
        self.assertIsNone(self.ran.poll())
        sock.sendall(rig.bulk(parts[1], b"ACK", b"-", b"at last"))
        self.assertEqual(client.answer(), (4, "answer", b"at last"))
        self.assertEqual(self.ran.wait(rig.LONG), 0)

    def test_a_silent_bus_is_asked_again_while_requests_go_on(self):
        bus = self.made(rig.Bus())
        self.start(bus, self.made(rig.Worker()))
        self.wait(lambda: len(bus.offsets) >= 2)  # says nothing any more: no pulse
        self.assertEqual(bus.offsets[:2], [1, 1])

    def test_given_up_at_once_without_a_worker(self):
        """An RPC that can't go anywhere is denied when the module gives up, not near its deadline."""
        self.start(self.made(rig.Bus()))
        client = self.made(rig.Client(self.listen))
        began = time.monotonic()
        client.send(rig.dispatch(1, rig.fields(d="4000")))
        self.assertEqual(client.answer()[1], "shed")
        self.assertLess(time.monotonic() - began, 2.0)

    def test_a_taken_address(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            self.listen = f"127.0.0.1:{taken.getsockname()[1]}"
            self.write(SimpleNamespace(address="127.0.0.1:9"))
            ran = subprocess.run(
                [sys.executable, "-m", "wickdyke.platform"],
                capture_output=True,
                text=True,
                env={**os.environ, "GW_CONFIG": self.path, "GW_LISTEN": self.listen},
                timeout=60,
            )
        self.assertEqual(ran.returncode, 2)
        self.assertIn("expected an address that is free", ran.stderr.splitlines()[-1])


if __name__ == "__main__":
    unittest.main()

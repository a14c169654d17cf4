"""The platform's configuration, and its front end as a process."""

import errno
import itertools
import json
import math
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from tests import platform_rig as rig
from wickdyke.platform import configuration, service


class ConfigurationTest(unittest.TestCase):
    """Invalid configurations, and the values of a valid one."""

    def test_an_invalid_configuration_gives_one_line_and_exit_code_2(self):
        """Each case: the content of the file, and text that the error line contains."""
        valid = rig.config("127.0.0.1:1", "127.0.0.1:2", rig.instance("a", "127.0.0.1:3"))
        invalid_classes = [{**rig.SETTINGS["lanes"][0], "repeat": "perhaps"}]
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            for name, text, expected in (
                ("no file", None, "No such file"),
                ("no JSON", "{", "expected JSON"),
                ("a list", "[]", "an object"),
                ("no bus", {**valid, "bus": None}, "bus is None, expected HOST:PORT"),
                ("port", {**valid, "listen": "127.0.0.1:99999"}, "listen is"),
                ("seed", {**valid, "seed": "xyz"}, "seed is 'xyz', expected hex digits"),
                ("limit", {**valid, "limits": {"memory_mb": "64"}}, "limits.memory_mb is '64'"),
                (
                    "infinite memory",
                    {**valid, "limits": {**valid["limits"], "memory_mb": math.inf}},
                    "memory_mb is inf",
                ),
                ("infinite sockets", {**valid, "limits": {**valid["limits"], "sockets": math.inf}}, "sockets is inf"),
                ("settings", {**valid, "settings": []}, "settings is list"),
                ("known", {**valid, "known": {}}, "known.batch is None"),
                ("event", {**valid, "known": {"batch": [7]}}, "known.batch has"),
                ("missing", {**valid, "settings": {"lanes": []}}, "is missing"),
                (
                    "word",
                    {**valid, "settings": {**rig.SETTINGS, "lanes": invalid_classes}},
                    "lanes.0.repeat is 'perhaps'",
                ),
            ):
                with self.subTest(name):
                    if text is not None:
                        with open(path, "w") as out:
                            out.write(text if isinstance(text, str) else json.dumps(text))
                    process = subprocess.run(
                        [sys.executable, "-m", "wickdyke.platform"],
                        capture_output=True,
                        text=True,
                        env={**os.environ, "GW_CONFIG": path, "GW_LISTEN": ""},
                        timeout=60,
                    )
                    self.assertEqual((process.returncode, process.stderr.count("\n")), (2, 1), process.stderr)
                    self.assertIn(expected, process.stderr)

    def test_a_large_limit_of_descriptors_does_not_hold_up_the_start(self):
        """Guards against a start that looks at each descriptor below a limit of millions (issue 65)."""
        looks = itertools.count()

        def refuse(number):
            next(looks)
            raise OSError(errno.EBADF, "Bad file descriptor")

        with patch.object(service.os, "fstat", refuse):
            self.assertEqual(service.open_descriptors(1 << 40), 0)
        self.assertEqual(next(looks), service.MAX_DESCRIPTORS_LOOKED_AT)

    def test_values_of_a_valid_configuration(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            with open(path, "w") as out:
                json.dump(rig.config("127.0.0.1:1", "127.0.0.1:2"), out)
            config = configuration.read(path)
        self.assertEqual(
            (
                [request_class.effect for request_class in config.request_classes],
                config.request_classes[0].latency_objective,
                config.instance.count,
                config.instance.report_fields,
                config.sockets,
            ),
            (["idempotent", "side-effecting"], 500.0, 2, ("utilization", "in_flight"), 256),
        )
        self.assertEqual(config.bounds.open_requests, 1024)  # for 64 MB of memory
        self.assertEqual(
            (config.attempt_limits.cancel, config.attempt_limits.hedging, config.prewarm_quota.free, config.kinds),
            (True, False, 6.0, ("std", "slow")),
        )


class FrontEndProcessTest(unittest.TestCase):
    """A front end as a process, started as the platform starts it."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.listen = os.path.join(folder.name, "config.json"), rig.free_address()

    def start(self, bus, *workers):
        self.write(bus, *workers)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.platform"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "GW_CONFIG": self.path, "GW_LISTEN": self.listen},
        )
        self.addCleanup(self.process.stderr.close)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.until("event=serving")

    def write(self, bus, *workers):
        with open(self.path + ".new", "w") as out:
            json.dump(
                rig.config(
                    self.listen,
                    bus.address,
                    *(rig.instance(f"w{index}", worker.address) for index, worker in enumerate(workers)),
                ),
                out,
            )
        os.replace(self.path + ".new", self.path)

    def until(self, expected):
        for line in self.process.stderr:
            if expected in line:
                return line
        self.fail(f"{expected} was not logged")
        return None

    def close_at_end(self, closeable):
        self.addCleanup(closeable.close)
        return closeable

    def wait(self, condition):
        deadline = time.monotonic() + rig.TIMEOUT
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)

    def test_serving_following_discovery_and_shutting_down(self):
        bus, other = self.close_at_end(rig.Bus()), self.close_at_end(rig.Bus())
        unanswered = []

        def hold_slow(worker, sock, parts):
            if parts[0] == b"invoke" and parts[3] == b"slow":
                unanswered.append((sock, parts))
                return True
            return None

        old, new = (self.close_at_end(rig.Worker(hold_slow)), self.close_at_end(rig.Worker(hold_slow)))
        self.start(bus, old)
        client = self.close_at_end(rig.Client(self.listen))
        client.send(rig.alive(1))
        self.assertEqual(client.answer(), (1, "good", b""))
        client.send(rig.dispatch(2, rig.fields(), b"a"))
        self.assertEqual(client.answer(), (2, "answer", b"did a"))
        _, ident, raw_fields, body = old.received(b"invoke")[0]
        fields = dict(pair.split(b"=") for pair in raw_fields.split(b","))
        self.assertEqual(
            (ident, fields[b"lane"], fields[b"name"], body), (b"9b1f03aa5c7e2d41", b"look", b"7f3a9c21e0b4d655", b"a")
        )
        self.assertTrue(1300 < int(fields[b"ttl"]) <= 1500)
        # an incomplete event is dropped, and requested again on the next connection
        self.wait(lambda: bus.offsets == [1])
        bus.send_raw(b'id: 2\ndata: {"offset": 2, "topo')
        bus.readers[-1].shutdown(socket.SHUT_RDWR)
        self.wait(lambda: bus.offsets == [1, 1])
        bus.event(rig.event(2, rig.instance("w0", old.address, lifecycle="DELETED"), rig.instance("w9", new.address)))
        self.until("worker=w9")
        client.send(rig.dispatch(3, rig.fields("a" * 16), b"b"))
        self.assertEqual(client.answer(), (3, "answer", b"did b"))
        self.assertEqual(len(new.received(b"invoke")), 1)
        # an invalid configuration leaves the old one in force; a valid one is applied, and event numbers continue
        with open(self.path, "w") as out:
            out.write("{")
        self.process.send_signal(signal.SIGHUP)
        self.until("configuration unusable")
        self.write(other, old)
        self.process.send_signal(signal.SIGHUP)
        self.wait(lambda: other.offsets == [2])
        # shutdown: open requests and those within the grace period are answered, and alive reports no service
        client.send(rig.dispatch(4, rig.fields("b" * 16), b"slow"))
        self.wait(lambda: unanswered)
        self.process.send_signal(signal.SIGTERM)
        self.until("event=stopping")
        late = self.close_at_end(rig.Client(self.listen))
        late.send(rig.alive(1) + rig.dispatch(2, rig.fields("c" * 16), b"c"))
        self.assertEqual([late.answer(), late.answer()], [(1, "bad", b""), (2, "answer", b"did c")])
        sock, parts = unanswered[0]
        time.sleep(1.0)  # after the grace period the process waits for the open request
        self.assertIsNone(self.process.poll())
        sock.sendall(rig.bulk(parts[1], b"ACK", b"-", b"at last"))
        self.assertEqual(client.answer(), (4, "answer", b"at last"))
        self.assertEqual(self.process.wait(rig.TIMEOUT), 0)

    def test_a_silent_discovery_is_reconnected(self):
        bus = self.close_at_end(rig.Bus())
        self.start(bus, self.close_at_end(rig.Worker()))
        self.wait(lambda: len(bus.offsets) >= 2)  # the stream sends no heartbeat
        self.assertEqual(bus.offsets[:2], [1, 1])

    def test_a_request_without_a_worker_is_rejected_early(self):
        """A request that no worker can serve is rejected long before its deadline."""
        self.start(self.close_at_end(rig.Bus()))
        client = self.close_at_end(rig.Client(self.listen))
        started_at = time.monotonic()
        client.send(rig.dispatch(1, rig.fields(d="4000")))
        self.assertEqual(client.answer()[1], "shed")
        self.assertLess(time.monotonic() - started_at, 2.0)

    def test_an_address_in_use(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.listen = f"127.0.0.1:{listener.getsockname()[1]}"
            self.write(SimpleNamespace(address="127.0.0.1:9"))
            process = subprocess.run(
                [sys.executable, "-m", "wickdyke.platform"],
                capture_output=True,
                text=True,
                env={**os.environ, "GW_CONFIG": self.path, "GW_LISTEN": self.listen},
                timeout=60,
            )
        self.assertEqual(process.returncode, 2)
        self.assertIn("expected an address that is free", process.stderr.splitlines()[-1])


if __name__ == "__main__":
    unittest.main()

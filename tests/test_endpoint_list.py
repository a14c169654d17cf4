"""The endpoint list of the JSON-RPC gateway, which merges its rows with the hellos of the workers."""

import os
import tempfile
import unittest

from wickdyke.config import endpoint_file
from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.jsonrpc.endpoint_list import EndpointList
from wickdyke.protocol.worker_messages import WorkerHello


def row(state="ready", start=0, address="a", name="w"):
    """Returns a row of the endpoint list."""
    return EndpointRow(name, address, "z2", "k2", 1, 4.0, state, start)


def hello(start, up=0.0, draining=False):
    """Returns a hello of worker w."""
    return WorkerHello(1, "w", start, up, draining)


class RowAddresses(unittest.TestCase):
    """Relative addresses in rows of the list."""

    def test_relative_addresses(self):
        """(address in the file) -> the address that the gateway connects to, for any working directory."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            for listed, expected in (
                ("run/w.sock", os.path.join(folder, "run/w.sock")),
                ("/run/w.sock", "/run/w.sock"),
                ("127.0.0.1:70", "127.0.0.1:70"),
                ("localhost:70", "localhost:70"),
            ):
                with self.subTest(listed=listed):
                    with open(os.path.join(folder, "l.sexp"), "w") as sink:
                        sink.write(f'(workers (worker "w" (address "{listed}")))')
                    self.assertEqual(endpoint_file.read_endpoints(sink.name)[0].address, expected)


class MergedEndpoints(unittest.TestCase):
    """Rows and hellos of a worker merged into one endpoint."""

    def test_one_worker(self):
        """(inputs with their times) -> (state, start time) of the endpoint that the last input changed, or None."""
        age = 100000.0
        for name, inputs, expected in (
            ("listed, no hello yet", [(0, "entries", [row()])], None),
            ("hello received", [(0, "entries", [row()]), (5, "connected", hello(1, age))], ("ready", 5 - age)),
            ("unreachable: counts as just started", [(0, "entries", [row()]), (9, "unreachable")], ("ready", 9)),
            ("still unreachable", [(0, "entries", [row()]), (9, "unreachable"), (20, "unreachable")], None),
            (
                "hello after it was unreachable",
                [(0, "entries", [row()]), (9, "unreachable"), (20, "connected", hello(1, 50))],
                ("ready", -30),
            ),
            (
                "reconnected, the same start",
                [(0, "entries", [row()]), (5, "connected", hello(1, age)), (9, "connected", hello(1, age + 4))],
                None,
            ),
            (
                "restarted, by its hello",
                [(0, "entries", [row()]), (5, "connected", hello(1, age)), (50, "connected", hello(2, 10))],
                ("ready", 40),
            ),
            (
                "restarted, by the list",
                [(0, "entries", [row(start=1)]), (5, "connected", hello(1, age)), (50, "entries", [row(start=2)])],
                ("ready", 50),
            ),
            (
                "restarted, by the list, then by its hello",
                [
                    (0, "entries", [row(start=1)]),
                    (5, "connected", hello(1, age)),
                    (50, "entries", [row(start=2)]),
                    (60, "connected", hello(2, 20)),
                ],
                None,
            ),
            (
                "a list that lags behind the hello",
                [
                    (0, "entries", [row(start=1)]),
                    (5, "connected", hello(1, age)),
                    (50, "connected", hello(2, 10)),
                    (60, "entries", [row(start=1)]),
                ],
                None,
            ),
            (
                "draining by the list",
                [(0, "entries", [row()]), (5, "connected", hello(1, age)), (9, "entries", [row("draining")])],
                ("draining", 5 - age),
            ),
            (
                "draining by its own report",
                [(0, "entries", [row()]), (5, "connected", hello(1, age)), (9, "draining")],
                ("draining", 5 - age),
            ),
            (
                "a row does not end a drain that the worker reported",
                [(0, "entries", [row()]), (5, "connected", hello(1, age)), (9, "draining"), (20, "entries", [row()])],
                None,
            ),
            (
                "a new start ends a drain that the worker reported",
                [
                    (0, "entries", [row()]),
                    (5, "connected", hello(1, age)),
                    (9, "draining"),
                    (20, "connected", hello(2, 0)),
                ],
                ("ready", 20),
            ),
            (
                "draining in its hello",
                [(0, "entries", [row()]), (5, "connected", hello(1, age, True))],
                ("draining", 5 - age),
            ),
            ("gone", [(0, "entries", [row()]), (5, "connected", hello(1, age)), (9, "entries", [])], ("gone", 5 - age)),
            (
                "gone by its state",
                [(0, "entries", [row()]), (5, "connected", hello(1, age)), (9, "entries", [row("gone")])],
                ("gone", 5 - age),
            ),
            ("gone before its hello", [(0, "entries", [row()]), (9, "entries", [])], None),
            ("hello once it is gone", [(0, "entries", [row()]), (9, "entries", []), (10, "connected", hello(1))], None),
            (
                "another address: another worker",
                [(0, "entries", [row()]), (5, "connected", hello(1, age)), (9, "entries", [row(address="b")])],
                ("gone", 5 - age),
            ),
        ):
            with self.subTest(case=name):
                endpoints = EndpointList(("z1", "z2"), ("k1", "k2"))
                changes = []
                for now, input_name, *more in inputs:
                    now = float(now)
                    match input_name:
                        case "entries":
                            changes = endpoints.apply(more[0], now).endpoints
                        case "connected":
                            changes = endpoints.hello("w", more[0], now)
                        case "unreachable":
                            changes = endpoints.unreachable("w", now)
                        case "draining":
                            changes = endpoints.draining("w")
                self.assertEqual([(c.state, c.started_at) for c in changes], [] if expected is None else [expected])
                for change in changes:
                    self.assertEqual((change.zone, change.kind, change.cell, change.size), (1, 1, 1, 4.0))


if __name__ == "__main__":
    unittest.main()

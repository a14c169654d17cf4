"""Who is there: what the list and the workers' own word make together."""

import os
import tempfile
import unittest

from wickdyke.config import endpoint_file
from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.jsonrpc.endpoint_list import EndpointList
from wickdyke.protocol.worker_messages import WorkerHello


def row(state="ready", start=0, address="a", name="w"):
    return EndpointRow(name, address, "z2", "k2", 1, 4.0, state, start)


def said(start, up=0.0, draining=False):
    return WorkerHello(1, "w", start, up, draining)


class Lists(unittest.TestCase):
    def test_addresses_hang_on_the_file(self):
        """(address as listed) -> where the gateway connects, wherever it was started."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            for listed, want in (
                ("run/w.sock", os.path.join(folder, "run/w.sock")),
                ("/run/w.sock", "/run/w.sock"),
                ("127.0.0.1:70", "127.0.0.1:70"),
                ("localhost:70", "localhost:70"),
            ):
                with self.subTest(listed=listed):
                    with open(os.path.join(folder, "l.sexp"), "w") as sink:
                        sink.write(f'(workers (worker "w" (address "{listed}")))')
                    self.assertEqual(endpoint_file.read_endpoints(sink.name)[0].address, want)


class Views(unittest.TestCase):
    def test_one_worker(self):
        """(inputs at times) -> the (state, born) passed on by the last of them; None for nothing."""
        far = 100000.0
        for name, inputs, want in (
            ("listed and not yet heard", [(0, "entries", [row()])], None),
            ("heard", [(0, "entries", [row()]), (5, "connected", said(1, far))], ("ready", 5 - far)),
            ("not to be reached: as just started", [(0, "entries", [row()]), (9, "unreachable")], ("ready", 9)),
            ("still not to be reached", [(0, "entries", [row()]), (9, "unreachable"), (20, "unreachable")], None),
            (
                "heard after all",
                [(0, "entries", [row()]), (9, "unreachable"), (20, "connected", said(1, 50))],
                ("ready", -30),
            ),
            (
                "connected anew, the same",
                [(0, "entries", [row()]), (5, "connected", said(1, far)), (9, "connected", said(1, far + 4))],
                None,
            ),
            (
                "restarted, told by itself",
                [(0, "entries", [row()]), (5, "connected", said(1, far)), (50, "connected", said(2, 10))],
                ("ready", 40),
            ),
            (
                "restarted, told by the list",
                [(0, "entries", [row(start=1)]), (5, "connected", said(1, far)), (50, "entries", [row(start=2)])],
                ("ready", 50),
            ),
            (
                "then by itself: no news",
                [
                    (0, "entries", [row(start=1)]),
                    (5, "connected", said(1, far)),
                    (50, "entries", [row(start=2)]),
                    (60, "connected", said(2, 20)),
                ],
                None,
            ),
            (
                "a list that lags behind its word",
                [
                    (0, "entries", [row(start=1)]),
                    (5, "connected", said(1, far)),
                    (50, "connected", said(2, 10)),
                    (60, "entries", [row(start=1)]),
                ],
                None,
            ),
            (
                "draining by the list",
                [(0, "entries", [row()]), (5, "connected", said(1, far)), (9, "entries", [row("draining")])],
                ("draining", 5 - far),
            ),
            (
                "draining by its word",
                [(0, "entries", [row()]), (5, "connected", said(1, far)), (9, "draining")],
                ("draining", 5 - far),
            ),
            (
                "the list does not undo its word",
                [(0, "entries", [row()]), (5, "connected", said(1, far)), (9, "draining"), (20, "entries", [row()])],
                None,
            ),
            (
                "its new start does",
                [
                    (0, "entries", [row()]),
                    (5, "connected", said(1, far)),
                    (9, "draining"),
                    (20, "connected", said(2, 0)),
                ],
                ("ready", 20),
            ),
            (
                "draining in its hello",
                [(0, "entries", [row()]), (5, "connected", said(1, far, True))],
                ("draining", 5 - far),
            ),
            ("gone", [(0, "entries", [row()]), (5, "connected", said(1, far)), (9, "entries", [])], ("gone", 5 - far)),
            (
                "gone by its state",
                [(0, "entries", [row()]), (5, "connected", said(1, far)), (9, "entries", [row("gone")])],
                ("gone", 5 - far),
            ),
            ("gone before it was heard", [(0, "entries", [row()]), (9, "entries", [])], None),
            ("heard when gone", [(0, "entries", [row()]), (9, "entries", []), (10, "connected", said(1))], None),
            (
                "another address: another worker",
                [(0, "entries", [row()]), (5, "connected", said(1, far)), (9, "entries", [row(address="b")])],
                ("gone", 5 - far),
            ),
        ):
            with self.subTest(case=name):
                endpoints = EndpointList(("z1", "z2"), ("k1", "k2"))
                changes = []
                for now, what, *more in inputs:
                    now = float(now)
                    match what:
                        case "entries":
                            changes = endpoints.apply(more[0], now).endpoints
                        case "connected":
                            changes = endpoints.hello("w", more[0], now)
                        case "unreachable":
                            changes = endpoints.unreachable("w", now)
                        case "draining":
                            changes = endpoints.draining("w")
                self.assertEqual([(c.state, c.started_at) for c in changes], [] if want is None else [want])
                for change in changes:
                    self.assertEqual((change.zone, change.kind, change.cell, change.size), (1, 1, 1, 4.0))


if __name__ == "__main__":
    unittest.main()

"""The fields of a request: tenants, idempotency keys, retries."""

import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import ASCII_A
from wickdyke.platform import requests, resp, thrift, worker_client, worker_command, worker_protocol
from wickdyke.routing.model import RequestClass


class TenantFields(unittest.TestCase):
    """Fields that other deployments have."""

    def test_fields(self):
        methods = {
            m.name: m
            for m in (
                RequestClass("look", "idempotent", "all", 0.0, 1.0, 0.0, 9.0, 1.0, 0.1),
                RequestClass("book", "tokened", "zone", 9.0, 1.0, 0.0, 9.0, 1.0, 0.1),
            )
        }

        def read(**more):
            given = {k: v for k, v in rig.fields(**more).items() if v is not None}
            return requests.check_request(
                thrift.Message("dispatch", 1, given, b"", 0), methods, ("north", "south")
            ).parameters

        call = read(
            t="north",
            h="396.5",
            r="1",
            k="2d071f1f7aeaaed654f62e293c13f6a0",
            c="book",
            tags="memory_mb:1483;lanes:2;load_ms:1238",
        )
        self.assertEqual(
            (call.work_ms, call.is_repeat, call.idempotency_key, call.load_ms),
            (396.5, True, "2d071f1f7aeaaed654f62e293c13f6a0", 1238.0),
        )
        self.assertEqual(
            (
                read(r="0").is_repeat,
                read(r="false").is_repeat,
                read(r="true").is_repeat,
                read().idempotency_key,
            ),
            (False, False, True, ""),
        )
        for more in (
            {"t": "west"},
            {"t": ""},
            {"h": "nan"},
            {"h": "-1"},
            {"h": ""},
            {"r": "maybe"},
            {"k": "a,b=c"},
            {"k": ""},
            {"k": "x" * 65},
            {"c": "book"},
            {"zz": "1"},
        ):
            with self.subTest(more), self.assertRaises(requests.InvalidRequestError):
                read(**more)

    def test_the_key_goes_on_to_the_worker(self):
        protocol = worker_protocol.PlatformWorkerProtocol(Mock(), worker_client.WorkerClientSettings(0.0, 0.0, ()), 9)
        for token, told in (("", b"lane=book,name=f,ttl=5"), ("k1", b"lane=book,name=f,ttl=5,dedupe=k1")):
            attempt = Mock()
            attempt.request.request_class.name, attempt.request.function.name = "book", "f"
            ask = SimpleNamespace(params=SimpleNamespace(ident=ASCII_A, idempotency_key=token, input=b"x"))
            # No time passes: the command has what is left by then.
            with (
                patch.object(worker_protocol, "clock", lambda: 1000.0),
                patch.object(worker_command, "clock", lambda: 1000.0),
            ):
                line = protocol.attempt_command(attempt, ask, 5.0).render()
            self.assertEqual(line, resp.command(b"invoke", ASCII_A, told, b"x"))


if __name__ == "__main__":
    unittest.main()

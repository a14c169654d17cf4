"""Tests of settings files, whose errors are reported with their location, and of the line and JSON-RPC decoders."""

import contextlib
import os
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wickdyke.config import address, endpoint_file, gateway_config, sexpr
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.protocol import jsonrpc
from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.routing.settings import TenantQuotas

VALID = """(gateway
  (listen (json-rpc "run/w.sock"))
  (workers (file "workers.sexp"))
  (zone "a") (zone "b") (at "b")
  (kind "quad" (memory 64 GB)) (kind "duo" (memory 900 MB))
  (method "m" (effect idempotent) (soft-deadline 750 ms) (deadline 4 s))
  (method "t" (effect tokened) (window 2 min) (scope cell) (soft-deadline 1 s) (deadline 4 s))
  (program "p*" (memory 1 GB)) (program "p/one" (memory 100 MB) (lanes 4) (load 1.5 s)) ; the exact name wins
  (stock (idle-life 8 s))
  (warmup (start-share 0.25) (ramp 14 s) (multiple 3) (window 1.5 s))
  (drain-grace 1 s))"""


class ConfigFiles(unittest.TestCase):
    """Valid and invalid settings files and endpoint files."""

    def read(self, text, reader=gateway_config.read):
        """Returns the result of the reader for a file with that text."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "f.sexp")
            with open(path, "wb") as sink:
                sink.write(text if isinstance(text, bytes) else text.encode())
            return reader(path)

    def test_valid_file_is_read(self):
        config = self.read(VALID)
        self.assertEqual((config.zones, config.kinds, config.instance.zone), (("a", "b"), ("quad", "duo"), 1))
        self.assertEqual(config.function_cache.memory, (65536.0, 900.0))
        self.assertEqual(
            (config.tenants, config.tenant_quotas, config.attempt_limits.idle_timeout), ((), TenantQuotas(()), 15000.0)
        )
        config_with_tenants = self.read(
            VALID.replace("(stock", '(tenant "a" (quota 5)) (tenant "b" (quota 2.5)) (stock')
        )
        self.assertEqual(
            (config_with_tenants.tenants, config_with_tenants.tenant_quotas), (("a", "b"), TenantQuotas((5.0, 2.5)))
        )
        self.assertEqual(
            [
                (request_class.name, request_class.effect, request_class.dedupe_window, request_class.scope)
                for request_class in config.request_classes
            ],
            [("m", "idempotent", 0.0, "all"), ("t", "tokened", 120000.0, "cell")],
        )
        for function, memory in (("p/one", 100.0), ("p/two", 1024.0), ("q", None)):
            function_settings = config.function_settings(function)
            self.assertEqual(function_settings and function_settings.memory, memory)
        self.assertTrue(config.listen.endswith("/run/w.sock") and os.path.isabs(config.listen))

    def test_each_error_is_reported_once_with_its_location(self):
        """(old text, new text) -> line:column and words of the only message."""
        for old, new, position, words in (
            ("750 ms", "750", "6:50", ("without a unit", "750 ms")),
            ("750 ms", "750 sec", "6:54", ("sec", "us, ms, s, min")),
            ("750 ms", "750 MS", "6:54", ("MS", "write ms")),
            ("750 ms", "5 s", "6:3", ("5000 ms", "before the deadline, 4000 ms")),
            ("64 GB", "64 gb", "5:27", ("gb", "write GB")),
            ("64 GB", '"64 GB"', "5:16", ("memory", "a size")),
            ("(effect idempotent)", "(effect idempotant)", "6:23", ("idempotant", "write idempotent")),
            ("(effect idempotent) ", "", "6:3", ("without effect",)),
            ("(effect idempotent)", "(effect idempotent) (effect idempotent)", "6:35", ("a second time", "line 6")),
            ("(window 2 min) ", "", "7:3", ("without a window", "(window TIME)")),
            ("(effect idempotent)", "(effect idempotent) (window 2 s)", "6:3", ("window only where tokened",)),
            ('method "t"', 'method "m"', "7:3", ("method m a second time", "line 6")),
            ('method "t"', "method t", "7:3", ("without a name",)),
            ('(zone "b")', "", "1:1", ('(at "b")', '"a"')),
            (' (at "b")', "", "1:1", ("2 zones", "(at")),
            ("(idle-life 8 s)", "(idle-lfe 8 s)", "9:10", ("did you mean idle-life",)),
            ("(start-share 0.25)", "(start-share 25)", "10:24", ("25", "0.001 to 1")),
            ("(lanes 4)", "(lanes 4.5)", "8:72", ("4.5", "whole number", "write 4")),
            ("(drain-grace 1 s)", "drain-grace", "11:3", ("drain-grace", "in brackets")),
            ('"run/w.sock"', '"192.168.0.1:80"', "2:21", ("loopback",)),
            ('"run/w.sock"', '"localhost:99999"', "2:21", ("port",)),
            ('"run/w.sock"', f'"{"x" * 120}/s"', "2:21", ("107 bytes",)),
            ('"run/w.sock"', '"workers.sexp"', "1:1", ("two different files",)),
            ("(drain-grace 1 s)", "(drain-grace 1 s) (seat (number 2) (of 2))", "11:21", ("2 of 2", "0 to 1")),
            ("(drain-grace 1 s)", "(drain-grace 1 s) (bounds (line 9 MB) (unread 2 MB))", "1:1", ("one line",)),
            ("(drain-grace 1 s)", "(drain-grace 1 s) (answer-way 4 s)", "6:3", ("answer-way, 4000",)),
            ("(drain-grace 1 s)", '(drain-grace 1 s) (tenant "a" (quota 5 s))', "11:33", ("one number",)),
            (
                "(drain-grace 1 s)",
                '(drain-grace 1 s) (tenant "a" (quota 5)) (tenant "a" (quota 6))',
                "11:44",
                ("tenant a a second time", "line 11"),
            ),
            ("(drain-grace 1 s)", "(drain-grace 1 s) (call-outs (idle-close 0 s))", "11:44", ("a time of 1",)),
            ("(drain-grace 1 s))", "(drain-grace 1 s)", "1:1", ("never closed",)),
            ("(drain-grace 1 s))", "(drain-grace 1 s)))", "11:21", (")", "no ( is open")),
            ('"m"', '"m', "6:11", ("ends on its line",)),
            ("(gateway", "(getaway", "1:1", ("getaway", "(gateway ...)")),
            ("0.25", "#25", "10:24", ("#",)),
        ):
            with self.subTest(old=old, new=new):
                text = VALID.replace(old, new, 1)
                self.assertNotEqual(text, VALID)
                with self.assertRaises(InvalidConfigError) as caught:
                    self.read(text)
                message = str(caught.exception)
                if "answer-way" in new:  # one error for each method
                    message = message.splitlines()[0]
                self.assertEqual(message.count("\n"), 0, message)
                self.assertIn(f"f.sexp:{position}: found ", message)
                for word in words:
                    self.assertIn(word, message)

    def test_all_errors_are_reported_together(self):
        text = VALID.replace("750 ms", "750").replace("idempotent", "idem").replace("8 s", "8").replace("14 s", "14")
        with self.assertRaises(InvalidConfigError) as caught:
            self.read(text)
        self.assertEqual([diagnostic.location.line for diagnostic in caught.exception.diagnostics], [6, 6, 9, 10])

    def test_unreadable_or_empty_file_is_rejected(self):
        for text, words in ((b"\xff(", "UTF-8"), ("", "nothing"), ("(" * 5000, "closed")):
            with self.subTest(text=text[:9]), self.assertRaisesRegex(InvalidConfigError, words):
                self.read(text)
        with self.assertRaisesRegex(InvalidConfigError, "no readable file"):
            gateway_config.read("/nowhere/at.all")

    def test_endpoint_file_reads_back_and_reports_errors(self):
        """A formatted list parses to the same rows; (invalid list) -> words of the message."""
        row = endpoint_file.EndpointRow('w "1"', "/run/w.sock", "a", "quad", 3, 2.5, "draining", 17)
        self.assertEqual(self.read(endpoint_file.format_endpoints([row]), endpoint_file.read_endpoints), [row])
        for text, words in (
            ('(workers (worker "w" (address "10.1.1.1:5")))', "loopback"),
            ('(workers (worker "w"))', "without address"),
            ('(workers (worker "w" (address "a/b")) (worker "w" (address "a/c")))', "worker w a second time"),
            ('(workers (worker "w" (address "a/b") (state redy)))', "write ready"),
            ('(workers (worker "w" (address "a/b") (zone "x")))', "one of a, b"),
            ("(workers) (workers)", "a second"),
        ):
            with self.subTest(text=text), self.assertRaisesRegex(InvalidConfigError, words):
                endpoint_file.parse_endpoints(sexpr.parse(text, "f"), "f", ("a", "b"))

    def test_only_local_addresses_are_accepted(self):
        for text, valid in (
            ("a/b", True),
            ("sock", True),
            ("127.0.0.1:80", True),
            ("127.9.9.9:80", True),
            ("[::1]:80", True),
            ("localhost:0", True),
            ("0.0.0.0:80", False),
            ("8.8.8.8:1", False),
            ("[::]:1", False),
            ("example.org:80", False),
            ("127.0.0.1:x", False),
        ):
            with self.subTest(address=text):
                try:
                    address.parse(text)
                    accepted = True
                except ValueError:
                    accepted = False
                self.assertEqual(accepted, valid)


class Decoders(unittest.TestCase):
    """The line and JSON-RPC decoders on split, long and random input."""

    def test_lines_are_split_and_bounded(self):
        """(received pieces) -> lines of at most 6 bytes."""
        for pieces, lines in (
            ([b"ab\ncd\n"], [b"ab", b"cd"]),
            ([b"a", b"b", b"\n"], [b"ab"]),
            ([b"\n\n \nx\n"], [b"x"]),
            ([b"ab\nc", b"d\nef"], [b"ab", b"cd"]),
            ([b"abcdef", b"\n"], [b"abcdef"]),
        ):
            with self.subTest(pieces=pieces):
                reader = LineReader(6)
                self.assertEqual([line for piece in pieces for line in reader.feed(piece)], lines)
        for pieces in ([b"abcdefg"], [b"abcd", b"efg"], [b"a\nabcdefg\n"], [b"abcdefg\n"]):
            with self.subTest(pieces=pieces), self.assertRaises(LineTooLongError):
                reader = LineReader(6)
                for piece in pieces:
                    list(reader.feed(piece))
        for pieces, lines in (([b"ab\ncd\nabcdefg\n"], [b"ab", b"cd"]), ([b"a", b"b\nabcdefg"], [b"ab"])):
            with self.subTest(pieces=pieces):
                reader = LineReader(6)
                received = []
                with self.assertRaises(LineTooLongError):
                    for piece in pieces:
                        received.extend(reader.feed(piece))
                self.assertEqual(received, lines)

    def test_responses_are_distinguished_from_other_lines(self):
        """A line that is not a JSON-RPC response raises an error."""
        self.assertEqual(jsonrpc.parse_response(jsonrpc.result_response(7, b"[1]")), (7, b"[1]", None))
        ident, result, error_object = jsonrpc.parse_response(jsonrpc.error_response("x", -1, "no", b'{"a":1}'))
        self.assertEqual((ident, result, error_object.code, bytes(error_object.data)), ("x", None, -1, b'{"a":1}'))
        for line in (
            b"",
            b"[]",
            b"{}",
            b'{"id":1}',
            b'{"id":1,"result":1,"error":{"code":1}}',
            b'{"id":[],"result":1}',
            b'{"id":1,"error":1}',
            b'{"id":1,"result":"\xff"}',
            b"[" * 100000,
        ):
            with self.subTest(line=line[:40]), self.assertRaises(jsonrpc.MalformedRequestError):
                jsonrpc.parse_response(line)

    @settings(max_examples=300, deadline=None)
    @given(
        st.one_of(st.binary(max_size=80), st.text(alphabet='{}[]":,0123456789eidrsultno', max_size=60).map(str.encode))
    )
    def test_decoders_return_a_value_or_raise_their_own_error(self, data):
        """For any input, a decoder returns a value or raises its own error."""
        for decode, error in (
            (jsonrpc.parse_response, jsonrpc.MalformedRequestError),
            (lambda encoded: list(jsonrpc.parse_requests(encoded)), ()),
            (lambda encoded: sexpr.parse(encoded.decode("latin-1"), "f"), InvalidConfigError),
        ):
            with contextlib.suppress(error):
                decode(data)

    def test_nesting_is_bounded(self):
        for text, too_deep in (
            (b"[" * 64 + b"]" * 64, False),
            (b"[" * 65 + b"]" * 65, True),
            (b"[]" * 1000, False),
            (b'"' + b"[" * 1000 + b'"', False),
            (b'["\\"' + b"[" * 99 + b'"]', False),
            (b'{"a":' * 65 + b"1" + b"}" * 65, True),
        ):
            with self.subTest(text=text[:20]):
                self.assertEqual(jsonrpc.is_nested_too_deep(text), too_deep)


if __name__ == "__main__":
    unittest.main()

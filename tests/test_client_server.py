"""The client server: answers to malformed requests, which affect no other requests, and each of its bounds."""

import socket
import threading
import unittest

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.rig import STEP_TIMEOUT, Client, RunningGateway, answer_hello, answers_all, read_messages, until
from wickdyke.gateway.events import RequestReceived
from wickdyke.protocol import jsonrpc


def silent(sock, number):
    """Answers no attempt."""
    source = read_messages(sock)
    answer_hello(sock, source)
    for _ in source:
        pass


CALL = b'{"jsonrpc":"2.0","method":"call","params":{"method":"idem","program":"p"},"id":%d}\n'


class Malformed(unittest.TestCase):
    """Malformed requests are answered with an error and affect no other requests."""

    @classmethod
    def setUpClass(cls):
        cls.running = RunningGateway()
        cls.running.__enter__()
        cls.addClassCleanup(cls.running.__exit__)

    def test_each_malformed_request(self):
        """(line) -> (error code, id, words of the error's data); the connection stays open."""

        def call(params, more=b'"id":7'):
            return b'{"jsonrpc":"2.0","method":"call","params":%b,%b}' % (params, more)

        deeply_nested = b"[" * 60000 + b"]" * 60000
        for line, code, ident, words in (
            (b"{", -32700, None, "not JSON"),
            (b"hello", -32700, None, "not JSON"),
            (b'"\xff"', -32700, None, "UTF-8"),
            (b"[1,", -32700, None, "not JSON"),
            (deeply_nested, -32700, None, "not JSON"),
            (b"[]", -32600, None, "empty batch"),
            (b"1", -32600, None, "object"),
            (b'{"id":7}', -32600, 7, "jsonrpc"),
            (b'{"jsonrpc":"1.0","method":"call","id":7}', -32600, 7, "jsonrpc"),
            (b'{"jsonrpc":"2.0","id":7}', -32600, 7, "method"),
            (b'{"jsonrpc":"2.0","method":1,"id":7}', -32600, 7, "method"),
            (b'{"jsonrpc":"2.0","method":"call","params":1,"id":7}', -32600, 7, "params"),
            (b'{"jsonrpc":"2.0","method":"call","params":{},"id":[]}', -32600, None, "id"),
            (b'{"jsonrpc":"2.0","method":"call","params":{},"id":null}', -32600, None, "id"),
            (b'{"jsonrpc":"2.0","method":"rpc.x","id":7}', -32601, 7, "call or cancel"),
            (b'{"jsonrpc":"2.0","method":"cancel","params":{"id":1},"id":7}', -32600, 7, "notification"),
            (call(b"[]"), -32602, 7, "object"),
            (call(b"{}"), -32602, 7, "method"),
            (call(b'{"method":"idem"}'), -32602, 7, "program"),
            (call(b'{"method":"idem","program":""}'), -32602, 7, "program"),
            (call(b'{"method":"idem","program":"p","inptu":1}'), -32602, 7, "inptu"),
            (call(b'{"method":"no","program":"p"}'), -32602, 7, "idem, side"),
            (call(b'{"method":"idem","program":"q"}'), -32602, 7, "memory_mb"),
            (call(b'{"method":"idem","program":"p","time_left_ms":-1}'), -32602, 7, "time_left_ms"),
            (call(b'{"method":"idem","program":"p","time_left_ms":1e999}'), -32602, 7, ""),
            (call(b'{"method":"idem","program":"p","lanes":0}'), -32602, 7, "lanes"),
            (call(b'{"method":"idem","program":"p","lanes":99999999999999999999999}'), -32602, 7, ""),
            (call(b'{"method":"idem","program":"p","input":' + b"[" * 500 + b"]" * 500 + b"}"), -32602, 7, "deep"),
        ):
            with self.subTest(line=line[:70]):
                client = self.running.client()
                self.addCleanup(client.close)
                client.send(line + b"\n")
                received = client.answer()
                self.assertEqual((received["error"]["code"], received["id"]), (code, ident), received)
                self.assertIn(words, received["error"]["data"])
                client.ask(8)
                self.assertEqual(client.answer()["result"]["answer"], "ok")
                client.close()

    def test_an_id_in_use(self):
        """The second request is rejected without its id, so that the id stands only in the answer to the first."""
        with RunningGateway((silent,), deadline="300 ms", soft="250 ms", way="10 ms") as running:
            client = running.client()
            client.ask(1)
            client.ask(1)
            received = [client.answer(), client.answer()]
            self.assertEqual([answer["id"] for answer in received], [None, 1])
            self.assertEqual(received[0]["error"]["code"], -32600)
            client.close()

    def test_notifications_and_blank_lines(self):
        """Notifications get no answer, even if they are malformed; blank lines are ignored."""
        client = self.running.client()
        client.send(b'\n  \n{"jsonrpc":"2.0","method":"call","params":{}}\n{"jsonrpc":"2.0","method":"x"}\n')
        client.send(b'{"jsonrpc":"2.0","method":"cancel","params":{"id":99}}\n')
        client.ask(5)
        self.assertEqual(client.answer()["id"], 5)
        client.close()

    def test_batches(self):
        """(batch) -> the ids of its answers, which are sent as one array."""
        client = self.running.client()
        first, second = CALL[:-1] % 1, CALL[:-1] % 2
        for batch, ids in (
            (b"[%b]" % first, [1]),
            (b"[%b,%b]" % (first, second), [1, 2]),
            (b"[1,%b]" % first, [None, 1]),
            (b'[{"jsonrpc":"2.0","method":"x"},%b]' % second, [2]),
            (b"[1,2,3]", [None, None, None]),
        ):
            with self.subTest(batch=batch[:60]):
                client.send(batch + b"\n")
                received = client.answer()
                self.assertIsInstance(received, list)
                self.assertEqual(sorted((answer["id"] for answer in received), key=str), sorted(ids, key=str))
        client.close()

    def test_requests_in_parts_and_many_at_once(self):
        """A request sent byte by byte, and many requests sent at once."""
        client = self.running.client()
        for byte in CALL % 1:
            client.send(bytes([byte]))
        self.assertEqual(client.answer()["id"], 1)
        client.send(b"".join(CALL % index for index in range(2, 60)))
        self.assertEqual({client.answer()["id"] for _ in range(2, 60)}, set(range(2, 60)))
        client.close()

    @settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
    @given(
        st.one_of(
            st.binary(max_size=200),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
                lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
                max_leaves=20,
            ).map(_json := (lambda value: msgspec.json.encode(value))),
            st.fixed_dictionaries(
                {},
                optional={
                    "jsonrpc": st.sampled_from(["2.0", "1.0", 2]),
                    "method": st.sampled_from(["call", "cancel", "rpc.x", 4]),
                    "id": st.one_of(st.integers(), st.text(max_size=5), st.floats(), st.none(), st.just([])),
                    "params": st.one_of(
                        st.integers(),
                        st.fixed_dictionaries(
                            {},
                            optional={
                                "method": st.sampled_from(["idem", "side", "x", 5]),
                                "program": st.sampled_from(["p", "", 5]),
                                "input": st.text(),
                                "time_left_ms": st.one_of(st.floats(), st.integers()),
                                "lanes": st.integers(),
                                "token": st.text(max_size=4),
                            },
                        ),
                    ),
                },
            ).map(_json),
        )
    )
    def test_any_input(self, data):
        """Each line gets a valid JSON-RPC response or none, and the next request is answered."""
        client = Client(self.running.config.listen)
        try:
            client.send(data.replace(b"\n", b" ") + b"\n")
            client.send(CALL % 424242)
            while True:
                received = client.answer()
                answers = received if isinstance(received, list) else [received]
                for answer in answers:
                    self.assertEqual(answer["jsonrpc"], "2.0")
                    self.assertTrue(("result" in answer) != ("error" in answer))
                if any(answer["id"] == 424242 and "result" in answer for answer in answers):
                    break
        finally:
            client.close()


class Bounds(unittest.TestCase):
    """The bounds on lines, connections, requests and events."""

    def test_a_line_that_is_too_long(self):
        """The client gets an error and its connection ends; others are served."""
        with RunningGateway(more="(bounds (line 1 MB))") as running:
            other, client = running.client(), running.client()
            client.send(b"x" * (1 << 20) + b"xx")
            self.assertEqual(client.answer()["error"]["code"], -32600)
            with self.assertRaises((StopIteration, ConnectionError)):
                client.answer()
            other.ask(1)
            self.assertEqual(other.answer()["result"]["answer"], "ok")
            for connection in (client, other):
                connection.close()

    def test_too_many_connections(self):
        """A connection past the bound is rejected and closed, until another one ends."""
        with RunningGateway(more="(bounds (connections 3))") as running:
            clients = [running.client() for _ in range(3)]
            for index, client in enumerate(clients):
                client.ask(index)
                client.answer()
            rejected = running.client()
            self.assertEqual(rejected.answer()["error"]["data"]["why"], "too-many-connections")
            rejected.close()
            clients[0].close()

            def is_accepted():
                client = running.client()
                try:
                    client.ask(1)
                    return "result" in client.answer()
                except OSError:
                    return False
                finally:
                    client.close()

            self.assertTrue(until(is_accepted))
            for client in clients[1:]:
                client.close()

    def test_too_many_requests(self):
        """A request past the bound of its connection or gateway is rejected at once, with the bound as the reason."""
        for bounds, why in (("(open-each 5)", "connection-full"), ("(open-rpcs 5)", "gateway-full")):
            with (
                self.subTest(bound=bounds),
                RunningGateway((silent,), deadline="2 s", soft="1 s", more=f"(bounds {bounds})") as running,
            ):
                client = running.client()
                for index in range(5):
                    client.ask(index)
                self.assertTrue(until(lambda running=running: len(running.coordinator.requests.by_id) == 5))
                client.ask(6)
                received = client.answer()
                self.assertEqual((received["id"], received["error"]["data"]["why"]), (6, why))
                client.close()

    def test_too_many_events(self):
        """A request past the bound of the event queue is rejected at once; those in the queue are answered later."""
        with RunningGateway(more="(bounds (events 10))") as running:
            may_continue, request = threading.Event(), running.coordinator.handlers[RequestReceived]
            running.coordinator.handlers[RequestReceived] = lambda event: (
                may_continue.wait(STEP_TIMEOUT),
                request(event),
            )
            client = running.client()
            for index in range(40):
                client.ask(index)
            first = client.answer()
            self.assertEqual(first["error"]["data"]["why"], "overrun")
            may_continue.set()
            received = {first["id"], *(client.answer()["id"] for _ in range(39))}
            self.assertEqual(received, set(range(40)))
            client.close()

    def test_a_client_that_reads_nothing(self):
        """The client is disconnected once too many bytes wait for it; requests of others are answered meanwhile."""

        def answers_large(sock, number):
            source = read_messages(sock)
            answer_hello(sock, source)
            for request in source:
                if request["method"] == "run":
                    size = 1 << 20 if request["params"]["program"] == "plarge" else 10
                    body = b'{"output":"%b","standing":"stood"}' % (b"x" * size)
                    sock.sendall(jsonrpc.result_response(request["id"], body) + b"\n")

        with RunningGateway((answers_large,), more="(bounds (line 2 MB) (unread 4 MB))") as running:
            silent_reader, other = running.client(), running.client()
            sent = threading.Event()

            def flood():
                try:
                    for index in range(200):
                        silent_reader.ask(index, program="plarge")
                except OSError:
                    pass
                sent.set()

            threading.Thread(target=flood, daemon=True).start()
            for index in range(30):
                other.ask(index)
                received = other.answer()  # a success, or rejected while the flood fills the gateway
                self.assertTrue(
                    received["id"] == index and ("result" in received or received["error"]["code"] == -32001), received
                )
            self.assertTrue(
                until(lambda: running.gateway.client_server.counts["unread"] == 1), running.gateway.client_server.counts
            )
            self.assertTrue(sent.wait(STEP_TIMEOUT))
            self.assertTrue(until(lambda: not running.coordinator.requests.by_id))
            self.assertTrue(until(lambda: "does not read" in running.log_output.getvalue()))
            for connection in (silent_reader, other):
                connection.close()

    def test_many_connections(self):
        """400 connections with 50 open requests on each: each request gets exactly one answer."""
        with RunningGateway(
            (answers_all, answers_all), more="(bounds (connections 500))", deadline="60 s", soft="3 s"
        ) as running:
            clients = [running.client() for _ in range(400)]
            for client in clients:
                client.send(b"".join(CALL % index for index in range(50)))
            for client in clients:
                received = [client.answer() for _ in range(50)]
                self.assertEqual(sorted(answer["id"] for answer in received), list(range(50)))
                self.assertTrue(all("result" in answer or answer["error"]["code"] == -32001 for answer in received))
            self.assertEqual(running.coordinator.counts["unanswered"], 0)
            for client in clients:
                client.close()
            self.assertTrue(until(lambda: not running.gateway.client_server.clients))
            self.assertTrue(until(lambda: not running.coordinator.requests.by_id))

    def test_unfinished_lines(self):
        """Clients that never end their line use a thread each, and other clients are served."""
        with RunningGateway() as running:
            slow = [running.client() for _ in range(50)]
            for client in slow:
                client.send((CALL % 1)[:30])
            other = running.client()
            other.ask(1)
            self.assertEqual(other.answer()["result"]["answer"], "ok")
            for client in [*slow, other]:
                client.close()


class ListenAddresses(unittest.TestCase):
    """Requests over a loopback TCP address."""

    def test_loopback_tcp(self):
        """The client server listens on a loopback address with a port."""
        with socket.socket() as free_port_sock:
            free_port_sock.bind(("127.0.0.1", 0))
            port = free_port_sock.getsockname()[1]
        with RunningGateway(more="") as running:
            running.config.listen = f"127.0.0.1:{port}"
            from wickdyke.jsonrpc.service import Gateway

            gateway = Gateway(running.config, running.log)
            gateway.open()
            try:
                self.assertTrue(until(lambda: any(gateway.coordinator.router.fleet.ready_workers())))
                with socket.create_connection(("127.0.0.1", port), STEP_TIMEOUT) as sock:
                    sock.sendall(CALL % 1)
                    self.assertIn(b'"ok"', sock.makefile("rb").readline())
            finally:
                gateway.client_server.stop_accepting()
                gateway.close()


if __name__ == "__main__":
    unittest.main()

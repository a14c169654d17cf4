"""Clients that leave, and attempts that outlive their requests: no more is sent for them, and no state remains."""

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
        """Returns settings with changed limits."""
        return {**rig.SETTINGS, "limits": {**rig.SETTINGS["limits"], **limits}}

    def test_an_unread_request_on_the_connection_to_be_evicted(self):
        """At the limit of connections, the least recently used one has just received a request, not yet read: the
        request is read, and another connection is evicted."""
        front_end = self.front_end(self.worker().address)
        front_end.client_server.connection_limit = 3
        clients = [self.client() for _ in range(3)]
        for index, client in enumerate(clients):
            client.send(rig.alive(1))
            self.answer(client)
            next(c for c in front_end.client_server.clients.values() if c.number == index + 1).last_used_at = float(
                index
            )
        readable, sent = front_end.client_server.readable, []

        def send_before_accept():  # after the new connection was signalled, before it is accepted
            if not sent:
                clients[0].send(rig.dispatch(2, rig.fields(A), b"a"))
                sent.append(True)
            readable()

        front_end.client_server.readable = send_before_accept
        new_client = self.client()
        new_client.send(rig.alive(1))
        self.assertEqual(self.answer(clients[0]), (2, "answer", b"did a"))
        self.assertEqual(self.answer(new_client), (1, "good", b""))
        self.assertEqual(self.answer(clients[1])[1], "closed")

    def test_closed_connections_are_freed_without_the_garbage_collector(self):
        """Closed connections of clients and workers are freed at once, since the garbage collector runs rarely."""
        front_end = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A), b"a"))
        self.answer(client)
        upstream = front_end.coordinator.workers.clients["w0"]
        references = [
            weakref.ref(connection)
            for connection in (upstream.connections[0], next(iter(front_end.client_server.clients.values())))
        ]
        gc.disable()
        self.addCleanup(gc.enable)
        client.close()
        self.until(lambda: not front_end.client_server.clients)
        upstream.connections[0].end("idle")
        front_end.loop.timers.heap.clear()  # their timeouts, which refer to the connections
        self.assertEqual([reference() for reference in references], [None, None])

    def test_a_client_leaves_while_its_attempt_waits_for_a_connection(self):
        """(how the client leaves, whether attempts may be cancelled) -> the attempt is never sent."""
        for cancelling in (True, False):
            for how in ("cancel", "close", "reset", "close after what can't be read"):
                with self.subTest(how=how, cancelling=cancelling):
                    full = FullListener(self)
                    front_end = self.front_end(
                        full.address, settings=self.settings(cancelling=cancelling, **{"dial-timeout": 60000000})
                    )
                    self.discovery_heard()
                    client = self.client()
                    client.send(rig.dispatch(1, rig.fields(A, "pay"), b"x"))
                    upstream = front_end.coordinator.workers.clients["w0"]
                    self.until(lambda upstream=upstream: any(conn.pending_commands for conn in upstream.connections))
                    if how == "cancel":
                        client.send(rig.cancel(2, 1))
                    elif how == "reset":
                        reset(client.sock)
                    else:
                        if how != "close":
                            client.send(struct.pack(">i", -1))
                            self.until(lambda s=front_end: any(c.ending for c in s.client_server.clients.values()))
                            client.sock.shutdown(socket.SHUT_WR)  # a FIN, without a reset for unread data
                        else:
                            client.close()
                    self.until(lambda s=front_end: s.coordinator.counts["clients_gone"], "its leaving")
                    front_end.run_once()
                    self.assertEqual(front_end.coordinator.requests.by_id, {})
                    self.assertFalse(any(conn.commands_in_flight for conn in upstream.connections))
                    self.assertEqual(self.logged_errors(), [])
                    self.close_front_end()

    def test_a_drain_while_an_attempt_waits_for_a_connection(self):
        """(reported state) -> the attempt is not sent there, and another worker answers the request."""
        for state in ("DRAINING", "DELETED"):
            with self.subTest(state):
                full, other = FullListener(self), self.worker()
                front_end = self.front_end(full.address, settings=self.settings(**{"dial-timeout": 60000000}))
                self.discovery_heard()
                client = self.client()
                client.send(rig.dispatch(1, rig.fields(A, "pay"), b"x"))
                upstream = front_end.coordinator.workers.clients["w0"]
                self.until(lambda upstream=upstream: any(conn.pending_commands for conn in upstream.connections))
                front_end.coordinator.post(
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
                self.close_front_end()

    def test_a_client_leaves_between_two_attempts(self):
        """The worker answers that it is full while the client closes: no second attempt once both were handled."""
        front_end = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A), b"slow"))
        self.wait_for_commands(1)
        client.close()
        posted_types = []
        post = front_end.client_server.post
        front_end.client_server.post = lambda event: (posted_types.append(type(event)), post(event))
        self.until(lambda: ClientClosed in posted_types)
        sock, parts = self.held_commands.pop()
        with contextlib.suppress(OSError):  # the connection may have been closed with the attempt
            sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
        for _ in range(4):
            front_end.run_once()
        self.assertEqual((self.held_commands, front_end.coordinator.requests.by_id), ([], {}))

    def test_a_reset_before_an_answer_is_written(self):
        """A client's reset has arrived, but was not read, when its answer is written: only its connection ends."""
        front_end = self.front_end(self.worker().address)
        resetting, waiting = self.client(), self.client()
        resetting.send(rig.dispatch(1, rig.fields(A), b"slow"))
        self.wait_for_commands(1)
        waiting.send(rig.dispatch(1, rig.fields(B), b"slow"))
        self.wait_for_commands(2)
        reset(resetting.sock)
        self.answer_held_command()
        self.answer_held_command(b"second")
        self.assertEqual(self.answer(waiting), (1, "answer", b"second"))
        self.until(lambda: len(front_end.client_server.clients) == 1)
        self.assertEqual(
            (front_end.client_server.open_requests, front_end.coordinator.requests.by_id, self.logged_errors()),
            ({}, {}, []),
        )

    def test_an_unsent_attempt_of_an_answered_request_is_withdrawn(self):
        """An attempt that was not sent when another one is answered is never sent."""
        command = Mock()
        command.worker_client.withdraw_unsent.return_value = True
        self.front_end(self.worker().address)
        pending = Mock(commands={"one": command}, router_id=None)
        pending.succeed.__name__ = "succeed"
        self.service.coordinator.requests.answer(pending, Success(b"", 1))
        command.worker_client.withdraw_unsent.assert_called_once_with(command)


class WithoutCancel(FrontEndCase):
    """Attempts past their deadline where workers accept no cancels."""

    def test_an_attempt_past_its_deadline_is_not_cancelled_and_frees_its_connection_later(self):
        """The request fails at its deadline; the attempt stays in flight and is abandoned later."""
        limits = {**rig.SETTINGS["limits"], "cancelling": False}
        worker = self.worker()
        front_end = self.front_end(worker.address, settings={**rig.SETTINGS, "limits": limits})
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A, "pay", d="400"), b"slow"))
        self.assertEqual(self.answer(client)[1], "fault")
        upstream = front_end.coordinator.workers.clients["w0"]
        self.assertEqual(
            (len(self.held_commands), [conn.commands_in_flight for conn in upstream.connections]), (1, [1])
        )
        self.until(lambda: not any(conn.commands_in_flight for conn in upstream.connections), "its place")
        self.assertEqual(
            (worker.received(b"abort"), front_end.coordinator.requests.by_id, upstream.connections), ([], {}, [])
        )


if __name__ == "__main__":
    unittest.main()

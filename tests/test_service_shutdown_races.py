"""Requests that arrive while a front end shuts down, on real sockets."""

import os
import signal
import socket
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import A, B, C, FrontEndCase
from wickdyke.platform import service
from wickdyke.transport import event_loop


class ShutdownRaces(FrontEndCase):
    """Requests that arrive as the front end shuts down."""

    def test_requests_in_flight_partially_read_and_in_the_backlog(self):
        """All of them are answered after SIGTERM, also those of connections that were not yet accepted."""
        front_end = self.front_end(self.worker().address)
        in_flight, partial = self.client(), self.client()
        in_flight.send(rig.dispatch(1, rig.fields(A), b"slow"))
        frame = rig.dispatch(1, rig.fields(B), b"b")
        partial.send(frame[:25])
        self.wait_for_commands(1)
        self.until(
            lambda: any(client.frame_parser.has_partial_frame for client in front_end.client_server.clients.values())
        )
        close_listener, waiting = front_end.client_server.close_listener, []

        def connect_then_close():  # the connection is in the backlog, not accepted, as the listener closes
            if not waiting:
                waiting.append(self.client())
                waiting[0].send(rig.dispatch(1, rig.fields(C), b"c"))
            close_listener()

        front_end.client_server.close_listener = connect_then_close
        front_end._request_shutdown(signal.SIGTERM, None)
        front_end.shutdown_requested_at -= service.GRACE_PERIOD  # so that the next iteration closes the listener
        self.assertTrue(front_end.run_once())
        self.assertTrue(front_end.client_server.listener_closed)
        partial.send(frame[25:])
        self.assertEqual(self.answer(waiting[0]), (1, "answer", b"did c"))
        self.assertEqual(self.answer(partial), (1, "answer", b"did b"))
        self.assertTrue(front_end.run_once())
        self.answer_held_command()
        self.assertEqual(self.answer(in_flight), (1, "answer", b"at last"))
        self.until(lambda: not front_end.run_once(), "the end")

    def test_request_between_the_last_read_and_the_end(self):
        """The kernel has acknowledged the request: it is read and answered before the process ends."""
        front_end = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.alive(1))
        self.answer(client)
        front_end._request_shutdown(signal.SIGTERM, None)
        front_end.shutdown_requested_at -= service.GRACE_PERIOD
        all_answers_sent, sent = front_end.client_server.all_answers_sent, []

        def check_then_send():
            all_sent = all_answers_sent()
            if all_sent and not sent:
                client.send(rig.dispatch(2, rig.fields(A), b"a"))
                sent.append(True)
            return all_sent

        front_end.client_server.all_answers_sent = check_then_send
        self.assertTrue(front_end.run_once())
        self.assertEqual(self.answer(client), (2, "answer", b"did a"))
        self.until(lambda: not front_end.run_once(), "the end")

    def test_grace_period_counts_from_the_first_signal(self):
        """The time is that of the first signal; from then on the liveness check answers "not healthy"."""
        self.front_end()
        earliest = event_loop.clock()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.service._request_shutdown(number, None)
        self.assertTrue(earliest <= self.service.shutdown_requested_at <= event_loop.clock())
        requested_at = self.service.shutdown_requested_at
        self.service._request_shutdown(signal.SIGTERM, None)
        self.assertEqual(self.service.shutdown_requested_at, requested_at)
        client = self.client()
        client.send(rig.alive(1))
        self.assertEqual(self.answer(client), (1, "bad", b""))

    def test_shutdown_uses_only_inet_sockets(self):
        families, real_socket = [], socket.socket

        class RecordingSocket(real_socket):
            def __init__(self, family=-1, *args, **kwargs):
                families.append(family)
                super().__init__(family, *args, **kwargs)

        with patch.object(socket, "socket", RecordingSocket):
            front_end = self.front_end(self.worker().address)
            front_end.handle_signals()
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                self.addCleanup(signal.signal, number, signal.SIG_DFL)
            os.kill(os.getpid(), signal.SIGTERM)
            front_end.run_once()
        self.assertTrue(front_end.stopping)
        self.assertEqual(set(families), {socket.AF_INET})


if __name__ == "__main__":
    unittest.main()

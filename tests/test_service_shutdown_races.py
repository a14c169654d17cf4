"""Requests that cross the shutdown of a front end, on real sockets."""

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

    def test_in_flight_half_read_and_in_the_backlog(self):
        """SIGTERM: all that was taken is answered, also by a connection the program has not looked at yet."""
        front_end = self.front_end(self.worker().address)
        flying, half = self.client(), self.client()
        flying.send(rig.dispatch(1, rig.fields(A), b"slow"))
        whole = rig.dispatch(1, rig.fields(B), b"b")
        half.send(whole[:25])
        self.wait_for_commands(1)
        self.until(
            lambda: any(client.frame_parser.has_partial_frame for client in front_end.client_server.clients.values())
        )
        shut, waiting = front_end.client_server.close_listener, []

        def just_before():  # taken by the kernel, and not by the program, as the door is shut
            if not waiting:
                waiting.append(self.client())
                waiting[0].send(rig.dispatch(1, rig.fields(C), b"c"))
            shut()

        front_end.client_server.close_listener = just_before
        front_end._request_shutdown(signal.SIGTERM, None)
        front_end.shutdown_requested_at -= (
            service.GRACE_PERIOD
        )  # it is long ago: the door is shut in the next iteration
        self.assertTrue(front_end.run_once())
        self.assertTrue(front_end.client_server.listener_closed)
        half.send(whole[25:])
        self.assertEqual(self.answer(waiting[0]), (1, "answer", b"did c"))
        self.assertEqual(self.answer(half), (1, "answer", b"did b"))
        self.assertTrue(front_end.run_once())
        self.answer_held_command()
        self.assertEqual(self.answer(flying), (1, "answer", b"at last"))
        self.until(lambda: not front_end.run_once(), "the end")

    def test_a_request_between_the_last_look_and_the_end(self):
        """It has been taken: it is read, and answered, before the program ends."""
        front_end = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.alive(1))
        self.answer(client)
        front_end._request_shutdown(signal.SIGTERM, None)
        front_end.shutdown_requested_at -= service.GRACE_PERIOD
        flushed, sent = front_end.client_server.all_answers_sent, []

        def look():
            found = flushed()
            if found and not sent:
                client.send(rig.dispatch(2, rig.fields(A), b"a"))
                sent.append(True)
            return found

        front_end.client_server.all_answers_sent = look
        self.assertTrue(front_end.run_once())
        self.assertEqual(self.answer(client), (2, "answer", b"did a"))
        self.until(lambda: not front_end.run_once(), "the end")

    def test_the_time_counts_from_the_signal(self):
        """Also of one that comes in a signal's own turn, or before the front end serves: alive says no."""
        self.front_end()
        before = event_loop.clock()
        for handler in (signal.SIGTERM, signal.SIGINT):
            self.service._request_shutdown(handler, None)
        self.assertTrue(before <= self.service.shutdown_requested_at <= event_loop.clock())
        first = self.service.shutdown_requested_at
        self.service._request_shutdown(signal.SIGTERM, None)
        self.assertEqual(self.service.shutdown_requested_at, first)
        client = self.client()
        client.send(rig.alive(1))
        self.assertEqual(self.answer(client), (1, "bad", b""))

    def test_needs_no_socket_of_another_family(self):
        families, make = [], socket.socket

        class Noted(make):
            def __init__(self, family=-1, *args, **more):
                families.append(family)
                super().__init__(family, *args, **more)

        with patch.object(socket, "socket", Noted):
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

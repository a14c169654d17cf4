"""How long data may have waited unread in a process of several threads, with a clock set by the test."""

import errno
import os
import socket
import struct
import threading
import unittest
import unittest.mock
from unittest.mock import patch

from tests import platform_rig as rig
from wickdyke.transport import stall_detector, timed_reader
from wickdyke.transport.stall_detector import ArrivalBound, StallDetector
from wickdyke.transport.timed_reader import ReceivedData, TimedReader

STOP_DURATION = 1200.0  # ms
READ_SIZE = 100  # bytes read at a time
RESET_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection


class StallCase(unittest.TestCase):
    """A detector that is ticked by the test instead of its thread."""

    def setUp(self):
        self.now = 1000.0
        self.addCleanup(patch.stopall)
        for module in (stall_detector, timed_reader):
            patch.object(module, "clock", lambda: self.now).start()
        self.detector = StallDetector()

    def reader(self, since=None, early_data=b""):
        """Returns the reader of a new connection, and its peer, which sends `early_data` before the accept."""
        listener = socket.create_server(("127.0.0.1", 0))
        peer = socket.create_connection(listener.getsockname())
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peer.sendall(early_data)
        accepted, _ = listener.accept()
        for sock in (listener, peer, accepted):
            self.addCleanup(sock.close)
        return TimedReader(accepted, self.detector, READ_SIZE, since), peer

    def run_process_for(self, duration):
        """Lets the process run for `duration` ms, with a tick after each interval."""
        for _ in range(int(duration / stall_detector.TICK_INTERVAL)):
            self.now += stall_detector.TICK_INTERVAL
            self.detector.tick()


class DataReadAfterStalls(StallCase):
    """Data sent to a connection while the process is stopped, or running."""

    def test_a_silent_client(self):
        reader, client = self.reader()
        self.run_process_for(5000.0)
        client.send(b"x")
        self.assertEqual(reader.read(), ReceivedData(b"x", self.now, False, False))

    def test_read_before_the_stall_is_detected(self):
        reader, client = self.reader()
        self.run_process_for(100.0)
        stopped_at = self.now
        client.send(b"x")
        self.now += STOP_DURATION
        self.assertEqual(reader.read(), ReceivedData(b"x", stopped_at, True, False))

    def test_read_after_the_stall_is_detected(self):
        reader, client = self.reader()
        self.run_process_for(100.0)
        stopped_at = self.now
        client.send(b"x")
        self.now += STOP_DURATION
        self.detector.tick()
        self.run_process_for(500.0)
        self.assertEqual(reader.read(), ReceivedData(b"x", stopped_at, True, False))

    def test_stalls_in_series_add_up(self):
        """Each stall alone is too short to count."""
        reader, client = self.reader()
        self.run_process_for(100.0)
        stopped_at = self.now
        client.send(b"x")
        for _ in range(4):
            self.now += timed_reader.MAX_UNREAD_TIME - 10
            self.detector.tick()
        self.assertEqual(reader.read().received_at, stopped_at)

    def test_sent_after_the_stall(self):
        """Data that arrives after the stall was detected counts as new."""
        reader, client = self.reader()
        self.now += STOP_DURATION
        self.detector.tick()
        client.send(b"x")
        self.assertEqual(reader.read(), ReceivedData(b"x", self.now, False, False))

    def test_sent_after_the_data_of_the_stall_was_read(self):
        reader, client = self.reader()
        client.send(b"x")
        self.now += STOP_DURATION
        reader.read()
        self.detector.tick()
        client.send(b"y")
        self.assertEqual(reader.read(), ReceivedData(b"y", self.now, False, False))

    def test_sent_between_the_read_and_the_detection_of_the_stall(self):
        """One thread has read the waiting data, and more has arrived when another checks the socket."""
        reader, client = self.reader()
        self.now += STOP_DURATION
        reader.arrival_bound.mark_empty(self.now)
        client.send(b"x")
        self.now += 5.0
        self.detector.tick()
        self.assertEqual(reader.read().received_at, self.now)

    def test_the_first_reader_to_run_checks_all_sockets(self):
        """A connection that was silent during the stop is told apart from those that were not."""
        reader, client = self.reader()
        silent, silent_client = self.reader()
        client.send(b"x")
        self.now += STOP_DURATION
        reader.read()
        silent_client.send(b"y")
        self.assertEqual(silent.read(), ReceivedData(b"y", self.now, False, False))

    def test_all_waiting_data_is_read_at_once(self):
        reader, client = self.reader()
        client.send(b"x" * (2 * READ_SIZE + 1))
        self.now += STOP_DURATION
        self.assertEqual(reader.read(), ReceivedData(b"x" * (2 * READ_SIZE + 1), 1000.0, True, False))

    def test_a_bounded_amount_of_waiting_data_is_read_at_once(self):
        """The rest counts as equally old."""
        reader, client = self.reader()
        client.send(b"x" * (READ_SIZE * (timed_reader.MAX_EXTRA_CHUNKS + 1) + 1))
        self.now += STOP_DURATION
        self.assertLessEqual(len(reader.read().data), READ_SIZE * (timed_reader.MAX_EXTRA_CHUNKS + 1))
        self.detector.tick()
        self.assertEqual(reader.read().received_at, 1000.0)

    def test_the_connection_ends_behind_waiting_data(self):
        for close_kind in ("close", "reset"):
            with self.subTest(close_kind=close_kind):
                reader, client = self.reader()
                self.detector.tick()
                client.send(b"x")
                self.now += STOP_DURATION
                if close_kind == "reset":
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                real_sock = reader.sock

                def recv(size, flags, real_sock=real_sock, client=client):
                    data = real_sock.recv(size, flags)
                    client.close()
                    return data

                with patch.object(reader, "sock", unittest.mock.Mock(recv=recv)):
                    self.assertTrue(reader.read().at_end)

    def test_a_read_without_memory(self):
        """The first read fails, or one of those after it: no data is lost, and the rest counts as equally old."""
        for failing_read in (1, 2, 3):
            for code in (errno.ENOMEM, errno.ENOBUFS):
                with self.subTest(failing_read=failing_read, code=code):
                    self.detector.tick()
                    sent_at = self.now
                    reader, client = self.reader()
                    data = b"x" * (2 * READ_SIZE) + b"y"
                    client.send(data)
                    self.now += STOP_DURATION
                    received = self.read_with_failure(reader, failing_read, code, len(data))
                    self.assertEqual(b"".join(chunk.data for chunk in received), data)
                    self.assertEqual({chunk.received_at for chunk in received}, {sent_at})
                    self.assertFalse(any(chunk.at_end for chunk in received))

    def read_with_failure(self, reader, failing_read, code, size):
        """Reads `size` bytes; read number `failing_read` of the socket fails with the errno `code`."""
        reads = []

        def recv(size, flags, real_sock=reader.sock):
            reads.append(size)
            if len(reads) == failing_read:
                raise OSError(code, os.strerror(code))
            return real_sock.recv(size, flags)

        received = []
        with patch.object(reader, "sock", unittest.mock.Mock(recv=recv)), patch.object(timed_reader.time, "sleep"):
            while sum(len(chunk.data) for chunk in received) < size:
                received.append(reader.read())
        return received

    def test_a_poll_without_memory(self):
        reader, client = self.reader()
        client.send(b"x")
        real_poller = reader.arrival_bound.poller
        reader.arrival_bound.poller = unittest.mock.Mock()
        reader.arrival_bound.poller.poll.side_effect = [
            OSError(errno.ENOMEM, "Cannot allocate memory"),
            real_poller.poll(),
        ]
        with patch.object(stall_detector.time, "sleep"):
            self.assertEqual(reader.read().data, b"x")

    def test_a_poll_that_is_refused(self):
        """Guards against a gateway that never reads a client where the system refuses poll(2) (issue 65)."""
        reader, client = self.reader()
        reader.arrival_bound.poller = unittest.mock.Mock()
        reader.arrival_bound.poller.poll.side_effect = OSError(errno.ENOSYS, "Function not implemented")
        received = []
        thread = threading.Thread(target=lambda: received.append(reader.read().data), daemon=True)
        thread.start()
        client.send(b"x")
        thread.join(rig.TIMEOUT)
        self.assertEqual(received, [b"x"])

    def test_a_check_before_a_stall_does_not_hide_it(self):
        """A thread checked the socket before the stall, and reports it as empty only after the stall."""
        reader, client = self.reader()
        checked_at = self.now
        self.now += 1.0
        client.send(b"x")
        self.now += STOP_DURATION
        self.detector.tick()
        reader.arrival_bound.mark_empty(checked_at)
        self.assertEqual(reader.read().received_at, 1000.0)


class CatchUp(StallCase):
    """After a long stall the thread that makes decisions waits for the readers."""

    def catch_up(self, *steps):
        """Catches up; each sleep runs the next step or lets 10 ms pass. Returns the result and the number of sleeps."""
        steps = list(steps)
        sleeps = []

        def sleep(duration):
            sleeps.append(duration)
            if steps:
                steps.pop(0)()
            else:
                self.now += 10.0

        with patch.object(stall_detector.time, "sleep", sleep):
            return self.detector.catch_up(), len(sleeps)

    def test_nothing_to_wait_for(self):
        """(no stall, a short stall, a long stall in which no data arrived)"""
        self.reader()
        self.assertEqual(self.catch_up(), (False, 0))
        self.now += stall_detector.MIN_CATCH_UP_STALL - 1
        self.assertEqual(self.catch_up(), (False, 0))
        self.now += STOP_DURATION
        self.assertEqual(self.catch_up(), (True, 0))
        self.assertEqual(self.catch_up(), (False, 0))

    def test_it_waits_until_received_data_is_handled(self):
        reader, client = self.reader()
        client.send(b"x")
        self.now += STOP_DURATION

        def handled():  # as when the reader's thread waits again
            reader.arrival_bound.is_handling = False

        self.assertEqual(self.catch_up(reader.read, handled), (True, 2))

    def test_it_waits_until_a_closed_connection_is_handled(self):
        reader, client = self.reader()
        client.close()
        self.now += STOP_DURATION
        self.assertEqual(self.catch_up(reader.read, reader.close), (True, 2))

    def test_the_wait_is_bounded(self):
        _, client = self.reader()
        client.send(b"x")
        self.now += STOP_DURATION
        self.assertEqual(self.catch_up(), (True, stall_detector.MAX_CATCH_UP_WAIT / 10))


class NewConnections(StallCase):
    """Connections that have waited in the backlog."""

    def test_connections_that_wait_at_a_listener(self):
        """A connection made in a stall counts as old as the stall's beginning, and a later one as new."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        arrival_bound = ArrivalBound(self.detector, listener)
        self.run_process_for(100.0)
        stopped_at = self.now
        clients = [socket.create_connection(listener.getsockname()) for _ in range(2)]
        for client in clients:
            self.addCleanup(client.close)
        self.now += STOP_DURATION
        self.detector.tick()
        for _ in clients:
            arrival_bound.clear_if_empty()
            self.assertEqual(arrival_bound.wait(), stopped_at)
            listener.accept()[0].close()
        arrival_bound.clear_if_empty()
        clients.append(socket.create_connection(listener.getsockname()))
        self.addCleanup(clients[-1].close)
        self.assertEqual(arrival_bound.wait(), self.now)

    def test_data_sent_before_the_accept(self):
        reader, client = self.reader(since=400.0, early_data=b"x")
        self.assertEqual(reader.read(), ReceivedData(b"x", 400.0, True, False))
        client.send(b"y")
        self.assertEqual(reader.read(), ReceivedData(b"y", self.now, False, False))

    def test_data_sent_after_the_accept(self):
        reader, client = self.reader(since=400.0)
        client.send(b"x")
        self.assertEqual(reader.read(), ReceivedData(b"x", self.now, False, False))


if __name__ == "__main__":
    unittest.main()

"""Since when data may have waited unread in a process of several threads, at times that the test sets."""

import errno
import os
import socket
import struct
import unittest
import unittest.mock
from unittest.mock import patch

from wickdyke.transport import stall_detector, timed_reader
from wickdyke.transport.stall_detector import ArrivalBound, StallDetector
from wickdyke.transport.timed_reader import ReceivedData, TimedReader

STOP = 1200.0  # ms
SIZE = 100  # bytes read at a time
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection


class StallCase(unittest.TestCase):
    """A detector whose thread is the test."""

    def setUp(self):
        self.now = 1000.0
        self.addCleanup(patch.stopall)
        for module in (stall_detector, timed_reader):
            patch.object(module, "clock", lambda: self.now).start()
        self.detector = StallDetector()

    def reader(self, since=None, sent=b""):
        """The reader of a new connection on which that was sent before it was accepted, and the other side."""
        listener = socket.create_server(("127.0.0.1", 0))
        theirs = socket.create_connection(listener.getsockname())
        theirs.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        theirs.sendall(sent)
        mine, _ = listener.accept()
        for sock in (listener, theirs, mine):
            self.addCleanup(sock.close)
        return TimedReader(mine, self.detector, SIZE, since), theirs

    def run_for(self, span):
        """The process runs for so many ms."""
        for _ in range(int(span / stall_detector.TICK_INTERVAL)):
            self.now += stall_detector.TICK_INTERVAL
            self.detector.tick()


class UnreadData(StallCase):
    """What a connection is sent while the process does not run, or runs."""

    def test_a_client_that_was_silent(self):
        reader, client = self.reader()
        self.run_for(5000.0)
        client.send(b"x")
        self.assertEqual(reader.read(), ReceivedData(b"x", self.now, False, False))

    def test_read_before_the_stall_is_noticed(self):
        reader, client = self.reader()
        self.run_for(100.0)
        stopped_at = self.now
        client.send(b"x")
        self.now += STOP
        self.assertEqual(reader.read(), ReceivedData(b"x", stopped_at, True, False))

    def test_read_after_the_stall_is_noticed(self):
        reader, client = self.reader()
        self.run_for(100.0)
        stopped_at = self.now
        client.send(b"x")
        self.now += STOP
        self.detector.tick()
        self.run_for(500.0)
        self.assertEqual(reader.read(), ReceivedData(b"x", stopped_at, True, False))

    def test_stalls_in_series_add_up(self):
        """Each shorter than what counts alone."""
        reader, client = self.reader()
        self.run_for(100.0)
        stopped_at = self.now
        client.send(b"x")
        for _ in range(4):
            self.now += timed_reader.MAX_UNREAD_TIME - 10
            self.detector.tick()
        self.assertEqual(reader.read().received_at, stopped_at)

    def test_sent_after_the_stall(self):
        """(whether the stall is noticed first): what arrives after that counts as new."""
        reader, client = self.reader()
        self.now += STOP
        self.detector.tick()
        client.send(b"x")
        self.assertEqual(reader.read(), ReceivedData(b"x", self.now, False, False))

    def test_sent_after_what_was_sent_in_the_stall_was_read(self):
        reader, client = self.reader()
        client.send(b"x")
        self.now += STOP
        reader.read()
        self.detector.tick()
        client.send(b"y")
        self.assertEqual(reader.read(), ReceivedData(b"y", self.now, False, False))

    def test_sent_after_that_before_the_stall_is_noticed(self):
        """A thread has read what waited, and more has come when another looks."""
        reader, client = self.reader()
        self.now += STOP
        reader.arrival.emptied(self.now)
        client.send(b"x")
        self.now += 5.0
        self.detector.tick()
        self.assertEqual(reader.read().received_at, self.now)

    def test_a_reader_that_runs_first_looks_at_all(self):
        """Another connection, which was silent in the stop, is told from those that were not."""
        reader, client = self.reader()
        silent, silent_client = self.reader()
        client.send(b"x")
        self.now += STOP
        reader.read()
        silent_client.send(b"y")
        self.assertEqual(silent.read(), ReceivedData(b"y", self.now, False, False))

    def test_all_that_waited_is_read(self):
        reader, client = self.reader()
        client.send(b"x" * (2 * SIZE + 1))
        self.now += STOP
        self.assertEqual(reader.read(), ReceivedData(b"x" * (2 * SIZE + 1), 1000.0, True, False))

    def test_a_bounded_piece_of_what_waited_is_read_at_once(self):
        """The rest is as old."""
        reader, client = self.reader()
        client.send(b"x" * (SIZE * (timed_reader.MAX_PIECES + 1) + 1))
        self.now += STOP
        self.assertLessEqual(len(reader.read().data), SIZE * (timed_reader.MAX_PIECES + 1))
        self.detector.tick()
        self.assertEqual(reader.read().received_at, 1000.0)

    def test_the_end_behind_what_waited(self):
        for how in ("close", "reset"):
            with self.subTest(how=how):
                reader, client = self.reader()
                self.detector.tick()
                client.send(b"x")
                self.now += STOP
                if how == "reset":
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                real = reader.sock

                def recv(size, flags, real=real, client=client):
                    data = real.recv(size, flags)
                    client.close()
                    return data

                with patch.object(reader, "sock", unittest.mock.Mock(recv=recv)):
                    self.assertTrue(reader.read().ended)

    def test_a_read_that_finds_no_memory(self):
        """The first read fails, or one of those behind it: nothing is lost, and the rest is as old."""
        for failing in (1, 2, 3):
            for code in (errno.ENOMEM, errno.ENOBUFS):
                with self.subTest(failing=failing, code=code):
                    self.detector.tick()
                    began_at = self.now
                    reader, client = self.reader()
                    data = b"x" * (2 * SIZE) + b"y"
                    client.send(data)
                    self.now += STOP
                    received = self.read_with_failure(reader, failing, code, len(data))
                    self.assertEqual(b"".join(each.data for each in received), data)
                    self.assertEqual({each.received_at for each in received}, {began_at})
                    self.assertFalse(any(each.ended for each in received))

    def read_with_failure(self, reader, failing, code, size):
        """Reads so many bytes; one of the reads of the socket fails."""
        reads = []

        def recv(size, flags, real=reader.sock):
            reads.append(size)
            if len(reads) == failing:
                raise OSError(code, os.strerror(code))
            return real.recv(size, flags)

        received = []
        with patch.object(reader, "sock", unittest.mock.Mock(recv=recv)), patch.object(timed_reader.time, "sleep"):
            while sum(len(each.data) for each in received) < size:
                received.append(reader.read())
        return received

    def test_a_poll_that_finds_no_memory(self):
        reader, client = self.reader()
        client.send(b"x")
        real = reader.arrival.poller
        reader.arrival.poller = unittest.mock.Mock()
        reader.arrival.poller.poll.side_effect = [OSError(errno.ENOMEM, "Cannot allocate memory"), real.poll()]
        with patch.object(stall_detector.time, "sleep"):
            self.assertEqual(reader.read().data, b"x")

    def test_an_old_observation_does_not_hide_a_later_stall(self):
        """A thread looked before the stall, and says so after it."""
        reader, client = self.reader()
        looked_at = self.now
        self.now += 1.0
        client.send(b"x")
        self.now += STOP
        self.detector.tick()
        reader.arrival.emptied(looked_at)
        self.assertEqual(reader.read().received_at, 1000.0)


class CatchingUp(StallCase):
    """The thread that decides waits for the readers after a long stall."""

    def catch_up(self, *steps):
        """Does one of the steps each time it waits, then lets time pass; returns the result and how often it waited."""
        steps = list(steps)
        waits = []

        def sleep(span):
            waits.append(span)
            if steps:
                steps.pop(0)()
            else:
                self.now += 10.0

        with patch.object(stall_detector.time, "sleep", sleep):
            return self.detector.catch_up(), len(waits)

    def test_nothing_to_wait_for(self):
        """(no stall, a short one, a long one in which nothing came)"""
        self.reader()
        self.assertEqual(self.catch_up(), (False, 0))
        self.now += stall_detector.MIN_CATCH_UP_STALL - 1
        self.assertEqual(self.catch_up(), (False, 0))
        self.now += STOP
        self.assertEqual(self.catch_up(), (True, 0))
        self.assertEqual(self.catch_up(), (False, 0))

    def test_until_what_came_is_handled(self):
        reader, client = self.reader()
        client.send(b"x")
        self.now += STOP

        def handled():  # as the reader's thread waits again
            reader.arrival.handling = False

        self.assertEqual(self.catch_up(reader.read, handled), (True, 2))

    def test_until_one_that_has_left_is_closed(self):
        reader, client = self.reader()
        client.close()
        self.now += STOP
        self.assertEqual(self.catch_up(reader.read, reader.close), (True, 2))

    def test_not_for_ever(self):
        _, client = self.reader()
        client.send(b"x")
        self.now += STOP
        self.assertEqual(self.catch_up(), (True, stall_detector.MAX_CATCH_UP / 10))


class NewConnections(StallCase):
    """Connections that waited to be accepted."""

    def test_what_waits_at_a_listener(self):
        """A connection is no older than the stall in which it was made, and a later one is new."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        arrival = ArrivalBound(self.detector, listener)
        self.run_for(100.0)
        stopped_at = self.now
        clients = [socket.create_connection(listener.getsockname()) for _ in range(2)]
        for client in clients:
            self.addCleanup(client.close)
        self.now += STOP
        self.detector.tick()
        for _ in clients:
            arrival.look()
            self.assertEqual(arrival.wait(), stopped_at)
            listener.accept()[0].close()
        arrival.look()
        clients.append(socket.create_connection(listener.getsockname()))
        self.addCleanup(clients[-1].close)
        self.assertEqual(arrival.wait(), self.now)

    def test_what_waits_on_one_that_was_accepted(self):
        reader, client = self.reader(since=400.0, sent=b"x")
        self.assertEqual(reader.read(), ReceivedData(b"x", 400.0, True, False))
        client.send(b"y")
        self.assertEqual(reader.read(), ReceivedData(b"y", self.now, False, False))

    def test_one_that_sends_after_it_was_accepted(self):
        reader, client = self.reader(since=400.0)
        client.send(b"x")
        self.assertEqual(reader.read(), ReceivedData(b"x", self.now, False, False))


if __name__ == "__main__":
    unittest.main()

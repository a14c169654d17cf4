"""Logs, recordings and traces whose writes fail or block: no request waits for them or gets an error."""

import errno
import io
import os
import tempfile
import threading
import unittest
from unittest import mock

import msgspec

from tests.rig import RunningGateway, until
from wickdyke.fault_injection import trace
from wickdyke.gateway import log as logs
from wickdyke.gateway import recording

LONG = 30.0
ERRORS = (errno.ENOSPC, errno.EIO, errno.EPIPE, errno.EAGAIN)


class TemporaryFolderCase(unittest.TestCase):
    """Provides a temporary folder for the files of a test."""

    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(temporary_folder.cleanup)
        self.folder = temporary_folder.name

    def path(self, *parts):
        """Returns a path in the folder."""
        return os.path.join(self.folder, *parts)


class FailingWrite:
    """Replaces os.write: of the calls for a file those numbered in `failing` fail, others write up to `limit` bytes."""

    def __init__(self, path, error, failing=(), limit=1 << 20):
        self.path, self.error, self.failing, self.limit = path, error, failing, limit
        self.write_count, self.real_write = 0, os.write

    def __call__(self, descriptor, data):
        if os.readlink(f"/proc/self/fd/{descriptor}") != os.path.realpath(self.path):
            return self.real_write(descriptor, data)
        self.write_count += 1
        if self.write_count in self.failing:
            raise OSError(self.error, os.strerror(self.error))
        return self.real_write(descriptor, bytes(data[: self.limit]))


class Logs(TemporaryFolderCase):
    """Logs whose writes fail, and pipes that are not read."""

    def lines(self):
        """Returns the lines of the log; the last one is empty where the log ends with a newline."""
        with open(self.path("log")) as source:
            return source.read().split("\n")

    def counted(self, lines):
        """Returns the complete lines, and the number of lines that other lines report as lost."""
        lost = [int(line.rpartition("=")[2]) for line in lines if line.startswith('event="log lines lost"')]
        return [line for line in lines if line.startswith("<") and line.endswith(">")], sum(lost)

    def test_each_write_fails(self):
        """(error, failing writes, bytes per write) -> every line is written completely or counted, and in order."""
        for error in ERRORS:
            for failing in ((1,), (2,), (3,), (1, 2, 3), (2, 4, 6), range(2, 12)):
                for limit in (1 << 20, 7):
                    with self.subTest(error=errno.errorcode[error], failing=failing, limit=limit):
                        with open(self.path("log"), "w") as sink:
                            with mock.patch.object(os, "write", FailingWrite(self.path("log"), error, failing, limit)):
                                log_writer = logs.LogWriter(sink)
                                for number in range(40):
                                    log_writer.msg(f"<line {number}>")
                                    if number % 10 == 0:
                                        self.assertTrue(until(log_writer.lines.empty))
                                log_writer.close(LONG)
                            self.assertFalse(log_writer.thread.is_alive())
                        whole, lost = self.counted(self.lines())
                        self.assertEqual(len(set(whole)) + lost + log_writer.lost_lines, 40)
                        self.assertEqual(len(whole), len(set(whole)))
                        numbers = [int(line[6:-1]) for line in whole]
                        self.assertEqual(numbers, sorted(numbers))

    def test_a_sink_that_raises(self):
        """With a sink that raises any exception, or is None, only the lines are lost."""

        class RaisingSink(io.StringIO):
            error = None

            def write(self, text):
                if self.error is not None:
                    raise self.error
                return super().write(text)

        for error in (OSError(errno.EIO, ""), ValueError("closed"), RuntimeError("odd"), MemoryError()):
            sink = RaisingSink()
            log_writer = logs.LogWriter(sink)
            sink.error = error
            log_writer.msg("one")
            self.assertTrue(until(lambda log_writer=log_writer: log_writer.lost_lines == 1))
            sink.error = None
            log_writer.msg("two")
            log_writer.close(LONG)
            self.assertEqual(sink.getvalue(), 'event="log lines lost" lines=1\ntwo\n')
        log_writer = logs.LogWriter(None)
        log_writer.msg("one")
        log_writer.msg("two")
        log_writer.close(LONG)
        self.assertEqual((log_writer.lost_lines, log_writer.thread.is_alive()), (2, False))

    def test_text_that_utf8_can_not_encode(self):
        """Characters that UTF-8 can't encode are escaped."""
        with open(self.path("log"), "w", encoding="utf-8") as sink:
            log_writer = logs.LogWriter(sink)
            log_writer.msg("<a \udc80>")
            log_writer.close(LONG)
        self.assertEqual(self.lines(), ["<a \\udc80>", ""])

    def test_a_file_that_can_not_be_opened(self):
        """(error) -> on a full disk lines are lost but the start succeeds; a wrong path is an error at the start."""
        for error in (errno.ENOSPC, errno.EIO):
            failing_open = mock.Mock(side_effect=OSError(error, os.strerror(error)))
            with mock.patch.object(logs, "open", failing_open, create=True):
                log_writer = logs.LogWriter(logs.open_sink(self.path("log")))
                log_writer.msg("<one>")
                self.assertTrue(until(lambda log_writer=log_writer: log_writer.lost_lines == 1))
            log_writer.msg("<two>")
            log_writer.close(LONG)
            log_writer.sink.close()
            self.assertEqual(self.lines(), ['event="log lines lost" lines=1', "<two>", ""])
            os.unlink(self.path("log"))
        self.assertRaises(OSError, logs.open_sink, self.path("none", "log"))

    def test_a_pipe_whose_reader_has_closed(self):
        """Requests are answered, and the lost lines are counted."""
        read_end, write_end = os.pipe()
        with os.fdopen(write_end, "w") as sink, RunningGateway(sink=sink) as running:
            os.close(read_end)
            running.log.info("one")
            self.assertTrue(until(lambda: running.log_writer.lost_lines > 0))
            client = running.client()
            client.ask(1, time_left_ms=5000)
            self.assertIn("result", client.answer())
            client.close()

    def test_close_on_a_pipe_that_is_not_read(self):
        """The timeout of `close` bounds all its steps together."""
        read_end, write_end = os.pipe()
        real_join, join_timeouts = threading.Thread.join, []
        with mock.patch.object(logs, "MAX_QUEUED_LINES", 10):
            log_writer = logs.LogWriter(os.fdopen(write_end, "w"))
        log_writer.msg("x" * (1 << 20))
        self.assertTrue(until(log_writer.lines.empty))

        def put(line, timeout):
            now[0] += timeout  # the queue has room only just as the timeout expires

        def join(thread, timeout):
            join_timeouts.append(timeout)

        now = [100.0]
        with (
            mock.patch.object(logs.time, "monotonic", lambda: now[0]),
            mock.patch.object(log_writer.lines, "put", put),
            mock.patch.object(log_writer.thread, "join", lambda timeout: join(log_writer.thread, timeout)),
        ):
            log_writer.close(1.0)
        self.assertEqual(join_timeouts, [0.0])
        os.close(read_end)  # makes the blocked write fail
        log_writer.lines.put(None)
        real_join(log_writer.thread, LONG)
        self.assertFalse(log_writer.thread.is_alive())
        log_writer.sink.close()


class FakeLog:
    """Collects the lines that are logged as errors."""

    def __init__(self):
        self.lines = []

    def error(self, event, **fields):
        self.lines.append((event, fields))


class FailingFile:
    """A recording's file: the write number `first_failing` and all later ones fail."""

    def __init__(self, file, error, first_failing):
        self.file, self.error, self.first_failing, self.write_count = file, error, first_failing, 0

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.file.close()
        if self.write_count >= self.first_failing:
            raise OSError(self.error, os.strerror(self.error))

    def write(self, data):
        self.write_count += 1
        if self.write_count >= self.first_failing:
            self.file.write(data[: len(data) // 2])
            raise OSError(self.error, os.strerror(self.error))
        return self.file.write(data)


class Recordings(TemporaryFolderCase):
    """Recordings whose writes fail or are too slow."""

    def recorder(self, error, first_failing, log):
        """A recorder whose file fails from the write number `first_failing` on."""
        real_open = open
        with mock.patch.object(
            recording, "open", lambda *args: FailingFile(real_open(*args), error, first_failing), create=True
        ):
            return recording.DecisionRecorder(self.path("tape"), log)

    def test_each_write_fails(self):
        """The recording ends with one log line, no entry stays in memory, and the written part can be read."""
        for error in ERRORS:
            for first_failing in range(1, 8):
                with self.subTest(error=errno.errorcode[error], first_failing=first_failing):
                    log = FakeLog()
                    recorder = self.recorder(error, first_failing, log)
                    for number in range(6):
                        recorder.record_input(float(number), "left", (number,))
                    recorder.close()
                    self.assertFalse(recorder.thread.is_alive())
                    for number in range(6):
                        recorder.record_input(float(number), "left", (number,))
                    self.assertEqual(recorder.has_ended, first_failing <= 6)
                    expected = [("recording ended", {"path": self.path("tape"), "reason": os.strerror(error)})]
                    self.assertEqual(log.lines, expected if first_failing <= 6 else [])
                    if first_failing <= 6:
                        self.assertTrue(recorder.entries.empty())
                    with open(self.path("tape"), "rb") as source:
                        self.assertEqual(len(list(recording.entries(source))), min(first_failing - 1, 6))

    def test_requests_are_answered(self):
        """A gateway whose recording fails still answers requests."""
        log = FakeLog()
        recorder = self.recorder(errno.ENOSPC, 3, log)
        with RunningGateway() as running:
            running.gateway.coordinator.driver.recorder = recorder
            client = running.client()
            for number in range(20):
                client.ask(number, time_left_ms=5000)
                self.assertIn("result", client.answer())
            client.close()
            self.assertTrue(until(lambda: len(log.lines) == 1))
        recorder.close()
        self.assertEqual(len(log.lines), 1)

    def test_a_writer_that_is_too_slow(self):
        """A full queue ends the recording."""
        log = FakeLog()
        may_write = threading.Event()
        with mock.patch.object(recording, "MAX_QUEUED_ENTRIES", 5):
            recorder = self.recorder(0, 1 << 30, log)
            with mock.patch.object(recorder.sink, "write", lambda data: may_write.wait(LONG)):
                for number in range(20):
                    recorder.record_input(float(number), "left", (number,))
                self.assertTrue(recorder.has_ended)
                may_write.set()
                recorder.close()
        self.assertEqual(
            log.lines, [("recording ended", {"path": self.path("tape"), "reason": "5 entries wait to be written"})]
        )

    def test_a_file_that_can_not_be_opened(self):
        """(error) -> on a full disk only the recording is lost; a wrong path is an error at the start."""
        for error in (errno.ENOSPC, errno.EIO):
            log, failing_open = FakeLog(), mock.Mock(side_effect=OSError(error, os.strerror(error)))
            with mock.patch.object(recording, "open", failing_open, create=True):
                recorder = recording.DecisionRecorder(self.path("tape"), log)
            recorder.record_input(1.0, "left", ("a",))
            recorder.close()
            self.assertEqual(
                log.lines, [("recording ended", {"path": self.path("tape"), "reason": os.strerror(error)})]
            )
            self.assertTrue(recorder.entries.empty())
        self.assertRaises(OSError, recording.DecisionRecorder, self.path("none", "tape"), FakeLog())

    def test_a_value_that_can_not_be_encoded(self):
        """The value ends the recording, and no exception is raised."""
        log = FakeLog()
        recorder = recording.DecisionRecorder(self.path("tape"), log)
        recorder.record_input(1.0, "left", (object(),))
        recorder.close()
        self.assertTrue(recorder.has_ended)
        self.assertEqual(len(log.lines), 1)


class Traces(TemporaryFolderCase):
    """Traces whose writes fail or are short."""

    def setUp(self):
        super().setUp()
        standard_error = self.enterContext(open(self.path("standard-error"), "wb", 0))
        self.enterContext(mock.patch.object(trace, "STANDARD_ERROR_FD", standard_error.fileno()))

    def reported(self):
        """Returns the lines that were written to standard error."""
        with open(self.path("standard-error"), "rb") as source:
            return source.read().splitlines()

    def test_each_write_fails(self):
        """Where a line was not written, its writer gets an exception and the trace is invalid."""
        path = self.path("t")
        for error in (errno.ENOSPC, errno.EIO):
            for failing_write in range(1, 6):
                for limit in (1 << 20, 9):
                    with (
                        self.subTest(error=error, failing_write=failing_write, limit=limit),
                        mock.patch("os.write", FailingWrite(path, error, (failing_write,), limit)),
                    ):
                        record = trace.TraceRecorder(path, "w")
                        with self.assertRaises(trace.InvalidTraceError):
                            for _ in range(6):
                                record("one")
                        self.assertRaises(trace.InvalidTraceError, record, "two")
                        self.assertRaises(trace.InvalidTraceError, trace.read, [path])
                        trace.TraceRecorder(path, "w")("started anew")
                        self.assertRaises(trace.InvalidTraceError, trace.read, [path])
                        os.close(record.file)
                        os.unlink(path)
                        os.unlink(path + trace.INCOMPLETE_SUFFIX)
        self.assertEqual(len(self.reported()), 2 * 5 * 2)
        self.assertTrue(all(b" of w was not written (" in line for line in self.reported()))

    def test_the_incomplete_mark_can_not_be_written(self):
        """Where the file that marks an incomplete trace can't be created, the trace is not found under its name."""
        path = self.path("t")
        record = trace.TraceRecorder(path, "w")
        record("one")
        failing_open = mock.Mock(side_effect=OSError(errno.ENOSPC, "no space"))
        with (
            mock.patch.object(os, "write", FailingWrite(path, errno.ENOSPC, (1,))),
            mock.patch.object(os, "open", failing_open),
        ):
            self.assertRaises(trace.InvalidTraceError, record, "two")
        self.assertRaises(trace.InvalidTraceError, trace.read, [path])

    def test_short_writes(self):
        """After a short write the rest of the line is written by the next call."""
        path = self.path("t")
        with mock.patch.object(os, "write", FailingWrite(path, 0, (), 5)):
            record = trace.TraceRecorder(path, "w")
            for _ in range(3):
                record("one", t=1.0)
        self.assertEqual([line["n"] for line in trace.read([path])], [1, 2, 3])

    def test_a_line_that_is_missing(self):
        """(line numbers in a file) -> whether the trace is complete; a writer that was restarted counts from 1."""
        for numbers, is_complete in (
            ((1, 2, 3), True),
            ((1, 3), False),
            ((2, 3), False),
            ((1, 2, 1, 2), True),
            ((1, 1), True),
        ):
            with self.subTest(numbers=numbers):
                with open(self.path("t"), "wb") as sink:
                    for number in numbers:
                        sink.write(msgspec.json.encode({"t": 1.0, "by": "w", "n": number, "what": "one"}) + b"\n")
                if is_complete:
                    self.assertEqual(len(trace.read([self.path("t")])), len(numbers))
                else:
                    self.assertRaises(trace.InvalidTraceError, trace.read, [self.path("t")])

    def test_threads(self):
        """Lines written by several threads are numbered without gaps or repetitions."""
        record = trace.TraceRecorder(self.path("t"), "w")
        threads = [threading.Thread(target=lambda: [record("one") for _ in range(200)]) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(LONG)
        self.assertEqual(sorted(line["n"] for line in trace.read([self.path("t")])), list(range(1, 801)))


if __name__ == "__main__":
    unittest.main()

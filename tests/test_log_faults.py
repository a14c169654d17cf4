"""Logs, recordings and traces where their writes fail or take no more: no request waits for them or gets an error."""

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


class Folders(unittest.TestCase):
    """A folder for the files of a test."""

    def setUp(self):
        made = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(made.cleanup)
        self.folder = made.name

    def path(self, *parts):
        return os.path.join(self.folder, *parts)


class Writes:
    """Replaces os.write: the calls on a file with the numbers `failing` fail; others write at most `limit` bytes."""

    def __init__(self, path, error, failing=(), limit=1 << 20):
        self.path, self.error, self.failing, self.limit = path, error, failing, limit
        self.seen, self.real = 0, os.write

    def __call__(self, descriptor, data):
        if os.readlink(f"/proc/self/fd/{descriptor}") != os.path.realpath(self.path):
            return self.real(descriptor, data)
        self.seen += 1
        if self.seen in self.failing:
            raise OSError(self.error, os.strerror(self.error))
        return self.real(descriptor, bytes(data[: self.limit]))


class Logs(Folders):
    """Logs whose writes fail, and pipes that nobody reads."""

    def lines(self):
        with open(self.path("log")) as source:
            return source.read().split("\n")

    def counted(self, lines):
        """(whole lines, the number of lines that others report as lost)."""
        lost = [int(line.rpartition("=")[2]) for line in lines if line.startswith('event="log lines lost"')]
        return [line for line in lines if line.startswith("<") and line.endswith(">")], sum(lost)

    def test_each_write_fails(self):
        """(error, which writes fail, bytes a write takes) -> every line is there whole or counted, in order."""
        for error in ERRORS:
            for failing in ((1,), (2,), (3,), (1, 2, 3), (2, 4, 6), range(2, 12)):
                for limit in (1 << 20, 7):
                    with self.subTest(error=errno.errorcode[error], failing=failing, limit=limit):
                        with open(self.path("log"), "w") as sink:
                            with mock.patch.object(os, "write", Writes(self.path("log"), error, failing, limit)):
                                log_writer = logs.LogWriter(sink)
                                for at in range(40):
                                    log_writer.msg(f"<line {at}>")
                                    if at % 10 == 0:
                                        self.assertTrue(until(log_writer.lines.empty))
                                log_writer.close(LONG)
                            self.assertFalse(log_writer.thread.is_alive())
                        whole, lost = self.counted(self.lines())
                        self.assertEqual(len(set(whole)) + lost + log_writer.lost, 40)
                        self.assertEqual(len(whole), len(set(whole)))
                        numbers = [int(line[6:-1]) for line in whole]
                        self.assertEqual(numbers, sorted(numbers))

    def test_a_sink_that_raises(self):
        """A sink that raises any exception, or is None, loses its lines and nothing else."""

        class Odd(io.StringIO):
            wrong = None

            def write(self, text):
                if self.wrong is not None:
                    raise self.wrong
                return super().write(text)

        for wrong in (OSError(errno.EIO, ""), ValueError("closed"), RuntimeError("odd"), MemoryError()):
            sink = Odd()
            log_writer = logs.LogWriter(sink)
            sink.wrong = wrong
            log_writer.msg("one")
            self.assertTrue(until(lambda log_writer=log_writer: log_writer.lost == 1))
            sink.wrong = None
            log_writer.msg("two")
            log_writer.close(LONG)
            self.assertEqual(sink.getvalue(), 'event="log lines lost" lines=1\ntwo\n')
        log_writer = logs.LogWriter(None)
        log_writer.msg("one")
        log_writer.msg("two")
        log_writer.close(LONG)
        self.assertEqual((log_writer.lost, log_writer.thread.is_alive()), (2, False))

    def test_text_that_utf8_can_not_encode(self):
        """Characters that UTF-8 can't encode are escaped."""
        with open(self.path("log"), "w", encoding="utf-8") as sink:
            log_writer = logs.LogWriter(sink)
            log_writer.msg("<a \udc80>")
            log_writer.close(LONG)
        self.assertEqual(self.lines(), ["<a \\udc80>", ""])

    def test_a_file_that_can_not_be_opened(self):
        """(error) -> a full disk costs lines and not the start; a wrong path is an error at the start."""
        for error in (errno.ENOSPC, errno.EIO):
            broken = mock.Mock(side_effect=OSError(error, os.strerror(error)))
            with mock.patch.object(logs, "open", broken, create=True):
                log_writer = logs.LogWriter(logs.open_sink(self.path("log")))
                log_writer.msg("<one>")
                self.assertTrue(until(lambda log_writer=log_writer: log_writer.lost == 1))
            log_writer.msg("<two>")
            log_writer.close(LONG)
            log_writer.sink.close()
            self.assertEqual(self.lines(), ['event="log lines lost" lines=1', "<two>", ""])
            os.unlink(self.path("log"))
        self.assertRaises(OSError, logs.open_sink, self.path("none", "log"))

    def test_a_pipe_whose_reader_is_gone(self):
        """Requests have their answers, and the lines are counted."""
        out, into = os.pipe()
        with os.fdopen(into, "w") as sink, RunningGateway(sink=sink) as running:
            os.close(out)
            running.log.info("one")
            self.assertTrue(until(lambda: running.log_writer.lost > 0))
            client = running.client()
            client.ask(1, time_left_ms=5000)
            self.assertIn("result", client.answer())
            client.close()

    def test_close_on_a_pipe_that_nobody_reads(self):
        """The timeout bounds all its steps together."""
        out, into = os.pipe()
        real, steps = threading.Thread.join, []
        with mock.patch.object(logs, "MAX_QUEUED_LINES", 10):
            log_writer = logs.LogWriter(os.fdopen(into, "w"))
        log_writer.msg("x" * (1 << 20))
        self.assertTrue(until(log_writer.lines.empty))

        def put(line, timeout):
            now[0] += timeout  # there is room just as the time is up

        def join(thread, timeout):
            steps.append(timeout)

        now = [100.0]
        with (
            mock.patch.object(logs.time, "monotonic", lambda: now[0]),
            mock.patch.object(log_writer.lines, "put", put),
            mock.patch.object(log_writer.thread, "join", lambda timeout: join(log_writer.thread, timeout)),
        ):
            log_writer.close(1.0)
        self.assertEqual(steps, [0.0])
        os.close(out)  # ends the write
        log_writer.lines.put(None)
        real(log_writer.thread, LONG)
        self.assertFalse(log_writer.thread.is_alive())
        log_writer.sink.close()


class Log:
    """Keeps its lines."""

    def __init__(self):
        self.lines = []

    def error(self, event, **keys):
        self.lines.append((event, keys))


class Sink:
    """A recording's file: the n-th write fails, and all after it."""

    def __init__(self, file, error, at):
        self.file, self.error, self.at, self.seen = file, error, at, 0

    def __enter__(self):
        return self

    def __exit__(self, *raised):
        self.file.close()
        if self.seen >= self.at:
            raise OSError(self.error, os.strerror(self.error))

    def write(self, data):
        self.seen += 1
        if self.seen >= self.at:
            self.file.write(data[: len(data) // 2])
            raise OSError(self.error, os.strerror(self.error))
        return self.file.write(data)


class Recordings(Folders):
    """Recordings whose writes fail or are too slow."""

    def made(self, error, at, log):
        """A recording whose writes fail from the n-th on."""
        real = open
        with mock.patch.object(recording, "open", lambda *args: Sink(real(*args), error, at), create=True):
            return recording.DecisionRecorder(self.path("tape"), log)

    def test_each_write_fails(self):
        """The recording ends with one log line, no entry stays in memory, and the written part can be read."""
        for error in ERRORS:
            for at in range(1, 8):
                with self.subTest(error=errno.errorcode[error], at=at):
                    log = Log()
                    made = self.made(error, at, log)
                    for number in range(6):
                        made.record_input(float(number), "left", (number,))
                    made.close()
                    self.assertFalse(made.thread.is_alive())
                    for number in range(6):
                        made.record_input(float(number), "left", (number,))
                    self.assertEqual(made.broken, at <= 6)
                    expected = [("recording ended", {"path": self.path("tape"), "reason": os.strerror(error)})]
                    self.assertEqual(log.lines, expected if at <= 6 else [])
                    if at <= 6:
                        self.assertTrue(made.entries.empty())
                    with open(self.path("tape"), "rb") as source:
                        self.assertEqual(len(list(recording.entries(source))), min(at - 1, 6))

    def test_requests_go_on(self):
        """A gateway whose recording fails answers as before."""
        log = Log()
        made = self.made(errno.ENOSPC, 3, log)
        with RunningGateway() as running:
            running.gateway.coordinator.driver.recorder = made
            client = running.client()
            for at in range(20):
                client.ask(at, time_left_ms=5000)
                self.assertIn("result", client.answer())
            client.close()
            self.assertTrue(until(lambda: len(log.lines) == 1))
        made.close()
        self.assertEqual(len(log.lines), 1)

    def test_a_writer_that_is_too_slow(self):
        """A full queue ends the recording too."""
        log = Log()
        go_on = threading.Event()
        with mock.patch.object(recording, "MAX_QUEUED", 5):
            made = self.made(0, 1 << 30, log)
            with mock.patch.object(made.sink, "write", lambda data: go_on.wait(LONG)):
                for number in range(20):
                    made.record_input(float(number), "left", (number,))
                self.assertTrue(made.broken)
                go_on.set()
                made.close()
        self.assertEqual(
            log.lines, [("recording ended", {"path": self.path("tape"), "reason": "5 entries wait to be written"})]
        )

    def test_a_file_that_can_not_be_opened(self):
        """(error) -> a full disk costs the recording and not the start; a wrong path is an error at the start."""
        for error in (errno.ENOSPC, errno.EIO):
            log, broken = Log(), mock.Mock(side_effect=OSError(error, os.strerror(error)))
            with mock.patch.object(recording, "open", broken, create=True):
                made = recording.DecisionRecorder(self.path("tape"), log)
            made.record_input(1.0, "left", ("a",))
            made.close()
            self.assertEqual(
                log.lines, [("recording ended", {"path": self.path("tape"), "reason": os.strerror(error)})]
            )
            self.assertTrue(made.entries.empty())
        self.assertRaises(OSError, recording.DecisionRecorder, self.path("none", "tape"), Log())

    def test_what_can_not_be_encoded(self):
        """It ends the recording and raises nowhere."""
        log = Log()
        made = recording.DecisionRecorder(self.path("tape"), log)
        made.record_input(1.0, "left", (object(),))
        made.close()
        self.assertTrue(made.broken)
        self.assertEqual(len(log.lines), 1)


class Traces(Folders):
    """Traces whose writes fail or are short."""

    def setUp(self):
        super().setUp()
        standard_error = self.enterContext(open(self.path("standard-error"), "wb", 0))
        self.enterContext(mock.patch.object(trace, "STANDARD_ERROR", standard_error.fileno()))

    def reported(self):
        """The lines that were written to standard error."""
        with open(self.path("standard-error"), "rb") as source:
            return source.read().splitlines()

    def test_each_write_fails(self):
        """A line that was not written raises for its writer, and its trace is invalid."""
        path = self.path("t")
        for error in (errno.ENOSPC, errno.EIO):
            for at in range(1, 6):
                for limit in (1 << 20, 9):
                    with (
                        self.subTest(error=error, at=at, limit=limit),
                        mock.patch("os.write", Writes(path, error, (at,), limit)),
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
                        os.unlink(path + trace.INCOMPLETE)
        self.assertEqual(len(self.reported()), 2 * 5 * 2)
        self.assertTrue(all(b" of w was not written (" in line for line in self.reported()))

    def test_no_mark_can_be_made(self):
        """Where no mark can be made, the trace is not found under its name."""
        path = self.path("t")
        record = trace.TraceRecorder(path, "w")
        record("one")
        broken = mock.Mock(side_effect=OSError(errno.ENOSPC, "no space"))
        with mock.patch.object(os, "write", Writes(path, errno.ENOSPC, (1,))), mock.patch.object(os, "open", broken):
            self.assertRaises(trace.InvalidTraceError, record, "two")
        self.assertRaises(trace.InvalidTraceError, trace.read, [path])

    def test_short_writes(self):
        """The rest of a line is written by the next call."""
        path = self.path("t")
        with mock.patch.object(os, "write", Writes(path, 0, (), 5)):
            record = trace.TraceRecorder(path, "w")
            for _ in range(3):
                record("one", t=1.0)
        self.assertEqual([line["n"] for line in trace.read([path])], [1, 2, 3])

    def test_a_line_that_is_missing(self):
        """(numbers in a file) -> whether it is whole; a writer that was started anew counts from 1."""
        for numbers, whole in (
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
                if whole:
                    self.assertEqual(len(trace.read([self.path("t")])), len(numbers))
                else:
                    self.assertRaises(trace.InvalidTraceError, trace.read, [self.path("t")])

    def test_threads(self):
        """Lines of several threads have their numbers in order."""
        record = trace.TraceRecorder(self.path("t"), "w")
        threads = [threading.Thread(target=lambda: [record("one") for _ in range(200)]) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(LONG)
        self.assertEqual(sorted(line["n"] for line in trace.read([self.path("t")])), list(range(1, 801)))


if __name__ == "__main__":
    unittest.main()

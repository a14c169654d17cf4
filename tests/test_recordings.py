"""Recordings of a gateway: replay, and a disk that is too slow."""

import gzip
import os
import tempfile
import threading
import unittest
import unittest.mock

from tests.rig import STEP_TIMEOUT, RunningGateway, answers_all
from tests.scripted_workers import ends_connection_on_run, responds_with_error, silent
from wickdyke.gateway import recording
from wickdyke.protocol import worker_messages


class Recordings(unittest.TestCase):
    """Recordings are replayed, and end where the disk is too slow."""

    def test_replay(self):
        """The same inputs give the same decisions without sockets; a decision that was altered is reported."""
        with RunningGateway(
            (answers_all, responds_with_error(worker_messages.FULL), ends_connection_on_run, silent),
            soft="300 ms",
            deadline="800 ms",
            record=True,
        ) as running:
            client = running.client()
            for number in range(150):
                client.ask(number, ("idem", "side")[number % 3 == 0], f"p{number % 7}")
            received = {client.answer()["id"] for _ in range(150)}
            self.assertEqual(received, set(range(150)))
            client.close()
            running.gateway.client_server.stop_accepting()
            running.coordinator.close()
            running.gateway.recorder.close()
            with open(running.config.recording_path, "rb") as source:
                lines = source.readlines()
            running.coordinator.events.put(None)
            matched, difference = recording.replay(lines)
            self.assertIsNone(difference)
            self.assertGreater(matched, 150)
            index = next(n for n, line in enumerate(lines) if line.startswith(b'["decided",["forward"'))
            changed = [*lines[:index], lines[index].replace(b'"w', b'"x'), *lines[index + 1 :]]
            self.assertIn("decided", recording.replay(changed)[1])
            truncated = [*lines[:-1], lines[-1][:5]]
            self.assertIsNone(recording.replay(truncated)[1])
            running.gateway.coordinator.close = lambda: None  # already closed

    def test_unknown_load_note_is_replayed(self):
        """A gateway passes a worker's load note on unchanged, so a recording may contain any text as one."""
        path = os.path.join(os.path.dirname(__file__), "recordings", "routes-1.gz")
        with gzip.open(path) as source:
            lines = source.readlines()
        changed = [line.replace(b'"stood"', b'"resident"') for line in lines]
        self.assertNotEqual(changed, lines)
        self.assertGreater(recording.replay(changed)[0], 0)

    def test_a_disk_that_is_too_slow(self):
        """A recording that is written too slowly is ended with an end marker, and its callers never block."""
        with (
            tempfile.TemporaryDirectory(prefix="wd-") as folder,
            unittest.mock.patch.object(recording, "MAX_QUEUED_ENTRIES", 50),
        ):
            path = os.path.join(folder, "fifo")
            os.mkfifo(path)
            reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
            recorder = recording.DecisionRecorder(path)
            for number in range(100000):
                recorder.record_input(float(number), "left", ("x" * 100,))
                if recorder.has_ended:
                    break
            self.assertTrue(recorder.has_ended)
            os.set_blocking(reader, True)
            received: list[bytes] = []
            drain = threading.Thread(target=lambda: received.extend(iter(lambda: os.read(reader, 1 << 16), b"")))
            drain.start()
            recorder.close()
            drain.join(STEP_TIMEOUT)
            os.close(reader)
            lines = b"".join(received).splitlines(keepends=True)
            self.assertEqual(lines[-1], b'["broken off"]\n')
            self.assertEqual(len(list(recording.entries(lines))), len(lines) - 1)


if __name__ == "__main__":
    unittest.main()

"""Recordings of a gateway, replayed."""

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
    """Recordings replayed, and a disk that is too slow for them."""

    def test_replay(self):
        """The same inputs give the same decisions, without sockets; a decision changed by hand is found."""
        with RunningGateway(
            (answers_all, responds_with_error(worker_messages.FULL), ends_connection_on_run, silent),
            soft="300 ms",
            deadline="800 ms",
            record=True,
        ) as running:
            client = running.client()
            for at in range(150):
                client.ask(at, ("idem", "side")[at % 3 == 0], f"p{at % 7}")
            received = {client.answer()["id"] for _ in range(150)}
            self.assertEqual(received, set(range(150)))
            client.close()
            running.gateway.client_server.stop_accepting()
            running.coordinator.end()
            running.gateway.recorder.close()
            with open(running.config.recording_path, "rb") as source:
                lines = source.readlines()
            running.coordinator.events.put(None)
            alike, differs = recording.replay(lines)
            self.assertIsNone(differs)
            self.assertGreater(alike, 150)
            at = next(n for n, line in enumerate(lines) if line.startswith(b'["decided",["forward"'))
            changed = [*lines[:at], lines[at].replace(b'"w', b'"x'), *lines[at + 1 :]]
            self.assertIn("decided", recording.replay(changed)[1])
            cut_off = [*lines[:-1], lines[-1][:5]]
            self.assertIsNone(recording.replay(cut_off)[1])
            running.gateway.coordinator.end = lambda: None  # ended already

    def test_unknown_load_note_is_replayed(self):
        """A gateway passes a load note on as the worker wrote it, so a recording may hold any word."""
        path = os.path.join(os.path.dirname(__file__), "recordings", "routes-1.gz")
        with gzip.open(path) as source:
            lines = source.readlines()
        changed = [line.replace(b'"stood"', b'"resident"') for line in lines]
        self.assertNotEqual(changed, lines)
        self.assertGreater(recording.replay(changed)[0], 0)

    def test_a_disk_that_is_too_slow(self):
        """A recording that can't be written as fast ends, with a mark; nothing waits for it."""
        with (
            tempfile.TemporaryDirectory(prefix="wd-") as folder,
            unittest.mock.patch.object(recording, "MAX_QUEUED", 50),
        ):
            path = os.path.join(folder, "fifo")
            os.mkfifo(path)
            reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
            made = recording.DecisionRecorder(path)
            for at in range(100000):
                made.record_input(float(at), "left", ("x" * 100,))
                if made.broken:
                    break
            self.assertTrue(made.broken)
            os.set_blocking(reader, True)
            received: list[bytes] = []
            drain = threading.Thread(target=lambda: received.extend(iter(lambda: os.read(reader, 1 << 16), b"")))
            drain.start()
            made.close()
            drain.join(STEP_TIMEOUT)
            os.close(reader)
            lines = b"".join(received).splitlines(keepends=True)
            self.assertEqual(lines[-1], b'["broken off"]\n')
            self.assertEqual(len(list(recording.entries(lines))), len(lines) - 1)


if __name__ == "__main__":
    unittest.main()

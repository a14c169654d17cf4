"""The log of a gateway: a full pipe, levels and formats, and the router's log notes."""

import io
import os
import threading
import unittest
import unittest.mock

from tests.rig import STEP_TIMEOUT, RunningGateway, until
from wickdyke.gateway import log as logs


class Logs(unittest.TestCase):
    """A log whose pipe is full, levels and formats, and the router's log notes."""

    def test_a_full_pipe(self):
        """A log pipe that is not read loses lines, and delays no request."""
        read_end, write_end = os.pipe()
        sink = os.fdopen(write_end, "w")
        with RunningGateway(sink=sink) as running:
            for index in range(logs.MAX_QUEUED_LINES + 5000):
                running.log.info("filler", index=index, more="x" * 100)
            self.assertTrue(until(lambda: running.log_writer.lost_lines > 0))
            client = running.client()
            for index in range(50):
                client.ask(index, time_left_ms=5000)
                self.assertIn("result", client.answer())
            client.close()
            reader = threading.Thread(target=lambda: [None for _ in iter(lambda: os.read(read_end, 1 << 16), b"")])
            reader.start()
        sink.close()
        reader.join(STEP_TIMEOUT)
        os.close(read_end)

    def test_levels(self):
        """(debug, JSON) -> whether attempts are logged, and the format of a line."""
        for debug, json, expected_text in ((False, False, "event=one worker=w"), (True, True, '"event": "one"')):
            sink = io.StringIO()
            log, log_writer = logs.logger(sink, json, debug, gateway="g")
            log.info("one", worker="w")
            log.debug("two", request=1, attempt=0)
            log_writer.close()
            self.assertEqual("two" in sink.getvalue(), debug)
            self.assertIn(expected_text, sink.getvalue().replace("gateway=g ", ""))

    def test_notes_of_the_router(self):
        """(note) -> the event and the fields of its log line."""
        for note, event, fields in (
            (
                "worker w1 ejected for 1500 ms: cut, 3 of 4 bad",
                "worker ejected for 1500 ms: cut, 3 of 4 bad",
                {"worker": "w1"},
            ),
            ("something else", "something else", {}),
        ):
            self.assertEqual(logs.parse_note(note), (event, fields))


if __name__ == "__main__":
    unittest.main()

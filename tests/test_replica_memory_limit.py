"""The limit of a replica's data size, where the system does not tell the present size or refuses the limit."""

import io
import unittest
from unittest.mock import Mock, mock_open, patch

from wickdyke.worker import replica_server
from wickdyke.worker.replica_messages import MB

STATUS = "Name:\tpython\nVmData:\t  2048 kB\n"


class MemoryLimit(unittest.TestCase):
    """Starts that the limit must not prevent."""

    def limits_set(self, opened, refusal=None):
        """Limits a replica of 100 MB; returns the calls of setrlimit."""
        message = Mock(concurrency=1, memory_mb=100)
        with (
            patch("builtins.open", opened),
            patch.object(replica_server.resource, "setrlimit", Mock(side_effect=refusal)) as setrlimit,
        ):
            replica_server._limit_memory(message)
        return setrlimit.call_args_list

    def test_a_size_that_is_told(self):
        limit = (2 + 150) * MB + replica_server.MEMORY_MARGIN_BYTES + replica_server.STACK_BYTES
        _, last = self.limits_set(mock_open(read_data=STATUS))
        self.assertEqual(last.args, (replica_server.resource.RLIMIT_DATA, (limit, limit)))

    def test_a_size_that_is_not_told(self):
        """Guards against replicas that never start where /proc is missing or of another form (issue 65)."""
        for opened in (
            Mock(side_effect=FileNotFoundError(2, "No such file")),
            Mock(side_effect=lambda path: io.StringIO("Name:\tpython\n")),
            Mock(side_effect=lambda path: io.StringIO("VmData:\n")),
        ):
            with self.subTest(opened=opened):
                (only,) = self.limits_set(opened)
                self.assertEqual(only.args, (replica_server.resource.RLIMIT_CORE, (0, 0)))

    def test_limits_that_are_refused(self):
        """Guards against replicas that never start where a limit is refused (issue 65)."""
        for refusal in (PermissionError(1, "Operation not permitted"), ValueError("current limit exceeds maximum")):
            with self.subTest(refusal=refusal):
                self.assertEqual(len(self.limits_set(mock_open(read_data=STATUS), refusal)), 2)


if __name__ == "__main__":
    unittest.main()

"""Each system call that a command to a worker makes fails, once or three times in a row."""

import errno
import unittest

from tests.worker_fault_rig import ERRORS, Faults, WorkerConnectionCase


class SystemCallFaultsTest(WorkerConnectionCase):
    """Each system call that a command makes fails once or three times."""

    def test_each_system_call_fails_once_or_three_times(self):
        """Each call with each of its errors, on sockets that send everything at once and on sockets that block."""
        worker, healthy = self.make_workers()
        for blocks_sends in (False, True):
            without_faults = Faults(blocks_sends=blocks_sends)
            with self.prepare(without_faults):
                self.run_commands(worker, healthy)
            self.assertEqual([outcome for _, outcome in self.recorded], ["ok"] * 7)
            for name, codes in ERRORS.items():
                # The last unregister is made as the connection is closed at the end.
                self.assertGreaterEqual(without_faults.calls[name], 1, name)
                for nth in range(1, without_faults.calls[name] + 1):
                    for code in codes:
                        for count in (1, 3):
                            fault = dict(name=name, nth=nth, code=errno.errorcode.get(code, "short"), count=count)
                            with (
                                self.subTest(blocks_sends=blocks_sends, **fault),
                                self.prepare(Faults(name, nth, code, count, blocks_sends)),
                            ):
                                self.run_commands(worker, healthy)


if __name__ == "__main__":
    unittest.main()

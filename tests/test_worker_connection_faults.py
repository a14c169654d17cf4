"""System calls of connections to workers fail, once or thrice in a row, for every call on the path of a command."""

import errno
import unittest

from tests.worker_fault_rig import ERRORS, Faults, WorkerConnectionCase


class Paths(WorkerConnectionCase):
    """Every system call on the path of a command fails once or three times."""

    def test_every_call_fails_once_or_thrice(self):
        """For every call that the path makes, every errno of it, and sockets that take all at once or choke."""
        worker, healthy = self.workers()
        for chokes in (False, True):
            whole = Faults(chokes=chokes)
            with self.prepare(whole):
                self.run_path(worker, healthy)
            self.assertEqual([outcome for _, outcome in self.recorded], ["ok"] * 7)
            for name, codes in ERRORS.items():
                # An unregister is on the path of a connection that ends: the last comes with the end of the test.
                self.assertGreaterEqual(whole.calls[name], 1, name)
                for nth in range(1, whole.calls[name] + 1):
                    for code in codes:
                        for many in (1, 3):
                            fault = dict(name=name, nth=nth, code=errno.errorcode.get(code, "short"), many=many)
                            with (
                                self.subTest(chokes=chokes, **fault),
                                self.prepare(Faults(name, nth, code, many, chokes)),
                            ):
                                self.run_path(worker, healthy)


if __name__ == "__main__":
    unittest.main()

"""A configuration that can't be read as its signal comes, and time that a request waits before it is admitted."""

import errno
import os
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import UNREACHABLE_ADDRESS, FrontEndCase
from wickdyke.platform import configuration, service

MOMENTARY = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.ENOENT)


class Signal(FrontEndCase):
    """A signal to reload a configuration file that cannot be read or used."""

    def test_a_file_that_can_not_be_read_for_a_moment_is_read_later(self):
        """(error of open, how often) -> the new address is followed once it can be read; the log says so once."""
        front_end = self.front_end(self.worker().address)
        for number, code in enumerate(MOMENTARY):
            for times in (1, 3):
                with self.subTest(error=errno.errorcode[code], times=times):
                    address = f"127.0.0.1:{20000 + 10 * number + times}"
                    self.write(address)
                    errors, opened = [OSError(code, os.strerror(code)) for _ in range(times)], open

                    def failing(*args, errors=errors, opened=opened, **more):
                        if errors:
                            raise errors.pop()
                        return opened(*args, **more)

                    self.log.reset_mock()
                    with (
                        patch.object(configuration, "open", failing, create=True),
                        patch.object(service, "CONFIGURATION_RETRY_DELAY", 1.0),
                    ):
                        front_end._request_reload(1, None)
                        self.until(
                            lambda address=address: front_end.discovery.address == configuration.address(address, "")
                        )
                    said = [call.args[0] for call in self.log.warning.call_args_list]
                    self.assertEqual(said.count("configuration not read yet"), 1)

    def test_a_file_that_can_not_be_used_is_not_read_again(self):
        front_end = self.front_end(self.worker().address)
        with open(self.path, "w") as out:
            out.write("{")
        front_end._request_reload(1, None)
        self.until(lambda: not front_end.reload_requested)
        self.assertEqual(
            (front_end.reload_pending, front_end.discovery.address),
            (False, configuration.address(UNREACHABLE_ADDRESS, "")),
        )


class Admission(FrontEndCase):
    """The time a request waits for admission counts against its deadline."""

    def test_time_spent_in_the_queue_is_not_left(self):
        """A request read 1,500 ms before its turn -> its worker is told at most what its client has left by then."""
        worker = self.worker()
        front_end, client = self.front_end(worker.address), self.client()
        queued = []
        with patch.object(front_end.client_server, "post", queued.append):
            client.send(rig.dispatch(1, rig.fields(d="4000"), b"slow"))
            self.until(lambda: queued, "the request")
        ask = queued[0].pending
        ask.received_at -= 1500.0
        front_end.coordinator.post(queued[0])
        self.wait_for_commands(1)
        fields = dict(pair.split(b"=") for pair in self.held_commands[0][1][2].split(b","))
        self.assertLessEqual(int(fields[b"ttl"]), 2500)
        self.assertGreater(int(fields[b"ttl"]), 1000)

    def test_one_whose_time_passed_in_the_queue_is_rejected(self):
        worker = self.worker()
        front_end, client = self.front_end(worker.address), self.client()
        queued = []
        with patch.object(front_end.client_server, "post", queued.append):
            client.send(rig.dispatch(1, rig.fields(d="4000")))
            self.until(lambda: queued, "the request")
        ask = queued[0].pending
        ask.received_at -= 4000.0
        front_end.coordinator.post(queued[0])
        self.assertEqual(self.answer(client)[1], "shed")


if __name__ == "__main__":
    unittest.main()

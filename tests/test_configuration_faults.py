"""Configuration files that cannot be read at a reload, and the time that requests wait for admission."""

import errno
import os
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import UNREACHABLE_ADDRESS, FrontEndCase
from wickdyke.platform import configuration, service

TRANSIENT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.ENOENT)


class Reload(FrontEndCase):
    """A signal to reload a configuration file that cannot be read or used."""

    def test_unreadable_file_is_read_again_later(self):
        """(error of open, how often) -> the new discovery address is used once the file can be read; one log line."""
        front_end = self.front_end(self.worker().address)
        for number, code in enumerate(TRANSIENT_ERRORS):
            for times in (1, 3):
                with self.subTest(error=errno.errorcode[code], times=times):
                    address = f"127.0.0.1:{20000 + 10 * number + times}"
                    self.write(address)
                    errors, real_open = [OSError(code, os.strerror(code)) for _ in range(times)], open

                    def failing_open(*args, errors=errors, real_open=real_open, **kwargs):
                        if errors:
                            raise errors.pop()
                        return real_open(*args, **kwargs)

                    self.log.reset_mock()
                    with (
                        patch.object(configuration, "open", failing_open, create=True),
                        patch.object(service, "CONFIGURATION_RETRY_DELAY", 1.0),
                    ):
                        front_end._request_reload(1, None)
                        self.until(
                            lambda address=address: front_end.discovery.address == configuration.address(address, "")
                        )
                    warnings = [call.args[0] for call in self.log.warning.call_args_list]
                    self.assertEqual(warnings.count("configuration not read yet"), 1)

    def test_invalid_file_is_not_read_again(self):
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

    def test_time_in_the_queue_reduces_the_time_left(self):
        """A request of 4000 ms that waits 1,500 ms for admission is sent with a ttl of at most 2500 ms."""
        worker = self.worker()
        front_end, client = self.front_end(worker.address), self.client()
        queued = []
        with patch.object(front_end.client_server, "post", queued.append):
            client.send(rig.dispatch(1, rig.fields(d="4000"), b"slow"))
            self.until(lambda: queued, "the request")
        pending = queued[0].pending
        pending.received_at -= 1500.0
        front_end.coordinator.post(queued[0])
        self.wait_for_commands(1)
        fields = dict(pair.split(b"=") for pair in self.held_commands[0][1][2].split(b","))
        self.assertLessEqual(int(fields[b"ttl"]), 2500)
        self.assertGreater(int(fields[b"ttl"]), 1000)

    def test_request_that_expires_in_the_queue_is_rejected(self):
        worker = self.worker()
        front_end, client = self.front_end(worker.address), self.client()
        queued = []
        with patch.object(front_end.client_server, "post", queued.append):
            client.send(rig.dispatch(1, rig.fields(d="4000")))
            self.until(lambda: queued, "the request")
        pending = queued[0].pending
        pending.received_at -= 4000.0
        front_end.coordinator.post(queued[0])
        self.assertEqual(self.answer(client)[1], "shed")


if __name__ == "__main__":
    unittest.main()

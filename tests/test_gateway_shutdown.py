"""The shutdown of a gateway process: SIGTERM, a second signal, and the ownership of its socket."""

import os
import signal
import tempfile
import threading
import time
import unittest
import unittest.mock

from tests.gateway_process_rig import GatewayProcessCase
from tests.rig import STEP_TIMEOUT, Client, answer_hello, read_messages, success_line, until
from tests.scripted_workers import silent
from wickdyke.transport.line_server import AddressInUseError, listen


class Shutdown(GatewayProcessCase):
    """Signals that stop a gateway, and the ownership of its socket."""

    def test_open_requests_are_answered(self):
        """After SIGTERM open requests are answered, later ones are rejected, the exit code is 0, the socket removed."""
        may_answer = threading.Event()

        def slow(sock, number):
            source = read_messages(sock)
            answer_hello(sock, source)
            for request in source:
                if request["method"] == "run":
                    may_answer.wait(STEP_TIMEOUT)
                    sock.sendall(success_line(request["id"]))

        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, slow)
            client = Client(path)
            client.ask(1, "side")
            self.assertTrue(until(lambda: may_answer.is_set() or client.sock is not None))
            time.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            self.assertTrue(until(lambda: not os.path.exists(path)))
            client.ask(2, "side")
            received = client.answer()
            self.assertEqual((received["id"], received["error"]["data"]["why"]), (2, "stopping"))
            may_answer.set()
            received = client.answer()
            self.assertEqual((received["id"], received["result"]["answer"]), (1, "ok"))
            self.assertEqual(process.wait(STEP_TIMEOUT), 0)
            client.close()

    def test_a_second_signal(self):
        """A second signal ends the process at once, with exit code 1."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, silent, deadline="3600 s")
            client = Client(path)
            client.ask(1, "side")
            time.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            self.assertTrue(until(lambda: not os.path.exists(path)))
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(STEP_TIMEOUT), 1)
            client.close()

    def test_the_owner_of_a_socket(self):
        """A socket in use is not replaced, one that a killed process left behind is, and a regular file is kept."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, silent)
            with self.assertRaisesRegex(AddressInUseError, "another live process"):
                listen(path)
            process.kill()
            process.wait()
            self.assertTrue(os.path.exists(path))
            sock, lock_file = listen(path)
            sock.close()
            lock_file.close()
            regular_file = os.path.join(folder, "plain")
            with open(regular_file, "w") as out:
                out.write("x")
            with self.assertRaisesRegex(AddressInUseError, "not a socket"):
                listen(regular_file)
            self.assertTrue(os.path.exists(regular_file))


if __name__ == "__main__":
    unittest.main()

"""A gateway as a process: SIGTERM, a second signal, and the ownership of its socket."""

import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import unittest.mock

from tests.rig import CALL_OUTS, LONG, TERMS, Client, Peer, hello, lines_of, ok, until
from tests.scripted_workers import silent
from wickdyke.config.endpoint_file import EndpointRow, format_endpoints
from wickdyke.transport.line_server import AddressInUseError, listener


class Shutdown(unittest.TestCase):
    def serve(self, folder, play, deadline="20 s"):
        """A gateway as a process, with one scripted worker."""
        peer = Peer(folder, "w0", play)
        self.addCleanup(peer.close)
        with open(os.path.join(folder, "workers.sexp"), "w") as out:
            out.write(format_endpoints([EndpointRow("w0", peer.path, None, None, 0, 4.0, "ready", 0)]))
        with open(os.path.join(folder, "g.sexp"), "w") as out:
            out.write(
                TERMS.format(soft="500 ms", deadline=deadline, way="100 ms", more="", call_outs=CALL_OUTS, stock="")
            )
        process = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.cli", "serve", os.path.join(folder, "g.sexp")],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.assertEqual(process.stdout.readline().decode(), f"ready {os.path.join(folder, 'g.sock')}\n")
        return process, os.path.join(folder, "g.sock")

    def test_open_requests_are_answered(self):
        """SIGTERM: open requests get their answers, later ones are rejected, exit 0, no socket file left."""
        go = threading.Event()

        def slow(sock, number):
            source = lines_of(sock)
            hello(sock, source)
            for request in source:
                if request["method"] == "run":
                    go.wait(LONG)
                    sock.sendall(ok(request["id"]))

        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, slow)
            client = Client(path)
            client.ask(1, "side")
            self.assertTrue(until(lambda: go.is_set() or client.sock is not None))
            time.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            self.assertTrue(until(lambda: not os.path.exists(path)))
            client.ask(2, "side")
            received = client.answer()
            self.assertEqual((received["id"], received["error"]["data"]["why"]), (2, "stopping"))
            go.set()
            received = client.answer()
            self.assertEqual((received["id"], received["result"]["answer"]), (1, "ok"))
            self.assertEqual(process.wait(LONG), 0)
            client.close()

    def test_a_second_signal(self):
        """It ends the process at once, with exit 1."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, silent, "3600 s")
            client = Client(path)
            client.ask(1, "side")
            time.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            self.assertTrue(until(lambda: not os.path.exists(path)))
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(LONG), 1)
            client.close()

    def test_the_owner_of_a_socket(self):
        """A socket in use is kept; one that a killed process left is replaced; a file is not touched."""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            process, path = self.serve(folder, silent)
            with self.assertRaisesRegex(AddressInUseError, "somebody live"):
                listener(path)
            process.kill()
            process.wait()
            self.assertTrue(os.path.exists(path))
            sock, held = listener(path)
            sock.close()
            held.close()
            plain = os.path.join(folder, "plain")
            with open(plain, "w") as out:
                out.write("x")
            with self.assertRaisesRegex(AddressInUseError, "no socket"):
                listener(plain)
            self.assertTrue(os.path.exists(plain))


if __name__ == "__main__":
    unittest.main()

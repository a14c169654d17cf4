"""A JSON-RPC gateway as a process, with one scripted worker."""

import os
import subprocess
import sys
import unittest

from tests.rig import CALL_OUTS, TERMS, Peer
from wickdyke.config.endpoint_file import EndpointRow, format_endpoints


class GatewayProcessCase(unittest.TestCase):
    """Starts gateways, which end with the test."""

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

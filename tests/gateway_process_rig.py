"""Runs a JSON-RPC gateway as a process, with scripted workers."""

import os
import subprocess
import sys
import unittest

from tests.rig import CALL_OUTS_SETTINGS, SETTINGS, ScriptedWorker
from wickdyke.config.endpoint_file import EndpointRow, format_endpoints


class GatewayProcessCase(unittest.TestCase):
    """Starts gateways, which are killed at the end of the test."""

    def serve(self, folder, *plays, deadline="20 s"):
        """Starts a gateway with one scripted worker for each of `plays`; returns its process and its socket's path."""
        peers = [ScriptedWorker(folder, f"w{number}", play) for number, play in enumerate(plays)]
        for peer in peers:
            self.addCleanup(peer.close)
        rows = [EndpointRow(f"w{index}", peer.path, None, None, 0, 4.0, "ready", 0) for index, peer in enumerate(peers)]
        with open(os.path.join(folder, "workers.sexp"), "w") as out:
            out.write(format_endpoints(rows))
        with open(os.path.join(folder, "g.sexp"), "w") as out:
            out.write(
                SETTINGS.format(
                    soft="500 ms", deadline=deadline, way="100 ms", more="", call_outs=CALL_OUTS_SETTINGS, stock=""
                )
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

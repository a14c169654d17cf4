"""Failing system calls of the JSON-RPC gateway's connections to workers."""

import errno
import os
import tempfile
import threading
import unittest
from unittest.mock import patch

from tests.rig import EventRecorder, ScriptedWorker, answers_all
from tests.worker_fault_rig import MEMORY, SHORT
from wickdyke.config import address as addresses
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.jsonrpc import worker_client as jsonrpc_client


class FailingReads:
    """A real socket whose second and third reads fail with `code`, or return one byte for SHORT."""

    def __init__(self, sock, code):
        self.sock, self.code, self.reads = sock, code, 0

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def recv(self, size):
        """Reads from the socket, or fails."""
        self.reads += 1
        if self.reads in (2, 3) and self.code != SHORT:
            raise OSError(self.code, os.strerror(self.code))
        return self.sock.recv(1 if self.reads in (2, 3) else size)


class WorkerConnectionFaults(unittest.TestCase):
    """Connections to a live worker: what a failed call shows about the worker, and that later commands are served."""

    LOCAL_ERRORS = (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
    )

    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(temporary_folder.cleanup)
        self.folder, self.worker_count = temporary_folder.name, 0

    def worker_client(self):
        """Returns a client of a new worker that answers all requests, and the recorder of its events."""
        self.worker_count += 1
        peer, events = ScriptedWorker(self.folder, f"w{self.worker_count}", answers_all), EventRecorder()
        self.addCleanup(peer.close)
        worker_client = jsonrpc_client.WorkerClient(
            "w", peer.path, jsonrpc_client.WorkerClientSettings("g", 20000.0, 16 << 20, 32 << 20), events
        )
        self.addCleanup(worker_client.close)
        return worker_client, events

    def test_connect_errors_of_this_machine(self):
        """(local errno) -> the waiting command ends as unsent, no WorkerUnreachable is posted, the next is served."""
        for code in self.LOCAL_ERRORS:
            with self.subTest(errno.errorcode[code]):
                connect, attempts, may_fail = addresses.connect, [], threading.Event()

                def fail_first_connect(
                    address, timeout, code=code, connect=connect, attempts=attempts, may_fail=may_fail
                ):
                    attempts.append(code)
                    if len(attempts) == 1:
                        may_fail.wait(20)
                        raise OSError(code, os.strerror(code))
                    return connect(address, timeout)

                with patch.object(jsonrpc_client.addresses, "connect", fail_first_connect):
                    worker_client, events = self.worker_client()
                    worker_client.send(first := jsonrpc_client.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                    may_fail.set()
                    self.assertEqual(events.events.get(timeout=20)[2:4], (first, "unsent"))
                    worker_client.send(second := jsonrpc_client.Command(CommandKind.ATTEMPT, 2, "run", b"{}"))
                    self.assertEqual(events.events.get(timeout=20)[0], "connected")
                    self.assertEqual(events.events.get(timeout=20)[2:4], (second, "ok"))
                    worker_client.close()

    def test_connect_errors_of_an_absent_worker(self):
        for code in (errno.ECONNREFUSED, errno.ENOENT, errno.ECONNRESET):
            with (
                self.subTest(errno.errorcode[code]),
                patch.object(jsonrpc_client.addresses, "connect", side_effect=OSError(code, os.strerror(code))),
            ):
                worker_client, events = self.worker_client()
                events.next("unreachable")
                worker_client.send(jsonrpc_client.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                self.assertEqual(events.next("finished")[3], "unreached")
                worker_client.close()

    def test_reads_without_memory_and_short_reads(self):
        """(errno of the second and third read) -> the connection stays open, and the answer is received on it."""
        for code in (*MEMORY, errno.EINTR, SHORT):
            with self.subTest(errno.errorcode.get(code, "short")):
                connect = addresses.connect

                def connect_with_failing_reads(address, timeout, code=code, connect=connect):
                    return FailingReads(connect(address, timeout), code)

                with patch.object(jsonrpc_client.addresses, "connect", connect_with_failing_reads):
                    worker_client, events = self.worker_client()
                    events.next("connected")
                    worker_client.send(jsonrpc_client.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                    self.assertEqual(events.next("finished", "lost")[3:4], ("ok",))
                    worker_client.close()


if __name__ == "__main__":
    unittest.main()

"""System calls of the JSON-RPC gateway's connections to workers fail."""

import errno
import os
import tempfile
import threading
import unittest
from unittest.mock import patch

from tests.rig import EventRecorder, Peer, willing
from tests.worker_fault_rig import MEMORY, SHORT
from wickdyke.config import address as addresses
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.jsonrpc import worker_client as jsonrpc_client


class FailingReads:
    """A real socket of which the second read and the third fail, or give one byte."""

    def __init__(self, sock, code):
        self.sock, self.code, self.reads = sock, code, 0

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def recv(self, most):
        self.reads += 1
        if self.reads in (2, 3) and self.code != SHORT:
            raise OSError(self.code, os.strerror(self.code))
        return self.sock.recv(1 if self.reads in (2, 3) else most)


class JsonRpc(unittest.TestCase):
    """Connections of threads: what a failed call tells of a worker that lives, and that a later order is served."""

    LOCAL = (
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
        made = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(made.cleanup)
        self.folder, self.made = made.name, 0

    def upstream(self):
        self.made += 1
        peer, events = Peer(self.folder, f"w{self.made}", willing), EventRecorder()
        self.addCleanup(peer.close)
        upstream = jsonrpc_client.WorkerClient(
            "w", peer.path, jsonrpc_client.WorkerClientSettings("g", 20000.0, 16 << 20, 32 << 20), events
        )
        self.addCleanup(upstream.close)
        return upstream, events

    def test_a_connection_that_this_machine_does_not_make(self):
        """(errno) -> what waits ends as never sent, the worker is not told as unheard, and the next is served."""
        for code in self.LOCAL:
            with self.subTest(errno.errorcode[code]):
                connect, tries, go = addresses.connect, [], threading.Event()

                def fails_first(address, within, code=code, connect=connect, tries=tries, go=go):
                    tries.append(code)
                    if len(tries) == 1:
                        go.wait(20)
                        raise OSError(code, os.strerror(code))
                    return connect(address, within)

                with patch.object(jsonrpc_client.addresses, "connect", fails_first):
                    upstream, events = self.upstream()
                    upstream.send(first := jsonrpc_client.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                    go.set()
                    self.assertEqual(events.events.get(timeout=20)[2:4], (first, "unsent"))
                    upstream.send(second := jsonrpc_client.Command(CommandKind.ATTEMPT, 2, "run", b"{}"))
                    self.assertEqual(events.events.get(timeout=20)[0], "connected")
                    self.assertEqual(events.events.get(timeout=20)[2:4], (second, "ok"))
                    upstream.close()

    def test_what_proves_that_nobody_is_there(self):
        for code in (errno.ECONNREFUSED, errno.ENOENT, errno.ECONNRESET):
            with (
                self.subTest(errno.errorcode[code]),
                patch.object(jsonrpc_client.addresses, "connect", side_effect=OSError(code, os.strerror(code))),
            ):
                upstream, events = self.upstream()
                events.next("unreachable")
                upstream.send(jsonrpc_client.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                self.assertEqual(events.next("finished")[3], "unreached")
                upstream.close()

    def test_a_read_that_finds_no_memory_or_is_short(self):
        """(errno of the second read and the third) -> the connection stands, and the answer comes by it."""
        for code in (*MEMORY, errno.EINTR, SHORT):
            with self.subTest(errno.errorcode.get(code, "short")):
                connect = addresses.connect

                def faulty(address, within, code=code, connect=connect):
                    return FailingReads(connect(address, within), code)

                with patch.object(jsonrpc_client.addresses, "connect", faulty):
                    upstream, events = self.upstream()
                    events.next("connected")
                    upstream.send(jsonrpc_client.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                    self.assertEqual(events.next("finished", "lost")[3:4], ("ok",))
                    upstream.close()


if __name__ == "__main__":
    unittest.main()

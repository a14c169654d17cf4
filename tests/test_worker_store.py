"""The store service with its client: lost connections, wrong bytes, too many readers."""

import contextlib
import io
import itertools
import os
import socket
import threading
import unittest

from tests.worker_rig import (
    PACKAGE_CODE,
    WORKER_CONFIG,
    GatewayConnection,
    TemporaryFolderTest,
    write_package,
)
from wickdyke.config import worker_config
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.gateway import log as logs
from wickdyke.worker import package
from wickdyke.worker.cache import Cache
from wickdyke.worker.rate_limiter import RateLimiter
from wickdyke.worker.runtime import Worker
from wickdyke.worker.source import PackageNotFoundError
from wickdyke.worker.store import StoreServer
from wickdyke.worker.store_client import StoreClient


class StoreServiceTest(TemporaryFolderTest):
    """The store service with its client: a fetch returns the complete archive, or raises an error with the reason."""

    def setUp(self):
        """Packs one package that is larger than a chunk."""
        super().setUp()
        write_package(self.path("f"), code=PACKAGE_CODE + "#" + "".join(f"{index:x}" for index in range(200_000)))
        _, path = package.pack(self.path("f"), self.path("s"))
        with open(path, "rb") as source:
            self.content = source.read()
        self.archive = path

    def store(self, rate=1e9, readers=8):
        """Starts a store that serves until the test ends."""
        server = StoreServer(self.path("s.sock"), self.path("s"), rate, readers)
        self.addCleanup(server.close)
        return server

    def start_proxy(self, respond):
        """Starts a proxy between client and store, which calls `respond(client, store, read_number)` for each read.

        Returns its address.
        """
        listener = socket.socket(socket.AF_UNIX)
        listener.bind(self.path("m.sock"))
        listener.listen(8)
        self.addCleanup(listener.close)
        self.addCleanup(listener.shutdown, socket.SHUT_RDWR)
        read_numbers = itertools.count()

        def handle(client):
            with client, socket.socket(socket.AF_UNIX) as store, contextlib.suppress(OSError):
                store.settimeout(20)
                store.connect(self.path("s.sock"))
                request_line = client.recv(4096)
                store.sendall(request_line)
                if b'"find"' in request_line:
                    client.sendall(store.recv(4096))
                else:
                    respond(client, store, next(read_numbers))

        def serve():
            while True:
                try:
                    client, _ = listener.accept()
                except OSError:
                    return
                threading.Thread(target=handle, args=(client,), daemon=True).start()

        threading.Thread(target=serve, daemon=True).start()
        return self.path("m.sock")

    def fetch_content(self, store_client):
        """The bytes of the archive that a client fetches."""
        found_package = store_client.find("p")
        store_client.fetch(found_package, self.path("got"))
        with open(self.path("got"), "rb") as source:
            return source.read()

    def test_find_and_fetch(self):
        """A client fetches the archive; (invalid name) -> words of the error."""
        self.store()
        self.assertEqual(self.fetch_content(StoreClient(self.path("s.sock"))), self.content)
        for program, words in (("q", "no package q"), ("p@2", "no package p@2"), ("../s/p", "names no package")):
            with self.subTest(program=program), self.assertRaisesRegex(PackageNotFoundError, words):
                StoreClient(self.path("s.sock")).find(program)

    def test_lost_connections(self):
        """(bytes until each connection is lost) -> the fetch resumes after each loss, and gives the right archive."""
        self.store()
        for byte_limit in (20_000, 50_001, 100_000):
            with self.subTest(byte_limit=byte_limit):
                reads = []

                def respond(client, store, read_number, byte_limit=byte_limit, reads=reads):
                    remaining = byte_limit
                    while remaining > 0 and (data := store.recv(min(remaining, 65536))):
                        client.sendall(data)
                        remaining -= len(data)
                    reads.append(read_number)

                with contextlib.suppress(FileNotFoundError):
                    os.unlink(self.path("m.sock"))
                self.assertEqual(self.fetch_content(StoreClient(self.start_proxy(respond))), self.content)
                self.assertGreaterEqual(len(reads), len(self.content) // byte_limit)

    def test_no_progress(self):
        """(fault of the store) -> the fetch raises the reason after 4 reads without progress."""
        self.store()
        for fault, words in (
            ("disconnect", "ended the connection"),
            ("stall", "timed out"),
            ("invalid", "an invalid response"),
        ):
            with self.subTest(fault=fault):
                reads = []

                def respond(client, store, read_number, fault=fault, reads=reads):
                    reads.append(read_number)
                    if fault == "invalid":
                        client.sendall(b"not JSON\n")
                    elif fault == "stall":
                        client.recv(1)

                with contextlib.suppress(FileNotFoundError):
                    os.unlink(self.path("m.sock"))
                store_client = StoreClient(self.start_proxy(respond), stall_timeout=100.0)
                found_package = StoreClient(self.path("s.sock")).find("p")
                with self.assertRaisesRegex(OSError, words):
                    store_client.fetch(found_package, self.path("got"))
                self.assertEqual(len(reads), 4)

    def test_wrong_bytes(self):
        """A store sends wrong bytes: the digest does not match, and no files remain."""
        self.store()

        def respond(client, store, read_number):
            while data := store.recv(65536):
                client.sendall(data.replace(b"\x00\x00", b"\x00\x01"))

        store_client = StoreClient(self.start_proxy(respond))
        found_package = store_client.find("p")
        cache = Cache(self.path("c"), 10.0)
        with self.assertRaisesRegex(InvalidConfigError, "as stated by the store"):
            cache.acquire(found_package.digest, lambda target: store_client.fetch(found_package, target))
        self.assertEqual(os.listdir(self.path("c")), [])

    def test_archive_replaced_during_fetch(self):
        """A fetch continues after a restart of the store; an archive that was replaced is an error."""
        first_server = self.store()
        store_client = StoreClient(self.path("s.sock"))
        found_package = store_client.find("p")
        first_server.close()
        self.store()
        store_client.fetch(found_package, self.path("got"))
        with open(self.path("got"), "rb") as source:
            self.assertEqual(source.read(), self.content)
        write_package(self.path("f"), code=PACKAGE_CODE + "# other")
        package.pack(self.path("f"), self.path("s"))
        with self.assertRaisesRegex(PackageNotFoundError, "any more"):
            store_client.fetch(found_package, self.path("got"))

    def test_too_many_readers(self):
        """A reader beyond the limit is rejected and retries."""
        self.store(rate=4 * len(self.content), readers=1)
        store_client, results = StoreClient(self.path("s.sock")), []
        found_package = store_client.find("p")
        readers = [
            threading.Thread(
                target=lambda index=index: results.append(store_client.fetch(found_package, self.path(f"got{index}")))
            )
            for index in range(2)
        ]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join(30)
        self.assertEqual(results, [None, None])

    def test_rate_limiter(self):
        """(sizes reserved at the same time, then later) -> the wait of each."""
        rate_limiter = RateLimiter(1000.0)
        self.assertEqual([rate_limiter.reserve(0.0, size) for size in (100, 200, 50)], [0.0, 100.0, 300.0])
        self.assertEqual([rate_limiter.reserve(now, 100) for now in (340.0, 1000.0)], [10.0, 0.0])

    def test_worker(self):
        """A worker loads from a store service; while the store is closed, a load is a miss, and later it succeeds."""
        server = self.store()
        with open(self.path("w.sexp"), "w") as file:
            file.write(
                WORKER_CONFIG.format(memory=400, idle_s=60, cache_mb=50, more_settings="").replace(
                    '(folder "store")', '(service "s.sock")'
                )
            )
        config = worker_config.read(self.path("w.sexp"))
        worker = Worker(config, StoreClient(config.store_address), logs.logger(io.StringIO(), False)[0])
        worker.open()
        self.addCleanup(worker.close)
        gateway = GatewayConnection(config.listen)
        self.addCleanup(gateway.close)
        self.assertIsNone(gateway.run()[0])
        server.close()
        self.assertEqual(gateway.run("q")[0], -32011)
        write_package(self.path("q"), name="q")
        package.pack(self.path("q"), self.path("s"))
        self.store()
        self.assertIsNone(gateway.run("q")[0])


if __name__ == "__main__":
    unittest.main()

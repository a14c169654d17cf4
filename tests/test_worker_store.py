"""The store service under its client: connections that break, wrong bytes, too many readers."""

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
    """The store service under its client: what is read is complete and right, or there is an error with the reason."""

    def setUp(self):
        """Packs one package that is larger than a chunk."""
        super().setUp()
        write_package(self.path("f"), code=PACKAGE_CODE + "#" + "".join(f"{at:x}" for at in range(200_000)))
        _, path = package.pack(self.path("f"), self.path("s"))
        with open(path, "rb") as source:
            self.whole = source.read()
        self.archive = path

    def store(self, pace=1e9, readers=8):
        """A store that serves until the test ends."""
        made = StoreServer(self.path("s.sock"), self.path("s"), pace, readers)
        self.addCleanup(made.close)
        return made

    def between(self, play):
        """A proxy between client and store that calls `play(client, store, nth)` for each read; returns its address."""
        listens = socket.socket(socket.AF_UNIX)
        listens.bind(self.path("m.sock"))
        listens.listen(8)
        self.addCleanup(listens.close)
        self.addCleanup(listens.shutdown, socket.SHUT_RDWR)
        turn = itertools.count()

        def one(client):
            with client, socket.socket(socket.AF_UNIX) as store, contextlib.suppress(OSError):
                store.settimeout(20)
                store.connect(self.path("s.sock"))
                asked = client.recv(4096)
                store.sendall(asked)
                if b'"find"' in asked:
                    client.sendall(store.recv(4096))
                else:
                    play(client, store, next(turn))

        def serve():
            while True:
                try:
                    client, _ = listens.accept()
                except OSError:
                    return
                threading.Thread(target=one, args=(client,), daemon=True).start()

        threading.Thread(target=serve, daemon=True).start()
        return self.path("m.sock")

    def fetched(self, service):
        """The bytes of the archive as a client reads them."""
        found = service.find("p")
        service.fetch(found, self.path("got"))
        with open(self.path("got"), "rb") as source:
            return source.read()

    def test_plain(self):
        """What is read is the archive; (name) -> words of the refusal."""
        self.store()
        self.assertEqual(self.fetched(StoreClient(self.path("s.sock"))), self.whole)
        for program, words in (("q", "no package q"), ("p@2", "no package p@2"), ("../s/p", "names no package")):
            with self.subTest(program=program), self.assertRaisesRegex(PackageNotFoundError, words):
                StoreClient(self.path("s.sock")).find(program)

    def test_breaks(self):
        """(bytes let through on each connection) -> it reads on where it stopped, and what it has is right."""
        self.store()
        for let in (20_000, 50_001, 100_000):
            with self.subTest(let=let):
                seen = []

                def play(client, store, nth, let=let, seen=seen):
                    left = let
                    while left > 0 and (data := store.recv(min(left, 65536))):
                        client.sendall(data)
                        left -= len(data)
                    seen.append(nth)

                with contextlib.suppress(FileNotFoundError):
                    os.unlink(self.path("m.sock"))
                self.assertEqual(self.fetched(StoreClient(self.between(play))), self.whole)
                self.assertGreaterEqual(len(seen), len(self.whole) // let)

    def test_nothing_comes(self):
        """(what the store does) -> the fetch ends with its reason, after so many breaks without a byte more."""
        self.store()
        for how, words in (("hang up", "ended the connection"), ("stall", "timed out"), ("lie", "an invalid response")):
            with self.subTest(how=how):
                tries = []

                def play(client, store, nth, how=how, tries=tries):
                    tries.append(nth)
                    if how == "lie":
                        client.sendall(b"so what\n")
                    elif how == "stall":
                        client.recv(1)

                with contextlib.suppress(FileNotFoundError):
                    os.unlink(self.path("m.sock"))
                service = StoreClient(self.between(play), stall_timeout=100.0)
                found = StoreClient(self.path("s.sock")).find("p")
                with self.assertRaisesRegex(OSError, words):
                    service.fetch(found, self.path("got"))
                self.assertEqual(len(tries), 4)

    def test_wrong_bytes(self):
        """A store that gives other bytes: refused by the digest, nothing left behind."""
        self.store()

        def play(client, store, nth):
            while data := store.recv(65536):
                client.sendall(data.replace(b"\x00\x00", b"\x00\x01"))

        service = StoreClient(self.between(play))
        found = service.find("p")
        cache = Cache(self.path("c"), 10.0)
        with self.assertRaisesRegex(InvalidConfigError, "as stated by the store"):
            cache.acquire(found.digest, lambda to: service.fetch(found, to))
        self.assertEqual(os.listdir(self.path("c")), [])

    def test_replaced_while_read(self):
        """An archive replaced before its read is resumed is an error; after a restart of the store it goes on."""
        first = self.store()
        service = StoreClient(self.path("s.sock"))
        found = service.find("p")
        first.close()
        self.store()
        service.fetch(found, self.path("got"))
        with open(self.path("got"), "rb") as source:
            self.assertEqual(source.read(), self.whole)
        write_package(self.path("f"), code=PACKAGE_CODE + "# other")
        package.pack(self.path("f"), self.path("s"))
        with self.assertRaisesRegex(PackageNotFoundError, "any more"):
            service.fetch(found, self.path("got"))

    def test_crowded(self):
        """More readers than stated are turned away, and come again."""
        self.store(pace=4 * len(self.whole), readers=1)
        service, done = StoreClient(self.path("s.sock")), []
        found = service.find("p")
        readers = [
            threading.Thread(target=lambda at=at: done.append(service.fetch(found, self.path(f"got{at}"))))
            for at in range(2)
        ]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join(30)
        self.assertEqual(done, [None, None])

    def test_pace(self):
        """(sizes reserved at once, then after a pause) -> when each may be sent."""
        pace = RateLimiter(1000.0)
        self.assertEqual([pace.reserve(0.0, size) for size in (100, 200, 50)], [0.0, 100.0, 300.0])
        self.assertEqual([pace.reserve(at, 100) for at in (340.0, 1000.0)], [10.0, 0.0])

    def test_worker(self):
        """A worker whose store is a service: loads through it; a store that is away is a miss, and then it is back."""
        made = self.store()
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(
                WORKER_CONFIG.format(memory=400, idle=60, cache=50, more="").replace(
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
        made.close()
        self.assertEqual(gateway.run("q")[0], -32011)
        write_package(self.path("q"), name="q")
        package.pack(self.path("q"), self.path("s"))
        self.store()
        self.assertIsNone(gateway.run("q")[0])


if __name__ == "__main__":
    unittest.main()

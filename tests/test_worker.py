"""The worker: packages that lie, a cache that is killed, copies that misbehave, orphans, and a gateway before it."""

import contextlib
import glob
import io
import itertools
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import warnings
import zipfile
from collections import Counter

import msgspec
import psutil

from tests.rig import until
from wickdyke.config import worker_config
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection import scenario, trace
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import ScenarioRunner
from wickdyke.gateway import log as logs
from wickdyke.worker import meter, package
from wickdyke.worker.cache import PART, Cache, NoRoom
from wickdyke.worker.rate_limiter import RateLimiter
from wickdyke.worker.runtime import Worker
from wickdyke.worker.source import Folder, Unknown
from wickdyke.worker.store import Store
from wickdyke.worker.store_client import StoreClient

MANIFEST = (
    '(package "{name}" (version "{version}") (entry "main:run") (memory {memory} MB) (lanes {lanes})'
    ' (run-time 5 s) (environment (set "WORD" "sea")))'
)
CODE = """
import os, sys, time
held, mother = [], os.getpid()
def run(asked):
    asked = asked or {}
    time.sleep(asked.get("sleep", 0))
    if asked.get("spin"):
        while True:
            pass
    if asked.get("die"):
        os._exit(7)
    if asked.get("leave"):
        sys.exit(3)
    if asked.get("fail"):
        raise ValueError("asked to")
    if asked.get("mb"):
        held.append(os.urandom(1 << 20) * asked["mb"])
    if asked.get("fork") and not os.fork():
        os.setsid()
        time.sleep(600)
    if asked.get("flood"):
        while True:
            print("x" * 1000)
    if asked.get("big"):
        return "x" * (40 << 20)
    if asked.get("odd"):
        return object()
    return {"pid": os.getpid(), "word": os.environ["WORD"], "version": VERSION}
"""


def write(folder, name="p", version="1.0", memory=64, lanes=2, code=CODE, manifest=None):
    """A package's folder."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "main.py"), "w") as sink:
        sink.write(f"VERSION = {version!r}\n" + code)
    with open(os.path.join(folder, "package.sexp"), "w") as sink:
        sink.write(manifest or MANIFEST.format(name=name, version=version, memory=memory, lanes=lanes))


class Folders(unittest.TestCase):
    def setUp(self):
        made = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(made.cleanup)
        self.folder = made.name

    def path(self, *parts):
        return os.path.join(self.folder, *parts)


class Packages(Folders):
    def test_bad_folders(self):
        """(manifest, files beside) -> words of the one trouble."""
        good = MANIFEST.format(name="p", version="1.0", memory=64, lanes=1)
        for text, words in (
            (good.replace('"p"', '"../p"'), ("../p", "letters")),
            (good.replace('"p"', '"/p"'), ("letters",)),
            (good.replace('"p"', '"p/"'), ("letters",)),
            (good.replace("1.0", "one"), ("one", "numbers with dots")),
            (good.replace("main:run", "main"), ("main", "a module and a function")),
            (good.replace("main:run", "other:run"), ("other", "other.py")),
            (good.replace("64 MB", "64"), ("without a unit", "MB")),
            (good.replace("(lanes 1)", "(lanes 0)"), ("0", "1 to 256")),
            (good.replace('"WORD"', '"A=B"'), ("A=B", "without =")),
            (good.replace('(set "WORD" "sea")', '(set "W" "1") (set "W" "2")'), ("second time",)),
            (good.replace("(memory 64 MB)", ""), ("without memory",)),
            (good[:-1] + ' (digest "md5:1"))', ("md5:1", "sha256")),
            (good[:-1] + ' (digest "sha256:' + "0" * 64 + '"))', ("take (digest ...) out",)),
            (good + good, ("a second (package ...)",)),
            ("(package", ("never closed",)),
            ("", ("nothing",)),
            ("\udcff", ("no UTF-8",)),
        ):
            with self.subTest(text=text):
                shutil.rmtree(self.path("f"), ignore_errors=True)
                write(self.path("f"))
                with open(self.path("f", "package.sexp"), "w", errors="surrogateescape") as sink:
                    sink.write(text)
                with self.assertRaises(InvalidConfigError) as caught:
                    package.pack(self.path("f"), self.path("store"))
                self.assertEqual(len(caught.exception.diagnostics), 1, caught.exception)
                for word in words:
                    self.assertIn(word, str(caught.exception))
                self.assertFalse(os.path.exists(self.path("store")))

    def test_links(self):
        """A link in a folder would take along what lies elsewhere."""
        write(self.path("f"))
        os.symlink("/etc/hostname", self.path("f", "more.py"))
        with self.assertRaises(InvalidConfigError) as caught:
            package.pack(self.path("f"), self.path("store"))
        self.assertIn("plain files only", str(caught.exception))

    def test_same_bytes(self):
        """The same files give the same archive, whenever and wherever packed."""
        digests = set()
        for at in range(2):
            write(self.path(f"f{at}"))
            os.utime(self.path(f"f{at}", "main.py"), (at * 1e6, at * 1e6))
            digests.add(package.file_digest(package.pack(self.path(f"f{at}"), self.path(f"s{at}"))[1]))
        self.assertEqual(len(digests), 1)

    def archive(self, *entries, digest=None, cut=None):
        """An archive as hostile hands make it: (name, bytes[, mode]) each."""
        held = io.BytesIO()
        with zipfile.ZipFile(held, "w", zipfile.ZIP_DEFLATED) as made:
            for name, data, *mode in entries:
                entry = zipfile.ZipInfo(name)
                entry.external_attr = (mode[0] if mode else 0o100644) << 16
                made.writestr(entry, data)
        with open(self.path("a.zip"), "wb") as sink:
            sink.write(held.getvalue()[:cut])
        return self.path("a.zip")

    def test_bad_archives(self):
        """(entries, bytes kept) -> words of the one trouble."""
        code = b"def run(x): return x\n"
        text = MANIFEST.format(name="p", version="1.0", memory=64, lanes=1)
        right = text[:-1] + f' (digest "{package.content_digest([("main.py", code)])}"))'
        plain = [("package.sexp", right), ("main.py", code)]
        for entries, cut, words in (
            ([*plain, ("../out.py", b"1")], None, ("../out.py", "stay inside")),
            ([*plain, ("/etc/out", b"1")], None, ("/etc/out", "stay inside")),
            ([*plain, ("a/../../b", b"1")], None, ("stay inside",)),
            ([*plain, ("a\\b", b"1")], None, ("stay inside",)),
            ([*plain, ("link", b"/etc/passwd", 0o120777)], None, ("link", "plain files")),
            ([*plain, ("pipe", b"", 0o010644)], None, ("plain files",)),
            ([*plain, ("main.py", code)], None, ("twice",)),
            ([*plain, ("more.py", b"1")], None, ("digest", "as its manifest says")),
            ([("package.sexp", right), ("main.py", code + b"#")], None, ("digest",)),
            ([("package.sexp", text), ("main.py", code)], None, ("without a digest",)),
            ([("main.py", code)], None, ("no package.sexp",)),
            (plain, 100, ("whole zip",)),
            (plain, -10, ("whole zip",)),
            (plain, 0, ("whole zip",)),
        ):
            with self.subTest(entries=[name for name, *_ in entries], cut=cut):
                with warnings.catch_warnings():
                    warnings.simplefilter("ignore")
                    path = self.archive(*entries, cut=cut)
                with self.assertRaises(InvalidConfigError) as caught:
                    package.from_zip(path)
                self.assertEqual(len(caught.exception.diagnostics), 1)
                for word in words:
                    self.assertIn(word, str(caught.exception))
        made, files = package.from_zip(self.archive(*plain))
        self.assertEqual((made.name, files), ("p", [("main.py", code)]))

    def test_flipped_bits(self):
        """Whichever byte of an archive is changed: refused, or what comes out is the same."""
        write(self.path("f"))
        _, path = package.pack(self.path("f"), self.path("s"))
        with open(path, "rb") as source:
            whole = source.read()
        right = package.from_zip(path)
        for at in range(0, len(whole), 7):
            with open(self.path("b.zip"), "wb") as sink:
                sink.write(whole[:at] + bytes([whole[at] ^ 0x41]) + whole[at + 1 :])
            try:
                self.assertEqual(package.from_zip(self.path("b.zip"))[1], right[1], at)
            except InvalidConfigError:
                pass

    def test_versions(self):
        """(what is asked) -> the version found in the folder; the newest by numbers where none is named."""
        for version in ("1.9", "1.10", "1.2.3"):
            write(self.path("f" + version), name="a/p", version=version)
            package.pack(self.path("f" + version), self.path("s"))
        store = Folder(self.path("s"))
        for program, version in (
            ("a/p", "1.10"),
            ("a/p@1.9", "1.9"),
            ("a/p@1.2.3", "1.2.3"),
            ("a/p@2", None),
            ("a", None),
            ("../s/a/p", None),
            ("a/p@", None),
            ("", None),
            ("a/../a/p", None),
        ):
            with self.subTest(program=program):
                if version is None:
                    self.assertRaises(Unknown, store.find, program)
                else:
                    self.assertEqual(store.find(program).version, version)


class Caches(Folders):
    def packed(self, at, size=1000):
        write(self.path(f"f{at}"), name=f"p{at}", code=CODE + "#" + "x" * size)
        path = package.pack(self.path(f"f{at}"), self.path("s"))[1]
        return path, package.file_digest(path)

    def test_bound(self):
        """Least lately used go first, those in use never; nothing is left of what did not fit."""
        packs = [self.packed(at, 400_000) for at in range(4)]
        cache = Cache(self.path("c"), 1.0)
        cache.take(packs[0][1], lambda to: shutil.copy(packs[0][0], to))
        for at in (1, 2, 3, 1):
            cache.take(packs[at][1], lambda to, at=at: shutil.copy(packs[at][0], to))
            if at != 1:
                cache.give(packs[at][1])
            self.assertLessEqual(cache.bytes, 1 << 20)
            self.assertIn(packs[0][1][7:], cache.sizes)
            if at == 1:
                self.assertRaises(NoRoom, cache.take, packs[2][1], lambda to: shutil.copy(packs[2][0], to))
                cache.give(packs[1][1])
        self.assertEqual(sorted(os.listdir(self.path("c"))), sorted(cache.sizes))

    def test_bad_fetches(self):
        """(what the store gives) -> refused, nothing left behind, and the right one is taken after."""
        path, digest = self.packed(0)
        other, _ = self.packed(1)
        cache = Cache(self.path("c"), 10.0)

        def short(to):
            with open(path, "rb") as source, open(to, "wb") as sink:
                sink.write(source.read()[:-100])

        def broken(to):
            short(to)
            raise ConnectionResetError

        for fetch, error in (
            (lambda to: shutil.copy(other, to), InvalidConfigError),
            (short, InvalidConfigError),
            (broken, OSError),
        ):
            self.assertRaises(error, cache.take, digest, fetch)
            self.assertEqual(os.listdir(self.path("c")), [])
        made, folder = cache.take(digest, lambda to: shutil.copy(path, to))
        self.assertEqual((made.name, sorted(os.listdir(folder))), ("p0", ["main.py", "package.sexp"]))

    def test_killed(self):
        """Killed before each step of a fetch that makes room: the next start finds whole entries only, and goes on."""
        packs = [self.packed(at, 400_000) for at in range(3)]
        steps = ("open", "rename", "unlink", "fsync", "makedirs", "rmdir", "replace", "utime")
        total = None
        for kill_at in range(1, 200):
            shutil.rmtree(self.path("c"), ignore_errors=True)
            cache = Cache(self.path("c"), 1.0)
            for path, digest in packs[:2]:
                cache.take(digest, lambda to, path=path: shutil.copy(path, to))
                cache.give(digest)
            pid = os.fork()
            if pid == 0:
                seen = [0]

                def counted(real, seen=seen, kill_at=kill_at):
                    def step(*args, **more):
                        seen[0] += 1
                        if seen[0] == kill_at:
                            os._exit(9)
                        return real(*args, **more)

                    return step

                for name in steps:
                    setattr(os, name, counted(getattr(os, name)))
                cache.take(packs[2][1], lambda to: shutil.copy(packs[2][0], to))
                os._exit(0)
            status = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
            after = Cache(self.path("c"), 1.0)
            self.assertFalse([name for name in os.listdir(self.path("c")) if name.startswith(PART)])
            self.assertLessEqual(after.bytes, 1 << 20)
            for name in after.sizes:  # whole: its contents have the digest that its manifest states
                package.from_folder(self.path("c", name))
            after.take(packs[2][1], lambda to: shutil.copy(packs[2][0], to))
            if status == 0:
                total = kill_at
                break
        self.assertGreater(total, 10)


class Stores(Folders):
    """The store service under its client: what it reads is whole and right, or it is told why not."""

    def setUp(self):
        super().setUp()
        write(self.path("f"), code=CODE + "#" + "".join(f"{at:x}" for at in range(200_000)))
        _, path = package.pack(self.path("f"), self.path("s"))
        with open(path, "rb") as source:
            self.whole = source.read()
        self.archive = path

    def store(self, pace=1e9, readers=8):
        made = Store(self.path("s.sock"), self.path("s"), pace, readers, None)
        self.addCleanup(made.close)
        return made

    def between(self, play):
        """A middleman between client and store: `play(client, store, nth)` for each connection; its address."""
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
        found = service.find("p")
        service.fetch(found, self.path("got"))
        with open(self.path("got"), "rb") as source:
            return source.read()

    def test_plain(self):
        self.store()
        self.assertEqual(self.fetched(StoreClient(self.path("s.sock"))), self.whole)
        for program, words in (("q", "no package q"), ("p@2", "no package p@2"), ("../s/p", "names no package")):
            with self.subTest(program=program), self.assertRaisesRegex(Unknown, words):
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
        for how, words in (("hang up", "ended the connection"), ("stall", "timed out"), ("lie", "can't be read")):
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
        with self.assertRaisesRegex(InvalidConfigError, "as the store said"):
            cache.take(found.digest, lambda to: service.fetch(found, to))
        self.assertEqual(os.listdir(self.path("c")), [])

    def test_replaced_while_read(self):
        """The archive is another one when it is read on: told so, not mixed. A store started anew goes on."""
        first = self.store()
        service = StoreClient(self.path("s.sock"))
        found = service.find("p")
        first.close()
        self.store()
        service.fetch(found, self.path("got"))
        with open(self.path("got"), "rb") as source:
            self.assertEqual(source.read(), self.whole)
        write(self.path("f"), code=CODE + "# other")
        package.pack(self.path("f"), self.path("s"))
        with self.assertRaisesRegex(Unknown, "any more"):
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
        """(sizes asked at once, then after a rest) -> when each may go."""
        pace = RateLimiter(1000.0)
        self.assertEqual([pace.reserve(0.0, size) for size in (100, 200, 50)], [0.0, 100.0, 300.0])
        self.assertEqual([pace.reserve(at, 100) for at in (340.0, 1000.0)], [10.0, 0.0])

    def test_worker(self):
        """A worker whose store is a service: loads through it; a store that is away is a miss, and then it is back."""
        made = self.store()
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(
                SHOP.format(memory=400, idle=60, cache=50, more="").replace('(folder "store")', '(service "s.sock")')
            )
        shop = worker_config.read(self.path("w.sexp"))
        worker = Worker(shop, StoreClient(shop.store_address), logs.logger(io.StringIO(), False)[0])
        worker.open()
        self.addCleanup(worker.close)
        gate = Gate(shop.listen)
        self.addCleanup(gate.close)
        self.assertIsNone(gate.run()[0])
        made.close()
        self.assertEqual(gate.run("q")[0], -32011)
        write(self.path("q"), name="q")
        package.pack(self.path("q"), self.path("s"))
        self.store()
        self.assertIsNone(gate.run("q")[0])


class Gate:
    """A gateway's side of one connection to a worker."""

    def __init__(self, path):
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.connect(path)
        self.source = self.sock.makefile("rb")
        self.turn, self.got = 0, {}

    def say(self, method, /, **params):
        self.turn += 1
        self.sock.sendall(
            msgspec.json.encode({"jsonrpc": "2.0", "method": method, "params": params, "id": self.turn}) + b"\n"
        )
        return self.turn

    def answer(self, ident):
        """The answer to that request."""
        self.sock.settimeout(30)
        while ident not in self.got:
            line = msgspec.json.decode(self.source.readline())
            self.got[line["id"]] = line
        return self.got.pop(ident)

    def send(self, program="p", left=20000.0, memory=64.0, **asked):
        return self.say("run", method="m", program=program, input=asked, memory_mb=memory, lanes=2, time_left_ms=left)

    def run(self, program="p", left=20000.0, memory=64.0, **asked):
        """(error code or None, output or message) of a call."""
        told = self.answer(self.send(program, left, memory, **asked))
        return (
            (None, told["result"]["output"]) if "result" in told else (told["error"]["code"], told["error"]["message"])
        )

    def close(self):
        self.sock.shutdown(socket.SHUT_RDWR)
        self.source.close()
        self.sock.close()


SHOP = """(worker (name "w1") (listen "w1.sock") (store (folder "store")) (cache (folder "cache") (most {cache} MB))
  (memory {memory} MB) (idle-life {idle} s) (stop-within 200 ms) (measure 50 ms) (calls-at-once 8) {more})"""


class Settings(Folders):
    def test_bad_files(self):
        """(file) -> words of the one trouble."""
        good = SHOP.format(memory=400, idle=60, cache=50, more="")
        for text, words in (
            (good.replace('(folder "store")', ""), ("with neither", "(folder PATH) or (service ADDRESS)")),
            (good.replace('(folder "store")', '(folder "store") (service "s.sock")'), ("with both",)),
            (good.replace("400 MB", "400"), ("without a unit", "400 MB")),
            (good.replace("400 MB", "1 MB"), ("1 MB", "16 to")),
            (good.replace('"w1.sock"', '"10.0.0.1:80"'), ("10.0.0.1", "loopback")),
            (good.replace("(name", "(nam"), ("did you mean name",)),
            (good.replace("calls-at-once 8", "calls-at-once 0"), ("0", "1 to 4096")),
            (good.replace("(calls-at-once 8)", "(ramp (start-share 0) (ramp 1 s))"), ("0.001 to 1",)),
            ("", ("nothing", "(worker ...)")),
        ):
            with self.subTest(text=text):
                with open(self.path("w.sexp"), "w") as sink:
                    sink.write(text)
                with self.assertRaises(InvalidConfigError) as caught:
                    worker_config.read(self.path("w.sexp"))
                self.assertEqual(len(caught.exception.diagnostics), 1, caught.exception)
                for word in words:
                    self.assertIn(word, str(caught.exception))

    def test_examples_by_hand(self):
        """check, pack, worker: as a user would, up to a call through the worker."""

        def command(*argv):
            return subprocess.run(
                [sys.executable, "-m", "wickdyke.cli", *argv], capture_output=True, text=True, timeout=60
            )

        write(self.path("f"))
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(SHOP.format(memory=400, idle=60, cache=50, more=""))
        checked = command("check", self.path("w.sexp"), self.path("f", "package.sexp"))
        self.assertEqual((checked.returncode, checked.stdout.count(": good")), (0, 2), checked.stderr)
        self.assertEqual(command("pack", self.path("f"), "--into", self.path("store")).returncode, 0)
        self.assertEqual(command("pack", self.path("none")).returncode, 2)
        process = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.cli", "worker", self.path("w.sexp")],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        try:
            self.assertIn(b"ready", process.stdout.readline())
            self.assertEqual(command("worker", self.path("w.sexp")).returncode, 2)  # a live one is there
            gate = Gate(self.path("w1.sock"))
            self.assertEqual(gate.run()[1]["word"], "sea")
            gate.close()
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(30), 0)
        finally:
            process.kill()
            process.wait()
            process.stdout.close()


class Working(Folders):
    def worker(self, memory=400, idle=60, cache=50, more="", takes=64):
        write(self.path("f"), memory=takes)
        package.pack(self.path("f"), self.path("store"))
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(SHOP.format(memory=memory, idle=idle, cache=cache, more=more))
        shop = worker_config.read(self.path("w.sexp"))
        self.said = io.StringIO()
        log, _ = logs.logger(self.said, False)
        made = Worker(shop, Folder(shop.store_folder), log)
        made.open()
        self.addCleanup(made.close)
        gate = Gate(shop.listen)
        self.addCleanup(gate.close)
        return made, gate

    def test_calls(self):
        """(what a call asks) -> (code, words); the copy, its next call and the other lane are unharmed or anew."""
        _, gate = self.worker(takes=200)  # the output that is too long takes 80 MB while it is made
        first = gate.run()[1]["pid"]
        for asked, left, code, words, same in (
            ({}, 20000, None, "", True),
            ({"fail": 1}, 20000, -32012, "ValueError: asked to", True),
            ({"odd": 1}, 20000, -32012, "TypeError", True),
            ({"leave": 1}, 20000, -32012, "SystemExit", True),
            ({"big": 1}, 20000, -32012, "an output of", True),
            ({"spin": 1}, 300, -32014, "time is up", True),
            ({"flood": 1}, 300, -32014, "time is up", True),
            ({"die": 1}, 20000, -32015, "its copy ended", False),
        ):
            with self.subTest(asked=asked):
                beside = gate.send(sleep=0.05) if same else None
                got, told = gate.run(left=left, **asked)
                self.assertEqual((got, words if words in str(told) else told), (code, words))
                if beside:
                    self.assertIn("result", gate.answer(beside))
                self.assertEqual(gate.run()[1]["pid"] == first, same)

    def test_a_copy_that_does_not_read(self):
        """One that is stopped costs the call in it; its copy is ended, and the next call has another."""
        _, gate = self.worker()
        first = gate.run()[1]["pid"]
        os.kill(first, signal.SIGSTOP)
        self.assertEqual(gate.run(left=300)[0], -32014)
        self.assertTrue(until(lambda: not alive(first)))
        self.assertNotEqual(gate.run()[1]["pid"], first)

    def test_more_memory_than_stated(self):
        """A copy that takes more than its manifest states costs its own calls and no others."""
        write(self.path("q"), name="q", memory=100)
        package.pack(self.path("q"), self.path("store"))
        _, gate = self.worker()
        other = gate.run("q")[1]["pid"]
        running = gate.send(mb=90, sleep=0)
        gate.answer(running)
        self.assertTrue(until(lambda: "MB of 64 MB" in self.said.getvalue()))
        self.assertEqual(gate.run("q")[1]["pid"], other)
        self.assertIsNone(gate.run()[0])

    def test_full(self):
        """What does not fit is told full before it is begun; idle ones go for what fits."""
        for name, memory in (("a", 150), ("b", 150), ("c", 500)):
            write(self.path(name), name=name, memory=memory)
            package.pack(self.path(name), self.path("store"))
        _, gate = self.worker()
        busy = gate.send("a", memory=150, sleep=1)
        self.assertTrue(until(lambda: self.said.getvalue().count("event=loaded") == 1))
        self.assertIsNone(gate.run("b", memory=150)[0])
        self.assertEqual(gate.run("c", memory=500)[0], -32010)
        self.assertEqual(gate.run("c", memory=1)[0], -32010)  # the order knew no better; its manifest says
        self.assertIsNone(gate.run("p", memory=150)[0])  # in the place of b
        self.assertIn("result", gate.answer(busy))

    def test_disk_full(self):
        """What does not fit into the cache beside what is in use is told full; it fits once that is given up."""
        for name in "ab":
            write(self.path(name), name=name, code=CODE + "#" + os.urandom(300_000).hex())
            package.pack(self.path(name), self.path("store"))
        worker, gate = self.worker(cache=1)
        self.assertIsNone(gate.run("a")[0])
        self.assertEqual(gate.run("b")[0], -32010)
        self.assertTrue(until(lambda: "do not fit beside" in self.said.getvalue()))
        self.assertIsNone(gate.run("a")[0])
        gate.say("drop", program="a")
        self.assertIsNone(gate.run("b")[0])
        self.assertEqual(len(worker.cache.sizes), 1)

    def test_memory_told(self):
        """(what copies hold, whether a child shares it) -> told within 5% of the kernel's own lines, summed here."""
        for name, mb in (("m1", 1), ("m20", 20), ("m60", 60)):
            write(self.path(name), name=name, memory=200, code=CODE + f"held.append(os.urandom(1 << 20) * {mb})\n")
            package.pack(self.path(name), self.path("store"))
        worker, gate = self.worker(memory=900)
        for name, forks in (("m1", 0), ("m20", 0), ("m60", 2)):
            with self.subTest(name=name):
                pid = gate.run(name)[1]["pid"]
                for _ in range(forks):
                    gate.run(name, fork=1)
                self.assertTrue(until(lambda pid=pid, forks=forks: len(kids(pid)) == forks))
                worker.measure()
                told = next(
                    each.replica.measured_memory for each in worker.replicas.processes.values() if each.pid == pid
                )
                real = sum(map(pss, [pid, *kids(pid)]))
                self.assertLess(abs(told - real), 0.05 * real)
                self.assertGreater(real, int(name[1:]))
                self.assertLess(real, 1.5 * int(name[1:]) + 30)  # shared with children, and counted once

    def test_no_such_package(self):
        """(what is wrong with a package) -> miss, with the reason in the log, and others go on."""
        write(self.path("x"), name="x", code="raise RuntimeError('at import')")
        write(self.path("y"), name="y", code="run = 7")
        for name in "xy":
            package.pack(self.path(name), self.path("store"))
        _, gate = self.worker()
        for program, why in (
            ("none", "no package none"),
            ("x", "RuntimeError: at import"),
            ("y", "is no function"),
            ("../p", "names no package"),
        ):
            with self.subTest(program=program):
                self.assertEqual(gate.run(program)[0], -32011)
                self.assertTrue(until(lambda why=why: why in self.said.getvalue()), self.said.getvalue())
        self.assertIsNone(gate.run()[0])

    def test_replaced(self):
        """A package replaced under its name: the copy that stands goes on, the next load is of the new one."""
        worker, gate = self.worker()
        self.assertEqual(gate.run()[1]["version"], "1.0")
        write(self.path("f"), version="1.1")
        package.pack(self.path("f"), self.path("store"))
        self.assertEqual(gate.run()[1]["version"], "1.0")
        gate.say("drop", program="p")
        self.assertEqual(gate.run()[1]["version"], "1.1")
        self.assertEqual(gate.run("p@1.0")[1]["version"], "1.0")

    def test_orders(self):
        """Several orders for one program are one load; renewed copies stay, dropped ones go."""
        _, gate = self.worker(idle=3)
        orders = [gate.say("hold", program="p", memory_mb=64.0, lanes=2, copies=1) for _ in range(5)]
        self.assertEqual([gate.answer(order)["result"] for order in orders], [{"copies": 1}] * 5)
        self.assertTrue(until(lambda: self.said.getvalue().count("event=loaded") == 1))
        ends = time.monotonic() + 4
        while time.monotonic() < ends:  # past its idle life; a second load would answer too, and say so in the log
            time.sleep(0.2)
            gate.answer(gate.say("hold", program="p", memory_mb=64.0, lanes=2, copies=1))
        self.assertEqual(self.said.getvalue().count("event=loaded"), 1)
        self.assertTrue(
            until(
                lambda: gate.answer(gate.say("hold", program="p", memory_mb=64.0, lanes=2, copies=0))["result"]
                == {"copies": 0}
            )
        )

    def test_malformed(self):
        """(what a gateway says) -> the code; the worker goes on."""
        _, gate = self.worker()
        for line, code in (
            (b"{", -32700),
            (b"[]", -32600),
            (b'{"jsonrpc":"2.0","method":"none","id":1}', -32601),
            (b'{"jsonrpc":"2.0","method":"run","params":{"program":1},"id":2}', -32602),
            (b'{"jsonrpc":"2.0","method":"hello","params":{},"id":3}', -32602),
        ):
            with self.subTest(line=line):
                gate.sock.sendall(line + b"\n")
                told = msgspec.json.decode(gate.source.readline())
                told = told[0] if isinstance(told, list) else told
                self.assertEqual(told["error"]["code"], code)
        self.assertIsNone(gate.run()[0])

    def test_drain(self):
        """What is held is finished, what comes is told."""
        worker, gate = self.worker()
        gate.run()
        held = gate.send(sleep=0.5)
        gate.answer(gate.say("probe"))  # it has that one by now
        draining = threading.Thread(target=worker.drain, args=(20000,))
        draining.start()
        self.assertTrue(until(lambda: worker.schedule.draining))
        self.assertEqual(gate.run()[0], -32013)
        self.assertIn("result", gate.answer(held))
        draining.join(20)
        self.assertFalse(draining.is_alive())


def alive(pid):
    """Whether a process is there and no zombie."""
    try:
        with open(f"/proc/{pid}/stat") as source:
            return source.read().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


class Orphans(Folders):
    def test_killed_worker(self):
        """(who is killed, what ran) -> nothing of it survives, also not what copies forked into other sessions."""
        write(self.path("f"))
        package.pack(self.path("f"), self.path("store"))
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(SHOP.format(memory=400, idle=60, cache=50, more=""))
        for whom in ("worker", "parent", "copy"):
            with self.subTest(whom=whom):
                process = subprocess.Popen(
                    [sys.executable, "-m", "wickdyke.cli", "worker", self.path("w.sexp")],
                    stdout=subprocess.PIPE,
                    stderr=subprocess.DEVNULL,
                )
                try:
                    self.assertIn(b"ready", process.stdout.readline())
                    gate = Gate(self.path("w1.sock"))
                    copy = gate.run()[1]["pid"]
                    gate.run(fork=1)
                    for _ in range(2):
                        gate.send(spin=1)
                    gate.say("probe")
                    parent = psutil.Process(copy).ppid()
                    self.assertTrue(until(lambda copy=copy: len(kids(copy)) == 1))
                    stray = kids(copy)[0]
                    os.kill({"worker": process.pid, "parent": parent, "copy": copy}[whom], signal.SIGKILL)
                    gone = [copy, stray] + ([parent, process.pid] if whom != "copy" else [])
                    if whom == "parent":  # nobody is left who adopts: what left its session is the kernel's to give
                        gone.remove(stray)
                    self.assertTrue(until(lambda gone=gone: not any(map(alive, gone))), gone)
                    if whom == "parent":
                        os.kill(stray, signal.SIGKILL)
                    if whom == "copy":
                        again = Gate(self.path("w1.sock"))
                        self.assertNotEqual(again.run()[1]["pid"], copy)
                        again.close()
                    gate.close()
                finally:
                    process.kill()
                    process.wait()
                    process.stdout.close()


def pss(pid):
    """A process's proportional set size in MB, added up from all its mappings."""
    with open(f"/proc/{pid}/smaps") as source:
        return sum(int(line.split()[1]) for line in source if line.startswith("Pss:")) / 1024


def kids(pid):
    """The processes forked by one, whichever thread did it."""
    return [child.pid for child in psutil.Process(pid).children()]


class Loading(Folders):
    def test_killed_with_loads_under_way(self):
        """Killed in the middle of two fetches: nothing of them is left to mislead the next start, which loads both."""
        for name in "ab":
            write(self.path(name), name=name, code=CODE + "#" + os.urandom(200_000).hex())
            package.pack(self.path(name), self.path("store"))
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(
                SHOP.format(memory=400, idle=60, cache=50, more="").replace('(folder "store")', '(service "s.sock")')
            )
        slow = Store(self.path("s.sock"), self.path("store"), 50_000.0, 8, None)
        parts = []
        for at in range(2):
            process = subprocess.Popen(
                [sys.executable, "-m", "wickdyke.cli", "worker", self.path("w.sexp")],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            try:
                self.assertIn(b"ready", process.stdout.readline())
                if at:  # what the first left is swept before it serves
                    self.assertEqual(os.listdir(self.path("cache")), [])
                gate = Gate(self.path("w1.sock"))
                if not at:
                    for name in "ab":
                        gate.send(name)
                    self.assertTrue(
                        until(
                            lambda: sum(
                                size > 0
                                for size in map(os.path.getsize, sorted(glob.glob(self.path("cache", PART + "*"))))
                            )
                            == 2
                        )
                    )
                    process.kill()
                    parts = os.listdir(self.path("cache"))
                    slow.close()
                    fast = Store(self.path("s.sock"), self.path("store"), 1e9, 8, None)
                    self.addCleanup(fast.close)
                else:
                    self.assertEqual([gate.run(name)[0] for name in "ab"], [None, None])
                gate.close()
            finally:
                process.kill()
                process.wait()
                process.stdout.close()
        self.assertEqual(len(parts), 2)


class Real(unittest.TestCase):
    def test_script(self):
        """Workers of our own under gateways, one killed, one replaced, a copy killed: no rule breaks."""
        text = """(script "real" (length 5 s) (gateways 2) (workers 3) (cores 4) (rate 40) (memory 400 MB) (runtime yes)
          (warmup (start-share 0.5) (ramp 1 s))
          (method "idem" (effect idempotent) (soft-deadline 2 s) (deadline 8 s) (work 10 ms) (memory 40 MB)
            (load 50 ms) (programs 6))
          (method "side" (effect side-effecting) (soft-deadline 2 s) (deadline 8 s) (work 10 ms) (memory 40 MB)
            (load 50 ms) (programs 2))
          (at 1500 ms (die "w1" (back 200 ms))) (at 2 s (drain "w2" (for 1 s))) (at 2500 ms (kill-copy "w3")))"""
        with tempfile.TemporaryDirectory(prefix="wd-") as folder:
            with open(os.path.join(folder, "s.sexp"), "w") as sink:
                sink.write(text)
            judge = RuleChecker(trace.read(ScenarioRunner(scenario.read(sink.name), os.path.join(folder, "run")).run()))
        self.assertEqual([str(finding) for finding in judge.findings], [])
        totals = sum(judge.outcomes().values(), Counter())
        self.assertEqual(totals["lost"], 0)
        self.assertGreater(totals["ok in time"], 0.3 * totals["asked"])  # wide: cold workers take their time

    def test_only_real_troubles(self):
        """(runtime, trouble) -> words of the refusal: faults of stand-ins are not asked of workers of our own."""
        for runtime, trouble, words in (
            ("yes", '(at 1 s (hang "w1"))', "kill-copy"),
            ("yes", '(on (call-out "w1" 3) (die "w1"))', "can have"),
            ("no", '(at 1 s (kill-copy "w1"))', "stand-ins have no such"),
        ):
            with self.subTest(trouble=trouble), tempfile.TemporaryDirectory(prefix="wd-") as folder:
                with open(os.path.join(folder, "s.sexp"), "w") as sink:
                    sink.write(f"""(script "s" (length 1 s) (runtime {runtime}) (method "m" (effect idempotent)
                        (soft-deadline 1 s) (deadline 2 s) (work 1 ms)) {trouble})""")
                with self.assertRaisesRegex(InvalidConfigError, words):
                    scenario.read(sink.name)


class Memory(Folders):
    def test_pages_shared(self):
        """What the meter says of a copy that shares pages adds up with what others have of them."""
        size = 64 << 20
        held = os.urandom(1 << 20) * (size >> 20)
        ends = [os.pipe() for _ in range(3)]
        pids = []
        for reads, _ in ends:
            pid = os.fork()
            if pid == 0:
                os.read(reads, 1)
                os._exit(len(held) & 0)
            pids.append(pid)
        total = meter.alone(os.getpid()) + sum(map(meter.alone, pids))
        for (reads, writes), pid in zip(ends, pids, strict=True):
            os.write(writes, b"x")
            os.close(reads)
            os.close(writes)
            os.waitpid(pid, 0)
        alone = meter.alone(os.getpid())
        self.assertLess(abs(total - alone), 0.25 * alone)  # four resident sizes would add up to nearly four times


if __name__ == "__main__":
    unittest.main()

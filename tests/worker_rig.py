"""Set-up that the tests of workers share: packages, a gateway's connection, and a worker in this process."""

import io
import os
import socket
import tempfile
import unittest

import msgspec
import psutil

from wickdyke.config import worker_config
from wickdyke.gateway import log as logs
from wickdyke.worker import package
from wickdyke.worker.runtime import Worker
from wickdyke.worker.source import FolderStore

MANIFEST = (
    '(package "{name}" (version "{version}") (entry "main:run") (memory {memory} MB) (lanes {lanes})'
    ' (run-time 5 s) (environment (set "WORD" "sea")))'
)


PACKAGE_CODE = """
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


def write_package(folder, name="p", version="1.0", memory=64, lanes=2, code=PACKAGE_CODE, manifest=None):
    """Writes the folder of a package."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "main.py"), "w") as sink:
        sink.write(f"VERSION = {version!r}\n" + code)
    with open(os.path.join(folder, "package.sexp"), "w") as sink:
        sink.write(manifest or MANIFEST.format(name=name, version=version, memory=memory, lanes=lanes))


class TemporaryFolderTest(unittest.TestCase):
    """Tests with a temporary folder each."""

    def setUp(self):
        """Makes the folder; it is removed after the test."""
        folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def path(self, *parts):
        """A path in the folder."""
        return os.path.join(self.folder, *parts)


class GatewayConnection:
    """A gateway's side of one connection to a worker."""

    def __init__(self, path):
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.connect(path)
        self.source = self.sock.makefile("rb")
        self.last_id = 0
        self.answers = {}  # received and not returned yet, by id

    def request(self, method, /, **params):
        """Sends a request; returns its id."""
        self.last_id += 1
        self.sock.sendall(
            msgspec.json.encode({"jsonrpc": "2.0", "method": method, "params": params, "id": self.last_id}) + b"\n"
        )
        return self.last_id

    def answer(self, ident):
        """The answer to that request."""
        self.sock.settimeout(30)
        while ident not in self.answers:
            line = msgspec.json.decode(self.source.readline())
            self.answers[line["id"]] = line
        return self.answers.pop(ident)

    def send(self, program="p", left=20000.0, memory=64.0, **asked):
        """Sends a `run` request with that input; returns its id."""
        return self.request(
            "run", method="m", program=program, input=asked, memory_mb=memory, lanes=2, time_left_ms=left
        )

    def run(self, program="p", left=20000.0, memory=64.0, **asked):
        """Runs a function: (error code or None, output or message)."""
        answer = self.answer(self.send(program, left, memory, **asked))
        if "result" in answer:
            return None, answer["result"]["output"]
        return answer["error"]["code"], answer["error"]["message"]

    def close(self):
        """Ends the connection."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.source.close()
        self.sock.close()


WORKER_CONFIG = """(worker (name "w1") (listen "w1.sock") (store (folder "store"))
  (cache (folder "cache") (most {cache} MB))
  (memory {memory} MB) (idle-life {idle} s) (stop-within 200 ms) (measure 50 ms) (calls-at-once 8) {more})"""


class WorkerTest(TemporaryFolderTest):
    """Tests of a worker that runs in this process."""

    def worker(self, memory=400, idle=60, cache=50, more="", takes=64):
        """(worker that serves, a connection to it). Its store has the package p, which states `takes` MB."""
        write_package(self.path("f"), memory=takes)
        package.pack(self.path("f"), self.path("store"))
        with open(self.path("w.sexp"), "w") as sink:
            sink.write(WORKER_CONFIG.format(memory=memory, idle=idle, cache=cache, more=more))
        config = worker_config.read(self.path("w.sexp"))
        self.log_output = io.StringIO()
        log, _ = logs.logger(self.log_output, False)
        worker = Worker(config, FolderStore(config.store_folder), log)
        worker.open()
        self.addCleanup(worker.close)
        gateway = GatewayConnection(config.listen)
        self.addCleanup(gateway.close)
        return worker, gateway


def is_running(pid):
    """Whether a process exists and is no zombie."""
    try:
        with open(f"/proc/{pid}/stat") as source:
            return source.read().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


def child_pids(pid):
    """The child processes of a process, whichever of its threads forked them."""
    return [child.pid for child in psutil.Process(pid).children()]


def proportional_set_size(pid):
    """A process's proportional set size in MB, added up from all its mappings."""
    with open(f"/proc/{pid}/smaps") as source:
        return sum(int(line.split()[1]) for line in source if line.startswith("Pss:")) / 1024

"""Helpers for the tests of workers: packages, the connection of a gateway, and a worker in this process."""

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
allocated, parent_pid = [], os.getpid()
def run(function_input):
    function_input = function_input or {}
    time.sleep(function_input.get("sleep", 0))
    if function_input.get("spin"):
        while True:
            pass
    if function_input.get("die"):
        os._exit(7)
    if function_input.get("leave"):
        sys.exit(3)
    if function_input.get("fail"):
        raise ValueError("as requested")
    if function_input.get("mb"):
        allocated.append(os.urandom(1 << 20) * function_input["mb"])
    if function_input.get("fork") and not os.fork():
        os.setsid()
        time.sleep(600)
    if function_input.get("flood"):
        while True:
            print("x" * 1000)
    if function_input.get("big"):
        return "x" * (40 << 20)
    if function_input.get("odd"):
        return object()
    return {"pid": os.getpid(), "word": os.environ["WORD"], "version": VERSION}
"""


def write_package(folder, name="p", version="1.0", memory=64, lanes=2, code=PACKAGE_CODE, manifest=None):
    """Writes a package as a folder."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "main.py"), "w") as file:
        file.write(f"VERSION = {version!r}\n" + code)
    with open(os.path.join(folder, "package.sexp"), "w") as file:
        file.write(manifest or MANIFEST.format(name=name, version=version, memory=memory, lanes=lanes))


class TemporaryFolderTest(unittest.TestCase):
    """A test case with a temporary folder for each test."""

    def setUp(self):
        """Creates the folder, which is removed after the test."""
        folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def path(self, *parts):
        """The path of a file in the folder."""
        return os.path.join(self.folder, *parts)


class GatewayConnection:
    """The connection of a gateway to a worker."""

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
        """The answer to the request with this id."""
        self.sock.settimeout(30)
        while ident not in self.answers:
            line = msgspec.json.decode(self.source.readline())
            self.answers[line["id"]] = line
        return self.answers.pop(ident)

    def send(self, program="p", time_left_ms=20000.0, memory=64.0, **function_input):
        """Sends a `run` request with the given input; returns its id."""
        return self.request(
            "run",
            method="m",
            program=program,
            input=function_input,
            memory_mb=memory,
            lanes=2,
            time_left_ms=time_left_ms,
        )

    def run(self, program="p", time_left_ms=20000.0, memory=64.0, **function_input):
        """Runs a function. Returns (None, output) or (error code, error message)."""
        answer = self.answer(self.send(program, time_left_ms, memory, **function_input))
        if "result" in answer:
            return None, answer["result"]["output"]
        return answer["error"]["code"], answer["error"]["message"]

    def close(self):
        """Ends the connection."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.source.close()
        self.sock.close()


WORKER_CONFIG = """(worker (name "w1") (listen "w1.sock") (store (folder "store"))
  (cache (folder "cache") (most {cache_mb} MB))
  (memory {memory} MB) (idle-life {idle_s} s) (stop-within 200 ms) (measure 50 ms) (calls-at-once 8) {more_settings})"""


class WorkerTest(TemporaryFolderTest):
    """A test case with a worker in this process."""

    def worker(self, memory=400, idle_s=60, cache_mb=50, more_settings="", package_memory=64):
        """(worker that serves, a connection to it). Its store has the package p, which states `package_memory` MB."""
        write_package(self.path("f"), memory=package_memory)
        package.pack(self.path("f"), self.path("store"))
        with open(self.path("w.sexp"), "w") as file:
            file.write(
                WORKER_CONFIG.format(memory=memory, idle_s=idle_s, cache_mb=cache_mb, more_settings=more_settings)
            )
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
    """Whether a process exists and is not a zombie."""
    try:
        with open(f"/proc/{pid}/stat") as source:
            return source.read().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


def child_pids(pid):
    """The child processes of a process, whichever of its threads forked them."""
    return [child.pid for child in psutil.Process(pid).children()]


def proportional_set_size(pid):
    """A process's proportional set size in MB: the sum of its mappings."""
    with open(f"/proc/{pid}/smaps") as source:
        return sum(int(line.split()[1]) for line in source if line.startswith("Pss:")) / 1024

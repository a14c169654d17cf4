"""Helpers for tests with sockets: scripted workers, a gateway in this process, clients, and waits with a timeout."""

import contextlib
import io
import os
import queue
import socket
import tempfile
import threading
import time

from wickdyke.config import gateway_config
from wickdyke.config.endpoint_file import EndpointRow, format_endpoints
from wickdyke.gateway import events
from wickdyke.gateway import log as logs
from wickdyke.jsonrpc.service import Gateway
from wickdyke.protocol import jsonrpc, worker_messages

STEP_TIMEOUT = 20.0  # s that any step of a test may take on a busy machine


def until(condition, timeout=STEP_TIMEOUT):
    """Waits until `condition()` holds; returns False if it does not within `timeout` s."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.005)
    return bool(condition())


def read_messages(sock):
    """Yields the received messages, decoded."""
    import msgspec

    with sock.makefile("rb") as source:
        for line in source:
            yield msgspec.json.decode(line)


class ScriptedWorker:
    """A worker whose connections are each served by `play(sock, number)`. `close` closes the sockets it accepted."""

    def __init__(self, folder, name, play):
        self.path = os.path.join(folder, name + ".sock")
        self.play = play
        self.number = 0
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.bind(self.path)
        self.sock.listen(16)
        self.accepted = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.number += 1
            self.accepted.append(sock)
            threading.Thread(target=self._serve, args=(sock, self.number), daemon=True).start()

    def _serve(self, sock, number):
        with contextlib.suppress(OSError, ValueError, StopIteration):
            self.play(sock, number)

    def close(self):
        """Closes the listening socket and all accepted connections."""
        for sock in [self.sock, *self.accepted]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def answer_hello(sock, source, start=1, up=1e6, draining=False):
    """Reads the gateway's hello and answers it; `start` is the number of the worker's start, `up` the ms since then."""
    request = next(source)
    answer = worker_messages.WorkerHello(worker_messages.VERSION, "w", start, up, draining)
    sock.sendall(jsonrpc.result_response(request["id"], jsonrpc.encode(answer)) + b"\n")


def success_line(number, output=b'"done"', standing="stood"):
    """Returns a success as the answer to the `run` of that number."""
    return (
        jsonrpc.result_response(number, b'{"output":%b,"standing":"%b","company":0}' % (output, standing.encode()))
        + b"\n"
    )


def answers_all(sock, number, output=lambda request: b'"done"'):
    """Plays a worker that answers all requests; `output` returns the output for the params of a `run`."""
    source = read_messages(sock)
    answer_hello(sock, source)
    for request in source:
        if request["method"] == "run":
            sock.sendall(success_line(request["id"], output(request["params"])))
        elif request["method"] == "hold":
            sock.sendall(jsonrpc.result_response(request["id"], b'{"copies":%d}' % request["params"]["copies"]) + b"\n")
        elif request["method"] == "probe":
            sock.sendall(jsonrpc.result_response(request["id"], b'{"report":{"busy":0.1,"held":0}}') + b"\n")


SETTINGS = """(gateway (name "g") (listen (json-rpc "g.sock")) (workers (file "workers.sexp") (reread 20 ms)) (seed 5)
  (method "idem" (effect idempotent) (soft-deadline {soft}) (deadline {deadline}))
  (method "side" (effect side-effecting) (soft-deadline {soft}) (deadline {deadline}))
  (program "p*" (memory 100 MB) (lanes 64) (load 50 ms))
  {call_outs} (stock (idle-life 60 s) {stock}) (warmup (start-share 1) (ramp 0 s) (multiple 100)
  (window 1 s)) (drain-grace 1 s) (answer-way {way}) {more})"""


CALL_OUTS_SETTINGS = "(call-outs (most 3) (dial 2 s))"


class RunningGateway:
    """A gateway in this process with its folder and workers; a context manager that closes all of them."""

    def __init__(  # noqa: PLR0913 - one keyword for each setting
        self,
        workers=(answers_all,),
        soft="4 s",
        deadline="10 s",
        way="100 ms",
        more="",
        record=False,
        sink=None,
        routes=None,
        stock="",
    ):
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.folder = self.temporary_folder.name
        self.peers = []
        for index, play in enumerate(workers):
            self.peers.append(ScriptedWorker(self.folder, f"w{index}", play))
        self.rows = [
            EndpointRow(f"w{index}", peer.path, None, None, 0, 4.0, "ready", 0) for index, peer in enumerate(self.peers)
        ]
        self.write_endpoints(format_endpoints(self.rows))
        if routes is not None:
            self.write_routes(routes)
            more += ' (routes (file "routes.sexp") (reread 20 ms))'
        with open(os.path.join(self.folder, "g.sexp"), "w") as out:
            out.write(
                SETTINGS.format(
                    stock=stock,
                    soft=soft,
                    deadline=deadline,
                    way=way,
                    more=more,
                    call_outs="" if "(call-outs" in more else CALL_OUTS_SETTINGS,
                )
            )
        self.config = gateway_config.read(os.path.join(self.folder, "g.sexp"))
        if record:
            self.config.recording_path = os.path.join(self.folder, "tape")
        self.log_output = sink or io.StringIO()
        self.log, self.log_writer = logs.logger(self.log_output, False)
        self.gateway = Gateway(self.config, self.log)
        self.coordinator = self.gateway.coordinator

    def write_endpoints(self, text):
        """Replaces the endpoint file."""
        path = os.path.join(self.folder, "workers.sexp")
        with open(path + ".new", "w") as out:
            out.write(text)
        os.replace(path + ".new", path)

    def write_routes(self, text):
        """Replaces the routes file."""
        path = os.path.join(self.folder, "routes.sexp")
        with open(path + ".new", "w") as out:
            out.write(f"(routes {text})")
        os.replace(path + ".new", path)

    def __enter__(self):
        self.gateway.open()
        assert until(lambda: len(list(self.coordinator.router.fleet.ready_workers())) == len(self.peers)), (
            "workers not listed"
        )
        return self

    def __exit__(self, *exception):
        for peer in self.peers:
            peer.close()
        self.gateway.client_server.stop_accepting()
        self.gateway.close()
        self.log_writer.close()
        self.temporary_folder.cleanup()

    def client(self):
        """Returns a new connection of a client."""
        return Client(self.config.listen)


class Client:
    """A client's connection, which sends requests or raw bytes and reads answers in the order of their arrival."""

    def __init__(self, path):
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(STEP_TIMEOUT)
        self.sock.connect(path)
        self.source = read_messages(self.sock)

    def ask(self, ident, method="idem", program="p", **more):
        """Sends a `call` with that id."""
        params = {"method": method, "program": program, "input": {"n": ident}, **more}
        self.sock.sendall(jsonrpc.request_line("call", jsonrpc.encode(params), ident))

    def send(self, raw):
        """Sends bytes."""
        self.sock.sendall(raw)

    def answer(self):
        """Returns the next answer."""
        return next(self.source)

    def close(self):
        """Closes the connection."""
        self.source.close()
        self.sock.close()


EVENT_NAMES = {
    events.RequestReceived: "received",
    events.RequestCancelled: "cancelled",
    events.ClientClosed: "closed",
    events.CommandFinished: "finished",
    events.WorkerConnected: "connected",
    events.WorkerConnectionLost: "lost",
    events.WorkerUnreachable: "unreachable",
    events.WorkerDraining: "draining",
}


def event_tuple(event):
    """Returns an event of the coordinator as a tuple: its name in EVENT_NAMES, then its fields."""
    return EVENT_NAMES[type(event)], *(getattr(event, name) for name in event.__slots__)


class EventRecorder:
    """Records the events that a worker client or a client server posts."""

    def __init__(self):
        self.events = queue.Queue()

    def __call__(self, event):
        self.events.put(event_tuple(event))

    def next(self, *kinds):
        """Returns the next event of one of these kinds, and drops the events before it."""
        while True:
            event = self.events.get(timeout=STEP_TIMEOUT)
            if event[0] in kinds:
                return event

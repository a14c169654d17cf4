"""What tests of sockets share: a scripted peer, a gateway in this process, and waiting for what must come."""

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

LONG = 20.0  # s that anything may take on a machine that is busy with other things


def until(true, within=LONG):
    """Waits until it holds; False when it does not come."""
    ends = time.monotonic() + within
    while time.monotonic() < ends:
        if true():
            return True
        time.sleep(0.005)
    return bool(true())


def lines_of(sock):
    """The lines that come in, decoded."""
    import msgspec

    with sock.makefile("rb") as source:
        for line in source:
            yield msgspec.json.decode(line)


class Peer:
    """A worker played by a function: `play(sock, nth)` for each connection."""

    def __init__(self, folder, name, play):
        self.path, self.play, self.number = os.path.join(folder, name + ".sock"), play, 0
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.bind(self.path)
        self.sock.listen(16)
        self.taken = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.number += 1
            self.taken.append(sock)
            threading.Thread(target=self._played, args=(sock, self.number), daemon=True).start()

    def _played(self, sock, number):
        try:
            self.play(sock, number)
        except (OSError, ValueError, StopIteration):
            pass

    def close(self):
        for sock in [self.sock, *self.taken]:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


def hello(sock, source, start=1, up=1e6, draining=False):
    """Answers the hello."""
    asked = next(source)
    standing = worker_messages.WorkerHello(worker_messages.VERSION, "w", start, up, draining)
    sock.sendall(jsonrpc.result_response(asked["id"], jsonrpc.encode(standing)) + b"\n")


def ok(number, output=b'"done"', standing="stood"):
    """An ok answer to `run`."""
    return (
        jsonrpc.result_response(number, b'{"output":%b,"standing":"%b","company":0}' % (output, standing.encode()))
        + b"\n"
    )


def willing(sock, number, output=lambda asked: b'"done"'):
    """A worker that answers all; `output` gives what it answers to the params of a run."""
    source = lines_of(sock)
    hello(sock, source)
    for asked in source:
        if asked["method"] == "run":
            sock.sendall(ok(asked["id"], output(asked["params"])))
        elif asked["method"] == "hold":
            sock.sendall(jsonrpc.result_response(asked["id"], b'{"copies":%d}' % asked["params"]["copies"]) + b"\n")
        elif asked["method"] == "probe":
            sock.sendall(jsonrpc.result_response(asked["id"], b'{"report":{"busy":0.1,"held":0}}') + b"\n")


TERMS = """(gateway (name "g") (listen (json-rpc "g.sock")) (workers (file "workers.sexp") (reread 20 ms)) (seed 5)
  (method "idem" (effect idempotent) (soft-deadline {soft}) (deadline {deadline}))
  (method "side" (effect side-effecting) (soft-deadline {soft}) (deadline {deadline}))
  (program "p*" (memory 100 MB) (lanes 64) (load 50 ms))
  {call_outs} (stock (idle-life 60 s) {stock}) (warmup (start-share 1) (ramp 0 s) (multiple 100)
  (window 1 s)) (drain-grace 1 s) (answer-way {way}) {more})"""


CALL_OUTS = "(call-outs (most 3) (dial 2 s))"


class Running:
    """A gateway in this process, its folder and its workers; used as a context."""

    def __init__(
        self,
        workers=(willing,),
        soft="4 s",
        deadline="10 s",
        way="100 ms",
        more="",
        tape=False,
        sink=None,
        routes=None,
        stock="",
    ):
        self.made = tempfile.TemporaryDirectory(prefix="wd-")
        self.folder, self.peers = self.made.name, []
        for at, play in enumerate(workers):
            self.peers.append(Peer(self.folder, f"w{at}", play))
        self.rows = [
            EndpointRow(f"w{at}", peer.path, None, None, 0, 4.0, "ready", 0) for at, peer in enumerate(self.peers)
        ]
        self.write(format_endpoints(self.rows))
        if routes is not None:
            self.route(routes)
            more += ' (routes (file "routes.sexp") (reread 20 ms))'
        with open(os.path.join(self.folder, "g.sexp"), "w") as out:
            out.write(
                TERMS.format(
                    stock=stock,
                    soft=soft,
                    deadline=deadline,
                    way=way,
                    more=more,
                    call_outs="" if "(call-outs" in more else CALL_OUTS,
                )
            )
        self.config = gateway_config.read(os.path.join(self.folder, "g.sexp"))
        if tape:
            self.config.recording_path = os.path.join(self.folder, "tape")
        self.said = sink or io.StringIO()
        self.log, self.scribe = logs.logger(self.said, False)
        self.gateway = Gateway(self.config, self.log)
        self.coordinator = self.gateway.coordinator

    def write(self, text):
        """Replaces the worker list."""
        path = os.path.join(self.folder, "workers.sexp")
        with open(path + ".new", "w") as out:
            out.write(text)
        os.replace(path + ".new", path)

    def route(self, text):
        """Replaces the routes."""
        path = os.path.join(self.folder, "routes.sexp")
        with open(path + ".new", "w") as out:
            out.write(f"(routes {text})")
        os.replace(path + ".new", path)

    def __enter__(self):
        self.gateway.open()
        assert until(lambda: len(list(self.coordinator.router.fleet.ready())) == len(self.peers)), "workers not listed"
        return self

    def __exit__(self, *why):
        for peer in self.peers:
            peer.close()
        self.gateway.client_server.shut()
        self.gateway.close()
        self.scribe.close()
        self.made.cleanup()

    def client(self):
        """A connection of a client."""
        return Client(self.config.listen)


class Client:
    """A client's connection: sends raw lines, reads answers by their id."""

    def __init__(self, path):
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(LONG)
        self.sock.connect(path)
        self.source = lines_of(self.sock)

    def ask(self, ident, method="idem", program="p", **more):
        """Sends a call."""
        said = {"method": method, "program": program, "input": {"n": ident}, **more}
        self.sock.sendall(jsonrpc.request_line("call", jsonrpc.encode(said), ident))

    def tell(self, raw):
        """Sends bytes."""
        self.sock.sendall(raw)

    def answer(self):
        """The next answer."""
        return next(self.source)

    def close(self):
        self.source.close()
        self.sock.close()


WORDS = {
    events.RequestReceived: "received",
    events.RequestCancelled: "cancelled",
    events.ClientClosed: "closed",
    events.CommandFinished: "finished",
    events.WorkerConnected: "connected",
    events.WorkerConnectionLost: "lost",
    events.WorkerUnreachable: "unreachable",
    events.WorkerDraining: "draining",
}


def plain(event):
    """An event of the coordinator as a tuple: its word, then its fields."""
    return WORDS[type(event)], *(getattr(event, name) for name in event.__slots__)


class Told:
    """Keeps what a link or a door tells."""

    def __init__(self):
        self.events = queue.Queue()

    def __call__(self, event):
        self.events.put(plain(event))

    def next(self, *kinds):
        """The next event of one of these kinds."""
        while True:
            event = self.events.get(timeout=LONG)
            if event[0] in kinds:
                return event

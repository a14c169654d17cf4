"""The other sides of the platform's protocol, written apart from the code under test: client, worker, bus, settings."""

import json
import socket
import struct
import threading
from contextlib import suppress

TIMEOUT = 20.0

SETTINGS = {
    "lanes": [
        {"name": "look", "repeat": "pure", "aim": 500000, "deadline": 4000000, "gain": 2.0},
        {"name": "pay", "repeat": "side_effect", "aim": 500000, "deadline": 4000000, "gain": 5.0},
    ],
    "instances": 2,
    "self-index": 0,
    "zones": ["hall"],
    "flavors": ["std", "slow"],
    "discovery": "automatic",
    "report": {"source": "pull", "fields": ["utilization", "outstanding"]},
    "limits": {
        "send-cap": 4,
        "second-copies": False,
        "cancelling": True,
        "probing": True,
        "dial-timeout": 250000,
        "idle-close": 15000000,
    },
    "family-info": {
        "memory-mb-by-kind": [32000.0, 32000.0],
        "idle-life": 4000000,
        "may-load": True,
        "if-cold": "load",
        "load-wait": 4000000,
        "warm-notes": True,
        "says-company": True,
        "free-loads": 6.0,
        "load-part": 0.2,
        "load-window": 5000000,
    },
    "rules": {
        "cold-from": 0.2,
        "ramp-time": 18000000,
        "overload-factor": 2.0,
        "tip-after": 2000000,
        "stop-sending-within": 500000,
    },
}


def instance(name, address, **more):
    """A ready instance of the platform's list."""
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "hall",
        "machineType": "std",
        "cell": 1,
        "lifecycle": "SERVING",
        "weight": 4,
        "startedAtMs": 0,
        **more,
    }


def event(offset, *instances, reset=False):
    """An event of the list that changes these instances, or replaces all with `reset`."""
    return {"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": list(instances)}}


def config(listen, bus, *instances, **more):
    """A configuration of a front end, with these instances' fields."""
    return {
        "name": "n0",
        "listen": listen,
        "bus": bus,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"offset": 1, "batch": [event(1, *instances, reset=True)]},
        "settings": SETTINGS,
        **more,
    }


def free_address():
    """A loopback address that no socket is bound to now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


# ---- Thrift, as a client writes and reads it ----


def text(value):
    """A Thrift string."""
    value = value.encode() if isinstance(value, str) else value
    return struct.pack(">i", len(value)) + value


def table(fields):
    """A Thrift map of strings to strings."""
    return b"\x0b\x0b" + struct.pack(">i", len(fields)) + b"".join(text(k) + text(v) for k, v in fields.items())


def message(verb, number, args, kind=1):
    """A Thrift message without its frame; `kind` 1 is a call, 4 is one without an answer."""
    return struct.pack(">I", 0x80010000 | kind) + text(verb) + struct.pack(">i", number) + args


def framed(data):
    """Bytes behind their length."""
    return struct.pack(">i", len(data)) + data


def fields(ident="9b1f03aa5c7e2d41", name="look", **more):
    """The fields of a valid request, with those of `more` instead."""
    return {"c": name, "i": ident, "d": "1500", "o": "7f3a9c21e0b4d655", "tags": "memory_mb:512;lanes:2", **more}


def dispatch(number, given, body=b"hello"):
    """The frame of a request."""
    return framed(message("dispatch", number, b"\x0d\x00\x01" + table(given) + b"\x0b\x00\x02" + text(body) + b"\x00"))


def cancel(number, about):
    """The frame that cancels the request with the number `about`."""
    return framed(message("cancelRequest", number, b"\x08\x00\x01" + struct.pack(">i", about) + b"\x00", 4))


def alive(number):
    """The frame of a liveness check."""
    return framed(message("alive", number, b"\x02\x00\x01\x01\x00"))


def parse_answer(data):
    """The number, the word and the body of an answer, from its frame without the length."""
    kind, length = data[3], struct.unpack_from(">i", data, 4)[0]
    verb, (number,) = data[8 : 8 + length], struct.unpack_from(">i", data, 8 + length)
    rest = data[12 + length :]
    if kind == 3:
        return number, "exception", rest
    place = struct.unpack_from(">h", rest, 1)[0]
    if place:
        return number, {1: "shed", 2: "fault"}[place], rest
    size = struct.unpack_from(">i", rest, 6)[0]
    good = rest[10 + size + 3 + 6 + 3]
    return number, ("good" if good else "bad") if verb == b"alive" else "answer", rest[10 : 10 + size]


class Client:
    """One connection: `answer()` gives (number, word, body), the word "closed" at its end."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), TIMEOUT)
        self.sock.settimeout(TIMEOUT)

    def send(self, data):
        self.sock.sendall(data)

    def _take(self, many):
        data = b""
        while len(data) < many:
            data += (more := self.sock.recv(many - len(data)))
            if not more:
                raise ConnectionError
        return data

    def answer(self):
        try:
            data = self._take(struct.unpack(">i", self._take(4))[0])
        except OSError:
            return None, "closed", b""
        return parse_answer(data)

    def waits(self):
        """Whether an answer, or the connection's end, is there to be read."""
        self.sock.setblocking(False)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        finally:
            self.sock.settimeout(TIMEOUT)
        return True

    def close(self):
        self.sock.close()


# ---- a worker ----


def bulk(*parts):
    """A RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


class Listener:
    """Accepts connections on loopback, each with a thread that calls `_serve(sock)`. `close` closes all of them."""

    def __init__(self):
        self.socks, self.lock, self.closed = [], threading.Lock(), False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                if self.closed:  # accepted during `close`, which does not close it
                    sock.close()
                    return
                self.socks.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def close(self):
        with self.lock:
            self.closed = True
            for sock in self.socks:
                sock.close()
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that waits in accept
        self.listener.close()


class Worker(Listener):
    """A worker that answers by `play(worker, sock, command)`, or serves all. `commands` holds those received."""

    def __init__(self, play=None):
        self.play, self.commands = play, []
        super().__init__()

    def _serve(self, sock):
        source = sock.makefile("rb")
        try:
            while line := source.readline():
                parts = []
                for _ in range(int(line[1:])):
                    parts.append(source.read(int(source.readline()[1:]) + 2)[:-2])
                with self.lock:
                    self.commands.append(parts)
                if not (self.play and self.play(self, sock, parts)):
                    self.serve(sock, parts)
        except (OSError, ValueError):
            pass

    def serve(self, sock, parts):
        verb = parts[0]
        if verb == b"invoke":
            sock.sendall(bulk(parts[1], b"ACK", b"why=w,ahead=0", b"did " + parts[3]))
        elif verb == b"gauges":
            sock.sendall(bulk(parts[1], b"READY", b"rep=inflight:2;util:0.25", b""))
        elif verb == b"prewarm":
            sock.sendall(bulk(parts[1], b"ACK", b"units=1", b""))

    def received(self, verb):
        with self.lock:
            return [parts for parts in self.commands if parts[0] == verb]


# ---- the bus ----


class Bus(Listener):
    """Serves `GET /bus/read`: `offsets` holds each Last-Event-ID, `send_raw` writes to the latest reader."""

    def __init__(self):
        self.offsets, self.readers = [], []
        super().__init__()

    def _serve(self, sock):
        try:
            head = b""
            while not head.endswith(b"\r\n\r\n"):
                head += sock.recv(1)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hi\n\n")
        except OSError:
            return
        self.readers.append(sock)
        self.offsets.append(
            next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"last-event-id"))
        )

    def send_raw(self, raw):
        self.readers[-1].sendall(raw)

    def event(self, content):
        self.send_raw(f"id: {content['offset']}\ndata: {json.dumps(content)}\n\n".encode())

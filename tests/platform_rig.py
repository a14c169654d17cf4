"""The front end's peers: client, worker, discovery bus and settings, independent of the code under test."""

import json
import socket
import struct
import threading
from contextlib import suppress

TIMEOUT = 20.0  # s

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
    """Returns a ready instance as an entry of the platform's endpoint list."""
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
    """Returns an event of the endpoint list that updates these instances; with `reset` they replace the whole list."""
    return {"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": list(instances)}}


def config(listen, bus, *instances, **more):
    """Returns a configuration of a front end whose endpoint list has these instances."""
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
    """Returns a loopback address that no socket is bound to at present."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


# ---- Thrift, encoded and decoded as by a client ----


def text(value):
    """Encodes a Thrift string."""
    value = value.encode() if isinstance(value, str) else value
    return struct.pack(">i", len(value)) + value


def table(fields):
    """Encodes a Thrift map of strings to strings."""
    return b"\x0b\x0b" + struct.pack(">i", len(fields)) + b"".join(text(k) + text(v) for k, v in fields.items())


def message(verb, number, args, kind=1):
    """Encodes a Thrift message without its frame; `kind` 1 is a call, 4 a one-way call."""
    return struct.pack(">I", 0x80010000 | kind) + text(verb) + struct.pack(">i", number) + args


def framed(data):
    """Prefixes a message with its length."""
    return struct.pack(">i", len(data)) + data


def fields(ident="9b1f03aa5c7e2d41", name="look", **more):
    """Returns the fields of a valid request; those of `more` are added or replaced."""
    return {"c": name, "i": ident, "d": "1500", "o": "7f3a9c21e0b4d655", "tags": "memory_mb:512;lanes:2", **more}


def dispatch(number, given, body=b"hello"):
    """Returns the frame of a request."""
    return framed(message("dispatch", number, b"\x0d\x00\x01" + table(given) + b"\x0b\x00\x02" + text(body) + b"\x00"))


def cancel(number, request_number):
    """Returns the frame that cancels the request with the number `request_number`."""
    return framed(message("cancelRequest", number, b"\x08\x00\x01" + struct.pack(">i", request_number) + b"\x00", 4))


def alive(number):
    """Returns the frame of a liveness check."""
    return framed(message("alive", number, b"\x02\x00\x01\x01\x00"))


def parse_answer(data):
    """Parses the frame of an answer without its length; returns its number, its kind as a word, and its body."""
    kind, length = data[3], struct.unpack_from(">i", data, 4)[0]
    verb, (number,) = data[8 : 8 + length], struct.unpack_from(">i", data, 8 + length)
    rest = data[12 + length :]
    if kind == 3:
        return number, "exception", rest
    field_id = struct.unpack_from(">h", rest, 1)[0]
    if field_id:
        return number, {1: "shed", 2: "fault"}[field_id], rest
    size = struct.unpack_from(">i", rest, 6)[0]
    healthy = rest[10 + size + 3 + 6 + 3]
    return number, ("good" if healthy else "bad") if verb == b"alive" else "answer", rest[10 : 10 + size]


class Client:
    """A client's connection. `answer()` returns (number, word, body); the word is "closed" after its end."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), TIMEOUT)
        self.sock.settimeout(TIMEOUT)

    def send(self, data):
        """Sends bytes."""
        self.sock.sendall(data)

    def _receive(self, size):
        data = b""
        while len(data) < size:
            data += (received := self.sock.recv(size - len(data)))
            if not received:
                raise ConnectionError
        return data

    def answer(self):
        """Returns the next answer; waits for it up to TIMEOUT."""
        try:
            data = self._receive(struct.unpack(">i", self._receive(4))[0])
        except OSError:
            return None, "closed", b""
        return parse_answer(data)

    def waits(self):
        """Returns whether an answer or the end of the connection can be read."""
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
        """Closes the connection."""
        self.sock.close()


# ---- a worker ----


def bulk(*parts):
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


def bulk_with_length(length, *parts):
    """Encodes a RESP array of bulk strings, whose last part is said to have `length` bytes."""
    whole = bulk(*parts)
    end = b"%b\r\n" % parts[-1]
    head = whole[: -len(end)].removesuffix(b"$%d\r\n" % len(parts[-1]))
    return head + b"$%d\r\n" % length + end


class Listener:
    """Accepts connections on loopback and calls `_serve(sock)` in a thread of each."""

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
                if self.closed:  # accepted while `close` ran, which did not see it
                    sock.close()
                    return
                self.socks.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def close(self):
        """Closes the listener and all connections."""
        with self.lock:
            self.closed = True
            for sock in self.socks:
                sock.close()
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that waits in accept
        self.listener.close()


class Worker(Listener):
    """A worker that passes each command to `handle(worker, sock, command)` and serves those for which it returns false.

    `commands` has all commands received.
    """

    def __init__(self, handle=None):
        self.handle, self.commands = handle, []
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
                if not (self.handle and self.handle(self, sock, parts)):
                    self.serve(sock, parts)
        except (OSError, ValueError):
            pass

    def serve(self, sock, parts):
        """Answers a command as a worker that is ready."""
        verb = parts[0]
        if verb == b"invoke":
            sock.sendall(bulk(parts[1], b"ACK", b"why=w,ahead=0", b"did " + parts[3]))
        elif verb == b"gauges":
            sock.sendall(bulk(parts[1], b"READY", b"rep=inflight:2;util:0.25", b""))
        elif verb == b"prewarm":
            sock.sendall(bulk(parts[1], b"ACK", b"units=1", b""))

    def received(self, verb):
        """Returns the commands received with this verb."""
        with self.lock:
            return [parts for parts in self.commands if parts[0] == verb]


# ---- the bus ----


class Bus(Listener):
    """A discovery bus at `GET /bus/read`. `offsets` has the Last-Event-ID of each request, `readers` their sockets."""

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
        """Writes bytes to the latest reader."""
        self.readers[-1].sendall(raw)

    def event(self, content):
        """Sends an event to the latest reader."""
        self.send_raw(f"id: {content['offset']}\ndata: {json.dumps(content)}\n\n".encode())

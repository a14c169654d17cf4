"""A simulated discovery service: an event log served over HTTP, with several kinds of outage."""

import json
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum, auto

from tests import platform_rig as rig
from tests.soak.addresses import reserve_address

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HEARTBEAT_SECONDS = 1.0
FLAP_SECONDS = 0.1  # lifetime of a connection while discovery is flapping
PARTIAL_EVENT_BYTE_INTERVAL = 0.3  # s between two bytes of an event that never completes


class BusMode(Enum):
    """How discovery behaves."""

    UP = auto()
    REFUSED = auto()  # open connections are closed, new ones refused
    SILENT = auto()  # open connections carry no more data, new ones are accepted and get no answer
    ERRORS = auto()  # open connections are closed, new ones get an error
    HALF_EVENT = auto()  # new connections carry an event that is never complete
    FLAPPING = auto()  # new connections end after FLAP_SECONDS without an event


@dataclass
class Outage:
    """When discovery was unavailable (Unix s); `ended_at` is None while the outage lasts."""

    began_at: float
    ended_at: float | None = None


@dataclass
class Reader:
    """A connection of a front end."""

    sock: socket.socket
    generation: int  # of the mode when it was accepted
    offset: int = 0
    response_begun: bool = False


@dataclass
class EventLog:
    """All events so far, and the instances that result from them."""

    condition: threading.Condition = field(default_factory=threading.Condition)
    events: list[dict] = field(default_factory=list)
    instances: dict[str, dict] = field(default_factory=dict)

    def append(self, *instances: dict) -> int:
        """Appends an event that updates these instances; returns its offset."""
        with self.condition:
            offset = len(self.events) + 1
            self.events.append(rig.event(offset, *instances, reset=not self.events))
            for instance in instances:
                self.instances[instance["instanceId"]] = instance
                if instance["lifecycle"] == "DELETED":
                    del self.instances[instance["instanceId"]]
            self.condition.notify_all()
            return offset

    def known(self) -> dict:
        """Returns the `known` part of a configuration that is written now."""
        with self.condition:
            offset = len(self.events)
            return {"offset": offset, "batch": [rig.event(offset, *self.instances.values(), reset=True)]}


class SoakBus:
    """Serves an event log at one address."""

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.mode = BusMode.UP
        self.generation = 0  # counts changes of the mode
        self.outages: list[Outage] = []
        self.readers: list[Reader] = []
        self.silent_readers: list[Reader] = []  # connections that carry no more data
        self.address = reserve_address()
        self._listen()

    def set_mode(self, mode: BusMode) -> None:
        """Switches to a mode; records the begin or end of an outage."""
        now = time.time()
        with self.log.condition:
            was_up = self.mode is BusMode.UP
            self.mode = mode
            self.generation += 1
            if was_up and mode is not BusMode.UP:
                self.outages.append(Outage(now))
            if not was_up and mode is BusMode.UP:
                self.outages[-1].ended_at = now
            readers = self.readers
            self.readers = []
            self.log.condition.notify_all()
        if mode is BusMode.SILENT:
            self.silent_readers += readers
        else:
            for reader in readers:
                self._end(reader)
        if mode is BusMode.REFUSED:
            self._stop_listening()
        elif self.listener is None:
            self._listen()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.set_mode(BusMode.REFUSED)
        for reader in self.silent_readers:
            self._end(reader)

    def _listen(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.listener: socket.socket | None = socket.create_server((host, int(port)), backlog=64)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def _stop_listening(self) -> None:
        listener = self.listener
        self.listener = None
        if listener is not None:
            with suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def _end(self, reader: Reader) -> None:
        with suppress(OSError):
            reader.sock.shutdown(socket.SHUT_RDWR)
        reader.sock.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self.log.condition:
                reader = Reader(sock, self.generation)
                self.readers.append(reader)
            threading.Thread(target=self._serve, args=(reader,), daemon=True).start()

    def _serve(self, reader: Reader) -> None:
        with suppress(OSError, ValueError):
            self._read_request(reader)
            while self._serve_once(reader):
                pass
            return
        self._end(reader)

    def _read_request(self, reader: Reader) -> None:
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            received = reader.sock.recv(1)
            if not received:
                raise OSError("closed")
            head += received
        lines = head.lower().split(b"\r\n")
        reader.offset = next(int(line.split(b":")[1]) for line in lines if line.startswith(b"last-event-id"))

    def _serve_once(self, reader: Reader) -> bool:
        """Does one step of serving a connection; returns whether to continue."""
        with self.log.condition:
            mode = self.mode
            if reader.generation != self.generation:
                return False  # the change of mode closed or silenced the connection
            new = [event for event in self.log.events if event["offset"] > reader.offset]
            if mode is BusMode.UP:
                self._write_events(reader, new)
                self.log.condition.wait(HEARTBEAT_SECONDS)
                if reader.generation == self.generation and len(self.log.events) == reader.offset:
                    reader.sock.sendall(b": heartbeat\n\n")
                return True
        return self._serve_outage(reader, mode)

    def _write_events(self, reader: Reader, events: list[dict]) -> None:
        if not reader.response_begun:
            reader.response_begun = True
            reader.sock.sendall(HEAD)
        for event in events:
            reader.sock.sendall(f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode())
            reader.offset = event["offset"]

    def _serve_outage(self, reader: Reader, mode: BusMode) -> bool:
        """Does one step of serving a connection in an outage; returns whether to continue."""
        if mode is BusMode.ERRORS:
            reader.sock.sendall(UNAVAILABLE)
            self._end(reader)
        elif mode is BusMode.FLAPPING:
            reader.sock.sendall(HEAD)
            time.sleep(FLAP_SECONDS)
            self._end(reader)
        elif mode is BusMode.HALF_EVENT:
            reader.sock.sendall(b"." if reader.response_begun else HEAD + b"id: 99\ndata: ")
            reader.response_begun = True
            time.sleep(PARTIAL_EVENT_BYTE_INTERVAL)
            return True
        return False

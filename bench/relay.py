"""A relay with the gateway's threads and messages but no decisions: `python -m bench.relay SOCKET WORKER...`.

The relay has a reader thread for each client and each worker, one thread that handles their events, and the gateway's
decoding and encoding. Requests go to the workers in turn. What the gateway costs beyond that is the cost of its
decisions.
"""

import itertools
import queue
import socket
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wickdyke.protocol import client_messages, jsonrpc, worker_messages
from wickdyke.protocol.framing import LineReader
from wickdyke.transport.write_buffer import OutgoingMessage, WriteBuffer

LINE_LIMIT = 16 << 20  # bytes
UNREAD_LIMIT = 32 << 20  # bytes that may be buffered for one peer
READ_SIZE = 1 << 18  # bytes
STACK_BYTES = 512 * 1024
SWITCH_INTERVAL = 0.001  # s, as in the gateway
LISTEN_BACKLOG = 64
MEMORY_MB = 100.0  # as stated in requests to workers
TIME_LEFT_MS = 1000.0  # as stated in requests to workers


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A client's request, with the connection that its answer goes to."""

    client: WriteBuffer
    ident: jsonrpc.Ident
    call: client_messages.CallRequest


@dataclass(slots=True, frozen=True)
class WorkerResponse:
    """A worker's result, with the number that the relay gave the request."""

    number: jsonrpc.Ident
    result: worker_messages.RunResult


class Relay:
    """Sends the clients' requests to the workers in turn, and returns the results."""

    def __init__(self, worker_addresses: list[str]) -> None:
        """Connects to the workers; raises OSError."""
        self.events: queue.SimpleQueue[ClientRequest | WorkerResponse] = queue.SimpleQueue()
        self.pending: dict[jsonrpc.Ident, ClientRequest] = {}
        self.workers: list[WriteBuffer] = []
        for address in worker_addresses:
            sock = socket.socket(socket.AF_UNIX)
            sock.connect(address)
            self.workers.append(WriteBuffer(sock, UNREAD_LIMIT, address))
            _start_thread(_read_lines, sock, self._receive_response)

    def run(self) -> None:
        """Handles requests and results until the process ends."""
        next_workers = itertools.cycle(self.workers)
        request_numbers = itertools.count(1)
        while True:
            match self.events.get():
                case ClientRequest() as request:
                    self._send(next(next_workers), next(request_numbers), request)
                case WorkerResponse() as response:
                    request = self.pending.pop(response.number)
                    body = client_messages.success_response(request.ident, bytes(response.result.output), 1)
                    request.client.put(OutgoingMessage(body + b"\n"))

    def _send(self, worker: WriteBuffer, number: int, request: ClientRequest) -> None:
        self.pending[number] = request
        call = request.call
        run = worker_messages.RunRequest(call.method, call.function, call.input, MEMORY_MB, 1, TIME_LEFT_MS)
        worker.put(OutgoingMessage(jsonrpc.request_line("run", jsonrpc.encode(run), number)))

    def serve_client(self, sock: socket.socket) -> None:
        """Starts a thread that reads a client's requests."""
        client = WriteBuffer(sock, UNREAD_LIMIT, "client")

        def receive(line: bytes) -> None:
            for request in jsonrpc.parse_requests(line):
                if isinstance(request, jsonrpc.MalformedRequestError):
                    raise request
                call = jsonrpc.parse_params(client_messages.CallRequest, request.params, request.ident)
                self.events.put(ClientRequest(client, request.ident, call))

        _start_thread(_read_lines, sock, receive)

    def _receive_response(self, line: bytes) -> None:
        number, result, _ = jsonrpc.parse_response(line)
        if result is None:
            raise ValueError(f"the worker returned an error: {line[:200]!r}")
        self.events.put(WorkerResponse(number, msgspec.json.decode(result, type=worker_messages.RunResult)))


def _start_thread(target: Callable[..., None], *arguments: object) -> None:
    threading.Thread(target=target, args=arguments, daemon=True).start()


def _read_lines(sock: socket.socket, receive: Callable[[bytes], None]) -> None:
    """Calls `receive` with each line until the connection is closed."""
    lines = LineReader(LINE_LIMIT)
    while data := sock.recv(READ_SIZE):
        for line in lines.feed(data):
            receive(line)


def main(path: str, worker_addresses: list[str]) -> None:
    """Listens on a Unix socket and relays until the process is killed."""
    threading.stack_size(STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL)
    relay = Relay(worker_addresses)
    _start_thread(relay.run)
    listener = socket.socket(socket.AF_UNIX)
    listener.bind(path)
    listener.listen(LISTEN_BACKLOG)
    print("ready", flush=True)
    while True:
        sock, _ = listener.accept()
        relay.serve_client(sock)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])

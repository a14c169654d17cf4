"""A bare relay: the gateway's threads and messages and no decisions. `python -m bench.relay SOCK WORKER...`

One reader a client, one desk thread between queues, one reader a worker, the same decoding and encoding; each RPC
goes to the next worker in turn. What the gateway costs over it is what deciding costs.
"""

import itertools
import queue
import socket
import sys
import threading

import msgspec

from wickdyke.protocol import client_messages, jsonrpc, worker_messages
from wickdyke.protocol.framing import LineReader
from wickdyke.transport.write_buffer import OutgoingMessage, WriteBuffer

LINE, UNREAD = 16 << 20, 32 << 20


def reader(sock: socket.socket, each) -> None:
    """Hands each line on until the end."""
    lines = LineReader(LINE)
    while data := sock.recv(1 << 18):
        for line in lines.feed(data):
            each(line)


def main(path: str, workers: list[str]) -> None:
    """Relays until it is killed."""
    threading.stack_size(512 * 1024)
    sys.setswitchinterval(0.001)
    events: queue.SimpleQueue = queue.SimpleQueue()
    out: dict[int, tuple] = {}
    boxes = []

    def answered(line: bytes) -> None:
        ident, result, _ = jsonrpc.parse_response(line)
        events.put(("back", ident, msgspec.json.decode(result, type=worker_messages.RunResult)))

    for worker in workers:
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(worker)
        boxes.append(WriteBuffer(sock, UNREAD, worker))
        threading.Thread(target=reader, args=(sock, answered), daemon=True).start()

    def desk() -> None:
        turn, number = itertools.cycle(boxes), itertools.count(1)
        while True:
            match events.get():
                case ("asked", box, ident, call):
                    n = next(number)
                    out[n] = box, ident
                    run = worker_messages.RunRequest(call.method, call.function, call.input, 100.0, 1, 1000.0)
                    next(turn).put(OutgoingMessage(jsonrpc.request_line("run", jsonrpc.encode(run), n)))
                case ("back", n, ran):
                    box, ident = out.pop(n)
                    box.put(OutgoingMessage(client_messages.success_response(ident, bytes(ran.output), 1) + b"\n"))

    threading.Thread(target=desk, daemon=True).start()
    listener = socket.socket(socket.AF_UNIX)
    listener.bind(path)
    listener.listen(64)
    print("ready", flush=True)
    while True:
        sock, _ = listener.accept()
        box = WriteBuffer(sock, UNREAD, "client")

        def asked(line: bytes, box: WriteBuffer = box) -> None:
            for request in jsonrpc.parse_requests(line):
                events.put(
                    (
                        "asked",
                        box,
                        request.ident,
                        jsonrpc.parse_params(client_messages.CallRequest, request.params, request.ident),
                    )
                )

        threading.Thread(target=reader, args=(sock, asked), daemon=True).start()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])

"""Workers played by a function, as `tests.rig.Peer` calls them: `play(sock, number)` for each connection."""

import socket
import time

from tests.rig import hello, lines_of, ok
from wickdyke.protocol import jsonrpc


def silent(sock, number):
    """Answers no attempt."""
    source = lines_of(sock)
    hello(sock, source)
    for _ in source:
        pass


def answers_after(ms):
    """Answers each attempt so many ms after its time is up."""

    def play(sock, number):
        source = lines_of(sock)
        hello(sock, source)
        for request in source:
            if request["method"] == "run":
                time.sleep((request["params"]["time_left_ms"] + ms) / 1000)
                sock.sendall(ok(request["id"]))

    return play


def dies_on_run(sock, number):
    """Ends the connection at the first attempt; each connection is a new start."""
    source = lines_of(sock)
    hello(sock, source, start=number)
    for request in source:
        if request["method"] == "run":
            sock.shutdown(socket.SHUT_RDWR)
            return


def refuses(code):
    """Answers attempts and prewarms with that error."""

    def play(sock, number):
        source = lines_of(sock)
        hello(sock, source)
        for request in source:
            if request["method"] in ("run", "hold"):
                sock.sendall(jsonrpc.error_response(request["id"], code, "no", b"{}") + b"\n")

    return play


def a_byte_a_time(sock, number):
    """Sends its answers byte by byte, slowly."""
    source = lines_of(sock)
    hello(sock, source)
    for request in source:
        for byte in ok(request["id"]):
            sock.sendall(bytes([byte]))
            time.sleep(0.05)

"""Functions that play a worker for `tests.rig.ScriptedWorker`: `play(sock, number)` for each connection."""

import socket
import time

from tests.rig import answer_hello, read_messages, success_line
from wickdyke.protocol import jsonrpc


def silent(sock, number):
    """Answers no attempt."""
    source = read_messages(sock)
    answer_hello(sock, source)
    for _ in source:
        pass


def answers_after(ms):
    """Answers each attempt `ms` milliseconds after its time has run out."""

    def play(sock, number):
        source = read_messages(sock)
        answer_hello(sock, source)
        for request in source:
            if request["method"] == "run":
                time.sleep((request["params"]["time_left_ms"] + ms) / 1000)
                sock.sendall(success_line(request["id"]))

    return play


def ends_connection_on_run(sock, number):
    """Ends the connection at the first attempt; each connection counts as a new start of the worker."""
    source = read_messages(sock)
    answer_hello(sock, source, start=number)
    for request in source:
        if request["method"] == "run":
            sock.shutdown(socket.SHUT_RDWR)
            return


def responds_with_error(code):
    """Answers attempts and prewarms with the error of that code."""

    def play(sock, number):
        source = read_messages(sock)
        answer_hello(sock, source)
        for request in source:
            if request["method"] in ("run", "hold"):
                sock.sendall(jsonrpc.error_response(request["id"], code, "no", b"{}") + b"\n")

    return play


def answers_byte_by_byte(sock, number):
    """Sends its answers byte by byte, slowly."""
    source = read_messages(sock)
    answer_hello(sock, source)
    for request in source:
        for byte in success_line(request["id"]):
            sock.sendall(bytes([byte]))
            time.sleep(0.05)

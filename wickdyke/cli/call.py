"""call."""

import sys

import click
import msgspec

from wickdyke.config import address
from wickdyke.protocol import client_messages, jsonrpc

CODES = {"ok": 0, "denied": 3, "aborted": 4}


@click.command()
@click.argument("socket")
@click.argument("method")
@click.argument("program")
@click.argument("input", default="null")
@click.option("--time-left", type=float, help="Milliseconds until the client gives up (else the method's deadline).")
@click.option("--memory", type=float, help="Memory of a copy in MB (else from the gateway's settings).")
@click.option("--lanes", type=int, help="RPCs that a copy runs at once.")
@click.option("--token", help="The mark by which a repeat of a tokened RPC is known.")
def call(
    socket: str,
    method: str,
    program: str,
    input: str,
    time_left: float | None,
    memory: float | None,
    lanes: int | None,
    token: str | None,
) -> None:
    """Send one RPC to the gateway at SOCKET and print its final answer.

    INPUT is JSON. Exit code 0: ok; 3: denied (it had no effect); 4: aborted (nothing is promised); 2: the
    request was malformed; 5: no gateway answered.

    \b
    Example:
        wickdyke call run/wickdyke.sock suggest-tags tags/agency-7 '{"photo": "a.jpg"}'
    """
    try:
        msgspec.json.decode(input.encode())
    except (msgspec.DecodeError, UnicodeEncodeError) as bad:
        print(f"INPUT: found {input[:40]!r}, expected JSON ({bad})", file=sys.stderr)
        raise SystemExit(2) from None
    said = {"method": method, "program": program, "input": msgspec.Raw(input.encode())}
    said |= {
        name: value
        for name, value in (("time_left_ms", time_left), ("memory_mb", memory), ("lanes", lanes), ("token", token))
        if value is not None
    }
    try:
        sock = address.connect(socket, 1000)
        sock.sendall(jsonrpc.request_line("call", jsonrpc.encode(said), 1))
        line = sock.makefile("rb").readline()
        if not line:
            raise ConnectionResetError(0, "hung up without an answer")
        _, result, problem = jsonrpc.parse_response(line)
    except (OSError, ValueError, jsonrpc.MalformedRequestError) as bad:
        print(f"{socket}: {getattr(bad, 'strerror', None) or bad}, expected a gateway's answer", file=sys.stderr)
        raise SystemExit(5) from None
    final = client_messages.read_final_answer(result, problem)
    if final is None:
        said = bytes(problem.data).decode() if problem else "no answer of a gateway"
        print(f"{problem.message if problem else 'malformed'}: {said}", file=sys.stderr)
        raise SystemExit(2)
    print((result if result is not None else bytes(problem.data)).decode())
    raise SystemExit(CODES.get(final.answer, 5))

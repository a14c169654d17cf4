"""The command `call`, which sends one request to a gateway."""

import click
import msgspec

from wickdyke.cli.common import fail
from wickdyke.config import address
from wickdyke.protocol import client_messages, jsonrpc

CONNECT_TIMEOUT = 1000  # ms
MAX_QUOTED_CHARACTERS = 40  # of the input in an error message
EXIT_CODES = {"ok": 0, "denied": 3, "aborted": 4}  # by the final answer
NO_ANSWER_EXIT_CODE = 5
OPTIONAL_REQUEST_FIELDS = ("time_left_ms", "memory_mb", "lanes", "token")  # of a request on the wire, in this order


@click.command()
@click.argument("socket")
@click.argument("method")
@click.argument("function", metavar="PROGRAM")
@click.argument("input_json", metavar="[INPUT]", default="null")
@click.option(
    "--time-left",
    "time_left_ms",
    type=float,
    help="Milliseconds until the client stops waiting (default: the method's deadline).",
)
@click.option(
    "--memory", "memory_mb", type=float, help="Memory of a replica in MB (default: from the gateway's settings)."
)
@click.option("--lanes", type=int, help="Number of requests that a replica runs concurrently.")
@click.option("--token", help="The idempotency key of a tokened request.")
def call(socket: str, method: str, function: str, input_json: str, **options: float | str | None) -> None:
    """Send one request to the gateway at SOCKET and print its final answer.

    PROGRAM is the name of the function, INPUT is JSON. Exit code 0: ok; 3: denied (rejected without an effect);
    4: aborted (failed, perhaps with an effect); 2: the request was malformed; 5: no gateway answered.

    \b
    Example:
        wickdyke call run/wickdyke.sock suggest-tags tags/agency-7 '{"photo": "a.jpg"}'
    """
    params: dict[str, object] = {"method": method, "program": function, "input": _input(input_json)}
    params |= {name: options[name] for name in OPTIONAL_REQUEST_FIELDS if options[name] is not None}
    result, error = _exchange(socket, params)
    final = client_messages.read_final_answer(result, error)
    if final is None:
        reason = bytes(error.data).decode() if error else "no valid answer of a gateway"
        fail(f"{error.message if error else 'malformed'}: {reason}")
    body = bytes(error.data) if error else result or b""
    print(body.decode())
    raise SystemExit(EXIT_CODES.get(final.answer, NO_ANSWER_EXIT_CODE))


def _input(text: str) -> msgspec.Raw:
    """Returns the input as encoded on the wire; ends the command if it is not JSON."""
    try:
        encoded = text.encode()
        msgspec.json.decode(encoded)
    except (msgspec.DecodeError, UnicodeEncodeError) as error:
        fail(f"INPUT: found {text[:MAX_QUOTED_CHARACTERS]!r}, expected JSON ({error})")
    return msgspec.Raw(encoded)


def _exchange(socket: str, params: dict[str, object]) -> tuple[bytes | None, jsonrpc.ErrorObject | None]:
    """Returns the result and the error of a gateway's response; one of them is None.

    Ends the command if there is no response.
    """
    try:
        connection = address.connect(socket, CONNECT_TIMEOUT)
        connection.sendall(jsonrpc.request_line("call", jsonrpc.encode(params), 1))
        line = connection.makefile("rb").readline()
        if not line:
            raise ConnectionResetError(0, "connection closed without an answer")
        _, result, error = jsonrpc.parse_response(line)
    except (OSError, ValueError, jsonrpc.MalformedRequestError) as problem:
        reason = getattr(problem, "strerror", None) or problem
        fail(f"{socket}: {reason}, expected a gateway's answer", NO_ANSWER_EXIT_CODE)
    return result, error

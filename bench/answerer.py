"""A worker that answers at once, so that what is measured is what stands before it: `python -m bench.answerer SOCK`."""

import sys
import threading

from wickdyke.protocol import back, jsonrpc
from wickdyke.transport.line_server import LineServer, LineConnection

STANDING = jsonrpc.encode(back.Standing(back.VERSION, "answerer", 1, 1e9))
RAN = b'{"output":null,"standing":"stood","company":1,"report":{"busy":0.3,"held":1}}'
PROBED = b'{"report":{"busy":0.3,"held":1}}'


def heard(wire: LineConnection, request: jsonrpc.Request) -> None:
    """Answers."""
    match request.method:
        case "run":
            wire.say(jsonrpc.result(request.ident, RAN))
        case "hello":
            wire.say(jsonrpc.result(request.ident, STANDING))
        case "hold":
            wire.say(jsonrpc.result(request.ident, b'{"copies":1}'))
        case "probe":
            wire.say(jsonrpc.result(request.ident, PROBED))


if __name__ == "__main__":
    LineServer(sys.argv[1], heard, lambda wire: None)
    print("ready", flush=True)
    threading.Event().wait()

"""A worker that answers at once, so that only what stands before it is measured: `python -m bench.echo_worker SOCK`."""

import sys
import threading

from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection, LineServer

STANDING = jsonrpc.encode(worker_messages.WorkerHello(worker_messages.VERSION, "answerer", 1, 1e9))
RAN = b'{"output":null,"standing":"stood","company":1,"report":{"busy":0.3,"held":1}}'
PROBED = b'{"report":{"busy":0.3,"held":1}}'


def heard(wire: LineConnection, request: jsonrpc.Request) -> None:
    """Answers."""
    match request.method:
        case "run":
            wire.say(jsonrpc.result_response(request.ident, RAN))
        case "hello":
            wire.say(jsonrpc.result_response(request.ident, STANDING))
        case "hold":
            wire.say(jsonrpc.result_response(request.ident, b'{"copies":1}'))
        case "probe":
            wire.say(jsonrpc.result_response(request.ident, PROBED))


if __name__ == "__main__":
    LineServer(sys.argv[1], heard, lambda wire: None)
    print("ready", flush=True)
    threading.Event().wait()

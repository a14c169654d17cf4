"""A worker that answers at once, so that only the server in front of it is measured.

Usage: `python -m bench.echo_worker SOCKET`.
"""

import sys
import threading

from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection, LineServer

HELLO_RESULT = jsonrpc.encode(worker_messages.WorkerHello(worker_messages.VERSION, "answerer", 1, 1e9))
RUN_RESULT = b'{"output":null,"standing":"stood","company":1,"report":{"busy":0.3,"held":1}}'
HEALTH_RESULT = b'{"report":{"busy":0.3,"held":1}}'
RESULT_BY_METHOD = {"run": RUN_RESULT, "hello": HELLO_RESULT, "hold": b'{"copies":1}', "probe": HEALTH_RESULT}


def answer(connection: LineConnection, request: jsonrpc.Request) -> None:
    """Answers a request with the fixed result of its method; ignores other methods."""
    result = RESULT_BY_METHOD.get(request.method)
    if result is not None:
        connection.send(jsonrpc.result_response(request.ident, result))


if __name__ == "__main__":
    LineServer(sys.argv[1], answer, lambda connection: None)
    print("ready", flush=True)
    threading.Event().wait()

"""Sends the answers of a fake worker to its gateways. A connection's `send` never blocks."""

import msgspec

from wickdyke.fault_injection.fake_worker.attempts import RunningAttempt
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection

MAX_REPORTED_CONCURRENCY = 30


def send_result(connection: LineConnection, request_id: jsonrpc.Ident, result: object) -> None:
    """Answers a request with a message of the protocol."""
    connection.send(jsonrpc.result_response(request_id, jsonrpc.encode(result)))


def send_attempt_result(attempt: RunningAttempt, report: dict[str, float]) -> None:
    """Answers an attempt with its output, which contains the mark of its input."""
    output = b'{"mark":%b}' % jsonrpc.encode(attempt.input.mark)
    result = worker_messages.RunResult(
        msgspec.Raw(output),
        attempt.load_note,
        min(MAX_REPORTED_CONCURRENCY, attempt.concurrent_attempts),
        report,
    )
    send_result(attempt.key.connection, attempt.key.request_id, result)


def send_attempt_error(
    attempt: RunningAttempt, code: int, reason: str, report: dict[str, float], draining: bool
) -> None:
    """Rejects an attempt with an error code of the protocol."""
    data = worker_messages.RunErrorData(min(MAX_REPORTED_CONCURRENCY, attempt.concurrent_attempts), report, draining)
    key = attempt.key
    key.connection.send(jsonrpc.error_response(key.request_id, code, reason, jsonrpc.encode(data)))

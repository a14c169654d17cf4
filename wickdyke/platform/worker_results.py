"""Parses the answers of workers: the outcome of a command, and the load report."""

from wickdyke.config.deployment_settings import REPORT_FIELD_NAMES
from wickdyke.gateway.interfaces import CommandResult
from wickdyke.platform import resp
from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import LoadNote, Outcome

OUTCOMES_BY_STATUS = {  # by the status word of an answer
    b"ACK": Outcome.OK,
    b"NOENT": Outcome.MISS,
    b"AGAIN": Outcome.FULL,
    b"EIO": Outcome.ERROR,
    b"STALE": Outcome.UNSENT,
    b"READY": Outcome.OK,
    b"AILING": Outcome.NOT_READY,
}
LOAD_NOTES = {
    "w": LoadNote.ALREADY_LOADED,
    "c": LoadNote.STARTED_LOAD,
    "j": LoadNote.AWAITED_LOAD,
    "f": LoadNote.LOAD_FAILED,
}
MAX_REPORT_VALUE = 1e12  # of a field of a load report; larger values are invalid
# Load reports name their fields as the protocol does or as the settings do.
REPORT_FIELDS = REPORT_FIELD_NAMES | {
    "inflight": "in_flight",
    "util": "utilization",
    "latency_ms": "recent",
    "qps": "rate",
    "eps": "errors",
}


def read_report(text: str, fields: tuple[str, ...]) -> WorkerLoad | None:
    """Parses a load report, NAME:VALUE;NAME:VALUE. Returns None where it is invalid or lacks one of `fields`."""
    values: dict[str, float] = {}
    try:
        for pair in text.split(";"):
            name, _, value = pair.partition(":")
            values[REPORT_FIELDS.get(name, name)] = float(value)
    except ValueError:
        return None
    if any(not abs(values.get(field, float("inf"))) < MAX_REPORT_VALUE for field in fields):
        return None
    return WorkerLoad.from_values(fields, [values[field] for field in fields])


def read_result(answer: list[bytes], report_fields: tuple[str, ...]) -> CommandResult:
    """Parses an answer into the result of its command. Raises InvalidAnswerError."""
    if len(answer) != resp.ANSWER_PART_COUNT or answer[1] not in OUTCOMES_BY_STATUS:
        raise resp.InvalidAnswerError(f"answer of {len(answer)} parts with status {answer[1:2]!r}")
    _, status, fields, body = answer
    values = resp.fields(fields)
    try:
        concurrent = int(values.get("ahead", "0"))
        replicas = int(values.get("units", "0"))
    except ValueError:
        raise resp.InvalidAnswerError("ahead or units is not a number") from None
    report = read_report(values["rep"], report_fields) if "rep" in values else None
    return CommandResult(
        OUTCOMES_BY_STATUS[status], body, LOAD_NOTES.get(values.get("why", "")), concurrent, report, replicas
    )

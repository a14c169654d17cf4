"""Parses workers' answers: how a command ended, and the load report in the answer."""

from wickdyke.config.deployment_settings import REPORTS
from wickdyke.gateway.interfaces import CommandResult
from wickdyke.platform import resp
from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import LoadNote, Outcome

OUTCOMES = {  # by the word of an answer
    b"ACK": Outcome.OK,
    b"NOENT": Outcome.MISS,
    b"AGAIN": Outcome.FULL,
    b"EIO": Outcome.ERROR,
    b"STALE": Outcome.UNSENT,
    b"READY": Outcome.OK,
    b"AILING": Outcome.NOT_READY,
}
NOTES = {
    "w": LoadNote.ALREADY_LOADED,
    "c": LoadNote.STARTED_LOAD,
    "j": LoadNote.AWAITED_LOAD,
    "f": LoadNote.LOAD_FAILED,
}
ANSWER_PARTS = 4  # id, word, fields, body
MAX_VALUE = 1e12  # of a field of a load report
# Reports name their fields by the protocol's words or by those of the settings.
REPORT_FIELDS = REPORTS | {
    "inflight": "in_flight",
    "util": "utilization",
    "latency_ms": "recent",
    "qps": "rate",
    "eps": "errors",
}


def read_report(text: str, fields: tuple[str, ...]) -> WorkerLoad | None:
    """Parses a load report, NAME:VALUE;NAME:VALUE; None where it is invalid or lacks one of `fields`."""
    values: dict[str, float] = {}
    try:
        for pair in text.split(";"):
            word, _, value = pair.partition(":")
            values[REPORT_FIELDS.get(word, word)] = float(value)
    except ValueError:
        return None
    if any(not abs(values.get(field, float("inf"))) < MAX_VALUE for field in fields):
        return None
    return WorkerLoad.from_values(fields, [values[field] for field in fields])


def read_result(answer: list[bytes], report_fields: tuple[str, ...]) -> CommandResult:
    """Returns how a command ended, from the worker's answer. Raises InvalidAnswerError."""
    if len(answer) != ANSWER_PARTS or answer[1] not in OUTCOMES:
        raise resp.InvalidAnswerError(f"an answer of {len(answer)} parts, {answer[1:2]!r}")
    _, word, fields, body = answer
    values = resp.fields(fields)
    try:
        concurrent = int(values.get("ahead", "0"))
        replicas = int(values.get("units", "0"))
    except ValueError:
        raise resp.InvalidAnswerError("counts that are no numbers") from None
    report = read_report(values["rep"], report_fields) if "rep" in values else None
    return CommandResult(OUTCOMES[word], body, NOTES.get(values.get("why", "")), concurrent, report, replicas)

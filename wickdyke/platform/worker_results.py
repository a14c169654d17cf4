"""Reads workers' answers: how a command ended, and the load report that came with it."""

from wickdyke.config.deployment_settings import REPORTS
from wickdyke.gateway.interfaces import CommandResult
from wickdyke.platform import resp
from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import LoadNote, Outcome

OUTCOMES = {
    b"ACK": Outcome.OK,
    b"NOENT": Outcome.MISS,
    b"AGAIN": Outcome.FULL,
    b"EIO": Outcome.ERROR,
    b"STALE": Outcome.UNSENT,
    b"READY": Outcome.OK,
    b"AILING": Outcome.ERROR,
}
NOTES = {"w": LoadNote.STOOD, "c": LoadNote.BEGAN, "j": LoadNote.AWAITED, "f": LoadNote.FAILED}
ANSWER_PARTS = 4  # id, word, fields, body
VALUE_MOST = 1e12  # of a report's field
# Reports come under the protocol's words or under those of the settings.
REPORT_FIELDS = REPORTS | {
    "inflight": "in_flight",
    "util": "utilization",
    "latency_ms": "recent",
    "qps": "rate",
    "eps": "errors",
}


def read_report(text: str, fields: tuple[str, ...]) -> WorkerLoad | None:
    """The load report, which has to name all `fields`; None where it does not."""
    values = {}
    try:
        for pair in text.split(";"):
            word, _, value = pair.partition(":")
            values[REPORT_FIELDS.get(word, word)] = float(value)
    except ValueError:
        return None
    if any(not abs(values.get(field, float("inf"))) < VALUE_MOST for field in fields):
        return None
    return WorkerLoad.from_values(fields, [values[field] for field in fields])


def read_result(answer: list[bytes], report_fields: tuple[str, ...]) -> CommandResult:
    """How a command ended, from the worker's answer. Raises InvalidAnswer."""
    if len(answer) != ANSWER_PARTS or answer[1] not in OUTCOMES:
        raise resp.InvalidAnswer(f"an answer of {len(answer)} parts, {answer[1:2]!r}")
    _, word, fields, body = answer
    told = resp.fields(fields)
    try:
        concurrent, replicas = int(told.get("ahead", "0")), int(told.get("units", "0"))
    except ValueError:
        raise resp.InvalidAnswer("counts that are no numbers") from None
    report = read_report(told["rep"], report_fields) if "rep" in told else None
    return CommandResult(OUTCOMES[word], body, NOTES.get(told.get("why", "")), concurrent, report, replicas)

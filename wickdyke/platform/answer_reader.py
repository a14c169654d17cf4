"""Reads the answers of one connection to a worker, and decides which of them may be acted on. No I/O.

The length of a body may arrive changed. Where it is too small and the body has a line end at that place, the beginning
of the body parses as a whole answer, and the rest of it follows where the next answer would begin. Where it is too
large, the body may include the next answer. So all data of a read is parsed before an answer in it is acted on.
"""

import re
from collections.abc import Container
from dataclasses import dataclass

from wickdyke.gateway.interfaces import CommandResult
from wickdyke.platform import resp
from wickdyke.platform.worker_results import read_result

BODY_PART = 3  # index of the body in an answer
ANSWER_START = b"\r\n*%d\r\n$" % resp.ANSWER_PART_COUNT  # of an answer that follows other data
ANSWER_START_WITH_IDENT = re.compile(re.escape(ANSWER_START) + rb"\d+\r\n([^\r\n]+)\r\n\$")


@dataclass(slots=True, frozen=True)
class ReceivedAnswer:
    """A complete answer. `result` is None where no open command has its id."""

    ident: bytes
    result: CommandResult | None


@dataclass(slots=True, frozen=True)
class AnswerBatch:
    """The answers of one read that may be acted on; `error` tells why the connection can't be read any further."""

    answers: list[ReceivedAnswer]
    error: resp.InvalidAnswerError | None = None


class AnswerReader:
    """Parses the data of a connection into answers."""

    def __init__(self, report_fields: tuple[str, ...]) -> None:
        self.parser = resp.AnswerParser()
        self.report_fields = report_fields

    @property
    def has_partial_answer(self) -> bool:
        """Whether part of an answer was received and its end was not."""
        return self.parser.has_partial_answer

    @property
    def partial_answer_bytes(self) -> int:
        """The bytes received of an incomplete answer."""
        return self.parser.partial_answer_bytes

    def feed(self, data: bytes, open_ids: Container[bytes], ended_ids: Container[bytes]) -> AnswerBatch:
        """Adds data; returns the answers that it completes.

        `open_ids` has the ids of the commands that wait for their answers on the connection, `ended_ids` those of
        others that were sent on it.
        """
        error: resp.InvalidAnswerError | None = None
        try:
            answers = self.parser.feed(data)
        except resp.InvalidAnswerError as caught:
            answers = self.parser.take_complete()
            error = caught
        next_ident = self.parser.partial_ident
        received: list[ReceivedAnswer] = []
        for answer in answers:
            try:
                received.append(self._read(answer, open_ids))
            except resp.InvalidAnswerError as caught:
                next_ident = answer[0]
                error = caught
                break
        if error is None:
            return AnswerBatch(received)
        next_idents = [*(answer.ident for answer in received[1:]), next_ident]
        # The next answer begins at the end of an intact one, with an id that was sent. What follows any other answer
        # may as well be the rest of its body.
        intact = [
            answer
            for answer, following in zip(received, next_idents, strict=False)
            if following is not None and (following in open_ids or following in ended_ids)
        ]
        return AnswerBatch(intact, error)

    def _read(self, answer: list[bytes], open_ids: Container[bytes]) -> ReceivedAnswer:
        ident = answer[0]
        if ident not in open_ids:
            return ReceivedAnswer(ident, None)
        if _includes_answer(answer[BODY_PART], open_ids):
            raise resp.InvalidAnswerError("a body includes the answer to another command")
        return ReceivedAnswer(ident, read_result(answer, self.report_fields))


def _includes_answer(body: bytes, open_ids: Container[bytes]) -> bool:
    """Returns whether a body includes the beginning of an answer to an open command."""
    if ANSWER_START not in body:
        return False
    return any(match.group(1) in open_ids for match in ANSWER_START_WITH_IDENT.finditer(body))

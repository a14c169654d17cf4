"""Reads the answers of one connection to a worker, and decides which of them may be acted on. No I/O.

The length of a body may arrive changed. Where it is too small and the body has a line end at that place, the beginning
of the body parses as a whole answer, and the rest of it follows where the next answer would begin. Where it is too
large, the body may include the next answer. So all data of a read is parsed before an answer in it is acted on.
"""

import re
from collections.abc import Callable
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
    """Parses the data of a connection into answers.

    `is_open` tells whether a command of that id waits for its answer, `was_sent` whether one was sent on the connection
    not long ago.
    """

    def __init__(
        self, report_fields: tuple[str, ...], is_open: Callable[[bytes], bool], was_sent: Callable[[bytes], bool]
    ) -> None:
        self.parser = resp.AnswerParser()
        self.report_fields = report_fields
        self.is_open = is_open
        self.was_sent = was_sent

    @property
    def has_partial_answer(self) -> bool:
        """Whether part of an answer was received and its end was not."""
        return self.parser.has_partial_answer

    def feed(self, data: bytes) -> AnswerBatch:
        """Adds data; returns the answers that it completes."""
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
                received.append(self._read(answer))
            except resp.InvalidAnswerError as caught:
                next_ident = answer[0]
                error = caught
                break
        if error is None:
            return AnswerBatch(received)
        return AnswerBatch(self._intact(received, next_ident), error)

    def _read(self, answer: list[bytes]) -> ReceivedAnswer:
        ident = answer[0]
        if not self.is_open(ident):
            return ReceivedAnswer(ident, None)
        if self._includes_answer(answer[BODY_PART]):
            raise resp.InvalidAnswerError("a body includes the answer to another command")
        return ReceivedAnswer(ident, read_result(answer, self.report_fields))

    def _includes_answer(self, body: bytes) -> bool:
        """Returns whether a body includes the beginning of an answer to an open command."""
        if ANSWER_START not in body:
            return False
        return any(self.is_open(match.group(1)) for match in ANSWER_START_WITH_IDENT.finditer(body))

    def _intact(self, received: list[ReceivedAnswer], next_ident: bytes | None) -> list[ReceivedAnswer]:
        """Returns the answers that certainly end where they should, of those before the invalid data.

        The next answer begins at the end of such an answer: it has the id of a command of this connection. What follows
        any other answer may as well be the rest of its body.
        """
        next_idents = [*(answer.ident for answer in received[1:]), next_ident]
        return [
            answer
            for answer, following in zip(received, next_idents, strict=False)
            if following is not None and self.was_sent(following)
        ]

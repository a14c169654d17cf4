"""The final answers to requests."""

from dataclasses import dataclass

from wickdyke.gateway.interfaces import AnswerReason, PendingRequest


@dataclass(slots=True, frozen=True)
class Success:
    """The request succeeded: the worker's output, and the number of attempts made."""

    output: bytes
    attempts: int

    count_name = "answers_succeed"

    def send(self, pending: PendingRequest) -> None:
        """Sends this as the answer to the request."""
        pending.succeed(self.output, self.attempts)


@dataclass(slots=True, frozen=True)
class Rejection:
    """The request had no effect and may be retried, after `retry_after` ms where that is known."""

    reason: AnswerReason
    retry_after: float | None = None

    count_name = "answers_reject"

    def send(self, pending: PendingRequest) -> None:
        """Sends this as the answer to the request."""
        pending.reject(self.reason, self.retry_after)


@dataclass(slots=True, frozen=True)
class Failure:
    """The request failed, and may or may not have had an effect."""

    reason: AnswerReason

    count_name = "answers_fail"

    def send(self, pending: PendingRequest) -> None:
        """Sends this as the answer to the request."""
        pending.fail(self.reason)


FinalAnswer = Success | Rejection | Failure

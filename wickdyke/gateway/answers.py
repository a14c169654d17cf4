"""The final answers to requests, as the coordinator decides them."""

from dataclasses import dataclass

from wickdyke.gateway.interfaces import AnswerReason, PendingRequest


@dataclass(slots=True, frozen=True)
class Success:
    """The worker's output, after so many attempts."""

    output: bytes
    attempts: int

    count_name = "answers_succeed"

    def send(self, pending: PendingRequest) -> None:
        """Sends it as the answer to that request."""
        pending.succeed(self.output, self.attempts)


@dataclass(slots=True, frozen=True)
class Rejection:
    """The request had no effect, and may be retried after `retry_after` ms, where that is known."""

    reason: AnswerReason
    retry_after: float | None = None

    count_name = "answers_reject"

    def send(self, pending: PendingRequest) -> None:
        """Sends it as the answer to that request."""
        pending.reject(self.reason, self.retry_after)


@dataclass(slots=True, frozen=True)
class Failure:
    """The request may have had an effect or not."""

    reason: AnswerReason

    count_name = "answers_fail"

    def send(self, pending: PendingRequest) -> None:
        """Sends it as the answer to that request."""
        pending.fail(self.reason)


FinalAnswer = Success | Rejection | Failure

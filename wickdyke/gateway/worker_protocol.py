"""How a gateway speaks to its workers: makes their clients and commands, and reads the results."""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import Command, CommandResult, PendingRequest, PrewarmKey, WorkerClient
from wickdyke.routing.model import Attempt, Function, Outcome

CommandT = TypeVar("CommandT", bound=Command)
AnswerT_contra = TypeVar("AnswerT_contra", contravariant=True)


class WorkerProtocol(Protocol[CommandT, AnswerT_contra]):
    """How workers are spoken to; `connects_at_once` where a client is made as soon as its worker is listed."""

    connects_at_once: bool

    def client_for(self, name: str, address: str, notify: Callable[[Event], None]) -> WorkerClient[CommandT]:
        """The client of one worker."""

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, time_left: float) -> CommandT:
        """An attempt, to be waited for so many ms."""

    def prewarm_command(self, key: PrewarmKey, function: Function, replicas: int) -> CommandT:
        """A prewarm of so many replicas."""

    def health_check_command(self, key: str) -> CommandT:
        """A request for a load report."""

    def result_of(
        self, command: CommandT, outcome: Outcome, answer: AnswerT_contra | None, data: bytes | None
    ) -> CommandResult:
        """The result of a command, from what its worker client reported."""


# The two gateways differ in their commands and answers, which the coordinator only passes on.
AnyWorkerProtocol = WorkerProtocol[Any, Any]

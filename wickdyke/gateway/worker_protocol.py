"""The interface of a worker protocol: creates worker clients and commands, and reads the results."""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import Command, CommandResult, PendingRequest, PrewarmKey, WorkerClient
from wickdyke.routing.model import Attempt, Function, Outcome

CommandT = TypeVar("CommandT", bound=Command)
AnswerT_contra = TypeVar("AnswerT_contra", contravariant=True)


class WorkerProtocol(Protocol[CommandT, AnswerT_contra]):
    """The protocol between gateway and workers.

    With `connects_at_once` a worker client is created as soon as its worker is listed, otherwise on first use.
    """

    connects_at_once: bool

    def client_for(self, name: str, address: str, notify: Callable[[Event], None]) -> WorkerClient[CommandT]:
        """Creates the client of one worker."""

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, deadline: float) -> CommandT:
        """Creates the command for an attempt whose answer is awaited until `deadline` (monotonic ms)."""

    def prewarm_command(self, key: PrewarmKey, function: Function, replicas: int) -> CommandT:
        """Creates the command to prewarm `replicas` replicas of a function."""

    def health_check_command(self, key: str) -> CommandT:
        """Creates the command that asks a worker for a load report."""

    def result_of(
        self, command: CommandT, outcome: Outcome, answer: AnswerT_contra | None, data: bytes | None
    ) -> CommandResult:
        """Returns the result of a command, read from its worker client's report."""


# The two gateways have different types of commands and answers, which the coordinator only passes on.
AnyWorkerProtocol = WorkerProtocol[Any, Any]

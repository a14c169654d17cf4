"""Prewarm requests that wait until their replicas are loaded."""

from dataclasses import dataclass

from wickdyke.fault_injection.fake_worker.replicas import ReplicaMemory
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection


@dataclass(frozen=True, slots=True)
class PendingPrewarm:
    """A gateway's request to load replicas of a function until there are at least `replicas`."""

    connection: LineConnection
    request_id: jsonrpc.Ident
    function: str
    replicas: int


class Prewarms:
    """Answers each prewarm once its replicas are loaded, or once some of them can't be loaded."""

    def __init__(self, replicas: ReplicaMemory) -> None:
        self.replicas = replicas
        self.pending_prewarms: list[PendingPrewarm] = []

    def add(self, prewarm: PendingPrewarm) -> None:
        """Adds a prewarm whose replicas are loaded or loading, and answers it at once if they are loaded."""
        self.pending_prewarms.append(prewarm)
        self.answer_finished()

    def answer_finished(self) -> None:
        """Answers the prewarms whose replicas are all loaded, and rejects those with fewer replicas than requested."""
        for prewarm in list(self.pending_prewarms):
            ready = self.replicas.ready_count(prewarm.function)
            if ready >= prewarm.replicas:
                result = jsonrpc.encode(worker_messages.PrewarmResult(ready))
                prewarm.connection.send(jsonrpc.result_response(prewarm.request_id, result))
            elif len(self.replicas.replicas_of(prewarm.function)) < prewarm.replicas:
                self.reject(prewarm, worker_messages.FAILED, "a load failed")
            else:
                continue
            self.pending_prewarms.remove(prewarm)

    def reject(self, prewarm: PendingPrewarm, code: int, reason: str) -> None:
        """Answers a prewarm with an error whose data states how many replicas are loaded."""
        result = jsonrpc.encode(worker_messages.PrewarmResult(self.replicas.ready_count(prewarm.function)))
        prewarm.connection.send(jsonrpc.error_response(prewarm.request_id, code, reason, result))

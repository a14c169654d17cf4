"""Operations that keep the entries of replicas at their workers and functions consistent."""

from wickdyke.routing.model import Function, Replica, Worker


def replica_of(function: Function, worker: Worker) -> Replica:
    """Returns the function's replica on the worker; creates it and adds it to both if it does not exist."""
    replica = worker.replicas.get(function)
    if replica is None:
        replica = worker.replicas[function] = Replica(function, worker)
        function.replicas.append(replica)
    return replica


def forget_replicas(replicas: list[Replica]) -> None:
    """Removes replicas from their workers and functions."""
    for replica in replicas:
        replica.worker.replicas.pop(replica.function, None)
        if replica in replica.function.replicas:
            replica.function.replicas.remove(replica)


def clear_replicas(worker: Worker) -> None:
    """Marks all replicas on the worker as neither loaded nor loading."""
    for replica in worker.replicas.values():
        replica.loaded_replicas = 0
        replica.loading_since = None
        replica.last_used = 0.0

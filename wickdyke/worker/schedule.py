"""A worker's state machine: requests, prewarm requests and memory. Events in, actions out; no clock, I/O or threads.

A host reports events (`submit`, `load_finished`, `slot_freed` ...): these only update the records. Then it calls
`next_action` until that returns None. `next_deadline` is when to call `advance` next, if no event comes before.
"""

from collections import deque
from collections.abc import Callable

from wickdyke.worker.actions import Action, Kill, PrewarmDone, PrewarmFailed, Reject, Run, Stop
from wickdyke.worker.model import (
    Function,
    LoadNote,
    PrewarmRequest,
    Rejection,
    Replica,
    ReplicaState,
    Request,
    ScheduleLimits,
)
from wickdyke.worker.replica_pool import ReplicaPool

DEFAULT_DEADLINE = 1000.0  # ms until the next call of `advance`, where nothing is due


class Schedule:
    """The requests and replicas of one worker."""

    def __init__(self, now: float, limits: ScheduleLimits) -> None:
        """`now` is the start in ms of the host's clock."""
        self.now = now
        self.started_at = now
        self.limits = limits
        self.actions: deque[Action] = deque()
        self.pool = ReplicaPool(limits.memory, limits.load_concurrency, self.actions)
        self.requests: dict[object, Request] = {}
        self.prewarms: dict[object, PrewarmRequest] = {}
        self.run_timeouts: dict[str, float] = {}  # ms, as manifests state them
        self.running = 0  # slots in use
        self.draining = False

    # ---- events ----

    def advance(self, now: float) -> None:
        """Sets the time."""
        self.now = now

    def submit(self, key: object, name: str, memory: float, concurrency: int, time_left: float) -> None:
        """A request arrived; its sender gives up after `time_left` ms."""
        if key in self.requests:
            return
        function = self.pool.function(name)
        request = Request(key, function, memory, concurrency, self.now + time_left, self.now)
        request.concurrent = sum(other.function is function for other in self.requests.values())
        self.requests[key] = request
        if self.draining:
            self._reject(request, Rejection.DRAINING)
            return
        in_flight = len(self.requests)
        if in_flight > self.limits.queue or in_flight > self._slow_start_limit():
            self._reject(request, Rejection.FULL)
            return
        if not function.live_replicas:
            if self.pool.add(function, memory, concurrency) is None:
                self._reject(request, Rejection.FULL)
                return
            request.load_note = LoadNote.STARTED_LOAD
        elif not function.ready_count:
            request.load_note = LoadNote.AWAITED_LOAD
        function.waiting.append(request)

    def prewarm(self, key: object, name: str, memory: float, concurrency: int, replicas: int) -> None:
        """A request to have `replicas` ready arrived; 0 only asks how many are. Existing ones count as used now."""
        function = self.pool.function(name)
        prewarm = PrewarmRequest(key, function, replicas)
        if replicas and self.draining:
            self._fail_prewarm(prewarm, Rejection.DRAINING)
            return
        live = function.live_replicas
        for replica in live[:replicas]:
            replica.last_used = self.now
        for _ in range(replicas - len(live)):
            if self.pool.add(function, memory, concurrency) is None:
                self._fail_prewarm(prewarm, Rejection.FULL)
                return
        self.prewarms[key] = prewarm

    def cancel(self, key: object) -> None:
        """The sender of a request or prewarm request no longer waits for the answer."""
        self.prewarms.pop(key, None)
        request = self.requests.get(key)
        if request is not None and not request.done:
            self._withdraw(request)
            self.requests.pop(key, None)

    def unload_idle(self, name: str) -> None:
        """Unloads the idle replicas of a function."""
        for replica in list(self.pool.function(name).replicas):
            if replica.idle:
                self.pool.unload(replica)

    def apply_manifest(self, replica: Replica, memory: float, concurrency: int, run_timeout: float | None) -> bool:
        """Sets the limits that the manifest states. False where there is no room for it; its load then fails."""
        if replica.state != ReplicaState.LOADING:
            return False
        replica.concurrency = concurrency
        if run_timeout is not None:
            self.run_timeouts[replica.function.name] = run_timeout
        additional = memory - replica.memory
        replica.memory = memory
        return additional <= 0 or self.pool.make_room(0.0, keep=replica)

    def load_finished(self, replica: Replica, failure: Rejection | None) -> None:
        """A load is over; `failure` is None where the replica is ready, else FULL, MISS or FAILED."""
        if replica.state != ReplicaState.LOADING:
            return
        self.pool.loading -= 1
        if failure is None:
            replica.state = ReplicaState.READY
            replica.last_used = self.now
            return
        self.pool.remove(replica)
        function = replica.function
        if not function.live_replicas:
            self._reject_waiting(function, Rejection.FULL if failure == Rejection.FULL else Rejection.MISS)
        for prewarm in list(self.prewarms.values()):
            if prewarm.function is function and len(function.live_replicas) < prewarm.replicas:
                del self.prewarms[prewarm.key]
                self._fail_prewarm(prewarm, failure)

    def replica_ended(self, replica: Replica) -> None:
        """A replica ended by itself or was killed: the requests in it may have run."""
        if replica.state in (ReplicaState.REMOVED, ReplicaState.QUEUED):
            return
        if replica.state == ReplicaState.LOADING:
            self.load_finished(replica, Rejection.FAILED)
            return
        requests_in_replica = replica.used_slots
        requests = replica.requests
        replica.requests = []
        for request in requests:
            request.replica = None
            request.requests_in_replica = requests_in_replica
            self._reject(request, Rejection.ENDED)
        self.running -= requests_in_replica
        replica.stopping = 0
        self.pool.remove(replica)

    def request_answered(self, key: object) -> bool:
        """The replica answered the request, with a result or an error. False where nobody waits for it."""
        request = self.requests.get(key)
        if request is None or request.done or request.replica is None:
            return False
        del self.requests[key]
        request.done = True
        self.running -= 1
        request.replica.requests.remove(request)
        request.replica.last_used = self.now
        return True

    def slot_freed(self, replica: Replica) -> None:
        """A request that was stopped has ended: its slot is free again."""
        if not replica.running or not replica.stopping:
            return
        replica.stopping -= 1
        self.running -= 1
        replica.last_used = self.now
        if not replica.stopping:
            replica.state = ReplicaState.READY

    def memory_measured(self, replica: Replica, memory: float) -> None:
        """A replica's memory was measured, in MB. One that takes more than its manifest states is killed."""
        replica.measured_memory = memory
        if memory > replica.memory and replica.running:
            self._kill(replica, f"{memory:.1f} MB of {replica.memory:g} MB")

    def drain(self) -> None:
        """Accepts no further requests; those in flight go on."""
        self.draining = True

    # ---- actions ----

    def next_action(self) -> Action | None:
        """The next action; None where there is none for now."""
        if not self.actions:
            self._decide()
        return self.actions.popleft() if self.actions else None

    @property
    def next_deadline(self) -> float:
        """When to call `advance` and `next_action` again, if no event comes before."""
        requests, replicas = self.requests.values(), self.pool.replicas()
        deadlines = [request.deadline for request in requests]
        deadlines += [
            self._run_deadline(request.started_at, request) for request in requests if request.started_at is not None
        ]
        deadlines += [self._stop_deadline(replica) for replica in replicas if replica.stopping]
        deadlines += [self._idle_deadline(replica) for replica in replicas if replica.idle]
        return min(deadlines, default=self.now + DEFAULT_DEADLINE)

    def load_report(self) -> dict[str, float]:
        """The load report. The keys are words on the wire (worker_messages.REPORT_FIELDS)."""
        in_flight = len(self.requests)
        return {
            "busy": min(1.0, self.running / self.limits.concurrency),
            "held": float(in_flight),
            "queue": float(max(0, in_flight - self.running)),
            "loads": float(self.pool.loading + len(self.pool.load_queue)),
            "pinned": self.pool.pinned_memory / self.limits.memory,
            "cold": 1.0 - self._slow_start_share(),
        }

    # ---- times and limits ----

    def _run_deadline(self, started_at: float, request: Request) -> float:
        limit = self.limits.run_timeout
        return started_at + min(limit, self.run_timeouts.get(request.function.name, limit))

    def _stop_deadline(self, replica: Replica) -> float:
        return replica.stopping_since + self.limits.stop_timeout

    def _idle_deadline(self, replica: Replica) -> float:
        return replica.last_used + self.limits.idle_timeout

    def _slow_start_share(self) -> float:
        return self.limits.slow_start.share(self.now - self.started_at)

    def _slow_start_limit(self) -> float:
        share = self._slow_start_share()
        return self.limits.queue if share >= 1 else max(1.0, share * self.limits.concurrency)

    # ---- decisions ----

    def _decide(self) -> None:
        self._time_out(lambda request: self.now >= request.deadline)
        self._time_out(self._has_exceeded_run_time)
        for replica in self.pool.replicas():
            self._check_replica(replica)
        self._replace_draining()
        self._run_waiting()
        self._answer_prewarms()
        self.pool.start_loads(self._is_wanted)  # after the answers: a load for a prewarm that fails is not begun
        prewarmed = {prewarm.function for prewarm in self.prewarms.values()}
        for function in self.pool.forget_unused(prewarmed):
            self.run_timeouts.pop(function.name, None)

    def _time_out(self, is_due: Callable[[Request], bool]) -> None:
        for request in [request for request in self.requests.values() if is_due(request)]:
            if request.done:
                continue
            has_run = request.replica is not None
            self._withdraw(request)
            self.requests.pop(request.key, None)
            self.actions.append(Reject(request, Rejection.OUT_OF_TIME if has_run else Rejection.FULL))

    def _has_exceeded_run_time(self, request: Request) -> bool:
        return request.started_at is not None and self.now >= self._run_deadline(request.started_at, request)

    def _check_replica(self, replica: Replica) -> None:
        if replica.stopping and self.now >= self._stop_deadline(replica):
            # A request that does not end would occupy its slot for ever. The other requests may finish first.
            replica.state = ReplicaState.DRAINING
            if not replica.requests:
                self._kill(replica, "a call does not end")
        elif replica.idle and self.now >= self._idle_deadline(replica) and not replica.function.waiting:
            self.pool.unload(replica)

    def _replace_draining(self) -> None:
        """Adds a replica where requests wait for a function and all its replicas are draining."""
        for function in list(self.pool.functions.values()):
            if not function.waiting or function.live_replicas:
                continue
            first = function.waiting[0]
            if self.pool.add(function, first.memory, first.concurrency) is None and not function.replicas:
                self._reject_waiting(function, Rejection.FULL)

    def _is_wanted(self, replica: Replica) -> bool:
        """Whether a request or a prewarm request waits for that replica."""
        function = replica.function
        position = function.live_replicas.index(replica)
        prewarmed = max(
            (prewarm.replicas for prewarm in self.prewarms.values() if prewarm.function is function), default=0
        )
        return (bool(function.waiting) and position == 0) or position < prewarmed

    def _run_waiting(self) -> None:
        """Starts waiting requests in the order of their arrival, each in the least used replica."""
        if self.running >= self.limits.concurrency:
            return
        ready = [function for function in self.pool.functions.values() if function.waiting and function.ready_count]
        waiting = [request for function in ready for request in function.waiting]
        for request in sorted(waiting, key=lambda request: request.arrived_at):
            if self.running >= self.limits.concurrency:
                return
            free = [
                replica
                for replica in request.function.replicas
                if replica.state == ReplicaState.READY and replica.used_slots < replica.concurrency
            ]
            if free:
                self._run(request, min(free, key=lambda replica: (replica.used_slots, replica.number)))

    def _run(self, request: Request, replica: Replica) -> None:
        request.function.waiting.remove(request)
        request.replica = replica
        request.started_at = self.now
        replica.last_used = self.now
        replica.requests.append(request)
        self.running += 1
        self.actions.append(Run(request, replica))

    def _answer_prewarms(self) -> None:
        for prewarm in list(self.prewarms.values()):
            function = prewarm.function
            if function.ready_count >= prewarm.replicas:
                del self.prewarms[prewarm.key]
                self.actions.append(PrewarmDone(prewarm, function.ready_count))
            elif len(function.replicas) < prewarm.replicas and not self._add_similar(function):
                del self.prewarms[prewarm.key]
                self._fail_prewarm(prewarm, Rejection.FAILED)

    def _add_similar(self, function: Function) -> bool:
        """Adds a replica with the memory and concurrency of the first one."""
        if not function.replicas:
            return False
        first = function.replicas[0]
        return self.pool.add(function, first.memory, first.concurrency) is not None

    # ---- answers and ends ----

    def _reject(self, request: Request, rejection: Rejection) -> None:
        if request.done:
            return
        request.done = True
        self.requests.pop(request.key, None)
        self.actions.append(Reject(request, rejection))

    def _reject_waiting(self, function: Function, rejection: Rejection) -> None:
        while function.waiting:
            self._reject(function.waiting.popleft(), rejection)

    def _fail_prewarm(self, prewarm: PrewarmRequest, rejection: Rejection) -> None:
        self.actions.append(PrewarmFailed(prewarm, rejection, prewarm.function.ready_count))

    def _kill(self, replica: Replica, reason: str) -> None:
        self.actions.append(Kill(replica, reason))
        self.replica_ended(replica)

    def _withdraw(self, request: Request) -> None:
        """Takes a request out of its queue, or has its replica stop it."""
        request.done = True
        replica = request.replica
        if replica is None:
            if request in request.function.waiting:
                request.function.waiting.remove(request)
            return
        replica.requests.remove(request)
        if not replica.stopping:
            replica.stopping_since = self.now
        replica.stopping += 1  # the slot is taken until the replica reports that it is free
        self.actions.append(Stop(request, replica))

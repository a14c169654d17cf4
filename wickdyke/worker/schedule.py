"""The scheduler of a worker: turns events into actions as a state machine without clock, I/O or threads.

The host reports events (`submit`, `load_finished`, `slot_freed` ...), which only update the records. Then it calls
`next_action` until that returns None. It calls `advance` at `next_deadline` at the latest, even if there was no event.
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

DEFAULT_ADVANCE_INTERVAL = 1000.0  # ms until the next call of `advance` where no deadline is pending


class Schedule:
    """Schedules the requests, prewarm requests and replicas of one worker."""

    def __init__(self, now: float, limits: ScheduleLimits) -> None:
        """`now` is the time of the worker's start, in ms of the host's clock."""
        self.now = now
        self.started_at = now
        self.limits = limits
        self.actions: deque[Action] = deque()
        self.pool = ReplicaPool(limits.memory, limits.load_concurrency, self.actions)
        self.requests: dict[object, Request] = {}
        self.prewarms: dict[object, PrewarmRequest] = {}
        self.run_timeouts: dict[str, float] = {}  # in ms by function name, as manifests state them
        self.used_slots = 0  # of all replicas
        self.draining = False

    # ---- events ----

    def advance(self, now: float) -> None:
        """Sets the current time, in ms of the host's clock."""
        self.now = now

    def submit(self, key: object, name: str, memory: float, concurrency: int, time_left: float) -> None:
        """Adds a request that arrived; its sender gives up after `time_left` ms."""
        if key in self.requests:
            return
        function = self.pool.function(name)
        request = Request(key, function, memory, concurrency, self.now + time_left, self.now)
        request.concurrent_requests = sum(other.function is function for other in self.requests.values())
        self.requests[key] = request
        if self.draining:
            self._reject(request, Rejection.DRAINING)
            return
        in_flight = len(self.requests)
        if in_flight > self.limits.max_requests or in_flight > self._slow_start_limit():
            self._reject(request, Rejection.FULL)
            return
        if not function.live_replicas:
            if self.pool.add(function, memory, concurrency) is None:
                self._reject(request, Rejection.FULL)
                return
            request.load_note = LoadNote.STARTED_LOAD
        elif not function.ready_count:
            request.load_note = LoadNote.AWAITED_LOAD
        function.waiting_requests.append(request)

    def prewarm(self, key: object, name: str, memory: float, concurrency: int, replicas: int) -> None:
        """Adds a prewarm request for `replicas` replicas, and counts the existing ones of them as used now.

        With 0 the request only asks how many replicas are ready.
        """
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
        """Cancels a request or prewarm request whose sender no longer waits for the answer."""
        self.prewarms.pop(key, None)
        request = self.requests.get(key)
        if request is not None and not request.done:
            self._withdraw(request)
            self.requests.pop(key, None)

    def unload_idle(self, name: str) -> None:
        """Unloads the idle replicas of a function."""
        for replica in list(self.pool.function(name).replicas):
            if replica.is_idle:
                self.pool.unload(replica)

    def apply_manifest(self, replica: Replica, memory: float, concurrency: int, run_timeout: float | None) -> bool:
        """Sets the limits that the manifest states. False where the replica does not fit; its load then fails."""
        if replica.state != ReplicaState.LOADING:
            return False
        replica.concurrency = concurrency
        if run_timeout is not None:
            self.run_timeouts[replica.function.name] = run_timeout
        additional = memory - replica.memory
        replica.memory = memory
        return additional <= 0 or self.pool.make_room(0.0, exempt_replica=replica)

    def load_finished(self, replica: Replica, failure: Rejection | None) -> None:
        """Ends a load; `failure` is None where the replica is ready, else FULL, MISS or FAILED."""
        if replica.state != ReplicaState.LOADING:
            return
        self.pool.loading_count -= 1
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
        """Removes a replica that ended by itself or was killed, and rejects its requests, which may have run."""
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
        self.used_slots -= requests_in_replica
        replica.stopping_requests = 0
        self.pool.remove(replica)

    def request_answered(self, key: object) -> bool:
        """Completes a request that its replica answered. False where no sender waits for the answer."""
        request = self.requests.get(key)
        if request is None or request.done or request.replica is None:
            return False
        del self.requests[key]
        request.done = True
        self.used_slots -= 1
        request.replica.requests.remove(request)
        request.replica.last_used = self.now
        return True

    def slot_freed(self, replica: Replica) -> None:
        """Frees the slot of a stopped request that has ended."""
        if not replica.is_running or not replica.stopping_requests:
            return
        replica.stopping_requests -= 1
        self.used_slots -= 1
        replica.last_used = self.now
        if not replica.stopping_requests:
            replica.state = ReplicaState.READY

    def memory_measured(self, replica: Replica, memory: float) -> None:
        """Records a replica's measured memory in MB. Kills a replica that uses more than its manifest states."""
        replica.measured_memory = memory
        if memory > replica.memory and replica.is_running:
            self._kill(replica, f"uses {memory:.1f} MB of memory, more than the stated {replica.memory:g} MB")

    def drain(self) -> None:
        """Accepts no further requests; those in flight continue."""
        self.draining = True

    # ---- actions ----

    def next_action(self) -> Action | None:
        """The next action to carry out; None where there is none now."""
        if not self.actions:
            self._decide()
        return self.actions.popleft() if self.actions else None

    @property
    def next_deadline(self) -> float:
        """The time at which to call `advance` and `next_action` again, unless an event comes before."""
        requests, replicas = self.requests.values(), self.pool.replicas()
        deadlines = [request.deadline for request in requests]
        deadlines += [
            self._run_deadline(request.started_at, request) for request in requests if request.started_at is not None
        ]
        deadlines += [self._stop_deadline(replica) for replica in replicas if replica.stopping_requests]
        deadlines += [self._idle_deadline(replica) for replica in replicas if replica.is_idle]
        return min(deadlines, default=self.now + DEFAULT_ADVANCE_INTERVAL)

    def load_report(self) -> dict[str, float]:
        """The load report, under the keys that are sent to gateways (worker_messages.REPORT_FIELDS)."""
        in_flight = len(self.requests)
        return {
            "busy": min(1.0, self.used_slots / self.limits.concurrency),
            "held": float(in_flight),
            "queue": float(max(0, in_flight - self.used_slots)),
            "loads": float(self.pool.loading_count + len(self.pool.load_queue)),
            "pinned": self.pool.pinned_memory / self.limits.memory,
            "cold": 1.0 - self._slow_start_share(),
        }

    # ---- times and limits ----

    def _run_deadline(self, started_at: float, request: Request) -> float:
        max_timeout = self.limits.run_timeout
        return started_at + min(max_timeout, self.run_timeouts.get(request.function.name, max_timeout))

    def _stop_deadline(self, replica: Replica) -> float:
        return replica.stopping_since + self.limits.stop_timeout

    def _idle_deadline(self, replica: Replica) -> float:
        return replica.last_used + self.limits.idle_timeout

    def _slow_start_share(self) -> float:
        return self.limits.slow_start.accepted_share(self.now - self.started_at)

    def _slow_start_limit(self) -> float:
        share = self._slow_start_share()
        return self.limits.max_requests if share >= 1 else max(1.0, share * self.limits.concurrency)

    # ---- decisions ----

    def _decide(self) -> None:
        self._time_out(lambda request: self.now >= request.deadline)
        self._time_out(self._has_exceeded_run_time)
        for replica in self.pool.replicas():
            self._check_replica(replica)
        self._replace_draining()
        self._run_waiting()
        self._answer_prewarms()
        self.pool.start_loads(self._is_needed)  # last, so that no load starts for a prewarm request that just failed
        prewarmed = {prewarm.function for prewarm in self.prewarms.values()}
        for function in self.pool.remove_unused(prewarmed):
            self.run_timeouts.pop(function.name, None)

    def _time_out(self, is_due: Callable[[Request], bool]) -> None:
        for request in [request for request in self.requests.values() if is_due(request)]:
            if request.done:
                continue
            may_have_run = request.replica is not None
            self._withdraw(request)
            self.requests.pop(request.key, None)
            self.actions.append(Reject(request, Rejection.OUT_OF_TIME if may_have_run else Rejection.FULL))

    def _has_exceeded_run_time(self, request: Request) -> bool:
        return request.started_at is not None and self.now >= self._run_deadline(request.started_at, request)

    def _check_replica(self, replica: Replica) -> None:
        if replica.stopping_requests and self.now >= self._stop_deadline(replica):
            # A stopped request that does not end would occupy its slot forever, so the replica is killed. Its other
            # requests may finish first.
            replica.state = ReplicaState.DRAINING
            if not replica.requests:
                self._kill(replica, "a stopped request does not end")
        elif replica.is_idle and self.now >= self._idle_deadline(replica) and not replica.function.waiting_requests:
            self.pool.unload(replica)

    def _replace_draining(self) -> None:
        """Adds a replica to each function that has waiting requests and only draining replicas."""
        for function in list(self.pool.functions.values()):
            if not function.waiting_requests or function.live_replicas:
                continue
            first = function.waiting_requests[0]
            if self.pool.add(function, first.memory, first.concurrency) is None and not function.replicas:
                self._reject_waiting(function, Rejection.FULL)

    def _is_needed(self, replica: Replica) -> bool:
        """Whether a request or a prewarm request waits for the replica to be loaded."""
        function = replica.function
        position = function.live_replicas.index(replica)
        prewarmed = max(
            (prewarm.replicas for prewarm in self.prewarms.values() if prewarm.function is function), default=0
        )
        return (bool(function.waiting_requests) and position == 0) or position < prewarmed

    def _run_waiting(self) -> None:
        """Starts waiting requests in order of arrival, each in the ready replica with the fewest used slots."""
        if self.used_slots >= self.limits.concurrency:
            return
        ready_functions = [
            function for function in self.pool.functions.values() if function.waiting_requests and function.ready_count
        ]
        waiting = [request for function in ready_functions for request in function.waiting_requests]
        for request in sorted(waiting, key=lambda request: request.arrived_at):
            if self.used_slots >= self.limits.concurrency:
                return
            available = [
                replica
                for replica in request.function.replicas
                if replica.state == ReplicaState.READY and replica.used_slots < replica.concurrency
            ]
            if available:
                self._run(request, min(available, key=lambda replica: (replica.used_slots, replica.number)))

    def _run(self, request: Request, replica: Replica) -> None:
        request.function.waiting_requests.remove(request)
        request.replica = replica
        request.started_at = self.now
        replica.last_used = self.now
        replica.requests.append(request)
        self.used_slots += 1
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
        """Adds a replica with the memory and concurrency of the first one. False where there is none, or no room."""
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
        while function.waiting_requests:
            self._reject(function.waiting_requests.popleft(), rejection)

    def _fail_prewarm(self, prewarm: PrewarmRequest, rejection: Rejection) -> None:
        self.actions.append(PrewarmFailed(prewarm, rejection, prewarm.function.ready_count))

    def _kill(self, replica: Replica, reason: str) -> None:
        self.actions.append(Kill(replica, reason))
        self.replica_ended(replica)

    def _withdraw(self, request: Request) -> None:
        """Removes a request from its queue, or has its replica stop it."""
        request.done = True
        replica = request.replica
        if replica is None:
            if request in request.function.waiting_requests:
                request.function.waiting_requests.remove(request)
            return
        replica.requests.remove(request)
        if not replica.stopping_requests:
            replica.stopping_since = self.now
        replica.stopping_requests += 1  # the slot stays in use until the replica reports it free
        self.actions.append(Stop(request, replica))

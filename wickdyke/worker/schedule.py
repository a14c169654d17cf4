"""What a worker does with requests, prewarm requests and memory: events in, actions out. No clock, no I/O, no threads.

A host reports events (`submit`, `load_finished`, `lane_freed` ...): these only update the records. Then it calls
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

DEADLINE_MOST = 1000.0  # ms until the next look, where nothing is due


class Schedule:
    """The requests and replicas of one worker."""

    def __init__(self, now: float, limits: ScheduleLimits) -> None:
        self.now, self.started_at, self.limits = now, now, limits
        self.actions: deque[Action] = deque()
        self.pool = ReplicaPool(limits.memory, limits.load_concurrency, self.actions)
        self.requests: dict[object, Request] = {}
        self.prewarms: dict[object, PrewarmRequest] = {}
        self.run_timeouts: dict[str, float] = {}  # ms, as manifests state them
        self.running = 0  # lanes in use
        self.draining = False

    # ---- events ----

    def advance(self, now: float) -> None:
        """Sets the time."""
        self.now = now

    def submit(self, key: object, name: str, memory: float, lanes: int, time_left: float) -> None:
        """A request came; its sender gives up after `time_left` ms."""
        if key in self.requests:
            return
        function = self.pool.function(name)
        request = Request(key, function, memory, lanes, self.now + time_left, self.now)
        request.peers = sum(held.function is function for held in self.requests.values())
        self.requests[key] = request
        if self.draining:
            return self._reject(request, Rejection.DRAINING)
        held = len(self.requests)
        if held > self.limits.queue or held > self._ramp_limit():
            return self._reject(request, Rejection.FULL)
        if not function.live_replicas:
            if self.pool.add(function, memory, lanes) is None:
                return self._reject(request, Rejection.FULL)
            request.load_note = LoadNote.BEGAN
        elif not function.ready_count:
            request.load_note = LoadNote.AWAITED
        function.waiting.append(request)

    def prewarm(self, key: object, name: str, memory: float, lanes: int, replicas: int) -> None:
        """A request to have so many replicas ready; 0 only asks. Those there are count as used now."""
        function = self.pool.function(name)
        prewarm = PrewarmRequest(key, function, replicas)
        if replicas and self.draining:
            self._fail_prewarm(prewarm, Rejection.DRAINING)
            return
        live = function.live_replicas
        for replica in live[:replicas]:
            replica.last_used = self.now
        for _ in range(replicas - len(live)):
            if self.pool.add(function, memory, lanes) is None:
                self._fail_prewarm(prewarm, Rejection.FULL)
                return
        self.prewarms[key] = prewarm

    def cancel(self, key: object) -> None:
        """The sender of a request or prewarm request wants no answer any more."""
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

    def apply_manifest(self, replica: Replica, memory: float, lanes: int, run_timeout: float | None) -> bool:
        """The manifest tells what the replica takes. False where there is no room for it; its load then fails."""
        if replica.state != ReplicaState.LOADING:
            return False
        replica.lanes = lanes
        if run_timeout is not None:
            self.run_timeouts[replica.function.name] = run_timeout
        more, replica.memory = memory - replica.memory, memory
        return more <= 0 or self.pool.make_room(0.0, keep=replica)

    def load_finished(self, replica: Replica, failure: Rejection | None) -> None:
        """A load is over; `failure` is None where the replica is ready, else FULL, MISS or FAILED."""
        if replica.state != ReplicaState.LOADING:
            return
        self.pool.loading -= 1
        if failure is None:
            replica.state, replica.last_used = ReplicaState.READY, self.now
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
        """A replica ended by itself, or was ended: the requests in it may have run."""
        if replica.state in (ReplicaState.REMOVED, ReplicaState.QUEUED):
            return
        if replica.state == ReplicaState.LOADING:
            self.load_finished(replica, Rejection.FAILED)
            return
        lost_together = replica.used_lanes
        requests, replica.requests = replica.requests, []
        for request in requests:
            request.replica, request.lost_together = None, lost_together
            self._reject(request, Rejection.ENDED)
        self.running -= lost_together
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

    def lane_freed(self, replica: Replica) -> None:
        """A lane whose request was stopped is free again."""
        if not replica.running or not replica.stopping:
            return
        replica.stopping -= 1
        self.running -= 1
        replica.last_used = self.now
        if not replica.stopping:
            replica.state = ReplicaState.READY

    def memory_measured(self, replica: Replica, memory: float) -> None:
        """What a replica takes, in MB. One that takes more than its manifest states is ended."""
        replica.measured_memory = memory
        if memory > replica.memory and replica.running:
            self._kill(replica, f"{memory:.1f} MB of {replica.memory:g} MB")

    def drain(self) -> None:
        """Nothing new is begun; what is held goes on."""
        self.draining = True

    # ---- actions ----

    def next_action(self) -> Action | None:
        """The next action, None where there is none for now."""
        if not self.actions:
            self._decide()
        return self.actions.popleft() if self.actions else None

    @property
    def next_deadline(self) -> float:
        """When to call `advance` and `next_action` again, if no event comes before."""
        requests, replicas = self.requests.values(), self.pool.replicas()
        deadlines = [request.deadline for request in requests]
        deadlines += [self._run_deadline(request) for request in requests if request.started_at is not None]
        deadlines += [self._stop_deadline(replica) for replica in replicas if replica.stopping]
        deadlines += [self._idle_deadline(replica) for replica in replicas if replica.idle]
        return min(deadlines, default=self.now + DEADLINE_MOST)

    def load_report(self) -> dict[str, float]:
        """What the worker reports of its load. The keys are words on the wire."""
        held = len(self.requests)
        return {
            "busy": min(1.0, self.running / self.limits.concurrency),
            "held": float(held),
            "queue": float(max(0, held - self.running)),
            "loads": float(self.pool.loading + len(self.pool.load_queue)),
            "pinned": self.pool.pinned_memory / self.limits.memory,
            "cold": 1.0 - self._ramp_share(),
        }

    # ---- times and limits ----

    def _run_deadline(self, request: Request) -> float:
        most = self.limits.run_timeout
        return request.started_at + min(most, self.run_timeouts.get(request.function.name, most))

    def _stop_deadline(self, replica: Replica) -> float:
        return replica.stopping_since + self.limits.stop_timeout

    def _idle_deadline(self, replica: Replica) -> float:
        return replica.last_used + self.limits.idle_timeout

    def _ramp_share(self) -> float:
        return self.limits.ramp.share(self.now - self.started_at)

    def _ramp_limit(self) -> float:
        share = self._ramp_share()
        return self.limits.queue if share >= 1 else max(1.0, share * self.limits.concurrency)

    # ---- decisions ----

    def _decide(self) -> None:
        self._time_out(lambda request: self.now >= request.deadline)
        self._time_out(lambda request: request.started_at is not None and self.now >= self._run_deadline(request))
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

    def _check_replica(self, replica: Replica) -> None:
        if replica.stopping and self.now >= self._stop_deadline(replica):
            # A request that does not end would take its lane for ever. The other requests are let finish first.
            replica.state = ReplicaState.DRAINING
            if not replica.requests:
                self._kill(replica, "a call does not end")
        elif replica.idle and self.now >= self._idle_deadline(replica) and not replica.function.waiting:
            self.pool.unload(replica)

    def _replace_draining(self) -> None:
        """Where all replicas of a function are draining, the requests that wait for it need another."""
        for function in list(self.pool.functions.values()):
            if not function.waiting or function.live_replicas:
                continue
            first = function.waiting[0]
            if self.pool.add(function, first.memory, first.lanes) is None and not function.replicas:
                self._reject_waiting(function, Rejection.FULL)

    def _is_wanted(self, replica: Replica) -> bool:
        """Whether a request or a prewarm request waits for that replica."""
        function = replica.function
        position = function.live_replicas.index(replica)
        prewarmed = max((each.replicas for each in self.prewarms.values() if each.function is function), default=0)
        return (bool(function.waiting) and position == 0) or position < prewarmed

    def _run_waiting(self) -> None:
        """Hands out requests, those that came first before others."""
        if self.running >= self.limits.concurrency:
            return
        ready = [function for function in self.pool.functions.values() if function.waiting and function.ready_count]
        waiting = [request for function in ready for request in function.waiting]
        for request in sorted(waiting, key=lambda each: each.arrived_at):
            if self.running >= self.limits.concurrency:
                return
            free = [
                replica
                for replica in request.function.replicas
                if replica.state == ReplicaState.READY and replica.used_lanes < replica.lanes
            ]
            if free:
                self._run(request, min(free, key=lambda replica: (replica.used_lanes, replica.number)))

    def _run(self, request: Request, replica: Replica) -> None:
        request.function.waiting.remove(request)
        request.replica, request.started_at, replica.last_used = replica, self.now, self.now
        replica.requests.append(request)
        self.running += 1
        self.actions.append(Run(request, replica))

    def _answer_prewarms(self) -> None:
        for prewarm in list(self.prewarms.values()):
            function = prewarm.function
            if function.ready_count >= prewarm.replicas:
                del self.prewarms[prewarm.key]
                self.actions.append(PrewarmDone(prewarm, function.ready_count))
            elif len(function.replicas) < prewarm.replicas and not self._add_alike(function):
                del self.prewarms[prewarm.key]
                self._fail_prewarm(prewarm, Rejection.FAILED)

    def _add_alike(self, function: Function) -> bool:
        """Adds a replica that takes what the first one takes."""
        if not function.replicas:
            return False
        first = function.replicas[0]
        return self.pool.add(function, first.memory, first.lanes) is not None

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
        """Takes a request out of its queue, or has its lane end it."""
        request.done = True
        replica = request.replica
        if replica is None:
            if request in request.function.waiting:
                request.function.waiting.remove(request)
            return
        replica.requests.remove(request)
        if not replica.stopping:
            replica.stopping_since = self.now
        replica.stopping += 1  # the lane is taken until the replica says that it is free
        self.actions.append(Stop(request, replica))

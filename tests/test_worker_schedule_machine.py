"""A worker's schedule under any order of events, as a state machine that checks what must hold."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.schedule_rig import decisions, new_schedule
from wickdyke.worker.model import ReplicaState


class ScheduleMachine(RuleBasedStateMachine):
    """Events in any order; the invariants are checked at each action and between events."""

    def __init__(self):
        super().__init__()
        self.schedule, self.now, self.turn = new_schedule(memory=40.0, at_once=3, loads_at_once=2, queue=8), 0.0, 0
        self.open, self.running, self.loading, self.live, self.stuck = {}, {}, set(), set(), []
        self.came = []

    def pull(self):
        """Takes all actions, checks each, and keeps the model in step."""
        for verb, it, *more in decisions(self.schedule):
            match verb:
                case "load":
                    assert it.function.waiting_requests or any(
                        h.function is it.function for h in self.schedule.prewarms.values()
                    ), "a load that nothing waits for"
                    self.loading.add(it)
                case "run":
                    replica = more[0]
                    assert it.key in self.open, "a call is run that was answered or left"
                    assert replica in self.live and it.key not in self.running
                    ahead = [
                        key
                        for key in self.came
                        if key in self.open and key not in self.running and self.open[key] == it.function.name
                    ]
                    assert ahead[0] == it.key, "one that came later goes first"
                    self.running[it.key] = replica
                    inside = sum(each is replica for each in self.running.values())
                    assert inside + sum(each is replica for _, each in self.stuck) <= replica.concurrency, (
                        "more than its lanes"
                    )
                case "refuse":
                    assert self.open.pop(it.key, None) is not None, "answered twice"
                    self.running.pop(it.key, None)
                case "stop":
                    self.running.pop(it.key, None)
                    self.stuck.append((it.key, more[0]))
                case "unload":
                    assert it in self.live and it not in self.running.values(), "ended for room while at work"
                    assert all(each is not it for _, each in self.stuck)
                    self.live.discard(it)
                case "end":
                    self.live.discard(it)
                    self.stuck = [each for each in self.stuck if each[1] is not it]

    def tick(self):
        """Lets 1 ms pass."""
        self.now += 1.0
        self.schedule.advance(self.now)

    @rule(
        name=st.sampled_from("ppq"),
        memory=st.sampled_from([5.0, 5.0, 15.0, 30.0, 50.0]),
        lanes=st.integers(1, 2),
        left=st.sampled_from([5.0, 50.0, 2000.0, 2000.0]),
        many=st.integers(1, 4),
    )
    def call(self, name, memory, lanes, left, many):
        """Requests of a function arrive."""
        for _ in range(many):
            self.tick()
            self.turn += 1
            self.open[self.turn] = name
            self.came.append(self.turn)
            self.schedule.submit(self.turn, name, memory, lanes, left)
        self.pull()

    @rule()
    def loads_end(self):
        """All loads succeed."""
        self.tick()
        for replica in sorted(self.loading, key=lambda each: each.number):
            self.loading.discard(replica)
            self.live.add(replica)
            self.schedule.load_finished(replica, None)
        self.pull()

    @rule(name=st.sampled_from("pqr"), memory=st.sampled_from([5.0, 15.0]), replicas=st.sampled_from([0, 1, 1, 2, 3]))
    def prewarm(self, name, memory, replicas):
        """A prewarm request arrives."""
        self.tick()
        self.turn += 1
        self.schedule.prewarm(self.turn, name, memory, 1, replicas)
        self.pull()

    @rule(at=st.integers(0, 20))
    def cancel(self, at):
        """A request is cancelled."""
        self.tick()
        keys = list(self.open)
        if keys:
            key = keys[at % len(keys)]
            self.schedule.cancel(key)
            del self.open[key]
            self.pull()

    @rule(
        at=st.integers(0, 20),
        outcome=st.sampled_from([None, None, None, "miss", "full"]),
        real=st.sampled_from([None, 5.0, 20.0]),
    )
    def load_ends(self, at, outcome, real):
        """One load succeeds or fails, perhaps after its manifest was read."""
        self.tick()
        if not self.loading:
            return
        replica = sorted(self.loading, key=lambda each: each.number)[at % len(self.loading)]
        self.loading.discard(replica)
        if real is not None and not self.schedule.apply_manifest(replica, real, 1, None):
            outcome = "full"
        if outcome is None:
            self.live.add(replica)
        self.schedule.load_finished(replica, outcome)
        self.pull()

    @rule(at=st.integers(0, 20))
    def answer_late(self, at):
        """A stopped request answers, which must not count."""
        if self.stuck:
            assert not self.schedule.request_answered(self.stuck[at % len(self.stuck)][0]), (
                "an answer after the last word"
            )

    @rule(at=st.integers(0, 20))
    def answer(self, at):
        """A running request is answered."""
        self.tick()
        keys = list(self.running)
        if keys:
            key = keys[at % len(keys)]
            assert self.schedule.request_answered(key), "an answer that nobody waits for"
            del self.running[key], self.open[key]
            assert not self.schedule.request_answered(key)
            self.pull()

    @rule()
    def slot_freed(self):
        """A stopped request ends."""
        self.tick()
        if self.stuck:
            _, replica = self.stuck.pop(0)
            self.schedule.slot_freed(replica)
            self.pull()

    @rule(at=st.integers(0, 20))
    def replica_ends(self, at):
        """A replica ends by itself."""
        self.tick()
        if self.live:
            replica = sorted(self.live, key=lambda each: each.number)[at % len(self.live)]
            self.live.discard(replica)
            self.running = {key: each for key, each in self.running.items() if each is not replica}
            self.stuck = [each for each in self.stuck if each[1] is not replica]
            self.schedule.replica_ended(replica)
            self.pull()

    @rule(at=st.integers(0, 20), part=st.sampled_from([0.5, 1.0, 1.5]))
    def measure(self, at, part):
        """A replica's memory is measured."""
        self.tick()
        if self.live:
            replica = sorted(self.live, key=lambda each: each.number)[at % len(self.live)]
            self.schedule.memory_measured(replica, replica.memory * part)
            self.pull()

    @rule(ms=st.sampled_from([1.0, 10.0, 30.0, 120.0, 1100.0]))
    def time(self, ms):
        """Time passes."""
        self.now += ms
        self.schedule.advance(self.now)
        self.pull()

    @invariant()
    def schedule_is_consistent(self):
        """The limits hold, the model agrees, and whatever waits will be served."""
        schedule = self.schedule
        assert sum(replica.charged_memory for replica in schedule.pool.replicas()) <= schedule.limits.memory + 1e-9, (
            "memory over budget"
        )
        assert set(self.open) == set(schedule.requests), "calls lost or kept"
        assert schedule.used_slots == len(self.running) + len(self.stuck) <= schedule.limits.concurrency
        assert schedule.pool.loading_count == len(self.loading) <= schedule.limits.load_concurrency
        for key in set(self.open) - set(self.running):  # no starvation: what waits has something that will serve it
            function = schedule.pool.functions[self.open[key]]
            assert any(
                replica.state in (ReplicaState.QUEUED, ReplicaState.LOADING, ReplicaState.READY) or replica.requests
                for replica in function.replicas
            )
        if schedule.used_slots < schedule.limits.concurrency:
            for function in schedule.pool.functions.values():
                assert not function.waiting_requests or not any(
                    replica.state == ReplicaState.READY
                    and len(replica.requests) + replica.stopping_requests < replica.concurrency
                    for replica in function.replicas
                )


ScheduleMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=60, deadline=None, derandomize=True)
ScheduleMachineTest = ScheduleMachine.TestCase


if __name__ == "__main__":
    unittest.main()

"""A worker's schedule under random sequences of events, checked by a state machine."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.schedule_rig import iter_actions, new_schedule
from wickdyke.worker.model import ReplicaState


class ScheduleMachine(RuleBasedStateMachine):
    """Reports events in any order; checks each action against a model, and invariants between events."""

    def __init__(self):
        super().__init__()
        self.schedule, self.now, self.last_key = (
            new_schedule(memory=40.0, concurrency=3, load_concurrency=2, max_requests=8),
            0.0,
            0,
        )
        self.open_requests, self.running_requests, self.loading_replicas, self.live_replicas, self.stopped_requests = (
            {},
            {},
            set(),
            set(),
            [],
        )
        self.arrived_keys = []

    def check_actions(self):
        """Takes all actions, checks each one, and updates the model."""
        for action_name, about, *values in iter_actions(self.schedule):
            match action_name:
                case "load":
                    assert about.function.waiting_requests or any(
                        prewarm.function is about.function for prewarm in self.schedule.prewarms.values()
                    ), "a load starts for which nothing waits"
                    self.loading_replicas.add(about)
                case "run":
                    replica = values[0]
                    assert about.key in self.open_requests, "a request runs that was answered or cancelled"
                    assert replica in self.live_replicas and about.key not in self.running_requests
                    earlier = [
                        key
                        for key in self.arrived_keys
                        if key in self.open_requests
                        and key not in self.running_requests
                        and self.open_requests[key] == about.function.name
                    ]
                    assert earlier[0] == about.key, "a later request overtakes an earlier one"
                    self.running_requests[about.key] = replica
                    in_use = sum(other is replica for other in self.running_requests.values())
                    assert (
                        in_use + sum(other is replica for _, other in self.stopped_requests) <= replica.concurrency
                    ), "more requests than slots"
                case "reject":
                    assert self.open_requests.pop(about.key, None) is not None, "a request is answered twice"
                    self.running_requests.pop(about.key, None)
                case "stop":
                    self.running_requests.pop(about.key, None)
                    self.stopped_requests.append((about.key, values[0]))
                case "unload":
                    assert about in self.live_replicas and about not in self.running_requests.values(), "a busy replica"
                    assert all(other is not about for _, other in self.stopped_requests)
                    self.live_replicas.discard(about)
                case "kill":
                    self.live_replicas.discard(about)
                    self.stopped_requests = [other for other in self.stopped_requests if other[1] is not about]

    def tick(self):
        """Lets 1 ms pass."""
        self.now += 1.0
        self.schedule.advance(self.now)

    @rule(
        name=st.sampled_from("ppq"),
        memory=st.sampled_from([5.0, 5.0, 15.0, 30.0, 50.0]),
        concurrency=st.integers(1, 2),
        time_left=st.sampled_from([5.0, 50.0, 2000.0, 2000.0]),
        count=st.integers(1, 4),
    )
    def submit(self, name, memory, concurrency, time_left, count):
        """Requests of a function arrive."""
        for _ in range(count):
            self.tick()
            self.last_key += 1
            self.open_requests[self.last_key] = name
            self.arrived_keys.append(self.last_key)
            self.schedule.submit(self.last_key, name, memory, concurrency, time_left)
        self.check_actions()

    @rule()
    def all_loads_succeed(self):
        """All loads succeed."""
        self.tick()
        for replica in sorted(self.loading_replicas, key=lambda candidate: candidate.number):
            self.loading_replicas.discard(replica)
            self.live_replicas.add(replica)
            self.schedule.load_finished(replica, None)
        self.check_actions()

    @rule(name=st.sampled_from("pqr"), memory=st.sampled_from([5.0, 15.0]), replicas=st.sampled_from([0, 1, 1, 2, 3]))
    def prewarm(self, name, memory, replicas):
        """A prewarm request arrives."""
        self.tick()
        self.last_key += 1
        self.schedule.prewarm(self.last_key, name, memory, 1, replicas)
        self.check_actions()

    @rule(index=st.integers(0, 20))
    def cancel(self, index):
        """A request is cancelled."""
        self.tick()
        keys = list(self.open_requests)
        if keys:
            key = keys[index % len(keys)]
            self.schedule.cancel(key)
            del self.open_requests[key]
            self.check_actions()

    @rule(
        index=st.integers(0, 20),
        failure=st.sampled_from([None, None, None, "miss", "full"]),
        stated_memory=st.sampled_from([None, 5.0, 20.0]),
    )
    def one_load_ends(self, index, failure, stated_memory):
        """One load succeeds or fails; in some cases its manifest has been applied before."""
        self.tick()
        if not self.loading_replicas:
            return
        replica = sorted(self.loading_replicas, key=lambda candidate: candidate.number)[
            index % len(self.loading_replicas)
        ]
        self.loading_replicas.discard(replica)
        if stated_memory is not None and not self.schedule.apply_manifest(replica, stated_memory, 1, None):
            failure = "full"
        if failure is None:
            self.live_replicas.add(replica)
        self.schedule.load_finished(replica, failure)
        self.check_actions()

    @rule(index=st.integers(0, 20))
    def answer_stopped_request(self, index):
        """A stopped request is answered, which must be ignored."""
        if self.stopped_requests:
            assert not self.schedule.request_answered(self.stopped_requests[index % len(self.stopped_requests)][0]), (
                "an answer to a stopped request is accepted"
            )

    @rule(index=st.integers(0, 20))
    def answer(self, index):
        """A running request is answered."""
        self.tick()
        keys = list(self.running_requests)
        if keys:
            key = keys[index % len(keys)]
            assert self.schedule.request_answered(key), "the answer to a running request is not accepted"
            del self.running_requests[key], self.open_requests[key]
            assert not self.schedule.request_answered(key)
            self.check_actions()

    @rule()
    def slot_freed(self):
        """A stopped request ends."""
        self.tick()
        if self.stopped_requests:
            _, replica = self.stopped_requests.pop(0)
            self.schedule.slot_freed(replica)
            self.check_actions()

    @rule(index=st.integers(0, 20))
    def replica_ends(self, index):
        """A replica ends by itself."""
        self.tick()
        if self.live_replicas:
            replica = sorted(self.live_replicas, key=lambda candidate: candidate.number)[
                index % len(self.live_replicas)
            ]
            self.live_replicas.discard(replica)
            self.running_requests = {key: other for key, other in self.running_requests.items() if other is not replica}
            self.stopped_requests = [other for other in self.stopped_requests if other[1] is not replica]
            self.schedule.replica_ended(replica)
            self.check_actions()

    @rule(index=st.integers(0, 20), factor=st.sampled_from([0.5, 1.0, 1.5]))
    def measure(self, index, factor):
        """A replica's memory is measured."""
        self.tick()
        if self.live_replicas:
            replica = sorted(self.live_replicas, key=lambda candidate: candidate.number)[
                index % len(self.live_replicas)
            ]
            self.schedule.memory_measured(replica, replica.memory * factor)
            self.check_actions()

    @rule(duration=st.sampled_from([1.0, 10.0, 30.0, 120.0, 1100.0]))
    def pass_time(self, duration):
        """Time passes."""
        self.now += duration
        self.schedule.advance(self.now)
        self.check_actions()

    @invariant()
    def schedule_is_consistent(self):
        """The limits hold, the model agrees, and each waiting request has a replica that will serve it."""
        schedule = self.schedule
        assert sum(replica.charged_memory for replica in schedule.pool.replicas()) <= schedule.limits.memory + 1e-9, (
            "the replicas exceed the memory limit"
        )
        assert set(self.open_requests) == set(schedule.requests), (
            "the schedule lost a request or kept one that has ended"
        )
        assert (
            schedule.used_slots
            == len(self.running_requests) + len(self.stopped_requests)
            <= schedule.limits.concurrency
        )
        assert schedule.pool.loading_count == len(self.loading_replicas) <= schedule.limits.load_concurrency
        for key in set(self.open_requests) - set(self.running_requests):  # no starvation: some replica will serve each
            function = schedule.pool.functions[self.open_requests[key]]
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

"""Hosts independent gateway instances and passes the events of each batch to them."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from wickdyke.config.deployment_settings import (
    InvalidInputError,
    count,
    duration,
    from_pairs,
    request_classes,
    router_settings,
)
from wickdyke.routing.inputs import AttemptFinished, RequestReceived, WorkerLoad
from wickdyke.routing.model import Endpoint
from wickdyke.routing.router import Router
from wickdyke.simulator import codec

Lines = Iterator[tuple[int, list[str]]]
MIN_TIMER_DELAY = 0.001  # ms; with a delay of 0 the simulated clock would never advance


class Instance:
    """A gateway instance and its pending timer in the simulator."""

    def __init__(self, router: Router) -> None:
        """Creates an instance without a pending timer."""
        self.router = router
        self.timer_due_at: float | None = None  # ms of the simulated clock
        self.cookie = 0  # identifies the last timer


@dataclass(slots=True)
class Batch:
    """The instances that a batch has events for, in their order, and the reasons of the failures of instances."""

    affected_instances: dict[int, None] = field(default_factory=dict)
    failures: dict[int, str] = field(default_factory=dict)

    def fail(self, ident: int, error: Exception) -> None:
        """Records the failure of one instance, which must not affect the others."""
        self.failures[ident] = f"{type(error).__name__}: {error}"


class Host:
    """The gateway instances of this process, by their identifier."""

    def __init__(self) -> None:
        """Creates a host without instances, before its first batch."""
        self.instances: dict[int, Instance] = {}
        self.now = -math.inf
        self.line_number = 0

    def replies(self, input_lines: Iterable[str]) -> Iterator[str]:
        """Yields one reply for each batch. Raises InvalidInputError with the line number if the input is malformed."""
        lines = codec.read_lines(input_lines)
        for number, (name, *values) in lines:
            self.line_number = number
            try:
                yield self._process_batch(lines, name, values)
            except InvalidInputError as error:
                text = str(error)
                raise InvalidInputError(
                    text if text.startswith("line ") else f"line {self.line_number}: {text}"
                ) from None

    # ---- batches ----

    def _process_batch(self, lines: Lines, name: str, values: list[str]) -> str:
        self._set_clock(name, values)
        batch = Batch()
        while True:
            name, values = self._next_line(lines)
            if name == "END":
                break
            self._apply_event(lines, name, values, batch)
        if values:
            raise InvalidInputError("END: expected no values")
        reply: list[str] = []
        for ident in batch.affected_instances:
            reply += self._reply_lines(ident, batch)
        return "".join(reply) + "ACK\n"

    def _set_clock(self, name: str, values: list[str]) -> None:
        if name != "MARK":
            raise InvalidInputError(f"found {name[: codec.MAX_TEXT_SHOWN]!r}, expected MARK")
        (now,) = codec.decode_values("MARK", values, (("clock", duration),))
        if now < self.now:
            raise InvalidInputError(f"MARK: the clock is {now}, expected at least {self.now}")
        self.now = now

    def _next_line(self, lines: Lines) -> tuple[str, list[str]]:
        for number, (name, *values) in lines:
            self.line_number = number
            return name, values
        raise InvalidInputError(f"line {self.line_number + 1}: the input ends inside a batch, expected END")

    def _reply_lines(self, ident: int, batch: Batch) -> list[str]:
        reply: list[str] = []
        instance = self.instances.get(ident)
        if instance is not None and ident not in batch.failures:
            try:
                reply += [
                    codec.encode_line(ident, instance_reply) for instance_reply in self._instance_replies(instance)
                ]
            except Exception as error:  # noqa: BLE001 - any error in an instance is reported as its failure
                batch.fail(ident, error)
        if ident in batch.failures:
            reply.append(codec.encode_line(ident, codec.InstanceFailure(batch.failures[ident])))
        return reply

    def _instance_replies(self, instance: Instance) -> Iterator[codec.Reply]:
        router = instance.router
        while (decision := router.decide()) is not None:
            yield decision
        wake_at = router.wake_at
        if wake_at is not None and (instance.timer_due_at is None or wake_at < instance.timer_due_at):
            instance.timer_due_at = wake_at
            instance.cookie += 1
            yield codec.SetTimer(max(MIN_TIMER_DELAY, wake_at - self.now), instance.cookie)

    # ---- events ----

    def _apply_event(self, lines: Lines, name: str, values: list[str], batch: Batch) -> None:
        if name == "POWER_ON":
            self._start_instance(values, batch)
            return
        if name not in codec.EVENT_FIELDS:
            raise InvalidInputError(f"found {name[: codec.MAX_TEXT_SHOWN]!r}, expected an event or END")
        event_line = self.line_number
        ident, *fields = codec.decode_values(name, values, codec.EVENT_FIELDS[name])
        instance = self.instances.get(ident)
        if instance is None:
            raise InvalidInputError(f"{name}: found instance {ident}, expected one that was started")
        if name == "HALT":
            del self.instances[ident]
            batch.affected_instances.pop(ident, None)
            return
        if name == "FLEET":
            mode, revision, entries = fields
            fields = [mode, revision, self._decode_endpoints(lines, entries or 0)]
        batch.affected_instances[ident] = None
        try:
            self._dispatch_event(instance, name, fields)
        except InvalidInputError as error:
            raise InvalidInputError(f"line {event_line}: {error}") from None
        except Exception as error:  # noqa: BLE001 - any error in an instance is reported as its failure
            batch.fail(ident, error)

    def _start_instance(self, values: list[str], batch: Batch) -> None:
        if len(values) < 2:
            raise InvalidInputError("POWER_ON: expected an instance, a seed and the settings")
        ident, seed = codec.decode_values("POWER_ON", values[:2], (("instance", count), ("seed", count)))
        settings = from_pairs(values[2:])
        router = Router(self.now, seed, request_classes(settings), router_settings(settings))
        batch.affected_instances[ident] = None
        self.instances[ident] = Instance(router)

    def _decode_endpoints(self, lines: Lines, entries: int) -> list[Endpoint]:
        endpoints = []
        for _ in range(entries):
            name, values = self._next_line(lines)
            if name != "ROW":
                raise InvalidInputError(
                    f"found {name[: codec.MAX_TEXT_SHOWN]!r}, expected ROW ({entries} rows were announced)"
                )
            endpoints.append(codec.decode_endpoint(values))
        return endpoints

    def _dispatch_event(self, instance: Instance, name: str, fields: list[Any]) -> None:  # noqa: C901 - one case per event
        """Passes an event to the router of an instance."""
        router = instance.router
        router.advance(self.now)
        match name, fields:
            case "NEW_REQUEST", _:
                _request_received(router, fields)
            case "REPORT_BACK", [ident, attempt_number, _, outcome, _, final, note, load_report]:
                load_note, concurrent = codec.decode_note(note)
                load = _worker_load(router, load_report)
                router.attempt_finished(
                    AttemptFinished(ident, attempt_number, outcome, final, load_note, concurrent, load)
                )
            case "FIRST_BYTE", [ident, attempt_number, _, _]:
                router.answer_begun(ident, attempt_number)
            case "ABORTED", [ident]:
                router.client_gone(ident)
            case "WAKEUP", [cookie]:
                if cookie == instance.cookie:
                    instance.timer_due_at = None
            case "PING_RESULT", [worker, outcome, _, load_report]:
                router.health_checked(worker, outcome, _worker_load(router, load_report))
            case "BROUGHT_UP", [outcome, worker, replicas, latency, function]:
                router.prewarm_finished(worker, function, outcome, replicas, latency)
            case "FLEET", [mode, _, endpoints]:
                router.endpoints_changed(endpoints, {"0": False, "3": None}.get(mode, True))
            case "MEMO", _:
                pass  # instances exchange no state


def _request_received(router: Router, fields: list[Any]) -> None:
    ident, bits, time_left, class_index, function, work, _, memory, load_time, concurrency = fields
    if class_index >= len(router.request_classes):
        raise InvalidInputError(f"NEW_REQUEST: class is {class_index}, expected the index of one in the settings")
    received = RequestReceived(
        ident=ident,
        time_left=time_left,
        request_class=router.request_classes[class_index],
        function_name=function,
        memory=memory,
        concurrency=max(1, int(concurrency)),
        load_hint=load_time,
        work=work if bits & codec.WORK_KNOWN_BIT else None,
        is_repeat=bool(bits & codec.REPEAT_BIT),
    )
    router.request_received(received)


def _worker_load(router: Router, values: tuple[float, ...] | None) -> WorkerLoad | None:
    return WorkerLoad.from_values(router.instance.report_fields, values)

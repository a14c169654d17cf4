"""Hosts many gateway instances that share nothing, and hands each batch's events to them."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from wickdyke.config.deployment_settings import (
    InvalidInputError,
    count,
    from_pairs,
    request_classes,
    router_settings,
    span,
)
from wickdyke.routing.inputs import AttemptFinished, RequestReceived, WorkerLoad
from wickdyke.routing.model import Endpoint
from wickdyke.routing.router import Router
from wickdyke.simulator import codec

Lines = Iterator[tuple[int, list[str]]]
MIN_DELAY = 0.001  # ms of a timer: one of 0 would never let the clock go on


class Instance:
    """One gateway instance and the timer that the wire holds for it."""

    def __init__(self, router: Router) -> None:
        """An instance without a timer."""
        self.router = router
        self.timer: float | None = None  # when it is due (ms)
        self.cookie = 0


@dataclass(slots=True)
class Batch:
    """The instances that a batch has events for, in their order, and the reasons of those that failed."""

    touched: dict[int, None] = field(default_factory=dict)
    faults: dict[int, str] = field(default_factory=dict)

    def fail(self, ident: int, error: Exception) -> None:
        """Records the failure of one instance, which must not affect the others."""
        self.faults[ident] = f"{type(error).__name__}: {error}"


class Host:
    """The instances of this process."""

    def __init__(self) -> None:
        """A host without instances, before its first batch."""
        self.instances: dict[int, Instance] = {}
        self.now = -math.inf
        self.line_number = 0

    def replies(self, source: Iterable[str]) -> Iterator[str]:
        """One reply for each batch. Raises InvalidInputError with the number of the line."""
        lines = codec.read_lines(source)
        for number, (name, *values) in lines:
            self.line_number = number
            try:
                yield self._batch(lines, name, values)
            except InvalidInputError as error:
                text = str(error)
                raise InvalidInputError(
                    text if text.startswith("line ") else f"line {self.line_number}: {text}"
                ) from None

    # ---- one batch ----

    def _batch(self, lines: Lines, name: str, values: list[str]) -> str:
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
        for ident in batch.touched:
            reply += self._reply_lines(ident, batch)
        return "".join(reply) + "ACK\n"

    def _set_clock(self, name: str, values: list[str]) -> None:
        if name != "MARK":
            raise InvalidInputError(f"{name[: codec.MAX_TEXT_SHOWN]!r}, expected MARK")
        (now,) = codec.read_values("MARK", values, (("clock", span),))
        if now < self.now:
            raise InvalidInputError(f"MARK: the clock is {now}, expected at least {self.now}")
        self.now = now

    def _next_line(self, lines: Lines) -> tuple[str, list[str]]:
        for number, (name, *values) in lines:
            self.line_number = number
            return name, values
        raise InvalidInputError(f"line {self.line_number + 1}: the input stops inside a batch, expected END")

    def _reply_lines(self, ident: int, batch: Batch) -> list[str]:
        reply: list[str] = []
        instance = self.instances.get(ident)
        if instance is not None and ident not in batch.faults:
            try:
                reply += [codec.write_line(ident, each) for each in self._decisions(instance)]
            except Exception as error:  # noqa: BLE001 - whatever fails in one instance is reported for that instance
                batch.fail(ident, error)
        if ident in batch.faults:
            reply.append(codec.write_line(ident, codec.Fault(batch.faults[ident])))
        return reply

    def _decisions(self, instance: Instance) -> Iterator[codec.Reply]:
        router = instance.router
        while (decision := router.decide()) is not None:
            yield decision
        wake_at = router.wake_at
        if wake_at is not None and (instance.timer is None or wake_at < instance.timer):
            instance.timer = wake_at
            instance.cookie += 1
            yield codec.Wake(max(MIN_DELAY, wake_at - self.now), instance.cookie)

    # ---- events ----

    def _apply_event(self, lines: Lines, name: str, values: list[str], batch: Batch) -> None:
        if name == "POWER_ON":
            self._start(values, batch)
            return
        if name not in codec.EVENTS:
            raise InvalidInputError(f"{name[: codec.MAX_TEXT_SHOWN]!r}, expected an event or END")
        event_line = self.line_number
        ident, *fields = codec.read_values(name, values, codec.EVENTS[name])
        instance = self.instances.get(ident)
        if instance is None:
            raise InvalidInputError(f"{name}: the instance {ident} is not known, expected one that was started")
        if name == "HALT":
            del self.instances[ident]
            batch.touched.pop(ident, None)
            return
        if name == "FLEET":
            mode, revision, entries = fields
            fields = [mode, revision, self._endpoints(lines, entries or 0)]
        batch.touched[ident] = None
        try:
            self._inform(instance, name, fields)
        except InvalidInputError as error:
            raise InvalidInputError(f"line {event_line}: {error}") from None
        except Exception as error:  # noqa: BLE001 - as above
            batch.fail(ident, error)

    def _start(self, values: list[str], batch: Batch) -> None:
        if len(values) < 2:
            raise InvalidInputError("POWER_ON: expected an instance, a seed and the settings")
        ident, seed = codec.read_values("POWER_ON", values[:2], (("instance", count), ("seed", count)))
        settings = from_pairs(values[2:])
        router = Router(self.now, seed, request_classes(settings), router_settings(settings))
        batch.touched[ident] = None
        self.instances[ident] = Instance(router)

    def _endpoints(self, lines: Lines, entries: int) -> list[Endpoint]:
        endpoints = []
        for _ in range(entries):
            name, values = self._next_line(lines)
            if name != "ROW":
                raise InvalidInputError(f"{name[: codec.MAX_TEXT_SHOWN]!r}, expected a ROW ({entries} were announced)")
            endpoints.append(codec.read_endpoint(values))
        return endpoints

    def _inform(self, instance: Instance, name: str, fields: list[Any]) -> None:  # noqa: C901 - one case for each event
        """Passes one event to the router."""
        router = instance.router
        router.advance(self.now)
        match name, fields:
            case "NEW_REQUEST", _:
                _request_received(router, fields)
            case "REPORT_BACK", [ident, number, _, outcome, _, last, note, report]:
                load_note, concurrent = codec.read_note(note)
                load = _worker_load(router, report)
                router.attempt_finished(AttemptFinished(ident, number, outcome, last, load_note, concurrent, load))
            case "FIRST_BYTE", [ident, number, _, _]:
                router.answer_begun(ident, number)
            case "ABORTED", [ident]:
                router.client_gone(ident)
            case "WAKEUP", [cookie]:
                if cookie == instance.cookie:
                    instance.timer = None
            case "PING_RESULT", [worker, outcome, _, report]:
                router.health_checked(worker, outcome, _worker_load(router, report))
            case "BROUGHT_UP", [outcome, worker, replicas, latency, function]:
                router.prewarm_finished(worker, function, outcome, replicas, latency)
            case "FLEET", [mode, _, endpoints]:
                router.endpoints_changed(endpoints, {"0": False, "3": None}.get(mode, True))
            case "MEMO", _:
                pass  # instances exchange nothing


def _request_received(router: Router, fields: list[Any]) -> None:
    ident, bits, left, request_class, function, work, _, memory, load, concurrency = fields
    if request_class >= len(router.request_classes):
        raise InvalidInputError(f"NEW_REQUEST: class is {request_class}, expected one of the settings")
    received = RequestReceived(
        ident=ident,
        time_left=left,
        request_class=router.request_classes[request_class],
        function_name=function,
        memory=memory,
        concurrency=max(1, int(concurrency)),
        load_hint=load,
        work=work if bits & codec.WORK_IS_KNOWN else None,
        is_repeat=bool(bits & codec.IS_REPEAT),
    )
    router.request_received(received)


def _worker_load(router: Router, values: tuple[float, ...] | None) -> WorkerLoad | None:
    return WorkerLoad.from_values(router.instance.report_fields, values)

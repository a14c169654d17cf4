"""Hosts many front ends that share nothing and hands each batch's events to them."""

import math
from collections.abc import Iterable, Iterator

from wickdyke.simulator import codec
from wickdyke.routing.router import Router
from wickdyke.settings.terms import BadInput, paired, start


class Instance:
    """One front end and the timers the wire holds for it."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.timer: float | None = None
        self.cookie = 0


class Host:
    """The instances of this process."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.now = -math.inf

    def replies(self, source: Iterable[str]) -> Iterator[str]:
        """One reply for each batch."""
        lines = codec.frames(source)
        for at, (name, *values) in lines:
            try:
                self.at = at
                yield self._batch(lines, name, values)
            except BadInput as bad:
                text = str(bad)
                raise BadInput(text if text.startswith("line ") else f"line {self.at}: {text}") from None

    def _batch(self, lines: Iterator, name: str, values: list[str]) -> str:
        if name != "MARK":
            raise BadInput(f"{name[:40]!r}, expected MARK")
        (now,) = codec.parts("MARK", values, (("clock", codec.span),))
        if now < self.now:
            raise BadInput(f"MARK: the clock is {now}, expected at least {self.now}")
        self.now = now
        touched: dict[int, None] = {}
        faults: dict[int, str] = {}
        while True:
            name, values = self._line(lines)
            if name == "END":
                if values:
                    raise BadInput("END: expected no values")
                break
            self._event(lines, name, values, touched, faults)
        reply = []
        for ident in touched:
            instance = self.instances.get(ident)
            if instance is not None and ident not in faults:
                try:
                    reply += [codec.line(ident, decision) for decision in self._decisions(instance)]
                except Exception as error:  # whatever goes wrong inside one instance is that instance's fault
                    faults[ident] = f"{type(error).__name__}: {error}"
            if ident in faults:
                reply.append(codec.line(ident, codec.Fault(faults[ident])))
        return "".join(reply) + "ACK\n"

    def _line(self, lines: Iterator) -> tuple[str, list[str]]:
        for self.at, (name, *values) in lines:
            return name, values
        raise BadInput(f"line {self.at + 1}: the input stops inside a batch, expected END")

    def _decisions(self, instance: Instance) -> Iterator[codec.Reply]:
        router = instance.router
        while (decision := router.decide()) is not None:
            yield decision
        wake = router.wake_at
        if wake is not None and (instance.timer is None or wake < instance.timer):
            instance.timer = wake
            instance.cookie += 1
            yield codec.Wake(max(0.001, wake - self.now), instance.cookie)

    def _event(self, lines: Iterator, name: str, values: list[str], touched: dict, faults: dict) -> None:
        at = self.at
        if name == "POWER_ON":
            if len(values) < 2:
                raise BadInput("POWER_ON: expected an instance, a seed and the settings")
            ident, seed = codec.parts(name, values[:2], (("instance", codec.count), ("seed", codec.count)))
            terms = start(paired(values[2:]))
            touched[ident] = None
            self.instances[ident] = Instance(Router(self.now, seed, **terms))
            return
        if name not in codec.EVENTS:
            raise BadInput(f"{name[:40]!r}, expected an event or END")
        fields = codec.parts(name, values, codec.EVENTS[name])
        ident = fields[0]
        instance = self.instances.get(ident)
        if instance is None:
            raise BadInput(f"{name}: the instance {ident} is not known, expected one that was started")
        if name == "HALT":
            del self.instances[ident]
            touched.pop(ident, None)
            return
        if name == "FLEET":
            fields[3:] = [self._rows(lines, fields[3] or 0)]
        touched[ident] = None
        try:
            self._pass_on(instance, name, fields[1:])
        except BadInput as bad:
            raise BadInput(f"line {at}: {bad}") from None
        except Exception as error:  # as above
            faults[ident] = f"{type(error).__name__}: {error}"

    def _rows(self, lines: Iterator, entries: int) -> list:
        rows = []
        for _ in range(entries):
            name, values = self._line(lines)
            if name != "ROW":
                raise BadInput(f"{name[:40]!r}, expected a ROW ({entries} were announced)")
            rows.append(codec.listing(values))
        return rows

    def _pass_on(self, instance: Instance, name: str, values: list) -> None:
        router = instance.router
        router.advance(self.now)
        match name, values:
            case "NEW_REQUEST", [ident, bits, left, method, program, work, _, memory, load, lanes]:
                if method >= len(router.request_classes):
                    raise BadInput(f"NEW_REQUEST: class is {method}, expected one of the settings")
                router.request_received(
                    ident,
                    left,
                    router.request_classes[method],
                    program,
                    memory,
                    max(1, int(lanes)),
                    load,
                    work if bits & 1 else None,
                    bool(bits & 2),
                )
            case "REPORT_BACK", [ident, number, _, outcome, _, complete, note, report]:
                standing, company = codec.note(note)
                router.attempt_finished(ident, number, outcome, complete, standing, company, report)
            case "FIRST_BYTE", [ident, number, _, _]:
                router.answer_begun(ident, number)
            case "ABORTED", [ident]:
                router.client_gone(ident)
            case "WAKEUP", [cookie]:
                if cookie == instance.cookie:
                    instance.timer = None
            case "PING_RESULT", [worker, outcome, _, report]:
                router.health_checked(worker, outcome, report)
            case "BROUGHT_UP", [outcome, worker, copies, latency, program]:
                router.prewarm_finished(worker, program, outcome, copies, latency)
            case "FLEET", [mode, _, rows]:
                router.endpoints_changed(rows, {"0": False, "3": None}.get(mode, True))
            case "MEMO", _:
                pass  # front ends have nothing to tell each other

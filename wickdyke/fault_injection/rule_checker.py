"""Judges the five rules from a merged trace alone. Pure: lines in, findings out.

It sees what clients and workers saw. Between a gateway's send and a worker's note of it lies the way and the
reader's turn on the machine: `transit` (ms, from the trace's terms) is allowed for it, and only for it.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

NEVER_RAN = frozenset({"full", "miss"})
RULES = {
    1: "no RPC lost",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold worker pushed over",
    5: "load orders rationed",
}


@dataclass(slots=True, frozen=True)
class Finding:
    """A rule broken, and the line that shows it."""

    rule: int
    t: float
    by: str
    n: int
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule} ({RULES[self.rule]}) broken at {self.by} line {self.n}, {self.t:.3f} ms: {self.text}"


@dataclass(slots=True)
class Run:
    """A call-out as its worker saw it."""

    entry: dict
    worker: str
    ended: float | None = None
    how: str | None = None
    free: float | None = None


@dataclass(slots=True)
class ObservedRequest:
    """An RPC as its client saw it."""

    entry: dict
    answers: list[dict] = field(default_factory=list)
    lost: dict | None = None


def _finding(rule: int, entry: dict, text: str) -> Finding:
    return Finding(rule, entry["t"], entry["by"], entry["n"], text)


class RuleChecker:
    """Reads a trace once; `findings` are the rules broken, in the order of time."""

    def __init__(self, trace: list[dict]) -> None:
        self.findings: list[Finding] = []
        terms = next((entry for entry in trace if entry["what"] == "terms"), None)
        if terms is None:
            raise ValueError("found no terms in the trace, expected the line that states them")
        self.terms, self.transit = terms, terms.get("transit", 0.0)
        self.asked: dict[str, ObservedRequest] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.down: dict[str, list[float]] = defaultdict(list)  # when a gateway was killed
        self.dead: dict[str, list[float]] = defaultdict(list)  # when a worker was
        self._gather(trace)
        for mark, asked in self.asked.items():
            self._one_answer(mark, asked)
        for mark, runs in self.runs.items():
            self._no_effect_twice(mark, runs)
        self._drains(trace)
        self._cold(trace)
        self._ration(trace)
        self.findings.sort(key=lambda f: (f.t, f.rule, f.by, f.n))

    def _gather(self, trace: list[dict]) -> None:
        # Danger: one RPC may be out at a worker a second time, over another connection, before the cancel of the
        # first is noted there. Workers number what they hold, and an end or cancel belongs to its number.
        open_runs: dict[tuple, list[Run]] = defaultdict(list)
        for entry in trace:
            match entry["what"]:
                case "asked":
                    self.asked[entry["mark"]] = ObservedRequest(entry)
                case "answered":
                    if entry["mark"] in self.asked:
                        self.asked[entry["mark"]].answers.append(entry)
                    else:
                        self.findings.append(_finding(1, entry, f"{entry['mark']} answered and never asked"))
                case "lost" if entry["mark"] in self.asked:
                    self.asked[entry["mark"]].lost = entry
                case "run":
                    run = Run(entry, entry["by"])
                    self.runs[entry["mark"]].append(run)
                    open_runs[entry["by"], entry["mark"], entry.get("job")].append(run)
                case "end" | "cancel":
                    for run in open_runs[entry["by"], entry["mark"], entry.get("job")][-1:]:
                        if entry["what"] == "end" and run.how is None:
                            run.ended, run.how = entry["t"], entry["how"]
                        if entry["what"] == "cancel" or entry["how"] != "lost":
                            run.free = entry["t"] if run.free is None else run.free
                case "gateway-killed":
                    self.down[entry["gateway"]].append(entry["t"])
                case "worker-killed" | "fell":
                    self.dead[entry.get("worker", entry["by"])].append(entry["t"])

    # ---- rule 1 ----

    def _one_answer(self, mark: str, asked: ObservedRequest) -> None:
        entry, ends = asked.entry, asked.entry["t"] + asked.entry["left"]
        if not asked.answers:
            lost = asked.lost
            killed = any(
                entry["t"] - self.transit <= at <= (lost["t"] if lost else ends) + self.transit
                for at in self.down[entry["gateway"]]
            )
            if not killed:
                self.findings.append(_finding(1, lost or entry, f"{mark} got no answer"))
            return
        first, *more = asked.answers
        if first["answer"] not in ("ok", "denied", "aborted"):
            self.findings.append(_finding(1, first, f"{mark} answered {first['answer']}"))
        if first["t"] > ends:
            self.findings.append(_finding(1, first, f"{mark} answered {first['t'] - ends:.3f} ms late"))
        for each in more:
            self.findings.append(_finding(1, each, f"{mark} answered again: {each['answer']}"))

    # ---- rule 2 ----

    def _free_at(self, run: Run) -> float | None:
        """When the call-out was out no more: answered, cancelled, or its worker or gateway was gone."""
        died = [
            at for at in self.dead[run.worker] + self.down[run.entry["gateway"]] if at >= run.entry["t"] - self.transit
        ]
        times = [at for at in (run.free, min(died, default=None)) if at is not None]
        return min(times, default=None)

    def _no_effect_twice(self, mark: str, runs: list[Run]) -> None:
        asked = self.asked.get(mark)
        if asked is None:
            self.findings.append(_finding(2, runs[0].entry, f"{mark} was called out and never asked"))
            return
        method = self.terms["methods"][asked.entry["method"]]
        for at, run in enumerate(runs):
            t = run.entry["t"]
            for earlier in runs[:at]:
                free = self._free_at(earlier)
                if not self.terms["overlap"] and (free is None or free > t + self.transit):
                    self.findings.append(_finding(2, run.entry, f"{mark} was out at {earlier.worker} as well"))
                if earlier.how in NEVER_RAN and earlier.ended <= t + self.transit:
                    continue
                if method["effect"] == "side-effecting":
                    self.findings.append(_finding(2, run.entry, f"{mark} may have run at {earlier.worker}"))
                elif method["effect"] == "tokened":
                    self._token(mark, method, earlier, run)
        for answer in (a for a in asked.answers if a["answer"] == "denied"):
            ran = [run for run in runs if run.how not in NEVER_RAN]
            if ran and (
                method["effect"] == "side-effecting" or method["effect"] == "tokened" and method["scope"] != "all"
            ):
                self.findings.append(_finding(2, answer, f"{mark} denied, may have run at {ran[0].worker}"))

    def _token(self, mark: str, method: dict, earlier: Run, run: Run) -> None:
        late = run.entry["t"] - earlier.entry["t"] - method["window"]
        if late > self.transit:
            self.findings.append(_finding(2, run.entry, f"{mark} sent again {late:.3f} ms past its window"))
        groups = [self.terms["workers"][each.worker].get(method["scope"]) for each in (earlier, run)]
        if method["scope"] != "all" and groups[0] != groups[1]:
            self.findings.append(
                _finding(2, run.entry, f"{mark} sent from {method['scope']} {groups[0]} to {groups[1]}")
            )

    # ---- rule 3 ----

    def _drains(self, trace: list[dict]) -> None:
        grace, told = self.terms["drain_grace"] + self.transit, {}
        for entry in trace:
            if entry["what"] == "told":
                if entry["state"] == "ready":
                    told.pop(entry["worker"], None)
                else:
                    told.setdefault(entry["worker"], entry["t"])
            elif entry["what"] == "run" or entry["what"] == "hold" and entry["copies"] > 0:
                since = told.get(entry["by"])
                if since is not None and entry["t"] > since + grace:
                    self.findings.append(
                        _finding(
                            3,
                            entry,
                            f"{entry['what']} {entry['t'] - since:.3f} ms after "
                            f"{entry['by']} was told to drain or be gone",
                        )
                    )

    # ---- rule 4 ----

    def _cold(self, trace: list[dict]) -> None:
        warmup = self.terms["warmup"]
        started: dict[str, dict] = {}
        sent: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for entry in trace:
            by = entry["by"]
            if entry["what"] == "started":
                started[by] = entry
                sent[by] = []
            elif entry["what"] == "fell":
                self.findings.append(_finding(4, entry, f"{by} fell over"))
            elif entry["what"] == "run" and by in started and started[by].get("cold"):
                age = entry["t"] - started[by]["t"]
                if age >= warmup["ramp"]:
                    continue
                sent[by].append((entry["t"], entry["work"]))
                share = warmup["start_share"] + (1 - warmup["start_share"]) * age / warmup["ramp"]
                stands = warmup["multiple"] * share * self.terms["workers"][by]["capacity"] * warmup["window"]
                got = sum(work for at, work in sent[by] if at > entry["t"] - warmup["window"])
                if got > stands:
                    self.findings.append(
                        _finding(
                            4,
                            entry,
                            f"{by}, {age:.0f} ms old, was sent {got:.1f} ms of work "
                            f"in {warmup['window']:g} ms and stands {stands:.1f}",
                        )
                    )

    # ---- rule 5 ----

    def _ration(self, trace: list[dict]) -> None:
        ration = self.terms["ration"]
        if not ration["window"]:
            return
        taken: dict[str, list[float]] = defaultdict(list)
        orders: dict[str, list[float]] = defaultdict(list)
        for entry in trace:
            if entry["what"] == "gateway-started":  # a new one: it knows of no order before its start
                taken[entry["gateway"]], orders[entry["gateway"]] = [], []
            elif entry["what"] == "asked":
                taken[entry["gateway"]].append(entry["t"])
            elif entry["what"] == "hold" and entry["copies"] > 0:
                name, t = entry["gateway"], entry["t"]
                orders[name].append(t)
                mine, rpcs = orders[name], taken[name]
                many = len(mine) - bisect_right(mine, t - ration["window"] + self.transit)
                took = bisect_right(rpcs, t) - bisect_left(rpcs, t - ration["window"] - self.transit)
                if many > ration["free"] + ration["share"] * took + 1e-9:
                    self.findings.append(
                        _finding(
                            5, entry, f"{name} ordered {many} loads in {ration['window']:g} ms with {took} RPCs taken"
                        )
                    )

    # ---- what became of the RPCs ----

    def outcomes(self) -> dict[str, Counter]:
        """Per method: asked, in time (ok within the soft deadline), ok late, denied, aborted, lost."""
        table: dict[str, Counter] = defaultdict(Counter)
        for asked in self.asked.values():
            counts = table[asked.entry["method"]]
            counts["asked"] += 1
            if not asked.answers:
                counts["lost"] += 1
                continue
            answer, took = asked.answers[0]["answer"], asked.answers[0]["t"] - asked.entry["t"]
            soft = self.terms["methods"][asked.entry["method"]]["soft"]
            counts["ok in time" if answer == "ok" and took <= soft else "ok late" if answer == "ok" else answer] += 1
        return dict(table)

    def latencies(self) -> dict[str, list[float]]:
        """Per method: how long each ok answer took, ms."""
        table: dict[str, list[float]] = defaultdict(list)
        for asked in self.asked.values():
            if asked.answers and asked.answers[0]["answer"] == "ok":
                table[asked.entry["method"]].append(asked.answers[0]["t"] - asked.entry["t"])
        return dict(table)

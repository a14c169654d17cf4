"""Every decision of a wickdyke front end, with its tables and tuned values.

A host makes a FrontEnd, tells it the time (woke) and what happens (listed, took, ended, held, probed, left):
these only update the books. Then it calls decide() until that returns None: plain tuples of a verb (call,
cancel, deny, abort, hold, probe, follow_list, note) and objects of wickdyke/interface.py, where the shared
types stand. wake_at is when to call woke next. Times are float ms of the host; ids stay at this door.
"""

from collections import deque
from dataclasses import replace
from math import ceil, log, sqrt

from wickdyke.chance import Chance, draw
from wickdyke.interface import RPC, Allowance, CallOut, Decision, Directory, Listing, Method, Place
from wickdyke.interface import Program, Ration, Seat, Stock, Tariff, Warmup, Worker
from wickdyke.interface import begin, empty, end, forget, place_of

# ---- books ----
KEPT, KEPT_CALLS, KEPT_RATIOS = 16, 64, 40  # samples kept of most things; calls; latencies of a worker
NEVER_RAN = frozenset({"full", "unreached", "unsent", "miss"})  # outcomes that prove it


def lot(program: Program, worker: Worker) -> float:
    """A draw that hangs on the two names alone, so that front ends that share nothing draw alike."""
    ident = worker.listing.ident
    if ident not in program.lots:  # larger workers win more often
        program.lots[ident] = -log(draw(f"{program.name}/{ident}")) / max(worker.listing.size, 1e-6)
    return program.lots[ident]


def mean(samples, absent: float) -> float:
    return sum(samples) / len(samples) if samples else absent


def lanes(place: Place) -> int:
    return max(1, place.standing) * place.program.lanes


def busy_share(worker: Worker) -> float:
    return mean([report.get("busy", 0.0) for _, report, _ in worker.reports], 0.0)


# ---- latency ----
SAMPLE_AGE, PRIOR = 15000.0, 6.0  # ms for which samples count; samples' worth of its kind's in each pace
COST_GUESS = 0.25  # of the soft deadline: the work of an RPC of a method never heard of
LOAD_GUESS, LOAD_LEAST = 1000.0, 50.0  # ms a load takes until one was seen; under which none was
KEPT_WIDTHS, WIDTH_GUESS, WIDTH_LOW = 400, 4.0, 0.1  # samples; RPCs at once until then; part to be under
OVERDUE, OVERDUE_LEAST = 3.0, 400.0  # a silent call-out is evidence after so many times its due, and ms


def overdue(call_out: CallOut, now: float) -> bool:
    return now - call_out.sent > max(OVERDUE_LEAST, (OVERDUE if call_out.warm else 1.0) * call_out.expected)


def working(worker: Worker, now: float) -> int:
    """Our call-outs that take its cores: not those that wait for a load, known or by their age."""
    return sum(co.warm and not overdue(co, now) for co in worker.out)


class Latency:
    """Round trip plus run time as measured, against what the same RPC takes on the average worker."""

    def __init__(self, stock: Stock, seat: Seat) -> None:
        self.idle_life, self.tells = stock.idle_life, stock.tells_standing
        self.report, self.front_ends = seat.report, seat.of
        self.average, self.width_each, self.kinds = 1.0, 0.0, {}
        self.loads, self.widths = deque(maxlen=KEPT), deque(maxlen=KEPT_WIDTHS)

    def cost(self, rpc: RPC) -> float:
        return self.usual(rpc.program) if rpc.work is None else max(1.0, rpc.work)

    def usual(self, program: Program) -> float:
        usual = mean(program.method.times, program.method.soft * COST_GUESS)
        return (sum(program.times) + usual) / (len(program.times) + 1)

    def pace(self, worker: Worker, now: float) -> float:
        fresh = [(ms, cost) for at, ms, cost in worker.ratios if now - at < SAMPLE_AGE] or [(0.0, 0.0)]
        took, cost = (sum(sample) for sample in zip(*fresh, strict=True))
        prior = PRIOR * cost / len(fresh) or 1.0  # so an unheard worker counts as average
        return (took + prior * self.usual_pace(worker)) / (cost + prior)

    def usual_pace(self, worker: Worker) -> float:
        return self.kinds.get(worker.listing.kind, self.average)

    def width(self, worker: Worker) -> float:
        return max(1.0, self.width_each * worker.listing.size)

    def survey(self, workers: list[Worker], now: float) -> None:
        kinds = {worker.listing.kind: [0.0, 0.0] for worker in workers}
        for worker in workers:
            fresh = [(ms, cost) for at, ms, cost in worker.ratios if now - at < SAMPLE_AGE]
            pool = kinds[worker.listing.kind]
            pool[:] = pool[0] + sum(ms for ms, _ in fresh), pool[1] + sum(cost for _, cost in fresh)
        cost = sum(pool[1] for pool in kinds.values())
        if cost:
            self.average = sum(pool[0] for pool in kinds.values()) / cost
            part = cost / KEPT  # a kind little heard of counts as average too
            self.kinds = {k: (ms + part * self.average) / (own + part) for k, (ms, own) in kinds.items()}
        size = mean([worker.listing.size for worker in workers], 1.0)
        widths = sorted(self.widths)  # waiting for lanes and loads holds RPCs but no core: low samples tell
        self.width_each = widths[int(len(widths) * WIDTH_LOW)] if len(widths) > KEPT else WIDTH_GUESS / size

    def reported(self, worker: Worker, values: tuple[float, ...] | None, now: float) -> None:
        report, own = dict(zip(self.report, values or (), strict=False)), len(worker.out)
        if report:
            worker.reports.append((now, report, own))
        share = report.get("busy", 0.0)
        if 0.15 < share < 0.85:  # outside, queues and noise say little of the cores
            held = report["held"] if "held" in report else own * self.front_ends
            self.widths.append(max(1.0, held) / (share * worker.listing.size))

    def loaded(self, program: Program, took: float) -> None:
        for loads in (program.loads, self.loads) if took > LOAD_LEAST else ():  # else a copy stood, unknown
            loads.append(took)

    def load_time(self, program: Program) -> float:
        return max(program.load_hint, mean(program.loads, program.load_hint or mean(self.loads, LOAD_GUESS)))

    def stands(self, place: Place, now: float) -> bool:
        return place.standing > 0 and (place.out > 0 or now - place.used < self.idle_life)

    def load_left(self, place: Place, now: float) -> float:
        whole = 0.0 if self.stands(place, now) else self.load_time(place.program)
        return max(whole * 0.2, whole - (0.0 if place.loading is None else now - place.loading))

    def expect(self, place: Place, rpc: RPC, now: float) -> float:
        worker = place.worker
        run = self.cost(rpc) * self.pace(worker, now) * (1 + len(worker.out) / self.width(worker))
        ahead = max(0, place.out + 1 - lanes(place))
        lag = max((now - co.sent for co in worker.out  # a silent worker must not keep a good latency
                   if co.warm and worker.heard <= co.sent and overdue(co, now)), default=0.0)
        return run * (1 + ahead / lanes(place)) + self.load_left(place, now) + lag

    def learn(self, call_out: CallOut, standing: str | None, now: float) -> None:
        worker, rpc = call_out.place.worker, call_out.rpc
        if not call_out.warm and standing != "stood":
            return
        took = (now - call_out.sent) / (1 + call_out.crowd)  # a lane's queue is not the worker's slowness
        worker.ratios.append((now, took, self.cost(rpc)))
        for times in (rpc.program.times, rpc.method.times):
            times.append(took / self.pace(worker, now) if rpc.work is None else rpc.work)


# ---- fill ----
PERIOD, CALLS_WINDOW, RETHINK = 500.0, 8000.0, 5000.0  # ms: between fills, of calls counted, homes are kept
HEADROOM = 1.5  # standard deviations of a Poisson load kept free in lanes
TARGET, BOUND = 0.6, 0.7  # busy share to open workers for, and up to which one worker is filled
HOT, TIRED = 1.2, 0.8  # times the mean busy share, and at least this, where nothing more is placed
SLACK, STAY = 1.2, 1.4  # times its even part that a worker is given, times that that it may keep
SMALL, CLOSE = 0.15, 0.75  # of a worker's room: less may go over it; below so much of it one is given up
CAP, GRADE, CLOSE_AFTER = 2, 1.3, 4  # new holds a worker and period; latency steps of kinds; periods to close
LATENCY_WINDOW, SLOW_AFTER = 1.8, 4  # times its kind's pace, for so many periods: not low-latency any more
LOST, RENEW = 4.0, 0.7  # load times after which a load counts as lost; of the idle life: when to renew
GROWTH, SHRINK = 1.25, 0.7  # of a worker's budget, after a hold in full and after a refusal


class Fill:
    """Places each program on the fewest lowest-latency workers its demand needs, within budgets."""

    def __init__(self, latency: Latency, stock: Stock, seat: Seat) -> None:
        self.latency, self.idle_life, self.memory = latency, stock.idle_life, stock.memory
        self.front_ends, self.opened = seat.of, []
        self.count, self.calm, self.unit = 10**6, 0, 1.0

    def whole(self, listing: Listing) -> float:
        return (self.memory[listing.kind:] or self.memory or (0.0,))[0]

    def demand(self, program: Program, now: float) -> float:  # lanes busy on average
        recent = [at for at in program.calls if now - at < CALLS_WINDOW]
        span = now - recent[0] if len(recent) == KEPT_CALLS else CALLS_WINDOW
        return len(recent) / max(span, 1.0) * self.latency.usual(program) * self.latency.average

    def open(self, workers: list[Worker], total: float, memory: float) -> None:
        """The fewest lowest-latency workers that carry the fleet's load, alike for all front ends."""
        order = sorted(workers, key=lambda w: (self.grade(w), w.listing.ident))
        load = max(sum(busy_share(w) * self.carries(w) for w in order), total)
        least, ample = (next((n for n in range(1, len(order))
                              if sum(self.carries(w) for w in order[:n]) * TARGET >= need
                              and sum(w.budget for w in order[:n]) >= memory), len(order))
                        for need in (load, load / CLOSE))
        self.calm = self.calm + 1 if ample < self.count else 0
        if self.calm >= CLOSE_AFTER:
            self.count, self.calm = min(self.count, len(order)) - 1, 0
        self.count = max(least, self.count)
        self.opened = order[:self.count]

    def grade(self, worker: Worker) -> int:
        return round(log(self.latency.usual_pace(worker) / self.latency.average) / log(GRADE))

    def carries(self, worker: Worker) -> float:
        return self.latency.width(worker) / GRADE ** self.grade(worker)

    def share(self, workers: list[Worker]) -> float:
        """Our part of the fleet's load: others fill the same workers, so we plan for that part of each."""
        pairs = [(own, r["held"]) for w in workers for _, r, own in w.reports if "held" in r]
        held = sum(held for _, held in pairs)
        own = sum(own for own, _ in pairs) / held if held else 1 / self.front_ends
        return min(1.0, max(own, 1 / self.front_ends**2))

    def run(self, programs: list[Program], workers: list[Worker], well: list[Worker], now: float) -> None:
        self.latency.survey(workers, now)
        latency = self.latency
        taken = {p: self.demand(p, now) for p in programs if now - p.called < self.idle_life}
        share = self.share(workers)
        busy = sum(busy_share(w) * latency.width(w) for w in workers) * share  # crowding swells lanes only
        scale = busy / sum(taken.values()) if busy and taken else 1.0
        demand = {p: load * scale for p, load in taken.items()}
        self.open(workers, sum(demand.values()) / share, sum(p.memory for p in demand))
        for w in workers:
            w.slow = w.slow + 1 if latency.pace(w, now) > LATENCY_WINDOW * latency.usual_pace(w) else 0
        slow = {w for w in well if w.slow >= SLOW_AFTER}
        opened = [w for w in self.opened if w in well and w not in slow] or well
        even = SLACK * sum(demand.values()) / sum(self.carries(w) for w in opened)
        part = {w: max(even * self.carries(w), BOUND * share * latency.width(w))
                * (latency.average / latency.pace(w, now) if w in slow else 1.0) for w in well}
        self.unit = max(1e-9, mean([part[w] for w in opened], 1.0))
        room, budget = dict(part), {w: w.budget for w in well}
        placed = {p: [q.worker for q in p.places if q.placed and q.worker in opened]
                  for p in demand if self.front_ends == 1 or now - p.settled < RETHINK}
        hot = max(TIRED, HOT * mean([busy_share(w) for w in opened], 0.0))
        tired = slow | {w for w in well if busy_share(w) > hot}  # all see it: newcomers go elsewhere
        for program in sorted(demand, key=lambda p: (-demand[p], p.name)):
            chosen = self.put(program, demand[program], placed.get(program, []), opened, part, room, budget,
                              tired, now)
            each = demand[program] / len(chosen) / share
            copies = max(1, ceil((each + HEADROOM * sqrt(each)) / program.lanes))
            program.settled = program.settled if program in placed else now
            for worker in chosen:
                room[worker] -= demand[program] / len(chosen)
                budget[worker] -= program.memory * copies
            for place in [place_of(program, worker) for worker in chosen] and program.places:
                place.placed, place.wanted = place.worker in chosen, copies

    def put(self, program: Program, load: float, placed: list[Worker], opened: list[Worker], part: dict,
            room: dict, budget: dict, tired: set, now: float) -> list[Worker]:
        """One program's workers: those it has first, then by lot among the low-latency workers with room."""
        need = max(1, ceil(load / self.unit))
        if load > (len(placed) - 1) * self.unit * CLOSE:
            need = max(need, len(placed))
        chosen = [w for w in placed if room[w] + (STAY - 1) * part[w] >= load / need][:need]
        stands = {place.worker for place in program.places if self.latency.stands(place, now)}
        homes = {place.worker for place in program.places if place.placed}
        order = sorted((w for w in opened if w not in chosen and (w in homes or w not in tired)),
                       key=lambda w: lot(program, w))
        leeway = STAY - 1 if load / need < SMALL * self.unit else 0.0  # what is little used fills no cores
        roomy = [w for w in order if room[w] + leeway * part[w] >= load / need]
        roomy.sort(key=lambda w: budget[w] < program.memory and w not in stands)  # within budget first
        chosen += roomy[:need - len(chosen)]
        return chosen or placed[:need] or [max(order or opened, key=lambda w: (room[w], -lot(program, w)))]

    def holds(self, programs: list[Program], now: float) -> list[tuple[Place, int, bool]]:
        """Loads to order ahead and copies to renew, most called first: place, copies, whether renewal."""
        orders, new = [], {}
        for program in sorted(programs, key=lambda p: (-len(p.calls), p.name)):
            for place in program.places if now - program.called < self.idle_life else ():
                if not place.placed or place.ordered is not None or place.full_until > now:
                    continue
                stands, load = self.latency.stands(place, now), LOST * self.latency.load_time(program)
                renewal = stands and place.standing >= place.wanted
                if renewal and (now - place.used < RENEW * self.idle_life or len(program.calls) < 2):
                    continue
                if renewal or new.get(place.worker, 0) < CAP and (
                        stands or place.loading is None or now - place.loading > load):
                    new[place.worker] = new.get(place.worker, 0) + (not renewal)
                    orders.append((place, place.wanted, renewal))
        return orders


# ---- dispatch: the placed worker of lowest latency; for an unplaced program a random one with room ----
TIE, FULL_WAIT, CRAMMED = 0.02, 250.0, 1000.0  # part by which latencies tie; ms a full place, worker is left


def has_room(worker: Worker, program: Program, memory: float, now: float) -> bool:
    # Danger: with memory short each load pushes out another and RPCs ask in vain. Should also catch too many
    # loads waiting. Could hurt where full answers have another cause; copies that stand are used anyway.
    pinned = worker.reports[-1][1].get("pinned", 0.0) if worker.reports else 0.0
    return worker.crammed <= now and (not memory or pinned * memory + program.memory <= memory)


def choose(rpc: RPC, usable: list, fill: Fill, latency: Latency, chance: Chance, now: float) -> Place | None:
    program, able = rpc.program, set(usable)
    tried = {call_out.place.worker for call_out in rpc.call_outs}
    able -= {call_out.place.worker for call_out in rpc.call_outs if call_out.fled}
    roomy = {w for w in usable if has_room(w, program, fill.whole(w.listing), now)}
    trial = [w for w in usable if w.shuns and not rpc.call_outs and rpc.method.effect == "idempotent"]
    if trial:  # homes come back only after an answer
        return place_of(program, min(trial, key=lambda w: lot(program, w)))
    known = [p for p in program.places if p.worker in able and p.full_until <= now
             and working(p.worker, now) < p.worker.limit and p.out < lanes(p)]
    standing = [p for p in known if latency.stands(p, now)]
    for places in ([p for p in standing if p.placed and p.worker not in tried],
                   [p for p in standing if p.worker not in tried], standing,
                   [p for p in known if p.placed and p.worker in roomy or p.loading is not None]):
        if places:
            return min(places, key=lambda p: latency.expect(p, rpc, now) * (1 + TIE * chance.below(99) / 99))
    if any(latency.stands(p, now) for p in program.places if p.worker in able):
        return None  # copies stand, all full: a load elsewhere would come too late and crowd the store
    free = [w for w in usable if w in able and w in roomy and working(w, now) < w.limit]
    free = [w for w in free if w not in tried] or free
    low = [w for w in free if w in fill.opened] or free
    return place_of(program, min(low, key=lambda w: lot(program, w))) if low else None


# ---- health ----
EARLY, JUDGED = 0.33, 8  # of the soft deadline that answers should take on average; answers that tell it
FULL_CORES, LIMIT_LEAST = 0.85, 1.0  # busy share from which late answers tell of the worker's own queue
LIMIT_START, LESS, NEAR = 8.0, 0.5, 0.7  # call-outs out to a worker; least a cut leaves; part used to grow
SHUN, SHUN_MOST = 1500.0, 4000.0  # ms for which a worker is left alone: at first, doubled each time up to
BAD_LEAST, BAD_SHARE, BAD_AGE = 3, 0.5, 5000.0  # results that shun a worker: how many, what part, how recent
SILENT, SILENT_ONE, MUTE, SILENT_LEAST = 26.0, 6.0, 9.0, 80.0  # dues: in all, one RPC, one probe; ms of one


def paced(call_out: CallOut, outcome: str, now: float) -> None:
    # Danger: a full queue makes every answer late and retries keep it full. Should also catch a slowed
    # machine. Could hurt where answers are late for another cause than the queue.
    worker = call_out.place.worker
    if outcome != "ok" or not call_out.warm or call_out.sent < worker.lowered:  # sent before the last cut
        return
    worker.spent.append(((now - call_out.sent) / call_out.rpc.method.soft, call_out.beside))
    spent = mean([share for share, _ in worker.spent], 0.0)
    full = not worker.reports or worker.reports[-1][1].get("busy", 1.0) >= FULL_CORES
    if len(worker.spent) == JUDGED and spent > EARLY and full:  # else it was lanes or loads that kept them
        used = min(worker.limit, 1 + mean([beside for _, beside in worker.spent], 0.0))
        worker.limit, worker.lowered = max(LIMIT_LEAST, used * max(LESS, EARLY / spent)), now
        worker.spent.clear()
    elif working(worker, now) >= worker.limit * NEAR and spent <= EARLY:
        worker.limit += 1 / worker.limit


class Health:
    """Whom not to send to. Judged by symptom, whatever the cause: unreachable, failing or silent."""

    def __init__(self, note, latency: Latency) -> None:
        self.note, self.latency = note, latency

    def usable(self, worker: Worker, now: float) -> bool:
        return worker.shun_until <= now and not (worker.shuns and (worker.out or worker.mute))

    def saw(self, worker: Worker, outcome: str, now: float) -> None:
        if outcome in ("ok", "error", "full", "miss"):
            worker.heard, worker.fled, worker.mute = now, [], 0
        if outcome == "ok" and worker.shuns and worker.shun_until <= now:  # not one sent before
            worker.shuns -= 1
            if not worker.shuns:
                self.note(f"worker {worker.listing.ident} answers again")
        if outcome in ("ok", "error", "cut", "unreached", "lost"):
            worker.results.append((now, outcome == "ok"))
        recent = [good for at, good in worker.results if now - at < BAD_AGE]
        bad = recent.count(False)
        if worker.shun_until <= now and (outcome == "unreached" or outcome in ("error", "cut", "lost") and (
                bad >= BAD_LEAST and bad > BAD_SHARE * len(recent) or bad and worker.shuns)):
            self.shun(worker, now, f"{outcome}, {bad} of {len(recent)} bad")

    def silent(self, worker: Worker, now: float) -> bool:
        """It takes RPCs and says nothing: what is out, in multiples of its due, is too much for chance."""
        if worker.shuns:
            return any(self.given_up(co, now) for co in worker.out)
        out = [co for co in worker.fled + worker.out if worker.heard <= co.sent]
        dues = [((co.fled or now) - co.sent) / max(co.expected, SILENT_LEAST) for co in out if co.warm]
        return SILENT <= MUTE * worker.mute + sum(min(SILENT_ONE, due) for due in dues)

    def given_up(self, call_out: CallOut, now: float) -> bool:  # a copy pushed out would have loaded again
        late = 0.0 if call_out.place.worker.heard <= call_out.sent else OVERDUE * call_out.expected
        return now - call_out.sent > late + 2 * self.latency.load_time(call_out.rpc.program)

    def shun(self, worker: Worker, now: float, why: str) -> None:
        worker.shun_until = now + min(SHUN_MOST, SHUN * 2**worker.shuns)
        worker.shuns, worker.fled = worker.shuns + 1, []  # what they waited has been counted
        self.note(f"worker {worker.listing.ident} shunned for {worker.shun_until - now:.0f} ms: {why}")


# ---- further call-outs and denials ----


def may_have_run(rpc: RPC) -> list[CallOut]:
    return [call_out for call_out in rpc.call_outs if call_out.outcome not in NEVER_RAN]


def may_repeat(rpc: RPC, worker: Worker, most: int, now: float) -> bool:
    """Whether a further call-out may go there, by the method's effect and what the others came to."""
    ran, method, row = may_have_run(rpc), rpc.method, worker.listing
    if rpc.closed or len(rpc.call_outs) >= most or now >= rpc.ends:
        return False
    if not ran or method.effect == "idempotent":
        return True
    same = all(method.scope == "all" or getattr(co.place.worker.listing, method.scope)
               == getattr(row, method.scope) for co in ran)
    return method.effect == "tokened" and same and now < ran[0].sent + method.window


def may_deny(rpc: RPC) -> bool:
    method, ran = rpc.method, may_have_run(rpc)
    return not ran or method.effect == "idempotent" or method.effect == "tokened" and method.scope == "all"


# ---- guards ----
COLD_MARGIN, BUSY_LEAST = 0.6, 0.3  # of what a cold worker is reckoned to stand; least busy share believed
CARRIED, RATION_KEPT = 5000.0, 0.34  # ms over which others' load is counted; of the ration for new holds


class Guards:
    """The rules. Every call-out and every hold passes here, and there is no way round."""

    def __init__(self, warmup: Warmup, ration: Ration) -> None:
        self.warmup, self.ration = warmup, ration
        self.taken, self.ordered, self.carried, self.rate = deque(), deque(), deque(), 0.0

    def cold(self, worker: Worker, now: float) -> bool:
        return worker.cold_from is not None and now - worker.cold_from < self.warmup.ramp

    def survey(self, now: float) -> None:
        while self.carried and now - self.carried[0][0] > CARRIED:
            self.carried.popleft()
        by = dict.fromkeys(worker for _, _, worker in self.carried)
        busy = mean([r.get("busy", 1.0) for w in by for _, r, _ in w.reports], 1.0)
        carried = sum(cost for _, cost, _ in self.carried) / max(sum(w.listing.size for w in by), 1e-6)
        self.rate = carried / CARRIED / min(1.0, max(BUSY_LEAST, busy))

    def may_call(self, worker: Worker, rpc: RPC, now: float) -> bool:
        if worker.listing.state != "ready" or not self.cold(worker, now):
            return worker.listing.state == "ready"
        warmup, sends = self.warmup, worker.sends
        while sends and now - sends[0][0] > warmup.window:
            sends.popleft()
        share = warmup.start_share + (1 - warmup.start_share) * (now - worker.cold_from) / warmup.ramp
        stands = COLD_MARGIN * warmup.multiple * share * self.rate * worker.listing.size * warmup.window
        return not sends or sum(cost for _, cost in sends) + self.weight(rpc) <= stands

    def weight(self, rpc: RPC) -> float:
        return mean(rpc.method.times, rpc.method.soft * COST_GUESS)

    def may_hold(self, worker: Worker, renewal: bool, now: float) -> bool:
        if worker.listing.state != "ready":
            return False
        while self.taken and now - self.taken[0] >= self.ration.window:
            self.taken.popleft()
        while self.ordered and now - self.ordered[0] > self.ration.window:
            self.ordered.popleft()
        most = self.ration.free + self.ration.share * len(self.taken)
        return not self.ration.window or len(self.ordered) + 1 <= most * (1 - RATION_KEPT * renewal)


# ---- FrontEnd ----
FORGET, TICK, PROBE_EVERY = 3, 50.0, 1000.0  # idle lives a program is kept; ms between looks, probes of one


class FrontEnd:
    def __init__(self, now: float, seed: int, methods: list[Method], seat: Seat, allowance: Allowance,
                 stock: Stock, warmup: Warmup, ration: Ration, directory: Directory, tariff: Tariff) -> None:
        self.now, self.methods, self.seat, self.stock = now, methods, seat, stock
        for method in methods:
            method.times = deque(maxlen=KEPT)
        self.workers, self.programs, self.rpcs = {}, {}, {}
        self.notes, self.todo, self.waiting = deque(), deque(), []
        self.orders, self.acts, self.chance = deque(), deque(), Chance(seed)
        self.allowance, self.directory = allowance, directory
        self.latency, self.guards = Latency(stock, seat), Guards(warmup, ration)
        self.fill, self.health = Fill(self.latency, stock, seat), Health(self.notes.append, self.latency)
        self.next_fill = self.next_tick = self.wake_at = now
        self.followed = directory.pushed

    def listed(self, rows: list[Listing], whole: bool | None) -> None:
        """The worker list: whole (True), changes (False), or a failure to get it (None)."""
        self.followed = self.directory.pushed if whole is None else self.followed
        for row in rows:
            worker = self.workers.setdefault(row.ident, Worker(row))
            if not worker.budget or row.born != worker.listing.born:  # new, or the same id and empty
                empty(worker)
                worker.budget, worker.cold_from = self.fill.whole(row) / self.seat.of, row.born
                worker.ratios, worker.results = deque(maxlen=KEPT_RATIOS), deque(maxlen=KEPT // 2)
                worker.reports, worker.shuns, worker.shun_until = deque(maxlen=KEPT // 2), 0, 0.0
                worker.limit, worker.spent = LIMIT_START, deque(maxlen=JUDGED)
            worker.listing = row
        for ident, worker in list(self.workers.items()):
            if whole and ident not in {row.ident for row in rows} or worker.listing.state == "gone":
                worker.listing = replace(worker.listing, state="gone")
                forget(list(worker.places.values()))
                del self.workers[ident]

    def took(self, ident: int, left: float, method: Method, name: str, memory: float, lanes: int,
             load: float | None, work: float | None, repeat: bool) -> None:
        now, kept = self.now, (deque(maxlen=many) for many in (KEPT_CALLS, KEPT, KEPT))
        program = self.programs.get(name) or Program(name, method, memory, lanes, load or 0.0, *kept)
        self.programs[name], program.called = program, now
        program.calls.append(now)
        soft = now + min(left, method.soft + method.soft_stretch * (work or 0.0))
        self.rpcs[ident] = RPC(ident, program, method, now, now + left, soft, work, repeat)
        self.guards.taken.append(now)
        self.todo.append(self.rpcs[ident])

    def began(self, ident: int, number: int) -> None:
        if ident in self.rpcs:
            self.rpcs[ident].closed = True

    def ended(self, ident: int, number: int, outcome: str, final: bool, standing: str | None,
              company: int, report: tuple[float, ...] | None) -> None:
        now, rpc = self.now, self.rpcs.get(ident)
        if rpc is None or number >= len(rpc.call_outs):
            return
        call_out = rpc.call_outs[number]
        place, worker = call_out.place, call_out.place.worker
        call_out.warm = call_out.warm and standing not in ("began", "awaited")
        paced(call_out, outcome, now)
        end(call_out, outcome)
        rpc.closed = rpc.closed or final
        if outcome == "ok":
            self.latency.learn(call_out, standing, now)
            self.guards.carried.append((now, self.guards.weight(rpc), worker))
            if place.loading is not None and standing in ("began", None) and not call_out.warm:
                self.latency.loaded(rpc.program, now - place.loading - self.latency.cost(rpc))
            place.standing, place.used, place.loading = max(1, place.standing), now, None
        elif outcome == "miss":
            place.standing, place.loading = 0, None
        elif outcome == "full":
            place.full_until = now + FULL_WAIT
            if not company and self.stock.tells_company and not place.out:  # no copy, no memory for one
                worker.budget *= SHRINK if worker.crammed <= now else 1.0
                worker.crammed, place.standing = now + CRAMMED, 0
        elif outcome in ("unreached", "cut"):
            empty(worker)
        self.health.saw(worker, outcome, now)
        self.latency.reported(worker, report, now)
        if rpc.closed and all(co.outcome for co in rpc.call_outs):
            self.rpcs.pop(ident, None)
        elif not rpc.closed and not rpc.queued:
            rpc.queued = True
            self.todo.append(rpc)

    def left(self, ident: int) -> None:
        if rpc := self.rpcs.get(ident):
            self.close(rpc)

    def close(self, rpc: RPC) -> None:
        rpc.closed = True
        if all(co.outcome for co in rpc.call_outs):
            self.rpcs.pop(rpc.ident, None)
        elif self.allowance.cancel:
            self.acts.extend(("cancel", co) for co in rpc.call_outs if co.outcome is None)

    def held(self, worker_ident: str, name: str, outcome: str, copies: int, took: float) -> None:
        now, worker, program = self.now, self.workers.get(worker_ident), self.programs.get(name)
        place = worker and worker.places.get(program)
        if place is None:
            return
        place.ordered = place.loading = None
        if outcome == "ok":
            if not place.standing:
                self.latency.loaded(program, took)
            worker.heard, place.standing, place.used = now, copies, now
            worker.budget = min(worker.budget * GROWTH, self.fill.whole(worker.listing))
        elif outcome in ("full", "error"):
            place.standing, place.full_until = copies, now + self.stock.idle_life / 8
            worker.budget = max(worker.budget * SHRINK, program.memory)
        else:
            self.health.saw(worker, outcome, now)

    def probed(self, ident: str, outcome: str, report: tuple[float, ...] | None) -> None:
        if worker := self.workers.get(ident):
            self.latency.reported(worker, report, self.now)
            if outcome == "ok" and worker.mute:  # it speaks again: try it now
                worker.shun_until = min(worker.shun_until, self.now)
            worker.mute = worker.mute + 1 if outcome == "timeout" else 0
            if outcome == "unreached":
                self.health.saw(worker, outcome, self.now)

    def woke(self, now: float) -> None:
        self.now = now

    def decide(self) -> Decision | None:
        now = self.now
        if now >= self.next_tick:
            self.tick(now)
        while not (self.notes or self.acts) and (self.todo or self.orders):
            self.settle(self.todo.popleft(), now) if self.todo else self.order(*self.orders.popleft(), now)
        acts = self.acts
        return ("note", self.notes.popleft()) if self.notes else acts.popleft() if acts else None

    def tick(self, now: float) -> None:
        self.next_tick = self.wake_at = now + TICK
        self.acts.extend([] if self.followed else [("follow_list", True)])
        self.followed = True
        for worker in self.workers.values():
            self.rescue(worker, now)
        ready = [w for w in self.workers.values() if w.listing.state == "ready"]
        for worker in ready:
            if worker.shun_until <= now and self.health.silent(worker, now):
                self.health.shun(worker, now, f"silent with {len(worker.out)} out")
            said = worker.reports[-1][0] if worker.reports else 0.0
            if self.allowance.probe and now - max(said, worker.probe_sent) >= PROBE_EVERY:
                worker.probe_sent = now
                self.acts.append(("probe", worker))
        self.waiting.sort(key=lambda r: -r.method.gain / (1 if self.seat.by_work else self.latency.cost(r)))
        self.todo, self.waiting = deque([*self.todo, *self.waiting]), []
        if now >= self.next_fill:
            self.next_fill = now + PERIOD
            self.forget_old(now)
            programs = list(self.programs.values())
            self.guards.survey(now)
            if ready:
                self.fill.run(programs, ready, [w for w in ready if not w.shuns] or ready, now)
                self.orders = deque(self.fill.holds(programs, now) if self.stock.may_hold else ())

    def rescue(self, worker: Worker, now: float) -> None:
        # Danger: an RPC sits out its time at a worker that hangs, or waits for a load while a copy stands
        # elsewhere. Should also catch lost answers. Could hurt where a worker is only slow: work is wasted.
        for call_out in worker.out if self.allowance.cancel else ():
            rpc, silent = call_out.rpc, worker.heard <= call_out.sent
            if (rpc.closed or call_out.fled or rpc.method.effect != "idempotent"
                    or len(rpc.call_outs) >= self.allowance.call_outs):
                continue
            lost = self.health.given_up(call_out, now)
            if lost and not silent:  # Danger: a worker that answers some and loses others
                self.health.saw(worker, "lost", now)
            if lost or silent and worker.shun_until > now:
                call_out.fled = now
                worker.fled += [call_out] if worker.shun_until <= now else []
                self.acts.append(("cancel", call_out))

    def forget_old(self, now: float) -> None:  # programs wanted once must not stay in the books for ever
        for program in [p for p in self.programs.values() if now - p.called > FORGET * self.stock.idle_life]:
            if not any(place.out for place in program.places):
                forget(list(program.places))
                del self.programs[program.name]

    def settle(self, rpc: RPC, now: float) -> None:
        rpc.queued = False
        if rpc.closed or any(co.outcome is None for co in rpc.call_outs):
            return
        if now < rpc.ends - 2 * TICK:
            usable = [w for w in self.workers.values()
                      if self.guards.may_call(w, rpc, now) and self.health.usable(w, now)
                      and may_repeat(rpc, w, self.allowance.call_outs, now)]
            if place := choose(rpc, usable, self.fill, self.latency, self.chance, now):
                if (self.stock.loads_on_call or self.latency.stands(place, now)
                        or place.ordered is not None and place.ordered < now):
                    return self.call(rpc, place, now)
                if place.ordered is None:  # a call-out would miss, and might overtake the hold
                    self.order(place, 1, False, now)
            if (now + self.latency.cost(rpc) * self.latency.average < rpc.soft
                    and len(rpc.call_outs) < self.allowance.call_outs
                    and (rpc.method.effect == "idempotent" or not may_have_run(rpc))):
                rpc.queued = True
                return self.waiting.append(rpc)
        back = min(self.allowance.retry_after, self.latency.cost(rpc) * self.latency.average) or None
        self.acts.append(("deny", rpc, back) if may_deny(rpc) else ("abort", rpc))
        self.close(rpc)

    def call(self, rpc: RPC, place: Place, now: float) -> None:
        worker, warm = place.worker, self.latency.stands(place, now)
        call_out = CallOut(rpc, len(rpc.call_outs), place, now, self.latency.expect(place, rpc, now), warm,
                           max(0, place.out + 1 - lanes(place)), working(worker, now))
        begin(call_out)
        if self.guards.cold(worker, now):
            worker.sends.append((now, self.guards.weight(rpc)))
        self.acts.append(("call", rpc, worker, None))
        place.used = now if warm else place.used
        place.loading = now if not warm and place.loading is None else place.loading

    def order(self, place: Place, copies: int, renewal: bool, now: float) -> None:
        if self.guards.may_hold(place.worker, renewal, now):
            self.guards.ordered.append(now)
            place.ordered = now
            place.loading = place.loading if renewal or place.standing else now
            self.acts.append(("hold", place.worker, place.program, min(copies, 16)))

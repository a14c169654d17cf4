"""Every decision of a wickdyke front end, with its tables and tuned values.

A host makes a FrontEnd, tells it the time (woke) and what happens (listed, took, ended, held, probed, left):
that only updates the books. Then it calls decide() until that returns None: tuples of a verb and objects of
wickdyke/interface.py. wake_at is when to call woke next. Times are float ms of the host; ids stay here."""

from bisect import insort
from collections import Counter, deque
from heapq import heappush
from itertools import accumulate, islice, product
from math import ceil, gcd, inf, log, sqrt

from wickdyke.chance import Chance, draw, mark
from wickdyke.fleet import Candidates, Cell, Fleet, lot
from wickdyke.interface import RPC, Allowance, CallOut, Decision, Directory, Listing, Method, Place, Program
from wickdyke.interface import Ration, RetryBudget, Seat, Shares, Stock, Tariff, Timing, Warmup, Worker
from wickdyke.interface import begin, empty, end, place_of, rest, working
from wickdyke.samples import Recent, added, mean, pooled, trim

KEPT, KEPT_CALLS, KEPT_RATIOS, BOOKS = 16, 64, 40, 16384  # samples of most; calls; latencies; functions
ONE_CELL, CELL = 128, 48  # workers of a fleet that is one cell, in a cell of a larger one
POINTS, SPILLS, SEEN = 16, 2, 32  # of a function on the ring; further cells it may use; cells seen for a fill


SAMPLE_AGE, PRIOR, FRESH = 15000.0, 6.0, 4000.0  # ms samples count; its kind's in a pace; ms reports fade
LOAD_GUESS, LOAD_LEAST, COST_GUESS, LOADS_TOLD = 1000.0, 50.0, 0.25, 4  # ms unseen, least; of soft; loads
KEPT_WIDTHS, WIDTH_GUESS, WIDTH_LOW = 400, 4.0, 0.1  # samples; RPCs at once until then; part to be under
READING = 0.001  # ms: times are told in microseconds, and an answer within one reading took part of it
PROMISED, LOCAL = 0.8, 0.5  # of what a fleet can do, to tenants; of a zone's workers that are to be well
OVERDUE, OVERDUE_LEAST = 3.0, 400.0  # a silent call-out is evidence after so many times its due, and ms


def overdue(call_out: CallOut, now: float) -> bool:
    return now - call_out.sent > max(OVERDUE_LEAST, (OVERDUE if call_out.warm else 1.0) * call_out.expected)


class Latency:  # round trip plus run time as measured, against what the RPC takes on the average worker
    def __init__(self, stock: Stock, seat: Seat, shares: Shares) -> None:
        self.idle_life, self.report, self.promised = stock.idle_life, seat.report, sum(shares.quotas)
        self.average, self.width_each, self.kinds = 1.0, 0.0, {}
        self.loads, self.widths = deque(maxlen=KEPT), deque(maxlen=KEPT_WIDTHS)

    def cost(self, rpc: RPC) -> float:
        return self.usual(rpc.program) if rpc.work is None else max(1.0, rpc.work)

    def usual(self, program: Program) -> float:
        usual = mean(program.method.times, program.method.soft * COST_GUESS)
        return (sum(program.times) + usual) / (len(program.times) + 1)

    def pace(self, worker: Worker) -> float:
        prior = PRIOR * worker.work / (len(worker.ratios) or 1) or 1.0  # an unheard worker counts as average
        return (worker.took + prior * self.usual_pace(worker)) / (worker.work + prior)

    def usual_pace(self, worker: Worker) -> float:
        return self.kinds.get(worker.listing.kind, self.average)

    def width(self, worker: Worker) -> float:
        return max(1.0, self.width_each * worker.listing.size)

    def survey(self, cell: Cell, cells: list[Cell], each: float, now: float) -> None:  # each: ms, usual RPC
        workers, cell.pool = cell.ready, {worker.listing.kind: (0.0, 0.0) for worker in cell.ready}
        for worker in (worker for worker in workers if worker.ratios):
            worker.weigh(now - SAMPLE_AGE)
            ms, work = cell.pool[worker.listing.kind]
            cell.pool[worker.listing.kind] = ms + worker.took, work + worker.work
        kinds = added(each.pool for each in cells)  # of all cells, each as of its last survey
        if cost := sum(pool[1] for pool in kinds.values()):
            self.average = sum(pool[0] for pool in kinds.values()) / cost
            part = cost / KEPT  # a kind little heard of counts as average too
            self.kinds = {k: (ms + part * self.average) / (own + part) for k, (ms, own) in kinds.items()}
        size = mean([worker.listing.size for worker in workers], 1.0)
        widths = sorted(self.widths)  # waiting for lanes and loads holds RPCs but no core: low samples tell
        # Danger: reports of busy or of held alone tell nothing of cores. What tenants are promised does. Also
        # catches the first seconds. Hurts where far less or more is promised than the fleet can do.
        promised = self.promised / 1000 * each / PROMISED / max(1, sum(len(each.ready) for each in cells))
        self.width_each = (widths[int(len(widths) * WIDTH_LOW)] if len(widths) > KEPT
                           else (promised or WIDTH_GUESS) / size)

    def reported(self, worker: Worker, values: tuple[float, ...] | None, now: float) -> None:
        report, own = dict(zip(self.report, values or (), strict=False)), len(worker.out)
        if "held" in report and 0.15 < report.get("busy", 0.0) < 0.85:  # else queues, noise say little
            self.widths.append(max(1.0, report["held"]) / (report["busy"] * worker.listing.size))
        if "held" in report:  # each stands in for the other where only one is told
            report.setdefault("busy", min(1.0, report["held"] / self.width(worker)))
        elif "busy" in report:
            report["held"] = report["busy"] * self.width(worker) + report.get("queue", 0.0)
        if report:
            worker.open_books(BOOK)
            worker.reports.append((now, report, own))
            worker.busy = mean([r["busy"] for _, r, _ in worker.reports if "busy" in r], 0.0)

    def loaded(self, program: Program, took: float, began: bool = False) -> None:
        for loads in (program.loads, self.loads) if began or took > LOAD_LEAST else ():  # else one stood
            loads.append(max(1.0, took))

    def load_time(self, program: Program) -> float:
        # Danger: a hint far too long keeps RPCs at silent workers for two such loads. Also catches packages
        # that grow smaller. Hurts where the first few loads came from a cache.
        hint = program.load_hint if len(program.loads) < LOADS_TOLD else 0.0
        return max(hint, mean(program.loads, program.load_hint or mean(self.loads, LOAD_GUESS)))

    def stands(self, place: Place, now: float) -> bool:
        return place.standing > 0 and (place.out > 0 or now - place.used < self.idle_life)

    def load_left(self, place: Place, now: float) -> float:
        whole = 0.0 if self.stands(place, now) else self.load_time(place.program)
        return max(whole * 0.2, whole - (0.0 if place.loading is None else now - place.loading))

    def expect(self, place: Place, rpc: RPC, now: float) -> float:
        worker, (at, report, own) = place.worker, (place.worker.reports or [(0.0, {}, 0)])[-1]
        others = max(0.0, report.get("held", 0.0) - own) * max(0.0, 1 - (now - at) / FRESH)
        crowd = 1 + (len(worker.out) + others) / self.width(worker)
        return self.cost(rpc) * self.pace(worker) * crowd + self.load_left(place, now)

    def learn(self, call_out: CallOut, outcome: str, now: float) -> None:
        # Danger: one grows slower, what was given up never tells. Also lost answers. Hurts if all lose some.
        worker, rpc, took = call_out.place.worker, call_out.rpc, max(READING, now - call_out.sent)
        if outcome == "ok" or outcome in ("timeout", "cancelled") and took > call_out.expected:
            least = took if outcome == "ok" else min(took, OVERDUE * call_out.expected)  # given up: at least
            worker.ratios.append((now, least, self.cost(rpc)))
            worker.weigh(now - SAMPLE_AGE)
        for times in (rpc.program.times, rpc.method.times) if outcome == "ok" and rpc.work is None else ():
            times.append(took / self.pace(worker))


PERIOD, RETHINK, LOOKS = 500.0, 5000.0, 8  # ms: between fills, homes are kept; workers looked at for one RPC
TARGET, BOUND, HEADROOM = 0.4, 0.7, 1.5  # busy share to open workers, to fill one for; deviations kept free
SLACK, STAY = 1.2, 1.4  # times its even part that a worker is given, times that that it may keep
SMALL, CLOSE, HOT, TIRED = 0.15, 0.75, 1.2, 0.8  # of room: may go over, given up; of mean busy share; least
CROWDED, EASED, BELOW, NEXT = 0.85, 0.75, 0.2, 0.125  # busy share of ours; less of others; their first part
SPREAD = 0.2  # of a worker's part that one program is to take, where no company tells how wanted it is
LOST, RENEW, YOUNG = 4.0, 0.7, 1000.0  # load times till a load is lost; of the idle life; ms of age at least
GROWTH, SHRINK, KEEPERS = 1.25, 0.7, 3.0  # of budgets at holds, refusals; others' calls in an idle life
CAP, GRADE = 2, 1.3  # holds a worker, period; latency steps


class Fill:  # places the functions of a cell on the fewest lowest-latency workers needed, within budgets
    def __init__(self, cell: Cell, latency: Latency, stock: Stock, seat: Seat, tariff: Tariff,
                 since: float) -> None:
        self.cell, self.asks = cell, not stock.loads_on_call  # a call-out that misses costs a round trip only
        self.zone, self.since = seat.zone if tariff.crossing > 0 and self.asks else None, since
        self.reach = self.drawn = 0.0  # how much workers of other zones count beside ours
        self.latency, self.idle_life, self.stock = latency, stock.idle_life, stock
        self.opened, self.known, self.carries, self.unit, self.hot, self.part = {}, [], {}, 1.0, inf, 1.0
        self.candidates = Candidates([])
        self.front_ends, self.count, self.tells = seat.of, 10**6, stock.tells_company

    def demand(self, program: Program, now: float) -> float:  # lanes busy on average
        recent = [at for at in program.calls if now - at < self.idle_life]
        # Danger: just started, few calls look like little demand, and all go to one home. Hurts nowhere.
        span = now - recent[0] if len(recent) == KEPT_CALLS else min(self.idle_life, now - self.since + YOUNG)
        return len(recent) / max(span, 1.0) * max(self.latency.usual(program) * self.latency.average, 1e-9)

    def wide(self, program: Program, own: float, share: float) -> float:  # the fleet's lanes busy with it
        # Danger: each of many loads what few want. Also catches uneven traffic. Hurts if company lags a rise.
        ours, counts = own / share, Counter(worker for worker, _ in program.company)
        near = sum(many / counts[worker] for worker, many in program.company)  # over the workers we met
        if not counts:
            return own if self.tells else ours
        calls = own * self.idle_life / self.latency.usual(program) / self.latency.average
        doubt, other = ours**2 * (1 - share) / calls, (near + 1 / KEPT) * len(counts) / len(program.company)
        return (ours * other + near * doubt) / (doubt + other)

    def open(self, workers: list[Worker], load: float, memory: float) -> list[Worker]:  # alike for all
        paces = {w.listing.kind: self.latency.usual_pace(w) / self.latency.average for w in workers}
        grades = {kind: round(log(pace) / log(GRADE)) for kind, pace in paces.items()}
        order = sorted(workers, key=lambda w: (grades[w.listing.kind], w.listing.ident))
        carries = self.carries = {w: self.latency.width(w) / GRADE ** grades[w.listing.kind] for w in order}

        power, room = accumulate(carries[w] * TARGET for w in order), accumulate(w.budget for w in order)
        sums = list(zip(power, room, strict=True))

        def enough(need: float) -> int:
            return next((n for n, (p, m) in enumerate(sums, 1) if p >= need and m >= memory), len(sums))

        self.count -= enough(load / CLOSE) < self.count  # one a period, and only with room to spare
        self.count = max(enough(load), min(self.count, len(order)))
        return order[:self.count]

    def share(self, workers: list[Worker], own: float, even: float) -> float:  # our part of their lanes busy
        held = [r["held"] for w in workers for _, r, _ in w.reports if "held" in r]
        part = min(1.0, own / max(mean(held, 0.0) * len(workers), own, 1e-9))  # few reports: an even part
        return (part * len(held) + KEPT * even) / (len(held) + KEPT)

    def know(self, now: float) -> list[Worker]:  # those that it places on
        # Danger: where crossing costs, homes all over make call-outs cross: so each zone is a fleet.
        # Others count in part while ours is more crowded. Hurts where copies in each zone crowd memory.
        workers = self.cell.ready
        own = [w for w in workers if self.zone in (None, w.listing.zone)]
        heard = [w for w in workers if w.reports and now - w.reports[-1][0] < SAMPLE_AGE]
        mine = mean([w.busy for w in heard if w.listing.zone == self.zone], 0.0)
        far = mean([w.busy for w in heard if w.listing.zone != self.zone], 0.0)
        if mine >= CROWDED and far < mine - BELOW:
            self.reach = min(1.0, max(NEXT, 2 * self.reach))
        elif mine < EASED or far > mine:
            self.reach *= 0.5 * (self.reach > NEXT)
        reach = self.reach if sum(not w.shuns for w in own) > LOCAL * len(own) else 1.0
        if (near := list(workers) if reach else own) != self.known or reach != self.drawn:
            self.known, self.drawn, self.candidates = near, reach, Candidates(near, self.zone, reach)
        return self.known

    def ring(self, program: Program) -> list[Worker]:
        if program.ringed is not self.candidates:
            program.ring, program.ringed = self.candidates.ranked(program), self.candidates
        return program.ring

    def run(self, cells: list[Cell], now: float) -> None:
        used = [p for p in self.cell.called_since(now - self.idle_life) if p.proven or self.asks]
        many = sum(len(p.calls) for p in used)
        work = sum(len(p.calls) * self.latency.usual(p) for p in used)
        self.latency.survey(self.cell, cells, work / max(1, many), now)
        taken = {p: self.demand(p, now) for p in used}
        everyone, workers = len(self.cell.ready), self.know(now)
        even = min(1.0, everyone / len(workers) / self.front_ends)
        latency, share = self.latency, self.share(workers, sum(taken.values()), even)
        busy = mean([w.busy for w in workers if w.reports], 0.0) * sum(map(latency.width, workers)) * share
        scale = busy / sum(taken.values()) if busy and taken else 1.0  # crowding swells lanes only
        wide = {p: max(self.wide(p, load, share), load) for p, load in taken.items()}
        demand = {p: load * scale * share for p, load in wide.items()}
        memory = {p: p.memory * load / wide[p] for p, load in taken.items()}  # our part of what all use
        opened = self.open(workers, sum(taken.values()) * scale / share, sum(memory.values()))
        well = [w for w in workers if not w.shuns] or workers
        opened = [w for w in opened if not w.shuns] or well
        self.opened = dict.fromkeys(opened)
        self.part, self.hot = share, max(TIRED, HOT * mean([w.busy for w in opened if w.reports], 0.0))
        even = SLACK * sum(demand.values()) / sum(self.carries[w] for w in opened)
        part = {w: max(even * self.carries[w], BOUND * share * latency.width(w)) for w in well}
        self.unit = max(1e-9, mean([part[w] for w in opened], 1.0))
        room, budget = dict(part), {w: w.budget for w in well}
        placed = {p: [q.worker for q in p.places if q.placed and q.worker in self.opened]
                  for p in demand if now - p.settled < RETHINK / max(1 - share, 1e-9)}  # alone: kept
        for program in sorted(demand, key=lambda p: (-demand[p], p.name)):
            chosen = self.put(program, demand[program], memory[program], placed.get(program, []), part, room,
                              budget, now)
            each = demand[program] / len(chosen) / share
            copies = max(1, ceil((each + HEADROOM * sqrt(each)) / program.lanes))
            program.settled = program.settled if program in placed else now
            for worker in chosen:
                room[worker] -= demand[program] / len(chosen)
                budget[worker] -= memory[program] * copies
            others = (wide[program] - taken[program]) / latency.usual(program) * self.idle_life / len(chosen)
            for place in [place_of(program, worker) for worker in chosen] and program.places:
                # Danger: holds of further copies spend the few orders, and what misses is denied. Workers add
                # copies where lanes are taken. Hurts where they do not: lanes queue.
                place.placed, place.wanted = place.worker in chosen, 1 if self.asks else copies
                told = now - place.missed > latency.load_time(program) if self.asks else place.used
                if place.placed and told and others > KEEPERS and place.worker.crammed <= now:
                    place.standing, place.used = max(1, place.standing), now  # they keep it warm

    def put(self, program: Program, load: float, memory: float, placed: list[Worker], part: dict, room: dict,
            budget: dict, now: float) -> list[Worker]:
        need = max(1, ceil(load / self.unit / (1.0 if self.tells else SPREAD)))
        need = max(need, len(placed) * (load > (len(placed) - 1) * self.unit * CLOSE))
        chosen = [w for w in placed if room[w] + (STAY - 1) * part[w] >= load / need][:need]
        leeway = STAY - 1 if load / need < SMALL * self.unit else 0.0  # what is little used fills no cores
        ring = [] if len(chosen) == need else [w for w in self.ring(program) if w in self.opened]
        spare = []  # not within budget
        for w in ring:
            if w not in chosen and w.busy <= self.hot and room[w] + leeway * part[w] >= load / need:
                (spare if budget[w] < memory else chosen).append(w)
                if len(chosen) == need:
                    break
        chosen += spare[:need - len(chosen)]
        return chosen or placed[:need] or [max(ring[:LOOKS], key=lambda w: room[w])]

    def holds(self, now: float) -> list[tuple[Place, int, bool]]:
        orders, new, latency = [], {}, self.latency
        for program in sorted(self.cell.functions.values(), key=lambda p: (-len(p.calls), p.name)):
            for place in program.places if now - program.called < self.idle_life else ():
                if place.placed and place.ordered is None and place.full_until <= now:
                    renewal = (stands := latency.stands(place, now)) and place.standing >= place.wanted
                    lost = place.loading is None or now - place.loading > LOST * latency.load_time(program)
                    often = len(program.calls) > 1  # else the one RPC, having missed, ordered what it needs
                    if (often and now - place.used >= RENEW * self.idle_life if renewal else
                            (often or not self.asks) and new.get(place.worker, 0) < CAP and (stands or lost)):
                        new[place.worker] = new.get(place.worker, 0) + (not renewal)
                        orders.append((place, place.wanted, renewal))
        return orders


# ---- dispatch: the placed worker of lowest latency; for an unplaced program a random one with room ----
TIE, FULL_WAIT, CRAMMED, HEADS = 0.02, 250.0, 1000.0, 5  # part that ties; ms full; agreed homes of the new


def has_room(worker: Worker, program: Program, fill: Fill, now: float) -> bool:
    # Danger: with memory short each load pushes out another and RPCs ask in vain. Should also catch too many
    # loads waiting. Could hurt where full answers have another cause; copies that stand are used anyway.
    memory, pinned = fill.stock.memory_on(worker.listing), worker.pinned()
    return worker.crammed <= now and (not memory or pinned * memory + program.memory <= memory)


def choose(rpc: RPC, able, health: "Health", fleet: Fleet, chance: Chance, now: float) -> Place | None:
    program, fill = rpc.program, fleet.home_of(rpc.program).fill  # one that only missed may get a hold now
    tried = {co.place.worker for co in rpc.call_outs if co.outcome != "miss" or not fill.asks}
    fled = {call_out.place.worker for call_out in rpc.call_outs if call_out.fled}
    first = not rpc.call_outs and rpc.method.effect == "idempotent"
    trial = [w for w in health.shunned if first and w.listing.ident in fill.cell.members and able(w)]
    if trial:  # homes return after an answer
        return place_of(program, min(trial, key=lambda w: lot(program, w)))
    usable = [p for p in program.places if p.worker not in fled and able(p.worker)]
    known = [p for p in usable if p.full_until <= now and working(p.worker, now) < p.worker.limit
             and p.out < p.lanes()]
    standing = [p for p in known if fill.latency.stands(p, now)]
    for places in ([p for p in standing if p.placed and p.worker not in tried],
                   [p for p in standing if p.worker not in tried], standing,
                   [p for p in known if p.loading is not None
                    or p.placed and has_room(p.worker, program, fill, now)]):
        # Danger: after misses each front end holds a copy elsewhere, and memory fills: so the first by lot.
        # Also after a flush. Hurts where that worker is crowded, until the copy stands.
        if places:
            new = fill.asks and not standing and all(p.loading is None for p in places)
            return min(places, key=lambda p: lot(program, p.worker) if new else (
                fill.latency.expect(p, rpc, now) * (1 + TIE * chance.below(99) / 99)))
    stuck = [p for p in usable if fill.latency.stands(p, now) and p.full_until <= now + FULL_WAIT]
    if stuck and (fill.asks or any(working(p.worker, now) < p.worker.limit for p in stuck)):
        return None  # copies stand, all full: a load elsewhere would come too late and crowd the store
    # Danger: its only home is slow and at its limit, and a program is denied while others idle. Also a
    # crowded neighbour. Hurts where that is over sooner than a load.
    for cell in fleet.near(program, 1 + SPILLS):  # its home, then those that are next for all front ends
        ring, opened = cell.fill.ring(program), cell.fill.opened
        for pool in ((w for w in ring if w in opened), ring):
            free = [w for w in islice(pool, LOOKS) if w not in fled and able(w) and working(w, now) < w.limit
                    and has_room(w, program, fill, now) and not (stuck and w.busy > TARGET)]
            if free:
                # Danger: until its first fill each of hundreds of front ends goes to the same agreed home.
                # Also a start of all at once. Hurts what few call: it may stand at several.
                new, free = not (rpc.call_outs or program.places), [w for w in free if w not in tried] or free
                at = chance.below(min(HEADS, len(free))) if fill.asks and new else 0
                return place_of(program, free[at])
    return None


EARLY, JUDGED = 0.33, 8  # of the soft deadline that answers should take on average; answers that tell it
FULL_CORES, LIMIT_LEAST = 0.85, 1.0  # busy share from which late answers tell of the worker's own queue
LIMIT_START, LESS, NEAR = 8.0, 0.5, 0.7  # call-outs out to a worker; least a cut leaves; part used to grow
SHUN, SHUN_MOST = 1500.0, 4000.0  # ms for which a worker is left alone: at first, doubled each time up to
BAD_LEAST, BAD_SHARE, BAD_AGE = 3, 0.5, 5000.0  # results that shun a worker: how many, what part, how recent
WALL = 0.25  # of the workers met of late, unreached and none cut: it is the connections
BOOK = KEPT_RATIOS, KEPT // 2, KEPT // 2, JUDGED  # samples kept of a worker
SILENT, SILENT_ONE, MUTE, SILENT_LEAST = 26.0, 6.0, 9.0, 80.0  # dues: in all, one RPC, one probe; ms of one


def paced(worker: Worker, call_out: CallOut, beside: int, now: float, late: bool) -> None:
    # Danger: a full queue makes all late. Also catches slow workers. Hurts if late otherwise.
    # Danger: a route's attempts shorter than that are never late, only over: limits grow, and workers drown
    # in what was given up. Also catches a time too short. Hurts where answers are lost at a full worker.
    worker.spent.append((max(late, (now - call_out.sent) / call_out.rpc.method.soft), beside))
    spent = mean([share for share, _ in worker.spent], 0.0)
    full = not worker.reports or worker.reports[-1][1].get("busy", 1.0) >= FULL_CORES
    if len(worker.spent) == JUDGED and spent > EARLY and full:  # else it was lanes or loads that kept them
        used = min(worker.limit, 1 + mean([beside for _, beside in worker.spent], 0.0))
        worker.limit, worker.lowered = max(LIMIT_LEAST, used * max(LESS, EARLY / spent)), now
        worker.spent.clear()
    elif working(worker, now) >= worker.limit * NEAR and spent <= EARLY:
        worker.limit += 1 / worker.limit


class Health:  # whom not to send to, by symptom, whatever the cause: unreachable, failing or silent
    def __init__(self, note, latency: Latency, guards: "Guards") -> None:
        self.note, self.latency, self.guards = note, latency, guards
        self.shunned, self.met, self.walled = {}, {}, False

    def wall(self, now: float) -> bool:
        # Danger: what hits many workers at once and cuts no connection is not the workers: new connections
        # take too long. As restarts, all books would go. Also a break of the network. Hurts if many vanish.
        self.met = {w: (at, outcome) for w, (at, outcome) in self.met.items() if now - at < BAD_AGE}
        met = Counter(outcome for _, outcome in self.met.values())
        many = met["unreached"] >= BAD_LEAST and met["unreached"] > WALL * len(self.met)
        walled = not met["cut"] and (many or self.walled and met["unreached"] > 0)  # until all are reached
        if walled != self.walled:
            self.note(f"new connections {('work', 'fail')[walled]}: {met['unreached']} of {len(self.met)}")
        for worker in [w for w in self.shunned if walled and self.met.get(w, (0, ""))[1] == "unreached"]:
            self.shunned.pop(worker)
            worker.shuns, worker.cold_from = 0, worker.listing.born
        self.walled = walled
        return walled

    def saw(self, worker: Worker, outcome: str, now: float) -> None:
        worker.open_books(BOOK)
        if outcome in ("unreached", "cut", "ok", "error", "full", "miss"):
            self.met[worker] = now, outcome
        if (outcome == "unreached" or self.walled) and self.wall(now) and outcome == "unreached":
            worker.shun_until = now + SHUN_MOST
            return
        if outcome in ("unreached", "cut"):  # Danger: the list tells late that it starts anew, cold, empty.
            empty(worker)  # Should also catch a list that lags. Could hurt after a break of the network.
            self.guards.fell(worker, now)
        if outcome in ("ok", "error", "full", "miss"):
            worker.heard, worker.mute = now, 0
        if outcome == "ok" and worker.shuns and worker.shun_until <= now:  # not one sent before
            worker.shuns -= 1
            if not worker.shuns:
                self.shunned.pop(worker, None)
                self.note(f"worker {worker.listing.ident} answers again")
        if outcome in ("ok", "error", "cut", "unreached"):
            worker.results.append((now, outcome == "ok"))
        recent = [good for at, good in worker.results if now - at < BAD_AGE]
        bad = recent.count(False)
        if worker.shun_until <= now and (outcome == "unreached" or outcome in ("error", "cut") and (
                bad >= BAD_LEAST and bad > BAD_SHARE * len(recent) or bad and worker.shuns)):
            self.shun(worker, now, f"{outcome}, {bad} of {len(recent)} bad")

    def silent(self, worker: Worker, now: float) -> bool:
        if worker.shuns:  # a copy pushed out would have loaded again
            return any(now - co.sent > 2 * self.latency.load_time(co.rpc.program) for co in worker.out)
        out = [co for co in worker.out if worker.heard <= co.sent and co.warm]
        dues = [(now - co.sent) / max(co.expected, SILENT_LEAST) for co in out]
        return SILENT <= MUTE * worker.mute + sum(min(SILENT_ONE, due) for due in dues)

    def shun(self, worker: Worker, now: float, why: str) -> None:
        worker.shun_until = now + min(SHUN_MOST, SHUN * 2**worker.shuns)
        worker.shuns += 1
        self.shunned[worker] = None
        self.note(f"worker {worker.listing.ident} shunned for {worker.shun_until - now:.0f} ms: {why}")


def may_repeat(rpc: RPC, worker: Worker, most: int, now: float) -> bool:
    ran, method = rpc.may_have_run(), rpc.method
    live = not rpc.closed and len(rpc.call_outs) < most and now < rpc.ends
    same = all(method.scope == "all" or getattr(co.place.worker.listing, method.scope)
               == getattr(worker.listing, method.scope) for co in ran)
    again = method.effect == "tokened" and same and ran and now < ran[0].sent + method.window
    return live and bool(not ran or method.effect == "idempotent" or again)


def may_wait(rpc: RPC) -> bool:
    return rpc.method.effect == "idempotent" or not rpc.may_have_run()


def may_deny(rpc: RPC) -> bool:
    return may_wait(rpc) or rpc.method.effect == "tokened" and rpc.method.scope == "all"


def spend(rpc: RPC, outcome: str, chance: Chance, now: float) -> None:  # when the next attempt may go
    first, growth, most, spread = rpc.timing.pause
    wait = min(most, first * growth ** (len(rpc.call_outs) - 1)) * (1 + spread * chance.part())
    rpc.not_before = now + (0.0 if outcome == "cancelled" else wait)  # taken back: it has waited enough


def may_pay(rpc: RPC, outcome: str | None, now: float) -> bool:  # a further attempt is wanted, and paid for
    # Danger: retries multiply an overload. Also catches failing workers. Hurts if it is far too small.
    if (timing := rpc.timing) is None or not rpc.call_outs:
        return True
    if outcome not in timing.again | {"cancelled"}:
        return False
    if timing.budget is None:
        return True
    (window, share, floor), budget = timing.budget, rpc.retry_budget
    trim(budget.taken, now - window)
    trim(budget.paid, now - window)
    return len(budget.paid) + 1 <= floor + share * len(budget.taken)


def most_of(rpc: RPC, allowance: Allowance) -> int:  # call-outs that it may have in all
    return min(allowance.call_outs, rpc.timing.attempts) if rpc.timing else allowance.call_outs


COLD_MARGIN, BUSY_LEAST, RATION_KEPT = 0.6, 0.3, 0.34  # of what the cold stand; least busy share; of holds
CARRIED, FADE, GOLDEN = 5000.0, 0.9, 0.618034  # ms what we carry counts; of a fleet's size left; lies evenly


class Guards:  # the rules: every call-out and every hold passes here, and there is no way round
    def __init__(self, warmup: Warmup, ration: Ration, seat: Seat) -> None:
        # Danger: neighbours of one zone that carry all have a turn at once. So turns go in strides.
        stride = next(k for k in range(ceil(seat.of * GOLDEN), seat.of + 2) if gcd(k, seat.of) == 1)
        self.seat, self.even = seat.number * stride % seat.of / seat.of, 1 / seat.of
        self.warmup, self.ration = warmup, ration
        self.taken, self.ordered, self.carried, self.rate, self.size = deque(), deque(), deque(), 0.0, 0.0

    def cold(self, worker: Worker, now: float) -> bool:
        return worker.cold_from is not None and now - worker.cold_from < self.warmup.ramp

    def sent(self, worker: Worker, rpc: RPC, now: float) -> None:
        # Danger: we learn late that it started anew, and what we sent meanwhile counts too: so calls to warm
        # workers are kept as well. Hurts where none starts anew: a window's calls in memory.
        trim(worker.sends, now - self.warmup.window)
        worker.sends.append((now, self.weight(rpc)))

    def fell(self, worker: Worker, now: float) -> None:
        # What it got went to the process that ended with its connections. Once known as cold, all counts.
        if not self.cold(worker, now):
            trim(worker.sends, now)
        worker.cold_from = now

    def carry_over(self, before: Worker, worker: Worker | None) -> None:  # it is listed as started anew
        start = worker.cold_from if worker else None
        if worker and start is not None and (sends := [sent for sent in before.sends if sent[0] >= start]):
            worker.open_books(BOOK)
            worker.sends.extend(sends)

    def survey(self, cells: list[Cell], now: float) -> None:
        trim(self.carried, now - CARRIED)
        trim(self.taken, now - self.ration.window)  # also where holds are rare
        use, size = pooled([cell.busy for cell in cells], 1.0), sum(cell.size for cell in cells)
        self.size = max(size, self.size * FADE, 1e-6)  # of all that carried
        self.rate = sum(c for _, c in self.carried) / self.size / CARRIED / min(1.0, max(BUSY_LEAST, use))

    def may_call(self, worker: Worker, rpc: RPC, now: float) -> bool:
        if worker.listing.state != "ready" or not self.cold(worker, now):
            return worker.listing.state == "ready"
        warmup, sends, weight, age = self.warmup, worker.sends, self.weight(rpc), now - worker.cold_from
        trim(sends, now - warmup.window)
        share = warmup.multiple * (warmup.start_share + (1 - warmup.start_share) * age / warmup.ramp)
        part = COLD_MARGIN * share * self.rate * worker.listing.size * warmup.window
        if part >= weight:
            return sum(cost for _, cost in sends) + weight <= part
        # Danger: one RPC of each of many front ends is too much, also if many draw well at once: by seat each
        # has whole turns, rare as its part is small. Also many cold at once. Hurts if all stand there.
        turn = 0 if sends else int(age / warmup.window + self.seat / self.even * GOLDEN % 1)
        return turn > 0 and (draw(worker.mark, turn) + self.seat) % 1 < max(part / weight, self.even)

    def weight(self, rpc: RPC) -> float:
        return max(1.0, mean(rpc.method.times, rpc.method.soft * COST_GUESS))

    def may_hold(self, worker: Worker, renewal: bool, now: float) -> bool:
        if worker.listing.state != "ready":
            return False
        trim(self.taken, now - self.ration.window)
        trim(self.ordered, now - self.ration.window - 1e-3)  # to the safe side at the very edge
        most = self.ration.free + self.ration.share * len(self.taken)
        return not self.ration.window or len(self.ordered) + 1 <= most * (1 - RATION_KEPT * renewal)


DOOM, SAVED = 1.5, 4.0  # times its latency, by which an RPC is to be in time; second copies saved up at most
FORGET, TICK, PROBE_PART, PROBES = 3, 50.0, 0.5, 8.0  # idle lives; ms between looks; probes an RPC, saved up
PROBE_EVERY, PROBE_SOON, FEW, LAZY = 1000.0, 300.0, 16, 4.0  # ms of probes, if silent; RPCs a fill; periods


class FrontEnd:
    def __init__(self, now: float, seed: int, methods: list[Method], seat: Seat, allowance: Allowance,
                 stock: Stock, warmup: Warmup, ration: Ration, directory: Directory, tariff: Tariff,
                 shares: Shares = Shares()) -> None:  # noqa: B008 - it is frozen
        self.now, self.methods, self.seat, self.stock = now, methods, seat, stock
        for method in methods:
            method.times = deque(maxlen=KEPT)
        self.notes, self.todo, self.waiting, self.stuck = deque(), deque(), [], set()
        self.rpcs, self.orders, self.acts, self.chance, self.budgets = {}, deque(), deque(), Chance(seed), {}
        self.allowance, self.directory, self.followed = allowance, directory, directory.pushed
        self.latency, self.guards = Latency(stock, seat, shares), Guards(warmup, ration, seat)
        self.rota, self.muted, self.probes, self.asks = deque(), [], PROBES, not stock.loads_on_call
        self.health = Health(self.notes.append, self.latency, self.guards)
        self.fleet = Fleet(ONE_CELL, CELL, POINTS,
                           lambda row: Worker.listed(row, stock.memory_on(row) / seat.of, LIMIT_START),
                           lambda cell: Fill(cell, self.latency, stock, seat, tariff, now))
        self.programs, self.workers = self.fleet.functions, self.fleet.workers
        few = (deque(maxlen=JUDGED) for _ in range(4))  # all workers as one: the limit on all our call-outs
        self.whole = Worker(Listing("", 0, 0, 0, "ready", 1.0, None), *few, 0.0, inf, None, 0)
        self.next_fill = self.wake_at = self.surveyed = now

    def listed(self, rows: list[Listing], whole: bool | None) -> None:
        self.followed = self.directory.pushed if whole is None else self.followed
        changes = self.fleet.update(rows, bool(whole))
        for kept, worker in product((self.health.shunned, self.health.met), changes.gone):
            kept.pop(worker, None)
        for worker in changes.gone:
            self.guards.carry_over(worker, self.workers.get(worker.listing.ident))
        for cell in changes.cells:
            self.rota = deque(cell.ready)
            cell.fill.known = []  # sizes may have changed
            cell.fill.know(self.now)

    def meet(self, name: str, method: Method, memory: float, lanes: int, load: float) -> Program:
        few = map(Recent, (KEPT_CALLS, KEPT, KEPT, KEPT))
        program = Program(name, method, memory, lanes, load, *few, mark(name), called=self.now)
        self.fleet.enter(program)
        self.fleet.shrink(BOOKS)
        return program

    def took(self, ident: int, left: float, method: Method, name: str, memory: float, lanes: int,
             load: float | None, work: float | None, repeat: bool, timing: Timing | None = None) -> None:
        now, program = self.now, self.programs.get(name) or self.meet(name, method, memory, lanes, load or 0)
        program.called, self.probes = now, min(PROBES, self.probes + PROBE_PART)
        program.calls.append(now)
        self.fleet.home_of(program).fresh += 1
        wanted = timing.soft if timing else method.soft
        soft = now + min(left, wanted + method.soft_stretch * (work or 0.0))
        rpc = self.rpcs[ident] = RPC(ident, program, method, now, now + left, soft, work, repeat, timing)
        if timing:
            rpc.retry_budget = budget = self.budgets.setdefault(timing.account, RetryBudget())
            budget.taken.extend([(now,)] if timing.budget else ())
            budget.seconds = min(SAVED, budget.seconds + (timing.second[2] if timing.second else 0.0))
        self.guards.taken.extend([(now,)] if program.proven else ())
        for times in (program.times, method.times) if work is not None else ():
            times.append(work)
        self.todo.append(rpc)
        self.wake_at = min(self.wake_at, now + TICK)

    def began(self, ident: int, number: int) -> None:
        if ident in self.rpcs:
            self.rpcs[ident].closed = True

    def ended(self, ident: int, number: int, outcome: str, final: bool, standing: str | None,
              company: int, report: tuple[float, ...] | None) -> None:
        now, rpc = self.now, self.rpcs.get(ident)
        if rpc is None or number >= len(rpc.call_outs):
            return
        call_out, place, worker = (co := rpc.call_outs[number]), co.place, co.place.worker
        if standing in ("began", "awaited"):
            rest(call_out, (worker, self.whole), now)
            call_out.warm = False
        near, far = (worker, call_out.beside), (self.whole, call_out.among)
        late = outcome == "timeout" and rpc.timing is not None and rpc.timing.attempt is not None
        for gate, beside in (near, far)[:2 - (call_out.beside > 0)]:
            if (outcome == "ok" or late) and call_out.warm and call_out.sent >= gate.lowered:  # not before
                paced(gate, call_out, beside, now, late)  # on all only where nothing of ours was beside it
        rest(call_out, (worker, self.whole), now)
        if call_out.outcome is None:
            self.whole.out.remove(call_out)
        end(call_out, outcome)
        rpc.closed = rpc.closed or final
        if call_out.warm or standing == "stood":
            self.latency.learn(call_out, outcome, now)
        if outcome == "ok":
            rpc.program.company.extend([(worker, company)] if self.stock.tells_company else [])
            self.guards.carried.append((now, self.guards.weight(rpc)))
            if place.loading is not None and standing in ("began", None) and not call_out.warm:
                took = now - place.loading - self.latency.cost(rpc)
                self.latency.loaded(rpc.program, took, standing == "began")
            place.standing, place.used, place.loading = max(1, place.standing), now, None
            self.prove(rpc.program)
        elif outcome == "miss":
            place.standing, place.loading, place.missed = 0, None, now
        elif outcome == "full":
            # Danger: the full answer at once and draw more. Also lack of memory. Hurts if full briefly.
            gap = (now - rpc.program.calls[0]) / len(rpc.program.calls)
            pause = max(FULL_WAIT, gap * (1 - rpc.program.cell.fill.part))
            place.full_until = now + min(pause, self.stock.idle_life / 2)
            if not company and self.stock.tells_company and not place.out:  # no copy, no memory for one
                worker.budget *= SHRINK if worker.crammed <= now else 1.0
                worker.crammed, place.standing, place.used = now + CRAMMED, 0, 0.0
        # Danger: clients that ask for what nobody has make workers look ill, and earn load orders. Also
        # programs that are broken. Hurts where a worker fails all programs that only it has had.
        self.health.saw(worker, outcome if rpc.program.proven or outcome != "error" else "miss", now)
        self.latency.reported(worker, report, now)
        if rpc.timing and outcome != "ok":
            spend(rpc, outcome, self.chance, now)
        if rpc.closed:
            self.close(rpc)
        elif not rpc.queued:
            rpc.queued = True
            self.todo.append(rpc)

    def left(self, ident: int) -> None:
        if rpc := self.rpcs.get(ident):
            self.close(rpc)

    def close(self, rpc: RPC) -> None:
        rpc.closed, out = True, [co for co in rpc.call_outs if co.outcome is None]
        self.acts.extend(("cancel", co) for co in out if self.allowance.cancel)
        if not out:
            self.rpcs.pop(rpc.ident, None)

    def held(self, worker_ident: str, name: str, outcome: str, copies: int, took: float) -> None:
        now, worker, program = self.now, self.workers.get(worker_ident), self.programs.get(name)
        if (place := worker and worker.places.get(program)) is None:
            return
        place.ordered = place.loading = None
        if outcome == "ok":
            self.latency.loaded(program, 0.0 if place.standing else took)
            worker.heard, place.standing, place.used = now, copies, now
            self.prove(program)
            worker.budget = min(worker.budget * GROWTH, self.stock.memory_on(worker.listing))
        elif outcome in ("full", "error"):
            place.standing, place.full_until = copies, now + self.stock.idle_life / 8
            worker.budget = max(worker.budget * SHRINK, program.memory)
        else:
            self.health.saw(worker, outcome, now)

    def prove(self, program: Program) -> None:  # it was answered or loaded: what was taken of it earns orders
        # Danger: clients that ask for what nobody has earn load orders. Also programs that are broken. Hurts
        # where nothing may be ordered before something was earned, and no copy stands anywhere.
        if not program.proven:
            program.proven, since = True, self.now - self.guards.ration.window
            for at in (at for at in program.calls if at > since):
                insort(self.guards.taken, (at,))

    def probed(self, ident: str, outcome: str, report: tuple[float, ...] | None) -> None:
        if worker := self.workers.get(ident):
            self.latency.reported(worker, report, self.now)
            if outcome == "ok" and worker.mute:  # it speaks again: try it now
                worker.shun_until = min(worker.shun_until, self.now)
            worker.mute = worker.mute + 1 if outcome == "timeout" else 0
            self.muted = [w for w in self.muted if w.mute and w is not worker] + [worker] * (worker.mute > 0)
            if outcome == "unreached":
                self.health.saw(worker, outcome, self.now)
            self.wake_at = min(self.wake_at, self.now + TICK)

    def woke(self, now: float) -> None:
        self.now = now
        self.stuck.clear()

    def decide(self) -> Decision | None:
        if (now := self.now) >= self.wake_at:
            self.tick(now)
        while not (self.notes or self.acts) and (self.todo or self.orders):
            self.settle(self.todo.popleft(), now) if self.todo else self.order(*self.orders.popleft(), now)
        return ("note", self.notes.popleft()) if self.notes else self.acts.popleft() if self.acts else None

    def tick(self, now: float) -> None:
        self.acts, self.followed = deque([*self.acts, *[("follow_list", True)] * (not self.followed)]), True
        out = ((co.place.worker, now - co.sent) for co in self.whole.out)  # nothing else can be overdue yet
        for worker in dict.fromkeys([w for w, age in out if age >= SILENT_LEAST or w.shuns] + self.muted):
            self.rescue(worker, now)
            if worker.shun_until <= now and self.health.silent(worker, now):
                self.health.shun(worker, now, f"silent with {len(worker.out)} out")
            if worker.out and worker.heard <= worker.out[0].sent and overdue(worker.out[0], now):
                self.probe(worker, PROBE_SOON, now)  # a decision hangs on it
        for worker in self.health.shunned:
            self.probe(worker, PROBE_EVERY, now)
        for _ in range(ceil(len(self.rota) * TICK / PROBE_EVERY) if self.probes > PROBES / 2 else 0):
            self.rota.rotate(-1)
            self.probe(self.rota[0], PROBE_EVERY, now)
        self.waiting.sort(key=lambda r: (-(r.timing.priority if r.timing else 0), -r.method.gain / (
            1 if self.seat.by_work else self.latency.cost(r))))
        for rpc in dict.fromkeys(co.rpc for co in self.whole.out if co.rpc.timing) if self.budgets else ():
            self.hedge(rpc, now)
        self.todo, self.waiting = deque([*self.todo, *self.waiting]), []
        if now >= self.next_fill:
            self.refill(now)
        self.wake_at = min(self.next_fill, now + TICK if self.rpcs or self.muted else self.next_fill)

    def refill(self, now: float) -> None:  # one cell at a time, so that no look takes long
        cells = list(self.fleet.cells.values())
        used = self.fleet.in_turn(SEEN) or cells[:1]
        fill = (cell := max(used, key=lambda each: each.lateness(now))).fill
        if len(cells) > SEEN and cell.lateness(now) < 1:  # none is due
            self.next_fill = now + (TICK if self.programs else PERIOD)
            return
        # By chance, so that front ends fall out of step; later where little is new.
        wait = PERIOD * min(LAZY, max(1.0, FEW / (1 + cell.fresh))) * (0.9 + 0.2 * self.chance.part())
        cell.filled, cell.period, cell.fresh = now, wait, 0
        self.next_fill = max(now + TICK, min(each.due() for each in used) if len(cells) <= SEEN else now)
        self.fleet.settle(cell, now - self.stock.idle_life * (FORGET if len(cells) == 1 else 1))
        cell.hear(now - FRESH)
        if len(cells) == 1 or now - self.surveyed >= PERIOD:  # what all cells share
            self.surveyed = now
            self.guards.survey(cells, now)
            self.whole.reports.append((now, {"busy": pooled([each.told for each in cells], 0.0)}, 0))
        if cell.ready:
            fill.run(cells, now)
            self.orders.extend(fill.holds(now) if self.stock.may_hold else ())
            homes = {p.worker: None for each in cell.functions.values() for p in each.places if p.placed}
            self.rota = deque(homes or cell.ready)  # reports of others would decide nothing

    def probe(self, worker: Worker, every: float, now: float) -> None:
        # Danger: probes and holds of many front ends cost more than the RPCs: they go by our traffic.
        said = worker.reports[-1][0] if worker.reports else 0.0
        if (self.allowance.probe and self.probes >= 1 and worker.listing.state == "ready"
                and now - max(said, worker.probe_sent) >= every):
            worker.probe_sent, self.probes = now, self.probes - 1
            self.acts.append(("probe", worker))

    def rescue(self, worker: Worker, now: float) -> None:
        # Danger: an RPC sits out its time at a worker that hangs. Also restarts not told of. Hurts where work
        # goes on after a cancel, and is done twice: so never where a worker is slow and answers others.
        for call_out in worker.out if self.allowance.cancel and worker.shun_until > now else ():
            rpc, most = call_out.rpc, most_of(call_out.rpc, self.allowance)
            left = {co.place.worker for co in rpc.call_outs if co.fled} | {worker}  # it goes back to none
            if (not rpc.closed and not call_out.fled and rpc.method.effect == "idempotent"
                    and len(rpc.call_outs) < most and may_pay(rpc, "cancelled", now) and worker.heard
                    <= call_out.sent and any(w.shun_until <= now for w in self.fleet.ready(left))):
                call_out.fled = True
                self.acts.append(("cancel", call_out))

    def hedge(self, rpc: RPC, now: float) -> None:
        # Danger: a worker is slow or loses answers, and an RPC sits there. Hurts under load, as work is
        # doubled: only what a route states and has saved up. The first answer counts, the rest is cancelled.
        second, budget = rpc.timing.second, rpc.retry_budget
        if second is None or not self.allowance.overlap or budget.seconds < 1:
            return
        out = [co for co in rpc.call_outs if co.outcome is None]
        if rpc.closed or not 0 < len(out) < second[1] or now - out[-1].sent < second[0]:
            return
        if place := self.place_for(rpc, {co.place.worker for co in out}, now):
            budget.seconds -= 1
            self.call(rpc, place, now)

    def place_for(self, rpc: RPC, besides: set[Worker], now: float) -> Place | None:
        most = most_of(rpc, self.allowance)
        if not now < rpc.ends - 2 * TICK or self.asks and working(self.whole, now) >= self.whole.limit:
            return None
        missed = {co.place.worker for co in rpc.call_outs if co.outcome == "miss"
                  and co.place.ordered is None and not self.latency.stands(co.place, now)}

        def able(worker: Worker) -> bool:
            return (worker not in besides and worker.shun_until <= now
                    and not (worker in missed and not self.guards.may_hold(worker, False, now))
                    and not (worker.shuns and (worker.out or worker.mute))
                    and self.guards.may_call(worker, rpc, now) and may_repeat(rpc, worker, most, now))

        # Danger: to look at thousands that wait takes longer than the time between two looks. The first
        # to find no place tells for all like it, until something is heard. Hurts nowhere: all would fail.
        like, place = (rpc.program, rpc.method, not rpc.call_outs), None
        if like not in self.stuck:
            keeps = self.allowance.idle_close  # while new connections fail, one that stands comes first
            fits = (lambda w: w.heard and now - w.heard < keeps and able(w), able)[not self.health.walled:]
            tries = (choose(rpc, fit, self.health, self.fleet, self.chance, now) for fit in fits)
            place = next(filter(None, tries), None)
            self.stuck.update({like} if place is None and not rpc.call_outs else ())
        return place

    def settle(self, rpc: RPC, now: float) -> None:
        rpc.queued = False
        if rpc.closed or any(co.outcome is None for co in rpc.call_outs):
            return
        timing, most = rpc.timing, most_of(rpc, self.allowance)
        more = not timing or (len(rpc.call_outs) < most
                              and may_pay(rpc, rpc.call_outs[-1].outcome if rpc.call_outs else None, now))
        place = self.place_for(rpc, set(), now) if more and now >= rpc.not_before else None
        more = more and not (place and not rpc.call_outs and self.asks and self.doomed(place, rpc, now))
        if place and more:
            # Danger: each of many front ends spends its ration on copies that others' orders brought.
            # Asked by a call-out, a miss proves that none stands. Hurts where misses are slow.
            load_time = self.latency.load_time(place.program)
            asks = (len(rpc.call_outs) + 1 < most and now - place.missed > load_time
                    and not any(co.place is place for co in rpc.call_outs))
            if (self.stock.loads_on_call or self.latency.stands(place, now) or asks
                    or place.ordered is not None and place.ordered < now):
                if timing and timing.budget and rpc.call_outs:
                    rpc.retry_budget.paid.append((now,))
                return self.call(rpc, place, now)
            if place.ordered is None:  # a call-out would miss, and might overtake the hold
                self.order(place, 1, False, now)
        if more and now < rpc.ends - 2 * TICK:
            late = now + self.latency.cost(rpc) * self.latency.average >= rpc.soft
            if timing:  # in its pause it is not late; before its first place it is by its queueing time
                late = (late and now >= rpc.not_before or not rpc.call_outs and timing.queue is not None
                        and now - rpc.taken >= timing.queue)
            if not late and len(rpc.call_outs) < most and may_wait(rpc):
                rpc.queued = True
                if rpc.call_outs and not place and self.asks:  # the ration is spent: looks cost CPU
                    rpc.not_before = max(rpc.not_before, now + 3 * TICK)
                return self.waiting.append(rpc)
        back = min(self.allowance.retry_after, self.latency.cost(rpc) * self.latency.average) or None
        self.acts.append(("deny", rpc, back) if may_deny(rpc) else ("abort", rpc))
        self.close(rpc)

    def doomed(self, place: Place, rpc: RPC, now: float) -> bool:
        # Danger: in an overload each of many front ends sends little, and queues make all late. Also a home
        # that is too crowded. Hurts where the last report was a short burst's.
        at, report, _ = (place.worker.reports or [(0.0, {}, 0)])[-1]
        return (now - at < FRESH and report.get("busy", 0.0) >= BOUND and self.latency.stands(place, now)
                and now + DOOM * self.latency.expect(place, rpc, now) > rpc.soft)

    def call(self, rpc: RPC, place: Place, now: float) -> None:
        worker, warm = place.worker, self.latency.stands(place, now)
        worker.open_books(BOOK)
        near, far, due = working(worker, now), working(self.whole, now), self.latency.expect(place, rpc, now)
        late = now + max(OVERDUE_LEAST, OVERDUE * due)
        begin(call_out := CallOut(rpc, len(rpc.call_outs), place, now, due, warm, near, far, late))
        self.whole.out.append(call_out)
        for gate in (worker, self.whole) if warm else ():
            heappush(gate.lates, (late, rpc.ident, call_out.number, call_out))
            gate.at_work += 1
        self.guards.sent(worker, rpc, now)
        self.acts.append(("call", rpc, worker, rpc.timing.attempt if rpc.timing else None))
        place.used = now if warm else place.used
        if not warm and self.stock.loads_on_call:
            place.loading = place.loading or now

    def order(self, place: Place, copies: int, renewal: bool, now: float) -> None:
        paid = self.probes >= 1 or not self.stock.loads_on_call
        if paid and self.guards.may_hold(place.worker, renewal, now):
            self.guards.ordered.append((now,))
            place.ordered, self.probes = now, self.probes - 1
            place.loading = place.loading if renewal or place.standing else now
            self.acts.append(("hold", place.worker, place.program, min(copies, 16)))

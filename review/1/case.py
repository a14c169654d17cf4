"""Keyed requests whose repeat waits for a connection, until the workers have forgotten the key."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from sites import quay_forms
from standins import Arrival, CannotRunError, Client, Record, Reply, Worker, run_case, started

ZONES = ("north-quay", "south-quay")
WORKERS = 9
FRONT_ENDS = 2
WINDOW = 3.0  # s, `lanes[].window` of book-slot
SLACK = 0.05  # s by which each time limit grows
FAILS_AFTER = 2.92  # s after which the slow worker answers that the request failed
HELD_FROM = 2.80  # s after the request came to the slow worker, when a new connection does not come up
HELD_UNTIL = 3.08
CONNECTIONS = 62  # connections of one round to workers, beside the one that does not come up: one in fifty at most
IDLE = 8.0  # s after which the front ends have closed connections that rest
ROUNDS = 4


class Scene:
    """The workers' side: a zone remembers keys for WINDOW, and runs nothing twice within that time."""

    def __init__(self, record: Record, trouble: bool) -> None:
        self.record = record
        self.trouble = trouble
        self.remembered: dict[tuple[str, str], float] = {}
        self.slow: Worker | None = None
        self.slow_once = False  # the next book-slot meets a slow worker, which answers late that it failed
        self.workers = [Worker(f"w{i}", record, self.behave, ZONES[i % 2], cell=i // 3) for i in range(WORKERS)]

    def behave(self, worker: Worker, arrival: Arrival) -> Reply:
        """Answers a request."""
        fields = arrival.fields
        reply = Reply(0.3, "ACK", f"rep={worker.report}")
        if fields["lane"] != "book-slot":
            return reply
        key = (worker.zone, fields["dedupe"])
        if arrival.at - self.remembered.get(key, 0.0) < WINDOW:
            self.record.add(f"{worker.name} knows the key of {arrival.ident} and does not run it again")
            reply.runs = False
            return reply
        self.remembered[key] = arrival.at
        if self.slow_once:
            self.slow_once = False
            self.slow = worker
            if self.trouble:
                loop = asyncio.get_running_loop()
                loop.call_later(HELD_FROM, self.hold, worker)
                loop.call_later(HELD_UNTIL, self.release)
            return Reply(FAILS_AFTER, "EIO", f"rep={worker.report}")
        return reply

    def hold(self, slow: Worker) -> None:
        """Lets the next connection to the other workers of the zone not come up."""
        self.record.add(f"a new connection to {slow.zone} does not come up from now on")
        for worker in self.workers:
            if worker.zone == slow.zone:
                worker.hold()

    def release(self) -> None:
        """Lets connections come up again."""
        self.record.add("new connections come up again")
        for worker in self.workers:
            worker.release()


async def fill(clients: list[Client]) -> None:
    """Sends many requests at once, so that the front ends make many connections."""
    for i in range(CONNECTIONS):
        await clients[i % len(clients)].send("read-form", f"{i % 6 + 1:016x}", 4000, t="hauliers", h="100")
    await asyncio.sleep(1.0)


def check(scene: Scene, clients: list[Client]) -> list[str]:
    """Returns how the rule was broken."""
    broken = []
    arrivals = sorted((a for w in scene.workers for a in w.arrivals if a.verb == "invoke"), key=lambda a: a.at)
    for client in clients:
        for request in client.requests:
            if request.name != "book-slot":
                continue
            sent = [a for a in arrivals if a.ident == request.ident]
            for first, *later in (sent[i:] for i in range(len(sent))):
                if not first.ran:
                    continue
                for again in later:
                    age = again.at - first.at
                    if age > WINDOW + SLACK or again.zone != first.zone:
                        ran = sum(a.ran for a in sent)
                        broken.append(
                            f"{request.ident}: sent to {first.worker} ({first.zone}), where it may have run, and again "
                            f"to {again.worker} ({again.zone}) {age:.3f} s later; it ran {ran} times"
                        )
    return broken


async def play(record: Record, trouble: bool) -> list[str]:
    """Plays the case."""
    scene = Scene(record, trouble)
    async with started(record, scene.workers, quay_forms, FRONT_ENDS) as stage:
        clients = [Client(fe.address, record, f"c-{fe.name}", 1) for fe in stage.front_ends]
        repeats = 0
        for number in range(ROUNDS):
            await fill(clients)
            await asyncio.sleep(IDLE)
            scene.slow_once = True
            request = await clients[number % FRONT_ENDS].send(
                "book-slot", f"{number % 6 + 1:016x}", 4500, t="hauliers", h="170", k=str(1000 + number)
            )
            if request is None:
                raise CannotRunError("a client could not connect")
            await asyncio.sleep(max(0.0, request.due_at + 0.6 - time.time()))
            repeats += sum(a.ident == request.ident for w in scene.workers for a in w.arrivals) - 1
            if check(scene, clients):
                break
        await asyncio.sleep(5.2)  # the front ends log their counts every 5 s
        for front_end in stage.front_ends:
            late = front_end.count("no_connection_in_time")
            record.add(f"{front_end.name} made {front_end.count('dialled')} connections, {late} did not come up")
        if not repeats:
            raise CannotRunError("no request was repeated")
        return check(scene, clients)


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), play))

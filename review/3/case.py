"""Answers whose length does not fit: what is passed on as served."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from sites import walvis_main
from standins import Arrival, CannotRunError, Client, Record, Reply, Worker, bulk, run_case, started

WORKERS = 9
FRONT_ENDS = 2
CLIENTS = 3  # of each front end
RATE = 50.0  # requests a second of each client: 150 of a front end, of up to 170
DURATION = 45.0  # s
SPOILT = 40  # one in so many answers has a length that does not fit
LINES = 12
CLASSES = (("position", 5000), ("position", 5000), ("eta", 5000), ("seal-alert", 6000))


def rows(ident: str) -> bytes:
    """Returns the answer to a request: positions of a container as lines of text, which end with CR LF."""
    chance = random.Random(ident)
    return b"".join(
        b"%s,%d,%.4f,%.4f\r\n" % (ident.encode(), i, chance.uniform(-30, -20), chance.uniform(5, 20))
        for i in range(LINES)
    )


class SpoilingWorker(Worker):
    """A worker whose answers arrive spoilt now and then: the length of the body is another one."""

    def __init__(self, number: int, record: Record, spoils: bool, spoilt: set[str]) -> None:
        super().__init__(f"w{number}", record, behave, "harbour-room", machineType="std-3", cell=number // 4)
        self.spoils = spoils
        self.spoilt = spoilt  # ids of the requests whose answer was spoilt, of all workers
        self.chance = random.Random(number)
        self.report = "inflight:2;util:0.3;x0:0.2"

    def encode(self, arrival: Arrival, reply: Reply, body: bytes) -> bytes:
        """Encodes an answer."""
        good = bulk(arrival.ident.encode(), reply.word.encode(), reply.fields.encode(), body)
        if not self.spoils or arrival.verb != "invoke" or self.chance.randrange(SPOILT):
            return good
        length = self.chance.choice([each for each in range(2 * len(body)) if each != len(body)])
        self.spoilt.add(arrival.ident)
        self.record.add(f"{self.name}'s answer to {arrival.ident} arrives with the length {length} for {len(body)}")
        return good[: -len(body) - 2].removesuffix(b"$%d\r\n" % len(body)) + b"$%d\r\n" % length + body + b"\r\n"


def behave(worker: Worker, arrival: Arrival) -> Reply:
    """Serves a request."""
    warm = arrival.fields["name"] in worker.loaded
    worker.loaded.add(arrival.fields["name"])
    return Reply(0.08 if warm else 0.9, "ACK", "why=w,ahead=0" if warm else "why=c,ahead=0", rows(arrival.ident))


async def ask(client: Client, number: int, until: float) -> None:
    """Sends requests at RATE."""
    chance = random.Random(number)
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        name, left = chance.choice(CLASSES)
        if len(client.open) < 32:
            await client.send(name, f"{chance.randrange(1, 13):016x}", left)
        await asyncio.sleep(chance.expovariate(RATE))


def check(workers: list[SpoilingWorker], clients: list[Client]) -> list[str]:
    """Returns each answer 'served' that no worker made for its request."""
    ran = {arrival.ident for worker in workers for arrival in worker.arrivals if arrival.ran}
    spoilt = workers[0].spoilt
    broken = []
    for client in clients:
        for request in client.requests:
            if request.words[:1] != ["answer"] or (request.ident in ran and request.answer_body == rows(request.ident)):
                continue
            given, whole = request.answer_body, rows(request.ident)
            what = "the first bytes of its answer" if whole.startswith(given) else "something else"
            broken.append(
                f"{request.ident}: served with {len(given)} bytes, {what}; the worker gave {len(whole)} bytes, "
                f"its answer was {'' if request.ident in spoilt else 'not '}spoilt on the way"
            )
    return broken


async def play(record: Record, trouble: bool) -> list[str]:
    """Plays the case."""
    spoilt: set[str] = set()
    workers = [SpoilingWorker(number, record, trouble, spoilt) for number in range(WORKERS)]
    async with started(record, workers, walvis_main, FRONT_ENDS) as stage:
        clients = [Client(fe.address, record, f"c{i}-{fe.name}", 2) for fe in stage.front_ends for i in range(CLIENTS)]
        until = asyncio.get_running_loop().time() + DURATION
        await asyncio.gather(*(ask(client, number, until) for number, client in enumerate(clients)))
        await asyncio.sleep(6.6)
        for front_end in stage.front_ends:
            record.add(f"{front_end.name} counted {front_end.count('invalid_answers')} answers that can't be read")
        served = sum(request.words[:1] == ["answer"] for client in clients for request in client.requests)
        record.add(f"{served} answers were served, {len(spoilt)} of the workers' were spoilt")
        if not served:
            raise CannotRunError("nothing was served")
        return check(workers, clients)


if __name__ == "__main__":
    sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), play))

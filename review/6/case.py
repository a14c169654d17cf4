"""Bad clients fill the memory for clients: usual clients that send several requests at once lose some."""

import asyncio
import contextlib
import random
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import peers_2 as peers

MEMORY_MB = 64  # of the front end, as in deploy/platform.json; the pages name 32 to 192
SOCKETS = 1024  # descriptors of the front end: within 256 to 1,024
HALVES = 220  # bad clients that send half a request; all clients hold under a third of the descriptors
FLOODS = 60  # bad clients that send as many requests at once as a connection may have open
FRAME = 24000  # bytes that a bad client's frame is said to have, body and fields
HALF_SECONDS = 1.5  # after which a bad client closes; the front end's own bound on a frame is 2 s
BURST = 8  # requests that a usual client sends at once, of 32 that may be open
BODY = 16 * 1024
LENGTH = 40.0  # s
FUNCTIONS = [f"{number:016x}" for number in range(0x7F3A9C21E0B4D600, 0x7F3A9C21E0B4D600 + 6)]
SETTINGS = peers.platform_settings(
    lanes=[{"name": "position", "repeat": "pure", "aim": 600000, "deadline": 5000000, "gain": 2.0}],
    limits={
        "send-cap": 5,
        "second-copies": True,
        "cancelling": True,
        "probing": True,
        "retry-after": False,
        "dial-timeout": 250000,
        "idle-close": 15000000,
    },
    **{
        "family-info": {
            "memory-mb-by-kind": [68160.0],
            "idle-life": 8000000,
            "may-load": True,
            "if-cold": "load",
            "load-wait": 10000000,
            "warm-notes": True,
            "says-company": True,
            "free-loads": 6.0,
            "load-part": 0.2,
            "load-window": 5000000,
        }
    },
    rules={
        "cold-from": 0.2,
        "ramp-time": 18000000,
        "overload-factor": 2.0,
        "tip-after": 2000000,
        "stop-sending-within": 500000,
    },
)


async def half_client(port: int, until: float, record: peers.Record) -> None:
    """Sends half a request and closes; begins again, also where it is turned away."""
    half = struct.pack(">i", FRAME) + b"\x80\x01\x00\x01" + bytes(FRAME - 200)
    await asyncio.sleep(random.random())
    while record.now() < until:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(half)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HALF_SECONDS):
                    while await reader.read(4096):
                        pass
            writer.close()
        await asyncio.sleep(0.05)


async def flooding_client(port: int, until: float, record: peers.Record) -> None:
    """Sends 32 requests at once for functions that no worker knows, and the same again."""
    unwritten = peers.Record(record.path.parent)  # what it sends is in the record as the workers' attempts
    while record.now() < until:
        with contextlib.suppress(OSError):
            client = peers.Client(unwritten, "flood")
            await client.connect(port)
            for _ in range(32):
                client.send("position", f"{random.getrandbits(64):016x}", 5.0, random.randbytes(BODY))
            await asyncio.wait([call.done for call in client.calls.values()], timeout=3)
            await client.close()
        await asyncio.sleep(0.05)


async def invoke(worker: peers.Worker, link: peers.Link, attempt: peers.Attempt) -> None:
    """Serves an attempt; one for a function that the worker does not know is answered with an error."""
    if attempt.fields["name"] in FUNCTIONS:
        await worker.serve(link, attempt)
        return
    await asyncio.sleep(0.05)
    worker.answer(link, attempt, b"EIO", b"-")


async def usual_client(stage: peers.Stage, calls: list[peers.Call], until: float) -> None:
    """Sends bursts of requests on one connection, which it makes again where it has ended."""
    record, port = stage.record, stage.front_ends[0].port
    client = peers.Client(record, f"client{len(calls)}")
    while record.now() < until:
        if not client.connected:
            await client.close()
            client = peers.Client(record, client.name)
            await client.connect(port)
        burst = [client.send("position", random.choice(FUNCTIONS), 5.0, random.randbytes(BODY)) for _ in range(BURST)]
        calls += burst  # at once: those of a burst stay together
        await asyncio.wait([call.done for call in burst], timeout=6)
        await asyncio.sleep(0.3)
    await client.close()


async def play(stage: peers.Stage) -> list[str]:
    """Plays both kinds of clients and returns the requests of usual ones that were lost."""
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    workers = [peers.Worker(f"w{index}", stage.record, work=0.2, on_invoke=invoke) for index in range(6)]
    await stage.open(SETTINGS, workers, limits=limits)
    until = stage.record.now() + LENGTH
    calls: list[peers.Call] = []
    port = stage.front_ends[0].port
    others = [half_client(port, until, stage.record) for _ in range(HALVES if peers.TROUBLE else 0)]
    others += [flooding_client(port, until, stage.record) for _ in range(FLOODS if peers.TROUBLE else 0)]
    await asyncio.gather(*others, *(usual_client(stage, calls, until) for _ in range(4)))
    await asyncio.sleep(0.5)
    words = [call.answers[0][1] if call.answers else "none" for call in calls]
    stage.record.add("clients", str({word: words.count(word) for word in sorted(set(words))}))
    return lost(stage, calls)


def lost(stage: peers.Stage, calls: list[peers.Call]) -> list[str]:
    """Returns a line for each request without an answer, sent while an earlier one of its connection was open.

    Not counted, as the pages excuse them: requests on a connection of which the front end has sent nothing on, and
    requests that cross the close of a connection without an open request. So of a burst, an earlier request must have
    come to a worker, and the connection must have been ended by the front end.
    """
    came = set(stage.attempts())
    found = []
    for begin in range(0, len(calls), BURST):
        burst = calls[begin : begin + BURST]
        forwarded = [call.ident in came for call in burst]
        found += [
            f"{call.ident}, sent at {call.sent_at:.3f}, has no answer: {call.ended}"
            for index, call in enumerate(burst)
            if not call.answers and call.ended and any(forwarded[:index])
        ]
    return found


if __name__ == "__main__":
    sys.exit(peers.main(play, Path(__file__).resolve().parent))

"""What the desk keeps from being tried: the books of wickdyke/quarantine, fed from what workers say."""

import hashlib
from dataclasses import dataclass

from wickdyke.quarantine.bars import Calls, Isolation, Pauses, Programs


@dataclass(slots=True)
class Cut:
    """A call-out whose connection ended: of which call, at which start of the worker."""

    program: str
    digest: bytes
    start: int


def digest(content: bytes | memoryview) -> bytes:
    """By which inputs are told apart."""
    return hashlib.blake2b(content, digest_size=16).digest()


class CircuitBreaker:
    """Programs that do not load and calls that end copies, for one gateway."""

    digest = staticmethod(digest)

    def __init__(self, isolation: Isolation, front_ends: int, log) -> None:
        self.log = log
        self.programs = Programs(
            isolation.workers, isolation.loads_window, Pauses(isolation.loads_first, isolation.loads_most, front_ends)
        )
        self.calls = Calls(
            isolation.copies, isolation.calls_window, Pauses(isolation.calls_first, isolation.calls_most, front_ends)
        )
        self.cuts: dict[str, list[Cut]] = {}

    def turned_away(self, program: str, content, now: float) -> tuple[str, float] | None:
        """(why, ms until it is worth coming back) of an RPC that is not to be tried now."""
        if (wait := self.programs.wait(program, now)) is not None:
            return "load-failed", wait
        if program in self.calls.barred and (wait := self.calls.wait(program, digest(content), now)) is not None:
            return "poison", wait
        return None

    def stood(self, program: str) -> None:
        """It stands somewhere."""
        if self.programs.stood(program):
            self.log.info("program back", program=program)

    def load_failed(self, program: str, worker: str, now: float) -> None:
        """A load of it failed there."""
        if (pause := self.programs.failed(program, worker, now)) is not None:
            self.log.warning(
                "program barred",
                program=program,
                pause_ms=round(pause),
                why="it loads nowhere: " + ", ".join(self.programs.known[program].failed),
            )

    def ran(self, program: str, content) -> None:
        """A call of it ended without harm."""
        if program in self.calls.barred and self.calls.done(program, digest(content)):
            self.log.info("call back", program=program)

    def copy_ended(self, program: str, mark: bytes, inside: int, now: float) -> None:
        """The copy that a call was in ended with it and others inside."""
        if (pause := self.calls.ended(program, mark, inside, now)) is not None:
            self.log.warning(
                "call barred", program=program, digest=mark.hex(), pause_ms=round(pause), why="copies end under it"
            )

    def cut(self, worker: str, start: int, program: str, mark: bytes) -> bool:
        """A connection ended with the call out. True for the first of that worker: `settle` is due a while later."""
        cuts = self.cuts.setdefault(worker, [])
        cuts.append(Cut(program, mark, start))
        return len(cuts) == 1

    def settle(self, worker: str, start: int | None, now: float) -> None:
        """Whether the worker behind the cuts went down is known by now: `start` is that of its connection, None where
        there is none. A connection lost with the worker living is nobody's blame."""
        cuts = self.cuts.pop(worker, [])
        down = [cut for cut in cuts if cut.start != start]
        for cut in down:
            self.copy_ended(cut.program, cut.digest, len(down), now)

    def is_barred(self, program: str, mark: bytes) -> bool:
        """Whether such a call is not to go on, also where it was taken before."""
        return self.calls.is_barred(program, mark)

"""Server-sent events: lines in, events out. No I/O."""

from dataclasses import dataclass

EVENT = 1 << 22  # bytes of one event at most: a whole list of 20,000 workers, some 200 bytes each


class EventTooLarge(Exception):
    """An event that does not end."""


@dataclass(slots=True, frozen=True)
class Event:
    """One event: its id as it stood at its end, and its data."""

    ident: str
    data: str


class Events:
    """Cuts a stream into events. What breaks off before its empty line is no event."""

    def __init__(self) -> None:
        self.buffer, self.ident, self.data, self.held = bytearray(), "", [], 0
        self.within = False  # a line of an event has come, its end has not

    @property
    def begun(self) -> bool:
        """Whether an event has begun that is not whole. A comment alone is none."""
        return self.within or bool(self.buffer) and not self.buffer.startswith(b":")

    def feed(self, chunk: bytes) -> list[Event]:
        """Takes bytes and gives the events that are whole."""
        self.buffer += chunk
        found = []
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        for raw in lines:
            line = raw.removesuffix(b"\r").decode("utf-8", "replace")
            self.held += len(raw)
            if not line:
                if self.data:
                    found.append(Event(self.ident, "\n".join(self.data)))
                self.data, self.held, self.within = [], 0, False
                continue
            name, _, value = line.partition(":")
            self.within = self.within or bool(name)
            value = value.removeprefix(" ")
            if name == "data":
                self.data.append(value)
            elif name == "id":
                self.ident = value
        if self.held + len(self.buffer) > EVENT:
            raise EventTooLarge(f"an event of over {EVENT} bytes")
        return found

"""Server-sent events: lines in, events out. No I/O."""

from dataclasses import dataclass

EVENT = 1 << 20  # bytes of one event at most


class TooMuch(Exception):
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
                self.data, self.held = [], 0
                continue
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                self.data.append(value)
            elif name == "id":
                self.ident = value
        if self.held + len(self.buffer) > EVENT:
            raise TooMuch(f"an event of over {EVENT} bytes")
        return found

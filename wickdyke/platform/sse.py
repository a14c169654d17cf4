"""Parser of server-sent events. No I/O."""

from dataclasses import dataclass

MAX_EVENT_SIZE = 1 << 22  # bytes; a full list of 20,000 workers at about 200 bytes each


class EventTooLargeError(Exception):
    """An event is larger than MAX_EVENT_SIZE."""


@dataclass(slots=True, frozen=True)
class Event:
    """One event: the last id that the stream has set by its end, and its data."""

    ident: str
    data: str


class EventParser:
    """Parses a stream into events. An event without its final empty line is dropped, as the standard requires."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # the incomplete last line
        self.ident = ""
        self.data: list[str] = []
        self.event_size = 0  # bytes of the lines of the incomplete event
        self.within_event = False  # whether a line of an event was received and the end of the event was not
        self.comment_count = 0  # comments received so far

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event was received and its end was not. A comment is not part of an event."""
        return self.within_event or (bool(self.buffer) and not self.buffer.startswith(b":"))

    def feed(self, chunk: bytes) -> list[Event]:
        """Adds data and returns the events that it completes. Raises EventTooLargeError."""
        self.buffer += chunk
        events = []
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        for raw in lines:
            line = raw.removesuffix(b"\r").decode("utf-8", "replace")
            self.event_size += len(raw)
            if not line:
                if self.data:
                    events.append(Event(self.ident, "\n".join(self.data)))
                self.data = []
                self.event_size = 0
                self.within_event = False
                continue
            name, _, value = line.partition(":")
            self.comment_count += not name
            self.within_event = self.within_event or bool(name)
            value = value.removeprefix(" ")
            if name == "data":
                self.data.append(value)
            elif name == "id":
                self.ident = value
        if self.event_size + len(self.buffer) > MAX_EVENT_SIZE:
            raise EventTooLargeError(f"event exceeds {MAX_EVENT_SIZE} bytes")
        return events

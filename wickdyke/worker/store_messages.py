"""Messages between workers and the store service: one JSON-RPC request a line."""

import msgspec

CHUNK_BYTES = 1 << 16  # of an archive that are sent or read at once
LINE_MOST = 1 << 16  # bytes of a line
UNKNOWN, CROWDED, UNREADABLE = -32020, -32010, -32603  # error codes


class Find(msgspec.Struct):
    """Asks for the archive of a function: NAME or NAME@VERSION."""

    program: str


class Read(msgspec.Struct):
    """Asks for an archive's bytes from an offset on."""

    digest: str
    offset: int = 0


class Entry(msgspec.Struct):
    """The answer to `find`."""

    name: str
    version: str
    digest: str
    size: int


class Follows(msgspec.Struct):
    """The answer to `read`: so many bytes come after this line."""

    bytes: int

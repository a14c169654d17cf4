"""Messages between workers and the store service: one JSON-RPC request a line."""

import msgspec

CHUNK_BYTES = 1 << 16  # of an archive that are sent or read at once
LINE_LIMIT = 1 << 16  # bytes of a line
PACKAGE_NOT_FOUND = -32020  # error code: no such package, or no such bytes of it
TOO_MANY_READERS = -32010  # error code
UNREADABLE = -32603  # error code: the folder can't be read for now


class FindRequest(msgspec.Struct):
    """The params of `find`: the archive of a function, NAME or NAME@VERSION."""

    function: str = msgspec.field(name="program")


class ReadRequest(msgspec.Struct):
    """The params of `read`: an archive's bytes from an offset on."""

    digest: str
    offset: int = 0


class FindResult(msgspec.Struct):
    """The result of `find`; `size` is in bytes."""

    name: str
    version: str
    digest: str
    size: int


class ReadResult(msgspec.Struct):
    """The result of `read`: as many bytes follow after this line."""

    bytes: int

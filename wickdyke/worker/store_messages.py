"""Messages between workers and the store service: one JSON-RPC request a line."""

import msgspec

CHUNK_BYTES = 1 << 16  # of an archive, sent or received at a time
LINE_LIMIT = 1 << 16  # the most bytes of a line
PACKAGE_NOT_FOUND = -32020  # error code: there is no such package, or it has no such offset
TOO_MANY_READERS = -32010  # error code: the limit of concurrent reads is reached
UNREADABLE = -32603  # error code: the folder can't be read at present


class FindRequest(msgspec.Struct):
    """The params of `find`, which looks up the archive of a function, NAME or NAME@VERSION."""

    function: str = msgspec.field(name="program")


class ReadRequest(msgspec.Struct):
    """The params of `read`, which reads the archive with a digest from an offset in bytes to its end."""

    digest: str
    offset: int = 0


class FindResult(msgspec.Struct):
    """The result of `find`: the archive that was found. `size` is in bytes."""

    name: str
    version: str
    digest: str
    size: int


class ReadResult(msgspec.Struct):
    """The result of `read`: the number of bytes that follow after this line."""

    bytes: int

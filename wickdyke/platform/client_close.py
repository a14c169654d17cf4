"""Why a connection of a client was closed, as the counts of the log name it."""

from enum import StrEnum


class CloseReason(StrEnum):
    """The reasons for which the front end closes a connection of a client."""

    CLIENT_CLOSED = "by_client"  # the client closed or reset it
    ANSWERED = "answered"  # it had ended earlier, and its last answer was written
    WRITE_FAILED = "write_failed"
    UNREAD = "unread"  # the client does not read its answers
    FAULT = "fault"  # its handler raised an exception
    IDLE = "idle"  # its descriptor was needed
    SILENT = "silent"  # the first request, or the rest of a frame, did not come in time
    SHUTDOWN = "shutdown"

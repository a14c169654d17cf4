"""A socket that takes of each send what the test has laid down."""


class Socket:
    """Takes what `takes` says of each send: bytes, or an error to raise; `data` is what it took."""

    def __init__(self, *takes):
        self.takes, self.data = list(takes), b""

    def send(self, data, flags):
        takes = self.takes.pop(0)
        if isinstance(takes, Exception):
            raise type(takes)(*takes.args)  # itself, it would keep the frames that it went through
        self.data += bytes(data[:takes])
        return min(takes, len(data))

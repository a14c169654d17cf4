"""A fake socket whose sends have scripted results."""


class ScriptedSocket:
    """A socket whose sends have these `results`: a number of bytes to accept, or an error to raise.

    `sent_data` holds the bytes accepted.
    """

    def __init__(self, *results):
        self.results, self.sent_data = list(results), b""

    def send(self, sent_data, flags):
        """Accepts the scripted number of bytes and returns it, or raises the scripted error."""
        results = self.results.pop(0)
        if isinstance(results, Exception):
            raise type(results)(
                *results.args
            )  # a copy: the error itself would keep a reference to the frames it passed through
        self.sent_data += bytes(sent_data[:results])
        return min(results, len(sent_data))

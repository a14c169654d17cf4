"""The budget of a front end for health checks and prewarms.

The health checks and prewarms of many front ends would cost more than the requests themselves, so their rate is
proportional to that of the front end's own requests.
"""

TOKENS_PER_REQUEST = 0.5  # one token pays for one health check or prewarm
MAX_TOKENS = 8.0
SPARE_TOKENS = MAX_TOKENS / 2  # above this number, health checks that no decision waits for are sent too


class ControlBudget:
    """A token bucket that requests fill and that health checks and prewarms draw on."""

    def __init__(self) -> None:
        """Creates a full bucket."""
        self.tokens = MAX_TOKENS

    def request_received(self) -> None:
        """Adds the tokens of a request."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def has_token(self) -> bool:
        """Returns whether there is at least one token."""
        return self.tokens >= 1

    def has_spare_tokens(self) -> bool:
        """Returns whether there are enough tokens for health checks that no decision waits for."""
        return self.tokens > SPARE_TOKENS

    def spend(self) -> None:
        """Removes a token."""
        self.tokens -= 1

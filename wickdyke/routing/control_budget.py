"""What front ends may spend on health checks and prewarms.

Those of many front ends would cost more than the requests themselves, so their rate follows that of our own requests.
"""

TOKENS_PER_REQUEST = 0.5  # one token is one health check or prewarm
MAX_TOKENS = 8.0
SPARE_TOKENS = MAX_TOKENS / 2  # above which also workers are checked that no decision depends on


class ControlBudget:
    """A token bucket filled by requests; health checks and prewarms draw on it."""

    def __init__(self) -> None:
        """A full bucket."""
        self.tokens = MAX_TOKENS

    def request_received(self) -> None:
        """Adds the tokens of a request."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def has_token(self) -> bool:
        """Whether there is a token."""
        return self.tokens >= 1

    def has_spare_tokens(self) -> bool:
        """Whether there are enough tokens for checks that no decision depends on."""
        return self.tokens > SPARE_TOKENS

    def spend(self) -> None:
        """Removes a token."""
        self.tokens -= 1

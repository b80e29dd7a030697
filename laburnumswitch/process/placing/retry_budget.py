"""Budget for retries of requests to upstreams, shared by all requests of an entry process."""

TOKENS_PER_REQUEST = 0.1
INITIAL_TOKENS = 5.0
MAX_TOKENS = 50.0


class RetryBudget:
    """Token bucket that is filled by requests and emptied by retries.

    Over the lifetime of a process, requests and their retries are together at most
    ``1 + TOKENS_PER_REQUEST`` times the number of requests plus ``INITIAL_TOKENS``.

    :ivar refused: number of retries refused so far.
    """

    def __init__(
        self, tokens_per_request: float = TOKENS_PER_REQUEST, initial_tokens: float = INITIAL_TOKENS
    ) -> None:
        self.refused = 0
        self._tokens_per_request = tokens_per_request
        self._tokens = initial_tokens

    def earn(self) -> None:
        """Add the fraction of a token that one request earns."""
        self._tokens = min(self._tokens + self._tokens_per_request, MAX_TOKENS)

    def has_tokens(self, tokens: float) -> bool:
        """Return whether at least ``tokens`` are left, without taking any."""
        return self._tokens >= tokens

    def spend(self) -> bool:
        """Take the token for one retry; return ``False`` if none is left."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True

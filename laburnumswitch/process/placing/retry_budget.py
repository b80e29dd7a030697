"""Budget of repeated sends, shared by all requests of a process."""

TOKENS_PER_REQUEST = 0.1
FIRST_TOKENS = 5.0
MAX_TOKENS = 50.0


class RetryBudget:
    """Tokens that requests earn and repeated sends spend.

    Over the life of a process, sends are at most ``1 + TOKENS_PER_REQUEST`` times the requests
    plus ``FIRST_TOKENS``.
    """

    def __init__(
        self, tokens_per_request: float = TOKENS_PER_REQUEST, first_tokens: float = FIRST_TOKENS
    ) -> None:
        self.refused = 0
        self._tokens_per_request = tokens_per_request
        self._tokens = first_tokens

    def earn(self) -> None:
        """Count one request."""
        self._tokens = min(self._tokens + self._tokens_per_request, MAX_TOKENS)

    def has(self, tokens: float) -> bool:
        """Return whether there are as many tokens, without taking any."""
        return self._tokens >= tokens

    def spend(self) -> bool:
        """Take the token of one repeated send; ``False`` where there is none."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True

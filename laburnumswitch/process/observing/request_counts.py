"""Counters of the request path."""

from collections import Counter
from collections.abc import Callable


class RequestCounts:
    """Counters since the process started.

    ``by_outcome`` is keyed by (service, outcome). ``sends`` counts requests written to an upstream
    in whole or in part, including repeats. ``replayed`` counts requests answered with the stored
    answer of an earlier one with the same idempotency key. ``observe_seconds`` is a callback that
    receives the service and duration of each request.
    """

    def __init__(self) -> None:
        self.by_outcome: Counter[tuple[str, str]] = Counter()
        self.requests = 0
        self.sends = 0
        self.retries = 0
        self.hedges = 0
        self.shed = 0
        self.replayed = 0
        self.observe_seconds: Callable[[str, float], None] = lambda service, taken_s: None

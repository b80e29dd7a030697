"""Counters of the request path."""

from collections import Counter
from collections.abc import Callable


class RequestCounts:
    """Counters since the process began.

    ``by_outcome`` is keyed by (service, outcome); ``sends`` counts requests written to an upstream
    in whole or in part, repeats included. ``note_seconds`` is told a service and how long one of
    its requests took.
    """

    def __init__(self) -> None:
        self.by_outcome: Counter[tuple[str, str]] = Counter()
        self.requests = 0
        self.sends = 0
        self.retries = 0
        self.hedges = 0
        self.shed = 0
        self.replayed = 0
        self.note_seconds: Callable[[str, float], None] = lambda service, taken_s: None

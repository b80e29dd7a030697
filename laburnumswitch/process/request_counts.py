"""Counters of the request path."""

from collections import Counter


class RequestCounts:
    """Counters since the process began.

    ``by_outcome`` is keyed by (service, outcome); ``sends`` counts requests written to an upstream
    in whole or in part, repeats included.
    """

    def __init__(self) -> None:
        self.by_outcome: Counter[tuple[str, str]] = Counter()
        self.requests = 0
        self.sends = 0
        self.retries = 0
        self.hedges = 0
        self.shed = 0
        self.replayed = 0

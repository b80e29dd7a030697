"""Bounded queue of requests that wait for a free slot of a service."""

from bisect import insort
from collections.abc import Callable
from enum import Enum

from gevent.event import Event

MAX_WAIT_S = 0.025
# Requests that may wait however small the capacity passed to ``wait`` is.
MIN_CAPACITY = 2


class WaitOutcome(Enum):
    """How a wait ended: a slot became free, the wait timed out, or the queue was full."""

    TURN = "turn"
    LATE = "late"
    DISPLACED = "displaced"


class _Waiter:
    def __init__(self, rank: int, number: int) -> None:
        self.order = (rank, number)
        self.event = Event()
        self.displaced = False

    def __lt__(self, other: "_Waiter") -> bool:
        return self.order < other.order


class ServiceQueue:
    """Requests that wait for one service, ordered by rank, lowest first, then by arrival."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: list[_Waiter] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def would_be_first(self, rank: int) -> bool:
        """Return whether a request that arrives now with ``rank`` would be first."""
        return not self._waiting or rank < self._waiting[0].order[0]

    def next_arrival_number(self) -> int:
        """Return the arrival number for a new request."""
        self._arrivals += 1
        return self._arrivals

    def wait(self, rank: int, number: int, until_s: float, capacity: int) -> WaitOutcome:
        """Wait for a free slot until ``until_s`` on the clock.

        :param capacity: maximum number of waiting requests, but never less than ``MIN_CAPACITY``.
            If it is exceeded, the last request in order is displaced.
        """
        limit_s = until_s - self._clock()
        if limit_s <= 0:
            return WaitOutcome.LATE
        waiter = _Waiter(rank, number)
        insort(self._waiting, waiter)
        if len(self._waiting) > max(capacity, MIN_CAPACITY):
            last = self._waiting.pop()
            last.displaced = True
            if last is waiter:
                return WaitOutcome.DISPLACED
            last.event.set()
        try:
            waiter.event.wait(limit_s)
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
        if waiter.displaced:
            return WaitOutcome.DISPLACED
        return WaitOutcome.TURN if waiter.event.is_set() else WaitOutcome.LATE

    def wake(self) -> None:
        """Wake the first request in order, because a slot is free."""
        if self._waiting:
            self._waiting.pop(0).event.set()

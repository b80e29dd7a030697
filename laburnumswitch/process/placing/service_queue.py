"""Short queue of requests that wait for a free slot of a service."""

from bisect import insort
from collections.abc import Callable
from enum import Enum

from gevent.event import Event

MAX_WAIT_S = 0.025
MIN_CAPACITY = 2


class Verdict(Enum):
    """How a wait ended: a slot is free, the time is up, or a better request took the place."""

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
    """Requests waiting for one service; a lower rank goes first, then the order of arrival."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: list[_Waiter] = []
        self._numbers = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def is_ahead(self, rank: int) -> bool:
        """Return whether a request that arrives now with ``rank`` goes before all that wait."""
        return not self._waiting or rank < self._waiting[0].order[0]

    def next_number(self) -> int:
        """Return the place of a request in the order of arrival."""
        self._numbers += 1
        return self._numbers

    def wait(self, rank: int, number: int, until_s: float, capacity: int) -> Verdict:
        """Wait for a turn until an instant of the clock.

        :param capacity: most requests that may wait, though never fewer than ``MIN_CAPACITY``;
            where there are more, the last in order goes.
        """
        limit_s = until_s - self._clock()
        if limit_s <= 0:
            return Verdict.LATE
        waiter = _Waiter(rank, number)
        insort(self._waiting, waiter)
        if len(self._waiting) > max(capacity, MIN_CAPACITY):
            last = self._waiting.pop()
            last.displaced = True
            if last is waiter:
                return Verdict.DISPLACED
            last.event.set()
        try:
            waiter.event.wait(limit_s)
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
        if waiter.displaced:
            return Verdict.DISPLACED
        return Verdict.TURN if waiter.event.is_set() else Verdict.LATE

    def wake(self) -> None:
        """Give the turn to the first in order."""
        if self._waiting:
            self._waiting.pop(0).event.set()

"""Relates the store's monotonic clock to the clock of this entry, with bounds on both sides.

Instants that outlast an owner are stored on the store's clock, as the clocks of two entries have
nothing in common. Every answer that tells the store's clock bounds it: the store has read it
between the sending of the call and the arrival of the answer.
"""

from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import ReadFailure

# Largest difference between the rates of the two clocks.
MAX_RATE_DIFFERENCE = 0.001

Answer = TypeVar("Answer")


class _Reading(NamedTuple):
    """A reading of the store's clock, and a local instant before or after which it was made."""

    local_s: float
    store_s: float


class StoreClock:
    """Bounds of the store's clock, from its answers.

    Local instants are on a clock that includes the time for which the VM was suspended. An instant
    before the readings that give a bound is taken to be as far from them as the rates allow.
    """

    def __init__(self) -> None:
        self._latest: _Reading | None = None
        self._earliest: _Reading | None = None

    def note(self, sent_s: float, received_s: float, store_s: float) -> None:
        """Record an answer of the store that tells its clock."""
        latest_s = self.latest_s(received_s)
        earliest_s = self.earliest_s(received_s)
        after_sent_s = (received_s - sent_s) * (1 + MAX_RATE_DIFFERENCE)
        if latest_s is None or store_s + after_sent_s < latest_s:
            self._latest = _Reading(sent_s, store_s)
        if earliest_s is None or store_s > earliest_s:
            self._earliest = _Reading(received_s, store_s)

    def latest_s(self, local_s: float) -> float | None:
        """Return an upper bound of the store's clock at a local instant, ``None`` if unknown."""
        if self._latest is None:
            return None
        passed_s = local_s - self._latest.local_s
        return self._latest.store_s + passed_s + abs(passed_s) * MAX_RATE_DIFFERENCE

    def earliest_s(self, local_s: float) -> float | None:
        """Return a lower bound of the store's clock at a local instant, ``None`` if unknown."""
        if self._earliest is None:
            return None
        passed_s = local_s - self._earliest.local_s
        return self._earliest.store_s + passed_s - abs(passed_s) * MAX_RATE_DIFFERENCE

    def local_after_s(self, store_s: float) -> float | None:
        """Return a local instant at which the store's clock has certainly reached ``store_s``."""
        if self._earliest is None:
            return None
        passed_s = store_s - self._earliest.store_s
        return self._earliest.local_s + passed_s + abs(passed_s) * 2 * MAX_RATE_DIFFERENCE


class StoreTime:
    """Converts instants between the monotonic clock and the store's, never to earlier ones.

    Its reads of the store keep the bounds up to date.

    :param clock: monotonic, stands still while the VM is suspended, in seconds.
    :param boot_clock: monotonic, includes the time for which the VM was suspended, in seconds.
    """

    def __init__(
        self, table: FeedTable, clock: Callable[[], float], boot_clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._clock = clock
        self._boot_clock = boot_clock
        self._store_clock = StoreClock()

    def load(self, table: str) -> Changes | ReadFailure:
        """Return every row whose key starts with ``table`` and a slash."""
        sent_s = self._boot_clock()
        return self._note(sent_s, self._table.load(table))

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        """Return the changes after a version, waiting up to ``wait_s`` for the first."""
        sent_s = self._boot_clock()
        return self._note(sent_s, self._table.follow(table, after, wait_s))

    def _note(self, sent_s: float, changes: Answer) -> Answer:
        if isinstance(changes, Changes):
            self._store_clock.note(sent_s, self._boot_clock(), changes.now_s)
        return changes

    def to_store_s(self, instant_s: float) -> float | None:
        """Return an upper bound of the store's clock at an instant, ``None`` if unknown."""
        return self._store_clock.latest_s(self._boot_clock() + instant_s - self._clock())

    def from_store_s(self, store_s: float) -> float | None:
        """Return an instant at which the store's clock has reached ``store_s``, if known."""
        local_s = self._store_clock.local_after_s(store_s)
        return None if local_s is None else self._clock() + local_s - self._boot_clock()

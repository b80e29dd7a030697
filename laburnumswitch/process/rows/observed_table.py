"""Table wrappers that record whether the store answers, and do not wait for one that is away."""

from typing import TypeVar

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.rows.reach import Reach
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction

T = TypeVar("T")


class ObservedTable:
    """Forwards every call and records answers and failures in ``reach``."""

    def __init__(self, table: FeedTable, reach: Reach) -> None:
        self._table = table
        self._reach = reach

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""
        return self._record(self._table.read(keys))

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""
        return self._record(self._table.scan(prefix, after))

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        return self._record(self._table.commit(transaction))

    def load(self, table: str) -> Changes | ReadFailure:
        """Return all rows of a table, and the version from which to follow its changes."""
        return self._record(self._table.load(table))

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        """Return a table's rows changed after a version, waiting up to ``wait_s`` for the first."""
        return self._record(self._table.follow(table, after, wait_s))

    def _record(self, outcome: T) -> T:
        if isinstance(outcome, Failure) and not isinstance(outcome, Conflict | HistoryLost):
            self._reach.note_failure()
        else:
            self._reach.note_answer()
        return outcome


class FailFastTable:
    """Forwards calls for rows, and fails them at once while the store is away.

    The caller of a request has a time limit, and another entry may reach the store. Feeds go to
    the other table, and notice when the store is back.
    """

    def __init__(self, table: FeedTable, reach: Reach) -> None:
        self._table = table
        self._reach = reach

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""
        return self._away() or self._table.read(keys)

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""
        return self._away() or self._table.scan(prefix, after)

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        return self._away() or self._table.commit(transaction)

    def _away(self) -> Unavailable | None:
        if not self._reach.is_away():
            return None
        return Unavailable(f"no answer of the store for {self._reach.silent_s():.1f} s")

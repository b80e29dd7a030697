"""Table in memory whose changes can be followed, with the faults of the platform's store."""

from collections.abc import Callable
from time import monotonic

from gevent.event import Event

from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction
from standin.table import MemoryTable


class FeedMemoryTable(MemoryTable):
    """A table with a history.

    :ivar delayed: the next so many commits are not answered, and wait for ``run_delayed``.
    """

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        super().__init__(clock=clock)
        self.delayed = 0
        self._clock = clock
        self._delayed_transactions: list[Transaction] = []
        self._changes: list[Row] = []
        self._forgotten = 0
        self._changed = Event()

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        if self.delayed > 0:
            self.delayed -= 1
            self._delayed_transactions.append(transaction)
            return OutcomeUnknown("answer lost, carried out later")
        return super().commit(transaction)

    def run_delayed(self) -> int:
        """Carry out the commits that were held back, and return how many took effect."""
        waiting, self._delayed_transactions = self._delayed_transactions, []
        outcomes = [super(FeedMemoryTable, self).commit(each) for each in waiting]
        return sum(isinstance(outcome, Committed) for outcome in outcomes)

    def load(self, table: str) -> Changes | ReadFailure:
        """Return every row of a table, and the version to follow its changes from."""
        refusal = self._refuse(self.reads, 1)
        if refusal:
            return refusal
        prefix = f"{table}/"
        keys = sorted(key for key in self._by_key if key.startswith(prefix))
        return Changes(tuple(self._row(key) for key in keys), self._version, self._clock())

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        """Return the rows of a table that changed after a version, as soon as there are any."""
        deadline_s = self._clock() + wait_s
        while True:
            refusal = self._refuse(self.reads, 1)
            if refusal:
                return refusal
            if after < self._forgotten:
                return HistoryLost(table, after)
            rows = self._newest_changes(f"{table}/", after)
            left_s = deadline_s - self._clock()
            if rows or left_s <= 0:
                return Changes(rows, self._version, self._clock())
            self._changed.clear()
            self._changed.wait(left_s)

    def forget_history(self) -> None:
        """Drop the history; whoever follows from an earlier version has to read again."""
        self._forgotten = self._version
        self._changes.clear()
        self._changed.set()

    def _newest_changes(self, prefix: str, after: int) -> tuple[Row, ...]:
        newest: dict[str, Row] = {}
        for row in self._changes:
            if row.version > after and row.key.startswith(prefix):
                newest.pop(row.key, None)
                newest[row.key] = row
        return tuple(newest.values())

    def _apply(self, transaction: Transaction) -> None:
        removed = [key for key in transaction.deletes if key in self._by_key]
        super()._apply(transaction)
        self._changes.extend(self._row(put.key) for put in transaction.puts)
        self._changes.extend(Row(key, self._version, None) for key in removed)
        self._changed.set()

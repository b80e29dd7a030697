"""In-memory table with a change feed and the faults of the platform's store."""

from collections.abc import Callable
from enum import Enum
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


class CommitLoss(Enum):
    """What is lost of a commit: nothing, the answer of a commit that is applied, or the commit."""

    NOTHING = "nothing"
    ANSWER = "answer"
    WRITE = "write"


def lose_nothing(transaction: Transaction) -> CommitLoss:
    """Lose no commit."""
    return CommitLoss.NOTHING


class FeedMemoryTable(MemoryTable):
    """A table that keeps the history of its changes.

    :ivar delayed_commits: number of coming commits that report ``OutcomeUnknown`` and are applied
        only by ``apply_delayed_commits``.
    :ivar choose_loss: says what is lost of a commit.
    """

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        super().__init__(clock=clock)
        self.delayed_commits = 0
        self.choose_loss: Callable[[Transaction], CommitLoss] = lose_nothing
        self._clock = clock
        self._delayed_transactions: list[Transaction] = []
        self._changes: list[Row] = []
        self._history_start = 0
        self._changed = Event()

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        loss = self.choose_loss(transaction)
        if loss is CommitLoss.WRITE:
            return OutcomeUnknown("commit lost")
        if loss is CommitLoss.ANSWER:
            outcome = super().commit(transaction)
            return OutcomeUnknown("answer lost") if isinstance(outcome, Committed) else outcome
        if self.delayed_commits > 0:
            self.delayed_commits -= 1
            self._delayed_transactions.append(transaction)
            return OutcomeUnknown("answer lost, commit delayed")
        return super().commit(transaction)

    def commit_unharmed(self, transaction: Transaction) -> Committed | CommitFailure:
        """Commit at once and with an answer, which leaves the faults to the commits of others."""
        faults = self.delayed_commits, self.lose_answers
        self.delayed_commits = self.lose_answers = 0
        outcome = super().commit(transaction)
        self.delayed_commits, self.lose_answers = faults
        return outcome

    def apply_delayed_commits(self) -> int:
        """Apply the delayed commits, and return how many took effect."""
        delayed, self._delayed_transactions = self._delayed_transactions, []
        outcomes = [super(FeedMemoryTable, self).commit(each) for each in delayed]
        return sum(isinstance(outcome, Committed) for outcome in outcomes)

    def load(self, table: str) -> Changes | ReadFailure:
        """Return every row of a table, and the version from which to follow its changes."""
        refusal = self._refuse(self.read_budget, 1)
        if refusal:
            return refusal
        prefix = f"{table}/"
        keys = sorted(key for key in self._stored_by_key if key.startswith(prefix))
        return Changes(tuple(self._row(key) for key in keys), self._version, self._clock())

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        """Wait up to ``wait_s`` for changes of a table after a version, and return them."""
        deadline_s = self._clock() + wait_s
        while True:
            refusal = self._refuse(self.read_budget, 1)
            if refusal:
                return refusal
            if after < self._history_start:
                return HistoryLost(table, after)
            rows = self._changes_after(f"{table}/", after)
            left_s = deadline_s - self._clock()
            if rows or left_s <= 0:
                return Changes(rows, self._version, self._clock())
            self._changed.clear()
            self._changed.wait(left_s)

    def peek(self, key: str) -> Row:
        """Return a row as it is stored, whatever faults there are."""
        return self._row(key)

    def drop_history(self) -> None:
        """Drop the history; followers from an earlier version have to load the table again."""
        self._history_start = self._version
        self._changes.clear()
        self._changed.set()

    def _changes_after(self, prefix: str, after: int) -> tuple[Row, ...]:
        # Each change of a row, as the platform's store lists them, and not only its last one.
        return tuple(
            row for row in self._changes if row.version > after and row.key.startswith(prefix)
        )

    def _apply(self, transaction: Transaction) -> None:
        removed = [key for key in transaction.deletes if key in self._stored_by_key]
        super()._apply(transaction)
        self._changes.extend(self._row(put.key) for put in transaction.puts)
        self._changes.extend(Row(key, self._version, None) for key in removed)
        self._changed.set()

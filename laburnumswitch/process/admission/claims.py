"""Commits the row changes of many concurrent requests in few transactions."""

from typing import NamedTuple

from gevent import sleep
from gevent import spawn
from gevent.event import AsyncResult

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

GATHER_S = 0.002
BATCH_ROWS = 64
MAX_WAITING = 512
FULL_RETRY_AFTER_S = 1.0


class RowChange(NamedTuple):
    """A change of one row on the condition of its version; ``value`` ``None`` deletes it."""

    key: str
    version: int
    value: dict | None


class _Waiting(NamedTuple):
    change: RowChange
    outcome: AsyncResult


class ClaimCommitter:
    """Gathers changes for a few milliseconds and commits them together.

    Changes are independent: one whose condition doesn't hold never fails another.
    """

    def __init__(self, table: Table, gather_s: float = GATHER_S) -> None:
        self.table = table
        self.transactions = 0
        self._gather_s = gather_s
        self._waiting: list[_Waiting] = []
        self._running = False

    def commit(self, change: RowChange) -> Committed | CommitFailure:
        """Commit one change and return its own outcome."""
        if len(self._waiting) >= MAX_WAITING:
            return Throttled(FULL_RETRY_AFTER_S)
        outcome = AsyncResult()
        self._waiting.append(_Waiting(change, outcome))
        if not self._running:
            self._running = True
            spawn(self._run)
        return outcome.get()

    def _run(self) -> None:
        try:
            while self._waiting:
                sleep(self._gather_s)
                batch = self._take_batch()
                self._commit_batch(batch)
        finally:
            self._running = False

    def _take_batch(self) -> list[_Waiting]:
        batch = []
        left = []
        keys = set()
        for waiting in self._waiting:
            if len(batch) == BATCH_ROWS or waiting.change.key in keys:
                left.append(waiting)
                continue
            keys.add(waiting.change.key)
            batch.append(waiting)
        self._waiting = left
        return batch

    def _commit_batch(self, batch: list[_Waiting]) -> None:
        try:
            batch = self._try_commit(batch)
            if batch:
                batch = self._drop_conflicting(batch)
            for waiting in batch:
                # A row changed between the read and now: the rest goes one by one.
                self._try_commit([waiting])
        except BaseException as error:
            for waiting in batch:
                if not waiting.outcome.ready():
                    waiting.outcome.set(OutcomeUnknown(type(error).__name__))
            raise

    def _try_commit(self, batch: list[_Waiting]) -> list[_Waiting]:
        """Commit ``batch`` and return it again if it failed for the conflict of one of many."""
        self.transactions += 1
        result = self.table.commit(_transaction_of(batch))
        if isinstance(result, Conflict) and len(batch) > 1:
            return batch
        for waiting in batch:
            waiting.outcome.set(result)
        return []

    def _drop_conflicting(self, batch: list[_Waiting]) -> list[_Waiting]:
        """Settle the changes whose condition doesn't hold and commit the others together."""
        rows = self.table.read(tuple(waiting.change.key for waiting in batch))
        if isinstance(rows, Unavailable | Throttled):
            for waiting in batch:
                waiting.outcome.set(rows)
            return []
        sound = []
        for waiting in batch:
            change = waiting.change
            actual = rows[change.key].version
            if actual == change.version:
                sound.append(waiting)
            else:
                waiting.outcome.set(Conflict(change.key, change.version, actual))
        return self._try_commit(sound) if sound else []


def _transaction_of(batch: list[_Waiting]) -> Transaction:
    changes = [waiting.change for waiting in batch]
    return Transaction(
        tuple(Condition(change.key, change.version) for change in changes),
        tuple(Put(change.key, change.value) for change in changes if change.value is not None),
        tuple(change.key for change in changes if change.value is None),
    )

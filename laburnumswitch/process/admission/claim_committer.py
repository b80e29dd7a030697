"""Batches the claim-row changes of concurrent requests into few transactions."""

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

BATCH_DELAY_S = 0.002
MAX_BATCH_ROWS = 64
MAX_QUEUED = 512
QUEUE_FULL_RETRY_AFTER_S = 1.0


class RowChange(NamedTuple):
    """A change of one row, conditional on its version; a ``value`` of ``None`` deletes it."""

    key: str
    version: int
    value: dict | None


class _QueuedChange(NamedTuple):
    change: RowChange
    outcome: AsyncResult


class ClaimCommitter:
    """Collects changes for a few milliseconds and commits them in one transaction.

    Changes are independent: if one conflicts, the others are still committed.
    """

    def __init__(self, table: Table, batch_delay_s: float = BATCH_DELAY_S) -> None:
        self.table = table
        self.transactions = 0
        self._batch_delay_s = batch_delay_s
        self._queue: list[_QueuedChange] = []
        self._running = False

    def commit(self, change: RowChange) -> Committed | CommitFailure:
        """Commit one change and return its own outcome."""
        if len(self._queue) >= MAX_QUEUED:
            return Throttled(QUEUE_FULL_RETRY_AFTER_S)
        outcome = AsyncResult()
        self._queue.append(_QueuedChange(change, outcome))
        if not self._running:
            self._running = True
            spawn(self._run)
        return outcome.get()

    def _run(self) -> None:
        try:
            while self._queue:
                sleep(self._batch_delay_s)
                batch = self._take_batch()
                self._commit_batch(batch)
        finally:
            self._running = False

    def _take_batch(self) -> list[_QueuedChange]:
        batch = []
        remaining = []
        keys = set()
        for queued in self._queue:
            if len(batch) == MAX_BATCH_ROWS or queued.change.key in keys:
                remaining.append(queued)
                continue
            keys.add(queued.change.key)
            batch.append(queued)
        self._queue = remaining
        return batch

    def _commit_batch(self, batch: list[_QueuedChange]) -> None:
        try:
            batch = self._try_commit(batch)
            if batch:
                batch = self._retry_without_conflicts(batch)
            for queued in batch:
                # A row changed again after it was read. The rest is committed one by one.
                self._try_commit([queued])
        except BaseException as error:
            for queued in batch:
                if not queued.outcome.ready():
                    queued.outcome.set(OutcomeUnknown(type(error).__name__))
            raise

    def _try_commit(self, batch: list[_QueuedChange]) -> list[_QueuedChange]:
        """Commit ``batch`` and set its outcomes.

        :return: ``batch`` if one of several changes conflicts, else an empty list.
        """
        self.transactions += 1
        result = self.table.commit(_make_transaction(batch))
        if isinstance(result, Conflict) and len(batch) > 1:
            return batch
        for queued in batch:
            queued.outcome.set(result)
        return []

    def _retry_without_conflicts(self, batch: list[_QueuedChange]) -> list[_QueuedChange]:
        """Fail the changes whose condition does not hold and commit the others together."""
        rows = self.table.read(tuple(queued.change.key for queued in batch))
        if isinstance(rows, Unavailable | Throttled):
            for queued in batch:
                queued.outcome.set(rows)
            return []
        unchanged = []
        for queued in batch:
            change = queued.change
            actual = rows[change.key].version
            if actual == change.version:
                unchanged.append(queued)
            else:
                queued.outcome.set(Conflict(change.key, change.version, actual))
        return self._try_commit(unchanged) if unchanged else []


def _make_transaction(batch: list[_QueuedChange]) -> Transaction:
    changes = [queued.change for queued in batch]
    return Transaction(
        tuple(Condition(change.key, change.version) for change in changes),
        tuple(Put(change.key, change.value) for change in changes if change.value is not None),
        tuple(change.key for change in changes if change.value is None),
    )

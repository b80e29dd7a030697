"""Builder of the batch that a shard commits next."""

from collections.abc import Callable

from laburnumswitch.process.ledger.journal import Batch
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import LateFinished
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.ledger.records import RecordedOutcome
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.workers.task_spec import LedgerTaskKey


class BatchBuilder:
    """Collects the records, conditions and row writes of one batch.

    :ivar unstartable_groups: groups of which this batch removes pending tasks; it must not start
        any of their tasks.
    :ivar received_job_ids: jobs whose tasks this batch takes from the inbox.
    :ivar urgent: whether the next batch is due as soon as this one is committed.
    :ivar on_commit: functions to call once the batch is known to be committed.
    """

    def __init__(self, ending_tasks: set[LedgerTaskKey] | None = None) -> None:
        # Shared with the sender of worker orders, which must not start a run that this batch ends.
        self.ending_tasks: set[LedgerTaskKey] = set() if ending_tasks is None else ending_tasks
        self.records: list[Record] = []
        self.unstartable_groups: set[int] = set()
        self.received_job_ids: set[str] = set()
        self.urgent = False
        self.on_commit: list[Callable[[], None]] = []
        self._condition_by_key: dict[str, Condition] = {}
        self._puts: list[Put] = []
        self._deletes: list[str] = []
        self._outcome_by_key: dict[LedgerTaskKey, RecordedOutcome] = {}
        self._late_finished: set[LedgerTaskKey] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether the batch has no records, run ends, puts or deletes."""
        return not (self.records or self._outcome_by_key or self._puts or self._deletes)

    def record_run_end(self, key: LedgerTaskKey, outcome: RecordedOutcome) -> bool:
        """Record the end of a task's current run; return ``False`` if the batch already has one."""
        if key in self._outcome_by_key:
            return False
        self._outcome_by_key[key] = outcome
        self.ending_tasks.add(key)
        return True

    def record_late_finish(self, key: LedgerTaskKey, run: int) -> None:
        """Record that a pending task is complete: its last run, recorded as lapsed, had finished.

        Must be called before a record that removes the group's pending tasks is added, because a
        late finish applies only to a pending task. The group's tasks are not started in this batch
        but in the next, which is due at once.
        """
        if key in self._late_finished:
            return
        self._late_finished.add(key)
        self.records.append(LateFinished(key.group, key.index, run))
        self.unstartable_groups.add(key.group)
        self.urgent = True

    def ends_run(self, key: LedgerTaskKey) -> bool:
        """Return whether this batch ends the current run of a task."""
        return key in self._outcome_by_key

    def add_condition(self, condition: Condition) -> None:
        """Add a condition, replacing an earlier one on the same row."""
        self._condition_by_key[condition.key] = condition

    def add_put(self, put: Put) -> None:
        """Add a row write."""
        self._puts.append(put)

    def add_deletes(self, *keys: str) -> None:
        """Add row deletions."""
        self._deletes.extend(keys)

    def add_ended_records(self) -> None:
        """Append the recorded run ends as ``Ended`` records, one per outcome and group."""
        indexes_by_group: dict[tuple[RecordedOutcome, int], list[int]] = {}
        for key, outcome in self._outcome_by_key.items():
            indexes_by_group.setdefault((outcome, key.group), []).append(key.index)
        for (outcome, group), indexes in indexes_by_group.items():
            self.records.append(Ended(outcome, group, tuple(indexes)))

    def build(self, batch_id: str, snapshot: int) -> Batch:
        """Return the batch."""
        return Batch(
            batch_id,
            tuple(self.records),
            tuple(self._condition_by_key.values()),
            tuple(self._puts),
            tuple(self._deletes),
            snapshot,
        )

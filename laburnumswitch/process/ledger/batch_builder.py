"""Gathers what the next commit of a shard does."""

from collections.abc import Callable

from laburnumswitch.process.ledger.journal import Batch
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import How
from laburnumswitch.process.ledger.records import LateFinished
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.workers.task_spec import TaskKey


class BatchBuilder:
    """Records, conditions and effects of one batch.

    ``settled_groups`` are groups whose pending tasks this batch removes, so that it starts none of
    them. ``taken_job_ids`` are jobs of which it takes tasks in. Functions in ``on_commit`` run once
    the batch is known to be in the journal.
    """

    def __init__(self, ending: set[TaskKey] | None = None) -> None:
        # Shared with whoever sends orders: a run that is being ended must not be started meanwhile.
        self.ending: set[TaskKey] = set() if ending is None else ending
        self.records: list[Record] = []
        self.settled_groups: set[int] = set()
        self.taken_job_ids: set[str] = set()
        self.urgent = False
        self.on_commit: list[Callable[[], None]] = []
        self._condition_by_key: dict[str, Condition] = {}
        self._puts: list[Put] = []
        self._deletes: list[str] = []
        self._ended: dict[TaskKey, How] = {}
        self._late: set[TaskKey] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to commit."""
        return not (self.records or self._ended or self._puts or self._deletes)

    def end(self, key: TaskKey, how: How) -> bool:
        """Record the end of a run, and return ``False`` where this batch already holds one."""
        if key in self._ended:
            return False
        self._ended[key] = how
        self.ending.add(key)
        return True

    def end_late(self, key: TaskKey, run: int) -> None:
        """Record that a pending task is over, since its last run had finished.

        The record goes before any that removes the group's other pending tasks. Starts of these
        wait for the next batch, which is due at once.
        """
        if key in self._late:
            return
        self._late.add(key)
        self.records.append(LateFinished(key.group, key.index, run))
        self.settled_groups.add(key.group)
        self.urgent = True

    def ends(self, key: TaskKey) -> bool:
        """Return whether this batch ends the present run of a task."""
        return key in self._ended

    def condition(self, condition: Condition) -> None:
        """Add a condition."""
        self._condition_by_key[condition.key] = condition

    def put(self, put: Put) -> None:
        """Add the write of a row."""
        self._puts.append(put)

    def delete(self, *keys: str) -> None:
        """Add the deletion of rows."""
        self._deletes.extend(keys)

    def seal_ends(self) -> None:
        """Turn the ends gathered so far into records, one for each group and manner."""
        indexes_by_group: dict[tuple[How, int], list[int]] = {}
        for key, how in self._ended.items():
            indexes_by_group.setdefault((how, key.group), []).append(key.index)
        for (how, group), indexes in indexes_by_group.items():
            self.records.append(Ended(how, group, tuple(indexes)))

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

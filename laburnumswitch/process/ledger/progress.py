"""Counts of ended tasks, written by shards and read by admission."""

from msgspec import Struct

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.ledger.records import Forgotten
from laburnumswitch.process.ledger.records import FORMAT
from laburnumswitch.process.rows.table import Put

# How long a group must stay idle before it is removed from the ledger.
FORGET_AFTER_S = 30.0
MAX_PUTS_PER_BATCH = 20


class EndedTaskCounts(Struct, frozen=True):
    """Value of a progress row: counts of the ended tasks of one group of a shard."""

    finished: int
    failed: int
    cancelled: int
    format: int = FORMAT


def progress_prefix(job_id: str) -> str:
    """Return the prefix of the keys of a job's progress rows."""
    return f"progress/{job_id}/"


class ProgressWriter:
    """Writes the counts of a shard's groups, and removes groups that stay idle.

    The counts of a group are written when it becomes idle. Group numbers are never reused and are
    part of the row's key, so a job whose group was removed and which then gets a new group has a
    second progress row.
    """

    def __init__(self, shard: int) -> None:
        self._shard = shard
        self._written_by_group: dict[int, EndedTaskCounts] = {}
        self._idle_since_by_group: dict[int, float] = {}

    def add_counts(self, batch: BatchBuilder, ledger: Ledger, now_s: float) -> None:
        """Add the counts of idle groups to the batch, and remove groups that stayed idle."""
        puts = 0
        forgotten = []
        for group in ledger.group_by_number.values():
            if not group.is_idle:
                self._idle_since_by_group.pop(group.number, None)
                continue
            if self._needs_no_write(group):
                since_s = self._idle_since_by_group.setdefault(group.number, now_s)
                if now_s - since_s >= FORGET_AFTER_S and not _receives_tasks(batch, group):
                    forgotten.append(group.number)
                continue
            if puts < MAX_PUTS_PER_BATCH:
                puts += 1
                self._write(batch, group)
        if forgotten:
            batch.records.append(Forgotten(tuple(forgotten)))
            batch.on_commit.append(lambda: self._drop_groups(forgotten))

    def _needs_no_write(self, group: TaskGroup) -> bool:
        # Services have no progress row.
        if group.task_spec.service:
            return True
        return self._written_by_group.get(group.number) == _make_counts(group)

    def _write(self, batch: BatchBuilder, group: TaskGroup) -> None:
        progress = _make_counts(group)
        key = f"{progress_prefix(group.task_spec.job_id)}{self._shard}-{group.number}"
        batch.add_put(Put(key, progress))

        def note_written() -> None:
            self._written_by_group[group.number] = progress

        batch.on_commit.append(note_written)

    def _drop_groups(self, numbers: list[int]) -> None:
        for number in numbers:
            self._written_by_group.pop(number, None)
            self._idle_since_by_group.pop(number, None)


def _make_counts(group: TaskGroup) -> EndedTaskCounts:
    return EndedTaskCounts(group.finished, group.failed, group.cancelled)


def _receives_tasks(batch: BatchBuilder, group: TaskGroup) -> bool:
    return group.task_spec.job_id in batch.received_job_ids

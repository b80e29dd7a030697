"""State of one shard: its workers and their allocated resources, pending tasks and runs.

The state is a function of the journal records alone. ``verify`` checks the starts and ends of a
batch before it is committed. ``apply`` checks every record, so that a replay stops at the first one
that cannot be applied.
"""

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from laburnumswitch.exceptions import LedgerConflict
from laburnumswitch.process.ledger.records import Cancelled
from laburnumswitch.process.ledger.records import ChunkTaken
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import Forgotten
from laburnumswitch.process.ledger.records import GivenAway
from laburnumswitch.process.ledger.records import LateFinished
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.ledger.records import RecordedOutcome
from laburnumswitch.process.ledger.records import Replaced
from laburnumswitch.process.ledger.records import Retired
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.records import WorkerGone
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.workers.task_spec import decode_task_spec
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.task_spec import make_task_id
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.process.workers.task_spec import REPLACEMENT_STRIDE
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class Run(Struct, gc=False):
    """The current run of a task.

    :ivar worker: number of the worker.
    :ivar run: run number, from 1.
    :ivar checkpoint_run: the run whose checkpoint this one starts from, 0 for none.
    :ivar is_last_run: whether the task is not to be restarted.
    """

    worker: int
    run: int
    failures: int = 0
    checkpoint_run: int = 0
    is_last_run: bool = False


class LedgerWorker(Struct):
    """A worker and the resources allocated on it.

    :ivar boot: id of the worker process's start, which changes when the worker restarts.
    :ivar runs: tasks whose current run is on the worker.
    """

    number: int
    worker_id: str
    boot: str
    availability_zone: str
    rack: str
    capacity: Size
    allocated: Size = ZERO
    runs: set[LedgerTaskKey] = set()

    @property
    def free(self) -> Size:
        """Return the unallocated capacity, which can be negative after the capacity was reduced."""
        return self.capacity.minus(self.allocated)


class TaskGroup(Struct):
    """All tasks of one job in this shard.

    :ivar raw_task_spec: JSON form of ``task_spec``, including fields unknown to this version.
    :ivar unstarted_ranges: ranges ``[first, count]`` of pending tasks that have never run.
    :ivar requeued_by_index: pending tasks that have run before, and replacements of replicas.
    """

    number: int
    task_spec: TaskSpec
    raw_task_spec: dict[str, Any]
    unstarted_ranges: list[list[int]] = []
    requeued_by_index: dict[int, PendingTask] = {}
    running: dict[int, Run] = {}
    finished: int = 0
    failed: int = 0
    cancelled: int = 0
    is_cancelled: bool = False

    @property
    def is_idle(self) -> bool:
        """Return whether the group has no pending or running tasks."""
        return not (self.unstarted_ranges or self.requeued_by_index or self.running)

    def count_pending(self) -> int:
        """Return the number of pending tasks."""
        return len(self.requeued_by_index) + sum(count for _, count in self.unstarted_ranges)

    def iter_pending(self) -> Iterable[PendingTask]:
        """Yield pending tasks: requeued ones first, then unstarted ones in order."""
        yield from tuple(self.requeued_by_index.values())
        for first, count in tuple(map(tuple, self.unstarted_ranges)):
            for index in range(first, first + count):
                # Run 1, no checkpoint, no failures.
                yield PendingTask(index, 1, 0, 0)

    def find_pending(self, index: int) -> PendingTask | None:
        """Return the pending task ``index``, or ``None``."""
        requeued = self.requeued_by_index.get(index)
        if requeued is not None:
            return requeued
        if any(first <= index < first + count for first, count in self.unstarted_ranges):
            return PendingTask(index, 1, 0, 0)
        return None

    def task_id(self, index: int) -> str:
        """Return the id of the task ``index``."""
        return make_task_id(self.task_spec.job_id, index)

    def remove_pending(self, index: int) -> None:
        """Remove a pending task."""
        if self.requeued_by_index.pop(index, None) is not None:
            return
        for position, (first, count) in enumerate(self.unstarted_ranges):
            if not first <= index < first + count:
                continue
            after = [index + 1, first + count - index - 1]
            parts = [part for part in ([first, index - first], after) if part[1]]
            self.unstarted_ranges[position : position + 1] = parts
            return


class Ledger:
    """State of one shard after all journal rows up to ``seq``."""

    def __init__(self) -> None:
        self.seq = 0
        self.next_worker = 0
        self.next_group = 0
        self.worker_by_number: dict[int, LedgerWorker] = {}
        self.number_by_worker_id: dict[str, int] = {}
        self.group_by_number: dict[int, TaskGroup] = {}
        self.number_by_job_id: dict[str, int] = {}

    def find_worker(self, worker_id: str) -> LedgerWorker | None:
        """Return the worker ``worker_id``, or ``None``."""
        return self.worker_by_number.get(self.number_by_worker_id.get(worker_id, -1))

    def find_group(self, job_id: str) -> TaskGroup | None:
        """Return the group of a job, or ``None``."""
        return self.group_by_number.get(self.number_by_job_id.get(job_id, -1))

    def find_run(self, key: LedgerTaskKey) -> Run | None:
        """Return the current run of a task, or ``None``."""
        group = self.group_by_number.get(key.group)
        return None if group is None else group.running.get(key.index)

    def is_pending_retry_of(self, key: LedgerTaskKey, run: int) -> bool:
        """Return whether a batch task is pending and its next run is the one after ``run``."""
        group = self.group_by_number.get(key.group)
        if group is None or group.task_spec.service:
            return False
        pending = group.requeued_by_index.get(key.index)
        return pending is not None and pending.next_run == run + 1

    def verify(self, records: Iterable[Record]) -> LedgerConflict | None:
        """Return why the starts, ends or late finishes of a batch cannot be applied, or ``None``.

        Starts are checked against the capacity that was free before the batch, without what the
        batch itself frees, so the order of starts and ends in the batch does not matter. Other
        records are not checked.
        """
        no_longer_pending: set[LedgerTaskKey] = set()
        ended: set[LedgerTaskKey] = set()
        free_by_worker: dict[int, Size] = {}
        for record in records:
            if isinstance(record, Started):
                conflict = self._verify_start(record, no_longer_pending, free_by_worker)
            elif isinstance(record, Ended):
                conflict = self._verify_end(record, ended)
            elif isinstance(record, LateFinished):
                conflict = self._verify_late_finished(record, no_longer_pending)
            else:
                conflict = None
            if conflict is not None:
                return conflict
        return None

    def apply(self, record: Record) -> LedgerConflict | None:
        """Apply one record, or return why it cannot be applied and change nothing."""
        return _APPLY_BY_TYPE[type(record)](self, record)

    def apply_all(self, records: Iterable[Record]) -> LedgerConflict | None:
        """Apply records in order, up to the first that cannot be applied."""
        for record in records:
            conflict = self.apply(record)
            if conflict is not None:
                return conflict
        return None

    def _verify_start(
        self,
        record: Started,
        no_longer_pending: set[LedgerTaskKey],
        free_by_worker: dict[int, Size],
    ) -> LedgerConflict | None:
        worker = self.worker_by_number.get(record.worker)
        group = self.group_by_number.get(record.group)
        if worker is None or group is None or group.is_cancelled:
            return _conflict(record, "unknown worker, or unknown or cancelled group")
        runs = record.runs or (1,) * len(record.indexes)
        if len(runs) != len(record.indexes):
            return _conflict(record, "numbers of runs and tasks differ")
        free = free_by_worker.get(record.worker, worker.free)
        for index, run in zip(record.indexes, runs, strict=True):
            pending = group.find_pending(index)
            key = LedgerTaskKey(group.number, index)
            if pending is None or pending.next_run != run or key in no_longer_pending:
                return _conflict(record, f"task {index} is not pending for run {run}")
            if not group.task_spec.size.fits(free):
                return _conflict(record, f"insufficient capacity on {worker.worker_id}")
            free = free.minus(group.task_spec.size)
            no_longer_pending.add(key)
        free_by_worker[record.worker] = free
        return None

    def _verify_end(self, record: Ended, ended: set[LedgerTaskKey]) -> LedgerConflict | None:
        group = self.group_by_number.get(record.group)
        for index in record.indexes:
            key = LedgerTaskKey(record.group, index)
            if group is None or index not in group.running or key in ended:
                return _conflict(record, f"task {index} is not running")
            ended.add(key)
        return None

    def _verify_late_finished(
        self, record: LateFinished, no_longer_pending: set[LedgerTaskKey]
    ) -> LedgerConflict | None:
        key = LedgerTaskKey(record.group, record.index)
        if key in no_longer_pending or not self.is_pending_retry_of(key, record.run):
            return _conflict(record, f"task {record.index} is not pending after run {record.run}")
        no_longer_pending.add(key)
        return None

    def _apply_worker_seen(self, record: WorkerSeen) -> LedgerConflict | None:
        worker = self.find_worker(record.worker_id)
        if worker is None:
            worker = LedgerWorker(self.next_worker, record.worker_id, "", "", "", ZERO)
            self.next_worker += 1
            self.worker_by_number[worker.number] = worker
            self.number_by_worker_id[worker.worker_id] = worker.number
        if worker.runs and record.boot != worker.boot:
            return _conflict(record, "worker has a new boot but still has runs")
        worker.boot = record.boot
        worker.availability_zone = record.availability_zone
        worker.rack = record.rack
        worker.capacity = record.capacity
        return None

    def _apply_worker_gone(self, record: WorkerGone) -> LedgerConflict | None:
        worker = self.worker_by_number.get(record.worker)
        if worker is None or worker.runs:
            return _conflict(record, "worker is unknown or still has runs")
        del self.worker_by_number[record.worker]
        del self.number_by_worker_id[worker.worker_id]
        return None

    def _apply_chunk_taken(self, record: ChunkTaken) -> LedgerConflict | None:
        group = self.find_group(record.work["job_id"])
        if group is None:
            group = TaskGroup(self.next_group, decode_task_spec(record.work), record.work)
            self.next_group += 1
            self.group_by_number[group.number] = group
            self.number_by_job_id[group.task_spec.job_id] = group.number
        if group.is_cancelled:
            group.cancelled += record.count + len(record.again)
            return None
        if record.count:
            group.unstarted_ranges.append([record.first, record.count])
        group.requeued_by_index.update({again.index: again for again in record.again})
        return None

    def _apply_started(self, record: Started) -> LedgerConflict | None:
        conflict = self._verify_start(record, set(), {})
        if conflict is not None:
            return conflict
        group = self.group_by_number[record.group]
        worker = self.worker_by_number[record.worker]
        for index in record.indexes:
            task = group.find_pending(index)
            group.remove_pending(index)
            group.running[index] = Run(
                record.worker, task.next_run, task.failures, task.checkpoint_run
            )
            worker.runs.add(LedgerTaskKey(group.number, index))
            worker.allocated = worker.allocated.plus(group.task_spec.size)
        return None

    def _apply_ended(self, record: Ended) -> LedgerConflict | None:
        conflict = self._verify_end(record, set())
        if conflict is not None:
            return conflict
        group = self.group_by_number[record.group]
        for index in record.indexes:
            run = group.running.pop(index)
            worker = self.worker_by_number[run.worker]
            worker.runs.discard(LedgerTaskKey(group.number, index))
            worker.allocated = worker.allocated.minus(group.task_spec.size)
            _apply_outcome(group, index, run, record.how)
        return None

    def _apply_late_finished(self, record: LateFinished) -> LedgerConflict | None:
        conflict = self._verify_late_finished(record, set())
        if conflict is not None:
            return conflict
        group = self.group_by_number[record.group]
        group.remove_pending(record.index)
        group.finished += 1
        return None

    def _apply_cancelled(self, record: Cancelled) -> LedgerConflict | None:
        if any(number not in self.group_by_number for number in record.groups):
            return _conflict(record, "unknown group")
        for number in record.groups:
            group = self.group_by_number[number]
            group.cancelled += group.count_pending()
            group.is_cancelled = True
            group.unstarted_ranges.clear()
            group.requeued_by_index.clear()
        return None

    def _apply_given_away(self, record: GivenAway) -> LedgerConflict | None:
        group = self.group_by_number.get(record.group)
        indexes = (*range(record.first, record.first + record.count), *record.again)
        if group is None or any(group.find_pending(index) is None for index in indexes):
            return _conflict(record, "unknown group, or tasks are not pending")
        for index in indexes:
            group.remove_pending(index)
        return None

    def _apply_replaced(self, record: Replaced) -> LedgerConflict | None:
        group = self.group_by_number.get(record.group)
        if group is None or any(index not in group.running for index in record.indexes):
            return _conflict(record, "unknown group, or replicas are not running")
        for index in record.indexes:
            group.running[index].is_last_run = True
            # ``declared_replica`` maps the new index back to the replica that it replaces.
            replacement = index + REPLACEMENT_STRIDE
            group.requeued_by_index[replacement] = PendingTask(replacement, 1, 0, 0)
        return None

    def _apply_retired(self, record: Retired) -> LedgerConflict | None:
        group = self.group_by_number.get(record.group)
        if group is None:
            return _conflict(record, "unknown group")
        for index in record.indexes:
            if index in group.running:
                group.running[index].is_last_run = True
            elif group.find_pending(index) is not None:
                group.remove_pending(index)
                group.cancelled += 1
        return None

    def _apply_forgotten(self, record: Forgotten) -> LedgerConflict | None:
        groups = [self.group_by_number.get(number) for number in record.groups]
        if any(group is None or not group.is_idle for group in groups):
            return _conflict(record, "group is unknown or not idle")
        for group in groups:
            del self.group_by_number[group.number]
            del self.number_by_job_id[group.task_spec.job_id]
        return None


def _apply_outcome(group: TaskGroup, index: int, run: Run, outcome: RecordedOutcome) -> None:
    is_service = bool(group.task_spec.service)
    failures = run.failures + (outcome == RecordedOutcome.FAILED)
    if outcome == RecordedOutcome.FINISHED and not is_service:
        group.finished += 1
    elif group.is_cancelled or run.is_last_run:
        group.cancelled += 1
    elif (
        outcome == RecordedOutcome.FAILED and failures > group.task_spec.retries and not is_service
    ):
        group.failed += 1
    else:
        checkpoint_run = run.run if outcome == RecordedOutcome.EVICTED else 0
        group.requeued_by_index[index] = PendingTask(index, run.run + 1, checkpoint_run, failures)


def _conflict(record: Record, reason: str) -> LedgerConflict:
    return LedgerConflict(type(record).__name__, reason)


_APPLY_BY_TYPE = {
    WorkerSeen: Ledger._apply_worker_seen,
    WorkerGone: Ledger._apply_worker_gone,
    ChunkTaken: Ledger._apply_chunk_taken,
    Started: Ledger._apply_started,
    Ended: Ledger._apply_ended,
    Cancelled: Ledger._apply_cancelled,
    GivenAway: Ledger._apply_given_away,
    Replaced: Ledger._apply_replaced,
    Retired: Ledger._apply_retired,
    Forgotten: Ledger._apply_forgotten,
    LateFinished: Ledger._apply_late_finished,
}

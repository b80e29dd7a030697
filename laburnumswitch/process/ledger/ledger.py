"""State of one shard: workers with their committed sizes, and tasks pending and running.

The ledger is a function of its records alone. ``verify`` says whether a batch would apply before it
is committed; ``apply`` checks again, so that a replay stops at the first record that cannot be.
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
from laburnumswitch.process.ledger.records import How
from laburnumswitch.process.ledger.records import LateFinished
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.ledger.records import Replaced
from laburnumswitch.process.ledger.records import Retired
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.records import WorkerGone
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.workers.task_spec import decode_task_spec
from laburnumswitch.process.workers.task_spec import make_task_id
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.process.workers.task_spec import REPLACEMENT_STRIDE
from laburnumswitch.process.workers.task_spec import TaskKey
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class Run(Struct, gc=False):
    """One run that may be in progress."""

    worker: int
    run: int
    failures: int = 0
    checkpoint_run: int = 0
    final: bool = False


class Worker(Struct):
    """One worker and what is committed to it."""

    number: int
    worker_id: str
    boot: str
    availability_zone: str
    rack: str
    capacity: Size
    committed: Size = ZERO
    runs: set[TaskKey] = set()

    @property
    def free(self) -> Size:
        """Return what is not committed; parts are negative where the capacity shrank."""
        return self.capacity.minus(self.committed)


class Group(Struct):
    """All tasks of one job in this shard.

    ``fresh`` holds ranges ``[first, count]`` of tasks that never ran, in order.
    """

    number: int
    work: TaskSpec
    raw_work: dict[str, Any]
    fresh: list[list[int]] = []
    again: dict[int, PendingTask] = {}
    running: dict[int, Run] = {}
    finished: int = 0
    failed: int = 0
    cancelled: int = 0
    is_cancelled: bool = False

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is pending or running."""
        return not (self.fresh or self.again or self.running)

    def count_pending(self) -> int:
        """Return the number of pending tasks."""
        return len(self.again) + sum(count for _, count in self.fresh)

    def pending(self) -> Iterable[PendingTask]:
        """Yield pending tasks: those that ran before first, then fresh ones in order."""
        yield from tuple(self.again.values())
        for first, count in tuple(map(tuple, self.fresh)):
            for index in range(first, first + count):
                yield PendingTask(index, 1, 0, 0)

    def find_pending(self, index: int) -> PendingTask | None:
        """Return the pending task ``index``."""
        again = self.again.get(index)
        if again is not None:
            return again
        if any(first <= index < first + count for first, count in self.fresh):
            return PendingTask(index, 1, 0, 0)
        return None

    def task_id(self, index: int) -> str:
        """Return the name of task ``index``."""
        return make_task_id(self.work.job_id, index)

    def remove_pending(self, index: int) -> None:
        """Take a pending task out."""
        if self.again.pop(index, None) is not None:
            return
        for position, (first, count) in enumerate(self.fresh):
            if not first <= index < first + count:
                continue
            after = [index + 1, first + count - index - 1]
            parts = [part for part in ([first, index - first], after) if part[1]]
            self.fresh[position : position + 1] = parts
            return


class Ledger:
    """The state of one shard after all records up to ``seq``."""

    def __init__(self) -> None:
        self.seq = 0
        self.next_worker = 0
        self.next_group = 0
        self.worker_by_number: dict[int, Worker] = {}
        self.number_by_worker_id: dict[str, int] = {}
        self.group_by_number: dict[int, Group] = {}
        self.number_by_job_id: dict[str, int] = {}

    def find_worker(self, worker_id: str) -> Worker | None:
        """Return the worker of that id."""
        return self.worker_by_number.get(self.number_by_worker_id.get(worker_id, -1))

    def find_group(self, job_id: str) -> Group | None:
        """Return the group of a job."""
        return self.group_by_number.get(self.number_by_job_id.get(job_id, -1))

    def find_run(self, key: TaskKey) -> Run | None:
        """Return the present run of a task."""
        group = self.group_by_number.get(key.group)
        return None if group is None else group.running.get(key.index)

    def ended_too_early(self, key: TaskKey, run: int) -> bool:
        """Return whether a batch task is pending because ``run``, its last one, did not finish."""
        group = self.group_by_number.get(key.group)
        if group is None or group.work.service:
            return False
        pending = group.again.get(key.index)
        return pending is not None and pending.next_run == run + 1

    def verify(self, records: Iterable[Record]) -> LedgerConflict | None:
        """Return why a batch would not apply.

        Starts are held against the room before the batch, so what the batch itself frees is not
        counted: a batch that passes here also applies.
        """
        started: set[TaskKey] = set()
        ended: set[TaskKey] = set()
        room_by_worker: dict[int, Size] = {}
        for record in records:
            if isinstance(record, Started):
                conflict = self._verify_start(record, started, room_by_worker)
            elif isinstance(record, Ended):
                conflict = self._verify_end(record, ended)
            elif isinstance(record, LateFinished):
                conflict = self._verify_late(record, started)
            else:
                conflict = None
            if conflict is not None:
                return conflict
        return None

    def apply(self, record: Record) -> LedgerConflict | None:
        """Apply one record, or return why it cannot be and change nothing."""
        return _APPLY_BY_TYPE[type(record)](self, record)

    def apply_all(self, records: Iterable[Record]) -> LedgerConflict | None:
        """Apply records in order up to the first that cannot be."""
        for record in records:
            conflict = self.apply(record)
            if conflict is not None:
                return conflict
        return None

    def _verify_start(
        self, record: Started, started: set[TaskKey], room_by_worker: dict[int, Size]
    ) -> LedgerConflict | None:
        worker = self.worker_by_number.get(record.worker)
        group = self.group_by_number.get(record.group)
        if worker is None or group is None or group.is_cancelled:
            return _conflict(record, "unknown worker or group")
        runs = record.runs or (1,) * len(record.indexes)
        if len(runs) != len(record.indexes):
            return _conflict(record, "runs and tasks differ in number")
        room = room_by_worker.get(record.worker, worker.free)
        for index, run in zip(record.indexes, runs, strict=True):
            pending = group.find_pending(index)
            key = TaskKey(group.number, index)
            if pending is None or pending.next_run != run or key in started:
                return _conflict(record, f"task {index} is not pending for run {run}")
            if not group.work.size.fits(room):
                return _conflict(record, f"no room on {worker.worker_id}")
            room = room.minus(group.work.size)
            started.add(key)
        room_by_worker[record.worker] = room
        return None

    def _verify_end(self, record: Ended, ended: set[TaskKey]) -> LedgerConflict | None:
        group = self.group_by_number.get(record.group)
        for index in record.indexes:
            key = TaskKey(record.group, index)
            if group is None or index not in group.running or key in ended:
                return _conflict(record, f"task {index} is not running")
            ended.add(key)
        return None

    def _verify_late(self, record: LateFinished, settled: set[TaskKey]) -> LedgerConflict | None:
        key = TaskKey(record.group, record.index)
        if key in settled or not self.ended_too_early(key, record.run):
            return _conflict(record, f"task {record.index} is not pending after run {record.run}")
        settled.add(key)
        return None

    def _apply_worker_seen(self, record: WorkerSeen) -> LedgerConflict | None:
        worker = self.find_worker(record.worker_id)
        if worker is None:
            worker = Worker(self.next_worker, record.worker_id, "", "", "", ZERO)
            self.next_worker += 1
            self.worker_by_number[worker.number] = worker
            self.number_by_worker_id[worker.worker_id] = worker.number
        if worker.runs and record.boot != worker.boot:
            return _conflict(record, "another boot while runs are open")
        worker.boot = record.boot
        worker.availability_zone = record.availability_zone
        worker.rack = record.rack
        worker.capacity = record.capacity
        return None

    def _apply_worker_gone(self, record: WorkerGone) -> LedgerConflict | None:
        worker = self.worker_by_number.get(record.worker)
        if worker is None or worker.runs:
            return _conflict(record, "unknown worker or open runs")
        del self.worker_by_number[record.worker]
        del self.number_by_worker_id[worker.worker_id]
        return None

    def _apply_chunk_taken(self, record: ChunkTaken) -> LedgerConflict | None:
        group = self.find_group(record.work["job_id"])
        if group is None:
            group = Group(self.next_group, decode_task_spec(record.work), record.work)
            self.next_group += 1
            self.group_by_number[group.number] = group
            self.number_by_job_id[group.work.job_id] = group.number
        if group.is_cancelled:
            group.cancelled += record.count + len(record.again)
            return None
        if record.count:
            group.fresh.append([record.first, record.count])
        group.again.update({again.index: again for again in record.again})
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
            worker.runs.add(TaskKey(group.number, index))
            worker.committed = worker.committed.plus(group.work.size)
        return None

    def _apply_ended(self, record: Ended) -> LedgerConflict | None:
        conflict = self._verify_end(record, set())
        if conflict is not None:
            return conflict
        group = self.group_by_number[record.group]
        for index in record.indexes:
            run = group.running.pop(index)
            worker = self.worker_by_number[run.worker]
            worker.runs.discard(TaskKey(group.number, index))
            worker.committed = worker.committed.minus(group.work.size)
            _settle_end(group, index, run, record.how)
        return None

    def _apply_late_finished(self, record: LateFinished) -> LedgerConflict | None:
        conflict = self._verify_late(record, set())
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
            group.fresh.clear()
            group.again.clear()
        return None

    def _apply_given_away(self, record: GivenAway) -> LedgerConflict | None:
        group = self.group_by_number.get(record.group)
        indexes = (*range(record.first, record.first + record.count), *record.again)
        if group is None or any(group.find_pending(index) is None for index in indexes):
            return _conflict(record, "not pending here")
        for index in indexes:
            group.remove_pending(index)
        return None

    def _apply_replaced(self, record: Replaced) -> LedgerConflict | None:
        group = self.group_by_number.get(record.group)
        if group is None or any(index not in group.running for index in record.indexes):
            return _conflict(record, "not running here")
        for index in record.indexes:
            group.running[index].final = True
            successor = index + REPLACEMENT_STRIDE
            group.again[successor] = PendingTask(successor, 1, 0, 0)
        return None

    def _apply_retired(self, record: Retired) -> LedgerConflict | None:
        group = self.group_by_number.get(record.group)
        if group is None:
            return _conflict(record, "unknown group")
        for index in record.indexes:
            if index in group.running:
                group.running[index].final = True
            elif group.find_pending(index) is not None:
                group.remove_pending(index)
                group.cancelled += 1
        return None

    def _apply_forgotten(self, record: Forgotten) -> LedgerConflict | None:
        groups = [self.group_by_number.get(number) for number in record.groups]
        if any(group is None or not group.is_idle for group in groups):
            return _conflict(record, "unknown group or not idle")
        for group in groups:
            del self.group_by_number[group.number]
            del self.number_by_job_id[group.work.job_id]
        return None


def _settle_end(group: Group, index: int, run: Run, how: How) -> None:
    is_service = bool(group.work.service)
    failures = run.failures + (how == How.FAILED)
    if how == How.FINISHED and not is_service:
        group.finished += 1
    elif group.is_cancelled or run.final:
        group.cancelled += 1
    elif how == How.FAILED and failures > group.work.retries and not is_service:
        group.failed += 1
    else:
        checkpoint_run = run.run if how == How.EVICTED else 0
        group.again[index] = PendingTask(index, run.run + 1, checkpoint_run, failures)


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

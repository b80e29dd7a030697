"""What an owner that leaves gracefully tells its successor about the workers.

Starts are not stored, so a successor learns from the workers which runs exist. Without the handover
it would have to wait for a whole lease, from its own start on, until the runs of a worker that does
not answer have certainly ended, and could start no task that might be one of them.

A handover is in force until a later owner may have sent commands: nothing was started since it was
written, and nothing granted but what is in ``kept_leases``. So it outlives owners that end before
they have sent anything, and its leases end at instants of the store's clock, which all owners read.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple
from typing import TypeVar

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.orphans import OrphanEnd
from laburnumswitch.process.dispatch.orphans import OrphanRun
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row

HANDOVER_TABLE = "handover"
# Has a table of its own: earlier versions cannot read rows of the handover with more fields.
HANDOVER_CLOCK_TABLE = "handover-clock"
HANDOVER_CLOCK_KEY = f"{HANDOVER_CLOCK_TABLE}/0"
# A row of the platform's store holds 64 KiB; a run takes up to 60 bytes and a worker up to 50.
RUNS_PER_ROW = 800
WORKERS_PER_ROW = 200
# Maximum number of rows: a transaction holds 1 MB. With more runs there is no handover.
MAX_ROWS = 12

T = TypeVar("T")


class HandedOverRun(NamedTuple):
    """A run that may exist on a worker, with the task's last known checkpoint."""

    task: TaskKey
    run: int
    checkpoint: str


class WorkerHandover(NamedTuple):
    """What an owner knows of one worker.

    :ivar lapses_in_s: time from the end of the owner's term until all leases granted to the worker
        have certainly expired; 0 if they have.
    :ivar has_unknown_runs: whether runs of earlier owners may exist that are not in ``runs``, or
        may have ended in a way that is not stored.
    """

    worker_id: str
    lapses_in_s: float
    has_unknown_runs: bool
    runs: tuple[HandedOverRun, ...]


class HandoverRow(NamedTuple):
    """Part of a handover.

    :ivar epoch: the owner's epoch; rows of other epochs are out of date.
    :ivar row_count: number of rows of the whole handover.
    """

    epoch: int
    row_count: int
    workers: tuple[WorkerHandover, ...]


class HandoverClock(NamedTuple):
    """When a handover was written.

    :ivar epoch: the owner's epoch; one of an earlier version writes none.
    :ivar written_s: upper bound of the store's clock, in seconds; what is left of leases counts
        from it.
    """

    epoch: int
    written_s: float


class Handover(NamedTuple):
    """What the last owner that may have sent commands has told its successors.

    :ivar epoch: that owner's epoch, 0 if it has told nothing.
    :ivar written_s: see ``HandoverClock``; ``None`` if unknown.
    """

    epoch: int = 0
    by_worker_id: dict[str, WorkerHandover] = {}
    written_s: float | None = None


def describe_workers(
    workers: Iterable[Worker],
    jobs_by_id: dict[str, Job],
    orphan_by_task: dict[TaskKey, OrphanRun],
    orphan_ends_by_job_id: dict[str, list[OrphanEnd]],
    now_s: float,
) -> list[WorkerHandover]:
    """Return what an owner that sends no more commands to some workers knows of them.

    :param orphan_by_task: runs that workers reported and whose jobs are not known yet.
    :param orphan_ends_by_job_id: reported ends of such runs. The successor may know their jobs, and
        must read the ends before it starts tasks.
    """
    orphans_by_worker: dict[str, list[RunReport]] = {}
    for orphan in orphan_by_task.values():
        orphans_by_worker.setdefault(orphan.worker.worker_id, []).append(orphan.report)
    ids_with_unapplied_ends = {
        end.worker.worker_id for ends in orphan_ends_by_job_id.values() for end in ends
    }

    def checkpoint_of(key: TaskKey) -> str:
        job = jobs_by_id.get(key.job_id)
        task = job and job.task(key)
        return task.checkpoint if task else ""

    described = []
    for worker in workers:
        runs = [
            HandedOverRun(run.task, run.number, checkpoint_of(run.task))
            for run in worker.runs_by_task.values()
        ]
        runs += [
            HandedOverRun(report.task, report.run, report.checkpoint)
            for report in orphans_by_worker.get(worker.worker_id, ())
        ]
        lapses_in_s = max(0.0, worker.last_lapse_bound_s() - now_s)
        has_unapplied_ends = worker.worker_id in ids_with_unapplied_ends
        has_unknown_runs = worker.has_unknown_runs or has_unapplied_ends
        described.append(
            WorkerHandover(worker.worker_id, lapses_in_s, has_unknown_runs, tuple(runs))
        )
    return described


def write_handover(
    epoch: int, workers: Iterable[WorkerHandover], written_s: float | None
) -> tuple[Put, ...]:
    """Return the rows that store a handover, none if it is too large.

    :param written_s: upper bound of the store's clock at which the workers were described.
    """
    rows = split_handover(epoch, workers)
    puts = [Put(f"{HANDOVER_TABLE}/{number}", row) for number, row in enumerate(rows)]
    if puts and written_s is not None:
        puts.append(Put(HANDOVER_CLOCK_KEY, HandoverClock(epoch, written_s)))
    return tuple(puts)


def split_handover(epoch: int, workers: Iterable[WorkerHandover]) -> tuple[HandoverRow, ...]:
    """Distribute a handover over rows; returns none if it exceeds a transaction or a row."""
    parts: list[list[WorkerHandover]] = [[]]
    run_count = 0
    for worker in workers:
        if len(worker.runs) > RUNS_PER_ROW:
            return ()
        run_count += len(worker.runs)
        if parts[-1] and (run_count > RUNS_PER_ROW or len(parts[-1]) >= WORKERS_PER_ROW):
            parts.append([])
            run_count = len(worker.runs)
        parts[-1].append(worker)
    if len(parts) > MAX_ROWS:
        return ()
    return tuple(HandoverRow(epoch, len(parts), tuple(part)) for part in parts)


def collect_handover(
    rows: Iterable[Row],
    clock_rows: Iterable[Row],
    acted_epoch: int,
    report_malformed: Callable[[RowMalformed], None],
) -> Handover:
    """Return the handover that is in force; an empty one unless it is complete.

    A malformed row, perhaps of another version, is reported and counts as none: the successor then
    asks the workers.

    :param acted_epoch: last epoch in which commands may have been sent to workers. An owner hands
        over in its own or, if it has sent none, in a later one.
    """
    parts = _convert_rows(rows, HandoverRow, report_malformed)
    epoch = max((part.epoch for part in parts), default=0)
    parts = [part for part in parts if part.epoch == epoch]
    if epoch < acted_epoch or not parts or len(parts) != parts[0].row_count:
        return Handover()
    clocks = _convert_rows(clock_rows, HandoverClock, report_malformed)
    written_s = next((clock.written_s for clock in clocks if clock.epoch == epoch), None)
    by_worker_id = {worker.worker_id: worker for part in parts for worker in part.workers}
    return Handover(epoch, by_worker_id, written_s)


def _convert_rows(
    rows: Iterable[Row], row_type: type[T], report_malformed: Callable[[RowMalformed], None]
) -> list[T]:
    converted = []
    for row in rows:
        try:
            converted.append(convert(row.value, row_type))
        except ValidationError as error:
            report_malformed(RowMalformed(row.key, str(error)))
    return converted

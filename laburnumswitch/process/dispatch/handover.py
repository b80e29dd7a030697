"""What an owner that leaves gracefully tells its successor about the workers.

Starts are not stored, so a successor learns from the workers which runs exist. Without the handover
it would have to wait for a whole lease, from its own start on, until the runs of a worker that does
not answer have certainly ended, and could start no task that might be one of them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.rows.table import Row

HANDOVER_TABLE = "handover"
# A row of the platform's store holds 64 KiB; a run takes up to 60 bytes and a worker up to 50.
RUNS_PER_ROW = 800
WORKERS_PER_ROW = 200
# Maximum number of rows: a transaction holds 1 MB. With more runs there is no handover.
MAX_ROWS = 12


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


def describe_worker(
    worker: Worker,
    checkpoint_of: Callable[[TaskKey], str],
    orphans: Iterable[RunReport],
    has_unapplied_ends: bool,
    now_s: float,
) -> WorkerHandover:
    """Return what an owner that sends no more commands knows of a worker.

    :param orphans: runs that the worker reported and whose jobs are not known yet.
    :param has_unapplied_ends: whether it listed ends of runs whose jobs are not known yet. The
        successor may know these jobs, and must read the ends before it starts tasks.
    """
    runs = [
        HandedOverRun(run.task, run.number, checkpoint_of(run.task))
        for run in worker.runs_by_task.values()
    ]
    runs += [HandedOverRun(report.task, report.run, report.checkpoint) for report in orphans]
    return WorkerHandover(
        worker.worker_id,
        max(0.0, worker.last_lapse_bound_s() - now_s),
        worker.has_unknown_runs or has_unapplied_ends,
        tuple(runs),
    )


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
    rows: Iterable[Row], epoch: int, report_malformed: Callable[[RowMalformed], None]
) -> dict[str, WorkerHandover]:
    """Return the handover of the owner of an epoch, by worker id; empty unless it is complete.

    A malformed row, perhaps of another version, is reported and counts as none: the successor then
    asks the workers.
    """
    parts = []
    for row in rows:
        try:
            part = convert(row.value, HandoverRow)
        except ValidationError as error:
            report_malformed(RowMalformed(row.key, str(error)))
            continue
        if part.epoch == epoch:
            parts.append(part)
    if not parts or len(parts) != parts[0].row_count:
        return {}
    return {worker.worker_id: worker for part in parts for worker in part.workers}

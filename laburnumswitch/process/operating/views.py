"""Views of jobs, workers and tasks for operators."""

from typing import Literal
from typing import NamedTuple

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.admission.job_row import ENDED_PREFIX
from laburnumswitch.process.admission.job_row import JOB_PREFIX
from laburnumswitch.process.admission.job_row import read_jobs
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.sharding.shard import Shard
from laburnumswitch.size import Size


class JobView(NamedTuple):
    """One admitted job. ``reason`` says why it waits or cannot run."""

    job_id: str
    name: str
    team: str
    state: str
    tasks: int
    finished: int
    failed: int
    cancelled: int
    created_s: float
    ended_s: float
    reason: str


class WorkerView(NamedTuple):
    """One worker of a shard that this entry owns."""

    worker_id: str
    shard: int
    availability_zone: str
    rack: str
    capacity: Size
    committed: Size
    runs: int
    state: Literal["live", "leaving", "silent", "quarantined"]


class TaskView(NamedTuple):
    """One task of a shard that this entry owns. ``worker_id`` is empty for a pending task.

    A task in state ``ending`` still runs, and is not run again afterwards.
    """

    task_id: str
    shard: int
    state: Literal["pending", "running", "ending"]
    run: int
    worker_id: str
    failures: int


def view_jobs(table: Table) -> tuple[JobView, ...] | ReadFailure:
    """Return all admitted jobs, newest first."""
    rows = scan_all(table, JOB_PREFIX)
    if isinstance(rows, Failure):
        return rows
    # Read second, so that a job that ends between the two reads is in both, never in neither.
    ended = scan_all(table, ENDED_PREFIX)
    if isinstance(ended, Failure):
        return ended
    job_by_id = {job.job_id: job for _, job in read_jobs((*rows, *ended))}
    views = [
        JobView(
            job.job_id,
            job.name,
            job.team,
            job.state,
            job.tasks,
            job.finished,
            job.failed,
            job.cancelled,
            job.created_s,
            job.ended_s,
            job.reason,
        )
        for job in job_by_id.values()
    ]
    return tuple(sorted(views, key=lambda view: -view.created_s))


def view_workers(shard: Shard, now_s: float) -> list[WorkerView]:
    """Return views of the workers of one owned shard."""
    return [
        WorkerView(
            worker.worker_id,
            shard.shard,
            worker.availability_zone,
            worker.rack,
            worker.capacity,
            worker.allocated,
            len(worker.runs),
            _worker_state(shard, worker, now_s),
        )
        for worker in shard.ledger.worker_by_number.values()
    ]


def view_tasks(shard: Shard, job_id: str) -> list[TaskView]:
    """Return views of the tasks of one job in one owned shard."""
    group = shard.ledger.find_group(job_id)
    if group is None:
        return []
    views = [
        TaskView(
            group.task_id(index),
            shard.shard,
            "ending" if run.is_last_run or group.is_cancelled else "running",
            run.run,
            shard.ledger.worker_by_number[run.worker].worker_id,
            run.failures,
        )
        for index, run in group.running.items()
    ]
    views.extend(
        TaskView(
            group.task_id(task.index), shard.shard, "pending", task.next_run, "", task.failures
        )
        for task in group.iter_pending()
    )
    return views


def _worker_state(shard: Shard, worker: LedgerWorker, now_s: float) -> str:
    if shard.policy.quarantine.is_quarantined(worker.worker_id, now_s):
        return "quarantined"
    if shard.workers.must_drain(worker):
        return "leaving"
    return "silent" if shard.workers.is_unresponsive(worker) else "live"

"""Checks that batch tasks finish exactly once.

The ledger is authoritative: its rows in the platform's table hold how many tasks of a job finished.
A run may finish on a worker that is paused or killed before its report is acknowledged. Once the
lease has lapsed, the scheduler treats the run as ended and runs the task again. Such a finish is
recognised from the records of the worker and the launcher: it was not acknowledged within its
lease, and the worker's process was paused or killed soon after it. Any other second finish of a
task violates the guarantee.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from msgspec.json import decode

from standin.expectation import Expectation
from standin.records import EndAcknowledged
from standin.records import ProcessPaused
from standin.records import ProcessStopped
from standin.records import Record
from standin.records import RowPut
from standin.records import WorkerUp
from standin.run_intervals import RunInterval

PROGRESS_PREFIX = "progress/"
FINISHED = "finished"
REPORT_DELAY_LIMIT_S = 5.0


class Outage(NamedTuple):
    """The time during which a worker's process was paused or, after a kill, gone."""

    began_s: float
    ended_s: float


class FinishedTasks(NamedTuple):
    """How often tasks finished on workers.

    ``finished_twice`` counts the tasks that finished more than once. Those whose earlier finishes
    all went unreported are counted in ``finished_unreported`` instead.
    """

    finishes_by_task: Counter[str]
    finished_twice: int
    finished_unreported: int


def count_finished_tasks(intervals: Iterable[RunInterval], records: list[Record]) -> FinishedTasks:
    """Count how often batch tasks finished on the workers."""
    finished_intervals_by_task: dict[str, list[RunInterval]] = {}
    runs_by_task: dict[str, list[RunInterval]] = {}
    for interval in intervals:
        if interval.service:
            continue
        runs_by_task.setdefault(interval.task_id, []).append(interval)
        if interval.kind == FINISHED:
            finished_intervals_by_task.setdefault(interval.task_id, []).append(interval)
    acknowledged = {
        (record.task_id, record.run)
        for record in records
        if isinstance(record, EndAcknowledged) and record.within_lease
    }
    outages_by_worker = _outages_by_worker(records)
    finished_twice = 0
    finished_unreported = 0
    for task_id, finishes in finished_intervals_by_task.items():
        if len(finishes) == 1:
            continue
        is_unreported = all(
            _is_unreported(finish, runs_by_task[task_id], acknowledged, outages_by_worker)
            for finish in sorted(finishes, key=lambda interval: interval.run)[:-1]
        )
        finished_twice += not is_unreported
        finished_unreported += is_unreported
    finishes_by_task = Counter(
        {
            task_id: len(task_finishes)
            for task_id, task_finishes in finished_intervals_by_task.items()
        }
    )
    return FinishedTasks(finishes_by_task, finished_twice, finished_unreported)


def counted_by_job(records: Iterable[Record], expectation: Expectation) -> Counter[str]:
    """Return the number of finished tasks by job, as the ledger's rows count them."""
    newest_by_key = {
        record.key: decode(record.value)[FINISHED]
        for record in records
        if isinstance(record, RowPut) and record.key.startswith(PROGRESS_PREFIX)
    }
    counted: Counter[str] = Counter()
    for key, finished in newest_by_key.items():
        counted[expectation.job_of(key.removeprefix(PROGRESS_PREFIX))] += finished
    return counted


def tasks_counted_wrongly(records: Iterable[Record], expectation: Expectation) -> int:
    """Return how many tasks the ledger counts too often or not at all.

    Jobs that need not finish are left out.
    """
    counted = counted_by_job(records, expectation)
    return sum(
        abs(tasks - counted[job])
        for job, tasks in expectation.tasks_by_job.items()
        if job not in expectation.unfinished_jobs
    )


def tasks_not_counted(records: Iterable[Record], expectation: Expectation) -> int:
    """Return how many tasks the ledger does not count as finished yet."""
    counted = counted_by_job(records, expectation)
    return sum(max(0, tasks - counted[job]) for job, tasks in expectation.tasks_by_job.items())


def _outages_by_worker(records: list[Record]) -> dict[str, list[Outage]]:
    outages_by_process: dict[str, list[Outage]] = {}
    for record in records:
        if isinstance(record, ProcessPaused):
            outage = Outage(record.began_s, record.ended_s)
            outages_by_process.setdefault(record.name, []).append(outage)
        elif isinstance(record, ProcessStopped):
            outage = Outage(record.began_s, float("inf"))
            outages_by_process.setdefault(record.name, []).append(outage)
    # One process serves all workers of a rack and is named after it.
    return {
        record.worker_id: outages_by_process.get(record.rack, [])
        for record in records
        if isinstance(record, WorkerUp)
    }


def _is_unreported(
    interval: RunInterval,
    runs: list[RunInterval],
    acknowledged: set[tuple[str, int]],
    outages_by_worker: dict[str, list[Outage]],
) -> bool:
    if (interval.task_id, interval.run) in acknowledged:
        return False
    next_start_s = min(run.started_s for run in runs if run.run > interval.run)
    return any(
        interval.ended_s <= outage.began_s <= interval.ended_s + REPORT_DELAY_LIMIT_S
        and outage.began_s < next_start_s
        for outage in outages_by_worker[interval.worker_id]
    )

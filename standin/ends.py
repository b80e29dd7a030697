"""Whether batch tasks finish exactly once.

What counts is the ledger: its rows in the platform's table say how many tasks of a job finished. A
run may come to its end on a worker that is cut off before the report of it was taken in. Once its
lease has lapsed the run is over for everyone else, and the task is run again. Such an end is told
apart here by the worker's and the launcher's records: it was not acknowledged within its lease, and
the worker's process was paused or killed soon after it. Every other second end breaks the promise.
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
from standin.runs import RunInterval

PROGRESS_PREFIX = "progress/"
FINISHED = "finished"
REPORT_LIMIT_S = 5.0


class CutOff(NamedTuple):
    """When a worker's process was paused or killed, and until when it did nothing."""

    began_s: float
    ended_s: float


class Ends(NamedTuple):
    """Tasks that finished, that finished twice, and that did so only behind an end unknown."""

    finished: Counter[str]
    twice: int
    unreported: int


def count_ends(intervals: Iterable[RunInterval], records: list[Record]) -> Ends:
    """Return how often tasks finished on the workers."""
    ended_by_task: dict[str, list[RunInterval]] = {}
    runs_by_task: dict[str, list[RunInterval]] = {}
    for interval in intervals:
        if interval.service:
            continue
        runs_by_task.setdefault(interval.task_id, []).append(interval)
        if interval.kind == FINISHED:
            ended_by_task.setdefault(interval.task_id, []).append(interval)
    known = {
        (record.task_id, record.run)
        for record in records
        if isinstance(record, EndAcknowledged) and record.within_lease
    }
    cut_offs = _cut_offs_by_worker(records)
    twice = 0
    unreported = 0
    for task_id, ended in ended_by_task.items():
        if len(ended) == 1:
            continue
        excused = all(
            _is_unknown(end, runs_by_task[task_id], known, cut_offs)
            for end in sorted(ended, key=lambda interval: interval.run)[:-1]
        )
        twice += not excused
        unreported += excused
    finished = Counter({task_id: len(ended) for task_id, ended in ended_by_task.items()})
    return Ends(finished, twice, unreported)


def counted_by_job(records: Iterable[Record], expectation: Expectation) -> Counter[str]:
    """Return how many tasks of each job the ledger's rows count as finished."""
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
    """Return how many tasks the ledger counts as finished too often or not at all."""
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


def _cut_offs_by_worker(records: list[Record]) -> dict[str, list[CutOff]]:
    cut_offs_by_process: dict[str, list[CutOff]] = {}
    for record in records:
        if isinstance(record, ProcessPaused):
            cut_off = CutOff(record.began_s, record.ended_s)
            cut_offs_by_process.setdefault(record.name, []).append(cut_off)
        elif isinstance(record, ProcessStopped):
            cut_off = CutOff(record.began_s, float("inf"))
            cut_offs_by_process.setdefault(record.name, []).append(cut_off)
    return {
        record.worker_id: cut_offs_by_process.get(record.rack, [])
        for record in records
        if isinstance(record, WorkerUp)
    }


def _is_unknown(
    end: RunInterval,
    runs: list[RunInterval],
    known: set[tuple[str, int]],
    cut_offs_by_worker: dict[str, list[CutOff]],
) -> bool:
    if (end.task_id, end.run) in known:
        return False
    next_start_s = min(run.started_s for run in runs if run.run > end.run)
    return any(
        end.ended_s <= cut_off.began_s <= end.ended_s + REPORT_LIMIT_S
        and cut_off.began_s < next_start_s
        for cut_off in cut_offs_by_worker[end.worker_id]
    )

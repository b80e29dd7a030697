"""Execution intervals of runs, derived from the workers' records."""

from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.size import Size
from laburnumswitch.size import ZERO
from standin.records import ProcessStopped
from standin.records import Record
from standin.records import RunEnded
from standin.records import RunStarted
from standin.records import WorkerUp

OPEN_KIND = "open"
GONE_KIND = "gone"


class RunInterval(NamedTuple):
    """One run from its start to its end.

    ``kind`` is the kind of the worker's event, ``gone`` if the worker's process was stopped, or
    ``open`` if the run was still executing at the end of the records.
    """

    task_id: str
    run: int
    worker_id: str
    started_s: float
    ended_s: float
    kind: str
    size: Size
    service: str
    checkpoint: str


def run_intervals(records: Iterable[Record]) -> list[RunInterval]:
    """Return the intervals of all runs, sorted by start."""
    rack_by_worker: dict[str, str] = {}
    started_by_run: dict[tuple[str, str, int], RunStarted] = {}
    intervals: list[RunInterval] = []
    for record in sorted(records, key=_instant_s):
        if isinstance(record, WorkerUp):
            rack_by_worker[record.worker_id] = record.rack
        elif isinstance(record, RunStarted):
            started_by_run[(record.worker_id, record.task_id, record.run)] = record
        elif isinstance(record, RunEnded):
            started = started_by_run.pop((record.worker_id, record.task_id, record.run), None)
            if started:
                intervals.append(_interval(started, record.at_s, record.kind))
        elif isinstance(record, ProcessStopped):
            for run in list(started_by_run):
                if rack_by_worker.get(run[0]) == record.name:
                    started = started_by_run.pop(run)
                    intervals.append(_interval(started, record.ended_s, GONE_KIND))
    for started in started_by_run.values():
        intervals.append(_interval(started, float("inf"), OPEN_KIND))
    return sorted(intervals, key=lambda interval: interval.started_s)


def tasks_in_two_places(intervals: Iterable[RunInterval]) -> tuple[str, ...]:
    """Return the tasks with overlapping runs or with two runs of the same number."""
    by_task: dict[str, list[RunInterval]] = {}
    for interval in intervals:
        by_task.setdefault(interval.task_id, []).append(interval)
    return tuple(task_id for task_id, runs in by_task.items() if _overlap(runs))


def worst_commitment(intervals: Iterable[RunInterval], workers: Iterable[WorkerUp]) -> float:
    """Return the highest share of a worker's CPU, memory or accelerators that its runs held.

    1.0 is a fully committed worker.
    """
    capacity_by_worker = {worker.worker_id: worker.capacity for worker in workers}
    by_worker: dict[str, list[RunInterval]] = {}
    for interval in intervals:
        by_worker.setdefault(interval.worker_id, []).append(interval)
    return max(
        (_peak_share(runs, capacity_by_worker[worker]) for worker, runs in by_worker.items()),
        default=0.0,
    )


def share_of(size: Size, capacity: Size) -> float:
    """Return the largest share of ``capacity`` that ``size`` takes in any resource.

    It is infinite if ``size`` needs a resource that ``capacity`` lacks.
    """
    return max(_share(needed, available) for needed, available in zip(size, capacity, strict=True))


def _share(needed: int, capacity: int) -> float:
    if needed == 0:
        return 0.0
    return needed / capacity if capacity else float("inf")


def _instant_s(record: Record) -> float:
    if isinstance(record, ProcessStopped):
        return record.ended_s
    if isinstance(record, WorkerUp | RunStarted | RunEnded):
        return record.at_s
    return 0.0


def _interval(started: RunStarted, ended_s: float, kind: str) -> RunInterval:
    return RunInterval(
        started.task_id,
        started.run,
        started.worker_id,
        started.at_s,
        ended_s,
        kind,
        started.size,
        started.service,
        started.checkpoint,
    )


def _overlap(runs: list[RunInterval]) -> bool:
    if len({run.run for run in runs}) < len(runs):
        return True
    latest_end_s = 0.0
    for run in sorted(runs, key=lambda interval: interval.started_s):
        if run.started_s < latest_end_s:
            return True
        latest_end_s = max(latest_end_s, run.ended_s)
    return False


def _peak_share(runs: list[RunInterval], capacity: Size) -> float:
    # Ends sort before starts at the same time.
    changes = [(run.started_s, 1, run.size) for run in runs]
    changes += [(run.ended_s, 0, run.size) for run in runs]
    committed = ZERO
    peak = 0.0
    for _, starts, size in sorted(changes, key=lambda change: change[:2]):
        committed = committed.plus(size) if starts else committed.minus(size)
        peak = max(peak, share_of(committed, capacity))
    return peak

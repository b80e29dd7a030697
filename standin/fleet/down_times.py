"""Checks from the records of worker processes that long-running tasks run again in time."""

from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.platform.workers import format_task_id
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.size import Size
from standin.fleet.invariant_checker import Violation
from standin.fleet.run_records import Fact
from standin.fleet.run_records import NEVER
from standin.fleet.run_records import RecordedRun
from standin.fleet.run_records import Span

# The users' rule: from 6 s after its last run a long-running task may not be down for 3 s in which
# there is room for it twice over, if these and the 4 s before them are free of unplanned trouble.
RESTART_S = 6.0
DOWN_S = 3.0
CALM_S = 4.0
ROOM_FACTOR = 2


class WorkerSpan(NamedTuple):
    """A time in which a worker could take tasks, in seconds of ``CLOCK_MONOTONIC``."""

    worker_id: str
    capacity: Size
    span: Span


class DownTime(NamedTuple):
    """The time from the end of a task's last run to the start of its next one.

    :ivar until_s: the end of the records, if the task did not run again.
    """

    task: TaskKey
    last: RecordedRun
    until_s: float

    @property
    def duration_s(self) -> float:
        """Return how long the task was down."""
        return self.until_s - self.last.end_s


def find_down_times(runs: Iterable[RecordedRun], end_s: float) -> list[DownTime]:
    """Return the times in which tasks that had run before were down, the longest first.

    :param runs: those of long-running tasks.
    :param end_s: the end of the records.
    """
    last_by_task: dict[TaskKey, RecordedRun] = {}
    down_times = []
    for run in sorted(runs, key=lambda run: run.start_s):
        last = last_by_task.get(run.task)
        if last is not None and run.start_s > last.end_s:
            down_times.append(DownTime(run.task, last, run.start_s))
        if last is None or run.end_s > last.end_s:
            last_by_task[run.task] = run
    down_times += [
        DownTime(task, last, end_s) for task, last in last_by_task.items() if last.end_s < end_s
    ]
    return sorted(down_times, key=lambda down: -down.duration_s)


def find_worker_spans(facts: Iterable[Fact], capacity: Size) -> list[WorkerSpan]:
    """Return when one worker was up and neither leaving nor cut off, from its facts."""
    spans = []
    worker_id = ""
    since_s: float | None = None
    for fact in facts:
        if fact["fact"] == "boot":
            worker_id, since_s = fact["worker"], fact["at"]
        elif fact["fact"] in ("leaving", "gone") and since_s is not None:
            spans.append(WorkerSpan(worker_id, capacity, Span(since_s, fact["at"])))
            since_s = None
    if since_s is not None:
        spans.append(WorkerSpan(worker_id, capacity, Span(since_s, NEVER)))
    return spans


def find_late(
    down_times: Iterable[DownTime],
    runs: list[RecordedRun],
    submission_by_id: dict[str, Submission],
    worker_spans: list[WorkerSpan],
    troubles: list[Span],
) -> list[Violation]:
    """Return the tasks that were down for longer than the rule allows.

    :param runs: all runs, whose room is not free.
    :param troubles: when there was unplanned trouble.
    """
    blocked = [Span(trouble.start_s, trouble.end_s + CALM_S + DOWN_S) for trouble in troubles]
    violations = []
    for down in down_times:
        if down.duration_s < RESTART_S + DOWN_S:
            continue
        step = submission_by_id[down.task.job_id].steps[down.task.step]
        span = Span(down.last.end_s + RESTART_S, down.until_s)
        full = _find_full(step, span, runs, submission_by_id, worker_spans)
        blocked_down = blocked + [Span(each.start_s, each.end_s + DOWN_S) for each in full]
        at_s = span.start_s + DOWN_S
        for each in sorted(blocked_down):
            if each.start_s <= at_s < each.end_s:
                at_s = each.end_s
        if at_s <= down.until_s:
            details = f"down for {down.duration_s:.1f} s, after {down.last}"
            violations.append(Violation(at_s, "down", format_task_id(down.task), details))
    return sorted(violations)


def _find_full(
    step: Step,
    span: Span,
    runs: list[RecordedRun],
    submission_by_id: dict[str, Submission],
    worker_spans: list[WorkerSpan],
) -> list[Span]:
    """Return the parts of a span in which there was no room for a task twice over."""
    near = [run for run in runs if run.start_s < span.end_s and run.end_s > span.start_s]
    instants = {span.start_s, span.end_s}
    for each in (*near, *(worker.span for worker in worker_spans)):
        instants |= {
            at_s for at_s in (each.start_s, each.end_s) if span.start_s < at_s < span.end_s
        }
    ordered = sorted(instants)
    return [
        Span(start_s, end_s)
        for start_s, end_s in zip(ordered, ordered[1:], strict=False)
        if _count_places(step, start_s, near, submission_by_id, worker_spans) < ROOM_FACTOR
    ]


def _count_places(
    step: Step,
    at_s: float,
    runs: list[RecordedRun],
    submission_by_id: dict[str, Submission],
    worker_spans: list[WorkerSpan],
) -> int:
    """Return how many tasks of a step fit on the workers just after an instant."""
    free_by_worker = {
        worker.worker_id: worker.capacity
        for worker in worker_spans
        if worker.span.start_s <= at_s < worker.span.end_s
    }
    for run in runs:
        if run.worker_id in free_by_worker and run.start_s <= at_s < run.end_s:
            used = submission_by_id[run.task.job_id].steps[run.task.step]
            free_by_worker[run.worker_id] = free_by_worker[run.worker_id].minus(_size_of(used))
    size = _size_of(step)
    counts = range(1, ROOM_FACTOR + 1)
    return sum(size.times(count).fits(free) for free in free_by_worker.values() for count in counts)


def _size_of(step: Step) -> Size:
    return Size(step.cpu_millis, step.memory_mb, step.accelerators)

"""State of a submitted job, its steps and its tasks."""

from collections.abc import Callable
from collections.abc import Iterator
from enum import StrEnum
from math import exp
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.units import MS_PER_S

MILLIS_PER_CORE = 1000.0
# Assumed duration of a task without an estimate, in seconds.
DEFAULT_ESTIMATE_S = 1.0
# Time constant of the moving average of whether there is room for a step, in seconds.
ROOM_WINDOW_S = 1.0


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobSource(StrEnum):
    """How an owner learned of a job.

    ``LOADED``: with all stored jobs at the start of its term. ``FEED``: from the store's feed.
    ``NOTIFIED``: from the entry that stored it. ``STORED``: it stored the job itself.
    """

    LOADED = "loaded"
    FEED = "feed"
    NOTIFIED = "notified"
    STORED = "stored"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Task:
    """State of one task.

    :ivar active_run: number of the active run, 0 for none.
    :ivar last_run: highest number of a run; it never decreases.
    :ivar failed_runs: numbers of the runs that have failed.
    :ivar crashed_runs: numbers of the runs that may have crashed their workers.
    :ivar was_always_last_started: whether each of these was the last one that its worker started.
    :ivar checkpoint: last checkpoint, from which the next run resumes; empty for none.
    :ivar down_since_s: when its last run ended, on the owner's clock, ``None`` if it has never run.
        Only used for long-running tasks that are not running.
    """

    __slots__ = (
        "key",
        "is_done",
        "failed_runs",
        "crashed_runs",
        "was_always_last_started",
        "checkpoint",
        "active_run",
        "last_run",
        "worker_id",
        "down_since_s",
    )

    def __init__(self, key: TaskKey) -> None:
        self.key = key
        self.is_done = False
        self.failed_runs: set[int] = set()
        self.crashed_runs: set[int] = set()
        self.was_always_last_started = True
        self.checkpoint = ""
        self.active_run = 0
        self.last_run = 0
        self.worker_id = ""
        self.down_since_s: float | None = None

    def is_waiting(self) -> bool:
        """Return whether the task is neither done nor running."""
        return not self.is_done and not self.active_run


class RoomShare:
    """Moving average of whether there is room for a step.

    :ivar share: share of the time for which there was room lately.
    """

    __slots__ = ("share", "_had_room", "_updated_s")

    def __init__(self) -> None:
        self.share = 0.0
        self._had_room = False
        self._updated_s: float | None = None

    def update(self, has_room: bool, now_s: float) -> None:
        """Record whether there is room now; it counts until the next update."""
        if self._updated_s is not None:
            weight = 1.0 - exp((self._updated_s - now_s) / ROOM_WINDOW_S)
            self.share += weight * (self._had_room - self.share)
        self._had_room = has_room
        self._updated_s = now_s


class StepState:
    """State of one step of one occurrence, with its tasks.

    :ivar done_count: number of tasks that are done.
    :ivar active_count: number of tasks with an active run.
    :ivar ready_since_s: since when the step has had tasks to start, on the owner's clock; since
        when the first of its waiting tasks has been down for long-running steps.
    :ivar room: for which share of the time workers had room for its tasks lately, as the planner
        saw it. Only used for long-running steps.
    :ivar first_ready_s: when the step first had tasks to start, for the log; ``None`` before.
    :ivar last_start_s: when the last task was started, for the log; ``None`` before.
    """

    __slots__ = (
        "step",
        "tasks",
        "done_count",
        "active_count",
        "ready_since_s",
        "room",
        "first_ready_s",
        "last_start_s",
        "retry_after_s",
    )

    def __init__(self, step: Step, job_id: str, occurrence: int, index: int) -> None:
        self.step = step
        self.tasks = [Task(TaskKey(job_id, occurrence, index, n)) for n in range(step.count)]
        self.done_count = 0
        self.active_count = 0
        self.ready_since_s = 0.0
        self.room = RoomShare()
        self.first_ready_s: float | None = None
        self.last_start_s: float | None = None
        # Best-effort steps that found no suitable worker are not planned before this time.
        self.retry_after_s = 0.0

    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def waiting(self) -> Iterator[Task]:
        """Return the tasks that are neither done nor running."""
        return (task for task in self.tasks if task.is_waiting())

    def waiting_count(self) -> int:
        """Return the number of tasks that are neither done nor running."""
        return len(self.tasks) - self.done_count - self.active_count

    def has_waiting(self) -> bool:
        """Return whether any task is neither done nor running."""
        return self.waiting_count() > 0


class Occurrence:
    """One execution of a job's steps; it may start from the Unix time ``due_s`` on."""

    __slots__ = ("number", "due_s", "steps")

    def __init__(self, submission: Submission, number: int) -> None:
        self.number = number
        self.due_s = submission.submitted_s
        if submission.occurrences:
            self.due_s = submission.first_due_s + number * submission.interval_s
        self.steps = [
            StepState(step, submission.job_id, number, index)
            for index, step in enumerate(submission.steps)
        ]

    def ready_steps(self) -> Iterator[StepState]:
        """Return the steps that have waiting tasks and whose predecessors are done."""
        for step_state in self.steps:
            if step_state.has_waiting() and all(
                self.steps[n].is_done() for n in step_state.step.after
            ):
                yield step_state

    def is_done(self) -> bool:
        """Return whether all steps are done."""
        return all(step_state.is_done() for step_state in self.steps)


def ignore_run_change(job: "Job", task: Task) -> None:
    """Do nothing when a run of a task begins or ends."""


class Job:
    """State of one submitted job.

    :ivar has_begun: whether a worker is known to have started a task.
    :ivar work: estimated core-seconds of one execution of the steps.
    :ivar critical_paths_s: for each step, the estimated duration of the critical path from its
        start to the end of the job.
    :ivar is_stored: whether the current state is committed.
    :ivar may_have_unknown_runs: whether an earlier owner may have started tasks that no worker has
        reported yet.
    :ivar is_owed: whether its organisation is entitled to it; written by ``organisation_share``.
    :ivar source: how the owner learned of it, for the log.
    :ivar taken_s: when it did, on its clock, for the log.
    """

    def __init__(
        self,
        submission: Submission,
        may_have_unknown_runs: bool = False,
        note_run_change: Callable[["Job", Task], None] = ignore_run_change,
    ) -> None:
        self.submission = submission
        self._note_run_change = note_run_change
        self.state = JobState.QUEUED
        self.has_begun = False
        self.may_have_unknown_runs = may_have_unknown_runs
        self.is_stored = True
        self.is_owed = True
        self.source = JobSource.LOADED
        self.taken_s = 0.0
        self.critical_paths_s = critical_paths_s(submission.steps)
        self.work = sum(step.count * step_work(step) for step in submission.steps)
        count = max(1, submission.occurrences)
        self.occurrences = [Occurrence(submission, number) for number in range(count)]

    @property
    def job_id(self) -> str:
        """Return the id that the caller chose."""
        return self.submission.job_id

    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.state in FINAL_STATES

    def step_state(self, key: TaskKey) -> StepState | None:
        """Return the step of a task, or ``None`` if the job has no such task."""
        if key.occurrence >= len(self.occurrences):
            return None
        steps = self.occurrences[key.occurrence].steps
        if key.step >= len(steps) or key.index >= len(steps[key.step].tasks):
            return None
        return steps[key.step]

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or ``None`` if the job has no such task."""
        step_state = self.step_state(key)
        return step_state.tasks[key.index] if step_state else None

    def begin_run(self, task: Task, run: int, worker_id: str) -> None:
        """Record a run of a task, which may exist from now on."""
        task.active_run = run
        task.last_run = max(run, task.last_run)
        task.worker_id = worker_id
        self.step_state(task.key).active_count += 1
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
        self._note_run_change(self, task)

    def end_run(self, task: Task, down_since_s: float | None) -> None:
        """Record that the active run of a task has certainly ended.

        :param down_since_s: when, on the owner's clock; ``None`` if it may have been no run at all.
        """
        task.active_run = 0
        if down_since_s is not None:
            task.down_since_s = down_since_s
        task.worker_id = ""
        self.step_state(task.key).active_count -= 1
        self._note_run_change(self, task)

    def mark_done(self, task: Task) -> None:
        """Mark a task as done, or the whole gang that it belongs to."""
        step_state = self.step_state(task.key)
        members = step_state.tasks if step_state.step.gang else (task,)
        for member in members:
            if not member.is_done:
                member.is_done = True
                step_state.done_count += 1
        if not step_state.step.long_running and all(each.is_done() for each in self.occurrences):
            self.state = JobState.COMPLETED

    def count_failure(self, task: Task, run: int, max_attempts: int) -> None:
        """Count a failed run once, and fail the job if no attempts remain.

        The ends of a task's runs come from several workers, so a new owner may learn of them in any
        order. The attempts of a long-running task are unlimited and not counted.
        """
        step_state = self.step_state(task.key)
        if step_state.step.long_running or task.is_done:
            return
        task.failed_runs.add(run)
        failures = len(task.failed_runs)
        if step_state.step.gang:
            failures = max(len(member.failed_runs) for member in step_state.tasks)
        if failures >= max_attempts:
            self.state = JobState.FAILED

    def is_running(self) -> bool:
        """Return whether any task has an active run."""
        return any(
            step_state.active_count
            for occurrence in self.occurrences
            for step_state in occurrence.steps
        )

    def active_tasks(self) -> Iterator[Task]:
        """Return the tasks with an active run."""
        for occurrence in self.occurrences:
            for step_state in occurrence.steps:
                if step_state.active_count:
                    yield from (task for task in step_state.tasks if task.active_run)


class ReadyStep(NamedTuple):
    """A step that has waiting tasks and whose predecessors are done."""

    job: Job
    occurrence: Occurrence
    step_state: StepState


def step_work(step: Step) -> float:
    """Return the estimated core-seconds of one task."""
    return step.cpu_millis / MILLIS_PER_CORE * step_estimate_s(step)


def step_estimate_s(step: Step) -> float:
    """Return the estimated duration of one task in seconds."""
    return step.estimate_ms / MS_PER_S or DEFAULT_ESTIMATE_S


def critical_paths_s(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return for each step the estimated critical path from its start to the end of the job."""
    remaining = [0.0] * len(steps)
    for index in range(len(steps) - 1, -1, -1):
        followers = (n for n in range(index + 1, len(steps)) if index in steps[n].after)
        longest = max((remaining[n] for n in followers), default=0.0)
        remaining[index] = step_estimate_s(steps[index]) + longest
    return tuple(remaining)


def describe_source(job: Job | None, now_s: float) -> dict[str, str | float]:
    """Return how the owner learned of a job, and how long ago, for the log; nothing without one."""
    if job is None:
        return {}
    return {"job_source": job.source, "job_taken_s_ago": round(now_s - job.taken_s, 3)}


def describe_steps(job: Job, submitted_s: float) -> list[tuple[float | None, float | None]]:
    """Return when each step of a job became ready and when its last task was started, for the log.

    In seconds since the submission. Of a job with several occurrences it returns the last one.

    :param submitted_s: when the job was submitted, on the owner's clock.
    """
    return [
        tuple(
            None if instant_s is None else round(instant_s - submitted_s, 3)
            for instant_s in (step_state.first_ready_s, step_state.last_start_s)
        )
        for step_state in job.occurrences[-1].steps
    ]

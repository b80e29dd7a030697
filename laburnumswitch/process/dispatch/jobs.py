"""State of a submitted job."""

from collections.abc import Callable
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.occurrences import Occurrence
from laburnumswitch.process.dispatch.occurrences import Occurrences
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.process.dispatch.step_state import Task
from laburnumswitch.units import MS_PER_S

MILLIS_PER_CORE = 1000.0
# Assumed duration of a task without an estimate, in seconds.
DEFAULT_ESTIMATE_S = 1.0
# Maximum number of steps of a job that are named in a log line.
MAX_LOGGED_STEPS = 16


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
    ``NOTIFIED``: from the entry that stored it. ``STORED``: it stored the job itself. ``PARKED``:
    read again once there was memory for it.
    """

    LOADED = "loaded"
    FEED = "feed"
    NOTIFIED = "notified"
    STORED = "stored"
    PARKED = "parked"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


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
    :ivar is_set_aside: whether its tasks are not started because of an error, see ``job_faults``.
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
        self.is_set_aside = False
        self.is_owed = True
        self.source = JobSource.LOADED
        self.taken_s = 0.0
        self.critical_paths_s = critical_paths_s(submission.steps)
        self.work = sum(step.count * step_work(step) for step in submission.steps)
        self.occurrences = Occurrences(submission)

    @property
    def job_id(self) -> str:
        """Return the id that the caller chose."""
        return self.submission.job_id

    @property
    def critical_path_s(self) -> float:
        """Return the estimated duration of the longest chain of steps, in seconds."""
        return max(self.critical_paths_s, default=0.0)

    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.state in FINAL_STATES

    def step_state(self, key: TaskKey) -> StepState | None:
        """Return the step of a task, or ``None`` if the job has no such task.

        Tasks of occurrences that are done count as none.
        """
        if not 0 <= key.step < len(self.submission.steps):
            return None
        if not 0 <= key.index < self.submission.steps[key.step].count:
            return None
        occurrence = self.occurrences.find(key.occurrence)
        return occurrence.steps[key.step] if occurrence else None

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or ``None`` if the job has no such task."""
        step_state = self.step_state(key)
        return step_state.task(key.index) if step_state else None

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
        step_state = self.step_state(task.key)
        step_state.active_count -= 1
        self._note_run_change(self, task)
        step_state.forget_if_over(task)

    def mark_done(self, task: Task) -> None:
        """Mark a task as done, or the whole gang that it belongs to."""
        step_state = self.step_state(task.key)
        step_state.mark_done(task)
        if not step_state.step.long_running and self.occurrences.are_all_done():
            self.state = JobState.COMPLETED

    def count_failure(self, task: Task, run: int, max_attempts: int) -> None:
        """Count a failed run once, and fail the job if no attempts remain.

        The ends of a task's runs come from several workers, so a new owner may learn of them in any
        order. The attempts of a long-running task are unlimited and not counted.
        """
        step_state = self.step_state(task.key)
        if step_state.step.long_running or task.is_done:
            return
        task.failed_runs |= {run}
        failures = len(task.failed_runs)
        if step_state.step.gang:
            failures = max(len(member.failed_runs) for member in step_state.known_tasks())
        if failures >= max_attempts:
            self.state = JobState.FAILED

    def drop_steps(self) -> None:
        """Free the memory of the steps of a job that has ended."""
        self.occurrences.clear()
        self.submission = self.submission._replace(spec="", steps=())
        self.critical_paths_s = ()

    def is_running(self) -> bool:
        """Return whether any task has an active run."""
        return any(occurrence.is_running() for occurrence in self.occurrences)

    def active_tasks(self) -> Iterator[Task]:
        """Return the tasks with an active run."""
        for occurrence in self.occurrences:
            for step_state in occurrence.steps:
                if step_state.active_count:
                    yield from (task for task in step_state.known_tasks() if task.active_run)


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
        remaining[index] += step_estimate_s(steps[index])
        for earlier in steps[index].after:
            remaining[earlier] = max(remaining[earlier], remaining[index])
    return tuple(remaining)


def describe_source(job: Job | None, now_s: float) -> dict[str, str | float]:
    """Return how the owner learned of a job, and how long ago, for the log; nothing without one."""
    if job is None:
        return {}
    return {"job_source": job.source, "job_taken_s_ago": round(now_s - job.taken_s, 3)}


def describe_steps(job: Job, submitted_s: float) -> list[tuple[float | None, float | None]]:
    """Return when each step of a job became ready and when its last task was started, for the log.

    In seconds since the submission, of the last occurrence that exists and its first steps only.

    :param submitted_s: when the job was submitted, on the owner's clock.
    """
    steps = job.occurrences[-1].steps if len(job.occurrences) else []
    return [
        tuple(
            None if instant_s is None else round(instant_s - submitted_s, 3)
            for instant_s in (step_state.first_ready_s, step_state.last_start_s)
        )
        for step_state in steps[:MAX_LOGGED_STEPS]
    ]

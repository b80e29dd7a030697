"""State of one submitted job: its tasks, what has ended, and what may start next."""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from laburnumswitch.process.dispatch.work import Step
from laburnumswitch.process.dispatch.work import Submission
from laburnumswitch.process.dispatch.work import TaskKey
from laburnumswitch.units import MS_PER_S

MILLIS_PER_CORE = 1000.0
# A task whose estimate is missing counts as this long, in seconds: the order of a short request.
DEFAULT_ESTIMATE_S = 1.0


class JobState(StrEnum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Task:
    """One task. ``run`` is the number of its active run, 0 for none; ``last_run`` only rises.

    ``failed_run`` is the highest run that is counted in ``failures``.
    """

    __slots__ = (
        "key",
        "is_done",
        "failures",
        "failed_run",
        "checkpoint",
        "run",
        "last_run",
        "worker_id",
    )

    def __init__(self, key: TaskKey) -> None:
        self.key = key
        self.is_done = False
        self.failures = 0
        self.failed_run = 0
        self.checkpoint = ""
        self.run = 0
        self.last_run = 0
        self.worker_id = ""

    def is_waiting(self) -> bool:
        """Return whether the task has to be started."""
        return not self.is_done and not self.run


class StepRuns:
    """The tasks of one step of one occurrence."""

    __slots__ = ("step", "tasks", "done", "active", "ready_since_s", "retry_after_s")

    def __init__(self, step: Step, job_id: str, occurrence: int, index: int) -> None:
        self.step = step
        self.tasks = [Task(TaskKey(job_id, occurrence, index, n)) for n in range(step.count)]
        self.done = 0
        self.active = 0
        self.ready_since_s = 0.0
        # Filling steps that found no calm worker are left alone until then.
        self.retry_after_s = 0.0

    def is_done(self) -> bool:
        """Return whether all tasks have ended as done."""
        return self.done == len(self.tasks)

    def waiting(self) -> Iterator[Task]:
        """Return the tasks that have to be started."""
        return (task for task in self.tasks if task.is_waiting())

    def has_waiting(self) -> bool:
        """Return whether any task has to be started."""
        return self.done + self.active < len(self.tasks)


class Occurrence:
    """One pass through a job's steps, due at ``due_s`` of Unix time."""

    __slots__ = ("number", "due_s", "steps")

    def __init__(self, submission: Submission, number: int) -> None:
        self.number = number
        self.due_s = submission.submitted_s
        if submission.occurrences:
            self.due_s = submission.first_due_s + number * submission.interval_s
        self.steps = [
            StepRuns(step, submission.job_id, number, index)
            for index, step in enumerate(submission.steps)
        ]

    def ready_steps(self) -> Iterator[StepRuns]:
        """Return the steps whose turn has come and that have tasks to start."""
        for runs in self.steps:
            if runs.has_waiting() and all(self.steps[n].is_done() for n in runs.step.after):
                yield runs

    def is_done(self) -> bool:
        """Return whether all steps are done."""
        return all(runs.is_done() for runs in self.steps)


class Job:
    """One submitted job.

    :ivar has_begun: whether any task was started, by any owner as far as it is known.
    :ivar work: estimated core-seconds of one pass through the steps.
    :ivar chains_s: by step, the longest estimated chain of work from its start to the job's end.
    :ivar is_stored: whether the present state is committed.
    :ivar may_run_unseen: whether an earlier owner may have started tasks that nobody has seen yet.
    """

    def __init__(self, submission: Submission, may_run_unseen: bool = False) -> None:
        self.submission = submission
        self.state = JobState.QUEUED
        self.has_begun = False
        self.may_run_unseen = may_run_unseen
        self.is_stored = True
        self.chains_s = chain_s(submission.steps)
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

    def step_runs(self, key: TaskKey) -> StepRuns | None:
        """Return the step of a task, ``None`` where the job has no such task."""
        if key.occurrence >= len(self.occurrences):
            return None
        steps = self.occurrences[key.occurrence].steps
        if key.step >= len(steps) or key.index >= len(steps[key.step].tasks):
            return None
        return steps[key.step]

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, ``None`` where the job has no such task."""
        runs = self.step_runs(key)
        return runs.tasks[key.index] if runs else None

    def begin_run(self, task: Task, run: int, worker_id: str) -> None:
        """Note that a run of a task may exist from now on."""
        task.run = run
        task.last_run = max(run, task.last_run)
        task.worker_id = worker_id
        self.step_runs(task.key).active += 1
        self.has_begun = True
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    def end_run(self, task: Task) -> None:
        """Note that the active run of a task certainly does not run any more."""
        task.run = 0
        task.worker_id = ""
        self.step_runs(task.key).active -= 1

    def mark_done(self, task: Task) -> None:
        """Note that a task, or the gang that it stands for, has ended as done."""
        runs = self.step_runs(task.key)
        members = runs.tasks if runs.step.gang else (task,)
        for member in members:
            if not member.is_done:
                member.is_done = True
                runs.done += 1
        if not runs.step.lasting and all(each.is_done() for each in self.occurrences):
            self.state = JobState.COMPLETED

    def count_failure(self, task: Task, run: int, max_attempts: int) -> None:
        """Count a failed run once, and fail the job where no attempt is left."""
        if run <= task.failed_run:
            return
        runs = self.step_runs(task.key)
        task.failures += 1
        task.failed_run = run
        if runs.step.lasting:
            return
        failures = task.failures
        if runs.step.gang:
            failures = max(member.failures for member in runs.tasks)
        if failures >= max_attempts:
            self.state = JobState.FAILED

    def is_running(self) -> bool:
        """Return whether any task has an active run."""
        return any(runs.active for occurrence in self.occurrences for runs in occurrence.steps)

    def active_tasks(self) -> Iterator[Task]:
        """Return the tasks with an active run."""
        for occurrence in self.occurrences:
            for runs in occurrence.steps:
                if runs.active:
                    yield from (task for task in runs.tasks if task.run)


class WaitingStep(NamedTuple):
    """A step with tasks to start."""

    job: Job
    occurrence: Occurrence
    runs: StepRuns


def step_work(step: Step) -> float:
    """Return the estimated core-seconds of one task."""
    return step.cpu_millis / MILLIS_PER_CORE * step_estimate_s(step)


def step_estimate_s(step: Step) -> float:
    """Return the estimated duration of one task."""
    return step.estimate_ms / MS_PER_S or DEFAULT_ESTIMATE_S


def chain_s(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return for each step the longest estimated chain of work from its start to the job's end."""
    remaining = [0.0] * len(steps)
    for index in range(len(steps) - 1, -1, -1):
        followers = (n for n in range(index + 1, len(steps)) if index in steps[n].after)
        longest = max((remaining[n] for n in followers), default=0.0)
        remaining[index] = step_estimate_s(steps[index]) + longest
    return tuple(remaining)

"""Checks the runs of the emulated workers against the guarantees to callers."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey


class Violation(NamedTuple):
    """A violated guarantee."""

    at_s: float
    guarantee: str
    subject: str
    details: str


class InvariantChecker:
    """Tracks submissions and the starts, ends and acknowledgements of runs; collects violations."""

    def __init__(self) -> None:
        self.submission_by_id: dict[str, Submission] = {}
        self.violations: list[Violation] = []
        self.start_count = 0
        self.done: set[TaskKey] = set()
        self.acknowledged_tasks: set[TaskKey] = set()
        # Called before a start is checked, to bring the workers' runs up to date.
        self.refresh_callbacks: list[Callable[[], None]] = []
        # Called when a member of a gang has ended without being done.
        self.gang_callbacks: list[Callable[[TaskKey], None]] = []
        self._worker_by_task: dict[TaskKey, str] = {}

    def record_submission(self, submission: Submission) -> None:
        """Record a job; has to be called before its caller sends it."""
        self.submission_by_id[submission.job_id] = submission

    def check_start(self, now_s: float, task: TaskKey, worker_id: str) -> None:
        """Record the start of a run and check that it was allowed."""
        self.start_count += 1
        for refresh in self.refresh_callbacks:
            refresh()
        name = ".".join(str(part) for part in task)
        submission = self.submission_by_id.get(task.job_id)
        if submission is None:
            self._report(now_s, "unasked", name, f"never submitted by a caller; on {worker_id}")
            return
        if task in self._worker_by_task:
            self._report(now_s, "twice", name, f"on {worker_id} and {self._worker_by_task[task]}")
        if task in self.acknowledged_tasks:
            self._report(now_s, "twice", name, f"on {worker_id} after its end was acknowledged")
        for earlier in submission.steps[task.step].after:
            for index in range(submission.steps[earlier].count):
                if TaskKey(task.job_id, task.occurrence, earlier, index) not in self.done:
                    self._report(now_s, "order", name, f"before step {earlier} task {index}")
                    break
        self._worker_by_task[task] = worker_id

    def record_end(self, task: TaskKey, is_done: bool) -> None:
        """Record the end of a run, also by the end of its worker."""
        self._worker_by_task.pop(task, None)
        if is_done:
            self.done.add(task)

    def break_gang(self, task: TaskKey) -> None:
        """End the other members of a gang of which one has ended."""
        for end_members in self.gang_callbacks:
            end_members(task)

    def record_acknowledged(self, task: TaskKey) -> None:
        """Record that a completion was acknowledged before the worker's lease lapsed."""
        self.acknowledged_tasks.add(task)

    def check_completed(self, now_s: float, job_id: str) -> None:
        """Check that all tasks of a job shown as completed are done."""
        for step, each in enumerate(self.submission_by_id[job_id].steps):
            for index in range(each.count):
                if TaskKey(job_id, 0, step, index) not in self.done:
                    self._report(
                        now_s, "completed", job_id, f"step {step} task {index} is not done"
                    )

    def record_lost_job(self, now_s: float, job_id: str, state: str) -> None:
        """Record an accepted job that did not complete."""
        self._report(now_s, "lost", job_id, f"accepted, and shown as {state}")

    def _report(self, now_s: float, guarantee: str, subject: str, details: str) -> None:
        self.violations.append(Violation(now_s, guarantee, subject, details))

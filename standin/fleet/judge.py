"""Judges what the workers of the emulator ran against the promises to callers."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey


class Breach(NamedTuple):
    """One broken promise."""

    at_s: float
    promise: str
    subject: str
    details: str


class Judge:
    """What was submitted, what runs, what has ended and what was acknowledged."""

    def __init__(self) -> None:
        self.submission_by_id: dict[str, Submission] = {}
        self.breaches: list[Breach] = []
        self.starts = 0
        self.done: set[TaskKey] = set()
        self.noted_done: set[TaskKey] = set()
        # Brings the workers' runs up to date before a start is judged.
        self.refresh: list[Callable[[], None]] = []
        self._running: dict[TaskKey, str] = {}

    def note_submitted(self, submission: Submission) -> None:
        """Note a job before its caller sends it."""
        self.submission_by_id[submission.job_id] = submission

    def note_start(self, now_s: float, task: TaskKey, worker_id: str) -> None:
        """Check the start of a run."""
        self.starts += 1
        for refresh in self.refresh:
            refresh()
        name = ".".join(str(part) for part in task)
        submission = self.submission_by_id.get(task.job_id)
        if submission is None:
            self._breach(now_s, "unasked", name, f"nobody submitted it; on {worker_id}")
            return
        if task in self._running:
            self._breach(now_s, "twice", name, f"on {worker_id} and {self._running[task]}")
        if task in self.noted_done:
            self._breach(now_s, "twice", name, f"on {worker_id} after its end was acknowledged")
        for earlier in submission.steps[task.step].after:
            for index in range(submission.steps[earlier].count):
                if TaskKey(task.job_id, task.occurrence, earlier, index) not in self.done:
                    self._breach(now_s, "order", name, f"before step {earlier} task {index}")
                    break
        self._running[task] = worker_id

    def note_end(self, task: TaskKey, is_done: bool) -> None:
        """Note the end of a run, or of the worker under it."""
        self._running.pop(task, None)
        if is_done:
            self.done.add(task)

    def note_acknowledged(self, task: TaskKey) -> None:
        """Note that an end as done was acknowledged while the worker's lease held."""
        self.noted_done.add(task)

    def check_completed(self, now_s: float, job_id: str) -> None:
        """Check that a job which is shown as completed has ended."""
        for step, each in enumerate(self.submission_by_id[job_id].steps):
            for index in range(each.count):
                if TaskKey(job_id, 0, step, index) not in self.done:
                    self._breach(now_s, "completed", job_id, f"step {step} task {index} is not")

    def breach_lost(self, now_s: float, job_id: str, state: str) -> None:
        """Note an accepted job that did not complete."""
        self._breach(now_s, "lost", job_id, f"accepted, and shown as {state}")

    def _breach(self, now_s: float, promise: str, subject: str, details: str) -> None:
        self.breaches.append(Breach(now_s, promise, subject, details))

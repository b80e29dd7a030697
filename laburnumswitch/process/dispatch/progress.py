"""What is stored of a job's progress: its state, done tasks, failures and checkpoints."""

from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.work import Submission
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction

SUBMISSIONS_TABLE = "submissions"
PROGRESS_TABLE = "progress"
CANCELLATIONS_TABLE = "cancellations"


class StepProgress(NamedTuple):
    """One step: ``done`` is a hexadecimal set of bits by the tasks' indexes.

    ``failures`` holds by index how many runs failed, and the highest of them.
    """

    occurrence: int
    step: int
    done: str
    failures: dict[int, tuple[int, int]]
    checkpoint_by_index: dict[int, str]


class Progress(NamedTuple):
    """One job; ``queue`` lets a final job's state be told without its submission."""

    queue: str
    state: JobState
    steps: list[StepProgress]


def submission_key(job_id: str) -> str:
    """Return the key of the row of a submitted job."""
    return f"{SUBMISSIONS_TABLE}/{job_id}"


def progress_key(job_id: str) -> str:
    """Return the key of the row of a job's progress."""
    return f"{PROGRESS_TABLE}/{job_id}"


def cancellation_key(job_id: str) -> str:
    """Return the key of the row that asks for a job's end."""
    return f"{CANCELLATIONS_TABLE}/{job_id}"


def describe_progress(job: Job) -> Progress:
    """Return what has to be stored of a job."""
    steps = []
    if not job.is_final():
        for occurrence in job.occurrences:
            for index, runs in enumerate(occurrence.steps):
                done = sum(1 << task.key.index for task in runs.tasks if task.is_done)
                failures = {
                    task.key.index: (task.failures, task.failed_run)
                    for task in runs.tasks
                    if task.failures
                }
                checkpoints = {
                    task.key.index: task.checkpoint
                    for task in runs.tasks
                    if task.checkpoint and not task.is_done
                }
                if done or failures or checkpoints:
                    steps.append(
                        StepProgress(occurrence.number, index, f"{done:x}", failures, checkpoints)
                    )
    return Progress(job.submission.queue, job.state, steps)


def restore_progress(job: Job, progress: Progress) -> None:
    """Apply stored progress to a job that was just read."""
    for stored in progress.steps:
        runs = job.occurrences[stored.occurrence].steps[stored.step]
        done = int(stored.done, 16)
        for task in runs.tasks:
            task.is_done = bool(done >> task.key.index & 1)
            task.failures, task.failed_run = stored.failures.get(task.key.index, (0, 0))
            task.checkpoint = stored.checkpoint_by_index.get(task.key.index, "")
        runs.done = done.bit_count()
        job.has_begun = True
    job.state = progress.state


def decode_progress(key: str, value: Any) -> Progress | RowMalformed:
    """Return the progress of a row."""
    try:
        return convert(value, Progress, strict=False)
    except ValidationError as error:
        return RowMalformed(key, str(error))


def decode_stored_submission(key: str, value: Any) -> Submission | RowMalformed:
    """Return the submission of a row."""
    try:
        return convert(value, Submission)
    except ValidationError as error:
        return RowMalformed(key, str(error))


def store_submission(table: FeedTable, submission: Submission) -> None | Failure:
    """Store a job unless it is stored already, and return nothing once it certainly is.

    Sent again after an unknown outcome it remains one job, also where the earlier write lands late.
    """
    key = submission_key(submission.job_id)
    outcome = table.commit(Transaction((Condition(key, ABSENT_VERSION),), (Put(key, submission),)))
    if isinstance(outcome, Committed):
        return None
    if not isinstance(outcome, Conflict):
        return outcome
    found = table.read((key,))
    if isinstance(found, Failure):
        return found
    return None if found[key].version != ABSENT_VERSION else outcome

"""Stored progress of the dispatch daemon's jobs: state, done tasks, failures and checkpoints.

The other daemon stores progress rows of another layout, see ``process.ledger.progress``.
"""

from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import OtherOrganisation
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.job_spec import may_access_job
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

SUBMISSIONS_TABLE = "submissions"
PROGRESS_TABLE = "progress"
CANCELLATIONS_TABLE = "cancellations"


class StepProgress(NamedTuple):
    """Progress of one step.

    ``done`` is a bit set of task indexes in hexadecimal.
    """

    occurrence: int
    step: int
    done: str
    failed_runs_by_index: dict[int, tuple[int, ...]]
    checkpoint_by_index: dict[int, str]


class Progress(NamedTuple):
    """Progress of one job as it is stored.

    ``queue`` is stored so that the state of a finished job can be reported without its submission.
    """

    queue: str
    state: JobState
    steps: list[StepProgress]


def submission_key(job_id: str) -> str:
    """Return the key of the row that holds a job's submission."""
    return f"{SUBMISSIONS_TABLE}/{job_id}"


def progress_key(job_id: str) -> str:
    """Return the key of the row that holds a job's progress."""
    return f"{PROGRESS_TABLE}/{job_id}"


def cancellation_key(job_id: str) -> str:
    """Return the key of the row that requests a job's cancellation."""
    return f"{CANCELLATIONS_TABLE}/{job_id}"


def describe_progress(job: Job) -> Progress:
    """Return the progress of a job for storage."""
    steps = []
    if not job.is_final():
        for occurrence in job.occurrences:
            for index, step_state in enumerate(occurrence.steps):
                done = sum(1 << task.key.index for task in step_state.tasks if task.is_done)
                failed_runs = {
                    task.key.index: tuple(sorted(task.failed_runs))
                    for task in step_state.tasks
                    if task.failed_runs
                }
                checkpoints = {
                    task.key.index: task.checkpoint
                    for task in step_state.tasks
                    if task.checkpoint and not task.is_done
                }
                if done or failed_runs or checkpoints:
                    steps.append(
                        StepProgress(
                            occurrence.number, index, f"{done:x}", failed_runs, checkpoints
                        )
                    )
    return Progress(job.submission.queue, job.state, steps)


def restore_progress(job: Job, progress: Progress) -> None:
    """Apply stored progress to a job that was just loaded."""
    for stored in progress.steps:
        step_state = job.occurrences[stored.occurrence].steps[stored.step]
        done = int(stored.done, 16)
        for task in step_state.tasks:
            task.is_done = bool(done >> task.key.index & 1)
            task.failed_runs = set(stored.failed_runs_by_index.get(task.key.index, ()))
            task.checkpoint = stored.checkpoint_by_index.get(task.key.index, "")
        step_state.done_count = done.bit_count()
        job.has_begun = True
    job.state = progress.state


def decode_progress(key: str, value: Any) -> Progress | RowMalformed:
    """Decode the progress in a row."""
    try:
        return convert(value, Progress, strict=False)
    except ValidationError as error:
        return RowMalformed(key, str(error))


def decode_stored_submission(key: str, value: Any) -> Submission | RowMalformed:
    """Decode the submission in a row."""
    try:
        return convert(value, Submission)
    except ValidationError as error:
        return RowMalformed(key, str(error))


def store_submission(table: Table, submission: Submission) -> None | Failure:
    """Store a submission unless it exists, and return ``None`` once it is certainly stored.

    May be repeated after an unknown outcome: the write is conditional on the row's absence, so it
    remains one job even if an earlier write takes effect late.

    :return: ``OtherOrganisation`` if the job exists and is that of another organisation.
    """
    key = submission_key(submission.job_id)
    # Earlier versions cannot read rows with the field that names the organisation.
    value = submission if submission.organisation else submission[:-1]
    outcome = table.commit(Transaction((Condition(key, ABSENT_VERSION),), (Put(key, value),)))
    if isinstance(outcome, Committed):
        return None
    if not isinstance(outcome, Conflict):
        return outcome
    found = table.read((key,))
    if isinstance(found, Failure):
        return found
    row = found[key]
    if row.version == ABSENT_VERSION:
        return outcome
    organisation = stored_organisation(row)
    if isinstance(organisation, RowMalformed):
        # Without an organisation, the job is accepted as it was before there were any.
        return organisation if submission.organisation else None
    if may_access_job(submission.organisation, organisation):
        return None
    return OtherOrganisation(submission.job_id)


def stored_organisation(row: Row) -> str | RowMalformed:
    """Return the organisation of the submission in a row, which must exist."""
    submission = decode_stored_submission(row.key, row.value)
    return submission if isinstance(submission, RowMalformed) else submission.organisation

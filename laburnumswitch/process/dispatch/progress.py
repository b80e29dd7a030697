"""Stored progress of the dispatch daemon's jobs: state, done tasks, failures and checkpoints.

The other daemon stores progress rows of another layout, see ``process.ledger.progress``.
"""

from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import JobWithdrawn
from laburnumswitch.exceptions import OtherOrganisation
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.job_checks import find_broken_step
from laburnumswitch.process.dispatch.job_spec import may_access_job
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.occurrences import MadeOccurrences
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.process.dispatch.step_state import Task
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
# Done steps of a schedule are listed up to this estimated number of bytes, a quarter of what a row
# of the platform's store holds.
MAX_LISTED_BYTES = 16_384
# Length of an encoded step, and tasks that take one more byte.
STEP_PROGRESS_BYTES = 32
TASKS_PER_BYTE = 4


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

    :ivar made: which occurrences of a long schedule are done, ``None`` for other jobs, whose done
        occurrences are listed in ``steps``.
    """

    queue: str
    state: JobState
    steps: list[StepProgress]
    made: MadeOccurrences | None = None


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
    if job.is_final():
        return final_progress(job.submission.queue, job.state)
    steps = [
        _describe_step(step_state)
        for occurrence in job.occurrences
        for step_state in occurrence.steps
        if step_state.done_count or any(map(_has_progress, step_state.known_tasks()))
    ]
    if not job.submission.occurrences:
        return Progress(job.submission.queue, job.state, steps)
    if _is_long_schedule(job.submission):
        return Progress(job.submission.queue, job.state, steps, job.occurrences.describe_made())
    done = [
        StepProgress(number, index, f"{(1 << step.count) - 1:x}", {}, {})
        for number in job.occurrences.done_numbers()
        for index, step in enumerate(job.submission.steps)
    ]
    return Progress(job.submission.queue, job.state, done + steps)


def final_progress(queue: str, state: JobState) -> Progress:
    """Return the progress of a job that has ended."""
    return Progress(queue, state, [])


def encode_progress(progress: Progress) -> Progress | tuple[Any, ...]:
    """Return the value of a row with the progress of a job.

    Earlier versions cannot read rows with the field about the occurrences. They list those that are
    done one by one, which takes more than a row for a long schedule.
    """
    return progress[:-1] if progress.made is None else progress


def _describe_step(step_state: StepState) -> StepProgress:
    _, occurrence, index = step_state.key
    tasks = list(step_state.known_tasks())
    return StepProgress(
        occurrence,
        index,
        f"{step_state.done_bits():x}",
        {task.key.index: tuple(sorted(task.failed_runs)) for task in tasks if task.failed_runs},
        {task.key.index: task.checkpoint for task in tasks if task.checkpoint and not task.is_done},
    )


def _has_progress(task: Task) -> bool:
    return bool(task.failed_runs or (task.checkpoint and not task.is_done))


def _is_long_schedule(submission: Submission) -> bool:
    """Return whether the list of all done steps could take too much of a row."""
    listed = sum(STEP_PROGRESS_BYTES + step.count // TASKS_PER_BYTE for step in submission.steps)
    return submission.occurrences * listed > MAX_LISTED_BYTES


def restore_progress(job: Job, progress: Progress) -> None:
    """Apply stored progress to a job that was just loaded.

    :raises ValueError: if the job has no such occurrences, steps or tasks.
    """
    if progress.made is not None:
        job.occurrences.restore_made(progress.made)
    for stored in progress.steps:
        step_state = job.step_state(TaskKey(job.job_id, stored.occurrence, stored.step, 0))
        if step_state is None:
            raise ValueError(f"there is no step {stored.step} of occurrence {stored.occurrence}")
        step_state.restore_done(int(stored.done, 16))
        for index in stored.failed_runs_by_index.keys() | stored.checkpoint_by_index.keys():
            if not 0 <= index < step_state.step.count:
                raise ValueError(f"there is no task {index} of step {stored.step}")
            task = step_state.task(index)
            task.failed_runs = frozenset(stored.failed_runs_by_index.get(index, ()))
            task.checkpoint = stored.checkpoint_by_index.get(index, "")
        job.has_begun = True
    if progress.made is not None and progress.made.below > len(progress.made.undone):
        job.has_begun = True
    job.state = progress.state


def decode_progress(key: str, value: Any) -> Progress | RowMalformed:
    """Decode the progress in a row."""
    try:
        return convert(value, Progress, strict=False)
    except ValidationError as error:
        return RowMalformed(key, str(error))


def decode_stored_submission(key: str, value: Any) -> Submission | RowMalformed:
    """Decode the submission in a row.

    Earlier versions accepted jobs without steps.
    """
    try:
        submission = convert(value, Submission)
    except ValidationError as error:
        return RowMalformed(key, str(error))
    defect = find_broken_step(submission)
    return submission if defect is None else RowMalformed(key, defect)


def store_submission(table: Table, submission: Submission) -> None | Failure:
    """Store a submission unless it exists, and return ``None`` once it is certainly stored.

    May be repeated after an unknown outcome: the write is conditional on the row's absence, so it
    remains one job even if an earlier write takes effect late. It is conditional on the absence of
    a cancellation too, see ``withdraw_submission``.

    :return: ``OtherOrganisation`` if the job exists and is that of another organisation,
        ``JobWithdrawn`` if it does not exist and its caller has cancelled it.
    """
    key, withdrawal_key = submission_key(submission.job_id), cancellation_key(submission.job_id)
    # Earlier versions cannot read rows with the field that names the organisation.
    value = submission if submission.organisation else submission[:-1]
    conditions = (Condition(key, ABSENT_VERSION), Condition(withdrawal_key, ABSENT_VERSION))
    outcome = table.commit(Transaction(conditions, (Put(key, value),)))
    if isinstance(outcome, Committed):
        return None
    if not isinstance(outcome, Conflict):
        return outcome
    found = table.read((key, withdrawal_key))
    if isinstance(found, Failure):
        return found
    row = found[key]
    if row.version == ABSENT_VERSION:
        is_withdrawn = found[withdrawal_key].version != ABSENT_VERSION
        return JobWithdrawn(submission.job_id) if is_withdrawn else outcome
    organisation = stored_organisation(row)
    if isinstance(organisation, RowMalformed):
        # Without an organisation, the job is accepted as it was before there were any.
        return organisation if submission.organisation else None
    if may_access_job(submission.organisation, organisation):
        return None
    return OtherOrganisation(submission.job_id)


def withdraw_submission(table: Table, job_id: str, now_s: float) -> None | Failure:
    """Store the cancellation of a job that is not stored, so that it never will be.

    A write of its submission may be on its way: of an entry whose caller has left, of one that
    repeats it, or in the store itself. It fails from now on.

    :param now_s: Unix time in seconds.
    :return: ``None`` once that is certain, ``Conflict`` if the job is stored meanwhile.
    """
    key = cancellation_key(job_id)
    conditions = (
        Condition(submission_key(job_id), ABSENT_VERSION),
        Condition(key, ABSENT_VERSION),
    )
    outcome = table.commit(Transaction(conditions, (Put(key, now_s),)))
    if isinstance(outcome, Committed):
        return None
    was_withdrawn = isinstance(outcome, Conflict) and outcome.key == key
    return None if was_withdrawn else outcome


def stored_organisation(row: Row) -> str | RowMalformed:
    """Return the organisation of the submission in a row, which must exist."""
    submission = decode_stored_submission(row.key, row.value)
    return submission if isinstance(submission, RowMalformed) else submission.organisation

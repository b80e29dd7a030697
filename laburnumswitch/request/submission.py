"""Callers' requests about jobs: submit, ask for the state, cancel, count what is pending.

An accepted job is stored before it is answered. Where it is not known whether an attempt was
stored, the answer says so (504), and never that the job will not run.
"""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.exceptions import CallerRefused
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import FINAL_STATES
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import decode_progress
from laburnumswitch.process.dispatch.progress import Progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import store_submission
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.leadership.messages import JobStateAnswer
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction

# An attempt to store or read gives up after this time, in seconds: callers may come again at
# another entry, which may reach the store.
GIVE_UP_S = 1.0
RETRY_FIRST_S = 0.04
RETRY_MAX_S = 0.3
# When callers are told to return, in seconds, after the store could not be used.
STORE_RETRY_AFTER_S = 1
CONFIGURATION_RETRY_AFTER_S = 1
ID_DIGITS = 16
HEXADECIMAL = frozenset("0123456789abcdefABCDEF")


class OwnerLink(Protocol):
    """What the request path asks of the owner, here or at another entry."""

    def tell_submitted(self, submission: Submission) -> None:
        """Tell the owner of a stored job, without waiting."""

    def tell_cancelled(self, job_id: str) -> None:
        """Tell the owner of a stored cancellation, and wait for it shortly."""

    def store_submission(self, submission: Submission) -> bool | Failure:
        """Have the owner store a job, and return ``True`` once it is."""

    def store_cancellation(self, job_id: str) -> bool | Failure:
        """Have the owner end a job that it knows, and return ``True`` once that is stored."""

    def job_state(self, job_id: str) -> JobStateAnswer | Failure:
        """Ask for the state of a job."""

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue had not begun, as of the owner's last word."""


class SubmissionContext(NamedTuple):
    """What the request path needs; bodies are decoded and encoded by the platform's adapter."""

    operations: Operations
    table: FeedTable
    owner: OwnerLink
    decode_submission: Callable[[bytes, str, str, float], Submission | CallerRefused]
    encode_state: Callable[[str], bytes]
    encode_pending: Callable[[int], bytes]
    log: DecisionLog
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    sleep: Callable[[float], None]


class JobRequest(NamedTuple):
    """One request of a caller, who waits ``patience_s`` seconds, 0 where that is not known."""

    method: str
    host: str
    path: str
    body: bytes
    patience_s: float


class JobReply(NamedTuple):
    """One answer; ``retry_after_s`` 0 leaves the header out."""

    status: int
    body: bytes = b""
    retry_after_s: int = 0


def answer_request(context: SubmissionContext, request: JobRequest) -> JobReply:
    """Answer one request of a caller."""
    configuration = context.operations.configuration
    if configuration is None:
        return JobReply(503, retry_after_s=CONFIGURATION_RETRY_AFTER_S)
    queue = context.operations.route(request.host, request.path)
    if queue is None:
        return JobReply(404)
    job_id = request.path.removeprefix(queue.path_prefix)
    if not job_id:
        if request.method != "GET":
            return JobReply(405)
        return JobReply(200, context.encode_pending(context.owner.pending(queue.name)))
    if len(job_id) != ID_DIGITS or not HEXADECIMAL.issuperset(job_id):
        return JobReply(404)
    answer_by_method = {"POST": _submit, "GET": _tell_state, "DELETE": _cancel}
    answer = answer_by_method.get(request.method)
    if answer is None:
        return JobReply(405)
    began_s = context.clock()
    patience_s = min(request.patience_s or queue.timeout_s, queue.timeout_s, GIVE_UP_S)
    reply = answer(context, request, queue, job_id, began_s + patience_s)
    if request.method != "GET" or reply.status != 200:
        context.log.note(
            "request",
            job_id,
            method=request.method,
            queue=queue.name,
            configuration=configuration.version,
            status=reply.status,
            took_s=round(context.clock() - began_s, 4),
        )
    return reply


def _submit(
    context: SubmissionContext, request: JobRequest, queue: Queue, job_id: str, give_up_s: float
) -> JobReply:
    now_s = context.wall_clock()
    submission = context.decode_submission(request.body, job_id, queue.name, now_s)
    if isinstance(submission, CallerRefused):
        return JobReply(submission.status)

    def attempt() -> JobReply | Failure:
        outcome = store_submission(context.table, submission)
        if outcome is None:
            context.owner.tell_submitted(submission)
            return JobReply(200)
        # The store may refuse this entry and serve the owner, which then takes the job in at once.
        if context.owner.store_submission(submission) is True:
            return JobReply(200)
        return outcome

    unknown = JobReply(504, retry_after_s=STORE_RETRY_AFTER_S)
    return _retry(context, attempt, give_up_s, "submit_unknown", job_id, unknown)


def _tell_state(
    context: SubmissionContext, request: JobRequest, queue: Queue, job_id: str, give_up_s: float
) -> JobReply:
    def attempt() -> JobReply | Failure:
        told = context.owner.job_state(job_id)
        if not isinstance(told, Failure) and told.state:
            return JobReply(200, context.encode_state(told.state))
        stored = _read_state(context, job_id)
        if isinstance(stored, JobState):
            return JobReply(200, context.encode_state(stored))
        return JobReply(410) if stored is None else stored

    unknown = JobReply(503, retry_after_s=STORE_RETRY_AFTER_S)
    return _retry(context, attempt, give_up_s, "state_unknown", job_id, unknown)


def _read_state(context: SubmissionContext, job_id: str) -> JobState | Failure | None:
    keys = (progress_key(job_id), submission_key(job_id), cancellation_key(job_id))
    rows = context.table.read(keys)
    if isinstance(rows, Failure):
        return rows
    stored = rows[keys[0]]
    progress = decode_progress(stored.key, stored.value) if _exists(stored) else None
    if isinstance(progress, Progress) and progress.state in FINAL_STATES:
        return progress.state
    if _exists(rows[keys[2]]):
        return JobState.CANCELLED
    if isinstance(progress, Progress):
        return progress.state
    return JobState.QUEUED if _exists(rows[keys[1]]) else None


def _cancel(
    context: SubmissionContext, request: JobRequest, queue: Queue, job_id: str, give_up_s: float
) -> JobReply:
    def attempt() -> JobReply | Failure:
        outcome = _store_cancellation(context, job_id)
        if isinstance(outcome, Failure) and context.owner.store_cancellation(job_id) is True:
            return JobReply(200)
        return outcome

    unknown = JobReply(504, retry_after_s=STORE_RETRY_AFTER_S)
    return _retry(context, attempt, give_up_s, "cancel_unknown", job_id, unknown)


def _store_cancellation(context: SubmissionContext, job_id: str) -> JobReply | Failure:
    key = submission_key(job_id)
    rows = context.table.read((key,))
    if isinstance(rows, Failure):
        return rows
    if not _exists(rows[key]):
        return JobReply(410)
    condition = Condition(key, rows[key].version)
    put = Put(cancellation_key(job_id), context.wall_clock())
    outcome = context.table.commit(Transaction((condition,), (put,)))
    if not isinstance(outcome, Committed):
        return outcome
    context.owner.tell_cancelled(job_id)
    return JobReply(200)


def _retry(
    context: SubmissionContext,
    attempt: Callable[[], JobReply | Failure],
    give_up_s: float,
    event: str,
    job_id: str,
    unknown: JobReply,
) -> JobReply:
    """Repeat an attempt until it has an answer, or until the time to give up.

    :param event: what the log says where the outcome stays unknown, which ``unknown`` answers.
    """
    pause_s = RETRY_FIRST_S
    while True:
        outcome = attempt()
        if isinstance(outcome, JobReply):
            return outcome
        if context.clock() + pause_s >= give_up_s:
            context.log.note(event, job_id, reason=outcome.describe())
            return unknown
        context.sleep(pause_s)
        pause_s = min(RETRY_MAX_S, 2 * pause_s)


def _exists(row: Row) -> bool:
    return row.version != ABSENT_VERSION and row.value is not None

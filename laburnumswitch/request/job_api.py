"""Job API of the dispatch daemon: submits, cancels and queries jobs.

A job is stored before its submission is acknowledged. If it is unknown whether the job was stored,
the answer is 504, and never one that says that the job will not run.

Handles calls for routes as soon as their addition is confirmed, while this entry reads the
configuration late: that there is no such route is said of the newest version only.
"""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from xxhash import xxh32_intdigest

from laburnumswitch.exceptions import CallerRefused
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import JobWithdrawn
from laburnumswitch.exceptions import KeyNotAccepted
from laburnumswitch.exceptions import OtherOrganisation
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.commitment import committed_cpu_millis
from laburnumswitch.process.dispatch.job_memory import is_large
from laburnumswitch.process.dispatch.job_memory import NO_MEMORY
from laburnumswitch.process.dispatch.job_memory import submission_bytes
from laburnumswitch.process.dispatch.job_spec import may_access_job
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import FINAL_STATES
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.organisation_admission import needs_judgement
from laburnumswitch.process.dispatch.organisation_jobs import demand_of
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import decode_progress
from laburnumswitch.process.dispatch.progress import Progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import store_submission
from laburnumswitch.process.dispatch.progress import stored_organisation
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.dispatch.progress import withdraw_submission
from laburnumswitch.process.leadership.messages import AdmissionAnswer
from laburnumswitch.process.leadership.messages import AdmissionRequest
from laburnumswitch.process.leadership.messages import JobStateAnswer
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.reach import Reach
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.request.authentication import authenticate
from laburnumswitch.request.authentication import Revocation
from laburnumswitch.request.refusal_log import DecidedBy
from laburnumswitch.request.refusal_log import RefusalLog

# Reads and writes are retried for at most this time, in seconds: the caller may then retry through
# another entry, which may reach the store.
MAX_RETRY_TIME_S = 1.0
# A submission that was received longer ago than this, in seconds, is not stored any more, as after
# a suspension of this VM: its caller may have cancelled it.
MAX_SUBMISSION_AGE_S = 30.0
FIRST_RETRY_PAUSE_S = 0.04
MAX_RETRY_PAUSE_S = 0.3
# Value of ``Retry-After``, in seconds, if the store is unavailable.
STORE_RETRY_AFTER_S = 1
CONFIGURATION_RETRY_AFTER_S = 1
# The same if no owner has told the number of pending jobs.
OWNER_RETRY_AFTER_S = 1
# Longest value of ``Retry-After``, in seconds, if the configuration is not confirmed. The values
# are spread from 1 up, so that the callers of an entry do not return at the same moment.
MAX_KEY_RETRY_AFTER_S = 3
# How long a call waits for the confirmation of a configuration that the store is about to give, in
# seconds, as after a suspension of this process.
CONFIRMATION_WAIT_S = 0.3
CONFIRMATION_CHECK_S = 0.02
JOB_METHODS = ("POST", "GET", "DELETE")
QUEUE_METHODS = ("GET",)
STATUS_OK = 200
FORBIDDEN = 403
GONE = 410
ID_DIGITS = 16
HEXADECIMAL = frozenset("0123456789abcdefABCDEF")
# How much of the host and the path of a refused call is logged, in characters.
MAX_LOGGED_CHARACTERS = 80


class OwnerLink(Protocol):
    """Interface of the request path to the owner, which may be this entry or another one."""

    def admit(self, request: AdmissionRequest) -> AdmissionAnswer | Failure:
        """Return whether the owner admits a job."""

    def is_busy(self, organisation: str) -> bool:
        """Return whether the owner has to be asked about the jobs of an organisation."""

    def is_memory_full(self) -> bool:
        """Return whether the owner has little memory left for jobs."""

    def notify_submitted(self, submission: Submission) -> None:
        """Notify the owner of a stored job, without waiting."""

    def notify_cancelled(self, job_id: str) -> None:
        """Notify the owner of a stored cancellation, waiting briefly for its answer."""

    def store_submission(self, submission: Submission) -> bool | Failure:
        """Ask the owner to store a job; return ``True`` if it did."""

    def store_cancellation(self, job_id: str, organisation: str) -> bool | Failure:
        """Ask the owner to cancel a job that it knows; return ``True`` once that is stored."""

    def job_state(self, job_id: str) -> JobStateAnswer | Failure:
        """Return the state of a job as the owner knows it."""

    def pending(self, queue: str) -> int | Failure:
        """Return the number of jobs of a queue that had not started at the owner's last report."""

    def reaches_other_owner(self) -> bool:
        """Return whether another entry is the owner and has answered lately."""


class JobApiContext(NamedTuple):
    """Dependencies of the job API; the platform adapter supplies the body codecs.

    :ivar table: fails at once while the store is away, as ``store_reach`` tells.
    :ivar boot_clock: like ``clock``, but includes the time for which the VM was suspended.
    :ivar max_unconfirmed_s: how long a configuration may be taken for the newest one.
    """

    operations: Operations
    table: Table
    owner: OwnerLink
    decode_submission: Callable[[bytes, str, str, float], Submission | CallerRefused]
    encode_state: Callable[[str], bytes]
    encode_pending: Callable[[int], bytes]
    log: DecisionLog
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    sleep: Callable[[float], None]
    store_reach: Reach
    boot_clock: Callable[[], float]
    revocation: Callable[[], Revocation]
    refusal_log: RefusalLog
    max_unconfirmed_s: Callable[[], float]


class JobRequest(NamedTuple):
    """A caller's request; ``timeout_s`` is how long the caller waits, 0 if unknown.

    :ivar authorization: the header ``Authorization``, empty without one.
    """

    method: str
    host: str
    path: str
    body: bytes
    timeout_s: float
    authorization: str = ""


class _Call(NamedTuple):
    """A routed and authenticated request.

    :ivar job_id: empty in a request for the queue itself.
    :ivar organisation: that of the caller, empty if the queue requires no key.
    :ivar needs_organisation: whether the configuration has organisations, so that those of jobs
        have to be known.
    :ivar configuration: version of the configuration.
    """

    request: JobRequest
    queue: Queue
    job_id: str
    organisation: str
    needs_organisation: bool
    configuration: int


class JobReply(NamedTuple):
    """An answer; ``retry_after_s`` 0 omits the ``Retry-After`` header."""

    status: int
    body: bytes = b""
    retry_after_s: int = 0


def is_isolated(context: JobApiContext) -> bool:
    """Return whether this entry can neither store a job nor have the owner store it.

    Another entry probably can. While the store is away for all entries, they still reach the owner.
    """
    return context.store_reach.is_away() and not context.owner.reaches_other_owner()


def refuse_early(context: JobApiContext, request: JobRequest) -> JobReply | None:
    """Return the refusal of a request whose body need not be read, ``None`` if it may be served."""
    call = _authenticate_call(context, request)
    return call if isinstance(call, JobReply) else _refuse_call(context, call)


def answer_request(context: JobApiContext, request: JobRequest) -> JobReply:
    """Route a caller's request to its operation and return the reply.

    The key is checked again, as it may have been revoked while the body was read.
    """
    call = _authenticate_call(context, request)
    if isinstance(call, JobReply):
        return call
    refusal = _refuse_call(context, call)
    if refusal is not None:
        return refusal
    queue, job_id = call.queue, call.job_id
    if not job_id:
        return _get_pending(context, call)
    answer = {"POST": _submit, "GET": _get_state, "DELETE": _cancel}[request.method]
    started_s = context.clock()
    timeout_s = min(request.timeout_s or queue.timeout_s, queue.timeout_s, MAX_RETRY_TIME_S)
    reply = answer(context, call, started_s + timeout_s)
    if request.method != "GET" or reply.status != 200:
        context.log.note(
            "request",
            job_id,
            method=request.method,
            queue=queue.name,
            configuration=call.configuration,
            **({"organisation": call.organisation} if call.organisation else {}),
            status=reply.status,
            **_age_of_refusal(context, reply.status),
            took_s=round(context.clock() - started_s, 4),
        )
    return reply


def _refuse_call(context: JobApiContext, call: _Call) -> JobReply | None:
    """Return the refusal of a call for which there is no operation."""
    method, job_id = call.request.method, call.job_id
    if job_id and (len(job_id) != ID_DIGITS or not HEXADECIMAL.issuperset(job_id)):
        return _refuse(context, call.request, 404, "malformed job id")
    if method not in (JOB_METHODS if job_id else QUEUE_METHODS):
        return _refuse(context, call.request, 405, "no such method")
    return None


def _authenticate_call(context: JobApiContext, request: JobRequest) -> _Call | JobReply:
    operations = context.operations
    if operations.configuration is None:
        retry_after_s = CONFIGURATION_RETRY_AFTER_S
        return _refuse(context, request, 503, "no configuration", retry_after_s)
    is_confirmed = _await_confirmation(context)
    configuration = operations.configuration
    queue = operations.route(request.host, request.path)
    # During an outage of the store, what is known of a route goes on to serve its callers.
    if not is_confirmed and (queue is None or not operations.read_fails):
        retry_after_s = CONFIGURATION_RETRY_AFTER_S
        return _refuse(context, request, 503, "configuration not confirmed", retry_after_s)
    if queue is None:
        return _refuse(context, request, 404, "no such route")
    job_id = request.path.removeprefix(queue.path_prefix)
    decided_by = _decided_by(context)
    outcome = authenticate(
        configuration,
        queue,
        request.authorization,
        decided_by.confirmed_age_s,
        context.revocation(),
    )
    if not isinstance(outcome, KeyNotAccepted):
        needs_organisation = bool(configuration.organisations_by_name)
        return _Call(request, queue, job_id, outcome, needs_organisation, configuration.version)
    context.refusal_log.note(
        "key_refused",
        job_id[:ID_DIGITS],
        outcome.status,
        outcome.reason,
        decided_by,
        queue=queue.name,
        digest=outcome.digest,
    )
    if outcome.status == 503:
        spread = xxh32_intdigest(request.path.encode()) % MAX_KEY_RETRY_AFTER_S
        return JobReply(503, retry_after_s=1 + spread)
    return JobReply(outcome.status)


def _await_confirmation(context: JobApiContext) -> bool:
    """Return whether the configuration may be taken for the newest one, now or in a moment."""
    end_s = context.clock() + CONFIRMATION_WAIT_S
    while _decided_by(context).confirmed_age_s > context.max_unconfirmed_s():
        if context.operations.read_fails or context.clock() >= end_s:
            return False
        context.sleep(CONFIRMATION_CHECK_S)
    return True


def _refuse(
    context: JobApiContext, request: JobRequest, status: int, reason: str, retry_after_s: int = 0
) -> JobReply:
    """Return the reply to a call that is not run, and log it."""
    context.refusal_log.note(
        "call_refused",
        request.path[:MAX_LOGGED_CHARACTERS],
        status,
        reason,
        _decided_by(context),
        method=request.method,
        host=request.host[:MAX_LOGGED_CHARACTERS],
    )
    return JobReply(status, retry_after_s=retry_after_s)


def _decided_by(context: JobApiContext) -> DecidedBy:
    operations = context.operations
    return DecidedBy(operations.version(), operations.confirmed_age_s(context.boot_clock()))


def _age_of_refusal(context: JobApiContext, status: int) -> dict[str, float]:
    if status == STATUS_OK:
        return {}
    return {"confirmed_s_ago": round(_decided_by(context).confirmed_age_s, 3)}


def _get_pending(context: JobApiContext, call: _Call) -> JobReply:
    pending = context.owner.pending(call.queue.name)
    if isinstance(pending, Failure):
        # A number that may be too low would tell callers that their jobs have begun. Another entry
        # may know it, so the caller does not wait here.
        return _refuse(context, call.request, 503, "pending jobs unknown", OWNER_RETRY_AFTER_S)
    return JobReply(200, context.encode_pending(pending))


def _submit(context: JobApiContext, call: _Call, deadline_s: float) -> JobReply:
    now_s = context.wall_clock()
    job_id = call.job_id
    decoded = context.decode_submission(call.request.body, job_id, call.queue.name, now_s)
    if isinstance(decoded, CallerRefused):
        return JobReply(decoded.status)
    submission = decoded._replace(organisation=call.organisation)
    rejection = _reject(context, call.queue, submission)
    if rejection is not None:
        return rejection

    unknown_reply = JobReply(504, retry_after_s=STORE_RETRY_AFTER_S)
    began_s = context.boot_clock()

    def attempt() -> JobReply | Failure:
        if context.boot_clock() - began_s > MAX_SUBMISSION_AGE_S:
            context.log.note("submission_outdated", job_id)
            return unknown_reply
        failure = store_submission(context.table, submission)
        if failure is None:
            context.owner.notify_submitted(submission)
            return JobReply(200)
        # The store may refuse this entry and still serve the owner, which then queues the job.
        return (
            _final_reply(failure)
            or _reply_of_owner(context.owner.store_submission(submission))
            or failure
        )

    return _retry(context, attempt, deadline_s, "submit_unknown", job_id, unknown_reply)


def _reject(context: JobApiContext, queue: Queue, submission: Submission) -> JobReply | None:
    """Return the answer to a job that has no room, ``None`` if it may run.

    Without an answer of the owner the job is accepted, unless it may take more memory than the
    owner has. An earlier attempt may have stored it: then it runs, and is not rejected.
    """
    request = _admission_request(context, queue, submission)
    if request is None:
        return None
    answer = context.owner.admit(request)
    if isinstance(answer, Failure):
        context.log.note("admission_unknown", submission.job_id, reason=answer.describe())
        if not request.job_bytes:
            return None
        answer = AdmissionAnswer(OWNER_RETRY_AFTER_S, NO_MEMORY)
    # An owner of the previous version knows no quotas, and judges every job as one that lasts.
    if not answer.retry_after_s or not (answer.reason or request.cpu_millis):
        return None
    key = submission_key(submission.job_id)
    rows = context.table.read((key,))
    if isinstance(rows, Failure):
        context.log.note("admission_unknown", submission.job_id, reason=rows.describe())
        return None
    if _exists(rows[key]):
        return None
    is_over_quota = answer.reason not in ("", NO_MEMORY)
    return JobReply(429 if is_over_quota else 503, retry_after_s=answer.retry_after_s)


def _admission_request(
    context: JobApiContext, queue: Queue, submission: Submission
) -> AdmissionRequest | None:
    """Return what to ask the owner about a job, ``None`` if it is certainly admitted.

    Asked about are jobs that last, jobs of busy organisations, those that alone may be too large
    for the limit of their organisation, and those for which the owner may have no memory.
    """
    cpu_millis = committed_cpu_millis(submission.steps)
    job_bytes = submission_bytes(submission)
    if not (is_large(job_bytes) or context.owner.is_memory_full()):
        job_bytes = 0
    lasting = AdmissionRequest(submission.job_id, submission.queue, cpu_millis, job_bytes=job_bytes)
    organisation = context.operations.organisations_by_name.get(submission.organisation)
    if organisation is None:
        return lasting if cpu_millis or job_bytes else None
    demand = demand_of(submission.steps)
    is_judged = context.owner.is_busy(organisation.name) or needs_judgement(
        demand, queue, organisation.limit
    )
    if not is_judged or not any(organisation.limit):
        return lasting if cpu_millis or job_bytes else None
    return lasting._replace(organisation=organisation.name, **demand._asdict())


def _reply_of_owner(outcome: bool | Failure) -> JobReply | None:
    """Return the reply if the owner stored what was asked, or refused it for good."""
    return JobReply(200) if outcome is True else _final_reply(outcome)


def _final_reply(outcome: bool | Failure) -> JobReply | None:
    """Return the reply to a call that was refused for good, ``None`` if it was not."""
    if isinstance(outcome, OtherOrganisation):
        return JobReply(FORBIDDEN)
    return JobReply(GONE) if isinstance(outcome, JobWithdrawn) else None


def _get_state(context: JobApiContext, call: _Call, deadline_s: float) -> JobReply:
    def attempt() -> JobReply | Failure:
        answer = context.owner.job_state(call.job_id)
        if not isinstance(answer, Failure) and answer.state:
            organisation = answer.organisation
            if organisation is None:
                organisation = _read_organisation(context, call)
            return _reply_with_state(context, call, organisation, answer.state)
        return _read_state(context, call)

    unknown_reply = JobReply(503, retry_after_s=STORE_RETRY_AFTER_S)
    return _retry(context, attempt, deadline_s, "state_unknown", call.job_id, unknown_reply)


def _reply_with_state(
    context: JobApiContext, call: _Call, organisation: str | Failure | None, state: str
) -> JobReply | Failure:
    """Return the state to a caller that may know it.

    :param organisation: that of the job, ``None`` if its submission is not stored any more.
    """
    if isinstance(organisation, Failure):
        return organisation
    if organisation is None:
        return JobReply(GONE)
    if not may_access_job(call.organisation, organisation):
        return JobReply(FORBIDDEN)
    return JobReply(200, context.encode_state(state))


def _read_organisation(context: JobApiContext, call: _Call) -> str | Failure | None:
    if not call.needs_organisation:
        return ""
    key = submission_key(call.job_id)
    rows = context.table.read((key,))
    return rows if isinstance(rows, Failure) else _organisation_in(rows[key], call)


def _organisation_in(row: Row, call: _Call) -> str | RowMalformed | None:
    """Return the organisation of a submission's row, ``None`` if a needed one does not exist."""
    organisation = stored_organisation(row) if _exists(row) else None
    if call.needs_organisation or isinstance(organisation, str):
        return organisation
    return ""


def _read_state(context: JobApiContext, call: _Call) -> JobReply | Failure:
    job_id = call.job_id
    keys = (progress_key(job_id), submission_key(job_id), cancellation_key(job_id))
    rows = context.table.read(keys)
    if isinstance(rows, Failure):
        return rows
    state = _stored_state(rows, *keys)
    if state is None:
        return JobReply(GONE)
    return _reply_with_state(context, call, _organisation_in(rows[keys[1]], call), state)


def _stored_state(
    rows: dict[str, Row], progress_key: str, submission_key: str, cancellation_key: str
) -> JobState | None:
    stored = rows[progress_key]
    progress = decode_progress(stored.key, stored.value) if _exists(stored) else None
    if isinstance(progress, Progress) and progress.state in FINAL_STATES:
        return progress.state
    is_stored = _exists(rows[submission_key])
    # Without a submission, the cancellation is that of a job that never was stored.
    if is_stored and _exists(rows[cancellation_key]):
        return JobState.CANCELLED
    if isinstance(progress, Progress):
        return progress.state
    return JobState.QUEUED if is_stored else None


def _cancel(context: JobApiContext, call: _Call, deadline_s: float) -> JobReply:
    def attempt() -> JobReply | Failure:
        outcome = _store_cancellation(context, call)
        if not isinstance(outcome, Failure):
            return outcome
        answer = context.owner.store_cancellation(call.job_id, call.organisation)
        return _reply_of_owner(answer) or outcome

    unknown_reply = JobReply(504, retry_after_s=STORE_RETRY_AFTER_S)
    return _retry(context, attempt, deadline_s, "cancel_unknown", call.job_id, unknown_reply)


def _store_cancellation(context: JobApiContext, call: _Call) -> JobReply | Failure:
    job_id = call.job_id
    key = submission_key(job_id)
    rows = context.table.read((key,))
    if isinstance(rows, Failure):
        return rows
    if not _exists(rows[key]):
        # That there is no such job has to stay true, whatever write of it is on its way.
        failure = withdraw_submission(context.table, job_id, context.wall_clock())
        return JobReply(GONE) if failure is None else failure
    organisation = _organisation_in(rows[key], call)
    if isinstance(organisation, Failure):
        return organisation
    if not may_access_job(call.organisation, organisation):
        return JobReply(FORBIDDEN)
    condition = Condition(key, rows[key].version)
    put = Put(cancellation_key(job_id), context.wall_clock())
    outcome = context.table.commit(Transaction((condition,), (put,)))
    if not isinstance(outcome, Committed):
        return outcome
    context.owner.notify_cancelled(job_id)
    return JobReply(200)


def _retry(
    context: JobApiContext,
    attempt: Callable[[], JobReply | Failure],
    deadline_s: float,
    event: str,
    job_id: str,
    unknown_reply: JobReply,
) -> JobReply:
    """Retry ``attempt`` until it returns a reply or the deadline passes.

    An isolated entry gives up at once, so that the caller can try another one in time.

    :param event: name of the event logged if the outcome stays unknown.
    :param unknown_reply: reply in that case.
    """
    pause_s = FIRST_RETRY_PAUSE_S
    while True:
        outcome = attempt()
        if isinstance(outcome, JobReply):
            return outcome
        gives_up = is_isolated(context)
        if gives_up or context.clock() + pause_s >= deadline_s:
            context.log.note(event, job_id, reason=outcome.describe(), isolated=gives_up)
            return unknown_reply
        context.sleep(pause_s)
        pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)


def _exists(row: Row) -> bool:
    return row.version != ABSENT_VERSION and row.value is not None

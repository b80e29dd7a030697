"""HTTP calls with JSON between entries of the dispatch daemon: the client and the handlers."""

from collections.abc import Callable
from urllib.parse import urlencode

from gevent import wait
from msgspec import DecodeError
from msgspec import ValidationError

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import ACCEPT_GZIP
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.connection.json_call import GZIP
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import JobWithdrawn
from laburnumswitch.exceptions import OtherOrganisation
from laburnumswitch.exceptions import Refused
from laburnumswitch.process.dispatch.admission import admit
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.job_memory import NO_MEMORY
from laburnumswitch.process.dispatch.job_memory import submission_bytes
from laburnumswitch.process.dispatch.job_size import find_excess
from laburnumswitch.process.dispatch.job_spec import may_access_job
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import JobSource
from laburnumswitch.process.dispatch.progress import store_submission
from laburnumswitch.process.leadership.compressed_configuration import CompressedConfigurations
from laburnumswitch.process.leadership.configuration_relay import confirmed_age_s
from laburnumswitch.process.leadership.configuration_relay import decode_state
from laburnumswitch.process.leadership.configuration_relay import describe_configuration
from laburnumswitch.process.leadership.configuration_relay import encode_state
from laburnumswitch.process.leadership.configuration_relay import note_watcher_state
from laburnumswitch.process.leadership.configuration_relay import receive_configuration
from laburnumswitch.process.leadership.leadership import EntryIdentity
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.leadership.messages import AdmissionAnswer
from laburnumswitch.process.leadership.messages import AdmissionRequest
from laburnumswitch.process.leadership.messages import ConfigurationState
from laburnumswitch.process.leadership.messages import JobStateAnswer
from laburnumswitch.process.leadership.messages import RelayedConfiguration
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.operating.admin import AdminReply
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.admin import reject
from laburnumswitch.process.operating.admin import reply_json
from laburnumswitch.process.operating.operations import Operations

# Timeout of a call in seconds. Entries normally answer each other within a few milliseconds.
CALL_TIMEOUT_S = 0.4
# Timeout, in seconds, of calls for which the owner calls the store.
STORE_TIMEOUT_S = 0.7
# Time in seconds that a configuration may take to arrive once it has begun to, and for sending one.
CONFIGURATION_TRANSFER_S = 5.0
CONFIGURATION_SEND_TIMEOUT_S = 2.0
# How long the owner waits for its own commit before it answers such a call, in seconds.
COMMIT_WAIT_S = 0.6
# Upper bound of the wait that a watch request may ask for, in seconds.
MAX_WATCH_WAIT_S = 2.0
SUPERSEDE_TIMEOUT_S = 0.5
# A watch request of an entry with an older configuration is held no longer than this, in seconds.
# The entry fetches the newer one meanwhile.
OUTDATED_WATCH_WAIT_S = 0.2
STATUS_FORBIDDEN = 403
# Statuses of the refusals of the owner that are final.
STATUS_BY_REFUSAL: dict[type[OtherOrganisation | JobWithdrawn], int] = {
    OtherOrganisation: STATUS_FORBIDDEN,
    JobWithdrawn: 410,
}


Handler = Callable[[AdminRequest], AdminReply]


class PeerClient:
    """Client for calls to other entries, by address."""

    def __init__(self) -> None:
        self._client_by_address: dict[str, Client] = {}

    def watch(
        self,
        address: str,
        identity: EntryIdentity,
        wait_s: float,
        timeout_s: float,
        state: ConfigurationState,
    ) -> WatchAnswer | Failure:
        """Return the owner's state once it changes, or after ``wait_s``."""
        fields = {"vm": identity.vm_id, "cores": identity.cpu_cores, "wait": wait_s}
        fields |= {"address": identity.address, **encode_state(state)}
        target = f"/peer/watch?{urlencode(fields)}"
        return call_json(self._client(address), "GET", target, None, WatchAnswer, timeout_s)

    def notify_submitted(self, address: str, submission: Submission) -> bool | Failure:
        """Notify the owner of a job that was just stored."""
        client = self._client(address)
        return call_json(client, "POST", "/peer/submitted", submission, bool, CALL_TIMEOUT_S)

    def notify_cancelled(self, address: str, job_id: str) -> bool | Failure:
        """Notify the owner of a cancellation that was just stored."""
        target = f"/peer/cancelled/{job_id}"
        return call_json(self._client(address), "POST", target, None, bool, CALL_TIMEOUT_S)

    def admit(self, address: str, request: AdmissionRequest) -> AdmissionAnswer | Failure:
        """Ask the owner whether it admits a job."""
        client = self._client(address)
        return call_json(client, "POST", "/peer/admit", request, AdmissionAnswer, CALL_TIMEOUT_S)

    def store_submission(self, address: str, submission: Submission) -> bool | Failure:
        """Have the owner store a job, and return whether it did."""
        client = self._client(address)
        # An owner of an earlier version, which would store it without its organisation, does not
        # know this call.
        target = "/peer/store-owned" if submission.organisation else "/peer/store"
        answer = call_json(client, "POST", target, submission, bool, STORE_TIMEOUT_S)
        return _to_refusal(answer, submission.job_id)

    def store_cancellation(
        self, address: str, job_id: str, organisation: str = ""
    ) -> bool | Failure:
        """Have the owner cancel a job for an organisation, and return whether that is stored."""
        target = f"/peer/cancel/{job_id}"
        if organisation:
            # An owner of an earlier version would not compare it with that of the job.
            target = f"/peer/cancel-owned/{job_id}?{urlencode({'organisation': organisation})}"
        answer = call_json(self._client(address), "POST", target, None, bool, STORE_TIMEOUT_S)
        return _to_refusal(answer, job_id)

    def fetch_configuration(self, address: str) -> RelayedConfiguration | Failure:
        """Return the configuration that another entry has in force."""
        return call_json(
            self._client(address),
            "GET",
            "/peer/configuration",
            None,
            RelayedConfiguration,
            CALL_TIMEOUT_S,
            CONFIGURATION_TRANSFER_S,
            ACCEPT_GZIP,
        )

    def send_configuration(self, address: str, relayed: RelayedConfiguration) -> bool | Failure:
        """Send a configuration to another entry, and return whether it is as new then."""
        return call_json(
            self._client(address),
            "POST",
            "/peer/configuration",
            relayed,
            bool,
            CONFIGURATION_SEND_TIMEOUT_S,
        )

    def job_state(self, address: str, job_id: str) -> JobStateAnswer | Failure:
        """Ask the owner for the state of a job."""
        target = f"/peer/state/{job_id}"
        return call_json(self._client(address), "GET", target, None, JobStateAnswer, CALL_TIMEOUT_S)

    def supersede(self, address: str, term: Term) -> bool | Failure:
        """Announce a later term to an earlier owner.

        The earlier owner answers once it sends no more commands to workers.
        """
        target = f"/peer/supersede/{term.epoch}"
        return call_json(self._client(address), "POST", target, term, bool, SUPERSEDE_TIMEOUT_S)

    def _client(self, address: str) -> Client:
        client = self._client_by_address.get(address)
        if client is None:
            client = self._client_by_address[address] = Client(address)
        return client


def make_leadership_peer_handler(
    get_leadership: Callable[[], Leadership],
    incarnation: str,
    operations: Operations,
    boot_clock: Callable[[], float],
) -> Handler:
    """Return the handler of the calls that ``PeerClient`` makes from other entries.

    The calls ``submitted`` and ``cancelled`` notify the owner of a stored job or cancellation. With
    ``store`` and ``cancel``, an entry that cannot reach the store has the owner store it.
    """
    compressed = CompressedConfigurations()

    def watch(request: AdminRequest) -> AdminReply:
        leadership = get_leadership()
        dispatcher = leadership.dispatcher
        if dispatcher is not None and not dispatcher.is_stopped():
            query = request.query
            leadership.note_watcher(query["vm"], float(query["cores"]), query.get("address", ""))
            state = decode_state(request.query)
            if state is not None:
                note_watcher_state(operations, state, incarnation, boot_clock())
            wait_s = min(MAX_WATCH_WAIT_S, float(request.query["wait"]))
            _hold_watch(dispatcher, operations, state, wait_s)
        now_s = boot_clock()
        return reply_json(
            _describe_owner(leadership, incarnation)._replace(
                configuration=operations.version(),
                confirmed_age_s=confirmed_age_s(operations, now_s),
                sent_s=now_s,
                known_term=leadership.current_term,
                ended_epoch=leadership.ended_epoch(),
            )
        )

    def relay_configuration(request: AdminRequest) -> AdminReply:
        if request.method == "POST":
            return reply_json(
                receive_configuration(operations, request.decode(RelayedConfiguration))
            )
        relayed = describe_configuration(operations, boot_clock())
        if relayed is None:
            return reject(503, "NoConfiguration")
        if GZIP in request.headers.get("accept-encoding", ""):
            return AdminReply(200, compressed.encode(relayed), content_encoding=GZIP)
        return reply_json(relayed)

    def supersede(request: AdminRequest) -> AdminReply:
        leadership = get_leadership()
        leadership.supersede(int(request.path_parts[1]))
        term = _decode_term(request)
        if term is not None:
            # Without the store, this is how an earlier owner learns whom to watch.
            leadership.note_term(term)
        return reply_json(True)

    def add_stored_job(dispatcher: Dispatcher, request: AdminRequest) -> AdminReply:
        submission = request.decode(Submission)
        excess = find_excess(submission.steps)
        if excess is not None:
            return reject(400, excess)
        dispatcher.add_job(submission)
        return reply_json(True)

    def apply_stored_cancellation(dispatcher: Dispatcher, request: AdminRequest) -> AdminReply:
        dispatcher.cancel_job(request.path_parts[1])
        return reply_json(True)

    def admit_job(dispatcher: Dispatcher, request: AdminRequest) -> AdminReply:
        return reply_json(admit(dispatcher, request.decode(AdmissionRequest)))

    def store_job(dispatcher: Dispatcher, request: AdminRequest) -> AdminReply:
        submission = request.decode(Submission)
        excess = find_excess(submission.steps)
        if excess is not None:
            return reject(400, excess)
        is_known = dispatcher.knows_job(submission.job_id)
        if not is_known and not dispatcher.job_memory.admits(submission_bytes(submission)):
            return reject(503, NO_MEMORY)
        outcome = store_submission(dispatcher.context.table, submission)
        if outcome is not None:
            return reject(STATUS_BY_REFUSAL.get(type(outcome), 503), outcome.tag)
        dispatcher.add_job(submission, JobSource.STORED)
        return reply_json(True)

    def store_cancellation(request: AdminRequest) -> AdminReply:
        dispatcher = loaded_dispatcher(get_leadership())
        job_id = request.path_parts[1]
        job = dispatcher and dispatcher.jobs_by_id.get(job_id)
        if not job:
            return reject(503, "JobUnknown")
        organisation = request.query.get("organisation", "")
        if not may_access_job(organisation, job.submission.organisation):
            return reject(STATUS_FORBIDDEN, OtherOrganisation.__name__)
        dispatcher.cancel_job(job_id)
        is_stored = dispatcher.recorder.wait_for(dispatcher.recorder.queue_job(job), COMMIT_WAIT_S)
        return reply_json(is_stored)

    def state(dispatcher: Dispatcher, request: AdminRequest) -> AdminReply:
        return reply_json(describe_job(dispatcher, request.path_parts[1]))

    def require_owner(handle: Callable[[Dispatcher, AdminRequest], AdminReply]) -> Handler:
        def handle_as_owner(request: AdminRequest) -> AdminReply:
            dispatcher = loaded_dispatcher(get_leadership())
            return reject(503, "NotOwner") if dispatcher is None else handle(dispatcher, request)

        return handle_as_owner

    handler_by_call = {
        "watch": watch,
        "supersede": supersede,
        "admit": require_owner(admit_job),
        "submitted": require_owner(add_stored_job),
        "store": require_owner(store_job),
        "store-owned": require_owner(store_job),
        "cancel": store_cancellation,
        "cancel-owned": store_cancellation,
        "configuration": relay_configuration,
        "cancelled": require_owner(apply_stored_cancellation),
        "state": require_owner(state),
    }

    def handle(request: AdminRequest) -> AdminReply:
        handler = handler_by_call.get(request.path_parts[0] if request.path_parts else "")
        return handler(request) if handler else reject(404, "NotFound")

    return handle


def describe_job(dispatcher: Dispatcher, job_id: str) -> JobStateAnswer:
    """Return the state of a job as its owner knows it."""
    state = dispatcher.reported_state(job_id)
    job = dispatcher.jobs_by_id.get(job_id)
    organisation = job.submission.organisation if job else None
    return JobStateAnswer(state or "", dispatcher.is_loaded.is_set(), organisation)


def loaded_dispatcher(leadership: Leadership) -> Dispatcher | None:
    """Return the dispatcher of this entry if it is the owner and has read all stored jobs."""
    dispatcher = leadership.dispatcher
    if dispatcher is None or dispatcher.is_stopped() or not dispatcher.is_loaded.is_set():
        return None
    return dispatcher


def _to_refusal(answer: bool | Failure, job_id: str) -> bool | Failure:
    """Return why the owner refused a call for a job for good, any other answer as it is."""
    if isinstance(answer, Refused):
        for refusal, status in STATUS_BY_REFUSAL.items():
            if answer.status == status:
                return refusal(job_id)
    return answer


def _decode_term(request: AdminRequest) -> Term | None:
    """Return the term in a request, ``None`` from an earlier version or if it cannot be read."""
    try:
        return request.decode(Term) if request.body else None
    except (DecodeError, ValidationError):
        return None


def _hold_watch(
    dispatcher: Dispatcher,
    operations: Operations,
    state: ConfigurationState | None,
    wait_s: float,
) -> None:
    """Wait until the owner steps down, knows the stored jobs, or has news for watchers.

    News are a newer configuration and an organisation that becomes busy.
    """
    changes = [dispatcher.stopped, dispatcher.organisation_admissions.busy_grew]
    if not dispatcher.is_loaded.is_set():
        changes.append(dispatcher.is_loaded)
    if state is not None:
        changes.append(operations.adopted)
        if state.version < operations.version():
            wait_s = min(wait_s, OUTDATED_WATCH_WAIT_S)
    wait(changes, wait_s, count=1)


def _describe_owner(leadership: Leadership, incarnation: str) -> WatchAnswer:
    dispatcher = leadership.dispatcher
    if dispatcher is None or dispatcher.is_stopped():
        return WatchAnswer(0, incarnation, False, (), {}, 0.0)
    return WatchAnswer(
        dispatcher.epoch,
        incarnation,
        True,
        leadership.candidates(),
        dispatcher.pending_by_queue(),
        dispatcher.recorder.since_last_commit_s(),
        dispatcher.is_loaded.is_set(),
        busy_organisations=dispatcher.organisation_admissions.busy,
        peer_addresses=leadership.peer_addresses(),
        is_memory_full=dispatcher.job_memory.is_full(),
    )

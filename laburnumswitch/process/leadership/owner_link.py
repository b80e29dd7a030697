"""Access of the request path to the owner, in this process or at another entry."""

from gevent import spawn

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.admission import admit
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import JobSource
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.leadership.messages import AdmissionAnswer
from laburnumswitch.process.leadership.messages import AdmissionRequest
from laburnumswitch.process.leadership.messages import JobStateAnswer
from laburnumswitch.process.leadership.peer_api import describe_job
from laburnumswitch.process.leadership.peer_api import loaded_dispatcher
from laburnumswitch.process.leadership.peer_api import PeerClient
from laburnumswitch.process.leadership.term import NO_OWNER

NO_OWNER_REACHED = Unavailable("no other owner is known, or it does not answer")


class OwnerAccess:
    """Client of the owner for the request path.

    Calls the dispatcher in this process if this entry is the owner, otherwise the owner's entry. A
    notification may be lost: the owner reads the same change from the store's feed later.
    """

    def __init__(self, leadership: Leadership, peers: PeerClient, vm_id: str) -> None:
        self._leadership = leadership
        self._peers = peers
        self._vm_id = vm_id

    def admit(self, request: AdmissionRequest) -> AdmissionAnswer | Failure:
        """Return whether the owner admits a job."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            loaded = loaded_dispatcher(self._leadership)
            return admit(loaded, request) if loaded else Unavailable("the owner is still loading")
        if not self.reaches_other_owner():
            return NO_OWNER_REACHED
        return self._peers.admit(self._leadership.current_term.address, request)

    def is_busy(self, organisation: str) -> bool:
        """Return whether the owner has to be asked about the jobs of an organisation."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            return organisation in dispatcher.organisation_admissions.busy
        return self._leadership.is_busy(organisation)

    def is_memory_full(self) -> bool:
        """Return whether the owner has little memory left for jobs."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            return dispatcher.job_memory.is_full()
        return self._leadership.is_memory_full()

    def notify_submitted(self, submission: Submission) -> None:
        """Notify the owner of a stored job, without waiting."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            if dispatcher.is_loaded.is_set():
                dispatcher.add_job(submission, JobSource.STORED)
        elif self.reaches_other_owner():
            spawn(self._peers.notify_submitted, self._leadership.current_term.address, submission)

    def notify_cancelled(self, job_id: str) -> None:
        """Notify the owner of a stored cancellation, and wait briefly for its answer."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            if dispatcher.is_loaded.is_set():
                dispatcher.cancel_job(job_id)
        elif self.reaches_other_owner():
            self._peers.notify_cancelled(self._leadership.current_term.address, job_id)

    def store_submission(self, submission: Submission) -> bool | Failure:
        """Have the owner store a job, and return ``True`` once it is stored.

        This is for an entry that cannot reach the store. It returns ``False`` if no other owner is
        reached: an entry that is the owner would only repeat the failed write.
        """
        if not self.reaches_other_owner():
            return False
        return self._peers.store_submission(self._leadership.current_term.address, submission)

    def store_cancellation(self, job_id: str, organisation: str) -> bool | Failure:
        """Have the owner cancel a job that it knows, and return ``True`` once that is stored.

        Like ``store_submission``, this is for an entry that cannot reach the store.

        :param organisation: that of the caller, empty for none.
        :return: ``False`` also if no other owner is reached; a failure if the owner does not know
            the job, ``OtherOrganisation`` if it belongs to another one.
        """
        if not self.reaches_other_owner():
            return False
        address = self._leadership.current_term.address
        return self._peers.store_cancellation(address, job_id, organisation)

    def job_state(self, job_id: str) -> JobStateAnswer | Failure:
        """Return the state of a job as the owner knows it."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            return describe_job(dispatcher, job_id)
        if not self.reaches_other_owner():
            return NO_OWNER_REACHED
        return self._peers.job_state(self._leadership.current_term.address, job_id)

    def pending(self, queue: str) -> int | Failure:
        """Return the number of a queue's jobs that had not started, as an owner last reported.

        An owner that is still loading gives the number that its predecessor reported.

        :return: a failure if no number is known, which is not to be taken for none.
        """
        dispatcher = loaded_dispatcher(self._leadership)
        if dispatcher is not None:
            return dispatcher.pending_by_queue().get(queue, 0)
        if not self._leadership.knows_pending():
            return Unavailable("no owner has reported its pending jobs recently")
        return self._leadership.pending_by_queue.get(queue, 0)

    def reaches_other_owner(self) -> bool:
        """Return whether another entry is the owner and has answered lately."""
        leadership = self._leadership
        if leadership.dispatcher is not None:
            return False
        has_other_owner = leadership.current_term.owner not in (NO_OWNER, self._vm_id)
        return has_other_owner and not leadership.owner_reach.is_away()

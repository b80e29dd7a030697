"""Reaches the owner of the dispatching for the request path, here or at another entry."""

from gevent import spawn

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.leadership.messages import JobStateAnswer
from laburnumswitch.process.leadership.peers import describe_job
from laburnumswitch.process.leadership.peers import PeerCalls
from laburnumswitch.process.leadership.term import NO_OWNER


class LeadershipOwnerLink:
    """The owner as the request path sees it. What is told is a hint: the owner's feeds find it."""

    def __init__(self, leadership: Leadership, calls: PeerCalls, vm_id: str) -> None:
        self._leadership = leadership
        self._calls = calls
        self._vm_id = vm_id

    def tell_submitted(self, submission: Submission) -> None:
        """Tell the owner of a stored job, without waiting."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            if dispatcher.is_loaded.is_set():
                dispatcher.add_job(submission)
        elif self._has_other_owner():
            spawn(self._calls.tell_submitted, self._leadership.owner.address, submission)

    def tell_cancelled(self, job_id: str) -> None:
        """Tell the owner of a stored cancellation, and wait for it shortly."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            if dispatcher.is_loaded.is_set():
                dispatcher.cancel_job(job_id)
        elif self._has_other_owner():
            self._calls.tell_cancelled(self._leadership.owner.address, job_id)

    def store_submission(self, submission: Submission) -> bool | Failure:
        """Have the owner store a job, and return ``True`` once it is.

        On the owner itself that would repeat what has just failed.
        """
        if not self._has_other_owner() or self._leadership.dispatcher is not None:
            return False
        return self._calls.store_submission(self._leadership.owner.address, submission)

    def store_cancellation(self, job_id: str) -> bool | Failure:
        """Have the owner end a job that it knows, and return ``True`` once that is stored."""
        if not self._has_other_owner() or self._leadership.dispatcher is not None:
            return False
        return self._calls.store_cancellation(self._leadership.owner.address, job_id)

    def job_state(self, job_id: str) -> JobStateAnswer | Failure:
        """Ask for the state of a job."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            return describe_job(dispatcher, job_id)
        if not self._has_other_owner():
            return Unavailable("no owner is known")
        return self._calls.job_state(self._leadership.owner.address, job_id)

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue had not begun, as of the owner's last word."""
        dispatcher = self._leadership.dispatcher
        if dispatcher is not None:
            return dispatcher.pending_by_queue().get(queue, 0)
        return self._leadership.pending_by_queue.get(queue, 0)

    def _has_other_owner(self) -> bool:
        return self._leadership.owner.owner not in (NO_OWNER, self._vm_id)

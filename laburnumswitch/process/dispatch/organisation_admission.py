"""Rejects jobs that cannot run in time within the quota of their organisation.

This handles an organisation that sends many times its usual rate for some seconds: its limit bounds
what it may have running, so what it sends beyond that waits until it is worth nothing. Such a job
is rejected before it is stored, with the time after which there is room for it. A gang that the
limit can never hold is rejected as well.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from enum import StrEnum
from math import ceil
from typing import NamedTuple

from gevent.event import Event
from xxhash import xxh32_intdigest

from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.ordering import LATE_FACTOR
from laburnumswitch.process.dispatch.organisation_jobs import add_task_seconds
from laburnumswitch.process.dispatch.organisation_jobs import ending_steps
from laburnumswitch.process.dispatch.organisation_jobs import JobDemand
from laburnumswitch.process.dispatch.organisation_jobs import lasting_size
from laburnumswitch.process.dispatch.organisation_jobs import REMAINING_SHARE
from laburnumswitch.process.dispatch.organisation_jobs import ResourceSeconds
from laburnumswitch.process.dispatch.quota import exceeds_for_good
from laburnumswitch.size import Size

# An organisation is busy if its jobs wait for this part of the longest wait with which they could
# still be in time. At its usual rate it stays below; at several times that rate the rest lasts
# about as long as the owner's answers to watching entries take.
BUSY_SHARE = 0.5
# Entries ask about the jobs of a busy organisation for at least this long, in seconds, so that they
# are not told of each change.
BUSY_HOLD_S = 2.0
# Bounds of ``Retry-After``, in seconds. Beyond the upper one, values are spread over a half more.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
RETRY_SPREAD_S = 15


class Cause(StrEnum):
    """Why a job of an organisation is rejected.

    ``BACKLOG``: the organisation's other jobs take too long. ``GANG``: its members can never run
    together within the limit.
    """

    BACKLOG = "backlog"
    GANG = "gang"


class WaitingWork(NamedTuple):
    """Work that waits, and how urgent its queues are."""

    priority: int
    work: ResourceSeconds


class Backlog(NamedTuple):
    """Work that an organisation has accepted and not finished.

    :ivar running: what remains of its running tasks.
    :ivar waiting: work of jobs that can still be in time.
    :ivar lasting: resources of its long-running jobs.
    """

    running: ResourceSeconds
    waiting: tuple[WaitingWork, ...]
    lasting: Size

    def ahead_of(self, priority: int) -> ResourceSeconds:
        """Return the work that goes before a new job of a queue, whose priority is given."""
        total = self.running
        for each in self.waiting:
            if each.priority <= priority:
                total = total.plus(each.work)
        return total


class Judgement(NamedTuple):
    """Whether a job can run in time, and the times that this follows from, in seconds.

    :ivar cause: ``None`` if it can.
    :ivar ahead_s: until the work before it is done, if the organisation uses all of its limit.
    :ivar own_s: how long the job takes after that.
    :ivar work_s: how long its work alone takes if it uses all of the limit.
    :ivar allowed_s: from the submission until the job is worth nothing.
    """

    cause: Cause | None
    ahead_s: float
    own_s: float
    work_s: float
    allowed_s: float


class AdmittedJob(NamedTuple):
    """A job that was admitted and is not known to be stored; ``until_s`` is monotonic."""

    organisation: str
    work: WaitingWork
    until_s: float


class OrganisationAdmissions:
    """Admitted and rejected jobs of organisations, and the organisations that are busy.

    :ivar admitted_by_id: jobs that are not known to be stored.
    :ivar rejected_by_cause: number of rejected jobs by organisation and cause.
    :ivar busy: organisations whose jobs entries ask about.
    :ivar busy_grew: set, and replaced, when an organisation becomes busy.
    """

    def __init__(self) -> None:
        self.admitted_by_id: dict[str, AdmittedJob] = {}
        self.rejected_by_cause: Counter[tuple[str, Cause]] = Counter()
        self.busy: tuple[str, ...] = ()
        self.busy_grew = Event()
        self._busy_until_s: dict[str, float] = {}
        self._room_s_by_organisation: dict[str, float] = {}

    def forget_admitted(self, knows_job: Callable[[str], bool], now_s: float) -> None:
        """Forget admitted jobs that are known to be stored, or were not stored in time."""
        for job_id, admitted in list(self.admitted_by_id.items()):
            if knows_job(job_id) or now_s > admitted.until_s:
                del self.admitted_by_id[job_id]

    def admitted_work(self, organisation: str) -> tuple[WaitingWork, ...]:
        """Return the work of an organisation's admitted jobs that are not known to be stored."""
        admitted = self.admitted_by_id.values()
        return tuple(each.work for each in admitted if each.organisation == organisation)

    def update_busy(self, names: Iterable[str], now_s: float) -> None:
        """Note which organisations are close to being rejected jobs."""
        for name in names:
            self._busy_until_s[name] = now_s + BUSY_HOLD_S
        self._busy_until_s = {
            name: until_s for name, until_s in self._busy_until_s.items() if until_s > now_s
        }
        grew = not self._busy_until_s.keys() <= set(self.busy)
        self.busy = tuple(sorted(self._busy_until_s))
        if grew:
            self.busy_grew.set()
            self.busy_grew = Event()

    def note_rejected(
        self, organisation: str, job_id: str, judgement: Judgement, now_s: float
    ) -> int:
        """Count a rejected job, and return after how many seconds its caller may return.

        Each rejected job is promised the room after those that were rejected before it, so their
        callers do not return at the same time.
        """
        self.rejected_by_cause[organisation, judgement.cause] += 1
        if judgement.cause is not Cause.BACKLOG:
            return _spread(job_id)
        # An estimate may be infinite.
        excess_s = judgement.ahead_s + judgement.own_s - judgement.allowed_s
        excess_s = min(MAX_RETRY_AFTER_S, excess_s)
        room_s = max(now_s + excess_s, self._room_s_by_organisation.get(organisation, 0.0))
        wait_s = max(MIN_RETRY_AFTER_S, ceil(room_s - now_s))
        if wait_s >= MAX_RETRY_AFTER_S:
            return _spread(job_id)
        self._room_s_by_organisation[organisation] = room_s + judgement.work_s
        return wait_s


def _spread(job_id: str) -> int:
    return MAX_RETRY_AFTER_S + xxh32_intdigest(job_id.encode()) % RETRY_SPREAD_S


def judge(
    demand: JobDemand, queue: Queue, backlog: Backlog, limit: Size, overage: float
) -> Judgement:
    """Decide whether a job can still run in time within the limit of its organisation.

    Of a job with long-running steps only, no time is expected, but its gangs have to fit.

    :param overage: share of the limit by which it may be exceeded for a time.
    """
    available = available_size(limit, backlog.lasting)
    ahead_s = drain_s(backlog.ahead_of(queue.priority), available)
    work_s = drain_s(demand.work, available)
    # A job that is wider than its organisation may run is expected to run in waves.
    own_s = max(demand.critical_path_s, work_s)
    allowed_s = LATE_FACTOR * (queue.stretch * own_s + queue.objective_s)
    cause = None
    if exceeds_for_good(demand.widest_gang, limit, overage):
        cause = Cause.GANG
    elif work_s and ahead_s and ahead_s + own_s > allowed_s:
        cause = Cause.BACKLOG
    return Judgement(cause, ahead_s, own_s, work_s, allowed_s)


def needs_judgement(demand: JobDemand, queue: Queue, limit: Size) -> bool:
    """Return whether a job may have to be rejected even if nothing else of its organisation runs.

    Entries ask the owner about such a job, as it may know a newer limit.
    """
    judgement = judge(demand, queue, Backlog(ResourceSeconds(), (), Size(0, 0)), limit, 0.0)
    return judgement.cause is not None


def available_size(limit: Size, lasting: Size) -> Size:
    """Return what long-running jobs leave of a limit; 0 stands for no limit."""
    parts = zip(limit, lasting, strict=True)
    return Size(*(whole and max(1, whole - used) for whole, used in parts))


def drain_s(work: ResourceSeconds, available: Size) -> float:
    """Return how long some work takes if all that is available is used for it."""
    parts = zip(work, available, strict=True)
    return max((amount / whole for amount, whole in parts if whole), default=0.0)


def measure_backlog(
    jobs: list[Job],
    find_queue: Callable[[str], Queue | None],
    admitted: tuple[WaitingWork, ...],
    now_s: float,
) -> Backlog:
    """Return the backlog of one organisation.

    Work that is worth nothing any more goes after new jobs, and is left out unless it runs.

    :param find_queue: returns a queue by name; jobs of unknown ones are left out.
    :param admitted: work of admitted jobs that are not known to be stored.
    :param now_s: Unix time in seconds.
    """
    running = [0.0, 0.0, 0.0]
    waiting_by_priority: dict[int, list[float]] = {}
    for each in admitted:
        total = waiting_by_priority.setdefault(each.priority, [0.0, 0.0, 0.0])
        total[:] = each.work.plus(ResourceSeconds(*total))
    for job in jobs:
        queue = find_queue(job.submission.queue)
        waiting = None
        if queue is not None and _can_be_in_time(job, queue, now_s):
            waiting = waiting_by_priority.setdefault(queue.priority, [0.0, 0.0, 0.0])
        for step_state in ending_steps(job):
            if step_state.active_count:
                add_task_seconds(
                    running, step_state.step, REMAINING_SHARE * step_state.active_count
                )
            if waiting is not None and step_state.has_waiting():
                add_task_seconds(waiting, step_state.step, step_state.waiting_count())
    return Backlog(
        ResourceSeconds(*running),
        tuple(
            WaitingWork(priority, ResourceSeconds(*total))
            for priority, total in waiting_by_priority.items()
        ),
        lasting_size(jobs),
    )


def _can_be_in_time(job: Job, queue: Queue, now_s: float) -> bool:
    if job.submission.occurrences:
        # Later occurrences wait for their time, not for room.
        return False
    objective_s = queue.stretch * job.critical_path_s + queue.objective_s
    return now_s - job.submission.submitted_s <= LATE_FACTOR * objective_s


def is_busy(
    limit: Size, jobs: list[Job], find_queue: Callable[[str], Queue | None], backlog: Backlog
) -> bool:
    """Return whether new jobs like those of an organisation may soon have to be rejected."""
    available = available_size(limit, backlog.lasting)
    wait_s_by_priority: dict[int, float] = {}
    for job in jobs:
        queue = find_queue(job.submission.queue)
        if queue is None or not any(True for _ in ending_steps(job)):
            continue
        ahead_s = wait_s_by_priority.get(queue.priority)
        if ahead_s is None:
            ahead_s = drain_s(backlog.ahead_of(queue.priority), available)
            wait_s_by_priority[queue.priority] = ahead_s
        critical_path_s = job.critical_path_s
        objective_s = queue.stretch * critical_path_s + queue.objective_s
        if ahead_s > BUSY_SHARE * (LATE_FACTOR * objective_s - critical_path_s):
            return True
    return False

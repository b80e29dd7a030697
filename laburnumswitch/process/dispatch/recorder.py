"""Commits the owner's state changes in batches that are conditional on its term.

Each batch replaces the row of the term. So a batch whose answer was lost cannot take effect after a
later one, and a superseded owner cannot commit at all.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from gevent.event import Event
from gevent.lock import RLock

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.fleet import MIN_CLOCK_RATE
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.progress import describe_progress
from laburnumswitch.process.dispatch.progress import encode_progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import read_term
from laburnumswitch.process.leadership.term import TAKEOVER_WAIT_S
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.leadership.term import VersionedTerm
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction

# Changes that arrive within this time, in seconds, share a commit. The delay adds half of the
# store's latency to a commit.
BATCH_WINDOW_S = 0.008
# Longest interval between commits, in seconds; without changes the owner commits only its term, to
# show that it is alive.
MAX_COMMIT_INTERVAL_S = 0.5
# Lease of the owner: it acts until this time, in seconds, after it sent its last successful commit.
OWNER_LEASE_S = 8.0
# The VM counts as suspended if the difference between the boot clock and the monotonic clock grows
# by more than this, in seconds; less is drift.
SUSPENSION_TOLERANCE_S = 0.3
# First pause between two attempts of a commit, in seconds; each later one is twice as long as the
# one before.
RETRY_FIRST_S = 0.05
# Longest pause between two attempts of a commit, in seconds.
RETRY_MAX_S = 0.5
# Longest time, in seconds, for which an owner that leaves repeats its last commits: it is killed
# some seconds after it was told to stop.
RELEASE_LIMIT_S = 1.5
# Maximum number of conditions, writes and removals in one transaction of the platform's store.
MAX_ENTRIES = 100
# Entries of every commit: the condition on the term, and the term.
TERM_ENTRIES = 2
# Maximum number of jobs in one commit; the rest is for other rows of the owner and for removals.
JOBS_PER_BATCH = 30


class RecorderContext(NamedTuple):
    """Dependencies of the recorder.

    :ivar clock: monotonic clock, stands still while the VM is suspended.
    :ivar boot_clock: includes the time for which the VM was suspended.
    """

    table: FeedTable
    log: DecisionLog
    clock: Callable[[], float]
    boot_clock: Callable[[], float]
    sleep: Callable[[float], None]


class Recorder:
    """Queues changes of the owner's state and commits them during one term.

    :ivar held_term: the owner's term and the version of its row.
    :ivar next_batch: number of the batch that will contain what is queued now.
    :ivar committed: number of the last batch that took effect.
    :ivar batches: how many batches took effect, for the metrics.
    :ivar unconfirmed: stored with the term, see ``Term``.
    :ivar is_lost: whether the term was lost or released.
    :ivar last_commit_boot_s: when the last successful commit was sent, on the boot clock.
    """

    def __init__(
        self, context: RecorderContext, held_term: VersionedTerm, last_commit_boot_s: float
    ) -> None:
        self.held_term = held_term
        self.committed = 0
        self.is_lost = False
        self.unconfirmed = held_term.term.unconfirmed
        self.last_commit_boot_s = last_commit_boot_s
        self._last_commit_monotonic_s = context.clock()
        self._awaits_commit = False
        # When an owner that leaves gives up its last commits, on the boot clock.
        self._release_limit_boot_s = float("inf")
        self.batches = 0
        self._context = context
        self.next_batch = 1
        self._jobs_by_id: dict[str, Job] = {}
        self._value_by_key: dict[str, Any] = {}
        self._removals: list[str] = []
        self._lock = RLock()
        self._suspended_at_last_commit_s = self._total_suspended_s()
        self._has_work = Event()
        self._batch_done = Event()

    def queue_job(self, job: Job) -> int:
        """Queue the progress of a job and return the number of the batch that will contain it."""
        job.is_stored = False
        self._jobs_by_id[job.job_id] = job
        self._has_work.set()
        queued_before = len(self._jobs_by_id) - 1
        return self.next_batch + queued_before // JOBS_PER_BATCH

    def queue_row(self, key: str, value: Any) -> int:
        """Queue a row and return the number of the batch that will contain it."""
        self._value_by_key[key] = value
        if key in self._removals:
            self._removals.remove(key)
        self._has_work.set()
        return self.next_batch

    def count_queued_rows(self, prefix: str) -> int:
        """Return how many rows under a prefix wait for the next commit."""
        return sum(key.startswith(prefix) for key in self._value_by_key)

    def queue_removals(self, keys: tuple[str, ...]) -> None:
        """Queue the removal of rows."""
        for key in keys:
            self._value_by_key.pop(key, None)
        self._removals.extend(keys)
        self._has_work.set()

    def is_certainly_owner(self) -> bool:
        """Return whether no other entry can be the owner now.

        After a suspension of the VM this requires a new commit.
        """
        was_suspended = (
            self._total_suspended_s() - self._suspended_at_last_commit_s > SUSPENSION_TOLERANCE_S
        )
        return (
            not (self.is_lost or self._awaits_commit or was_suspended)
            and self.since_last_commit_s() < OWNER_LEASE_S
        )

    def may_have_successor(self) -> bool:
        """Return whether another entry may have taken over since the last commit was sent."""
        return self.since_last_commit_s() >= TAKEOVER_WAIT_S * MIN_CLOCK_RATE

    def last_owned_s(self) -> float:
        """Return until when the term was certainly held, on the monotonic clock.

        A successor may have acted since the last commit was sent.
        """
        return self._last_commit_monotonic_s

    def commit_after(self, instant_s: float, timeout_s: float) -> None:
        """Commit at once unless a commit was sent after an instant of the monotonic clock.

        :param timeout_s: longest wait for it.
        """
        if self._last_commit_monotonic_s <= instant_s:
            batch = self.next_batch
            self._has_work.set()
            self.wait_for(batch, timeout_s)

    def require_commit(self) -> None:
        """Treat the term as possibly lost until the next successful commit."""
        self._awaits_commit = True
        self._has_work.set()

    def since_last_commit_s(self) -> float:
        """Return the time since the last successful commit was sent."""
        return self._context.boot_clock() - self.last_commit_boot_s

    def _total_suspended_s(self) -> float:
        return self._context.boot_clock() - self._context.clock()

    def wait_for(self, batch: int, timeout_s: float) -> bool:
        """Wait for a batch to take effect and return whether it has."""
        deadline_s = self._context.boot_clock() + timeout_s
        while self.committed < batch and not self.is_lost:
            left_s = deadline_s - self._context.boot_clock()
            if left_s <= 0:
                return False
            self._batch_done.clear()
            self._batch_done.wait(left_s)
        return self.committed >= batch

    def run(self, is_stopped: Callable[[], bool]) -> None:
        """Commit batches until the term is lost or ``is_stopped``."""
        while not self.is_lost and not is_stopped():
            if self._has_work.wait(MAX_COMMIT_INTERVAL_S):
                self._context.sleep(BATCH_WINDOW_S)
            if not is_stopped():
                self.commit()

    def commit(self, owner: str | None = None) -> bool:
        """Commit one batch and return whether the term is still held.

        :param owner: new owner to store in the term, ``None`` to leave it unchanged.
        """
        with self._lock:
            return not self.is_lost and self._commit_next(owner)

    def _commit_next(self, owner: str | None) -> bool:
        jobs, values, removals = self._take_batch()
        number = self.next_batch
        self.next_batch += 1
        term = self.held_term.term._replace(
            batch=f"{self.held_term.term.incarnation}-{number}", unconfirmed=self.unconfirmed
        )
        if owner is not None:
            term = term._replace(owner=owner)
        transaction = self._build_transaction(term, jobs, values, removals)
        version = self._commit_until_known(transaction, term)
        if version is None:
            self.is_lost = True
            self._context.log.note("ownership_lost", term.owner, epoch=term.epoch, batch=number)
        else:
            self.held_term = VersionedTerm(term, version)
            self.committed = number
            self.batches += 1
            for job in jobs:
                if job.job_id not in self._jobs_by_id:
                    job.is_stored = True
        self._batch_done.set()
        return not self.is_lost

    def release(self, handover: tuple[Put, ...] = ()) -> None:
        """Commit all queued changes and leave the term without an owner.

        Gives up after ``RELEASE_LIMIT_S`` without the store. The successor then learns what was not
        stored from the workers, which repeat the ends that were not acknowledged.

        :param handover: rows to store with the end of the term.
        """
        self._release_limit_boot_s = self._context.boot_clock() + RELEASE_LIMIT_S
        # A transaction has no room for large rows of workers beside the handover.
        while self._has_queued() and self.commit():
            continue
        for put in handover:
            self.queue_row(put.key, put.value)
        if not self.is_lost:
            self.commit(NO_OWNER)
        self.is_lost = True

    def _has_queued(self) -> bool:
        return bool(self._jobs_by_id or self._value_by_key or self._removals)

    def _take_batch(self) -> tuple[list[Job], dict[str, Any], tuple[str, ...]]:
        ids = list(self._jobs_by_id)[:JOBS_PER_BATCH]
        jobs = [self._jobs_by_id.pop(job_id) for job_id in ids]
        values, self._value_by_key = self._value_by_key, {}
        room = max(0, MAX_ENTRIES - TERM_ENTRIES - len(jobs) - len(values))
        removals, self._removals = tuple(self._removals[:room]), self._removals[room:]
        if not (self._jobs_by_id or self._removals):
            self._has_work.clear()
        return jobs, values, removals

    def _build_transaction(
        self, term: Term, jobs: list[Job], values: dict[str, Any], removals: tuple[str, ...]
    ) -> Transaction:
        puts = [Put(TERM_KEY, term)]
        for job in jobs:
            puts.append(Put(progress_key(job.job_id), encode_progress(describe_progress(job))))
        puts.extend(Put(key, value) for key, value in values.items())
        condition = Condition(TERM_KEY, self.held_term.version)
        return Transaction((condition,), tuple(puts), removals)

    def _commit_until_known(self, transaction: Transaction, term: Term) -> int | None:
        context = self._context
        pause_s = RETRY_FIRST_S
        failures = 0
        first_sent_boot_s = context.boot_clock()
        first_suspended_s = self._total_suspended_s()
        while True:
            sent_boot_s = context.boot_clock()
            sent_monotonic_s = context.clock()
            total_suspended_s = self._total_suspended_s()
            outcome = context.table.commit(transaction)
            if not isinstance(outcome, Committed):
                failures += 1
                if failures == 1:
                    context.log.note("commit_failed", term.batch, reason=outcome.describe())
                outcome = self._look_up(term)
                # Any attempt may have taken effect, and a successor have read it since.
                sent_boot_s, total_suspended_s = first_sent_boot_s, first_suspended_s
            if isinstance(outcome, Committed):
                self.last_commit_boot_s = sent_boot_s
                self._suspended_at_last_commit_s = total_suspended_s
                self._last_commit_monotonic_s = sent_monotonic_s
                self._awaits_commit = False
                if failures:
                    # The lease may have little time left.
                    self._has_work.set()
                    context.log.note("commit_settled", term.batch, attempts=failures + 1)
                return outcome.version
            if outcome is None:
                return None
            if context.boot_clock() > self._release_limit_boot_s:
                context.log.note("release_failed", term.batch, attempts=failures)
                return None
            context.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, 2 * pause_s)

    def _look_up(self, term: Term) -> Committed | Failure | None:
        """Read the term to find out whether a batch took effect.

        :return: ``Committed`` if it did, ``None`` if the term is lost, else a failure to retry.
        """
        found = read_term(self._context.table)
        if isinstance(found, Failure):
            return found
        if found.term.batch == term.batch and found.term.epoch == term.epoch:
            return Committed(found.version)
        if found.version != self.held_term.version:
            return None
        return Conflict(TERM_KEY, self.held_term.version, found.version)

"""Commits what the owner learns, in batches that are conditional on its term.

Each batch replaces the row of the term, so a batch whose answer was lost cannot take effect after a
later one, and an owner that was superseded cannot commit at all.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from gevent.event import Event
from gevent.lock import RLock

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.progress import describe_progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import read_term
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.leadership.term import VersionedTerm
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction

# Ends that arrive within this time, in seconds, share a commit: half of the store's answer time.
GATHER_S = 0.008
# The owner proves that it lives at least so often, in seconds.
TOUCH_S = 0.5
# An owner acts for so long, in seconds, after it sent its last successful commit.
OWNERSHIP_S = 8.0
# The two clocks may drift apart by so much, in seconds, without a suspension.
SUSPENSION_TOLERANCE_S = 0.3
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.5
# A transaction takes 100 entries: the term, jobs, and other rows of the owner.
JOBS_PER_BATCH = 60


class RecorderContext(NamedTuple):
    """What commits need; ``boot_clock`` counts suspended time."""

    table: FeedTable
    log: DecisionLog
    clock: Callable[[], float]
    boot_clock: Callable[[], float]
    sleep: Callable[[float], None]


class Recorder:
    """What waits to be committed, and what was.

    :ivar committed: number of the last batch that took effect.
    """

    def __init__(self, context: RecorderContext, held: VersionedTerm, proved_s: float) -> None:
        self.held = held
        self.committed = 0
        self.is_lost = False
        self.proved_s = proved_s
        self._proved_steady_s = context.clock()
        self._is_doubted = False
        self.batches = 0
        self._context = context
        self._next_batch = 1
        self._jobs_by_id: dict[str, Job] = {}
        self._value_by_key: dict[str, Any] = {}
        self._removals: list[str] = []
        self._lock = RLock()
        self._suspended_s = self._suspension_s()
        self._has_work = Event()
        self._settled = Event()

    def note_job(self, job: Job) -> int:
        """Have the progress of a job stored, and return the number of the batch that holds it."""
        job.is_stored = False
        self._jobs_by_id[job.job_id] = job
        self._has_work.set()
        waiting = len(self._jobs_by_id) - 1
        return self._next_batch + waiting // JOBS_PER_BATCH

    def note_value(self, key: str, value: Any) -> int:
        """Have a row stored, and return the number of the batch that holds it."""
        self._value_by_key[key] = value
        self._has_work.set()
        return self._next_batch

    def note_removals(self, keys: tuple[str, ...]) -> None:
        """Have rows removed."""
        self._removals.extend(keys)
        self._has_work.set()

    def is_certain(self) -> bool:
        """Return whether nobody else can act as the owner now.

        After a suspension of the VM that takes a new commit.
        """
        was_suspended = self._suspension_s() - self._suspended_s > SUSPENSION_TOLERANCE_S
        return (
            not (self.is_lost or self._is_doubted or was_suspended)
            and self.silent_s() < OWNERSHIP_S
        )

    def was_owner_at(self, instant_s: float) -> bool:
        """Return whether nobody else can have been the owner before an instant of the clock."""
        return self._proved_steady_s > instant_s

    def doubt(self) -> None:
        """Act no more until a commit has shown that there is no other owner."""
        self._is_doubted = True
        self._has_work.set()

    def silent_s(self) -> float:
        """Return the time in seconds since the last successful commit was sent."""
        return self._context.boot_clock() - self.proved_s

    def _suspension_s(self) -> float:
        return self._context.boot_clock() - self._context.clock()

    def wait_for(self, batch: int, timeout_s: float) -> bool:
        """Wait until a batch has taken effect, and return whether it has."""
        deadline_s = self._context.boot_clock() + timeout_s
        while self.committed < batch and not self.is_lost:
            left_s = deadline_s - self._context.boot_clock()
            if left_s <= 0:
                return False
            self._settled.clear()
            self._settled.wait(left_s)
        return self.committed >= batch

    def run(self, is_stopped: Callable[[], bool]) -> None:
        """Commit batches until the term is lost or released."""
        while not self.is_lost and not is_stopped():
            if self._has_work.wait(TOUCH_S):
                self._context.sleep(GATHER_S)
            if not is_stopped():
                self.commit()

    def commit(self, owner: str | None = None) -> bool:
        """Commit one batch and return whether the term is still held.

        :param owner: the owner from now on, where that changes.
        """
        with self._lock:
            return not self.is_lost and self._commit_next(owner)

    def _commit_next(self, owner: str | None) -> bool:
        jobs, values, removals = self._take()
        number = self._next_batch
        self._next_batch += 1
        term = self.held.term._replace(batch=f"{self.held.term.incarnation}-{number}")
        if owner is not None:
            term = term._replace(owner=owner)
        transaction = self._build(term, jobs, values, removals)
        version = self._commit_until_settled(transaction, term)
        if version is None:
            self.is_lost = True
            self._context.log.note("ownership_lost", term.owner, epoch=term.epoch, batch=number)
        else:
            self.held = VersionedTerm(term, version)
            self.committed = number
            self.batches += 1
            for job in jobs:
                if job.job_id not in self._jobs_by_id:
                    job.is_stored = True
        self._settled.set()
        return not self.is_lost

    def release(self) -> None:
        """Store what waits, and leave the term without an owner."""
        while self._jobs_by_id and self.commit():
            continue
        if not self.is_lost:
            self.commit(NO_OWNER)
        self.is_lost = True

    def _take(self) -> tuple[list[Job], dict[str, Any], tuple[str, ...]]:
        ids = list(self._jobs_by_id)[:JOBS_PER_BATCH]
        jobs = [self._jobs_by_id.pop(job_id) for job_id in ids]
        values, self._value_by_key = self._value_by_key, {}
        removals, self._removals = tuple(self._removals), []
        if not self._jobs_by_id:
            self._has_work.clear()
        return jobs, values, removals

    def _build(
        self, term: Term, jobs: list[Job], values: dict[str, Any], removals: tuple[str, ...]
    ) -> Transaction:
        puts = [Put(TERM_KEY, term)]
        for job in jobs:
            puts.append(Put(progress_key(job.job_id), describe_progress(job)))
        puts.extend(Put(key, value) for key, value in values.items())
        condition = Condition(TERM_KEY, self.held.version)
        return Transaction((condition,), tuple(puts), removals)

    def _commit_until_settled(self, transaction: Transaction, term: Term) -> int | None:
        context = self._context
        pause_s = RETRY_FIRST_S
        failures = 0
        while True:
            sent_s = context.boot_clock()
            steady_s = context.clock()
            suspended_s = self._suspension_s()
            outcome = context.table.commit(transaction)
            if not isinstance(outcome, Committed):
                failures += 1
                if failures == 1:
                    context.log.note("commit_failed", term.batch, reason=outcome.describe())
                outcome = self._look_up(term)
            if isinstance(outcome, Committed):
                self.proved_s = sent_s
                self._suspended_s = suspended_s
                self._proved_steady_s = steady_s
                self._is_doubted = False
                if failures:
                    context.log.note("commit_settled", term.batch, attempts=failures + 1)
                return outcome.version
            if outcome is None:
                return None
            context.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, 2 * pause_s)

    def _look_up(self, term: Term) -> Committed | Failure | None:
        """Return ``Committed`` where the batch took effect, and ``None`` where the term is lost."""
        found = read_term(self._context.table)
        if isinstance(found, Failure):
            return found
        if found.term.batch == term.batch and found.term.epoch == term.epoch:
            return Committed(found.version)
        if found.version != self.held.version:
            return None
        return Conflict(TERM_KEY, self.held.version, found.version)

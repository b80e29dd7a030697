"""Keeps work off workers that fail everything, without blaming them for jobs that fail anywhere."""

from typing import NamedTuple

from msgspec import field
from msgspec import Struct

FAILURES_TO_BLAME = 3
JOBS_TO_BLAME = 2
FIRST_BACKOFF_S = 30.0
MAX_BACKOFF_S = 1800.0
GOOD_WORKERS_TO_CLEAR = 2


class Quarantined(NamedTuple):
    """A worker that gets no work until ``until_s``."""

    until_s: float
    backoff_s: float


class _Record(Struct):
    # Failures since the worker last finished a task, by job.
    failures_by_job: dict[str, int] = field(default_factory=dict)
    finished: int = 0
    quarantined: Quarantined | None = None


class Quarantine:
    """Recent failures by worker and job, in the memory of the shard's owner."""

    def __init__(
        self, first_backoff_s: float = FIRST_BACKOFF_S, max_backoff_s: float = MAX_BACKOFF_S
    ) -> None:
        self._first_backoff_s = first_backoff_s
        self._max_backoff_s = max_backoff_s
        self._by_worker: dict[str, _Record] = {}
        self._failed_on_by_job: dict[str, set[str]] = {}
        self._finished_on_by_job: dict[str, set[str]] = {}

    def note_finished(self, worker_id: str, job: str) -> None:
        """Clear the worker's record: it can run tasks."""
        record = self._by_worker.setdefault(worker_id, _Record())
        record.failures_by_job.clear()
        record.finished += 1
        record.quarantined = None
        self._finished_on_by_job.setdefault(job, set()).add(worker_id)

    def note_failed(self, worker_id: str, job: str, now_s: float) -> bool:
        """Count a failure, and return whether it is blamed on the worker."""
        self._failed_on_by_job.setdefault(job, set()).add(worker_id)
        record = self._by_worker.setdefault(worker_id, _Record())
        if self._is_to_blame(job, worker_id):
            return record.quarantined is not None
        record.failures_by_job[job] = record.failures_by_job.get(job, 0) + 1
        if not self._fails_everything(worker_id, record):
            return False
        earlier = record.quarantined
        if earlier is None or now_s >= earlier.until_s:
            backoff_s = self._next_backoff_s(earlier)
            record.quarantined = Quarantined(now_s + backoff_s, backoff_s)
        return True

    def is_quarantined(self, worker_id: str, now_s: float) -> bool:
        """Return whether the worker gets no work now."""
        record = self._by_worker.get(worker_id)
        return bool(record and record.quarantined and now_s < record.quarantined.until_s)

    def is_on_probation(self, worker_id: str) -> bool:
        """Return whether the worker was quarantined and has finished nothing since.

        It gets one task at a time.
        """
        record = self._by_worker.get(worker_id)
        return bool(record and record.quarantined)

    def next_expiry_s(self, now_s: float) -> float:
        """Return when the next quarantine ends."""
        ends = [
            record.quarantined.until_s
            for record in self._by_worker.values()
            if record.quarantined and record.quarantined.until_s > now_s
        ]
        return min(ends, default=float("inf"))

    def forget_job(self, job: str) -> None:
        """Drop what is known of a job that is over."""
        self._failed_on_by_job.pop(job, None)
        self._finished_on_by_job.pop(job, None)

    def _next_backoff_s(self, earlier: Quarantined | None) -> float:
        if earlier is None:
            return self._first_backoff_s
        return min(self._max_backoff_s, 2 * earlier.backoff_s)

    def _is_to_blame(self, job: str, worker_id: str) -> bool:
        # A job that fails on workers that finish other work, and finishes nowhere, is at fault.
        if self._finished_on_by_job.get(job):
            return False
        others = self._failed_on_by_job.get(job, set()) - {worker_id}
        good = [other for other in others if self._by_worker[other].finished]
        return len(good) >= GOOD_WORKERS_TO_CLEAR

    def _fails_everything(self, worker_id: str, record: _Record) -> bool:
        if sum(record.failures_by_job.values()) < FAILURES_TO_BLAME:
            return False
        if len(record.failures_by_job) >= JOBS_TO_BLAME:
            return True
        job = next(iter(record.failures_by_job))
        return bool(self._finished_on_by_job.get(job, set()) - {worker_id})

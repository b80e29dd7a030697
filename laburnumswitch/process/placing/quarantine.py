"""Quarantine of workers on which all tasks fail, as opposed to jobs that fail on every worker."""

from typing import NamedTuple

from msgspec import field
from msgspec import Struct

# A worker is quarantined after this many failures without a finished task, if they belong to at
# least ``JOBS_TO_QUARANTINE`` jobs, or to one job of which a task has finished on another worker.
FAILURES_TO_QUARANTINE = 3
JOBS_TO_QUARANTINE = 2
INITIAL_BACKOFF_S = 30.0
MAX_BACKOFF_S = 1800.0
# A job is to blame if its tasks fail on at least this many other workers that finish other tasks.
HEALTHY_WORKERS_TO_BLAME_JOB = 2


class QuarantinePeriod(NamedTuple):
    """A period in which a worker gets no work: it ends at ``until_s`` and lasts ``backoff_s``."""

    until_s: float
    backoff_s: float


class _WorkerRecord(Struct):
    # Failures by job since the worker last finished a task.
    failures_by_job: dict[str, int] = field(default_factory=dict)
    finished: int = 0
    # Cleared when a task finishes; until then the worker is on probation after the period's end.
    last_quarantine: QuarantinePeriod | None = None


class Quarantine:
    """Recent failures by worker and job, kept only in the owner's memory.

    A job key is any string that identifies the tasks that fail together: the job's id, or the name
    of the job or service.
    """

    def __init__(
        self, initial_backoff_s: float = INITIAL_BACKOFF_S, max_backoff_s: float = MAX_BACKOFF_S
    ) -> None:
        self._initial_backoff_s = initial_backoff_s
        self._max_backoff_s = max_backoff_s
        self._by_worker: dict[str, _WorkerRecord] = {}
        self._failed_workers_by_job: dict[str, set[str]] = {}
        self._finished_workers_by_job: dict[str, set[str]] = {}

    def record_finish(self, worker_id: str, job_key: str) -> None:
        """Clear the failures and quarantine of a worker that has finished a task."""
        record = self._by_worker.setdefault(worker_id, _WorkerRecord())
        record.failures_by_job.clear()
        record.finished += 1
        record.last_quarantine = None
        self._finished_workers_by_job.setdefault(job_key, set()).add(worker_id)

    def record_failure(self, worker_id: str, job_key: str, now_s: float) -> bool:
        """Count a failure, and return whether it is attributed to the worker.

        A worker that was quarantined and has finished no task since is blamed even if the job is
        at fault.
        """
        self._failed_workers_by_job.setdefault(job_key, set()).add(worker_id)
        record = self._by_worker.setdefault(worker_id, _WorkerRecord())
        if self._is_job_at_fault(job_key, worker_id):
            return record.last_quarantine is not None
        record.failures_by_job[job_key] = record.failures_by_job.get(job_key, 0) + 1
        if not self._fails_everything(worker_id, record):
            return False
        earlier = record.last_quarantine
        if earlier is None or now_s >= earlier.until_s:
            backoff_s = self._next_backoff_s(earlier)
            record.last_quarantine = QuarantinePeriod(now_s + backoff_s, backoff_s)
        return True

    def is_quarantined(self, worker_id: str, now_s: float) -> bool:
        """Return whether the worker gets no work now."""
        record = self._by_worker.get(worker_id)
        return bool(record and record.last_quarantine and now_s < record.last_quarantine.until_s)

    def is_on_probation(self, worker_id: str) -> bool:
        """Return whether the worker was quarantined and has finished no task since.

        Such a worker gets one task at a time.
        """
        record = self._by_worker.get(worker_id)
        return bool(record and record.last_quarantine)

    def next_expiry_s(self, now_s: float) -> float:
        """Return when the next quarantine expires, or infinity."""
        expiries_s = [
            record.last_quarantine.until_s
            for record in self._by_worker.values()
            if record.last_quarantine and record.last_quarantine.until_s > now_s
        ]
        return min(expiries_s, default=float("inf"))

    def forget_job(self, job_key: str) -> None:
        """Drop the record of a job that has ended."""
        self._failed_workers_by_job.pop(job_key, None)
        self._finished_workers_by_job.pop(job_key, None)

    def _next_backoff_s(self, earlier: QuarantinePeriod | None) -> float:
        if earlier is None:
            return self._initial_backoff_s
        return min(self._max_backoff_s, 2 * earlier.backoff_s)

    def _is_job_at_fault(self, job_key: str, worker_id: str) -> bool:
        # The job is to blame if none of its tasks has finished on any worker, and they also fail on
        # workers that finish other tasks.
        if self._finished_workers_by_job.get(job_key):
            return False
        others = self._failed_workers_by_job.get(job_key, set()) - {worker_id}
        healthy = [other for other in others if self._by_worker[other].finished]
        return len(healthy) >= HEALTHY_WORKERS_TO_BLAME_JOB

    def _fails_everything(self, worker_id: str, record: _WorkerRecord) -> bool:
        if sum(record.failures_by_job.values()) < FAILURES_TO_QUARANTINE:
            return False
        if len(record.failures_by_job) >= JOBS_TO_QUARANTINE:
            return True
        job_key = next(iter(record.failures_by_job))
        return bool(self._finished_workers_by_job.get(job_key, set()) - {worker_id})

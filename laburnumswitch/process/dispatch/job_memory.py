"""How much memory the owner takes for jobs, and which it may take on.

Load pattern: many jobs, each of legal size, that together take more than the VM has: wide ones that
no worker can run, schedules, or thousands of steps. What an owner holds is the sum over all jobs
that are not removed yet, whatever entry stored them, so it is bounded here and not by job.
"""

from laburnumswitch.process.dispatch.commitment import RATE_WINDOW_S
from laburnumswitch.process.dispatch.job_spec import Submission

# Estimated memory of a job without steps, and of a step with its state, in bytes. Tasks take some
# only while they run.
JOB_BYTES = 3_000
STEP_BYTES = 1_000
# Share of the VM's memory that jobs may take.
JOBS_SHARE = 0.3
# Jobs that take more than this are large; entries ask the owner before they store one.
LARGE_JOB_BYTES = 65_536
# Share of the memory for jobs that large ones may take, so that they leave room for the others.
LARGE_JOBS_SHARE = 0.5
# The same for the occurrences of schedules beyond the first that is due of each.
OCCURRENCES_SHARE = 0.5
# Maximum number of ready steps beside which further occurrences are made, so that planning passes
# stay short.
MAX_READY_STEPS = 4_096
# Share of the memory for jobs from which on entries ask about each of them.
FULL_SHARE = 0.9
BYTES_PER_MB = 1_048_576
# Why a job is rejected for which the owner has no memory.
NO_MEMORY = "memory"


class JobMemory:
    """Estimated memory of the jobs of an owner.

    :ivar limit_bytes: how much jobs may take.
    :ivar used_bytes: how much they take.
    """

    def __init__(self, memory_mb: int) -> None:
        self.limit_bytes = int(memory_mb * BYTES_PER_MB * JOBS_SHARE)
        self.used_bytes = 0
        self._bytes_by_id: dict[str, int] = {}
        # Memory of admitted jobs that are not known to be stored, and until when it is kept.
        self._reserved_by_id: dict[str, tuple[int, float]] = {}
        self._freed: list[tuple[float, int]] = []

    def admits(self, job_bytes: int) -> bool:
        """Return whether there is memory for one more job."""
        return self.excess_bytes(job_bytes) <= 0

    def excess_bytes(self, job_bytes: int) -> int:
        """Return by how much a job would exceed the memory; negative if it does not."""
        share = LARGE_JOBS_SHARE if is_large(job_bytes) else 1.0
        return self.used_bytes + job_bytes - int(share * self.limit_bytes)

    def reserve(self, job_id: str, job_bytes: int, now_s: float, until_s: float) -> int:
        """Keep memory for a job that its caller may store now.

        :param until_s: when it is given back if the job does not become known, on the clock of
            ``now_s``.
        :return: 0, or by how many bytes the job would exceed the memory, which is not kept then.
        """
        for each, (_, expires_s) in list(self._reserved_by_id.items()):
            if expires_s < now_s:
                del self._reserved_by_id[each]
        reserved = sum(each_bytes for each_bytes, _ in self._reserved_by_id.values())
        excess = self.excess_bytes(job_bytes) + reserved
        if excess > 0 and job_id not in self._reserved_by_id:
            return excess
        self._reserved_by_id[job_id] = (job_bytes, until_s)
        return 0

    def freed_per_s(self, now_s: float) -> float:
        """Return how many bytes became free per second lately."""
        freed = sum(each for freed_s, each in self._freed if now_s - freed_s < RATE_WINDOW_S)
        return freed / RATE_WINDOW_S

    def note_freed(self, freed_bytes: int, now_s: float) -> None:
        """Record that jobs have ended that took some memory."""
        self._freed = [each for each in self._freed if now_s - each[0] < RATE_WINDOW_S]
        self._freed.append((now_s, freed_bytes))

    def admits_occurrences(self, ready_steps: int) -> bool:
        """Return whether there is room for more than one occurrence of a job.

        :param ready_steps: number of ready steps of all jobs.
        """
        has_memory = self.used_bytes <= OCCURRENCES_SHARE * self.limit_bytes
        return has_memory and ready_steps < MAX_READY_STEPS

    def is_full(self) -> bool:
        """Return whether there may soon be no memory for small jobs either."""
        return self.used_bytes > FULL_SHARE * self.limit_bytes

    def note(self, job_id: str, job_bytes: int) -> None:
        """Record how much memory a job takes now."""
        self._reserved_by_id.pop(job_id, None)
        self.used_bytes += job_bytes - self._bytes_by_id.get(job_id, 0)
        self._bytes_by_id[job_id] = job_bytes

    def forget(self, job_id: str) -> None:
        """Record that a job takes no memory any more."""
        self.used_bytes -= self._bytes_by_id.pop(job_id, 0)


def is_large(job_bytes: int) -> bool:
    """Return whether an entry asks the owner before it stores a job."""
    return job_bytes > LARGE_JOB_BYTES


def submission_bytes(submission: Submission, live_occurrences: int = 1) -> int:
    """Return the estimated memory of a job in bytes.

    :param live_occurrences: how many occurrences are due and not done.
    """
    steps = len(submission.steps) * max(1, live_occurrences)
    after = sum(len(step.after) for step in submission.steps)
    return JOB_BYTES + len(submission.spec) + STEP_BYTES * steps + 8 * after

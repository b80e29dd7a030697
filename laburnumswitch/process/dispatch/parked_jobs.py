"""Stored jobs that the owner has no memory for.

Handles an owner whose VM has less memory than that of its predecessor, and jobs that were stored
while no owner could be asked. Such jobs are answered as queued and can be cancelled. They are
loaded once there is memory, see ``parked_loading``.
"""

from typing import NamedTuple

from laburnumswitch.process.dispatch.job_memory import JobMemory
from laburnumswitch.process.dispatch.job_memory import submission_bytes
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import JobSource
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.progress import encode_progress
from laburnumswitch.process.dispatch.progress import final_progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.observing.decisions import DecisionLog


class ParkedJob(NamedTuple):
    """What an owner keeps of a job that is not loaded.

    :ivar submitted_s: Unix time of the submission.
    :ivar job_bytes: estimated memory that it takes once it is loaded.
    """

    queue: str
    submitted_s: float
    job_bytes: int


class ParkedJobs:
    """The jobs that are not loaded for want of memory.

    :ivar wanted_ids: those of them of which workers have reported runs, which are loaded first.
    """

    def __init__(self, memory: JobMemory, recorder: Recorder, log: DecisionLog) -> None:
        self.by_id: dict[str, ParkedJob] = {}
        self.wanted_ids: set[str] = set()
        self._memory = memory
        self._recorder = recorder
        self._log = log

    def holds(self, job_id: str) -> bool:
        """Return whether a job is not loaded for want of memory."""
        return job_id in self.by_id

    def park(self, submission: Submission, source: JobSource) -> bool:
        """Note a job if there is no memory for it, and return whether there is none."""
        job_bytes = submission_bytes(submission)
        if source is JobSource.PARKED or self._memory.admits(job_bytes):
            return False
        job_id = submission.job_id
        self.by_id[job_id] = ParkedJob(submission.queue, submission.submitted_s, job_bytes)
        self._log.note(
            "job_parked",
            job_id,
            queue=submission.queue,
            job_bytes=job_bytes,
            used_bytes=self._memory.used_bytes,
            limit_bytes=self._memory.limit_bytes,
            source=source,
        )
        return True

    def remove(self, job_id: str) -> ParkedJob | None:
        """Remove and return a job, ``None`` if it is not one of them."""
        self.wanted_ids.discard(job_id)
        return self.by_id.pop(job_id, None)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job, and return ``False`` if it is not one of them."""
        parked = self.remove(job_id)
        if parked is None:
            return False
        progress = encode_progress(final_progress(parked.queue, JobState.CANCELLED))
        self._recorder.queue_row(progress_key(job_id), progress)
        reason = "cancelled before there was memory for it"
        self._log.note("job_final", job_id, state=JobState.CANCELLED, reason=reason)
        return True

    def note_reported(self, job_id: str) -> None:
        """Note that a worker has reported a run of a job, which is loaded first if it is parked."""
        if job_id in self.by_id:
            self.wanted_ids.add(job_id)

    def next_to_load(self) -> str | None:
        """Return the id of the job to load now, ``None`` if there is no memory for any.

        Of the others, those that take least go first, and of these the one submitted first.
        """
        if self.wanted_ids:
            return next(iter(self.wanted_ids))
        if not self.by_id:
            return None
        job_id, parked = min(
            self.by_id.items(), key=lambda item: (item[1].job_bytes, item[1].submitted_s)
        )
        return job_id if self._memory.admits(parked.job_bytes) else None

    def count_by_queue(self) -> dict[str, int]:
        """Return the number of jobs by queue."""
        count: dict[str, int] = {}
        for parked in self.by_id.values():
            count[parked.queue] = count.get(parked.queue, 0) + 1
        return count

"""Jobs whose rows were removed, for as long as an earlier read of the rows may still return them.

Handles reads of the submissions that were sent before a removal and are answered after it: all jobs
are read again once the store has discarded its history, and an entry behind a narrow link reads for
long. A job in such an answer would count as a new one, and its tasks would run again.
"""

from typing import NamedTuple

# How long a job is remembered, in seconds, before the sending of a read that is to be the first one
# without its rows. The store's feed may lag behind its rows, and a notification of a job may be
# late.
REMEMBERED_S = 60.0


class _Removal(NamedTuple):
    """The removal of a job's rows.

    :ivar version: version of the store as of which the rows do not exist.
    :ivar removed_s: when the removal was known to have taken effect, on the monotonic clock.
    """

    version: int
    removed_s: float


class RemovedJobs:
    """The jobs that were removed lately, by their ids."""

    def __init__(self) -> None:
        self._removal_by_id: dict[str, _Removal] = {}

    def add(self, job_id: str, version: int, now_s: float) -> None:
        """Note that the rows of a job were removed in a version of the store."""
        self._removal_by_id[job_id] = _Removal(version, now_s)

    def holds(self, job_id: str) -> bool:
        """Return whether a job was removed, and not submitted again since."""
        return job_id in self._removal_by_id

    def note_submission(self, job_id: str, version: int) -> None:
        """Note that a submission was read; one that is stored since the removal is a new job.

        :param version: version of the submission's row.
        """
        removal = self._removal_by_id.get(job_id)
        if removal is not None and version > removal.version:
            del self._removal_by_id[job_id]

    def forget(self, read_s: float) -> None:
        """Forget the jobs that no read of the submissions can return any more.

        :param read_s: when the last read of the submissions to their end was sent, on the monotonic
            clock.
        """
        limit_s = read_s - REMEMBERED_S
        self._removal_by_id = {
            job_id: removal
            for job_id, removal in self._removal_by_id.items()
            if removal.removed_s >= limit_s
        }

"""When the next occurrence of each scheduled job is made.

Load pattern: many jobs with occurrences for weeks, of which few come due between two planning
passes.
"""

from heapq import heappop
from heapq import heappush

from laburnumswitch.process.dispatch.jobs import Job

# Time in seconds after which an overdue occurrence is tried again for which there was no room.
NO_ROOM_RETRY_S = 1.0


class DueJobs:
    """Jobs with occurrences that are not made yet, by the Unix time of the next one."""

    def __init__(self) -> None:
        self._due: list[tuple[float, str]] = []
        self._due_s_by_id: dict[str, float] = {}

    def make_due(self, job: Job, wall_s: float, has_room: bool) -> None:
        """Make the occurrences of a job that have come due, and note when the next one does.

        :param wall_s: Unix time in seconds.
        :param has_room: whether there is memory for more than one occurrence of the job.
        """
        if job.occurrences.next_due_s() is None:
            return
        job.occurrences.make_due(wall_s, has_room)
        due_s = job.occurrences.next_due_s()
        if due_s is None:
            return
        if due_s <= wall_s:
            due_s = wall_s + NO_ROOM_RETRY_S
        known_s = self._due_s_by_id.get(job.job_id)
        if known_s is None or due_s < known_s:
            self._due_s_by_id[job.job_id] = due_s
            heappush(self._due, (due_s, job.job_id))

    def take_due(self, wall_s: float) -> list[str]:
        """Remove and return the ids of the jobs whose next occurrence has come due.

        :param wall_s: Unix time in seconds.
        """
        taken = []
        while self._due and self._due[0][0] <= wall_s:
            due_s, job_id = heappop(self._due)
            if self._due_s_by_id.get(job_id) == due_s:
                del self._due_s_by_id[job_id]
                taken.append(job_id)
        return taken

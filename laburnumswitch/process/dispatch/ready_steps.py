"""The steps whose tasks may start, and when occurrences of jobs are made."""

from laburnumswitch.process.dispatch.down_time import note_ready
from laburnumswitch.process.dispatch.due_jobs import DueJobs
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.occurrences import Occurrence
from laburnumswitch.process.dispatch.step_state import StepKey


class ReadySteps:
    """Steps that have waiting tasks and whose predecessors are done.

    :ivar by_key: by job id, occurrence and index of the step.
    """

    def __init__(self) -> None:
        self.by_key: dict[StepKey, ReadyStep] = {}
        self.due_jobs = DueJobs()

    def refresh(
        self, job: Job, is_loaded: bool, has_room: bool, now_s: float, wall_s: float
    ) -> list[Occurrence]:
        """Update the steps of one job, and return the occurrences of it that were removed as done.

        :param is_loaded: whether all stored jobs were loaded before.
        :param has_room: whether there is memory for more than one occurrence.
        :param wall_s: Unix time in seconds.
        """
        dropped: list[Occurrence] = []
        if not job.is_final():
            dropped = job.occurrences.drop_done()
            self.due_jobs.make_due(job, wall_s, has_room)
        for occurrence in dropped:
            for step_state in occurrence.steps:
                self.by_key.pop(step_state.key, None)
        for occurrence in job.occurrences:
            self._refresh_occurrence(job, occurrence, is_loaded, now_s, wall_s)
        return dropped

    def _refresh_occurrence(
        self, job: Job, occurrence: Occurrence, is_loaded: bool, now_s: float, wall_s: float
    ) -> None:
        ready_keys = set()
        if not (job.is_final() or job.is_set_aside):
            ready_keys = {step_state.key for step_state in occurrence.ready_steps()}
        for step_state in occurrence.steps:
            key = step_state.key
            if key not in ready_keys:
                self.by_key.pop(key, None)
            elif key not in self.by_key:
                ready = ReadyStep(job, occurrence, step_state)
                note_ready(ready, is_loaded, now_s, wall_s)
                self.by_key[key] = ready

"""How long best-effort work waits for a suitable worker, one with low interference."""

from laburnumswitch.process.dispatch.job_spec import Step

# Longest wait of a best-effort task for a suitable worker, in seconds. By then a typical job has
# exceeded its target duration several times.
MAX_PLACEMENT_WAIT_S = 30.0
# Below this reserved share of the processors, a job with no running task soon starts one on any
# worker: users expect each job to run something within three seconds while at most half of the
# processors are reserved.
LOW_RESERVATION_SHARE = 0.6
# How long such a job waits first, in seconds.
FIRST_TASK_WAIT_S = 1.5


def forced_starts(step: Step, waited_s: float, reserved_share: float, is_running: bool) -> int:
    """Return how many tasks of a best-effort step start now even if no worker is suitable.

    If serving tasks tolerate no more best-effort work, a task that starts anyway is throttled to a
    standstill or slows others down, and cannot use capacity freed elsewhere. So it waits, and the
    jobs that go first are finished one after the other.

    :param reserved_share: share of the service's processors that is reserved by tasks.
    :param is_running: whether any task of the job runs.
    """
    if waited_s >= MAX_PLACEMENT_WAIT_S:
        return step.count
    if reserved_share < LOW_RESERVATION_SHARE and waited_s >= FIRST_TASK_WAIT_S and not is_running:
        return 1
    return 0


class FailedPlacements:
    """Best-effort steps that found no suitable worker during one planning pass of a service.

    Workers only fill up during a pass. If a step found no suitable worker, a step of the same image
    that needs at least as much finds none either, and the workers need not be ranked again.
    """

    def __init__(self) -> None:
        self._failed_by_image: dict[str, Step] = {}

    def note(self, step: Step) -> None:
        """Remember that no worker is suitable for a step.

        Steps restricted to some of the workers say nothing about others and are not remembered.
        """
        if not (step.required_label or step.data_rack or step.max_per_worker):
            self._failed_by_image[step.image] = step

    def rules_out(self, step: Step) -> bool:
        """Return whether a step is known to find no suitable worker."""
        failed = self._failed_by_image.get(step.image)
        if failed is None:
            return False
        return step.cpu_millis >= failed.cpu_millis and step.memory_mb >= failed.memory_mb

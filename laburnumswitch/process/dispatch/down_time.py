"""Since when steps have waited, also under earlier owners."""

from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import Occurrence

# Time for which a step of a stored job counts as having waited for an earlier owner, at most, in
# seconds. When it became ready is not stored; it is enough for waits for the sake of other tasks.
MAX_INHERITED_WAIT_S = 1.5


def ready_since_s(
    job: Job, occurrence: Occurrence, is_loaded: bool, now_s: float, wall_s: float
) -> float:
    """Return since when a step that was just found to be ready has waited, on the owner's clock.

    :param is_loaded: whether all stored jobs were loaded before.
    :param wall_s: Unix time in seconds.
    """
    if is_loaded or not job.may_have_unknown_runs:
        return now_s
    return now_s - min(max(0.0, wall_s - occurrence.due_s), MAX_INHERITED_WAIT_S)

"""How long filling work waits for a worker that has speed to give."""

from laburnumswitch.process.dispatch.work import Step

# A filling task waits at most so long, in seconds, for a calm worker: by then a job of the users'
# usual size has missed its objective several times over.
CALM_WAIT_S = 30.0
# Where tasks reserve less than this share of the processors, users expect every job to run
# something within three seconds; they count from half of the room.
IDLE_SHARE = 0.6
IDLE_WAIT_S = 1.5


def forced_starts(step: Step, waited_s: float, reserved_share: float, is_running: bool) -> int:
    """Return how many tasks of a filling step start now though no worker is calm.

    Load pattern: more filling work than the serving tasks bear. A task that starts anyway stands
    still or slows others down, and can no longer go where room comes free; so it waits, and the
    jobs that go first are finished one after the other.

    :param reserved_share: share of the service's processors that is reserved by tasks.
    :param is_running: whether anything of the job runs.
    """
    if waited_s >= CALM_WAIT_S:
        return step.count
    if reserved_share < IDLE_SHARE and waited_s >= IDLE_WAIT_S and not is_running:
        return 1
    return 0

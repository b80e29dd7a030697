"""How long filling work waits for a worker that has speed to give."""

from laburnumswitch.process.dispatch.jobs import step_estimate_s
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


def prefers_near(step: Step, waited_s: float, far_factor: float) -> bool:
    """Return whether a filling step still waits for a calm worker in the rack of its data.

    Load pattern: many jobs want the same rack. Away from its data a task takes longer; once it has
    waited for as long as that costs, any calm worker will do.

    :param far_factor: how many times as long a task takes away from its data.
    """
    return waited_s < (far_factor - 1.0) * step_estimate_s(step)


class CalmSearch:
    """What a pass over a service's waiting steps has learned about which of them find calm.

    During a pass workers only fill up. A filling step that needs no less than one of the same
    image that found no calm worker finds none either, and need not rank all workers again.
    """

    def __init__(self) -> None:
        self._failed_by_image: dict[str, Step] = {}

    def note_failed(self, step: Step) -> None:
        """Remember that no worker is calm enough for a step.

        Steps that may not use every worker say nothing about others, and are not remembered.
        """
        if not (step.required_label or step.data_rack or step.max_per_worker):
            self._failed_by_image[step.image] = step

    def rules_out(self, step: Step) -> bool:
        """Return whether a step is known to find no calm worker."""
        failed = self._failed_by_image.get(step.image)
        if failed is None:
            return False
        return step.cpu_millis >= failed.cpu_millis and step.memory_mb >= failed.memory_mb

"""Sizes of tasks for which no worker has room, during one planning pass.

This handles fleets of a thousand workers and more that are full: without it, each of hundreds of
waiting steps looks at every worker in each pass, and the owner has no processor time left to renew
leases.
"""

from collections.abc import Iterable

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.headroom import MIN_SPARE_SLOTS
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.size import Size


class NoRoom:
    """Sizes that fit none of a set of workers.

    Workers only fill up during a pass, so a size that fits none of them fits none later, and
    neither does a larger one.
    """

    def __init__(self) -> None:
        self._sizes: list[Size] = []

    def rules_out(self, step: Step) -> bool:
        """Return whether no worker is known to have room for a task of a step."""
        size = _reserved_size(step)
        return any(known.fits(size) for known in self._sizes)

    def note(self, step: Step) -> None:
        """Note that no worker has room for a task of a step, whatever its label."""
        size = _reserved_size(step)
        if not any(known.fits(size) for known in self._sizes):
            self._sizes = [known for known in self._sizes if not size.fits(known)] + [size]


def has_spare_slots(step: Step, workers: Iterable[Worker]) -> bool:
    """Return whether workers have room for ``MIN_SPARE_SLOTS`` tasks of a step."""
    wide_step = step._replace(count=max(step.count, MIN_SPARE_SLOTS))
    slots = 0
    for worker in workers:
        if worker.fits(step) and worker.can_run(step):
            slots += worker.free_slots(wide_step)
            if slots >= MIN_SPARE_SLOTS:
                return True
    return False


def _reserved_size(step: Step) -> Size:
    cpu_millis = 0 if step.best_effort else step.cpu_millis
    return Size(cpu_millis, step.memory_mb, step.accelerators)

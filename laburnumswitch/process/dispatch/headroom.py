"""How much room lasting tasks leave to short urgent ones.

Load pattern: lasting tasks fill the room as they arrive and keep it for minutes; short urgent jobs
of the same priority then wait for whole seconds, though they earn several times as much for the
processors that they take.
"""

from collections.abc import Iterable
from heapq import nlargest

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.jobs import StepRuns
from laburnumswitch.process.dispatch.work import Step

# A lasting task is held back for so long, in seconds, at most: users expect it to run within three.
LASTING_WAIT_S = 1.5
# It may wait longer only where fewer places than these are left for it.
PLACES_TO_START = 2
# Part of the room that lasting tasks leave free before any urgent work was seen.
LEAST_SHARE = 0.03
# Part of the room that is never kept from lasting tasks, however much urgent work there was.
MOST_SHARE = 0.15
# Most workers that are held for large urgent tasks at a time, as a share.
HELD_SHARE = 0.12
# Urgent work comes in waves: room is kept for so many times the recent peak of what it used.
PEAK_FACTOR = 1.3
# The recent peak fades by this share a second: the users' waves last about eleven seconds.
FADE_PER_S = 0.03


class Headroom:
    """Remembers the recent peak of what short urgent tasks use, in thousandths of a core."""

    def __init__(self) -> None:
        self.peak_millis = 0.0
        self._updated_s = 0.0

    def update(self, used_millis: float, now_s: float) -> None:
        """Take in what short urgent tasks use and wait for now."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        faded = self.peak_millis * max(0.0, 1.0 - FADE_PER_S * elapsed_s)
        self.peak_millis = max(used_millis, faded)

    def lasting_budget(self, workers: Iterable[Worker]) -> float:
        """Return the processors that lasting tasks may still reserve, in thousandths of a core."""
        capacity = used = urgent = 0.0
        for worker in workers:
            capacity += worker.entry.cpu_millis
            used += worker.used_cpu_millis
            urgent += worker.urgent_cpu_millis
        wanted = max(LEAST_SHARE * capacity, PEAK_FACTOR * self.peak_millis)
        kept = min(wanted, MOST_SHARE * capacity)
        return capacity - used - max(0.0, kept - urgent)


def choose_held(step: Step, runs: StepRuns, workers: list[Worker], held: int) -> set[str]:
    """Return workers that later steps leave alone, so that room for large tasks can grow there.

    Load pattern: short urgent tasks of all sizes on workers that are nearly full. Whatever room
    becomes free is taken by small tasks at once, and the large ones never find enough of it.

    :param held: number of workers that are held already.
    """
    wanted = sum(1 for _ in runs.waiting())
    limit = max(0, int(HELD_SHARE * len(workers)) - held)
    large_enough = [
        worker
        for worker in workers
        if worker.entry.cpu_millis >= step.cpu_millis and worker.entry.memory_mb >= step.memory_mb
    ]
    by_room = nlargest(
        min(wanted, limit),
        large_enough,
        key=lambda worker: (
            worker.entry.cpu_millis - worker.used_cpu_millis + worker.urgent_cpu_millis
        ),
    )
    return {worker.worker_id for worker in by_room}

"""Capacity that long-running tasks leave free for urgent tasks.

Urgent tasks are those that are neither long-running nor best-effort (``Step.is_urgent``).

Without this headroom, long-running tasks take all capacity as they arrive and keep it for minutes.
Urgent jobs of the same priority then wait for whole seconds, although they are worth several times
as much per core.
"""

import sys
from collections.abc import Callable
from collections.abc import Iterable
from heapq import nlargest

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.step_state import StepState

# How long a long-running task waits, in seconds, so that urgent tasks can use the capacity. Users
# expect it to run within three seconds.
LONG_RUNNING_WAIT_S = 1.5
# A long-running task waits beyond ``LONG_RUNNING_WAIT_S`` only while the workers have room for
# fewer than this many tasks of its size.
MIN_SPARE_SLOTS = 2
# Share of the last time, see ``jobs.ROOM_WINDOW_S``, for which there has to be room before a
# long-running task takes what is kept for urgent tasks. Room that stays reaches it in 1.9 s.
LASTING_ROOM_SHARE = 0.85
# The same for a task that has not run yet, once it has waited for ``FIRST_RUN_LIMIT_S``, as users
# look for its first run after three seconds. Room that urgent tasks use one after the other is free
# for a much smaller share.
DUE_ROOM_SHARE = 0.6
FIRST_RUN_LIMIT_S = 2.0
# Longest wait of a long-running task, in seconds, while urgent tasks use all room: users look for
# its next run after six seconds.
LONGEST_WAIT_S = 4.0
# Share of the processors kept free from long-running tasks before any urgent work was seen.
MIN_HEADROOM_SHARE = 0.03
# Largest share of the processors kept free from long-running tasks, however much urgent work there
# was.
MAX_HEADROOM_SHARE = 0.15
# Share of the processors that accepted long-running jobs leave for urgent tasks until urgent work
# has been observed for ``OBSERVATION_S`` seconds.
UNSEEN_RESERVE_SHARE = 0.1
OBSERVATION_S = 60.0
# Largest share of the workers that may be reserved for large urgent tasks at a time.
MAX_RESERVED_SHARE = 0.12
# A step that has started nothing for this long, in seconds, gives back what is reserved for it for
# as long: what it waits for does not become free.
RESERVATION_S = 10.0
# Urgent work comes in waves: capacity is kept for this multiple of its recent peak use.
PEAK_FACTOR = 1.3
# Share by which the recent peak decays per second: slowly, since waves of urgent work last about
# eleven seconds.
DECAY_PER_S = 0.03


class Headroom:
    """Computes how much long-running tasks may reserve, from the recent peak of urgent work.

    :ivar peak_cpu_millis: recent peak of the processors that urgent tasks use and wait for, in
        thousandths of a core.
    """

    def __init__(self) -> None:
        self.peak_cpu_millis = 0.0
        self._updated_s = 0.0

    def update(self, used_millis: float, now_s: float) -> None:
        """Update the peak.

        :param used_millis: processors that urgent tasks use and wait for now, in thousandths of a
            core.
        """
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        decayed = self.peak_cpu_millis * max(0.0, 1.0 - DECAY_PER_S * elapsed_s)
        self.peak_cpu_millis = max(used_millis, decayed)

    def long_running_budget(self, workers: Iterable[Worker]) -> float:
        """Return what long-running tasks may still reserve, in thousandths of a core."""
        capacity = used = urgent = 0.0
        for worker in workers:
            capacity += worker.listing.cpu_millis
            used += worker.used_cpu_millis
            urgent += worker.urgent_cpu_millis
        headroom = self._headroom(capacity, MIN_HEADROOM_SHARE)
        return capacity - used - max(0.0, headroom - urgent)

    def reserve(self, capacity: float, observed_s: float) -> float:
        """Return what accepted long-running jobs leave for urgent tasks, in the unit of capacity.

        :param observed_s: for how long urgent work has been observed, in seconds.
        """
        is_observed = observed_s > OBSERVATION_S
        return self._headroom(capacity, MIN_HEADROOM_SHARE if is_observed else UNSEEN_RESERVE_SHARE)

    def _headroom(self, capacity: float, min_share: float) -> float:
        target = max(min_share * capacity, PEAK_FACTOR * self.peak_cpu_millis)
        return min(target, MAX_HEADROOM_SHARE * capacity)


def may_reserve(step_state: StepState, now_s: float) -> bool:
    """Return whether workers may be reserved for an urgent step now."""
    waited_s = now_s - max(step_state.ready_since_s, step_state.last_start_s or 0.0)
    return waited_s % (2 * RESERVATION_S) < RESERVATION_S


def choose_reserved(
    step: Step,
    step_state: StepState,
    workers: list[Worker],
    reserved_count: int,
    may_use: Callable[[Worker], bool] = lambda worker: True,
    max_tasks: int = sys.maxsize,
) -> set[str]:
    """Return the ids of workers to reserve for large tasks of an urgent step.

    Later steps do not use these workers, so that enough capacity for a large task becomes free.

    This handles the case that urgent tasks of all sizes arrive while the workers are nearly full:
    small tasks immediately take whatever becomes free, and large tasks never find enough capacity.

    Workers of another kind or size are of no use to the step, and are left to others, as are all
    workers if they cannot hold a gang together.

    :param reserved_count: number of workers that are reserved already.
    :param may_use: whether the step may use a worker of the right kind and size.
    :param max_tasks: number of waiting tasks that may start within the organisation's quota.
    """
    waiting_count = min(step_state.waiting_count(), max_tasks)
    limit = max(0, int(MAX_RESERVED_SHARE * len(workers)) - reserved_count)
    if not limit:
        return set()
    useful = [worker for worker in workers if worker.can_run(step) and may_use(worker)]
    if step.gang and sum(worker.slots_when_idle(step) for worker in useful) < step.count:
        return set()
    by_free_cpu = nlargest(
        min(waiting_count, limit),
        useful,
        key=lambda worker: (
            worker.listing.cpu_millis - worker.used_cpu_millis + worker.urgent_cpu_millis
        ),
    )
    return {worker.worker_id for worker in by_free_cpu}

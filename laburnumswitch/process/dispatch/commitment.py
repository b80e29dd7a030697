"""Processors that the long-running jobs of a service reserve for as long as they last."""

from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step

# Interval, in seconds, over which the rate is measured at which processors become free.
RATE_WINDOW_S = 20.0
# Bounds of the time after which a rejected caller may return, in seconds.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
# The same while no long-running job has ended within ``RATE_WINDOW_S``.
UNKNOWN_RETRY_AFTER_S = 10


class Commitment(NamedTuple):
    """What the accepted long-running jobs of a service reserve, in thousandths of a core.

    :ivar capacity_cpu_millis: processors of its workers.
    :ivar committed_cpu_millis: processors of all their tasks, whether these run or wait.
    :ivar urgent_peak_cpu_millis: recent peak of what urgent tasks use and wait for.
    :ivar urgent_reserve_cpu_millis: what is kept for urgent tasks.
    """

    capacity_cpu_millis: int
    committed_cpu_millis: int
    urgent_peak_cpu_millis: int
    urgent_reserve_cpu_millis: int

    def excess_cpu_millis(self, asked_cpu_millis: int) -> int:
        """Return by how much a job would exceed what may be committed; negative if it does not."""
        limit = self.capacity_cpu_millis - self.urgent_reserve_cpu_millis
        return self.committed_cpu_millis + asked_cpu_millis - limit


class Admission(NamedTuple):
    """An admitted job that is not known to be stored.

    :ivar cpu_millis: what it reserves, in thousandths of a core.
    :ivar until_s: when the admission ends, on the monotonic clock.
    """

    service: str
    cpu_millis: int
    until_s: float


class Admissions:
    """Admitted jobs that are not known to be stored, and processors that became free."""

    def __init__(self) -> None:
        self.admitted_by_id: dict[str, Admission] = {}
        self._freed: list[tuple[float, str, int]] = []

    def note_freed(self, service: str, cpu_millis: int, now_s: float) -> None:
        """Note that a long-running job has ended."""
        self._freed = [each for each in self._freed if now_s - each[0] < RATE_WINDOW_S]
        self._freed.append((now_s, service, cpu_millis))

    def freed_per_s(self, service: str, now_s: float) -> float:
        """Return the processors that became free per second, in thousandths of a core."""
        freed = sum(
            cpu_millis
            for freed_s, each, cpu_millis in self._freed
            if each == service and now_s - freed_s < RATE_WINDOW_S
        )
        return freed / RATE_WINDOW_S


def retry_after(excess_cpu_millis: int, freed_per_s: float) -> int:
    """Return after how many whole seconds there is probably room for a rejected job.

    :param freed_per_s: processors that become free per second, in thousandths of a core.
    """
    if freed_per_s <= 0:
        return UNKNOWN_RETRY_AFTER_S
    expected_s = ceil(excess_cpu_millis / freed_per_s)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_s))


def committed_cpu_millis(steps: Iterable[Step]) -> int:
    """Return what a job reserves for as long as it lasts, in thousandths of a core."""
    return sum(
        step.count * step.cpu_millis for step in steps if step.long_running and not step.best_effort
    )


def lasting_capacity(worker: Worker, evacuated_zones: frozenset[str]) -> int:
    """Return the processors of a worker that long-running tasks can use from now on.

    A worker that drains will leave, and one in an evacuated availability zone keeps what it has.
    """
    if worker.listing.is_draining:
        return 0
    if worker.listing.availability_zone in evacuated_zones:
        return worker.long_running_cpu_millis
    return worker.listing.cpu_millis

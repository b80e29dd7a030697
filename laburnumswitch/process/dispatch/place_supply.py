"""When places in a rack are expected to become free, for steps that prefer the rack.

A planning pass may see thousands of steps that prefer one rack, while each worker there has tens of
runs. So the expected ends are collected once for each pass, rack and size of tasks.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from laburnumswitch.process.dispatch.draining import predicted_remaining_s
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step

# A run that exceeds its predicted duration is expected to take this multiple of its delay longer.
# Where estimates are too low or a rack has crashed, a constant would promise a place in each pass.
OVERDUE_FACTOR = 3.0
# Sizes of tasks are rounded up to this many leading bits, so that steps share what is collected.
SIZE_BITS = 3
# Largest number of tasks for which places on one worker are counted.
MAX_PLACES_PER_WORKER = 64


class RunTiming(NamedTuple):
    """What the expected ends of runs depend on besides the runs.

    :ivar far_factor: ratio of a task's duration outside the rack of its data to that inside.
    :ivar stop_s: time that a stop takes, in seconds.
    :ivar now_s: the owner's monotonic clock.
    """

    far_factor: float
    stop_s: float
    now_s: float


class Places(NamedTuple):
    """Places for tasks of one size on some workers.

    :ivar free_count: places that are free now.
    :ivar free_after_s: expected times until further ones become free, ascending, in seconds.
    :ivar turnover_s: mean duration of the runs there, after which each place is free again.
    """

    free_count: int = 0
    free_after_s: Sequence[float] = ()
    turnover_s: float = 0.0

    def wait_s(self, index: int) -> float:
        """Return the expected time until a task finds a place if ``index`` others go first.

        What is free now does not count: the task did not find a place there.
        """
        if not self.free_after_s:
            return float("inf")
        turns, position = divmod(index, len(self.free_after_s))
        return self.free_after_s[position] + turns * self.turnover_s

    def gather_s(self, count: int) -> float:
        """Return the expected time until ``count`` places are free at the same time."""
        missing = count - self.free_count
        if missing <= 0:
            return 0.0
        if missing > len(self.free_after_s):
            return float("inf")
        return self.free_after_s[missing - 1]


def collect_places(step: Step, workers: Iterable[Worker], timing: RunTiming) -> Places:
    """Return the places for tasks of a step on some workers."""
    if step.best_effort:
        return _best_effort_places(step, workers, timing)
    places_step = step._replace(count=step.max_per_worker or MAX_PLACES_PER_WORKER)
    free_count = 0
    free_after_s: list[float] = []
    durations_s: list[float] = []
    for worker in workers:
        ends = [
            (expected_end_s(run, worker, timing), run)
            for run in worker.runs_by_task.values()
            if run.is_stopping or not run.step.long_running
        ]
        ends.sort(key=lambda each: each[0])
        durations_s += [timing.now_s - run.started_s + end_s for end_s, run in ends]
        cpu_millis = worker.used_cpu_millis
        memory_mb = worker.used_memory_mb
        accelerators = worker.used_accelerators
        places = worker.slots_beside(places_step, cpu_millis, memory_mb, accelerators)
        free_count += places
        for end_s, run in ends:
            cpu_millis -= 0 if run.step.best_effort else run.step.cpu_millis
            memory_mb -= run.step.memory_mb
            accelerators -= run.step.accelerators
            more = worker.slots_beside(places_step, cpu_millis, memory_mb, accelerators)
            free_after_s += [end_s] * (more - places)
            places = more
    free_after_s.sort()
    return Places(free_count, free_after_s, _mean(durations_s))


def _best_effort_places(step: Step, workers: Iterable[Worker], timing: RunTiming) -> Places:
    """Return the places for best-effort tasks, which are not limited by reservations.

    How many tasks a worker takes depends on the interference. A place becomes free when as many
    processors of other best-effort tasks do.
    """
    ends = [
        (expected_end_s(run, worker, timing), run)
        for worker in workers
        for run in worker.best_effort_runs()
    ]
    ends.sort(key=lambda each: each[0])
    free_after_s: list[float] = []
    cpu_millis = 0
    for end_s, run in ends:
        cpu_millis += run.step.cpu_millis
        places = cpu_millis // max(1, step.cpu_millis) - len(free_after_s)
        free_after_s += [end_s] * min(places, MAX_PLACES_PER_WORKER)
    durations_s = [timing.now_s - run.started_s + end_s for end_s, run in ends]
    return Places(0, free_after_s, _mean(durations_s))


def expected_end_s(run: ActiveRun, worker: Worker, timing: RunTiming) -> float:
    """Return the expected time until a run gives its place back, in seconds."""
    if run.is_stopping:
        return timing.stop_s
    is_far = run.step.data_rack not in ("", worker.listing.rack)
    factor = timing.far_factor if is_far else 1.0
    remaining_s = predicted_remaining_s(run, timing.now_s, factor)
    return remaining_s if remaining_s > 0.0 else -remaining_s * OVERDUE_FACTOR


def rounded_size(step: Step) -> Step:
    """Return a step with the size of its tasks rounded up, which many others have as well."""
    return step._replace(cpu_millis=_round_up(step.cpu_millis), memory_mb=_round_up(step.memory_mb))


def _round_up(value: int) -> int:
    granule = 1 << max(0, value.bit_length() - SIZE_BITS)
    return -(-value // granule) * granule


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0

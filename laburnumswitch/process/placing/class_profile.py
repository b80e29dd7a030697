"""Learned sizes and run times of classes of work, because declared ones are often far off.

A class is the name of a job or service.
"""

from msgspec import Struct

from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size

# Weight of the newest run time in the mean.
SMOOTHING = 0.2
# Factor by which a peak decays with each usage report.
PEAK_DECAY = 0.98


class _Profile(Struct):
    cpu_millis: float
    memory_mb: float
    run_time_s: float
    runs: int = 0


class ClassProfiles:
    """Peak CPU and memory use and mean run time, by class."""

    def __init__(self) -> None:
        self._by_class: dict[str, _Profile] = {}

    def observe_usage(self, work: TaskSpec, cpu_millis: int, memory_mb: int) -> None:
        """Learn from one usage report; peaks decay slowly."""
        profile = self._profile(work)
        profile.cpu_millis = max(float(cpu_millis), profile.cpu_millis * PEAK_DECAY)
        profile.memory_mb = max(float(memory_mb), profile.memory_mb * PEAK_DECAY)

    def observe_run(self, work: TaskSpec, run_time_s: float) -> None:
        """Learn the run time of a finished task."""
        profile = self._profile(work)
        if not profile.runs:
            profile.run_time_s = run_time_s
        profile.run_time_s += SMOOTHING * (run_time_s - profile.run_time_s)
        profile.runs += 1

    def run_time_s(self, work: TaskSpec) -> float:
        """Return the learned run time, or the declared one if no run has finished yet."""
        profile = self._by_class.get(work.name)
        return work.run_time_s if profile is None or not profile.runs else profile.run_time_s

    def expected_excess(self, work: TaskSpec) -> Size:
        """Return by how much a task is expected to exceed its declared size."""
        profile = self._by_class.get(work.name)
        if profile is None:
            return Size(0, 0, 0)
        return Size(
            max(0, int(profile.cpu_millis) - work.size.cpu_millis),
            max(0, int(profile.memory_mb) - work.size.memory_mb),
        )

    def _profile(self, work: TaskSpec) -> _Profile:
        profile = self._by_class.get(work.name)
        if profile is None:
            profile = self._by_class[work.name] = _Profile(0.0, 0.0, work.run_time_s)
        return profile

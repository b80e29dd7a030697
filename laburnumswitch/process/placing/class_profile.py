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

    def observe_usage(self, task_spec: TaskSpec, cpu_millis: int, memory_mb: int) -> None:
        """Learn from one usage report; peaks decay slowly."""
        profile = self._profile(task_spec)
        profile.cpu_millis = max(float(cpu_millis), profile.cpu_millis * PEAK_DECAY)
        profile.memory_mb = max(float(memory_mb), profile.memory_mb * PEAK_DECAY)

    def observe_run(self, task_spec: TaskSpec, run_time_s: float) -> None:
        """Learn the run time of a finished task."""
        profile = self._profile(task_spec)
        if not profile.runs:
            profile.run_time_s = run_time_s
        profile.run_time_s += SMOOTHING * (run_time_s - profile.run_time_s)
        profile.runs += 1

    def run_time_s(self, task_spec: TaskSpec) -> float:
        """Return the learned run time, or the declared one if no run has finished yet."""
        profile = self._by_class.get(task_spec.name)
        return task_spec.run_time_s if profile is None or not profile.runs else profile.run_time_s

    def expected_excess(self, task_spec: TaskSpec) -> Size:
        """Return by how much a task is expected to exceed its declared size."""
        profile = self._by_class.get(task_spec.name)
        if profile is None:
            return Size(0, 0, 0)
        return Size(
            max(0, int(profile.cpu_millis) - task_spec.size.cpu_millis),
            max(0, int(profile.memory_mb) - task_spec.size.memory_mb),
        )

    def _profile(self, task_spec: TaskSpec) -> _Profile:
        profile = self._by_class.get(task_spec.name)
        if profile is None:
            profile = self._by_class[task_spec.name] = _Profile(0.0, 0.0, task_spec.run_time_s)
        return profile

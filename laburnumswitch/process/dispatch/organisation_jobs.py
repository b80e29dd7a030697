"""Unfinished jobs of organisations, and the work that remains of them."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import critical_paths_s
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import step_estimate_s
from laburnumswitch.process.dispatch.quota import task_size
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO

# Part of its estimate that a running task still takes, on average over tasks that started at
# different times.
REMAINING_SHARE = 0.5


class ResourceSeconds(NamedTuple):
    """Resources times the estimated seconds for which they are used."""

    cpu_millis_s: float = 0.0
    memory_mb_s: float = 0.0
    accelerator_s: float = 0.0

    def plus(self, other: "ResourceSeconds") -> "ResourceSeconds":
        """Return the sum of both."""
        return ResourceSeconds(*(a + b for a, b in zip(self, other, strict=True)))


class JobDemand(NamedTuple):
    """What a job needs until it ends, without its long-running steps.

    :ivar widest_gang: largest amount of each resource that a gang uses without one of its members.
    """

    work: ResourceSeconds
    critical_path_s: float
    widest_gang: Size


class OrganisationJobs:
    """Unfinished jobs by organisation; jobs without an organisation are left out."""

    def __init__(self) -> None:
        self._jobs_by_organisation: dict[str, dict[str, Job]] = {}

    def add(self, job: Job) -> None:
        """Add a job that has become known."""
        organisation = job.submission.organisation
        if organisation:
            self._jobs_by_organisation.setdefault(organisation, {})[job.job_id] = job

    def forget_finished(self) -> None:
        """Remove the jobs that have ended, and organisations without jobs."""
        for organisation, job_by_id in list(self._jobs_by_organisation.items()):
            for job_id in [job_id for job_id, job in job_by_id.items() if job.is_final()]:
                del job_by_id[job_id]
            if not job_by_id:
                del self._jobs_by_organisation[organisation]

    def organisations(self) -> tuple[str, ...]:
        """Return the organisations that may have unfinished jobs."""
        return tuple(self._jobs_by_organisation)

    def unfinished(self, organisation: str) -> Iterator[Job]:
        """Return the unfinished jobs of an organisation."""
        jobs = self._jobs_by_organisation.get(organisation, {}).values()
        return (job for job in jobs if not job.is_final())

    def running_cores(self, organisation: str) -> float:
        """Return the cores of an organisation's running tasks that are not long-running."""
        return sum(
            step_state.active_count * step_state.step.cpu_millis / 1000.0
            for job in self.unfinished(organisation)
            for step_state in ending_steps(job)
        )


def ending_steps(job: Job) -> Iterator[StepState]:
    """Return the steps of a job that are not long-running, of all its occurrences."""
    for occurrence in job.occurrences:
        for step_state in occurrence.steps:
            if not step_state.step.long_running:
                yield step_state


def demand_of(steps: tuple[Step, ...]) -> JobDemand:
    """Return what a job with the given steps needs."""
    work = [0.0, 0.0, 0.0]
    for step in steps:
        if not step.long_running:
            add_task_seconds(work, step, step.count)
    gangs = [task_size(step).times(step.count - 1) for step in steps if step.gang]
    widest_gang = Size(*(max(parts) for parts in zip(ZERO, *gangs, strict=True)))
    return JobDemand(ResourceSeconds(*work), max(critical_paths_s(steps), default=0.0), widest_gang)


def lasting_size(jobs: Iterable[Job]) -> Size:
    """Return what the long-running steps of jobs use for as long as they last."""
    size = ZERO
    for job in jobs:
        for step in job.submission.steps:
            if step.long_running:
                size = size.plus(task_size(step).times(step.count))
    return size


def add_task_seconds(total: list[float], step: Step, count: float) -> None:
    """Add the resources of some tasks of a step times their estimated duration to a total.

    :param total: in the order of ``ResourceSeconds``.
    """
    seconds = count * step_estimate_s(step)
    total[0] += seconds * step.cpu_millis
    total[1] += seconds * step.memory_mb
    total[2] += seconds * step.accelerators

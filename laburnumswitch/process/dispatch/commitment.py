"""Processors that the accepted long-running jobs of a service reserve for as long as they last."""

from typing import NamedTuple

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step


class Commitment(NamedTuple):
    """What the accepted long-running jobs of a service reserve, in thousandths of a core.

    :ivar capacity_cpu_millis: processors of its workers.
    :ivar committed_cpu_millis: processors of all their tasks, whether these run or wait.
    :ivar urgent_peak_cpu_millis: recent peak of what urgent tasks use and wait for.
    """

    capacity_cpu_millis: int
    committed_cpu_millis: int
    urgent_peak_cpu_millis: int


def measure_commitments(dispatcher: Dispatcher) -> dict[str, Commitment]:
    """Return the commitments by service."""
    capacity_by_service: dict[str, int] = {}
    for worker in dispatcher.workers_by_id.values():
        service = worker.listing.service
        capacity = lasting_capacity(worker, dispatcher.context.operations.evacuated_zones)
        capacity_by_service[service] = capacity_by_service.get(service, 0) + capacity
    committed_by_service = dict.fromkeys(capacity_by_service, 0)
    for job in dispatcher.jobs_by_id.values():
        queue = None if job.is_final() else dispatcher.queue_of(job)
        if queue is not None and queue.service in committed_by_service:
            committed_by_service[queue.service] += committed_cpu_millis(job.submission.steps)
    return {
        service: Commitment(
            capacity,
            committed_by_service[service],
            round(dispatcher.headroom.peak_cpu_millis),
        )
        for service, capacity in capacity_by_service.items()
    }


def committed_cpu_millis(steps: tuple[Step, ...]) -> int:
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

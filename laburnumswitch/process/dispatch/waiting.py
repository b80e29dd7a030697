"""Why ready tasks that reserve processors wait for a start, for the log.

Once a second the owner logs the waiting tasks of each service by the first reason that holds for
them. The reasons tell a full fleet from one whose free capacity is in pieces, and both from workers
that get no starts at present.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.planning_order import is_due
from laburnumswitch.process.dispatch.start_delays import WaitReason

NO_TASKS: Mapping[str, Mapping[WaitReason, int]] = {}


class ServiceWait(NamedTuple):
    """The waiting tasks of a service and the capacity of its usable workers.

    :ivar tasks_by_reason: number of waiting tasks that are neither long-running nor best-effort.
    :ivar long_running_tasks: number of waiting long-running tasks.
    :ivar long_running_by_reason: number of long-running tasks that do not run as far as the owner
        knows, also of those that are best-effort or may not start yet.
    :ivar oldest_s: longest time since a step with such tasks became ready, in seconds.
    :ivar waiting_cpu_millis: processors of the waiting tasks that are neither, in thousandths.
    :ivar free_cpu_millis: free processors of the usable workers together.
    :ivar largest_free_cpu_millis: free processors of the usable worker that has most.
    """

    tasks_by_reason: dict[WaitReason, int]
    long_running_tasks: int
    long_running_by_reason: Mapping[WaitReason, int]
    oldest_s: float
    waiting_cpu_millis: int
    free_cpu_millis: int
    largest_free_cpu_millis: int
    long_running_cpu_millis: int
    urgent_cpu_millis: int
    usable: int
    workers: int


def find_wait_reason(
    step: Step, usable: Iterable[Worker], unusable: Iterable[Worker]
) -> WaitReason:
    """Return the first reason that holds for the tasks of a step."""
    usable = [worker for worker in usable if worker.can_run(step)]
    unusable = [worker for worker in unusable if worker.can_run(step)]
    if not usable and not unusable:
        return WaitReason.SIZE
    if any(worker.fits(step) for worker in usable):
        return WaitReason.PLANNING
    if any(worker.fits(step) for worker in unusable):
        return WaitReason.UNUSABLE
    free = [worker.listing.cpu_millis - worker.used_cpu_millis for worker in usable]
    if any(each >= step.cpu_millis for each in free):
        return WaitReason.MEMORY
    return WaitReason.PIECES if sum(free) >= step.cpu_millis else WaitReason.PROCESSORS


def measure_waits(
    dispatcher: Dispatcher, down_by_service: Mapping[str, Mapping[WaitReason, int]] = NO_TASKS
) -> dict[str, ServiceWait]:
    """Return by service what its ready tasks wait for, for services with waiting tasks.

    :param down_by_service: numbers of long-running tasks that do not run, see ``down_tasks``.
    """
    ready_by_service: dict[str, list[ReadyStep]] = {service: [] for service in down_by_service}
    wall_s = dispatcher.context.wall_clock()
    for ready in dispatcher.ready_step_by_key.values():
        queue = dispatcher.queue_of(ready.job)
        if queue and not ready.step_state.step.best_effort and is_due(dispatcher, ready, wall_s):
            ready_by_service.setdefault(queue.service, []).append(ready)
    return {
        service: _measure_service(
            dispatcher, service, ready_steps, down_by_service.get(service, {})
        )
        for service, ready_steps in ready_by_service.items()
    }


def _measure_service(
    dispatcher: Dispatcher,
    service: str,
    ready_steps: list[ReadyStep],
    down: Mapping[WaitReason, int],
) -> ServiceWait:
    workers = [
        each for each in dispatcher.workers_by_id.values() if each.listing.service == service
    ]
    usable = usable_workers(dispatcher, service)
    usable_ids = {worker.worker_id for worker in usable}
    unusable = [worker for worker in workers if worker.worker_id not in usable_ids]
    tasks_by_reason: Counter[WaitReason] = Counter()
    long_running_tasks = waiting_cpu_millis = 0
    for ready in ready_steps:
        step = ready.step_state.step
        waiting = ready.step_state.waiting_count()
        if step.long_running:
            long_running_tasks += waiting
            continue
        startable = dispatcher.quota_gate.startable(ready)
        if startable < waiting:
            tasks_by_reason[WaitReason.QUOTA] += waiting - startable
        if startable > 0:
            tasks_by_reason[find_wait_reason(step, usable, unusable)] += startable
        waiting_cpu_millis += waiting * step.cpu_millis
    free = [worker.listing.cpu_millis - worker.used_cpu_millis for worker in usable]
    now_s = dispatcher.context.clock()
    oldest_s = max((now_s - ready.step_state.ready_since_s for ready in ready_steps), default=0.0)
    return ServiceWait(
        dict(tasks_by_reason),
        long_running_tasks,
        down,
        round(oldest_s, 3),
        waiting_cpu_millis,
        sum(free),
        max(free, default=0),
        sum(worker.long_running_cpu_millis for worker in usable),
        sum(worker.urgent_cpu_millis for worker in usable),
        len(usable),
        len(workers),
    )

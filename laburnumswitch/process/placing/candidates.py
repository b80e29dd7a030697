"""Builds the placement candidate of a worker from its state in the ledger and usage reports."""

from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.placement import CandidateWorker
from laburnumswitch.process.workers.worker_state import WorkerState
from laburnumswitch.size import Size


def make_candidate(
    worker: LedgerWorker, ledger: Ledger, state: WorkerState, profiles: ClassProfiles
) -> CandidateWorker | None:
    """Return a worker's candidate, or ``None`` if its runs use more than its capacity.

    Memory that runs use beyond their declared size reduces the free size. Using less than declared
    never increases it.
    """
    used_cpu = used_memory = 0
    excess_memory = 0
    cpu_millis_by_class: dict[str, int] = {}
    replicas_by_service: dict[str, int] = {}
    for key in worker.runs:
        task_spec = ledger.group_by_number[key.group].task_spec
        cpu_millis_by_class[task_spec.name] = (
            cpu_millis_by_class.get(task_spec.name, 0) + task_spec.size.cpu_millis
        )
        if task_spec.service:
            replicas_by_service[task_spec.service] = (
                replicas_by_service.get(task_spec.service, 0) + 1
            )
        usage = state.usage_by_key.get(key)
        if usage is None:
            excess_memory += profiles.expected_excess(task_spec).memory_mb
            continue
        used_cpu += usage.cpu_millis
        used_memory += usage.memory_mb
        excess_memory += max(0, usage.memory_mb - task_spec.size.memory_mb)
    capacity = worker.capacity
    if used_cpu > capacity.cpu_millis or used_memory > capacity.memory_mb:
        return None
    free = worker.free.minus(Size(0, excess_memory, 0))
    return CandidateWorker(
        worker.number,
        worker.worker_id,
        worker.availability_zone,
        worker.rack,
        capacity,
        free,
        cpu_millis_by_class,
        replicas_by_service,
    )

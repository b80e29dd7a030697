"""What a worker offers, from its ledger entry and its lagging reports."""

from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Worker
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.placement import Room
from laburnumswitch.process.workers.worker_state import WorkerState
from laburnumswitch.size import Size


def make_room(
    worker: Worker, ledger: Ledger, state: WorkerState, profiles: ClassProfiles
) -> Room | None:
    """Return the room of a worker, or ``None`` where more is in use than it declared.

    What runs use beyond their declared sizes lowers the offer; using less never raises it.
    """
    used_cpu = used_memory = 0
    surplus_memory = 0
    millis_by_class: dict[str, int] = {}
    services: dict[str, int] = {}
    for key in worker.runs:
        work = ledger.group_by_number[key.group].work
        millis_by_class[work.name] = millis_by_class.get(work.name, 0) + work.size.cpu_millis
        if work.service:
            services[work.service] = services.get(work.service, 0) + 1
        usage = state.usage_by_key.get(key)
        if usage is None:
            surplus_memory += profiles.surplus(work).memory_mb
            continue
        used_cpu += usage.cpu_millis
        used_memory += usage.memory_mb
        surplus_memory += max(0, usage.memory_mb - work.size.memory_mb)
    capacity = worker.capacity
    if used_cpu > capacity.cpu_millis or used_memory > capacity.memory_mb:
        return None
    free = worker.free.minus(Size(0, surplus_memory, 0))
    return Room(
        worker.number,
        worker.worker_id,
        worker.availability_zone,
        worker.rack,
        capacity,
        free,
        millis_by_class,
        services,
    )

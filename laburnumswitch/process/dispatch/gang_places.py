"""Where the members of a gang start: all together, in one rack if that is worth a wait.

This handles fleets in which no rack has room for a whole gang at the moment, but several have
together.
"""

from collections.abc import Callable
from collections.abc import Iterable

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.place_wait import PlaceWaits
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.process.dispatch.step_state import Task

GangPlaces = list[tuple[Task, Worker]]


def choose_gang_places(
    place_waits: PlaceWaits,
    queue: Queue,
    ready: ReadyStep,
    workers: list[Worker],
    free_starts: Callable[[Worker], int],
    now_s: float,
    wall_s: float,
) -> GangPlaces | None:
    """Return where the members of a gang start, or ``None`` if it waits.

    :param free_starts: how many more runs a worker may have, whatever room there is.
    :param wall_s: Unix time in seconds.
    """
    groups = near_groups(ready.step_state.step, workers)
    for group in groups:
        places = _find_places(ready.step_state, group, free_starts)
        if places is not None:
            place_waits.note_gang_start(ready, True, now_s)
            return places
    places = _find_places(ready.step_state, workers, free_starts)
    if places is None or not groups:
        return places
    if place_waits.gang_waits(ready, queue, groups, workers, now_s, wall_s):
        return None
    place_waits.note_gang_start(ready, False, now_s)
    return places


def near_groups(step: Step, workers: Iterable[Worker]) -> list[list[Worker]]:
    """Return the groups of workers on one of which a gang runs at full speed, in order.

    They are the racks for ``Step.same_rack``, otherwise the rack of its data; none if the gang has
    no preference.
    """
    if not step.same_rack and not step.data_rack:
        return []
    group_by_rack: dict[str, list[Worker]] = {}
    for worker in workers:
        group_by_rack.setdefault(worker.listing.rack, []).append(worker)
    if not step.same_rack:
        return [group_by_rack.get(step.data_rack, [])]
    racks = sorted(group_by_rack, key=lambda rack: (rack != step.data_rack, rack))
    return [group_by_rack[rack] for rack in racks]


def _find_places(
    step_state: StepState, workers: list[Worker], free_starts: Callable[[Worker], int]
) -> GangPlaces | None:
    step = step_state.step
    free_slots = {
        worker.worker_id: min(worker.free_slots(step), free_starts(worker)) for worker in workers
    }
    placed: list[Worker] = []
    for worker in sorted(workers, key=lambda each: free_slots[each.worker_id], reverse=True):
        slots = min(free_slots[worker.worker_id], step.max_per_worker or step.count)
        while slots > 0 and len(placed) < step.count:
            placed.append(worker)
            slots -= 1
    if len(placed) < step.count:
        return None
    return list(zip(step_state.tasks, placed, strict=True))

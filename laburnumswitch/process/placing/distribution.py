"""Distributes the tasks of a job over shards."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.ledger.inbox import count_fitting_tasks
from laburnumswitch.process.ledger.ownership import shard_of_rack
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class TaskRange(NamedTuple):
    """Tasks ``first`` to ``first + count - 1`` of a job, for one shard."""

    shard: int
    first: int
    count: int


def largest_capacity_if_none_fits(size: Size, vms: Iterable[Vm]) -> Size | None:
    """Return the capacity of the largest worker, or ``None`` if ``size`` fits on some worker."""
    largest = ZERO
    for vm in vms:
        if vm.role != "worker" or vm.state == "gone":
            continue
        if size.fits(vm.capacity):
            return None
        largest = max(largest, vm.capacity)
    return largest


def split_tasks(
    size: Size,
    tasks: int,
    vms: Iterable[Vm],
    hints: Mapping[int, ShardHint],
    shard_count: int,
    is_zone_in_service: Callable[[str], bool],
) -> tuple[TaskRange, ...]:
    """Split ``tasks`` over the shards in proportion to their free capacity.

    If no shard has free capacity, they are split in proportion to the total capacity. If no worker
    that is large enough is usable now, all that are large enough count, and the tasks wait in their
    shards. The result is empty if ``size`` fits on no worker.
    """
    task_capacity_by_shard: dict[int, int] = {}
    for vm in _eligible_workers(size, vms, is_zone_in_service):
        shard = shard_of_rack(vm.rack, shard_count)
        task_capacity = count_fitting_tasks(size, vm.capacity)
        task_capacity_by_shard[shard] = task_capacity_by_shard.get(shard, 0) + max(1, task_capacity)
    weight_by_shard = _limit_to_free_capacity(size, task_capacity_by_shard, hints)
    total = sum(weight_by_shard.values())
    ranges = []
    first = 0
    cumulative_weight = 0
    for shard, weight in sorted(weight_by_shard.items()):
        cumulative_weight += weight
        end = tasks * cumulative_weight // total
        if end > first:
            ranges.append(TaskRange(shard, first, end - first))
        first = end
    return tuple(ranges)


def spread_replicas(
    size: Size,
    indexes: Iterable[int],
    vms: Iterable[Vm],
    shard_count: int,
    is_zone_in_service: Callable[[str], bool],
) -> tuple[TaskRange, ...]:
    """Assign replicas one by one, spread evenly over zones, then over the shards of a zone.

    As in ``split_tasks``, unusable workers count if no worker that is large enough is usable.
    """
    task_capacity_by_location: dict[tuple[str, int], int] = {}
    for vm in _eligible_workers(size, vms, is_zone_in_service):
        location = (vm.availability_zone, shard_of_rack(vm.rack, shard_count))
        task_capacity = max(1, count_fitting_tasks(size, vm.capacity))
        task_capacity_by_location[location] = (
            task_capacity_by_location.get(location, 0) + task_capacity
        )
    if not task_capacity_by_location:
        return ()
    used_by_zone = {zone: 0 for zone, _ in task_capacity_by_location}
    used_by_location = dict.fromkeys(task_capacity_by_location, 0)
    ranges = []
    for index in indexes:
        zone = min(used_by_zone, key=lambda zone: (used_by_zone[zone], zone))
        locations = [location for location in task_capacity_by_location if location[0] == zone]
        location = min(
            locations,
            key=lambda location: (
                used_by_location[location] / task_capacity_by_location[location],
                location,
            ),
        )
        used_by_zone[zone] += 1
        used_by_location[location] += 1
        ranges.append(TaskRange(location[1], index, 1))
    return tuple(ranges)


def _eligible_workers(
    size: Size, vms: Iterable[Vm], is_zone_in_service: Callable[[str], bool]
) -> list[Vm]:
    workers = (vm for vm in vms if vm.role == "worker" and vm.state != "gone")
    fitting = [vm for vm in workers if size.fits(vm.capacity)]
    usable = [
        vm for vm in fitting if vm.state == "live" and is_zone_in_service(vm.availability_zone)
    ]
    # If no worker is usable now, all that are large enough count: tasks wait in their shards.
    return usable or fitting


def _limit_to_free_capacity(
    size: Size, task_capacity_by_shard: Mapping[int, int], hints: Mapping[int, ShardHint]
) -> dict[int, int]:
    free_by_shard = {}
    for shard, task_capacity in task_capacity_by_shard.items():
        hint = hints.get(shard)
        free = count_fitting_tasks(size, hint.free) if hint else task_capacity
        free_by_shard[shard] = min(task_capacity, free)
    if any(free_by_shard.values()):
        return free_by_shard
    return dict(task_capacity_by_shard)

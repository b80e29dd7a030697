"""Splits the tasks of a job over shards."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.ledger.inbox import tasks_that_fit
from laburnumswitch.process.ledger.ownership import shard_of_rack
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class Part(NamedTuple):
    """Tasks ``first`` to ``first + count - 1`` of a job, for one shard."""

    shard: int
    first: int
    count: int


def largest_capacity(size: Size, vms: Iterable[Vm]) -> Size | None:
    """Return ``None`` where a worker can hold ``size``, and the largest worker otherwise."""
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
    zone_is_in: Callable[[str], bool],
) -> tuple[Part, ...]:
    """Split ``tasks`` in proportion to the room of the shards; empty where no worker fits."""
    slots_by_shard: dict[int, int] = {}
    for vm in _fitting(size, vms, zone_is_in):
        shard = shard_of_rack(vm.rack, shard_count)
        slots = tasks_that_fit(size, vm.capacity)
        slots_by_shard[shard] = slots_by_shard.get(shard, 0) + max(1, slots)
    weight_by_shard = _limit_to_free(size, slots_by_shard, hints)
    total = sum(weight_by_shard.values())
    parts = []
    first = 0
    weight_so_far = 0
    for shard, weight in sorted(weight_by_shard.items()):
        weight_so_far += weight
        last = tasks * weight_so_far // total
        if last > first:
            parts.append(Part(shard, first, last - first))
        first = last
    return tuple(parts)


def spread_replicas(
    size: Size,
    indexes: Iterable[int],
    vms: Iterable[Vm],
    shard_count: int,
    zone_is_in: Callable[[str], bool],
) -> tuple[Part, ...]:
    """Hand out replicas one by one, over zones first and then over the shards of a zone."""
    slots_by_place: dict[tuple[str, int], int] = {}
    for vm in _fitting(size, vms, zone_is_in):
        place = (vm.availability_zone, shard_of_rack(vm.rack, shard_count))
        slots = max(1, tasks_that_fit(size, vm.capacity))
        slots_by_place[place] = slots_by_place.get(place, 0) + slots
    if not slots_by_place:
        return ()
    used_by_zone = {zone: 0 for zone, _ in slots_by_place}
    used_by_place = dict.fromkeys(slots_by_place, 0)
    parts = []
    for index in indexes:
        zone = min(used_by_zone, key=lambda zone: (used_by_zone[zone], zone))
        places = [place for place in slots_by_place if place[0] == zone]
        place = min(places, key=lambda place: (used_by_place[place] / slots_by_place[place], place))
        used_by_zone[zone] += 1
        used_by_place[place] += 1
        parts.append(Part(place[1], index, 1))
    return tuple(parts)


def _fitting(size: Size, vms: Iterable[Vm], zone_is_in: Callable[[str], bool]) -> list[Vm]:
    workers = (vm for vm in vms if vm.role == "worker" and vm.state != "gone")
    fitting = [vm for vm in workers if size.fits(vm.capacity)]
    usable = [vm for vm in fitting if vm.state == "live" and zone_is_in(vm.availability_zone)]
    return usable or fitting


def _limit_to_free(
    size: Size, slots_by_shard: Mapping[int, int], hints: Mapping[int, ShardHint]
) -> dict[int, int]:
    free_by_shard = {}
    for shard, slots in slots_by_shard.items():
        hint = hints.get(shard)
        free = tasks_that_fit(size, hint.free) if hint else slots
        free_by_shard[shard] = min(slots, free)
    if any(free_by_shard.values()):
        return free_by_shard
    return dict(slots_by_shard)

"""Chooses the worker of a task.

Workers with room are indexed by free processors. A decision scores a bounded number of candidates:
the tightest that fit, and some at random so that work spreads and interference is learned broadly.
"""

from bisect import bisect_left
from bisect import insort
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from random import Random

from msgspec import field
from msgspec import Struct

from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size

TIGHT_CANDIDATES = 8
RANDOM_CANDIDATES = 8
SCAN_ALL_LIMIT = 24
MAX_SERVICE_SLOWDOWN = 1.2
FIT_WEIGHT = 1.0
SLOWDOWN_WEIGHT = 3.0
BATCH_SLOWDOWN_WEIGHT = 0.5
ZONE_WEIGHT = 2.0
RACK_WEIGHT = 0.7
WORKER_WEIGHT = 0.7
ACCELERATOR_WEIGHT = 0.6


class Room(Struct):
    """A worker that may get work, with its free size as planned so far.

    ``millis_by_class`` are the committed processors of each class and ``services`` the number of
    replicas of each service. A room that is reserved for a job gets no other batch work, one
    pauses classes that were evicted lately, and a ``single`` one takes one task.
    """

    number: int
    worker_id: str
    availability_zone: str
    rack: str
    capacity: Size
    free: Size
    millis_by_class: dict[str, int] = field(default_factory=dict)
    services: dict[str, int] = field(default_factory=dict)
    reserved_for: str = ""
    paused_classes: frozenset[str] = frozenset()
    single: bool = False


def _suits_always(room: Room) -> bool:
    return True


class RoomIndex:
    """Rooms by worker number, ordered by free processors."""

    def __init__(self) -> None:
        self.room_by_number: dict[int, Room] = {}
        self.replicas_by_zone: Counter[tuple[str, str]] = Counter()
        self.replicas_by_rack: Counter[tuple[str, str]] = Counter()
        self._by_cpu: list[tuple[int, int]] = []

    def put(self, room: Room) -> None:
        """Add or replace a room."""
        self.remove(room.number)
        self.room_by_number[room.number] = room
        insort(self._by_cpu, (room.free.cpu_millis, room.number))
        self._count_replicas(room, 1)

    def remove(self, number: int) -> None:
        """Remove a room if it is there."""
        room = self.room_by_number.pop(number, None)
        if room is None:
            return
        self._drop_entry(room)
        self._count_replicas(room, -1)

    def take(self, number: int, work: TaskSpec) -> None:
        """Plan one task of ``work`` on a worker."""
        room = self.room_by_number[number]
        self._drop_entry(room)
        room.free = room.free.minus(work.size)
        insort(self._by_cpu, (room.free.cpu_millis, number))
        millis = room.millis_by_class.get(work.name, 0)
        room.millis_by_class[work.name] = millis + work.size.cpu_millis
        if work.service:
            room.services[work.service] = room.services.get(work.service, 0) + 1
            self.replicas_by_zone[work.service, room.availability_zone] += 1
            self.replicas_by_rack[work.service, room.rack] += 1

    def candidates(
        self,
        work: TaskSpec,
        avoid: frozenset[str],
        random: Random,
        suits: Callable[[Room], bool] = _suits_always,
    ) -> list[Room]:
        """Return up to a bounded number of rooms that fit and suit; empty only where none does."""
        start = bisect_left(self._by_cpu, (work.size.cpu_millis, -1))
        count = len(self._by_cpu) - start
        if count <= SCAN_ALL_LIMIT:
            return self._fitting(work, avoid, suits, range(start, start + count), count)
        tight = self._fitting(work, avoid, suits, range(start, start + count), TIGHT_CANDIDATES)
        picks = [start + int(random.random() * count) for _ in range(RANDOM_CANDIDATES)]
        others = self._fitting(work, avoid, suits, picks, RANDOM_CANDIDATES)
        return tight + [room for room in others if room not in tight]

    def largest_free(self) -> Size:
        """Return the free size of the room with most free processors."""
        if not self._by_cpu:
            return Size(0, 0, 0)
        return self.room_by_number[self._by_cpu[-1][1]].free

    def total_free(self) -> Size:
        """Return the sum of all free sizes."""
        total = Size(0, 0, 0)
        for room in self.room_by_number.values():
            total = total.plus(room.free)
        return total

    def has_room(self, size: Size) -> bool:
        """Return whether some room is large enough, whatever it is kept for."""
        start = bisect_left(self._by_cpu, (size.cpu_millis, -1))
        rooms = (self.room_by_number[number] for _, number in self._by_cpu[start:])
        return any(size.fits(room.free) for room in rooms)

    def _fitting(
        self,
        work: TaskSpec,
        avoid: frozenset[str],
        suits: Callable[[Room], bool],
        positions: Iterable[int],
        limit: int,
    ) -> list[Room]:
        found: list[Room] = []
        for position in positions:
            room = self.room_by_number[self._by_cpu[position][1]]
            if room.worker_id in avoid or not fits(work, room) or not suits(room):
                continue
            found.append(room)
            if len(found) >= limit:
                break
        return found

    def _drop_entry(self, room: Room) -> None:
        del self._by_cpu[bisect_left(self._by_cpu, (room.free.cpu_millis, room.number))]

    def _count_replicas(self, room: Room, sign: int) -> None:
        for service, count in room.services.items():
            self.replicas_by_zone[service, room.availability_zone] += sign * count
            self.replicas_by_rack[service, room.rack] += sign * count


def fits(work: TaskSpec, room: Room) -> bool:
    """Return whether a task fits by size and by what the room is kept for."""
    if not work.size.fits(room.free) or (room.single and room.millis_by_class):
        return False
    if work.service:
        return True
    if work.name in room.paused_classes:
        return False
    return room.reserved_for in ("", work.job_id)


def choose_room(
    index: RoomIndex,
    work: TaskSpec,
    interference: Interference,
    random: Random,
    avoid: frozenset[str] = frozenset(),
) -> Room | None:
    """Return the best room for one task, or ``None`` where none fits.

    :param avoid: ids of workers that this task is not to run on.
    """
    if work.service:
        rooms = index.candidates(work, avoid, random)
        return min(
            rooms,
            key=lambda room: _score_service(index, work, room, interference),
            default=None,
        )
    rooms = index.candidates(
        work, avoid, random, lambda room: _spares_services(work, room, interference)
    )
    return min(rooms, key=lambda room: _score_batch(work, room, interference), default=None)


def _spares_services(work: TaskSpec, room: Room, interference: Interference) -> bool:
    """Return whether no service beside the task is expected to be slowed too much.

    This is the headroom of services: less for classes that are known to be quiet.
    """
    if not room.services:
        return True
    coefficient = interference.coefficient
    limit = (MAX_SERVICE_SLOWDOWN - 1.0) * max(1, room.capacity.cpu_millis)
    for service in room.services:
        slowdown = coefficient(service, work.name) * work.size.cpu_millis
        for name, millis in room.millis_by_class.items():
            if name != service:
                slowdown += coefficient(service, name) * millis
        if slowdown > limit:
            return False
    return True


def _score_batch(work: TaskSpec, room: Room, interference: Interference) -> float:
    share = work.size.cpu_millis / max(1, room.capacity.cpu_millis)
    added = 0.0
    for service in room.services:
        added += interference.coefficient(service, work.name) * share
    score = FIT_WEIGHT * _leftover(work.size, room) + SLOWDOWN_WEIGHT * added
    score += BATCH_SLOWDOWN_WEIGHT * _mutual_slowdown(work, room, interference)
    if not work.size.accelerators and room.free.accelerators:
        score += ACCELERATOR_WEIGHT
    return score


def _score_service(
    index: RoomIndex, work: TaskSpec, room: Room, interference: Interference
) -> float:
    service = work.service
    score = SLOWDOWN_WEIGHT * _own_slowdown(work, room, interference)
    score += ZONE_WEIGHT * index.replicas_by_zone[service, room.availability_zone]
    score += RACK_WEIGHT * index.replicas_by_rack[service, room.rack]
    score += WORKER_WEIGHT * room.services.get(service, 0)
    return score + 0.2 * FIT_WEIGHT * _leftover(work.size, room)


def _own_slowdown(work: TaskSpec, room: Room, interference: Interference) -> float:
    total = max(1, room.capacity.cpu_millis)
    slowdown = 0.0
    for name, millis in room.millis_by_class.items():
        slowdown += interference.coefficient(work.name, name) * millis / total
    return slowdown


def _mutual_slowdown(work: TaskSpec, room: Room, interference: Interference) -> float:
    """Return the slowdown of the task, plus that which it causes weighted by share."""
    coefficient = interference.coefficient
    class_name = work.name
    slowdown = 0.0
    for name, millis in room.millis_by_class.items():
        slowdown += (coefficient(class_name, name) + coefficient(name, class_name)) * millis
    return slowdown / max(1, room.capacity.cpu_millis)


def _leftover(size: Size, room: Room) -> float:
    cpu = (room.free.cpu_millis - size.cpu_millis) / max(1, room.capacity.cpu_millis)
    memory = (room.free.memory_mb - size.memory_mb) / max(1, room.capacity.memory_mb)
    return 0.5 * (cpu + memory)

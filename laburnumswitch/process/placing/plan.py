"""Plans the starts of one batch: services, then urgent jobs, then teams by fair share."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from heapq import heapify
from heapq import heappop
from heapq import heapreplace
from random import Random
from typing import NamedTuple

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import Group
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.placement import choose_room
from laburnumswitch.process.placing.placement import Room
from laburnumswitch.process.placing.placement import RoomIndex
from laburnumswitch.process.placing.quota import QuotaBook
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.process.workers.task_spec import TaskKey
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size

STARTS_PER_BATCH = 400
AGEING = 2.0
NOWHERE: frozenset[str] = frozenset()

Choose = Callable[[RoomIndex, TaskSpec, Interference, Random, frozenset[str]], Room | None]


class Queue(NamedTuple):
    """What decides the order and the place of pending tasks, besides the ledger.

    ``not_before_by_key`` holds back tasks that failed lately; ``avoid_by_key`` names the workers on
    which they did. ``waiting_since_by_group`` is for ageing.
    """

    index: RoomIndex
    quota: QuotaBook
    profiles: ClassProfiles
    interference: Interference
    random: Random
    not_before_by_key: Mapping[TaskKey, float]
    avoid_by_key: Mapping[TaskKey, frozenset[str]]
    waiting_since_by_group: Mapping[int, float]
    reserved_job: str = ""
    choose: Choose = choose_room


class Plan(NamedTuple):
    """What was planned: the number of starts, and the groups that found no room."""

    started: int
    without_room: tuple[int, ...]


class _Starts:
    """Starts gathered by worker and group, and sizes known to fit nowhere."""

    def __init__(self, queue: Queue, now_s: float) -> None:
        self.count = 0
        self.without_room: list[int] = []
        self._queue = queue
        self._now_s = now_s
        self._tasks: dict[tuple[int, int], list[PendingTask]] = {}
        self._hopeless: list[Size] = []
        self._hopeless_classes: set[tuple[str, Size]] = set()

    def is_full(self) -> bool:
        return self.count >= STARTS_PER_BATCH

    def try_start(self, group: Group, task: PendingTask) -> bool:
        """Plan one task, or return ``False`` where the group is to wait."""
        queue = self._queue
        work = group.work
        if not work.service and not queue.quota.allows(work.team, work.size):
            return False
        if self._is_hopeless(work):
            self.without_room.append(group.number)
            return False
        avoid = queue.avoid_by_key.get(TaskKey(group.number, task.index), NOWHERE)
        room = queue.choose(queue.index, work, queue.interference, queue.random, avoid)
        if room is None and avoid:
            room = queue.choose(queue.index, work, queue.interference, queue.random, NOWHERE)
        if room is None:
            self._note_hopeless(work)
            self.without_room.append(group.number)
            return False
        queue.index.take(room.number, work)
        if not work.service:
            queue.quota.take(work.team, work.size)
        self._tasks.setdefault((room.number, group.number), []).append(task)
        self.count += 1
        return True

    def due(self, group: Group) -> Iterator[PendingTask]:
        """Yield the pending tasks that need not wait for a backoff."""
        if not self._queue.not_before_by_key:
            return iter(group.pending())
        return self._due_of_backoff(group)

    def records(self) -> Iterator[Started]:
        for (worker, group), tasks in self._tasks.items():
            runs = tuple(task.next_run for task in tasks)
            first_runs = all(run == 1 for run in runs)
            yield Started(
                worker, group, tuple(task.index for task in tasks), () if first_runs else runs
            )

    def _due_of_backoff(self, group: Group) -> Iterator[PendingTask]:
        not_before = self._queue.not_before_by_key
        for task in group.pending():
            if not_before.get(TaskKey(group.number, task.index), self._now_s) <= self._now_s:
                yield task

    def _is_hopeless(self, work: TaskSpec) -> bool:
        if work.job_id == self._queue.reserved_job:
            return False
        if (work.name, work.size) in self._hopeless_classes:
            return True
        return any(size.fits(work.size) for size in self._hopeless)

    def _note_hopeless(self, work: TaskSpec) -> None:
        # Room may be left that only this class is kept from.
        if self._queue.index.has_room(work.size):
            self._hopeless_classes.add((work.name, work.size))
        else:
            self._hopeless.append(work.size)


def plan_starts(batch: BatchBuilder, ledger: Ledger, queue: Queue, now_s: float) -> Plan:
    """Add the starts that fit now to a batch."""
    waiting = [
        group
        for group in ledger.group_by_number.values()
        if (group.fresh or group.again)
        and not group.is_cancelled
        and group.number not in batch.settled_groups
    ]
    starts = _Starts(queue, now_s)
    services = [group for group in waiting if group.work.service]
    urgent = [group for group in waiting if group.work.urgent and not group.work.service]
    others = [group for group in waiting if not group.work.urgent and not group.work.service]
    for group in sorted(services, key=lambda group: (group.work.rank, group.number)):
        _start_all(starts, group)
    for group in sorted(urgent, key=lambda group: group.number):
        _start_all(starts, group)
    _start_fairly(starts, others, queue, now_s)
    batch.records.extend(starts.records())
    return Plan(starts.count, tuple(starts.without_room))


def _start_all(starts: _Starts, group: Group) -> None:
    for task in starts.due(group):
        if starts.is_full() or not starts.try_start(group, task):
            return


def _start_fairly(starts: _Starts, groups: list[Group], queue: Queue, now_s: float) -> None:
    by_team: dict[str, list[Group]] = {}
    for group in sorted(groups, key=lambda group: _order(group, queue, now_s)):
        by_team.setdefault(group.work.team, []).append(group)
    heap = [(queue.quota.share(team), team) for team in by_team]
    heapify(heap)
    tasks_by_team = {team: _tasks_of(starts, by_team[team]) for team in by_team}
    while heap and not starts.is_full():
        team = heap[0][1]
        found = next(tasks_by_team[team], None)
        if found is None:
            heappop(heap)
            continue
        group, task, refuse = found
        if not starts.try_start(group, task):
            refuse()
        heapreplace(heap, (queue.quota.share(team), team))


def _tasks_of(
    starts: _Starts, groups: list[Group]
) -> Iterator[tuple[Group, PendingTask, Callable[[], None]]]:
    for group in groups:
        refused: list[bool] = []
        for task in starts.due(group):
            yield group, task, lambda refused=refused: refused.append(True)
            if refused:
                break


def _order(group: Group, queue: Queue, now_s: float) -> tuple[float, int]:
    waited_s = now_s - queue.waiting_since_by_group.get(group.number, now_s)
    return queue.profiles.run_time_s(group.work) - AGEING * waited_s, group.number

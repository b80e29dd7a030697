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
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.placement import CandidateIndex
from laburnumswitch.process.placing.placement import CandidateWorker
from laburnumswitch.process.placing.placement import choose_worker
from laburnumswitch.process.placing.quota import QuotaUsage
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size

STARTS_PER_BATCH = 400
# Each second that a group has waited counts like an expected run time shorter by this many seconds.
AGEING_FACTOR = 2.0
NO_WORKERS: frozenset[str] = frozenset()

WorkerChooser = Callable[
    [CandidateIndex, TaskSpec, Interference, Random, frozenset[str]], CandidateWorker | None
]


class PlanInputs(NamedTuple):
    """Inputs besides the ledger that decide the order and placement of pending tasks.

    :ivar not_before_by_key: when tasks that failed recently may start again.
    :ivar avoid_by_key: ids of the workers on which those tasks failed; they are used only if no
        other worker fits.
    :ivar waiting_since_by_group: since when each group has waited, for ageing.
    :ivar reserved_job: id of the job that a worker is reserved for, empty if there is none.
    """

    index: CandidateIndex
    quota: QuotaUsage
    profiles: ClassProfiles
    interference: Interference
    random: Random
    not_before_by_key: Mapping[LedgerTaskKey, float]
    avoid_by_key: Mapping[LedgerTaskKey, frozenset[str]]
    waiting_since_by_group: Mapping[int, float]
    reserved_job: str = ""
    worker_chooser: WorkerChooser = choose_worker


class Plan(NamedTuple):
    """Result of planning: the number of starts, and the groups that currently fit on no worker."""

    start_count: int
    unplaced_groups: tuple[int, ...]


class _PlannedStarts:
    """Planned starts by worker and group, and the sizes and classes known to fit on no worker."""

    def __init__(self, inputs: PlanInputs, now_s: float) -> None:
        self.count = 0
        self.unplaced_groups: list[int] = []
        self._inputs = inputs
        self._now_s = now_s
        self._tasks: dict[tuple[int, int], list[PendingTask]] = {}
        self._unplaceable_sizes: list[Size] = []
        self._unplaceable_classes: set[tuple[str, Size]] = set()

    def is_full(self) -> bool:
        return self.count >= STARTS_PER_BATCH

    def try_start(self, group: TaskGroup, task: PendingTask) -> bool:
        """Plan the start of one task; return ``False`` if it cannot start now."""
        inputs = self._inputs
        task_spec = group.task_spec
        if not task_spec.service and not inputs.quota.allows(task_spec.team, task_spec.size):
            return False
        if self._is_unplaceable(task_spec):
            self.unplaced_groups.append(group.number)
            return False
        avoid = inputs.avoid_by_key.get(LedgerTaskKey(group.number, task.index), NO_WORKERS)
        candidate = inputs.worker_chooser(
            inputs.index, task_spec, inputs.interference, inputs.random, avoid
        )
        if candidate is None and avoid:
            candidate = inputs.worker_chooser(
                inputs.index, task_spec, inputs.interference, inputs.random, NO_WORKERS
            )
        if candidate is None:
            self._add_unplaceable(task_spec)
            self.unplaced_groups.append(group.number)
            return False
        inputs.index.assign(candidate.number, task_spec)
        if not task_spec.service:
            inputs.quota.add_planned(task_spec.team, task_spec.size)
        self._tasks.setdefault((candidate.number, group.number), []).append(task)
        self.count += 1
        return True

    def due_tasks(self, group: TaskGroup) -> Iterator[PendingTask]:
        """Iterate over the pending tasks whose backoff after a failure, if any, is over."""
        if not self._inputs.not_before_by_key:
            return iter(group.iter_pending())
        return self._tasks_past_backoff(group)

    def records(self) -> Iterator[Started]:
        for (worker, group), tasks in self._tasks.items():
            runs = tuple(task.next_run for task in tasks)
            first_runs = all(run == 1 for run in runs)
            yield Started(
                worker, group, tuple(task.index for task in tasks), () if first_runs else runs
            )

    def _tasks_past_backoff(self, group: TaskGroup) -> Iterator[PendingTask]:
        not_before = self._inputs.not_before_by_key
        for task in group.iter_pending():
            if not_before.get(LedgerTaskKey(group.number, task.index), self._now_s) <= self._now_s:
                yield task

    def _is_unplaceable(self, task_spec: TaskSpec) -> bool:
        if task_spec.job_id == self._inputs.reserved_job:
            return False
        if (task_spec.name, task_spec.size) in self._unplaceable_classes:
            return True
        return any(size.fits(task_spec.size) for size in self._unplaceable_sizes)

    def _add_unplaceable(self, task_spec: TaskSpec) -> None:
        # If some worker has capacity, only this class is not accepted, and other classes may fit.
        if self._inputs.index.has_capacity(task_spec.size):
            self._unplaceable_classes.add((task_spec.name, task_spec.size))
        else:
            self._unplaceable_sizes.append(task_spec.size)


def plan_starts(batch: BatchBuilder, ledger: Ledger, inputs: PlanInputs, now_s: float) -> Plan:
    """Add records of the starts that are possible now to a batch."""
    waiting = [
        group
        for group in ledger.group_by_number.values()
        if (group.unstarted_ranges or group.requeued_by_index)
        and not group.is_cancelled
        and group.number not in batch.unstartable_groups
    ]
    starts = _PlannedStarts(inputs, now_s)
    services = [group for group in waiting if group.task_spec.service]
    urgent = [group for group in waiting if group.task_spec.urgent and not group.task_spec.service]
    others = [
        group for group in waiting if not group.task_spec.urgent and not group.task_spec.service
    ]
    for group in sorted(services, key=lambda group: (group.task_spec.rank, group.number)):
        _start_all(starts, group)
    for group in sorted(urgent, key=lambda group: group.number):
        _start_all(starts, group)
    _start_by_fair_share(starts, others, inputs, now_s)
    batch.records.extend(starts.records())
    return Plan(starts.count, tuple(starts.unplaced_groups))


def _start_all(starts: _PlannedStarts, group: TaskGroup) -> None:
    for task in starts.due_tasks(group):
        if starts.is_full() or not starts.try_start(group, task):
            return


def _start_by_fair_share(
    starts: _PlannedStarts, groups: list[TaskGroup], inputs: PlanInputs, now_s: float
) -> None:
    by_team: dict[str, list[TaskGroup]] = {}
    for group in sorted(groups, key=lambda group: _priority(group, inputs, now_s)):
        by_team.setdefault(group.task_spec.team, []).append(group)
    heap = [(inputs.quota.dominant_share(team), team) for team in by_team]
    heapify(heap)
    tasks_by_team = {team: _tasks_of(starts, by_team[team]) for team in by_team}
    while heap and not starts.is_full():
        team = heap[0][1]
        found = next(tasks_by_team[team], None)
        if found is None:
            heappop(heap)
            continue
        group, task, skip_group = found
        if not starts.try_start(group, task):
            skip_group()
        heapreplace(heap, (inputs.quota.dominant_share(team), team))


def _tasks_of(
    starts: _PlannedStarts, groups: list[TaskGroup]
) -> Iterator[tuple[TaskGroup, PendingTask, Callable[[], None]]]:
    for group in groups:
        skipped: list[bool] = []
        for task in starts.due_tasks(group):
            yield group, task, lambda refused=skipped: refused.append(True)
            if skipped:
                break


def _priority(group: TaskGroup, inputs: PlanInputs, now_s: float) -> tuple[float, int]:
    waited_s = now_s - inputs.waiting_since_by_group.get(group.number, now_s)
    return inputs.profiles.run_time_s(group.task_spec) - AGEING_FACTOR * waited_s, group.number

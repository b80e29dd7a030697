"""Learns from lagging reports of use: sizes, and who slows whom."""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Worker
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.task_spec import TaskKey
from laburnumswitch.process.workers.worker_api import Usage
from laburnumswitch.process.workers.worker_state import WorkerState

REPORT_LAG_S = 3.0
SHARES_KEPT = 8
BATCH_SAMPLE = 4


class Learned(NamedTuple):
    """What one entry learns for all of its shards."""

    interference: Interference
    profiles: ClassProfiles


class _Shares(NamedTuple):
    seen_s: float
    share_by_key: dict[TaskKey, float]


class UsageHistory:
    """What ran on each worker lately. A report tells of a while ago, so it is held against that."""

    def __init__(self, context: SchedulerContext, learned: Learned, ledger: Ledger) -> None:
        self._context = context
        self._learned = learned
        self._ledger = ledger
        self._shares_by_worker: dict[int, deque[_Shares]] = {}

    def take(self, worker: Worker, state: WorkerState) -> None:
        """Learn from the newest report of a worker."""
        now_s = self._context.clock()
        share_by_key = {key: self._share(worker, state, key) for key in worker.runs}
        history = self._shares_by_worker.setdefault(worker.number, deque(maxlen=SHARES_KEPT))
        history.append(_Shares(now_s, share_by_key))
        old = [shares for shares in history if shares.seen_s <= now_s - REPORT_LAG_S]
        then = old[-1].share_by_key if old else {}
        share_by_class = self._sum_by_class(then)
        for key, usage in self._sample(state.usage_by_key, share_by_key):
            work = self._ledger.group_by_number[key.group].work
            self._learned.profiles.observe_usage(work, usage.cpu_millis, usage.memory_mb)
            if key in then:
                beside = dict(share_by_class)
                beside[work.name] -= then[key]
                self._learned.interference.observe(work.name, usage.slowdown, beside)

    def _sample(
        self, usage_by_key: Mapping[TaskKey, Usage], running: Mapping[TaskKey, float]
    ) -> list[tuple[TaskKey, Usage]]:
        """Return the reports of all replicas, and of a few batch runs at random."""
        services, batch = [], []
        for key, usage in usage_by_key.items():
            if key in running:
                is_service = self._ledger.group_by_number[key.group].work.service
                (services if is_service else batch).append((key, usage))
        if len(batch) > BATCH_SAMPLE:
            batch = self._context.random.sample(batch, BATCH_SAMPLE)
        return services + batch

    def _sum_by_class(self, share_by_key: Mapping[TaskKey, float]) -> dict[str, float]:
        share_by_class: dict[str, float] = {}
        for key, share in share_by_key.items():
            group = self._ledger.group_by_number.get(key.group)
            if group is not None:
                name = group.work.name
                share_by_class[name] = share_by_class.get(name, 0.0) + share
        return share_by_class

    def _share(self, worker: Worker, state: WorkerState, key: TaskKey) -> float:
        millis = self._ledger.group_by_number[key.group].work.size.cpu_millis
        percent = state.throttle_percent_by_key.get(key, 100)
        return millis / max(1, worker.capacity.cpu_millis) * percent / 100

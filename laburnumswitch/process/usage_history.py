"""Learns from lagging reports of use: sizes, and who slows whom."""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.class_profile import ClassProfiles
from laburnumswitch.process.context import SchedulerContext
from laburnumswitch.process.interference import Interference
from laburnumswitch.process.ledger import Ledger
from laburnumswitch.process.ledger import Worker
from laburnumswitch.process.work import TaskKey
from laburnumswitch.process.worker_state import WorkerState

REPORT_LAG_S = 3.0
SHARES_KEPT = 8


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
        for key, usage in state.usage_by_key.items():
            if key not in share_by_key:
                continue
            work = self._ledger.group_by_number[key.group].work
            self._learned.profiles.observe_usage(work, usage.cpu_millis, usage.memory_mb)
            if old and key in old[-1].share_by_key:
                beside = self._sum_by_class(old[-1].share_by_key, key)
                self._learned.interference.observe(work.name, usage.slowdown, beside)

    def _sum_by_class(
        self, share_by_key: Mapping[TaskKey, float], victim: TaskKey
    ) -> dict[str, float]:
        share_by_class: dict[str, float] = {}
        for key, share in share_by_key.items():
            group = self._ledger.group_by_number.get(key.group)
            if group is not None and key != victim:
                name = group.work.name
                share_by_class[name] = share_by_class.get(name, 0.0) + share
        return share_by_class

    def _share(self, worker: Worker, state: WorkerState, key: TaskKey) -> float:
        millis = self._ledger.group_by_number[key.group].work.size.cpu_millis
        percent = state.percent_by_key.get(key, 100)
        return millis / max(1, worker.capacity.cpu_millis) * percent / 100

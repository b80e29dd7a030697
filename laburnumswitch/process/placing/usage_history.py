"""Learns task sizes and interference from delayed usage reports."""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.worker_api import Usage
from laburnumswitch.process.workers.worker_state import WorkerState

# Age of the measurements in a usage report.
REPORT_LAG_S = 3.0
MAX_SHARE_SAMPLES = 8
# At most this many batch runs of a report are used for learning.
BATCH_SAMPLE_SIZE = 4


class LearnedModels(NamedTuple):
    """Models that one entry learns for all of its shards."""

    interference: Interference
    profiles: ClassProfiles


class _ShareSample(NamedTuple):
    seen_s: float
    share_by_key: dict[LedgerTaskKey, float]


class UsageHistory:
    """Recent CPU shares of the runs on each worker.

    Usage reports are about ``REPORT_LAG_S`` old, so a report is compared with the shares of that
    time.
    """

    def __init__(self, context: SchedulerContext, learned: LearnedModels, ledger: Ledger) -> None:
        self._context = context
        self._learned = learned
        self._ledger = ledger
        self._shares_by_worker: dict[int, deque[_ShareSample]] = {}

    def learn(self, worker: LedgerWorker, state: WorkerState) -> None:
        """Learn from the latest report of a worker."""
        now_s = self._context.clock()
        share_by_key = {key: self._share(worker, state, key) for key in worker.runs}
        history = self._shares_by_worker.setdefault(worker.number, deque(maxlen=MAX_SHARE_SAMPLES))
        history.append(_ShareSample(now_s, share_by_key))
        old_samples = [shares for shares in history if shares.seen_s <= now_s - REPORT_LAG_S]
        earlier = old_samples[-1].share_by_key if old_samples else {}
        share_by_class = self._sum_by_class(earlier)
        for key, usage in self._sample(state.usage_by_key, share_by_key):
            task_spec = self._ledger.group_by_number[key.group].task_spec
            self._learned.profiles.observe_usage(task_spec, usage.cpu_millis, usage.memory_mb)
            if key in earlier:
                neighbour_share_by_class = dict(share_by_class)
                neighbour_share_by_class[task_spec.name] -= earlier[key]
                self._learned.interference.observe(
                    task_spec.name, usage.slowdown, neighbour_share_by_class
                )

    def _sample(
        self, usage_by_key: Mapping[LedgerTaskKey, Usage], running: Mapping[LedgerTaskKey, float]
    ) -> list[tuple[LedgerTaskKey, Usage]]:
        """Return the usage of all replicas and of a random sample of batch runs."""
        services, batch = [], []
        for key, usage in usage_by_key.items():
            if key in running:
                is_service = self._ledger.group_by_number[key.group].task_spec.service
                (services if is_service else batch).append((key, usage))
        if len(batch) > BATCH_SAMPLE_SIZE:
            batch = self._context.random.sample(batch, BATCH_SAMPLE_SIZE)
        return services + batch

    def _sum_by_class(self, share_by_key: Mapping[LedgerTaskKey, float]) -> dict[str, float]:
        share_by_class: dict[str, float] = {}
        for key, share in share_by_key.items():
            group = self._ledger.group_by_number.get(key.group)
            if group is not None:
                name = group.task_spec.name
                share_by_class[name] = share_by_class.get(name, 0.0) + share
        return share_by_class

    def _share(self, worker: LedgerWorker, state: WorkerState, key: LedgerTaskKey) -> float:
        millis = self._ledger.group_by_number[key.group].task_spec.size.cpu_millis
        percent = state.throttle_percent_by_key.get(key, 100)
        return millis / max(1, worker.capacity.cpu_millis) * percent / 100

"""Relieves services of interference by batch work on the same worker.

Batch runs are throttled first, then checkpointed and evicted. An evicted task becomes pending again
and is placed on another worker, because the learned interference and a pause of its class exclude
the old one. Usage reports are delayed, so every step waits for its effect, throttles are relaxed
more slowly than they are tightened, and evictions have a budget. Standing work is never evicted.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import field
from msgspec import Struct

from laburnumswitch.process.placing.interference import Interference

# Throttles are tightened above the high slowdown and relaxed at or below the low one.
HIGH_SLOWDOWN = 1.3
LOW_SLOWDOWN = 1.25
# Each step of tightening aims at this slowdown.
TARGET_SLOWDOWN = 1.25
# Weight of the newest report in the mean slowdown.
SMOOTHING = 0.4
STEP_INTERVAL_S = 4.0
RELAX_INTERVAL_S = 6.0
RELAX_FACTOR = 0.5
# Smaller reductions are set to 0 when throttles are relaxed.
MIN_REDUCTION = 0.02
# How long the slowdown must have been high before a run is evicted.
EVICT_AFTER_S = 8.0
# The budget of a shard gains one eviction per interval.
EVICTION_TOKEN_INTERVAL_S = 10.0
MAX_EVICTION_TOKENS = 3.0
# How long a class is not placed on a worker after one of its runs was evicted from it.
CLASS_PAUSE_S = 60.0
# CPU limit of a throttled run.
THROTTLE_PERCENT = 40


class ColocatedRun(NamedTuple):
    """A run on a worker, as input to relief.

    :ivar share: allocated share of the worker's CPU.
    :ivar started_s: start time; of runs that slow services equally, the newest is evicted first.
    """

    key: object
    class_name: str
    is_service: bool
    is_standing: bool
    is_checkpointable: bool
    share: float
    slowdown: float
    started_s: float


class ReliefOrders(NamedTuple):
    """CPU limits in percent by run, 100 for none, and the runs to evict."""

    percent_by_key: dict[object, int]
    evictions: tuple[object, ...]


class _WorkerRelief(Struct):
    # ``reduction`` is the amount by which throttles should currently reduce the slowdown.
    slowdown: float = 1.0
    reduction: float = 0.0
    throttling_is_exhausted: bool = False
    changed_s: float = float("-inf")
    high_since_s: float | None = None
    low_since_s: float | None = None
    paused_until_by_class: dict[str, float] = field(default_factory=dict)


class Relief:
    """State of relief by worker, and the eviction budget of one shard."""

    def __init__(self, interference: Interference, now_s: float) -> None:
        self._interference = interference
        self._by_worker: dict[str, _WorkerRelief] = {}
        self._eviction_tokens = 1.0
        self._refilled_s = now_s

    def paused_classes(self, worker_id: str, now_s: float) -> frozenset[str]:
        """Return the classes that currently must not be placed on a worker."""
        state = self._by_worker.get(worker_id)
        if state is None:
            return frozenset()
        paused = state.paused_until_by_class.items()
        return frozenset(name for name, until_s in paused if until_s > now_s)

    def relieve(self, worker_id: str, runs: Iterable[ColocatedRun], now_s: float) -> ReliefOrders:
        """Process one report of a worker, and return the limits and evictions for its runs."""
        runs = tuple(runs)
        services = [item for item in runs if item.is_service]
        batch = [item for item in runs if not item.is_service]
        if not services or not batch:
            self._by_worker.pop(worker_id, None)
            return ReliefOrders({item.key: 100 for item in batch}, ())
        state = self._by_worker.setdefault(worker_id, _WorkerRelief())
        worst = max(item.slowdown for item in services)
        state.slowdown += SMOOTHING * (worst - state.slowdown)
        self._adjust_reduction(state, now_s)
        evictions = self._evict(state, services, batch, now_s)
        return ReliefOrders(self._throttle(state, services, batch), evictions)

    def _adjust_reduction(self, state: _WorkerRelief, now_s: float) -> None:
        if state.slowdown > HIGH_SLOWDOWN:
            state.low_since_s = None
            state.high_since_s = now_s if state.high_since_s is None else state.high_since_s
            if now_s - state.changed_s >= STEP_INTERVAL_S:
                state.reduction += state.slowdown - TARGET_SLOWDOWN
                state.changed_s = now_s
            return
        state.high_since_s = None
        if state.slowdown > LOW_SLOWDOWN:
            state.low_since_s = None
            return
        state.low_since_s = now_s if state.low_since_s is None else state.low_since_s
        if now_s - max(state.low_since_s, state.changed_s) >= RELAX_INTERVAL_S:
            state.reduction *= RELAX_FACTOR
            if state.reduction < MIN_REDUCTION:
                state.reduction = 0.0
            state.changed_s = now_s

    def _throttle(
        self, state: _WorkerRelief, services: list[ColocatedRun], batch: list[ColocatedRun]
    ) -> dict[object, int]:
        """Throttle as few runs as the reduction requires, those that slow services most first."""
        percent_by_key = {item.key: 100 for item in batch}
        reduced = 0.0
        worst_first = sorted(
            batch, key=lambda item: (-self._caused_slowdown(services, item), item.started_s)
        )
        for item in worst_first:
            if reduced >= state.reduction:
                break
            percent_by_key[item.key] = THROTTLE_PERCENT
            reduced += self._caused_slowdown(services, item) * (1 - THROTTLE_PERCENT / 100)
        state.throttling_is_exhausted = reduced < state.reduction
        return percent_by_key

    def _evict(
        self,
        state: _WorkerRelief,
        services: list[ColocatedRun],
        batch: list[ColocatedRun],
        now_s: float,
    ) -> tuple[object, ...]:
        if not state.throttling_is_exhausted or state.high_since_s is None:
            return ()
        if now_s - state.high_since_s < EVICT_AFTER_S:
            return ()
        evictable = [item for item in batch if not item.is_standing and item.is_checkpointable]
        if not evictable or not self._spend_eviction_token(now_s):
            return ()
        worst = max(
            evictable, key=lambda item: (self._caused_slowdown(services, item), item.started_s)
        )
        state.paused_until_by_class[worst.class_name] = now_s + CLASS_PAUSE_S
        # The throttles need not make up for the evicted run any more. The next eviction waits for
        # the effect of this one.
        state.reduction = max(0.0, state.reduction - self._caused_slowdown(services, worst))
        state.high_since_s = now_s
        return (worst.key,)

    def _spend_eviction_token(self, now_s: float) -> bool:
        earned = (now_s - self._refilled_s) / EVICTION_TOKEN_INTERVAL_S
        self._eviction_tokens = min(MAX_EVICTION_TOKENS, self._eviction_tokens + earned)
        self._refilled_s = now_s
        if self._eviction_tokens < 1.0:
            return False
        self._eviction_tokens -= 1.0
        return True

    def _caused_slowdown(self, services: list[ColocatedRun], item: ColocatedRun) -> float:
        return max(
            self._interference.coefficient(service.class_name, item.class_name) * item.share
            for service in services
        )

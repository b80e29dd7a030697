"""Relieves services of batch work beside them: throttle, then checkpoint and stop.

What was stopped is pending again and is placed elsewhere, because the learned interference and a
pause for its class keep it off that worker. Reports lag, so every step waits for its effect, steps
back are slower than steps forward, and evictions have a budget. Standing work is never evicted.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import field
from msgspec import Struct

from laburnumswitch.process.placing.interference import Interference

HIGH_SLOWDOWN = 1.3
LOW_SLOWDOWN = 1.25
TARGET_SLOWDOWN = 1.25
SMOOTHING = 0.4
STEP_S = 4.0
LIFT_S = 6.0
LIFT_FACTOR = 0.5
LEAST_REDUCTION = 0.02
EVICT_AFTER_S = 8.0
EVICTION_EVERY_S = 10.0
MAX_EVICTIONS_SAVED = 3.0
PAUSE_S = 60.0
THROTTLE_PERCENT = 40


class Neighbour(NamedTuple):
    """One run on a worker, as relief sees it. ``started_s`` orders evictions, newest first."""

    key: object
    class_name: str
    is_service: bool
    is_standing: bool
    is_checkpointable: bool
    share: float
    slowdown: float
    started_s: float


class ReliefOrders(NamedTuple):
    """Throttles in percent by run, and runs to evict."""

    percent_by_key: dict[object, int]
    evictions: tuple[object, ...]


class _WorkerRelief(Struct):
    # ``reduction`` is by how much throttles are meant to lower the slowdown now.
    slowdown: float = 1.0
    reduction: float = 0.0
    is_exhausted: bool = False
    changed_s: float = float("-inf")
    high_since_s: float | None = None
    low_since_s: float | None = None
    paused_until_by_class: dict[str, float] = field(default_factory=dict)


class Relief:
    """Steps by worker, and the eviction budget of one shard."""

    def __init__(self, interference: Interference, now_s: float) -> None:
        self._interference = interference
        self._by_worker: dict[str, _WorkerRelief] = {}
        self._saved_evictions = 1.0
        self._refilled_s = now_s

    def paused_classes(self, worker_id: str, now_s: float) -> frozenset[str]:
        """Return the classes that stay off a worker now."""
        state = self._by_worker.get(worker_id)
        if state is None:
            return frozenset()
        paused = state.paused_until_by_class.items()
        return frozenset(name for name, until_s in paused if until_s > now_s)

    def relieve(
        self, worker_id: str, neighbours: Iterable[Neighbour], now_s: float
    ) -> ReliefOrders:
        """Take one report of a worker in, and return what its runs should be limited to."""
        neighbours = tuple(neighbours)
        services = [item for item in neighbours if item.is_service]
        batch = [item for item in neighbours if not item.is_service]
        if not services or not batch:
            self._by_worker.pop(worker_id, None)
            return ReliefOrders({item.key: 100 for item in batch}, ())
        state = self._by_worker.setdefault(worker_id, _WorkerRelief())
        worst = max(item.slowdown for item in services)
        state.slowdown += SMOOTHING * (worst - state.slowdown)
        self._change_reduction(state, now_s)
        evictions = self._evict(state, services, batch, now_s)
        return ReliefOrders(self._throttle(state, services, batch), evictions)

    def _change_reduction(self, state: _WorkerRelief, now_s: float) -> None:
        if state.slowdown > HIGH_SLOWDOWN:
            state.low_since_s = None
            state.high_since_s = now_s if state.high_since_s is None else state.high_since_s
            if now_s - state.changed_s >= STEP_S:
                state.reduction += state.slowdown - TARGET_SLOWDOWN
                state.changed_s = now_s
            return
        state.high_since_s = None
        if state.slowdown > LOW_SLOWDOWN:
            state.low_since_s = None
            return
        state.low_since_s = now_s if state.low_since_s is None else state.low_since_s
        if now_s - max(state.low_since_s, state.changed_s) >= LIFT_S:
            state.reduction *= LIFT_FACTOR
            if state.reduction < LEAST_REDUCTION:
                state.reduction = 0.0
            state.changed_s = now_s

    def _throttle(
        self, state: _WorkerRelief, services: list[Neighbour], batch: list[Neighbour]
    ) -> dict[object, int]:
        """Throttle as few runs as are expected to give the wanted reduction, worst first."""
        percent_by_key = {item.key: 100 for item in batch}
        reduced = 0.0
        blamed = sorted(batch, key=lambda item: (-self._blame(services, item), item.started_s))
        for item in blamed:
            if reduced >= state.reduction:
                break
            percent_by_key[item.key] = THROTTLE_PERCENT
            reduced += self._blame(services, item) * (1 - THROTTLE_PERCENT / 100)
        state.is_exhausted = reduced < state.reduction
        return percent_by_key

    def _evict(
        self,
        state: _WorkerRelief,
        services: list[Neighbour],
        batch: list[Neighbour],
        now_s: float,
    ) -> tuple[object, ...]:
        if not state.is_exhausted or state.high_since_s is None:
            return ()
        if now_s - state.high_since_s < EVICT_AFTER_S:
            return ()
        evictable = [item for item in batch if not item.is_standing and item.is_checkpointable]
        if not evictable or not self._spend(now_s):
            return ()
        worst = max(evictable, key=lambda item: (self._blame(services, item), item.started_s))
        state.paused_until_by_class[worst.class_name] = now_s + PAUSE_S
        # What was evicted no longer has to be throttled, and its effect is waited for.
        state.reduction = max(0.0, state.reduction - self._blame(services, worst))
        state.high_since_s = now_s
        return (worst.key,)

    def _spend(self, now_s: float) -> bool:
        earned = (now_s - self._refilled_s) / EVICTION_EVERY_S
        self._saved_evictions = min(MAX_EVICTIONS_SAVED, self._saved_evictions + earned)
        self._refilled_s = now_s
        if self._saved_evictions < 1.0:
            return False
        self._saved_evictions -= 1.0
        return True

    def _blame(self, services: list[Neighbour], item: Neighbour) -> float:
        return max(
            self._interference.coefficient(service.class_name, item.class_name) * item.share
            for service in services
        )

"""Baseline policies for placement, relief of overloaded workers and quarantine."""

from collections.abc import Iterable
from random import Random

from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.placement import CandidateIndex
from laburnumswitch.process.placing.placement import CandidateWorker
from laburnumswitch.process.placing.placement import choose_worker
from laburnumswitch.process.placing.policy import PolicySet
from laburnumswitch.process.placing.quarantine import Quarantine
from laburnumswitch.process.placing.relief import ColocatedRun
from laburnumswitch.process.placing.relief import Relief
from laburnumswitch.process.placing.relief import ReliefOrders
from laburnumswitch.process.workers.task_spec import TaskSpec

HIGH_SLOWDOWN = 1.25
NO_INTERFERENCE = Interference()


def choose_first_fit(
    index: CandidateIndex,
    work: TaskSpec,
    interference: Interference,
    random: Random,
    avoid: frozenset[str] = frozenset(),
) -> CandidateWorker | None:
    """Return the lowest-numbered worker on which the task fits, whatever the interference.

    Replicas of services are spread as by the product's policy, so that both policies are compared
    under the same exposure to interference.
    """
    if work.service:
        return choose_worker(index, work, NO_INTERFERENCE, random, avoid)
    for number in sorted(index.candidate_by_number):
        candidate = index.candidate_by_number[number]
        if candidate.worker_id not in avoid and work.size.fits(candidate.free):
            return candidate
    return None


class NoRelief(Relief):
    """Never throttles or evicts a run."""

    def relieve(self, worker_id: str, runs: Iterable[ColocatedRun], now_s: float) -> ReliefOrders:
        """Return no orders."""
        return ReliefOrders({}, ())


class ImmediateEviction(Relief):
    """Evicts a batch run on every report of a slow service, without throttling, wait or budget."""

    def relieve(self, worker_id: str, runs: Iterable[ColocatedRun], now_s: float) -> ReliefOrders:
        """Return the eviction of the newest batch run next to a slow service."""
        runs = tuple(runs)
        has_slow_service = any(item.is_service and item.slowdown > HIGH_SLOWDOWN for item in runs)
        batch_runs = [item for item in runs if not item.is_service and not item.is_standing]
        if not has_slow_service or not batch_runs:
            return ReliefOrders({}, ())
        return ReliefOrders({}, (max(batch_runs, key=lambda item: item.started_s).key,))


class NoQuarantine(Quarantine):
    """Never quarantines a worker."""

    def record_failure(self, worker_id: str, job_key: str, now_s: float) -> bool:
        """Return that the worker is not quarantined."""
        return False


FIRST_FIT = PolicySet(worker_chooser=choose_first_fit, make_relief=NoRelief)
IMMEDIATE_EVICTION = PolicySet(make_relief=ImmediateEviction)
NO_RELIEF = PolicySet(make_relief=NoRelief)
NO_QUARANTINE = PolicySet(make_quarantine=NoQuarantine)

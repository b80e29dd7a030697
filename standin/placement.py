"""Baselines of placement, relief and quarantine behind the interfaces of the policies in force."""

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
    """Return the fitting room with the lowest number, blind to interference.

    Replicas of services are spread as in the policy in force, so that both have the same exposure.
    """
    if work.service:
        return choose_worker(index, work, NO_INTERFERENCE, random, avoid)
    for number in sorted(index.candidate_by_number):
        room = index.candidate_by_number[number]
        if room.worker_id not in avoid and work.size.fits(room.free):
            return room
    return None


class NoRelief(Relief):
    """Relieves nothing."""

    def relieve(self, worker_id: str, runs: Iterable[ColocatedRun], now_s: float) -> ReliefOrders:
        """Return no orders."""
        return ReliefOrders({}, ())


class ReliefAtOnce(Relief):
    """Evicts a batch run on every report of a slow service, without throttle, wait or budget."""

    def relieve(self, worker_id: str, runs: Iterable[ColocatedRun], now_s: float) -> ReliefOrders:
        """Return the eviction of the newest batch run beside a slow service."""
        runs = tuple(runs)
        slow = any(item.is_service and item.slowdown > HIGH_SLOWDOWN for item in runs)
        batch = [item for item in runs if not item.is_service and not item.is_standing]
        if not slow or not batch:
            return ReliefOrders({}, ())
        return ReliefOrders({}, (max(batch, key=lambda item: item.started_s).key,))


class NoQuarantine(Quarantine):
    """Blames no worker."""

    def record_failure(self, worker_id: str, job: str, now_s: float) -> bool:
        """Return that the worker is not to blame."""
        return False


FIRST_FIT_BLIND = PolicySet(worker_chooser=choose_first_fit, make_relief=NoRelief)
RELIEF_AT_ONCE = PolicySet(make_relief=ReliefAtOnce)
NO_RELIEF = PolicySet(make_relief=NoRelief)
NO_QUARANTINE = PolicySet(make_quarantine=NoQuarantine)

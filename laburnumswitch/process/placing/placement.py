"""Choice of the worker for a task of a shard, in the entry daemon.

The dispatch daemon places its tasks with ``process.dispatch.placing``.

Workers that accept work are indexed by free CPU. A decision scores a bounded number of candidates:
the best fits, and some at random so that work spreads and interference is learned for many pairs.
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

BEST_FIT_CANDIDATES = 8
RANDOM_CANDIDATES = 8
# If at most this many workers have enough CPU, all of them are candidates.
FULL_SCAN_LIMIT = 24
# Batch tasks are placed beside a service only if it is expected to stay within this slowdown.
MAX_SERVICE_SLOWDOWN = 1.2
# Weights of the terms of a score; the candidate with the lowest score is chosen.
FIT_WEIGHT = 1.0
SLOWDOWN_WEIGHT = 3.0
BATCH_SLOWDOWN_WEIGHT = 0.5
# Replicas of the same service that the zone, the rack or the worker already has.
REPLICAS_IN_ZONE_WEIGHT = 2.0
REPLICAS_IN_RACK_WEIGHT = 0.7
REPLICAS_ON_WORKER_WEIGHT = 0.7
ACCELERATOR_WEIGHT = 0.6


class CandidateWorker(Struct):
    """A worker that may get work, with its free capacity after the starts planned so far.

    :ivar cpu_millis_by_class: CPU allocated to each class on the worker.
    :ivar replicas_by_service: number of replicas of each service on the worker.
    :ivar reserved_for: id of the only job whose batch tasks are accepted, empty if all are.
    :ivar paused_classes: classes whose batch tasks are not accepted, because one of their runs was
        evicted from the worker recently.
    :ivar single_task: whether the worker takes only one task at a time.
    """

    number: int
    worker_id: str
    availability_zone: str
    rack: str
    capacity: Size
    free: Size
    cpu_millis_by_class: dict[str, int] = field(default_factory=dict)
    replicas_by_service: dict[str, int] = field(default_factory=dict)
    reserved_for: str = ""
    paused_classes: frozenset[str] = frozenset()
    single_task: bool = False


def _accept_all(candidate: CandidateWorker) -> bool:
    return True


class CandidateIndex:
    """Candidate workers by number, ordered by free CPU."""

    def __init__(self) -> None:
        self.candidate_by_number: dict[int, CandidateWorker] = {}
        self.replicas_by_zone: Counter[tuple[str, str]] = Counter()
        self.replicas_by_rack: Counter[tuple[str, str]] = Counter()
        self._ordered_by_cpu: list[tuple[int, int]] = []

    def put(self, candidate: CandidateWorker) -> None:
        """Add or replace a candidate."""
        self.remove(candidate.number)
        self.candidate_by_number[candidate.number] = candidate
        insort(self._ordered_by_cpu, (candidate.free.cpu_millis, candidate.number))
        self._count_replicas(candidate, 1)

    def remove(self, number: int) -> None:
        """Remove a candidate if it is present."""
        candidate = self.candidate_by_number.pop(number, None)
        if candidate is None:
            return
        self._remove_from_order(candidate)
        self._count_replicas(candidate, -1)

    def assign(self, number: int, task_spec: TaskSpec) -> None:
        """Assign one task of ``task_spec`` to a worker."""
        candidate = self.candidate_by_number[number]
        self._remove_from_order(candidate)
        candidate.free = candidate.free.minus(task_spec.size)
        insort(self._ordered_by_cpu, (candidate.free.cpu_millis, number))
        millis = candidate.cpu_millis_by_class.get(task_spec.name, 0)
        candidate.cpu_millis_by_class[task_spec.name] = millis + task_spec.size.cpu_millis
        if task_spec.service:
            candidate.replicas_by_service[task_spec.service] = (
                candidate.replicas_by_service.get(task_spec.service, 0) + 1
            )
            self.replicas_by_zone[task_spec.service, candidate.availability_zone] += 1
            self.replicas_by_rack[task_spec.service, candidate.rack] += 1

    def candidates(
        self,
        task_spec: TaskSpec,
        avoid: frozenset[str],
        random: Random,
        accepts: Callable[[CandidateWorker], bool] = _accept_all,
    ) -> list[CandidateWorker]:
        """Return a bounded number of candidates that fit and are accepted.

        The result is empty only if there is no such candidate.
        """
        start = bisect_left(self._ordered_by_cpu, (task_spec.size.cpu_millis, -1))
        count = len(self._ordered_by_cpu) - start
        if count <= FULL_SCAN_LIMIT:
            return self._fitting(task_spec, avoid, accepts, range(start, start + count), count)
        best_fit = self._fitting(
            task_spec, avoid, accepts, range(start, start + count), BEST_FIT_CANDIDATES
        )
        positions = [start + int(random.random() * count) for _ in range(RANDOM_CANDIDATES)]
        others = self._fitting(task_spec, avoid, accepts, positions, RANDOM_CANDIDATES)
        return best_fit + [candidate for candidate in others if candidate not in best_fit]

    def largest_free(self) -> Size:
        """Return the free size of the candidate with the most free CPU."""
        if not self._ordered_by_cpu:
            return Size(0, 0, 0)
        return self.candidate_by_number[self._ordered_by_cpu[-1][1]].free

    def total_free(self) -> Size:
        """Return the sum of the free sizes of all candidates."""
        total = Size(0, 0, 0)
        for candidate in self.candidate_by_number.values():
            total = total.plus(candidate.free)
        return total

    def has_capacity(self, size: Size) -> bool:
        """Return whether some candidate has ``size`` free, regardless of its restrictions."""
        start = bisect_left(self._ordered_by_cpu, (size.cpu_millis, -1))
        candidates = (
            self.candidate_by_number[number] for _, number in self._ordered_by_cpu[start:]
        )
        return any(size.fits(candidate.free) for candidate in candidates)

    def _fitting(
        self,
        task_spec: TaskSpec,
        avoid: frozenset[str],
        accepts: Callable[[CandidateWorker], bool],
        positions: Iterable[int],
        limit: int,
    ) -> list[CandidateWorker]:
        found: list[CandidateWorker] = []
        for position in positions:
            candidate = self.candidate_by_number[self._ordered_by_cpu[position][1]]
            if (
                candidate.worker_id in avoid
                or not fits(task_spec, candidate)
                or not accepts(candidate)
            ):
                continue
            found.append(candidate)
            if len(found) >= limit:
                break
        return found

    def _remove_from_order(self, candidate: CandidateWorker) -> None:
        del self._ordered_by_cpu[
            bisect_left(self._ordered_by_cpu, (candidate.free.cpu_millis, candidate.number))
        ]

    def _count_replicas(self, candidate: CandidateWorker, sign: int) -> None:
        for service, count in candidate.replicas_by_service.items():
            self.replicas_by_zone[service, candidate.availability_zone] += sign * count
            self.replicas_by_rack[service, candidate.rack] += sign * count


def fits(task_spec: TaskSpec, candidate: CandidateWorker) -> bool:
    """Return whether a task fits by size and is allowed by the candidate's restrictions."""
    if not task_spec.size.fits(candidate.free) or (
        candidate.single_task and candidate.cpu_millis_by_class
    ):
        return False
    if task_spec.service:
        return True
    if task_spec.name in candidate.paused_classes:
        return False
    return candidate.reserved_for in ("", task_spec.job_id)


def choose_worker(
    index: CandidateIndex,
    task_spec: TaskSpec,
    interference: Interference,
    random: Random,
    avoid: frozenset[str] = frozenset(),
) -> CandidateWorker | None:
    """Return the best worker for one task, or ``None`` if none fits.

    :param avoid: ids of workers on which this task must not run.
    """
    if task_spec.service:
        candidates = index.candidates(task_spec, avoid, random)
        return min(
            candidates,
            key=lambda candidate: _score_service(index, task_spec, candidate, interference),
            default=None,
        )
    candidates = index.candidates(
        task_spec,
        avoid,
        random,
        lambda candidate: _keeps_service_headroom(task_spec, candidate, interference),
    )
    return min(
        candidates,
        key=lambda candidate: _score_batch(task_spec, candidate, interference),
        default=None,
    )


def _keeps_service_headroom(
    task_spec: TaskSpec, candidate: CandidateWorker, interference: Interference
) -> bool:
    """Return whether every service on the worker is expected to stay within its slowdown limit.

    This keeps CPU free beside services: the less a class interferes with them, the more of it may
    be placed there.
    """
    if not candidate.replicas_by_service:
        return True
    coefficient = interference.coefficient
    limit = (MAX_SERVICE_SLOWDOWN - 1.0) * max(1, candidate.capacity.cpu_millis)
    for service in candidate.replicas_by_service:
        slowdown = coefficient(service, task_spec.name) * task_spec.size.cpu_millis
        for name, millis in candidate.cpu_millis_by_class.items():
            if name != service:
                slowdown += coefficient(service, name) * millis
        if slowdown > limit:
            return False
    return True


def _score_batch(
    task_spec: TaskSpec, candidate: CandidateWorker, interference: Interference
) -> float:
    share = task_spec.size.cpu_millis / max(1, candidate.capacity.cpu_millis)
    added = 0.0
    for service in candidate.replicas_by_service:
        added += interference.coefficient(service, task_spec.name) * share
    score = FIT_WEIGHT * _remaining_share(task_spec.size, candidate) + SLOWDOWN_WEIGHT * added
    score += BATCH_SLOWDOWN_WEIGHT * _mutual_slowdown(task_spec, candidate, interference)
    # Free accelerators are kept for tasks that need them.
    if not task_spec.size.accelerators and candidate.free.accelerators:
        score += ACCELERATOR_WEIGHT
    return score


def _score_service(
    index: CandidateIndex,
    task_spec: TaskSpec,
    candidate: CandidateWorker,
    interference: Interference,
) -> float:
    service = task_spec.service
    score = SLOWDOWN_WEIGHT * _own_slowdown(task_spec, candidate, interference)
    score += REPLICAS_IN_ZONE_WEIGHT * index.replicas_by_zone[service, candidate.availability_zone]
    score += REPLICAS_IN_RACK_WEIGHT * index.replicas_by_rack[service, candidate.rack]
    score += REPLICAS_ON_WORKER_WEIGHT * candidate.replicas_by_service.get(service, 0)
    # The fit matters less for replicas than for batch tasks.
    return score + 0.2 * FIT_WEIGHT * _remaining_share(task_spec.size, candidate)


def _own_slowdown(
    task_spec: TaskSpec, candidate: CandidateWorker, interference: Interference
) -> float:
    total = max(1, candidate.capacity.cpu_millis)
    slowdown = 0.0
    for name, millis in candidate.cpu_millis_by_class.items():
        slowdown += interference.coefficient(task_spec.name, name) * millis / total
    return slowdown


def _mutual_slowdown(
    task_spec: TaskSpec, candidate: CandidateWorker, interference: Interference
) -> float:
    """Return the slowdown of the task plus the slowdown it causes, weighted by CPU share."""
    coefficient = interference.coefficient
    class_name = task_spec.name
    slowdown = 0.0
    for name, millis in candidate.cpu_millis_by_class.items():
        slowdown += (coefficient(class_name, name) + coefficient(name, class_name)) * millis
    return slowdown / max(1, candidate.capacity.cpu_millis)


def _remaining_share(size: Size, candidate: CandidateWorker) -> float:
    cpu = (candidate.free.cpu_millis - size.cpu_millis) / max(1, candidate.capacity.cpu_millis)
    memory = (candidate.free.memory_mb - size.memory_mb) / max(1, candidate.capacity.memory_mb)
    return 0.5 * (cpu + memory)

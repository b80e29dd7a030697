"""Cost functions that rank workers for a task of the dispatch daemon.

The utilisation of a serving task is modelled in ``tails``. The package ``process.placing`` holds
the placement of the other daemon, in ``entry.py``.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from heapq import heapify
from heapq import heappop
from heapq import heappush
from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import TailPrediction
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.tails import exceedance_probability
from laburnumswitch.process.dispatch.tails import TailLatencyModel
from laburnumswitch.process.dispatch.throttling import MIN_INTERFERENCE
from laburnumswitch.process.dispatch.throttling import NEGLIGIBLE_COEFFICIENT
from laburnumswitch.process.dispatch.throttling import UTILISATION_LIMIT

# How much a best-effort task may raise the expected number of serving tasks over their targets.
# Beyond this, the interference costs more than the task is worth.
INTERFERENCE_LIMIT = 0.4
# Cost if a best-effort task has to share all of its processors; one serving task over its target
# costs 1.
CPU_SHARING_WEIGHT = 0.3
# Cost if a task would be throttled to a standstill, or would cause as much throttling of others.
# It is twice the interference limit, so that a task waits if it would run at less than half of its
# speed.
THROTTLING_WEIGHT = 0.8
# Cost for a serving task if its neighbours are sensitive to entirely different best-effort images.
DISSIMILARITY_WEIGHT = 0.5
# Extra cost of an empty worker over a full one, so that fuller workers win ties.
PACKING_WEIGHT = 0.2
# A serving task that has been over its target for this long, in seconds, gets no new neighbour that
# may interfere with it.
PERSISTENTLY_OVER_S = 1.0
# Largest number of workers that are ranked for one best-effort step.
MAX_RANKED_WORKERS = 160
# Cost of a worker outside the rack of the data, where a task takes several times as long.
REMOTE_DATA_PENALTY = 10.0


class Choice(NamedTuple):
    """A worker and its cost; lower is better.

    :ivar own_cost: the cost for the task itself and its neighbours, without ``REMOTE_DATA_PENALTY``
        and the price of the worker.
    """

    worker: Worker
    cost: float
    own_cost: float


class PlacementContext(NamedTuple):
    """Inputs of the cost functions besides the step and the worker.

    :ivar price_by_worker_id: see ``opportunity``; workers that are missing cost nothing.
    """

    model: TailLatencyModel
    best_effort_images: tuple[str, ...]
    price_by_worker_id: Mapping[str, float] = {}


CostFunction = Callable[[Step, Worker, PlacementContext], float]


class Ranking:
    """Priority queue of the workers with room for a step, ordered by cost.

    After a task has been placed, ``requeue_best`` updates the cost of its worker.
    """

    def __init__(self, step: Step, workers: Iterable[Worker], context: PlacementContext) -> None:
        self._step = step
        self._context = context
        self._cost_of = cost_function(step)
        self._heap: list[tuple[float, int, Worker]] = []
        for number, worker in enumerate(workers):
            if worker.fits(step):
                self._heap.append((self._cost(worker), number, worker))
        heapify(self._heap)

    def best(self) -> Choice | None:
        """Return the cheapest worker, or ``None`` if no worker has room."""
        if not self._heap:
            return None
        cost, _, worker = self._heap[0]
        return Choice(worker, cost, cost - self._added_cost(worker))

    def requeue_best(self, may_be_reused: bool) -> None:
        """Put the cheapest worker back with its current cost, or remove it."""
        _, number, worker = heappop(self._heap)
        if may_be_reused and worker.fits(self._step):
            heappush(self._heap, (self._cost(worker), number, worker))

    def _cost(self, worker: Worker) -> float:
        return self._cost_of(self._step, worker, self._context) + self._added_cost(worker)

    def _added_cost(self, worker: Worker) -> float:
        cost = REMOTE_DATA_PENALTY if is_far_from_data(self._step, worker) else 0.0
        if self._step.best_effort:
            cost += self._context.price_by_worker_id.get(worker.worker_id, 0.0)
        return cost


def is_far_from_data(step: Step, worker: Worker) -> bool:
    """Return whether a worker is outside the rack of a step's data."""
    return bool(step.data_rack) and worker.listing.rack != step.data_rack


def workers_to_rank(step: Step, workers: list[Worker], first: int) -> list[Worker]:
    """Return the workers to rank for a best-effort step.

    On large fleets these are a part of the workers and those in the rack of the step's data:
    ranking takes as long as the fleet is large, and a part holds enough suitable workers.

    :param first: where the part begins, so that steps are spread over all workers.
    """
    if len(workers) <= MAX_RANKED_WORKERS:
        return workers
    start = first % len(workers)
    chosen = (workers[start:] + workers[:start])[:MAX_RANKED_WORKERS]
    if step.data_rack:
        chosen_ids = {worker.worker_id for worker in chosen}
        chosen += [
            worker
            for worker in workers
            if worker.listing.rack == step.data_rack and worker.worker_id not in chosen_ids
        ]
    return chosen


def cost_function(step: Step) -> CostFunction:
    """Return the cost function for a step."""
    if step.best_effort:
        return best_effort_cost
    if step.tail_target_ms > 0:
        return serving_cost
    return packing_cost


def packing_cost(step: Step, worker: Worker, context: PlacementContext) -> float:
    """Return a cost that is lower for fuller workers.

    Urgent tasks may be small or large. Best fit for the small ones keeps whole workers free for the
    large ones.
    """
    return PACKING_WEIGHT * (1.0 - worker.cpu_share(worker.used_cpu_millis))


def serving_cost(step: Step, worker: Worker, context: PlacementContext) -> float:
    """Return a cost that is lower beside serving tasks sensitive to the same best-effort images.

    This handles the case that serving tasks of several images arrive before the best-effort work.
    If the serving tasks on a worker are sensitive to the same images, nearly every best-effort
    image finds workers on which it does not interfere.
    """
    model = context.model
    neighbours = worker.serving_runs()
    total_dissimilarity = sum(
        1.0 - model.similarity(step.image, run.step.image, context.best_effort_images)
        for run in neighbours
    )
    # An empty worker ranks between one with similar and one with dissimilar neighbours.
    dissimilarity = total_dissimilarity / len(neighbours) if neighbours else 0.5
    share_by_image = best_effort_shares(worker)
    interference = exceedance_probability(model.predict(None, step.image, share_by_image))
    return DISSIMILARITY_WEIGHT * dissimilarity + interference + packing_cost(step, worker, context)


def best_effort_cost(step: Step, worker: Worker, context: PlacementContext) -> float:
    """Return the expected interference with serving neighbours plus the loss of speed.

    This handles the case that best-effort work arrives in waves while serving tasks reserve most
    processors. On a worker whose best-effort runs are throttled already, a new task would cause no
    interference, but it would be throttled to a standstill or slow down the runs that are there.
    """
    model = context.model
    share = worker.cpu_share(step.cpu_millis)
    interference = throttling = 0.0
    for prediction in predict_tails(worker, model):
        increase = model.coefficient(prediction.image, step.image) * share
        if increase > MIN_INTERFERENCE:
            interference += (
                exceedance_probability(prediction.utilisation + increase) - prediction.exceedance
            )
            excess = min(
                increase,
                prediction.unthrottled_utilisation + increase - UTILISATION_LIMIT,
            )
            # Share of its speed that throttling would take from the new task, or from a run that
            # raises the tail latency more, since such a run is throttled first.
            throttling = max(throttling, excess / max(increase, prediction.max_increase))
        if prediction.is_persistently_over:
            upper_bound = model.coefficient_upper_bound(prediction.image, step.image)
            if upper_bound > NEGLIGIBLE_COEFFICIENT:
                interference += 1.0
    missing_cpu_millis = step.cpu_millis - worker.idle_cpu_millis()
    cpu_sharing = max(0.0, missing_cpu_millis / step.cpu_millis) if step.cpu_millis else 0.0
    return interference + THROTTLING_WEIGHT * throttling + CPU_SHARING_WEIGHT * cpu_sharing


def predict_tails(worker: Worker, model: TailLatencyModel) -> list[TailPrediction]:
    """Return the predicted tail latencies of a worker's serving runs, cached on the worker."""
    if worker.tail_predictions is None:
        current = best_effort_shares(worker)
        unthrottled = best_effort_shares(worker, unthrottled=True)
        effects_by_image: dict[str, _Effects] = {}
        worker.tail_predictions = []
        for run in worker.serving_runs():
            image = run.step.image
            effects = effects_by_image.get(image)
            if effects is None:
                effects = effects_by_image[image] = _Effects(
                    model.interference(image, current),
                    model.interference(image, unthrottled),
                    _largest_effect(image, worker, model),
                )
            load = model.load(run.task)
            worker.tail_predictions.append(
                TailPrediction(
                    image,
                    load + effects.current,
                    exceedance_probability(load + effects.current),
                    load + effects.unthrottled,
                    effects.largest,
                    worker.last_sample_s - run.last_under_target_s > PERSISTENTLY_OVER_S,
                )
            )
    return worker.tail_predictions


class _Effects(NamedTuple):
    """Increases of a serving image's utilisation by the best-effort runs beside it.

    :ivar unthrottled: by all of them, if none were throttled.
    :ivar largest: largest contribution of a single one to ``unthrottled``.
    """

    current: float
    unthrottled: float
    largest: float


def _largest_effect(serving_image: str, worker: Worker, model: TailLatencyModel) -> float:
    largest = max(
        (
            model.coefficient(serving_image, run.step.image) * run.step.cpu_millis
            for run in worker.best_effort_runs()
        ),
        default=0.0,
    )
    return worker.cpu_share(largest)


def best_effort_shares(worker: Worker, unthrottled: bool = False) -> dict[str, float]:
    """Return the share of a worker's processors that each best-effort image may use.

    :param unthrottled: whether to count the runs at full speed instead of their current limit.
    """
    share_by_image: dict[str, float] = {}
    for run in worker.best_effort_runs():
        speed = 1.0 if unthrottled else run.speed_percent / 100.0
        share = worker.cpu_share(run.step.cpu_millis * speed)
        share_by_image[run.step.image] = share_by_image.get(run.step.image, 0.0) + share
    return share_by_image

"""Where a waiting task goes. Each chooser is a plain function over the workers' present state."""

from collections.abc import Callable
from collections.abc import Iterable
from heapq import heapify
from heapq import heappop
from heapq import heappush
from math import log
from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import Outlook
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.tails import over_probability
from laburnumswitch.process.dispatch.tails import TailModel
from laburnumswitch.process.dispatch.throttling import HARMLESS_COEFFICIENT
from laburnumswitch.process.dispatch.throttling import LEAST_HARM
from laburnumswitch.process.dispatch.throttling import TARGET_SHARE
from laburnumswitch.process.dispatch.work import Step

# A filling task may raise the expected number of serving tasks over target by this much: above it,
# what it disturbs is worth more than what it earns.
HARM_LIMIT = 0.4
# Weight of a processor that a filling task has to share, against one serving task over target.
CROWDING_WEIGHT = 0.3
# Weight of a task that would have to be throttled to a stand, or throttle others as much: twice the
# limit of harm, so that a task waits where it would get less than half of its speed.
THROTTLED_WEIGHT = 0.8
# Weight of serving neighbours that are hurt by other filling images than the new one.
DISSIMILARITY_WEIGHT = 0.5
# Weight of a full worker against an empty one, so that ties are packed tightly.
PACKING_WEIGHT = 0.2
# A serving task that has been over its target for so long, in seconds, gets no new neighbour that
# may hurt it.
STAYS_OVER_S = 1.0
# Penalty of a worker away from the rack of the data: the task takes several times as long.
FAR_PENALTY = 10.0


class Choice(NamedTuple):
    """A worker and the cost by which it was chosen, lower is better.

    :ivar cost_nearby: the cost without the penalty for being away from the data.
    """

    worker: Worker
    cost: float
    cost_nearby: float


class PlacementContext(NamedTuple):
    """What choosers know beside the workers."""

    model: TailModel
    filling_images: tuple[str, ...]


Cost = Callable[[Step, Worker, PlacementContext], float]


class Ranking:
    """Workers with room for a step, the cheapest first.

    A worker that was taken is offered again with its new cost.
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
        """Return the cheapest worker, ``None`` where no worker has room."""
        if not self._heap:
            return None
        cost, _, worker = self._heap[0]
        return Choice(worker, cost, cost - self._distance_cost(worker))

    def update_best(self, may_take_more: bool) -> None:
        """Offer the worker that was cheapest with its cost now, or not at all."""
        _, number, worker = heappop(self._heap)
        if may_take_more and worker.fits(self._step):
            heappush(self._heap, (self._cost(worker), number, worker))

    def _cost(self, worker: Worker) -> float:
        return self._cost_of(self._step, worker, self._context) + self._distance_cost(worker)

    def _distance_cost(self, worker: Worker) -> float:
        is_far = self._step.data_rack and worker.entry.rack != self._step.data_rack
        return FAR_PENALTY if is_far else 0.0


def cost_function(step: Step) -> Cost:
    """Return the cost by which workers for a step are compared."""
    if step.filling:
        return filling_cost
    if step.tail_target_ms > 0:
        return serving_cost
    return packing_cost


def packing_cost(step: Step, worker: Worker, context: PlacementContext) -> float:
    """Return a lower cost for fuller workers.

    Load pattern: short urgent tasks between wide ones. Best fit keeps whole workers free for them.
    """
    return PACKING_WEIGHT * (1.0 - worker.used_cpu_millis / worker.entry.cpu_millis)


def serving_cost(step: Step, worker: Worker, context: PlacementContext) -> float:
    """Return a lower cost beside serving tasks that are hurt by the same filling images.

    Load pattern: serving tasks of several images arrive before the filling work. Where neighbours
    are alike, nearly every filling image finds workers on which it harms nobody.
    """
    model = context.model
    neighbours = worker.serving_runs()
    unlike = sum(
        1.0 - model.similarity(step.image, run.step.image, context.filling_images)
        for run in neighbours
    )
    dissimilarity = unlike / len(neighbours) if neighbours else 0.5
    share_by_image = filling_shares(worker)
    harm = over_probability(model.expect(None, step.image, share_by_image))
    return DISSIMILARITY_WEIGHT * dissimilarity + harm + packing_cost(step, worker, context)


def filling_cost(step: Step, worker: Worker, context: PlacementContext) -> float:
    """Return the expected harm to serving neighbours, and what the task or others lose of speed.

    Load pattern: filling work arrives in waves beside serving tasks that reserve most processors.
    A worker whose filling runs are throttled already does no harm, but has no speed to give: what
    starts there either stands still or takes the place of those that wait.
    """
    model = context.model
    share = step.cpu_millis / worker.entry.cpu_millis
    harm = throttled = 0.0
    for view in outlook(worker, model):
        rise = model.coefficient(view.image, step.image) * share
        if rise > LEAST_HARM:
            harm += over_probability(view.expected + rise) - view.over
            excess = min(rise, view.unthrottled + rise - log(TARGET_SHARE))
            # The run that raises the tail most is throttled first.
            throttled = max(throttled, excess / max(rise, view.highest_rise))
        highest = model.highest_coefficient(view.image, step.image)
        if view.stays_over and highest > HARMLESS_COEFFICIENT:
            harm += 1.0
    lacking = step.cpu_millis - worker.idle_cpu_millis()
    crowding = max(0.0, lacking / step.cpu_millis) if step.cpu_millis else 0.0
    return harm + THROTTLED_WEIGHT * throttled + CROWDING_WEIGHT * crowding


def outlook(worker: Worker, model: TailModel) -> list[Outlook]:
    """Return the expected tails of a worker's serving runs, from its memory where it holds them."""
    if worker.outlook is None:
        now = filling_shares(worker)
        unthrottled = filling_shares(worker, unthrottled=True)
        worker.outlook = []
        for run in worker.serving_runs():
            expected = model.expect(run.task, run.step.image, now)
            worker.outlook.append(
                Outlook(
                    run.step.image,
                    expected,
                    over_probability(expected),
                    model.expect(run.task, run.step.image, unthrottled),
                    _highest_rise(run.step.image, worker, model),
                    worker.looked_s - run.under_s > STAYS_OVER_S,
                )
            )
    return worker.outlook


def _highest_rise(serving: str, worker: Worker, model: TailModel) -> float:
    return (
        max(
            (
                model.coefficient(serving, run.step.image) * run.step.cpu_millis
                for run in worker.filling_runs()
            ),
            default=0.0,
        )
        / worker.entry.cpu_millis
    )


def filling_shares(worker: Worker, unthrottled: bool = False) -> dict[str, float]:
    """Return the share of a worker's processors that each filling image takes, as reserved."""
    share_by_image: dict[str, float] = {}
    for run in worker.filling_runs():
        speed = 1.0 if unthrottled else run.throttle / 100.0
        share = run.step.cpu_millis * speed / worker.entry.cpu_millis
        share_by_image[run.step.image] = share_by_image.get(run.step.image, 0.0) + share
    return share_by_image

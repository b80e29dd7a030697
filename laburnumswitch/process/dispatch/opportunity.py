"""Prices of workers for best-effort work, by what else they could be used for.

This handles the case that the images of the best-effort work differ in where they may run: some
interfere with most serving tasks and find few workers, others interfere with none. Without prices
the latter take the workers that only they do not need.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from math import exp

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.tails import TailLatencyModel

# Cost of the most wanted worker over one that nobody else needs, see ``placing``.
PRICE_WEIGHT = 1.0
# The recent demand of an image decays by this share per second: jobs take about ten seconds.
DEMAND_DECAY_PER_S = 0.05


class Demand:
    """Recent demand for best-effort work, in core-seconds by image."""

    def __init__(self) -> None:
        self.work_by_image: dict[str, float] = {}
        self._updated_s = 0.0

    def add(self, image: str, work: float, now_s: float) -> None:
        """Add the work of a step that was submitted."""
        self._decay(now_s)
        self.work_by_image[image] = self.work_by_image.get(image, 0.0) + work

    def _decay(self, now_s: float) -> None:
        factor = exp(-DEMAND_DECAY_PER_S * max(0.0, now_s - self._updated_s))
        self._updated_s = now_s
        for image in self.work_by_image:
            self.work_by_image[image] *= factor


def worker_prices(
    workers: Iterable[Worker], work_by_image: Mapping[str, float], model: TailLatencyModel
) -> dict[str, float]:
    """Return the price of each worker, from 0 for the cheapest, by worker id.

    A worker is expensive if images with much demand fit there that fit on few others.
    """
    total = sum(work_by_image.values())
    workers = list(workers)
    if not total or not workers:
        return {}
    fits_by_worker_id = {
        worker.worker_id: _fits(worker, work_by_image, model) for worker in workers
    }
    weight_by_image = {
        image: work
        / total
        * (1.0 - sum(fits[image] for fits in fits_by_worker_id.values()) / len(workers))
        for image, work in work_by_image.items()
    }
    price_by_id = {
        worker_id: PRICE_WEIGHT * sum(weight_by_image[image] * fit for image, fit in fits.items())
        for worker_id, fits in fits_by_worker_id.items()
    }
    cheapest = min(price_by_id.values())
    return {worker_id: price - cheapest for worker_id, price in price_by_id.items()}


def _fits(worker: Worker, images: Iterable[str], model: TailLatencyModel) -> dict[str, float]:
    """Return how well each image fits on a worker, from 1 if it interferes with no task there."""
    serving_images = {run.step.image for run in worker.serving_runs()}
    return {
        image: exp(-max((model.coefficient(each, image) for each in serving_images), default=0.0))
        for image in images
    }

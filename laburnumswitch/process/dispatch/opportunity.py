"""Prices of workers for best-effort work, by what else they could be used for.

This handles the case that the images of the best-effort work differ in where they may run: some
interfere with most serving tasks and find few workers, others interfere with none. Without prices
the latter take the workers that only they do not need.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from math import exp
from operator import mul

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
    fits = _fits(workers, tuple(work_by_image), model)
    weights = [
        work / total * (1.0 - sum(fits_of_image) / len(workers))
        for work, fits_of_image in zip(work_by_image.values(), zip(*fits, strict=True), strict=True)
    ]
    price_by_id = {
        worker.worker_id: PRICE_WEIGHT * sum(map(mul, weights, fits_of_worker))
        for worker, fits_of_worker in zip(workers, fits, strict=True)
    }
    cheapest = min(price_by_id.values())
    return {worker_id: price - cheapest for worker_id, price in price_by_id.items()}


def _fits(
    workers: list[Worker], images: tuple[str, ...], model: TailLatencyModel
) -> list[list[float]]:
    """Return for each worker how well each image fits there.

    That is 1 if it interferes with no task there. Coefficients are looked up once for each pair of
    images, as a fleet has many more workers than images.
    """
    coefficients_by_serving_image: dict[str, list[float]] = {}
    no_interference = [0.0] * len(images)
    fits = []
    for worker in workers:
        rows = [no_interference]
        for serving_image in {run.step.image for run in worker.serving_runs()}:
            row = coefficients_by_serving_image.get(serving_image)
            if row is None:
                row = [model.coefficient(serving_image, image) for image in images]
                coefficients_by_serving_image[serving_image] = row
            rows.append(row)
        largest = map(max, *rows) if len(rows) > 1 else no_interference
        fits.append([exp(-coefficient) for coefficient in largest])
    return fits

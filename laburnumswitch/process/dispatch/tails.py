"""Learned effect of filling tasks on the tails of serving tasks beside them.

The logarithm of a tail over its target is a base, which belongs to the run and drifts with its
load, plus for each filling image a coefficient times the share of the worker's processors that the
image uses. Each unknown is a mean with a variance, and every look updates them by a Kalman filter
with a diagonal covariance. Coefficients belong to pairs of images, so that what one worker shows
serves all. The matrix is sparse: most filling images hurt few serving images.
"""

from collections.abc import Mapping
from math import erfc
from math import log
from math import sqrt
from typing import NamedTuple

from msgspec import Struct

# Before anything is known: a task of a tenth of a worker raises the tail by about a fifth.
PRIOR_COEFFICIENT = 2.0
PRIOR_COEFFICIENT_VARIANCE = 9.0
# Median of tails without filling work on both users' days, as a logarithm of tail over target.
PRIOR_BASE = -0.9
PRIOR_BASE_VARIANCE = 0.2
# Variance of one look, which averages half a second.
LOOK_VARIANCE = 0.1
# Drift from look to look: a run's load swings within some ten seconds.
BASE_DRIFT = 0.02
COEFFICIENT_DRIFT = 0.01
# Standard deviation of the tail around its expectation within the next second.
SPREAD = 0.35
LEAST_RATIO = 0.02
# How much a new run's base follows what its image's runs showed.
IMAGE_RATE = 0.05


class _Estimate(Struct):
    mean: float
    variance: float


class LearnedTails(NamedTuple):
    """Rows of serving image, filling image, coefficient and variance; and bases by image."""

    coefficients: list[tuple[str, str, float, float]]
    base_by_image: dict[str, float]


class TailModel:
    """Bases by run and coefficients by pair of images."""

    def __init__(self) -> None:
        self._coefficient_by_pair: dict[tuple[str, str], _Estimate] = {}
        self._base_by_run: dict[object, _Estimate] = {}
        self._base_by_image: dict[str, float] = {}

    def coefficient(self, serving: str, filling: str) -> float:
        """Return the expected rise of the logarithm beside a whole worker of ``filling``."""
        estimate = self._coefficient_by_pair.get((serving, filling))
        return max(0.0, estimate.mean) if estimate else PRIOR_COEFFICIENT

    def highest_coefficient(self, serving: str, filling: str) -> float:
        """Return what the coefficient is unlikely to exceed: its mean and one deviation more."""
        estimate = self._coefficient_by_pair.get((serving, filling))
        if estimate is None:
            return PRIOR_COEFFICIENT + sqrt(PRIOR_COEFFICIENT_VARIANCE)
        return max(0.0, estimate.mean + sqrt(estimate.variance))

    def base(self, run: object, serving: str) -> float:
        """Return the expected logarithm of tail over target of a run without filling work."""
        estimate = self._base_by_run.get(run)
        return estimate.mean if estimate else self._base_by_image.get(serving, PRIOR_BASE)

    def expect(self, run: object, serving: str, share_by_image: Mapping[str, float]) -> float:
        """Return the expected logarithm of tail over target.

        :param share_by_image: share of the worker's processors that each filling image uses.
        """
        harm = sum(
            self.coefficient(serving, image) * share for image, share in share_by_image.items()
        )
        return self.base(run, serving) + harm

    def observe(
        self, run: object, serving: str, ratio: float, share_by_image: Mapping[str, float]
    ) -> None:
        """Learn from one look.

        :param ratio: tail over target.
        """
        base = self._base_by_run.get(run)
        if base is None:
            image_base = self._base_by_image.get(serving, PRIOR_BASE)
            base = self._base_by_run[run] = _Estimate(image_base, PRIOR_BASE_VARIANCE)
        base.variance += BASE_DRIFT
        parts = [(base, 1.0)]
        for image, share in share_by_image.items():
            if share > 0.0:
                parts.append((self._estimate(serving, image), share))
        expected = sum(estimate.mean * weight for estimate, weight in parts)
        error = log(max(ratio, LEAST_RATIO)) - expected
        total = LOOK_VARIANCE + sum(
            estimate.variance * weight * weight for estimate, weight in parts
        )
        for estimate, weight in parts:
            gain = estimate.variance * weight / total
            estimate.mean += gain * error
            estimate.variance *= 1.0 - gain * weight
        known = self._base_by_image.get(serving, PRIOR_BASE)
        self._base_by_image[serving] = known + IMAGE_RATE * (base.mean - known)

    def forget_run(self, run: object) -> None:
        """Drop what is known of a run that has ended."""
        self._base_by_run.pop(run, None)

    def similarity(self, first: str, second: str, filling: tuple[str, ...]) -> float:
        """Return how alike two serving images are hurt, from 0 (or not known) to 1.

        :param filling: the filling images that are known.
        """
        if first == second:
            return 1.0
        pairs = [
            (self.coefficient(first, image), self.coefficient(second, image))
            for image in filling
            if (first, image) in self._coefficient_by_pair
            and (second, image) in self._coefficient_by_pair
        ]
        scale = sqrt(sum(x * x for x, _ in pairs) * sum(y * y for _, y in pairs))
        return sum(x * y for x, y in pairs) / scale if scale else 0.0

    def learned(self) -> LearnedTails:
        """Return what a later owner can use."""
        coefficients = [
            (serving, filling, round(estimate.mean, 2), round(estimate.variance, 2))
            for (serving, filling), estimate in self._coefficient_by_pair.items()
        ]
        bases = {image: round(base, 2) for image, base in self._base_by_image.items()}
        return LearnedTails(coefficients, bases)

    def restore(self, learned: LearnedTails) -> None:
        """Take over what an earlier owner learned."""
        for serving, filling, mean, variance in learned.coefficients:
            self._coefficient_by_pair[serving, filling] = _Estimate(mean, variance)
        self._base_by_image.update(learned.base_by_image)

    def _estimate(self, serving: str, filling: str) -> _Estimate:
        estimate = self._coefficient_by_pair.get((serving, filling))
        if estimate is None:
            estimate = _Estimate(PRIOR_COEFFICIENT, PRIOR_COEFFICIENT_VARIANCE)
            self._coefficient_by_pair[serving, filling] = estimate
        estimate.variance += COEFFICIENT_DRIFT
        return estimate


def over_probability(expected: float) -> float:
    """Return the probability that a tail exceeds its target.

    :param expected: expected logarithm of tail over target.
    """
    return 0.5 * erfc(-expected / (SPREAD * sqrt(2.0)))

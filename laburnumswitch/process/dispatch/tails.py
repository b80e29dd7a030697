"""Model of the effect of best-effort tasks on the tail latency of co-located serving tasks.

The model predicts a log ratio, the logarithm of a tail latency divided by its target. It is the sum
of a baseline, which belongs to the run and drifts with its load, and for each best-effort image a
coefficient times the share of the worker's processors that the image uses. Every unknown has a
mean and a variance; each sample updates them with a Kalman filter with diagonal covariance.
Coefficients are kept per pair of images, so that samples from one worker apply to all. The matrix
is sparse: most best-effort images affect few serving images.
"""

from collections.abc import Mapping
from math import erfc
from math import log
from math import sqrt
from typing import NamedTuple

from msgspec import Struct

# Prior mean of the coefficients: a best-effort task that uses a tenth of a worker's processors
# raises the tail latency by about a fifth.
PRIOR_COEFFICIENT = 2.0
# Prior variance of the coefficients.
PRIOR_COEFFICIENT_VARIANCE = 9.0
# Prior mean of the baselines: without best-effort work, the median of recorded tail latencies is
# about 0.4 times the target.
PRIOR_BASELINE = -0.9
# Prior variance of the baselines.
PRIOR_BASELINE_VARIANCE = 0.2
# Variance of one sample, which is an average over half a second.
SAMPLE_VARIANCE = 0.1
# Process noise: variance added to a baseline with each sample, since a run's load changes within
# about ten seconds.
BASELINE_DRIFT = 0.02
# Variance added to a coefficient with each sample that it explains.
COEFFICIENT_DRIFT = 0.01
# Standard deviation of the log ratio around its prediction within the next second.
TAIL_STD_DEV = 0.35
# Lower bound of an observed ratio, since its logarithm is taken.
MIN_RATIO = 0.02
# Weight of a new sample in the mean baseline of an image, with which new runs start.
IMAGE_BASELINE_WEIGHT = 0.05


class _Estimate(Struct):
    mean: float
    variance: float


class ModelParameters(NamedTuple):
    """Parameters that are stored for a later owner.

    :ivar coefficients: serving image, best-effort image, coefficient and its variance.
    :ivar baseline_by_image: mean baseline by serving image.
    """

    coefficients: list[tuple[str, str, float, float]]
    baseline_by_image: dict[str, float]


class TailLatencyModel:
    """Baselines by task and coefficients by pair of images.

    A task is given by its ``TaskKey``.
    """

    def __init__(self) -> None:
        self._coefficient_by_pair: dict[tuple[str, str], _Estimate] = {}
        self._baseline_by_task: dict[object, _Estimate] = {}
        self._baseline_by_image: dict[str, float] = {}

    def coefficient(self, serving_image: str, best_effort_image: str) -> float:
        """Return the expected log ratio increase if a best-effort image used all processors."""
        estimate = self._coefficient_by_pair.get((serving_image, best_effort_image))
        return max(0.0, estimate.mean) if estimate else PRIOR_COEFFICIENT

    def coefficient_upper_bound(self, serving_image: str, best_effort_image: str) -> float:
        """Return the mean of the coefficient plus one standard deviation."""
        estimate = self._coefficient_by_pair.get((serving_image, best_effort_image))
        if estimate is None:
            return PRIOR_COEFFICIENT + sqrt(PRIOR_COEFFICIENT_VARIANCE)
        return max(0.0, estimate.mean + sqrt(estimate.variance))

    def baseline(self, task: object, serving_image: str) -> float:
        """Return the expected log ratio of a task without best-effort work beside it."""
        estimate = self._baseline_by_task.get(task)
        return (
            estimate.mean
            if estimate
            else self._baseline_by_image.get(serving_image, PRIOR_BASELINE)
        )

    def predict(
        self, task: object, serving_image: str, share_by_image: Mapping[str, float]
    ) -> float:
        """Return the expected log ratio of a task.

        :param task: ``None`` for one that does not run yet.
        :param share_by_image: share of the worker's processors that each best-effort image uses.
        """
        interference = sum(
            self.coefficient(serving_image, image) * share
            for image, share in share_by_image.items()
        )
        return self.baseline(task, serving_image) + interference

    def observe(
        self, task: object, serving_image: str, ratio: float, share_by_image: Mapping[str, float]
    ) -> None:
        """Update the model from one sample.

        :param ratio: tail latency divided by its target.
        :param share_by_image: share of the worker's processors that each best-effort image uses.
        """
        baseline = self._baseline_by_task.get(task)
        if baseline is None:
            image_baseline = self._baseline_by_image.get(serving_image, PRIOR_BASELINE)
            baseline = self._baseline_by_task[task] = _Estimate(
                image_baseline, PRIOR_BASELINE_VARIANCE
            )
        baseline.variance += BASELINE_DRIFT
        terms = [(baseline, 1.0)]
        for image, share in share_by_image.items():
            if share > 0.0:
                terms.append((self._advance_coefficient(serving_image, image), share))
        expected = sum(estimate.mean * weight for estimate, weight in terms)
        error = log(max(ratio, MIN_RATIO)) - expected
        innovation_variance = SAMPLE_VARIANCE + sum(
            estimate.variance * weight * weight for estimate, weight in terms
        )
        for estimate, weight in terms:
            gain = estimate.variance * weight / innovation_variance
            estimate.mean += gain * error
            estimate.variance *= 1.0 - gain * weight
        known = self._baseline_by_image.get(serving_image, PRIOR_BASELINE)
        self._baseline_by_image[serving_image] = known + IMAGE_BASELINE_WEIGHT * (
            baseline.mean - known
        )

    def forget_task(self, task: object) -> None:
        """Forget the baseline of a task whose run has ended."""
        self._baseline_by_task.pop(task, None)

    def similarity(self, first: str, second: str, best_effort_images: tuple[str, ...]) -> float:
        """Return the cosine similarity of two serving images' coefficients, from 0 to 1.

        It is 0 if no coefficient is known for both images.

        :param best_effort_images: images over whose coefficients to compare.
        """
        if first == second:
            return 1.0
        pairs = [
            (self.coefficient(first, image), self.coefficient(second, image))
            for image in best_effort_images
            if (first, image) in self._coefficient_by_pair
            and (second, image) in self._coefficient_by_pair
        ]
        scale = sqrt(sum(x * x for x, _ in pairs) * sum(y * y for _, y in pairs))
        return sum(x * y for x, y in pairs) / scale if scale else 0.0

    def parameters(self) -> ModelParameters:
        """Return the learned parameters, for a later owner."""
        coefficients = [
            (serving_image, best_effort_image, round(estimate.mean, 2), round(estimate.variance, 2))
            for (serving_image, best_effort_image), estimate in self._coefficient_by_pair.items()
        ]
        baselines = {
            image: round(baseline, 2) for image, baseline in self._baseline_by_image.items()
        }
        return ModelParameters(coefficients, baselines)

    def load_parameters(self, parameters: ModelParameters) -> None:
        """Load the parameters that an earlier owner stored."""
        for serving_image, best_effort_image, mean, variance in parameters.coefficients:
            self._coefficient_by_pair[serving_image, best_effort_image] = _Estimate(mean, variance)
        self._baseline_by_image.update(parameters.baseline_by_image)

    def _advance_coefficient(self, serving_image: str, best_effort_image: str) -> _Estimate:
        estimate = self._coefficient_by_pair.get((serving_image, best_effort_image))
        if estimate is None:
            estimate = _Estimate(PRIOR_COEFFICIENT, PRIOR_COEFFICIENT_VARIANCE)
            self._coefficient_by_pair[serving_image, best_effort_image] = estimate
        estimate.variance += COEFFICIENT_DRIFT
        return estimate


def exceedance_probability(log_ratio: float) -> float:
    """Return the probability that a tail latency exceeds its target.

    :param log_ratio: expected logarithm of the tail latency divided by its target.
    """
    return 0.5 * erfc(-log_ratio / (TAIL_STD_DEV * sqrt(2.0)))

"""Model of the effect of best-effort tasks on the tail latency of co-located serving tasks.

A serving task is modelled as a queue: its tail latency is the idle tail latency divided by the
share of its capacity that is left. The model predicts the utilisation, the share of the capacity
that is in use. It is the sum of the load of the task's own callers, an offset of the run, and for
each best-effort image a coefficient times the share of the worker's processors that the image uses.
The tasks of one step share their load wherever they run, so those without best-effort neighbours
tell how much of a tail latency is due to the neighbours of the others.

Every unknown has a mean and a variance; each sample updates them with a Kalman filter with diagonal
covariance. Coefficients are kept per pair of images, so that samples from one worker apply to all.
The matrix is sparse: most best-effort images affect few serving images.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from math import erfc
from math import sqrt
from typing import NamedTuple

from msgspec import Struct

from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.step_state import StepKey

# Tail latency of an idle serving task, as a share of its target.
IDLE_RATIO = 0.2
# Utilisation at which the tail latency reaches its target.
TARGET_UTILISATION = 1.0 - IDLE_RATIO
# A tail latency of this multiple of its target, or more, shows only that the capacity is exhausted,
# not by how much.
SATURATED_RATIO = 4.0
# The queue that has built up meanwhile raises the samples for this long, in seconds.
SATURATION_RECOVERY_S = 1.6
# Prior mean and variance of the coefficients: they lie near 0.2 or near 2.
PRIOR_COEFFICIENT = 0.8
PRIOR_COEFFICIENT_VARIANCE = 1.0
# Variance added to a coefficient with each sample that it explains.
COEFFICIENT_DRIFT = 0.002
# Prior mean and variance of the load.
PRIOR_LOAD = 0.46
PRIOR_LOAD_VARIANCE = 0.04
# Variance that the load gains per second: callers' traffic swings within about ten seconds.
LOAD_DRIFT_PER_S = 0.004
# Largest change of the load by one sample. Loads change smoothly, so a larger error has another
# cause, such as a slow worker.
MAX_LOAD_STEP = 0.15
# Prior variance of the offset of a run, and the variance that it gains per sample.
PRIOR_OFFSET_VARIANCE = 0.0015
OFFSET_DRIFT = 0.0004
# Standard deviation of one sample of a tail latency, as a share of it; samples are averages over
# half a second.
SAMPLE_STD_DEV = 0.1
# Lower bound of the standard deviation of one sample of the utilisation.
MIN_SAMPLE_STD_DEV = 0.02
# Standard deviation of the utilisation around its prediction within the next second.
UTILISATION_STD_DEV = 0.08

# An error of more than this many standard deviations is neglected.
CERTAINTY_STD_DEVS = 4.0


class _Estimate(Struct):
    mean: float
    variance: float
    updated_s: float = 0.0


class _Offset(Struct):
    estimate: _Estimate
    saturated_s: float


class ModelParameters(NamedTuple):
    """Parameters that are stored for a later owner.

    :ivar coefficients: serving image, best-effort image, coefficient and its variance.
    """

    coefficients: list[tuple[str, str, float, float]]


class TailLatencyModel:
    """Loads by step, offsets by task and coefficients by pair of images."""

    def __init__(self) -> None:
        self._coefficient_by_pair: dict[tuple[str, str], _Estimate] = {}
        self._load_by_step: dict[StepKey, _Estimate] = {}
        self._offset_by_task: dict[TaskKey, _Offset] = {}

    def coefficient(self, serving_image: str, best_effort_image: str) -> float:
        """Return the expected increase of utilisation if an image used all processors."""
        estimate = self._coefficient_by_pair.get((serving_image, best_effort_image))
        return max(0.0, estimate.mean) if estimate else PRIOR_COEFFICIENT

    def coefficient_upper_bound(self, serving_image: str, best_effort_image: str) -> float:
        """Return the mean of the coefficient plus one standard deviation."""
        estimate = self._coefficient_by_pair.get((serving_image, best_effort_image))
        if estimate is None:
            return PRIOR_COEFFICIENT + sqrt(PRIOR_COEFFICIENT_VARIANCE)
        return max(0.0, estimate.mean + sqrt(estimate.variance))

    def load(self, task: TaskKey | None) -> float:
        """Return the expected utilisation of a task without best-effort work beside it.

        :param task: ``None`` for one that does not run yet.
        """
        if task is None:
            return PRIOR_LOAD
        load = self._load_by_step.get(task[:3])
        offset = self._offset_by_task.get(task)
        return (load.mean if load else PRIOR_LOAD) + (offset.estimate.mean if offset else 0.0)

    def predict(
        self, task: TaskKey | None, serving_image: str, share_by_image: Mapping[str, float]
    ) -> float:
        """Return the expected utilisation of a task.

        :param task: ``None`` for one that does not run yet.
        :param share_by_image: share of the worker's processors that each best-effort image uses.
        """
        return self.load(task) + self.interference(serving_image, share_by_image)

    def interference(self, serving_image: str, share_by_image: Mapping[str, float]) -> float:
        """Return the expected increase of utilisation by best-effort work on the same worker."""
        return sum(
            self.coefficient(serving_image, image) * share
            for image, share in share_by_image.items()
        )

    def observe(
        self,
        task: TaskKey,
        serving_image: str,
        ratio: float,
        share_by_image: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Update the model from one sample.

        :param ratio: tail latency divided by its target.
        :param share_by_image: share of the worker's processors that each best-effort image uses.
        """
        load = self._advance_load(task[:3], now_s)
        offset = self._advance_offset(task)
        terms = [(offset.estimate, 1.0)]
        increase = offset.estimate.mean
        variance = offset.estimate.variance
        for image, share in share_by_image.items():
            if share > 0.0:
                coefficient = self._advance_coefficient(serving_image, image)
                terms.append((coefficient, share))
                increase += coefficient.mean * share
                variance += coefficient.variance * share * share
        expected = load.mean + increase
        observed = utilisation(min(ratio, SATURATED_RATIO))
        if ratio >= SATURATED_RATIO:
            offset.saturated_s = now_s
            # A sample above the bound is at least that high.
            observed = max(observed, expected)
        elif now_s - offset.saturated_s < SATURATION_RECOVERY_S:
            observed = min(observed, expected)
        sample_variance = (SAMPLE_STD_DEV * (1.0 - observed)) ** 2 + MIN_SAMPLE_STD_DEV**2
        error = observed - expected
        innovation_variance = sample_variance + load.variance + variance
        for estimate, weight in terms:
            gain = estimate.variance * weight / innovation_variance
            estimate.mean += gain * error
            estimate.variance *= 1.0 - gain * weight
        load_gain = load.variance / innovation_variance
        load.mean += load_gain * max(-MAX_LOAD_STEP, min(MAX_LOAD_STEP, error))
        load.variance *= 1.0 - load_gain

    def forget_task(self, task: TaskKey) -> None:
        """Forget the offset of a task whose run has ended."""
        self._offset_by_task.pop(task, None)

    def forget_steps(self, steps: Iterable[StepKey]) -> None:
        """Forget the loads of the steps of a job that has ended."""
        for step in steps:
            self._load_by_step.pop(step, None)

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
        return ModelParameters(
            [
                (serving_image, best_effort_image, round(each.mean, 2), round(each.variance, 3))
                for (serving_image, best_effort_image), each in self._coefficient_by_pair.items()
            ]
        )

    def load_parameters(self, parameters: ModelParameters) -> None:
        """Load parameters, such as those that an earlier owner stored."""
        for serving_image, best_effort_image, mean, variance in parameters.coefficients:
            self._coefficient_by_pair[serving_image, best_effort_image] = _Estimate(mean, variance)

    def _advance_load(self, step: StepKey, now_s: float) -> _Estimate:
        load = self._load_by_step.get(step)
        if load is None:
            load = self._load_by_step[step] = _Estimate(PRIOR_LOAD, PRIOR_LOAD_VARIANCE, now_s)
        elapsed_s = max(0.0, now_s - load.updated_s)
        load.variance = min(PRIOR_LOAD_VARIANCE, load.variance + LOAD_DRIFT_PER_S * elapsed_s)
        load.updated_s = now_s
        return load

    def _advance_offset(self, task: TaskKey) -> _Offset:
        offset = self._offset_by_task.get(task)
        if offset is None:
            estimate = _Estimate(0.0, PRIOR_OFFSET_VARIANCE)
            offset = self._offset_by_task[task] = _Offset(estimate, float("-inf"))
        offset.estimate.variance += OFFSET_DRIFT
        return offset

    def _advance_coefficient(self, serving_image: str, best_effort_image: str) -> _Estimate:
        estimate = self._coefficient_by_pair.get((serving_image, best_effort_image))
        if estimate is None:
            estimate = _Estimate(PRIOR_COEFFICIENT, PRIOR_COEFFICIENT_VARIANCE)
            self._coefficient_by_pair[serving_image, best_effort_image] = estimate
        estimate.variance += COEFFICIENT_DRIFT
        return estimate


def utilisation(ratio: float) -> float:
    """Return the utilisation at which a tail latency is this multiple of its target."""
    return 1.0 - IDLE_RATIO / max(ratio, IDLE_RATIO)


def exceedance_probability(expected_utilisation: float) -> float:
    """Return the probability that a tail latency exceeds its target."""
    excess = expected_utilisation - TARGET_UTILISATION
    if excess < -CERTAINTY_STD_DEVS * UTILISATION_STD_DEV:
        return 0.0
    return 0.5 * erfc(-excess / (UTILISATION_STD_DEV * sqrt(2.0)))

"""Speed limits of best-effort tasks beside serving tasks.

This handles the case that best-effort work arrives on workers whose serving tasks are near their
targets. The best-effort tasks with the most interference per processor, as predicted by the model,
are throttled first. If a tail latency stays over its target nevertheless, all of them are stopped.
The utilisation of a serving task is modelled in ``tails``.
"""

from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import SPEED_GRANULARITY_PERCENT
from laburnumswitch.process.dispatch.tails import TARGET_UTILISATION

# Predicted utilisations are kept below this.
UTILISATION_LIMIT = TARGET_UTILISATION
# Interference that is expected to raise the utilisation by less than this is ignored.
MIN_INTERFERENCE = 0.01
# Best-effort runs that may interfere are stopped this long, in seconds, before a tail latency has
# been over its target for ``max_over_target_s``. It may have been over for one sample longer than
# observed, and a throttle takes effect one sample later.
STOP_INTERFERING_MARGIN_S = 2.2
# All best-effort runs are stopped this long, in seconds, before the same time has passed.
STOP_ALL_MARGIN_S = 1.4
# An image counts as harmless if its coefficient (the increase of the utilisation if it used all
# processors of a worker) is below this.
NEGLIGIBLE_COEFFICIENT = 0.4


class ServingInput(NamedTuple):
    """A serving run as ``choose_throttles`` needs it.

    :ivar load: expected utilisation without best-effort work.
    :ivar coefficient_by_image: expected coefficients by best-effort image.
    :ivar upper_bound_by_image: upper bounds of these coefficients; used only if its tail latency
        has been over the target for ``interfering_limit_s`` or longer.
    :ivar over_target_s: for how long its tail latency has been over the target.
    """

    load: float
    coefficient_by_image: dict[str, float]
    upper_bound_by_image: dict[str, float]
    over_target_s: float


class BestEffortInput(NamedTuple):
    """A best-effort run as ``choose_throttles`` needs it.

    :ivar key: identifies the run in the result.
    :ivar share: share of the worker's processors that it would use at full speed.
    """

    key: object
    image: str
    share: float


def interfering_limit_s(max_over_target_s: float) -> float:
    """Return after how long over the target the best-effort runs that may interfere are stopped."""
    return max_over_target_s - STOP_INTERFERING_MARGIN_S


def choose_throttles(
    serving: list[ServingInput], best_effort: list[BestEffortInput], max_over_target_s: float
) -> dict[object, int]:
    """Return the percentage of full speed for each best-effort run, by its key.

    :param max_over_target_s: how long a tail latency may stay over its target, in seconds.
    """
    percent_by_key: dict[object, float] = {each.key: 100.0 for each in best_effort}
    for serving_run in serving:
        _throttle_by_model(serving_run, best_effort, percent_by_key)
        if serving_run.over_target_s >= max_over_target_s - STOP_ALL_MARGIN_S:
            return dict.fromkeys(percent_by_key, 0)
        if serving_run.over_target_s >= interfering_limit_s(max_over_target_s):
            for run in best_effort:
                if serving_run.upper_bound_by_image[run.image] > NEGLIGIBLE_COEFFICIENT:
                    percent_by_key[run.key] = 0.0
    return {
        key: int(percent // SPEED_GRANULARITY_PERCENT) * SPEED_GRANULARITY_PERCENT
        for key, percent in percent_by_key.items()
    }


def _throttle_by_model(
    serving_run: ServingInput,
    best_effort: list[BestEffortInput],
    percent_by_key: dict[object, float],
) -> None:
    interfering = [
        (serving_run.coefficient_by_image[run.image], run)
        for run in best_effort
        if serving_run.coefficient_by_image[run.image] * run.share > MIN_INTERFERENCE
    ]
    expected = serving_run.load + sum(
        coefficient * run.share * percent_by_key[run.key] / 100.0
        for coefficient, run in interfering
    )
    excess = expected - UTILISATION_LIMIT
    if excess <= 0.0:
        return
    for coefficient, run in sorted(interfering, key=lambda pair: pair[0], reverse=True):
        if excess <= 0.0:
            return
        unthrottled = coefficient * run.share
        current = unthrottled * percent_by_key[run.key] / 100.0
        remaining = max(0.0, current - excess)
        percent_by_key[run.key] = 100.0 * remaining / unthrottled
        excess -= current - remaining

"""Speed limits of best-effort tasks beside serving tasks.

Load pattern: best-effort work arrives on workers whose serving tasks are near their targets. The
tasks with the most interference per processor are throttled first, as predicted by the model. If a
tail latency stays over its target nevertheless, all of them are throttled.
"""

from math import log
from typing import NamedTuple

# Tail latencies are kept below this share of the target: a margin of half the spread of a sample.
TARGET_SHARE = 0.95
# Interference that is expected to raise the log ratio by less than this is ignored.
MIN_INTERFERENCE = 0.04
# Speeds are multiples of this many percent, so that small changes cause no call to the worker.
STEP_PERCENT = 10
# A tail latency has been over its target for up to one sample longer than observed, and a throttle
# takes effect one sample later. So runs are stopped this long, in seconds, before the tolerated
# time over the target has passed: first those that may interfere, then all.
STOP_INTERFERING_MARGIN_S = 2.2
STOP_ALL_MARGIN_S = 1.4
# An image whose coefficient (the rise of the log ratio if it used all processors of a worker) is
# below this counts as harmless.
NEGLIGIBLE_COEFFICIENT = 0.6


class ServingView(NamedTuple):
    """A serving run as ``choose_throttles`` needs it.

    :ivar baseline: expected log ratio without best-effort work.
    :ivar coefficient_by_image: expected coefficients by best-effort image.
    :ivar upper_bound_by_image: upper bounds of these coefficients.
    :ivar over_target_s: for how long its tail latency has been over the target.
    """

    baseline: float
    coefficient_by_image: dict[str, float]
    upper_bound_by_image: dict[str, float]
    over_target_s: float


class BestEffortView(NamedTuple):
    """A best-effort run as ``choose_throttles`` needs it.

    :ivar key: identifies the run in the result.
    :ivar share: share of the worker's processors that it would use at full speed.
    """

    key: object
    image: str
    share: float


def choose_throttles(
    serving: list[ServingView], best_effort: list[BestEffortView], max_over_target_s: float
) -> dict[object, int]:
    """Return the percentage of full speed for each best-effort run, by its key.

    :param max_over_target_s: how long a tail latency may stay over its target, in seconds.
    """
    percent_by_key: dict[object, float] = {view.key: 100.0 for view in best_effort}
    for view in serving:
        _throttle_by_model(view, best_effort, percent_by_key)
        if view.over_target_s >= max_over_target_s - STOP_ALL_MARGIN_S:
            return dict.fromkeys(percent_by_key, 0)
        if view.over_target_s >= max_over_target_s - STOP_INTERFERING_MARGIN_S:
            for run in best_effort:
                if view.upper_bound_by_image[run.image] > NEGLIGIBLE_COEFFICIENT:
                    percent_by_key[run.key] = 0.0
    return {
        key: int(percent // STEP_PERCENT) * STEP_PERCENT for key, percent in percent_by_key.items()
    }


def _throttle_by_model(
    view: ServingView, best_effort: list[BestEffortView], percent_by_key: dict[object, float]
) -> None:
    interfering = [
        (view.coefficient_by_image[run.image], run)
        for run in best_effort
        if view.coefficient_by_image[run.image] * run.share > MIN_INTERFERENCE
    ]
    expected = view.baseline + sum(
        coefficient * run.share * percent_by_key[run.key] / 100.0
        for coefficient, run in interfering
    )
    excess = expected - log(TARGET_SHARE)
    for coefficient, run in sorted(interfering, key=lambda pair: pair[0], reverse=True):
        if excess <= 0.0:
            return
        unthrottled = coefficient * run.share
        current = unthrottled * percent_by_key[run.key] / 100.0
        remaining = max(0.0, current - excess)
        percent_by_key[run.key] = 100.0 * remaining / unthrottled
        excess -= current - remaining

"""How fast filling tasks may run beside serving tasks.

Answers the load pattern in which filling work arrives on workers whose serving tasks are near
their targets: the tasks that hurt most for each processor are throttled first, by what the model
expects, and all of them where a tail stays over its target in spite of that.
"""

from math import log
from typing import NamedTuple

# Tails are kept under this share of the target: half the spread of a look below it.
TARGET_SHARE = 0.95
# Expected harm below this rise of the logarithm is not worth a throttle.
LEAST_HARM = 0.04
# Throttles are set in steps of so many percent, so that small changes send no call.
STEP_PERCENT = 10
# A tail is over for at least one look longer than observed, and the throttle takes effect after
# another: both come off the time that the users bear.
CUT_BLAMED_MARGIN_S = 2.2
CUT_ALL_MARGIN_S = 1.4
# An image that raises the logarithm by less, beside a whole worker of it, is harmless.
HARMLESS_COEFFICIENT = 0.6


class ServingView(NamedTuple):
    """A serving run: its expected base, coefficients by filling image, and time over target."""

    base: float
    coefficient_by_image: dict[str, float]
    highest_by_image: dict[str, float]
    over_s: float


class FillingView(NamedTuple):
    """A filling run: ``share`` of the worker's processors it uses unthrottled."""

    key: object
    image: str
    share: float


def choose_throttles(
    serving: list[ServingView], filling: list[FillingView], harm_s: float
) -> dict[object, int]:
    """Return the percentage of full speed for each filling run.

    :param harm_s: how long users bear a tail over its target, in seconds.
    """
    percent_by_key: dict[object, float] = {view.key: 100.0 for view in filling}
    for view in serving:
        _throttle_by_model(view, filling, percent_by_key)
        if view.over_s >= harm_s - CUT_ALL_MARGIN_S:
            return dict.fromkeys(percent_by_key, 0)
        if view.over_s >= harm_s - CUT_BLAMED_MARGIN_S:
            for run in filling:
                if view.highest_by_image[run.image] > HARMLESS_COEFFICIENT:
                    percent_by_key[run.key] = 0.0
    return {
        key: int(percent // STEP_PERCENT) * STEP_PERCENT for key, percent in percent_by_key.items()
    }


def _throttle_by_model(
    view: ServingView, filling: list[FillingView], percent_by_key: dict[object, float]
) -> None:
    harms = [
        (view.coefficient_by_image[run.image], run)
        for run in filling
        if view.coefficient_by_image[run.image] * run.share > LEAST_HARM
    ]
    expected = view.base + sum(
        coefficient * run.share * percent_by_key[run.key] / 100.0 for coefficient, run in harms
    )
    excess = expected - log(TARGET_SHARE)
    for coefficient, run in sorted(harms, key=lambda harm: harm[0], reverse=True):
        if excess <= 0.0:
            return
        full = coefficient * run.share
        now = full * percent_by_key[run.key] / 100.0
        left = max(0.0, now - excess)
        percent_by_key[run.key] = 100.0 * left / full
        excess -= now - left

"""Quotas of organisations: how much of a step may start within the organisation's limit.

This handles organisations that submit more than they may have running: without a limit they take
the workers from all others. The decisions are functions of the sums (``organisation_usage``) and of
the limit in the newest configuration.
"""

import sys
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.size import count_fitting
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO

UNLIMITED = sys.maxsize
# How long a step that is held back keeps later steps of its organisation from starting, in seconds,
# and for how long it does not after that. Jobs are expected to run something within three seconds,
# and most tasks end within two.
HOLD_S = 2.0


class OrganisationTotal(NamedTuple):
    """What an organisation has running.

    :ivar runs: number of runs; a run may have no size.
    :ivar lasting: part of ``size`` that long-running tasks use.
    """

    size: Size = ZERO
    runs: int = 0
    lasting: Size = ZERO

    def plus(self, size: Size, runs: int, lasting: Size = ZERO) -> "OrganisationTotal":
        """Return the total with some more runs, of ``size`` together."""
        return OrganisationTotal(self.size.plus(size), self.runs + runs, self.lasting.plus(lasting))

    def plus_tasks(self, step: Step, count: int) -> "OrganisationTotal":
        """Return the total with some more tasks of a step, fewer if ``count`` is negative."""
        size = task_size(step).times(count)
        return self.plus(size, count, size if step.long_running else ZERO)


NOTHING_RUNS = OrganisationTotal()


def task_size(step: Step) -> Size:
    """Return what a task of a step counts in the sum of its organisation.

    The processors of best-effort tasks count like those of other tasks.
    """
    return Size(step.cpu_millis, step.memory_mb, step.accelerators)


def effective_limit(limit: Size) -> Size:
    """Return a configured limit, in which 0 means unlimited, as one to compare with."""
    return Size(*(part or UNLIMITED for part in limit))


def startable_tasks(
    step: Step, count: int, total: OrganisationTotal, limit: Size, overage: float
) -> int:
    """Return how many of ``count`` waiting tasks of a step may start now.

    A gang starts as a whole or not at all. If nothing else of the organisation runs, one task
    starts even if it is larger than the limit, and a gang if it is within the overage.

    :param total: what runs or may run.
    :param limit: see ``effective_limit``.
    :param overage: share by which a sum may exceed the limit.
    """
    if step.gang:
        fits = count_fitting(task_size(step).times(step.count), total.size, limit, 1)
        is_alone = not total.runs and not never_fits(step, limit, overage)
        return count if fits or is_alone else 0
    fitting = count_fitting(task_size(step), total.size, limit, count)
    return fitting if fitting or total.runs else min(count, 1)


def holds_back_others(
    step: Step, total: OrganisationTotal, limit: Size, overage: float, waited_s: float
) -> bool:
    """Return whether later steps of an organisation wait while a step has no room in its limit.

    This handles organisations with tasks of different sizes: small tasks would take each part of
    the limit that becomes free, and a large task of higher priority would never start. Others do
    not wait for a step that has no room beside the long-running tasks.

    :param waited_s: how long the step has waited since it became ready or last started a task.
    """
    if waited_s % (2 * HOLD_S) >= HOLD_S:
        return False
    lasting = OrganisationTotal(total.lasting, int(any(total.lasting)))
    return startable_tasks(step, step.count, lasting, limit, overage) > 0


def never_fits(step: Step, limit: Size, overage: float) -> bool:
    """Return whether a step can never start, as a gang that exceeds the limit by too much.

    A start may bring the sum to the limit, the overage and one task, but not above that.

    :param limit: as configured, or see ``effective_limit``.
    """
    return step.gang and exceeds_for_good(task_size(step).times(step.count - 1), limit, overage)


def exceeds_for_good(others: Size, limit: Size, overage: float) -> bool:
    """Return whether a gang exceeds a limit by more than one task, even with the overage.

    :param others: resources of the gang without one of its members.
    """
    return any(
        part > limit_part * (1.0 + overage)
        for part, limit_part in zip(others, limit, strict=True)
        if 0 < limit_part < UNLIMITED
    )

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


class OrganisationTotal(NamedTuple):
    """What an organisation has running.

    :ivar runs: number of runs; a run may have no size.
    """

    size: Size = ZERO
    runs: int = 0

    def plus(self, size: Size, runs: int) -> "OrganisationTotal":
        """Return the total with some more runs, of ``size`` together."""
        return OrganisationTotal(self.size.plus(size), self.runs + runs)


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


def never_fits(step: Step, limit: Size, overage: float) -> bool:
    """Return whether a step can never start, as a gang that exceeds the limit by too much.

    A start may bring the sum to the limit, the overage and one task, but not above that.

    :param limit: see ``effective_limit``.
    """
    if not step.gang:
        return False
    others = task_size(step).times(step.count - 1)
    return any(
        part > limit_part * (1.0 + overage)
        for part, limit_part in zip(others, limit, strict=True)
        if limit_part != UNLIMITED
    )

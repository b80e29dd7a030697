"""Which waiting step goes first."""

from enum import IntEnum
from typing import NamedTuple

from laburnumswitch.process.dispatch.jobs import Occurrence
from laburnumswitch.process.dispatch.jobs import step_work
from laburnumswitch.process.dispatch.jobs import StepRuns
from laburnumswitch.process.dispatch.jobs import WaitingStep
from laburnumswitch.process.dispatch.work import Queue

# Jobs are late up to three times their objective; after that they earn nothing.
LATE_FACTOR = 3.0
# Part of a job's worth that does not grow with its work, in units of a job's mean work: users pay
# 0.3 for any job and 0.7 for a mean one's work.
FIXED_WORTH = 0.3 / 0.7
# Estimates are rough: a step counts as still on time with so much negative slack, as a share of the
# objective.
SLACK_TOLERANCE = 0.1


class Tier(IntEnum):
    """What a job can still earn."""

    ON_TIME = 0
    LATE = 1
    HOPELESS = 2


class OrderKey(NamedTuple):
    """Sort key of a waiting step, lower first."""

    priority: int
    is_lasting: bool
    tier: Tier
    cost_per_worth: float
    slack_s: float


def order_key(waiting: WaitingStep, queue: Queue, mean_work: float, now_s: float) -> OrderKey:
    """Return the sort key of a waiting step.

    Load pattern: bursts of batch jobs that exceed the room for a while. Within one priority the
    jobs that can still meet their objective go first, and among them those that earn most for the
    work that is left; so work is finished rather than spread over jobs that all come late. That
    favours small jobs, which only filling work can afford: of steps with reserved room, large ones
    find room less often anyway, and the one with the least slack goes first. Lasting steps go after
    short ones of their priority, which keep their room for a moment only.

    :param mean_work: mean work of a job of the queue, in core-seconds.
    :param now_s: Unix time in seconds.
    """
    job, occurrence, runs = waiting
    chains = job.chains_s
    objective_s = queue.stretch * max(chains) + queue.objective_s
    remaining_s = chains[occurrence.steps.index(runs)]
    slack_s = occurrence.due_s + objective_s - remaining_s - now_s
    worth = FIXED_WORTH * mean_work + job.work
    left = remaining_work(occurrence) if runs.step.filling else 0.0
    return OrderKey(
        queue.priority,
        runs.step.lasting,
        _tier(runs, slack_s, objective_s),
        left / max(worth, 1e-9),
        slack_s,
    )


def remaining_work(occurrence: Occurrence) -> float:
    """Return the core-seconds of the tasks that are not done, as estimated."""
    return sum((len(runs.tasks) - runs.done) * step_work(runs.step) for runs in occurrence.steps)


def _tier(runs: StepRuns, slack_s: float, objective_s: float) -> Tier:
    if runs.step.lasting or slack_s >= -SLACK_TOLERANCE * objective_s:
        return Tier.ON_TIME
    if slack_s >= -(LATE_FACTOR - 1.0) * objective_s:
        return Tier.LATE
    return Tier.HOPELESS

"""Order in which ready steps are planned."""

from enum import IntEnum
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.jobs import step_work
from laburnumswitch.process.dispatch.occurrences import Occurrence
from laburnumswitch.process.dispatch.organisation_share import ShareClass
from laburnumswitch.process.dispatch.step_state import StepState

# A job that takes longer than this multiple of its target duration has no value any more.
LATE_FACTOR = 3.0
# Fixed part of a job's value, in units of the queue's mean work: a job is worth 0.3 plus 0.7 times
# the ratio of its work to the mean.
FIXED_VALUE = 0.3 / 0.7
# Estimates are rough: a step still counts as on time with this much negative slack, as a share of
# the target duration.
SLACK_TOLERANCE = 0.1


class Tier(IntEnum):
    """Whether a job can still finish on time, late, or only after its value has expired."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


class OrderKey(NamedTuple):
    """Sort key of a ready step, lower first.

    :ivar share_class: place of the job's organisation. A step without value any more is in the last
        class, so that it goes after all that have some.
    :ivar cost_per_value: remaining work of the occurrence per value of its job.
    :ivar slack_s: time left for delays if the job is to reach its target duration.
    """

    priority: int
    is_long_running: bool
    share_class: ShareClass
    tier: Tier
    cost_per_value: float
    slack_s: float


def order_key(
    ready: ReadyStep,
    queue: Queue,
    mean_work: float,
    now_s: float,
    share_class: ShareClass = ShareClass.WITHIN_SHARE,
) -> OrderKey:
    """Return the sort key of a ready step.

    The order matters when bursts of jobs temporarily exceed the capacity. Within one priority, jobs
    that can still reach their target duration go first, and among them those with the highest value
    for their remaining work. So jobs are finished one after the other, instead of all of them late.
    This favours small jobs, and is therefore limited to best-effort steps: among steps that reserve
    processors, large ones find capacity less often anyway, and the least slack goes first.
    Long-running steps go after the others of the same priority, which hold their resources only
    briefly.

    :param mean_work: mean work of the queue's jobs, in core-seconds.
    :param now_s: Unix time in seconds.
    """
    job, occurrence, step_state = ready
    slack_s, objective_s = job_slack(ready, queue, now_s)
    value = FIXED_VALUE * mean_work + job.work
    remaining_core_s = remaining_work(occurrence) if step_state.step.best_effort else 0.0
    tier = _tier(step_state, slack_s, objective_s)
    return OrderKey(
        queue.priority,
        step_state.step.long_running,
        ShareClass.NOT_OWED if tier is Tier.EXPIRED else share_class,
        tier,
        remaining_core_s / max(value, 1e-9),
        slack_s,
    )


def job_slack(ready: ReadyStep, queue: Queue, now_s: float) -> tuple[float, float]:
    """Return how much delay a job's target duration still allows, and that duration, in seconds.

    :param now_s: Unix time in seconds.
    """
    job, occurrence, step_state = ready
    objective_s = queue.stretch * job.critical_path_s + queue.objective_s
    remaining_s = job.critical_paths_s[step_state.key[2]]
    return occurrence.due_s + objective_s - remaining_s - now_s, objective_s


def remaining_work(occurrence: Occurrence) -> float:
    """Return the estimated core-seconds of the tasks that are not done."""
    return sum(
        (step_state.step.count - step_state.done_count) * step_work(step_state.step)
        for step_state in occurrence.steps
    )


def _tier(step_state: StepState, slack_s: float, objective_s: float) -> Tier:
    if step_state.step.long_running or slack_s >= -SLACK_TOLERANCE * objective_s:
        return Tier.ON_TIME
    if slack_s >= -(LATE_FACTOR - 1.0) * objective_s:
        return Tier.LATE
    return Tier.EXPIRED

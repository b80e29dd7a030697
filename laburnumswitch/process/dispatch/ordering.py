"""Which waiting step goes first."""

from laburnumswitch.process.dispatch.jobs import chain_s
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import Occurrence
from laburnumswitch.process.dispatch.jobs import StepRuns
from laburnumswitch.process.dispatch.work import Queue

# Jobs are late up to three times their objective; after that they earn nothing.
LATE_FACTOR = 3.0


class OrderKey(tuple):
    """Sort key of a waiting step: priority, hopeless ones last, then slack in seconds."""

    __slots__ = ()


def order_key(
    job: Job, occurrence: Occurrence, runs: StepRuns, queue: Queue, now_s: float
) -> OrderKey:
    """Return the sort key of a waiting step.

    Load pattern: bursts of batch jobs behind short urgent ones. Within one priority the step with
    the least slack before its job's objective goes first; one whose job can no longer earn anything
    goes after all others.

    :param now_s: Unix time in seconds.
    """
    steps = job.submission.steps
    chains = chain_s(steps)
    objective_s = queue.stretch * max(chains) + queue.objective_s
    remaining_s = chains[occurrence.steps.index(runs)]
    slack_s = occurrence.due_s + objective_s - remaining_s - now_s
    is_hopeless = slack_s < -(LATE_FACTOR - 1.0) * objective_s and not runs.step.lasting
    return OrderKey((queue.priority, is_hopeless, slack_s))

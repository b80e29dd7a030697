"""Which ready steps a planning pass looks at, and in which order.

Handles a job whose order cannot be computed: it is set aside, and the pass goes on.
"""

from typing import NamedTuple

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.down_time import update_ready_since
from laburnumswitch.process.dispatch.headroom import LONGEST_WAIT_S
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.ordering import order_key
from laburnumswitch.process.dispatch.ordering import OrderKey
from laburnumswitch.process.dispatch.placements import may_have_unknown_runs
from laburnumswitch.process.dispatch.step_state import StepKey


class OrderedStep(NamedTuple):
    """A ready step with its place in the order of a planning pass."""

    key: OrderKey
    queue: Queue
    ready: ReadyStep
    step_key: StepKey


def order_ready_steps(dispatcher: Dispatcher, now_s: float) -> list[OrderedStep]:
    """Return the steps to plan now, in order; those skipped by an earlier pass are left out.

    :param now_s: Unix time in seconds.
    """
    ordered = []
    for step_key, ready in list(dispatcher.ready_step_by_key.items()):
        if step_key in dispatcher.skipped_steps:
            continue
        queue = dispatcher.queue_of(ready.job)
        try:
            key = None if queue is None else _order(dispatcher, queue, ready, now_s)
        except Exception:
            dispatcher.job_faults.note(ready.job.job_id, "ordering its steps")
            continue
        if key is not None:
            ordered.append(OrderedStep(key, queue, ready, step_key))
    ordered.sort(key=lambda each: (not is_overdue(dispatcher, each.ready), each.key))
    return ordered


def _order(dispatcher: Dispatcher, queue: Queue, ready: ReadyStep, now_s: float) -> OrderKey | None:
    """Return the place of a step in the order, ``None`` if it is not to be planned now."""
    if not is_due(dispatcher, ready, now_s):
        return None
    update_ready_since(ready.step_state)
    if not dispatcher.quota_gate.selects(ready, queue.priority):
        return None
    mean_work = dispatcher.mean_work_by_queue[queue.name]
    return order_key(ready, queue, mean_work, now_s, dispatcher.shares.share_class(ready))


def is_overdue(dispatcher: Dispatcher, ready: ReadyStep) -> bool:
    """Return whether a long-running step goes before the urgent ones."""
    step_state = ready.step_state
    if not step_state.step.long_running or step_state.step.best_effort:
        return False
    return dispatcher.context.clock() - step_state.ready_since_s >= LONGEST_WAIT_S


def is_due(dispatcher: Dispatcher, ready: ReadyStep, now_s: float) -> bool:
    """Return whether tasks of a ready step may start now.

    :param now_s: Unix time in seconds.
    """
    if not dispatcher.settled and may_have_unknown_runs(
        dispatcher.placements, ready.job, ready.step_state.step
    ):
        return False
    if ready.job.submission.occurrences and now_s < ready.occurrence.due_s:
        return False
    return dispatcher.context.clock() >= ready.step_state.retry_after_s

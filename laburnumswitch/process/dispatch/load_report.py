"""Reports the owner's own load once a second, in the decision log.

An owner whose processor is exhausted handles everything late: ends, cancellations and renewals. The
report tells this from a slow store or slow workers.
"""

from collections.abc import Callable
from collections.abc import Iterable
from itertools import islice
from time import process_time
from typing import Any
from typing import NamedTuple

from laburnumswitch.process.dispatch.admission import measure_commitments
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import task_name
from laburnumswitch.process.dispatch.down_tasks import DownTask
from laburnumswitch.process.dispatch.down_tasks import find_down_tasks
from laburnumswitch.process.dispatch.waiting import measure_waits

INTERVAL_S = 1.0
# Long-running tasks that have been down for this long, in seconds, have a line each.
LOGGED_DOWN_S = 3.0
# Maximum number of these lines at a time.
MAX_DOWN_LINES = 5


class OwnerLoad(NamedTuple):
    """Load of the owner's process.

    :ivar cpu_share: processor time since the last report per second.
    :ivar lag_s: by how much the report is late: how long greenlets wait for the processor.
    :ivar since_commit_s: time since the last successful commit was sent.
    :ivar ready_steps: number of steps with tasks to start.
    :ivar oldest_answer_s: time since the answer of the worker that has not answered for the longest
        time, of those that answer at all.
    """

    cpu_share: float
    lag_s: float
    since_commit_s: float
    ready_steps: int
    oldest_answer_s: float


def run_load_report(
    dispatcher: Dispatcher, processor_clock: Callable[[], float] = process_time
) -> None:
    """Log the load periodically, until the term ends."""
    context = dispatcher.context
    while not dispatcher.is_stopped():
        began_s, used_s = context.clock(), processor_clock()
        context.sleep(INTERVAL_S)
        elapsed_s = context.clock() - began_s
        load = measure_load(dispatcher, elapsed_s, processor_clock() - used_s)
        context.log.note("owner_load", str(dispatcher.epoch), **load._asdict())
        down = find_down_tasks(dispatcher)
        for service, wait in measure_waits(dispatcher, down.count_by_reason()).items():
            context.log.note("tasks_waiting", service, **wait._asdict())
        for task in choose_logged(down.tasks):
            context.log.note("task_down", task_name(task.task), **describe_down(task))
        for service, commitment in measure_commitments(dispatcher).items():
            context.log.note("commitment", service, **commitment._asdict())


def choose_logged(down_tasks: Iterable[DownTask]) -> list[DownTask]:
    """Return the long-running tasks that have been down for the longest time, if for long."""
    is_long = (each for each in down_tasks if each.down_s >= LOGGED_DOWN_S)
    return list(islice(is_long, MAX_DOWN_LINES))


def describe_down(down: DownTask) -> dict[str, Any]:
    """Return the fields of the line for a long-running task that is down."""
    until_s = None if down.until_s is None else round(down.until_s, 3)
    return {
        "down_s": round(down.down_s, 3),
        "reason": down.reason,
        "reason_for_s": round(down.reason_for_s, 3),
        "run": down.last_run,
        "worker": down.worker_id,
        "until_s": until_s,
        "unusable": down.unusable,
    }


def measure_load(dispatcher: Dispatcher, elapsed_s: float, used_s: float) -> OwnerLoad:
    """Return the load over the last interval.

    :param elapsed_s: length of the interval, on the monotonic clock.
    :param used_s: processor time that the process used meanwhile.
    """
    now_s = dispatcher.context.clock()
    answers = [
        now_s - worker.last_answer_s
        for worker in dispatcher.workers_by_id.values()
        if worker.is_reached
    ]
    return OwnerLoad(
        round(used_s / elapsed_s, 3),
        round(elapsed_s - INTERVAL_S, 3),
        round(dispatcher.recorder.since_last_commit_s(), 3),
        len(dispatcher.ready_step_by_key),
        round(max(answers, default=0.0), 3),
    )

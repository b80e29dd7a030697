"""Since when steps have waited and long-running tasks have been down, also under earlier owners.

Users count from the end of a long-running task's last run, whoever has owned what since. So it is
stored with the placements, on the store's clock. A task that has never run is down since its job
was accepted.
"""

from collections.abc import Iterator
from itertools import chain

from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.process.dispatch.step_state import Task

# Time for which a step of a stored job counts as having waited for an earlier owner, at most, in
# seconds, unless its tasks are long-running and wait for no others. When it became ready is not
# stored; it is enough for waits for the sake of other tasks.
MAX_INHERITED_WAIT_S = 1.5


def note_ready(ready: ReadyStep, is_loaded: bool, now_s: float, wall_s: float) -> None:
    """Note that a step has tasks to start, and since when.

    :param is_loaded: whether all stored jobs were loaded before.
    :param wall_s: Unix time in seconds.
    """
    step_state = ready.step_state
    step_state.ready_since_s = _ready_since_s(ready, is_loaded, now_s, wall_s)
    if step_state.first_ready_s is None:
        step_state.first_ready_s = step_state.ready_since_s
    update_ready_since(step_state)


def _ready_since_s(ready: ReadyStep, is_loaded: bool, now_s: float, wall_s: float) -> float:
    if is_loaded or not ready.job.may_have_unknown_runs:
        return now_s
    waited_s = max(0.0, wall_s - ready.occurrence.due_s)
    step = ready.step_state.step
    if step.long_running and not step.after:
        return now_s - waited_s
    return now_s - min(waited_s, MAX_INHERITED_WAIT_S)


def update_ready_since(step_state: StepState) -> None:
    """Count the wait of a long-running step from its waiting task that has been down longest."""
    if step_state.step.long_running:
        step_state.ready_since_s = min(_waits_since_s(step_state), default=step_state.ready_since_s)


def _waits_since_s(step_state: StepState) -> Iterator[float]:
    """Return since when waiting tasks have been down; those that are as at first count once."""
    known = step_state.known_waiting()
    if step_state.waiting_count() > len(known):
        yield _first_down_s(step_state)
    for task in known:
        yield down_since_s(step_state, task)


def by_down_time(step_state: StepState) -> Iterator[Task]:
    """Return the waiting tasks of a step, the long-running ones that are down longest first.

    Tasks may be started meanwhile.
    """
    if not step_state.step.long_running:
        return step_state.waiting()
    # Tasks that have never run need not be sorted: they have all waited since the same time.
    first_s = _first_down_s(step_state)
    ran = [task for task in step_state.known_waiting() if task.down_since_s is not None]
    ran.sort(key=lambda task: task.down_since_s)
    earlier = [task for task in ran if task.down_since_s < first_s]
    later = [task for task in ran if task.down_since_s > first_s]
    others = (task for task in step_state.waiting() if task.down_since_s in (None, first_s))
    return chain(earlier, others, later)


def down_since_s(step_state: StepState, task: Task) -> float:
    """Return since when a waiting long-running task has been down, on the owner's clock."""
    if task.down_since_s is not None:
        return task.down_since_s
    return _first_down_s(step_state)


def _first_down_s(step_state: StepState) -> float:
    """Return since when tasks have been down that have never run."""
    if step_state.first_ready_s is not None:
        return step_state.first_ready_s
    return step_state.ready_since_s

"""How many tasks of a long-running step are at work, which limits what the owner may stop."""

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.process.dispatch.step_state import Task

# Progress of a long-running task that is at work, in percent.
AT_WORK_PERCENT = 100.0


def unavailable_count(dispatcher: Dispatcher, step_state: StepState) -> int:
    """Return the number of tasks of a long-running step that are not at work."""
    at_work = sum(is_at_work(dispatcher, task) for task in step_state.known_tasks())
    return step_state.step.count - at_work


def is_at_work(dispatcher: Dispatcher, task: Task) -> bool:
    """Return whether a long-running task is at work and was not told to stop."""
    worker = dispatcher.workers_by_id.get(task.worker_id)
    run = worker.runs_by_task.get(task.key) if worker is not None else None
    return run is not None and not run.is_stopping and run.progress_percent >= AT_WORK_PERCENT

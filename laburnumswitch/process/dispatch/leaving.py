"""What an owner that leaves still waits for, so that no later owner has to wait longer for it.

Handles owners that are told to stop soon after they took over, while workers are replaced: each
stops the runs on workers that leave, which may be gone with their reports before the next one asks.
"""

from collections.abc import Callable

from laburnumswitch.process.dispatch.fleet import Worker

# Time, in seconds, in which a worker reports the end of a run and its task starts elsewhere.
END_DELAY_S = 0.2
# Interval, in seconds, at which to check whether that has happened.
CHECK_INTERVAL_S = 0.02


def await_stopped_runs(
    workers_by_id: dict[str, Worker],
    has_planned: Callable[[], bool],
    is_stopped: Callable[[], bool],
    stop_s: float,
    sleep: Callable[[float], None],
) -> None:
    """Wait until runs that were stopped have ended, and their tasks have started elsewhere.

    :param has_planned: whether no task waits for a planning pass, or to be sent.
    :param stop_s: longest time that a stop takes, in seconds.
    """
    checks_left = round((stop_s + END_DELAY_S) / CHECK_INTERVAL_S)
    is_waiting = _has_stopping_run(workers_by_id)
    while is_waiting and checks_left > 0 and not is_stopped():
        sleep(CHECK_INTERVAL_S)
        checks_left -= 1
        is_waiting = _has_stopping_run(workers_by_id) or not has_planned()


def _has_stopping_run(workers_by_id: dict[str, Worker]) -> bool:
    return any(has_stopping_run(worker) for worker in workers_by_id.values())


def has_stopping_run(worker: Worker) -> bool:
    """Return whether a worker that answers has been told to stop a run, and has not ended it."""
    is_answering = worker.is_reached and not worker.is_silent
    return is_answering and any(run.is_stopping for run in worker.runs_by_task.values())

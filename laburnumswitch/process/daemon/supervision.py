"""Supervision of functions that have to run as long as the process."""

from collections.abc import Callable

from laburnumswitch.process.observing.decisions import DecisionLog

# Pause before a failed function is restarted, in seconds; the same as between two failed reads of
# the store.
RESTART_PAUSE_S = 0.2


def keep_running(
    function: Callable[[], None],
    log: DecisionLog,
    sleep: Callable[[float], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Run a function until it returns, and restart it after an unexpected error.

    :param is_stopped: returns whether the process is stopping.
    """
    while not is_stopped():
        try:
            function()
            return
        except Exception:
            log.note_error("task_failed", function.__name__)
            sleep(RESTART_PAUSE_S)

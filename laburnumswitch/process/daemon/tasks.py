"""Tasks that have to run as long as the process does."""

from collections.abc import Callable

from laburnumswitch.process.observing.decisions import DecisionLog

# Pause before a task that failed runs again, in seconds: as long as between two reads of the store
# that fail.
RESTART_PAUSE_S = 0.2


def keep_running(
    function: Callable[[], None],
    log: DecisionLog,
    sleep: Callable[[float], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Run a function until it returns; after an unexpected error it begins anew.

    :param is_stopped: whether the process is ending.
    """
    while not is_stopped():
        try:
            function()
            return
        except Exception:
            log.note_error("task_failed", function.__name__)
            sleep(RESTART_PAUSE_S)

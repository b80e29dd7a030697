"""Logging set-up: one ``key=value`` line for each message, by absl."""

import logging as standard_logging

from absl import logging

LEVELS = ("debug", "info", "warning", "error")


class _Formatter(standard_logging.Formatter):
    """Puts time, level and VM before the message's own pairs."""

    def __init__(self, vm_id: str) -> None:
        super().__init__(datefmt="%Y-%m-%dT%H:%M:%S")
        self._vm_id = vm_id

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return one line."""
        instant = f"{self.formatTime(record, self.datefmt)}.{int(record.msecs):03d}"
        level = record.levelname.lower()
        return f"time={instant} level={level} vm={self._vm_id} {record.getMessage()}"


def set_up_logs(vm_id: str, level: str) -> None:
    """Send absl's log to standard error in this form.

    :param level: one of ``LEVELS``.
    """
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_Formatter(vm_id))
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)

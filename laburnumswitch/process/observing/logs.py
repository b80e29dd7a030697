"""Logging of the entry daemon: absl writes one ``key=value`` line for each message."""

import logging as standard_logging

from absl import logging

LEVELS = ("debug", "info", "warning", "error")


class _Formatter(standard_logging.Formatter):
    """Formatter that puts time, level and VM before the ``key=value`` pairs of the message."""

    def __init__(self, vm_id: str) -> None:
        super().__init__(datefmt="%Y-%m-%dT%H:%M:%S")
        self._vm_id = vm_id

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as one line."""
        timestamp = f"{self.formatTime(record, self.datefmt)}.{int(record.msecs):03d}"
        level = record.levelname.lower()
        return f"time={timestamp} level={level} vm={self._vm_id} {record.getMessage()}"


def configure_logging(vm_id: str, level: str) -> None:
    """Send absl's log to standard error, formatted as ``key=value`` lines.

    :param level: lowest level that is logged, one of ``LEVELS``.
    """
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_Formatter(vm_id))
    logging.set_verbosity(level)
    logging.set_stderrthreshold(level)

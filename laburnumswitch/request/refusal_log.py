"""Log and count of refused calls; the log is bounded however many calls are refused."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.process.observing.decisions import DecisionLog

# Lines in each interval; further refusals are counted in the first line of a later one.
MAX_LINES = 5
INTERVAL_S = 1.0


class DecidedBy(NamedTuple):
    """The configuration that a call was decided by.

    :ivar version: 0 if there was none.
    :ivar confirmed_age_s: time since this was certainly the newest version, infinite if it never
        was.
    """

    version: int
    confirmed_age_s: float


class RefusalLog:
    """Writes at most ``MAX_LINES`` lines per ``INTERVAL_S`` about calls that were not run.

    :ivar counts: refused calls by status and reason.
    """

    def __init__(self, log: DecisionLog, clock: Callable[[], float]) -> None:
        self.counts: Counter[tuple[int, str]] = Counter()
        self._log = log
        self._clock = clock
        self._began_s = float("-inf")
        self._lines = 0
        self._unlogged = 0

    def note(
        self,
        event: str,
        subject: str,
        status: int,
        reason: str,
        decided_by: DecidedBy,
        **details: str,
    ) -> None:
        """Count a refused call, and log it unless there were many.

        :param reason: one of a few, as it is a label of a metric.
        :param details: what the call asked for.
        """
        self.counts[status, reason] += 1
        now_s = self._clock()
        if now_s - self._began_s >= INTERVAL_S:
            self._began_s = now_s
            self._lines = 0
        if self._lines >= MAX_LINES:
            self._unlogged += 1
            return
        self._lines += 1
        self._log.note(
            event,
            subject,
            **details,
            status=status,
            reason=reason,
            configuration=decided_by.version,
            confirmed_s_ago=round(decided_by.confirmed_age_s, 3),
            unlogged=self._unlogged,
        )
        self._unlogged = 0

"""Log of refused calls, bounded however many calls are refused."""

from collections.abc import Callable

from laburnumswitch.exceptions import KeyNotAccepted
from laburnumswitch.process.observing.decisions import DecisionLog

# Lines in each interval; further refusals are counted in the first line of a later one.
MAX_LINES = 5
INTERVAL_S = 1.0


class RefusalLog:
    """Writes at most ``MAX_LINES`` lines per ``INTERVAL_S`` about calls refused by their key."""

    def __init__(self, log: DecisionLog, clock: Callable[[], float]) -> None:
        self._log = log
        self._clock = clock
        self._began_s = float("-inf")
        self._lines = 0
        self._unlogged = 0

    def note(
        self, refusal: KeyNotAccepted, job_id: str, queue: str, version: int, age_s: float
    ) -> None:
        """Log a refused call, or count it.

        :param version: version of the configuration by which it was refused.
        :param age_s: time since this was last confirmed.
        """
        now_s = self._clock()
        if now_s - self._began_s >= INTERVAL_S:
            self._began_s = now_s
            self._lines = 0
        if self._lines >= MAX_LINES:
            self._unlogged += 1
            return
        self._lines += 1
        self._log.note(
            "key_refused",
            job_id,
            queue=queue,
            digest=refusal.digest,
            status=refusal.status,
            reason=refusal.reason,
            configuration=version,
            confirmed_s_ago=round(age_s, 3),
            unlogged=self._unlogged,
        )
        self._unlogged = 0

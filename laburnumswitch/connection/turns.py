"""Turns for work of which a client can cause much without waiting for an answer.

Load pattern: hundreds of clients send bodies in chunks of a few bytes, or pipeline requests. Each
step takes little time, but together they would occupy the processor for seconds.
"""

from collections.abc import Callable

from gevent.lock import BoundedSemaphore

# About as long as the work between two turns takes, so that half of the time is left to others.
PAUSE_S = 0.001


class Turns:
    """Lets such work proceed for one client at a time, in order of arrival."""

    def __init__(self, sleep: Callable[[float], None]) -> None:
        self._sleep = sleep
        self._lock = BoundedSemaphore(1)

    def take(self) -> None:
        """Wait for the turn of the caller, and then long enough for other work to run."""
        with self._lock:
            self._sleep(PAUSE_S)

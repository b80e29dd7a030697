"""Whether this process reaches a service that answers regularly, such as the store or the owner.

This handles entries that the store refuses or that are cut off from it while callers still reach
them: without it, each request waits for the time limit of a call that cannot succeed.
"""

from collections.abc import Callable

# A service that has not answered for this long, in seconds, and has failed to answer since, counts
# as away. One call is always waiting at the store and at the owner, for a second at most.
AWAY_AFTER_S = 1.2


class Reach:
    """Answers and failures of one service, as its calls observe them.

    The constructor takes the monotonic clock.

    :ivar failures: number of calls that failed.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.failures = 0
        self._clock = clock
        self._answered_s = clock()
        self._has_failed = False

    def note_answer(self) -> None:
        """Record an answer."""
        self._answered_s = self._clock()
        self._has_failed = False

    def note_failure(self) -> None:
        """Record a call that was not answered, or whose answer was that the service is away."""
        self.failures += 1
        self._has_failed = True

    def silent_s(self) -> float:
        """Return the time since the last answer in seconds."""
        return self._clock() - self._answered_s

    def is_away(self) -> bool:
        """Return whether calls are not worth waiting for.

        A process that resumes after a pause has had no answer for a while either, but has not seen
        a call fail.
        """
        return self._has_failed and self.silent_s() > AWAY_AFTER_S

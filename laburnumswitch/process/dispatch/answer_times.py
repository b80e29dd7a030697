"""When the answers of a worker were made, by the worker's clock that they name.

Handles answers that arrive late: what such an answer says, and that the worker was there, was true
when it was made, and the worker may have restarted since. The time at which the call was sent does
not tell, as a worker holds renewals open.

An answer without a delay shows how far the worker's clock is behind the owner's, and one that is
delayed shows a larger difference. The worker's clock may be slow, so the difference grows.
"""


class AnswerTimes:
    """Compares the clock in the answers of one incarnation with the times of their arrival.

    All times are in seconds. The clock does not run faster than the owner's.

    :param max_drift: by how much the clock may be slow, as a share of the passed time.
    """

    def __init__(self, max_drift: float) -> None:
        self._max_drift = max_drift
        # Least difference between the arrival of an answer and the clock in it, ``None`` before the
        # first answer.
        self._difference_s: float | None = None
        self._received_s = 0.0

    def note(self, sent_s: float, received_s: float, clock_s: float) -> float:
        """Record an answer, and return when it was made at the earliest.

        The delay that all answers have had is not known, and is left out.

        :param sent_s: when the call was sent that it answers.
        :param clock_s: the worker's clock in the answer, later than that in the one before.
        """
        known_s, passed_s = self._difference_s, received_s - self._received_s
        self._difference_s, self._received_s = received_s - clock_s, received_s
        if known_s is None:
            return sent_s
        # The clock stands still while the worker's VM is suspended.
        least_s = max(sent_s - clock_s, known_s + self._max_drift * passed_s)
        self._difference_s = min(self._difference_s, least_s)
        return max(sent_s, min(received_s, clock_s + known_s))

"""Stop event of the process; waiting for it serves as an interruptible sleep."""

from gevent.event import Event


class StopEvent:
    """Event that is set once, by the first signal to stop."""

    def __init__(self) -> None:
        self._event = Event()

    def is_set(self) -> bool:
        """Return whether the process is stopping."""
        return self._event.is_set()

    def set(self) -> None:
        """Start the stop; further calls have no effect."""
        self._event.set()

    def wait(self, seconds: float | None = None) -> None:
        """Return after ``seconds``, or as soon as the process stops."""
        self._event.wait(seconds)

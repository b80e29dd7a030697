"""Whether the process is stopping, and sleeps that end early when it does."""

from gevent.event import Event


class Stopping:
    """Set once, by the first signal to stop."""

    def __init__(self) -> None:
        self._event = Event()

    def is_set(self) -> bool:
        """Return whether the process is stopping."""
        return self._event.is_set()

    def set(self) -> None:
        """Begin to stop; setting again changes nothing."""
        self._event.set()

    def wait(self, seconds: float | None = None) -> None:
        """Return after ``seconds``, or at once when the process stops."""
        self._event.wait(seconds)

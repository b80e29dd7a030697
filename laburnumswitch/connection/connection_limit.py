"""Bound on the open connections of many clients together.

This handles the case that one process has connections to so many addresses that those kept for
reuse would take all of its descriptors.
"""

from collections.abc import Callable

from gevent import socket

# Shortest interval between two reports, in seconds.
REPORT_INTERVAL_S = 1.0

CloseIdle = Callable[[socket.socket], None]


class ConnectionLimitReachedError(OSError):
    """All connections that the limit allows are in use."""


class ConnectionLimit:
    """Counts the open connections of its clients and keeps them within ``max_open``.

    For a connection beyond that, the one that has been idle for longest is closed. If none is idle,
    the new connection is not opened.

    :ivar open_count: number of connections that are open or being opened.
    :ivar closed_idle_count: number of idle connections closed so far because of the limit.
    :ivar refused_count: number of connections not opened so far because of the limit.
    """

    def __init__(
        self,
        max_open: int,
        clock: Callable[[], float],
        report: Callable[["ConnectionLimit"], None],
    ) -> None:
        self.max_open = max_open
        self.open_count = 0
        self.closed_idle_count = 0
        self.refused_count = 0
        self._clock = clock
        self._report = report
        self._reported_s = float("-inf")
        # How to close each idle connection, the least recently used one first.
        self._close_by_idle_socket: dict[socket.socket, CloseIdle] = {}

    def reserve(self) -> None:
        """Count a connection that is about to be opened.

        :raises ConnectionLimitReachedError: if it must not be opened.
        """
        if self.open_count >= self.max_open:
            if not self._close_by_idle_socket:
                self.refused_count += 1
                self._report_if_due()
                raise ConnectionLimitReachedError("all connections are in use")
            sock, close_idle = next(iter(self._close_by_idle_socket.items()))
            close_idle(sock)
            self.closed_idle_count += 1
            self._report_if_due()
        self.open_count += 1

    def note_idle(self, sock: socket.socket, close_idle: CloseIdle) -> None:
        """Note that a connection is idle, and how to close it."""
        self._close_by_idle_socket[sock] = close_idle

    def note_in_use(self, sock: socket.socket) -> None:
        """Note that a connection is not idle any more."""
        self._close_by_idle_socket.pop(sock, None)

    def release(self) -> None:
        """Count a connection that was closed or could not be opened."""
        self.open_count -= 1

    def _report_if_due(self) -> None:
        now_s = self._clock()
        if now_s - self._reported_s >= REPORT_INTERVAL_S:
            self._reported_s = now_s
            self._report(self)

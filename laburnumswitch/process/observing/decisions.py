"""Decision log of the dispatch daemon: one JSON line for each decision, on standard output.

Lines are buffered up to a limit and written by a separate greenlet, so that a decision never waits
for the log. Lines beyond the limit are dropped and counted, and the count is logged. absl is not
used here, because its lines are text and its handlers block.
"""

import os
from collections import deque
from collections.abc import Callable
from sys import exception
from traceback import format_exception
from typing import Any

from gevent import sleep
from gevent.os import make_nonblocking
from gevent.os import nb_write
from msgspec.json import encode

CAPACITY_LINES = 2_000
# The end of a traceback is kept, where the innermost calls are; about 25 of them fit.
MAX_TRACE_CHARACTERS = 3_000
# Longest time that a line is buffered, in seconds; batched writes need fewer system calls.
FLUSH_INTERVAL_S = 0.25
STDOUT_FD = 1


class DecisionLog:
    """Bounded buffer of encoded log lines."""

    def __init__(self, vm_id: str, wall_clock: Callable[[], float], capacity: int) -> None:
        self.dropped = 0
        self.written = 0
        self._vm_id = vm_id
        self._wall_clock = wall_clock
        self._capacity = capacity
        self._lines: deque[bytes] = deque()
        self._reported_dropped = 0

    def note(self, event: str, subject: str, **inputs: Any) -> None:
        """Add a line for one event.

        :param event: name of the decision or observation.
        :param subject: id of the request, job, task, worker or dependency concerned.
        :param inputs: values that led to the decision, with their age or version, and the outcome.
        """
        if len(self._lines) >= self._capacity:
            self.dropped += 1
            return
        line = {"t": round(self._wall_clock(), 3), "vm": self._vm_id, "event": event, "id": subject}
        line.update(inputs)
        self._lines.append(encode(line))

    def note_error(self, event: str, subject: str, **inputs: Any) -> None:
        """Add a line for the exception being handled, with its traceback."""
        trace = "".join(format_exception(exception()))[-MAX_TRACE_CHARACTERS:]
        self.note(event, subject, error=repr(exception()), trace=trace, **inputs)

    def take(self) -> bytes:
        """Remove and return the buffered lines, and the count of newly dropped ones if any."""
        if self.dropped > self._reported_dropped:
            count = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self._lines.append(encode({"vm": self._vm_id, "event": "lines_dropped", "n": count}))
        lines = list(self._lines)
        self._lines.clear()
        self.written += len(lines)
        return b"".join(line + b"\n" for line in lines)


def run_writer(log: DecisionLog, is_stopped: Callable[[], bool]) -> None:
    """Write buffered lines until the process stops, without blocking the process."""
    make_nonblocking(STDOUT_FD)
    while not is_stopped():
        sleep(FLUSH_INTERVAL_S)
        write_all(log.take())


def write_all(content: bytes) -> None:
    """Write to standard output, yielding to other greenlets while it is full."""
    view = memoryview(content)
    while view:
        view = view[nb_write(STDOUT_FD, view) :]


def write_final_lines(content: bytes) -> None:
    """Write at process exit as much as standard output accepts without blocking."""
    try:
        os.write(STDOUT_FD, content)
    except BlockingIOError:
        return

"""The decision log: one JSON line for each decision, on standard output.

Lines wait in a bounded buffer and are written by a task of their own, so that a decision never
waits for the log. What does not fit is counted, and the count is written as a line. A JSON encoder
of its own is used in place of absl, whose lines are text and whose handlers block.
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
# The innermost calls of a trace stand last; about 25 of them fit.
MOST_TRACE_CHARACTERS = 3_000
# Lines wait at most this long, in seconds; more lines in one write cost fewer system calls.
FLUSH_INTERVAL_S = 0.25
STANDARD_OUTPUT = 1


class DecisionLog:
    """Bounded buffer of lines."""

    def __init__(self, vm_id: str, wall_clock: Callable[[], float], capacity: int) -> None:
        self.dropped = 0
        self.written = 0
        self._vm_id = vm_id
        self._wall_clock = wall_clock
        self._capacity = capacity
        self._lines: deque[bytes] = deque()
        self._reported_dropped = 0

    def note(self, event: str, subject: str, **inputs: Any) -> None:
        """Add one line.

        :param event: what was decided or learned.
        :param subject: id of the request, job, task, worker or dependency concerned.
        :param inputs: what decided it, with its age or version, and the outcome.
        """
        if len(self._lines) >= self._capacity:
            self.dropped += 1
            return
        line = {"t": round(self._wall_clock(), 3), "vm": self._vm_id, "event": event, "id": subject}
        line.update(inputs)
        self._lines.append(encode(line))

    def note_error(self, event: str, subject: str, **inputs: Any) -> None:
        """Add a line about the exception that is being handled, with where it was raised."""
        trace = "".join(format_exception(exception()))[-MOST_TRACE_CHARACTERS:]
        self.note(event, subject, error=repr(exception()), trace=trace, **inputs)

    def take(self) -> bytes:
        """Return the waiting lines, and one that counts what was dropped since the last."""
        if self.dropped > self._reported_dropped:
            count = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self._lines.append(encode({"vm": self._vm_id, "event": "lines_dropped", "n": count}))
        lines = list(self._lines)
        self._lines.clear()
        self.written += len(lines)
        return b"".join(line + b"\n" for line in lines)


def run_writer(log: DecisionLog, is_stopped: Callable[[], bool]) -> None:
    """Write lines until the process stops, without ever blocking the process."""
    make_nonblocking(STANDARD_OUTPUT)
    while not is_stopped():
        sleep(FLUSH_INTERVAL_S)
        write_all(log.take())


def write_all(content: bytes) -> None:
    """Write to standard output; other tasks run while it is full."""
    view = memoryview(content)
    while view:
        view = view[nb_write(STANDARD_OUTPUT, view) :]


def write_last(content: bytes) -> None:
    """Write what standard output takes at once, as the process ends."""
    try:
        os.write(STANDARD_OUTPUT, content)
    except BlockingIOError:
        return

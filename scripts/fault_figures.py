"""Figures of the fault measurement, computed from the stand-ins' records."""

from collections.abc import Callable
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from standin.records import Asked
from standin.records import Record
from standin.records import RunEnded
from standin.records import RunStarted

NO_FIGURE = float("nan")


class Window(NamedTuple):
    """Part of a run, in seconds of the machine's monotonic clock."""

    name: str
    began_s: float
    ended_s: float


class Asking(NamedTuple):
    """One request of a caller over all its attempts; ``outcome`` is that of the last."""

    began_s: float
    method: str
    outcome: str
    latency_ms: float


class Answers(NamedTuple):
    """What callers saw of the requests that they sent in a window."""

    requests: int
    answered_share: float
    p50_ms: float
    p99_ms: float


def join_attempts(records: Iterable[Record]) -> list[Asking]:
    """Return the requests, each with all its attempts, in the order of sending."""
    by_id: dict[str, list[Asked]] = {}
    for record in records:
        if isinstance(record, Asked):
            by_id.setdefault(record.logical_id, []).append(record)
    askings = []
    for attempts in by_id.values():
        first = min(attempts, key=lambda attempt: attempt.sent_s)
        last = max(attempts, key=lambda attempt: attempt.ended_s)
        latency_ms = 1000.0 * (last.ended_s - first.sent_s)
        askings.append(Asking(first.sent_s, first.method, last.outcome, latency_ms))
    return sorted(askings)


def answers_in(askings: Iterable[Asking], window: Window, method: str) -> Answers:
    """Return what callers saw of one method in a window."""
    found = [
        asking
        for asking in askings
        if asking.method == method and window.began_s <= asking.began_s < window.ended_s
    ]
    answered = sorted(asking.latency_ms for asking in found if asking.outcome == "answered")
    if not answered:
        return Answers(len(found), 0.0, NO_FIGURE, NO_FIGURE)
    return Answers(
        len(found), len(answered) / len(found), percentile(answered, 50), percentile(answered, 99)
    )


def percentile(ordered: list[float], percent: float) -> float:
    """Return the nearest-rank percentile of values in ascending order."""
    return ordered[max(0, ceil(percent / 100 * len(ordered)) - 1)]


def running_millis(
    records: Iterable[Record], at_s: float, counts: Callable[[RunStarted], bool]
) -> int:
    """Return the processors, in thousandths, that the counted runs held at an instant."""
    held: dict[tuple[str, str, int], int] = {}
    for record in records:
        if isinstance(record, RunStarted) and record.at_s <= at_s and counts(record):
            held[record.worker_id, record.task_id, record.run] = record.size.cpu_millis
    for record in records:
        if isinstance(record, RunEnded) and record.at_s <= at_s:
            held.pop((record.worker_id, record.task_id, record.run), None)
    return sum(held.values())


def first_start_after(
    records: Iterable[Record], at_s: float, counts: Callable[[RunStarted], bool]
) -> float:
    """Return the seconds from an instant to the first counted start after it."""
    starts = [
        record.at_s
        for record in records
        if isinstance(record, RunStarted) and record.at_s > at_s and counts(record)
    ]
    return min(starts) - at_s if starts else NO_FIGURE


def ends_of_kind(records: Iterable[Record], kind: str, window: Window) -> int:
    """Return how many runs ended in a way within a window."""
    return sum(
        isinstance(record, RunEnded)
        and record.kind == kind
        and window.began_s <= record.at_s < window.ended_s
        for record in records
    )

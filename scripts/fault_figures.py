"""Computes the figures of the fault measurement from the stand-ins' records."""

from collections.abc import Callable
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from standin.records import Asked
from standin.records import Record
from standin.records import RunEnded
from standin.records import RunStarted

NOT_AVAILABLE = float("nan")


class Window(NamedTuple):
    """Time window of a run, in seconds of the machine's monotonic clock."""

    name: str
    began_s: float
    ended_s: float


class LogicalRequest(NamedTuple):
    """A caller's request with all its attempts; ``outcome`` is that of the last attempt."""

    began_s: float
    method: str
    outcome: str
    latency_ms: float


class AnswerStatistics(NamedTuple):
    """Answer statistics of the requests first sent in a window, as seen by callers."""

    requests: int
    answered_share: float
    p50_ms: float
    p99_ms: float


def join_attempts(records: Iterable[Record]) -> list[LogicalRequest]:
    """Group attempts into requests, ordered by the time of the first attempt."""
    by_id: dict[str, list[Asked]] = {}
    for record in records:
        if isinstance(record, Asked):
            by_id.setdefault(record.logical_id, []).append(record)
    requests = []
    for attempts in by_id.values():
        first = min(attempts, key=lambda attempt: attempt.sent_s)
        last = max(attempts, key=lambda attempt: attempt.ended_s)
        latency_ms = 1000.0 * (last.ended_s - first.sent_s)
        requests.append(LogicalRequest(first.sent_s, first.method, last.outcome, latency_ms))
    return sorted(requests)


def summarize_answers(
    requests: Iterable[LogicalRequest], window: Window, method: str
) -> AnswerStatistics:
    """Return the answer statistics of one method in a window."""
    found = [
        request
        for request in requests
        if request.method == method and window.began_s <= request.began_s < window.ended_s
    ]
    answered = sorted(request.latency_ms for request in found if request.outcome == "answered")
    if not answered:
        return AnswerStatistics(len(found), 0.0, NOT_AVAILABLE, NOT_AVAILABLE)
    return AnswerStatistics(
        len(found), len(answered) / len(found), percentile(answered, 50), percentile(answered, 99)
    )


def percentile(ordered: list[float], percent: float) -> float:
    """Return the nearest-rank percentile of values in ascending order."""
    return ordered[max(0, ceil(percent / 100 * len(ordered)) - 1)]


def running_cpu_millis(
    records: Iterable[Record], at_s: float, matches: Callable[[RunStarted], bool]
) -> int:
    """Return the CPU, in thousandths of a core, held at ``at_s`` by runs that match."""
    held: dict[tuple[str, str, int], int] = {}
    for record in records:
        if isinstance(record, RunStarted) and record.at_s <= at_s and matches(record):
            held[record.worker_id, record.task_id, record.run] = record.size.cpu_millis
    for record in records:
        if isinstance(record, RunEnded) and record.at_s <= at_s:
            held.pop((record.worker_id, record.task_id, record.run), None)
    return sum(held.values())


def first_start_after(
    records: Iterable[Record], at_s: float, matches: Callable[[RunStarted], bool]
) -> float:
    """Return the seconds from ``at_s`` to the next start that matches."""
    starts = [
        record.at_s
        for record in records
        if isinstance(record, RunStarted) and record.at_s > at_s and matches(record)
    ]
    return min(starts) - at_s if starts else NOT_AVAILABLE


def count_ends(records: Iterable[Record], kind: str, window: Window) -> int:
    """Return how many runs ended with ``kind`` within a window."""
    return sum(
        isinstance(record, RunEnded)
        and record.kind == kind
        and window.began_s <= record.at_s < window.ended_s
        for record in records
    )

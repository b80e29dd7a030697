"""Formats the figures of the demonstration as a text table and as JSON."""

from typing import Any
from typing import NamedTuple

from scripts.usage import EntryUsage
from standin.history_checker import HistoryReport
from standin.load_generator import LatencySummary

LABEL_WIDTH = 48
PERCENT_PER_CORE = 100


class Summary(NamedTuple):
    """All figures of the demonstration; ``broken`` names the guarantees that did not hold."""

    profile: str
    seed: int
    duration_s: float
    verdict: HistoryReport
    broken: tuple[str, ...]
    tail_by_stream: dict[str, LatencySummary]
    entries: list[EntryUsage]
    platform: dict[str, Any]

    def as_json(self) -> dict[str, Any]:
        """Return the figures as nested mappings for JSON."""
        return {
            **self._asdict(),
            "verdict": self.verdict._asdict(),
            "tail_by_stream": {name: tail._asdict() for name, tail in self.tail_by_stream.items()},
            "entries": [use._asdict() for use in self.entries],
        }


def format_summary(summary: Summary) -> list[str]:
    """Return the lines of the table."""
    verdict = summary.verdict
    rows = [
        ("requests sent", verdict.requests),
        ("  answered", verdict.answered),
        ("  of these with an error status", verdict.answered_with_error),
        ("  not run", verdict.not_run),
        ("  unknown", verdict.unknown),
        ("attempts that callers made for them", verdict.attempts),
        ("  not run", verdict.attempts_not_run),
        ("  unknown", verdict.attempts_unknown),
        ("orders run more than once", verdict.orders_run_twice),
        ('"not run" answers that did run', verdict.not_run_but_ran),
        ("answers of another request", verdict.foreign_answers),
        ("runs", verdict.runs),
        ("  evicted", verdict.evictions),
        ("batch tasks finished", verdict.tasks_finished),
        ("  finished more than once", verdict.tasks_finished_twice),
        ("  run again, their end told after its lease", verdict.tasks_finished_unreported),
        ("  counted wrongly by the ledger", verdict.tasks_counted_wrongly),
        ("  running in two places", verdict.tasks_in_two_places),
        ("  lost", verdict.tasks_lost),
        ("checkpoints resumed more than once", verdict.checkpoints_resumed_twice),
        ("worst commitment of a worker", f"{verdict.worst_commitment:.1%}"),
        (
            "last start in the zone after it was taken out",
            f"{verdict.last_start_in_zone_out_s:.2f} s",
        ),
        (
            "last request to a leaving upstream after",
            _format_seconds(verdict.last_request_to_leaving_upstream_s),
        ),
        ("requests cut by planned stops", verdict.requests_cut_by_planned_stops),
        (
            "configuration in force everywhere after",
            _format_seconds(verdict.configuration_everywhere_s),
        ),
        ("configuration reverted", verdict.configuration_reverts),
    ]
    lines = [f"{label:<{LABEL_WIDTH}}{value}" for label, value in rows]
    lines += [_tail_line(stream, tail) for stream, tail in sorted(summary.tail_by_stream.items())]
    lines += [_entry_line(use) for use in summary.entries]
    lines += [_budget_line(name, summary.platform[name]) for name in ("writes", "reads")]
    lines.append(_verdict_line(summary))
    return lines


def _format_seconds(value: float) -> str:
    return f"{value:.2f} s"


def _tail_line(stream: str, tail: LatencySummary) -> str:
    return (
        f"{stream:<{LABEL_WIDTH}}p50 {tail.p50_ms:.1f} ms  p99 {tail.p99_ms:.1f} ms"
        f"  p99.9 {tail.p999_ms:.1f} ms"
    )


def _entry_line(usage: EntryUsage) -> str:
    traffic = "control traffic not reported"
    if usage.control_bytes_per_s is not None:
        traffic = f"control {usage.control_bytes_per_s / 1000:.1f} KB/s"
    share = f"{usage.cpu_share * PERCENT_PER_CORE:.1f}% of a core"
    return f"{usage.vm_id:<{LABEL_WIDTH}}{usage.peak_memory_mb:.0f} MB  {share}  {traffic}"


def _budget_line(name: str, usage: list[int]) -> str:
    total, peak, refused = usage
    label = f"platform {name}"
    return f"{label:<{LABEL_WIDTH}}{total} in all, {peak} in the busiest second, {refused} refused"


def _verdict_line(summary: Summary) -> str:
    if summary.broken:
        return f"BROKEN after {summary.duration_s:.0f} s: {', '.join(summary.broken)}"
    return f"every promise held, {summary.duration_s:.0f} s"

"""The ``explain`` command, which shows one job's decisions from the logs of several entries."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple
from typing import TextIO

import click
from msgspec import DecodeError
from msgspec.json import decode

# Events that affect every job; shown if they happened while the job existed.
COMMON_EVENTS = frozenset(
    {
        "takeover",
        "handover",
        "settled",
        "settle_waits",
        "ownership_lost",
        "ownership_released",
        "superseded",
        "commit_failed",
        "commit_settled",
        "feed_lost",
        "feed_regained",
        "dispatch_failed",
        "configuration",
        "zone",
        "start",
        "stop",
    }
)
# Events of a worker; shown if the job had runs on that worker.
WORKER_EVENTS = frozenset(
    {
        "worker_lapsed",
        "worker_silent",
        "worker_restarted",
        "worker_crashed",
        "worker_dropped",
        "worker_rests",
        "worker_draining",
        "worker_unlisted",
        "fenced",
    }
)
# Common and worker events within this time before or after the job's lines may explain them.
CONTEXT_MARGIN_S = 1.0
REQUIRED_FIELDS = ("t", "vm", "event", "id")


class DecisionLine(NamedTuple):
    """One line of a decision log. ``at_s`` is Unix time by the clock of ``vm``."""

    at_s: float
    vm: str
    event: str
    subject: str
    details: dict[str, Any]


def parse_decision_lines(text: Iterable[str]) -> list[DecisionLine]:
    """Parse the decisions among log lines; a prefix before the JSON object is ignored."""
    lines = []
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = decode(raw[start:])
        except DecodeError:
            # A truncated line, or one of another program.
            continue
        if not isinstance(fields, dict) or not {"t", "vm", "event", "id"} <= fields.keys():
            continue
        details = {name: fields[name] for name in fields if name not in REQUIRED_FIELDS}
        lines.append(
            DecisionLine(fields["t"], fields["vm"], fields["event"], fields["id"], details)
        )
    return lines


def select_job_lines(lines: list[DecisionLine], job_id: str) -> list[DecisionLine]:
    """Return the lines that concern a job, sorted by time."""
    job_lines = [line for line in lines if line.subject.partition(".")[0] == job_id]
    if not job_lines:
        return []
    first_s = min(line.at_s for line in job_lines) - CONTEXT_MARGIN_S
    last_s = max(line.at_s for line in job_lines) + CONTEXT_MARGIN_S
    workers = {line.details["worker"] for line in job_lines if "worker" in line.details}
    context_lines = [
        line
        for line in lines
        if first_s <= line.at_s <= last_s
        and (
            line.event in COMMON_EVENTS or (line.event in WORKER_EVENTS and line.subject in workers)
        )
    ]
    return sorted(job_lines + context_lines, key=lambda line: line.at_s)


@click.command()
@click.argument("job_id")
@click.argument("logs", nargs=-1, type=click.File("r"), required=True)
def explain(job_id: str, logs: tuple[TextIO, ...]) -> None:
    """Tell the story of a job from entries' logs.

    \b
    Example:
      laburnumswitch explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
    """
    selected = select_job_lines(
        [line for log in logs for line in parse_decision_lines(log)], job_id
    )
    if not selected:
        raise click.ClickException(f"no decision on {job_id}: it reached none of these entries")
    start_s = selected[0].at_s
    for line in selected:
        details = " ".join(f"{name}={value}" for name, value in line.details.items())
        click.echo(
            f"{line.at_s - start_s:9.3f} {line.vm:20} {line.event:16} {line.subject} {details}"
        )

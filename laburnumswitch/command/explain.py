"""``explain``: the story of one job from the decision logs of all entries."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple
from typing import TextIO

import click
from msgspec import DecodeError
from msgspec.json import decode

# Events that concern every job: they are shown where they fall into the job's time.
COMMON_EVENTS = frozenset(
    {
        "takeover",
        "settled",
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
# Events of workers are shown where the job had runs there.
WORKER_EVENTS = frozenset(
    {
        "worker_lapsed",
        "worker_restarted",
        "worker_dropped",
        "worker_rests",
        "worker_draining",
        "worker_unlisted",
        "fenced",
    }
)
# Common events this much before and after the job's lines still explain them, in seconds.
MARGIN_S = 1.0
SHOWN_FIRST = ("t", "vm", "event", "id")


class Line(NamedTuple):
    """One line of a decision log; ``at_s`` is Unix time by the clock of its VM."""

    at_s: float
    vm: str
    event: str
    subject: str
    details: dict[str, Any]


def read_lines(text: Iterable[str]) -> list[Line]:
    """Return the decisions among lines of text; whatever stands before the JSON is left out."""
    lines = []
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = decode(raw[start:])
        except DecodeError:
            # A line that was cut off, or that another program wrote.
            continue
        if not isinstance(fields, dict) or not {"t", "vm", "event", "id"} <= fields.keys():
            continue
        details = {name: fields[name] for name in fields if name not in SHOWN_FIRST}
        lines.append(Line(fields["t"], fields["vm"], fields["event"], fields["id"], details))
    return lines


def select_story(lines: list[Line], job_id: str) -> list[Line]:
    """Return what concerns a job, in the order of time."""
    own = [line for line in lines if line.subject.partition(".")[0] == job_id]
    if not own:
        return []
    first_s = min(line.at_s for line in own) - MARGIN_S
    last_s = max(line.at_s for line in own) + MARGIN_S
    workers = {line.details["worker"] for line in own if "worker" in line.details}
    beside = [
        line
        for line in lines
        if first_s <= line.at_s <= last_s
        and (
            line.event in COMMON_EVENTS or (line.event in WORKER_EVENTS and line.subject in workers)
        )
    ]
    return sorted(own + beside, key=lambda line: line.at_s)


@click.command()
@click.argument("job_id")
@click.argument("logs", nargs=-1, type=click.File("r"), required=True)
def explain(job_id: str, logs: tuple[TextIO, ...]) -> None:
    """Tell the story of a job from entries' logs.

    \b
    Example:
      laburnumswitch explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
    """
    story = select_story([line for log in logs for line in read_lines(log)], job_id)
    if not story:
        raise click.ClickException(f"no line about {job_id}: it reached none of these entries")
    began_s = story[0].at_s
    for line in story:
        details = " ".join(f"{name}={value}" for name, value in line.details.items())
        click.echo(
            f"{line.at_s - began_s:9.3f} {line.vm:20} {line.event:16} {line.subject} {details}"
        )

"""``timeline``: the events of all entries, cause before effect."""

from typing import Any
from typing import NamedTuple

import click

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import read_target
from laburnumswitch.command.access import Target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.event_sources import Found
from laburnumswitch.command.event_sources import LiveReader
from laburnumswitch.command.event_sources import merge
from laburnumswitch.command.event_sources import read_stored
from laburnumswitch.command.events import clock_of
from laburnumswitch.command.events import details_text
from laburnumswitch.command.events import Event
from laburnumswitch.command.events import Filters
from laburnumswitch.command.events import FOREVER_S
from laburnumswitch.command.events import kind_of
from laburnumswitch.command.events import process_of
from laburnumswitch.command.events import Selection
from laburnumswitch.command.events import subject_of
from laburnumswitch.command.events import wall_s_of
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_json
from laburnumswitch.command.output import print_rows
from laburnumswitch.command.output import readable_time
from laburnumswitch.command.output import warn
from laburnumswitch.command.picture import write_picture
from laburnumswitch.command.zones import parse_seconds
from laburnumswitch.exceptions import Failure

FOLLOW_INTERVAL_S = 1.0


class _Wishes(NamedTuple):
    """The options that are not about where to read."""

    job: str
    worker: str
    zone: str
    request: str
    since: str
    until: str
    follow: bool
    picture: str | None
    as_json: bool


@click.command()
@target_options
@click.option("--job", default="", help="Only events of this job or task.")
@click.option("--worker", default="", help="Only events of this worker.")
@click.option("--zone", default="", help="Only events of this availability zone.")
@click.option("--request", default="", help="Only events of this request id or Idempotency-Key.")
@click.option("--since", default="", metavar="DURATION", help="Only events so long ago, as 10m.")
@click.option("--until", default="", metavar="DURATION", help="No events newer than so long ago.")
@click.option("--follow", is_flag=True, help="Go on with new events until interrupted.")
@click.option(
    "--picture",
    metavar="FILE",
    type=click.Path(dir_okay=False),
    help="Draw the events to FILE.svg or FILE.html, one lane for each entry.",
)
@json_option
@click.pass_obj
def timeline(access: Access, **options: Any) -> None:
    """Merge the events of all entries, in an order that has causes before effects.

    The entries given are tried in turn; the one that answers gathers the events of all that it
    hears. Where the platform is known too, the events that entries stored are added, also those of
    entries that are gone. --json prints one event a line.

    \b
    Examples:
      laburnumswitch timeline --entry 10.0.0.7:8300 --key-file keys --since 10m
      laburnumswitch timeline --settings settings.yaml --request order-7f3a --json
      laburnumswitch timeline --settings settings.yaml --zone az-2 --follow
      laburnumswitch timeline --platform 10.0.0.2:7000 --since 2h --until 1h
      laburnumswitch timeline --settings settings.yaml --job truck-loading --picture run.svg
    """
    wishes = _Wishes(**{name: options.pop(name) for name in _Wishes._fields})
    target = read_target(**options)
    _check(wishes, target)
    filters = Filters(
        wishes.job,
        wishes.worker,
        wishes.zone,
        wishes.request,
        _instant(access, wishes.since, 0.0),
        _instant(access, wishes.until, FOREVER_S),
    )
    reader = LiveReader(access, target)
    selection = Selection(filters)
    events = selection.pick(_read_all(access, target, reader, filters, wishes))
    if wishes.picture is not None:
        problem = write_picture(wishes.picture, events)
        if problem is not None:
            fail(problem, wishes.as_json)
        return
    _print_events(events, wishes.as_json, wishes.follow)
    if wishes.follow:
        _follow(access, reader, selection, wishes.as_json)


def _instant(access: Access, ago: str, default_s: float) -> float:
    return access.clock() - parse_seconds(ago) if ago else default_s


def _check(wishes: _Wishes, target: Target) -> None:
    target.need_any()
    if wishes.follow and not target.entries:
        raise click.UsageError("--follow needs --entry ADDRESS or --settings FILE")
    if wishes.follow and (wishes.until or wishes.picture):
        raise click.UsageError("--follow goes with neither --until nor --picture")
    if wishes.picture and not wishes.picture.endswith((".svg", ".html")):
        raise click.UsageError("--picture needs a name that ends in .svg or .html")


def _read_all(
    access: Access, target: Target, reader: LiveReader, filters: Filters, wishes: _Wishes
) -> list[Event]:
    """Return the events of every source that answers; end the command where none does."""
    outcomes: list[Found | Failure] = []
    if target.platform is not None:
        outcomes.append(read_stored(access, target.platform, filters))
    if target.entries:
        outcomes.append(_read_live(reader))
    found = [outcome for outcome in outcomes if isinstance(outcome, Found)]
    failures = [outcome for outcome in outcomes if isinstance(outcome, Failure)]
    if not found and not wishes.follow:
        fail(failures[-1], wishes.as_json)
    problems = [*failures, *(problem for part in found for problem in part.problems)]
    for problem in dict.fromkeys(problems):
        warn(problem)
    return merge(*(part.events for part in found))


def _read_live(reader: LiveReader) -> Found | Failure:
    events = reader.read()
    if isinstance(events, Failure):
        return events
    return Found(events, reader.read_losses())


def _follow(access: Access, reader: LiveReader, selection: Selection, as_json: bool) -> None:
    while True:
        access.sleep(FOLLOW_INTERVAL_S)
        events = reader.read()
        if isinstance(events, Failure):
            warn(events)
        else:
            _print_events(selection.pick(events), as_json, follow=True)


def _print_events(events: list[Event], as_json: bool, follow: bool) -> None:
    if as_json:
        for event in events:
            print_json(event)
        return
    rows = [_cells(event) for event in events]
    if rows or not follow:
        print_rows(rows, as_json)


def _cells(event: Event) -> dict[str, Any]:
    return {
        "clock": clock_of(event),
        "time": readable_time(wall_s_of(event)),
        "process": process_of(event),
        "zone": event.get("availability_zone", ""),
        "kind": kind_of(event),
        "subject": subject_of(event),
        "details": details_text(event),
    }

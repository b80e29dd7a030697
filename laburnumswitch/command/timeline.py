"""The ``timeline`` command, which merges the events of all entries in causal order."""

from typing import Any
from typing import NamedTuple

import click

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import resolve_target
from laburnumswitch.command.access import Target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.event_sources import LiveEventReader
from laburnumswitch.command.event_sources import merge_events
from laburnumswitch.command.event_sources import read_stored
from laburnumswitch.command.event_sources import SourceEvents
from laburnumswitch.command.events import clock_of
from laburnumswitch.command.events import details_text
from laburnumswitch.command.events import EventDict
from laburnumswitch.command.events import EventSelector
from laburnumswitch.command.events import Filters
from laburnumswitch.command.events import kind_of
from laburnumswitch.command.events import NO_END_S
from laburnumswitch.command.events import process_of
from laburnumswitch.command.events import subject_of
from laburnumswitch.command.events import wall_s_of
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import format_time
from laburnumswitch.command.output import print_json
from laburnumswitch.command.output import print_rows
from laburnumswitch.command.output import warn
from laburnumswitch.command.picture import write_picture
from laburnumswitch.command.zones import parse_seconds
from laburnumswitch.exceptions import Failure

FOLLOW_INTERVAL_S = 1.0


class _EventOptions(NamedTuple):
    """Options of the command other than those of the target."""

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
    event_options = _EventOptions(**{name: options.pop(name) for name in _EventOptions._fields})
    target = resolve_target(**options)
    _check_options(event_options, target)
    filters = Filters(
        event_options.job,
        event_options.worker,
        event_options.zone,
        event_options.request,
        _time_ago(access, event_options.since, 0.0),
        _time_ago(access, event_options.until, NO_END_S),
    )
    reader = LiveEventReader(access, target)
    selector = EventSelector(filters)
    events = selector.select(_read_all(access, target, reader, filters, event_options))
    if event_options.picture is not None:
        problem = write_picture(event_options.picture, events)
        if problem is not None:
            fail(problem, event_options.as_json)
        return
    _print_events(events, event_options.as_json, event_options.follow)
    if event_options.follow:
        _follow(access, reader, selector, event_options.as_json)


def _time_ago(access: Access, ago: str, default_s: float) -> float:
    return access.clock() - parse_seconds(ago) if ago else default_s


def _check_options(event_options: _EventOptions, target: Target) -> None:
    target.require_address()
    if event_options.follow and not target.entries:
        raise click.UsageError("--follow needs --entry ADDRESS or --settings FILE")
    if event_options.follow and (event_options.until or event_options.picture):
        raise click.UsageError("--follow cannot be combined with --until or --picture")
    if event_options.picture and not event_options.picture.endswith((".svg", ".html")):
        raise click.UsageError("--picture needs a file name that ends in .svg or .html")


def _read_all(
    access: Access,
    target: Target,
    reader: LiveEventReader,
    filters: Filters,
    event_options: _EventOptions,
) -> list[EventDict]:
    """Return the events of all sources that answer.

    If none does, the command fails, unless ``--follow`` goes on to poll the entries.
    """
    outcomes: list[SourceEvents | Failure] = []
    if target.platform is not None:
        outcomes.append(read_stored(access, target.platform, filters))
    if target.entries:
        outcomes.append(_read_live(reader))
    sources = [outcome for outcome in outcomes if isinstance(outcome, SourceEvents)]
    failures = [outcome for outcome in outcomes if isinstance(outcome, Failure)]
    if not sources and not event_options.follow:
        fail(failures[-1], event_options.as_json)
    problems = [*failures, *(problem for source in sources for problem in source.problems)]
    for problem in dict.fromkeys(problems):
        warn(problem)
    return merge_events(*(source.events for source in sources))


def _read_live(reader: LiveEventReader) -> SourceEvents | Failure:
    events = reader.read()
    if isinstance(events, Failure):
        return events
    return SourceEvents(events, reader.read_losses())


def _follow(
    access: Access, reader: LiveEventReader, selector: EventSelector, as_json: bool
) -> None:
    while True:
        access.sleep(FOLLOW_INTERVAL_S)
        events = reader.read()
        if isinstance(events, Failure):
            warn(events)
        else:
            _print_events(selector.select(events), as_json, follow=True)


def _print_events(events: list[EventDict], as_json: bool, follow: bool) -> None:
    if as_json:
        for event in events:
            print_json(event)
        return
    rows = [_table_row(event) for event in events]
    if rows or not follow:
        print_rows(rows, as_json)


def _table_row(event: EventDict) -> dict[str, Any]:
    return {
        "clock": clock_of(event),
        "time": format_time(wall_s_of(event)),
        "process": process_of(event),
        "zone": event.get("availability_zone", ""),
        "kind": kind_of(event),
        "subject": subject_of(event),
        "details": details_text(event),
    }

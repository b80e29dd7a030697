"""``timeline``: the events of all entries, cause before effect."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import click

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import read_target
from laburnumswitch.command.access import Target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.operator_link import ask_any
from laburnumswitch.command.operator_link import ask_one
from laburnumswitch.command.operator_link import EntryAnswer
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_json
from laburnumswitch.command.output import print_rows
from laburnumswitch.command.output import warn
from laburnumswitch.command.zones import parse_seconds
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Unavailable

FOLLOW_INTERVAL_S = 1.0

Event = dict[str, Any]


class Filters(NamedTuple):
    """What events are asked for; an empty text asks for all."""

    job: str = ""
    worker: str = ""
    zone: str = ""
    request: str = ""
    since_s: float = 0.0


@click.command()
@target_options
@click.option("--job", default="", help="Only events of this job and its tasks.")
@click.option("--worker", default="", help="Only events of this worker.")
@click.option("--zone", default="", help="Only events of this availability zone.")
@click.option("--request", default="", help="Only events of the request with this key.")
@click.option("--since", default="", metavar="DURATION", help="Only events so long ago, as 10m.")
@click.option("--follow", is_flag=True, help="Go on with new events until interrupted.")
@json_option
@click.pass_obj
def timeline(
    access: Access,
    job: str,
    worker: str,
    zone: str,
    request: str,
    since: str,
    follow: bool,
    as_json: bool,
    **options: Any,
) -> None:
    """Merge the events of all entries, in an order that has causes before effects.

    Asks every entry given and every entry that the first one knows. --json prints one event a line.

    \b
    Examples:
      laburnumswitch timeline --entry 10.0.0.7:8300 --key-file keys --since 10m
      laburnumswitch timeline --settings settings.yaml --request order-7f3a --json
      laburnumswitch timeline --settings settings.yaml --zone az-2 --follow
    """
    target = read_target(**options)
    if not target.entries:
        raise click.UsageError("needs --entry ADDRESS or --settings FILE")
    since_s = access.clock() - parse_seconds(since) if since else 0.0
    filters = Filters(job, worker, zone, request, since_s)
    after_by_address = dict.fromkeys(_addresses(access, target), 0)
    while True:
        events = _collect(access, target, after_by_address)
        if isinstance(events, Failure) and not follow:
            fail(events, as_json)
        if not isinstance(events, Failure):
            _print_events([event for event in events if matches(event, filters)], as_json, follow)
        if not follow:
            return
        access.sleep(FOLLOW_INTERVAL_S)


def matches(event: Event, filters: Filters) -> bool:
    """Return whether an event is asked for."""
    if _wall_s(event) < filters.since_s:
        return False
    wanted = (
        ("job", filters.job),
        ("worker", filters.worker),
        ("zone", filters.zone),
        ("request", filters.request),
    )
    return all(_concerns(event, kind, name) for kind, name in wanted if name)


def _concerns(event: Event, kind: str, name: str) -> bool:
    if kind == "zone" and event.get("availability_zone") == name:
        return True
    details = event.get("details")
    if isinstance(details, dict) and details.get(kind) == name:
        return True
    subject = str(event.get("subject", ""))
    if kind == "job":
        # A task is named after its job, and a run after its task.
        return subject == name or subject.startswith((f"{name}.", f"{name}/"))
    return subject == name


def _addresses(access: Access, target: Target) -> tuple[str, ...]:
    answer = ask_any(access, target, "GET", "/operator/status")
    rows = answer.rows if isinstance(answer, EntryAnswer) else ()
    known = [row["address"] for row in rows if isinstance(row.get("address"), str)]
    return tuple(dict.fromkeys((*target.entries, *known)))


def _collect(
    access: Access, target: Target, after_by_address: dict[str, int]
) -> list[Event] | Failure:
    """Return the new events of all entries in order, and remember how far each was read."""
    events: list[Event] = []
    answered = False
    for address, after in after_by_address.items():
        answer = ask_one(access, target, address, "GET", f"/operator/timeline?after={after}")
        if isinstance(answer, Failure):
            warn(answer)
            continue
        answered = True
        events.extend(answer.rows)
        after_by_address[address] = max([after, *map(_clock, answer.rows)])
    if not answered:
        return Unavailable("no entry answered")
    return sorted(events, key=_order)


def _print_events(events: Iterable[Event], as_json: bool, follow: bool) -> None:
    if as_json:
        for event in events:
            print_json(event)
        return
    rows = [_cells(event) for event in events]
    if rows or not follow:
        print_rows(rows, as_json)


def _cells(event: Event) -> dict[str, Any]:
    details = event.get("details")
    pairs = details.items() if isinstance(details, dict) else ()
    return {
        "clock": _clock(event),
        "time": f"{_wall_s(event):.3f}",
        "process": event.get("process", ""),
        "zone": event.get("availability_zone", ""),
        "kind": event.get("kind", ""),
        "subject": event.get("subject", ""),
        "details": " ".join(f"{name}={value}" for name, value in pairs),
    }


def _order(event: Event) -> tuple[int, str]:
    return (_clock(event), str(event.get("process", "")))


def _clock(event: Event) -> int:
    clock = event.get("clock")
    return clock if isinstance(clock, int) else 0


def _wall_s(event: Event) -> float:
    wall_s = event.get("wall_s")
    return float(wall_s) if isinstance(wall_s, int | float) else 0.0

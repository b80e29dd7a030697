"""``timeline``: the events of all entries, cause before effect."""

from collections import deque
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import click
from msgspec.json import encode

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import read_target
from laburnumswitch.command.access import Target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.operator_link import ask_any
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_json
from laburnumswitch.command.output import print_rows
from laburnumswitch.command.output import readable_time
from laburnumswitch.command.output import warn
from laburnumswitch.command.zones import parse_seconds
from laburnumswitch.exceptions import Failure

FOLLOW_INTERVAL_S = 1.0
OVERLAP_READS = 10

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

    The entries given are tried in turn; the one that answers gathers the events of all that it
    hears. --json prints one event a line.

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
    reader = _Reader(access, target)
    while True:
        events = reader.read()
        if isinstance(events, Failure):
            if not follow:
                fail(events, as_json)
            warn(events)
        else:
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
        return name in _names_of_job(subject)
    return subject == name


def _names_of_job(subject: str) -> tuple[str, str]:
    """Return the id and the declared name of the job that a task, run or job belongs to."""
    job_id = subject.partition(":")[0]
    return job_id, job_id.partition("@")[0]


class _Reader:
    """Reads the events of all entries, each once.

    An entry may record an event with a clock below the highest one seen, though not one from
    before the last few heartbeats. So each read begins at what was highest ``OVERLAP_READS`` ago.
    """

    def __init__(self, access: Access, target: Target) -> None:
        self._access = access
        self._target = target
        self._highest: deque[int] = deque([0], maxlen=OVERLAP_READS)
        self._clock_by_key: dict[str, int] = {}

    def read(self) -> list[Event] | Failure:
        """Return the events that are new since the last read, causes before effects."""
        after = self._highest[0]
        answer = ask_any(self._access, self._target, "GET", f"/operator/timeline?after={after}")
        if isinstance(answer, Failure):
            return answer
        found = {_key(event): event for event in answer.rows}
        new = [event for key, event in found.items() if key not in self._clock_by_key]
        self._clock_by_key.update({_key(event): _clock(event) for event in new})
        self._highest.append(max([self._highest[-1], *map(_clock, new)]))
        self._forget(self._highest[0])
        return sorted(new, key=_order)

    def _forget(self, after: int) -> None:
        kept = {key: clock for key, clock in self._clock_by_key.items() if clock > after}
        self._clock_by_key = kept


def _key(event: Event) -> str:
    return encode(event, order="sorted").decode()


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
        "time": readable_time(_wall_s(event)),
        "process": event.get("process", ""),
        "zone": event.get("availability_zone", ""),
        "kind": event.get("kind", ""),
        "subject": event.get("subject", ""),
        "details": " ".join(f"{name}={value}" for name, value in pairs if value != ""),
    }


def _order(event: Event) -> tuple[int, str]:
    return (_clock(event), str(event.get("process", "")))


def _clock(event: Event) -> int:
    clock = event.get("clock")
    return clock if isinstance(clock, int) else 0


def _wall_s(event: Event) -> float:
    wall_s = event.get("wall_s")
    return float(wall_s) if isinstance(wall_s, int | float) else 0.0

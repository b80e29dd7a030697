"""Checks of a whole set of declarations: names, hosts, teams, order of jobs, schedules."""

from collections.abc import Iterator
from datetime import datetime
from datetime import UTC
from functools import cache
from typing import NamedTuple
from zoneinfo import available_timezones
from zoneinfo import ZoneInfo

from cronsim import CronSim
from cronsim import CronSimError

from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.declaration import Team
from laburnumswitch.exceptions import CyclicOrder
from laburnumswitch.exceptions import DuplicateName
from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import UnknownName
from laburnumswitch.yamlfields import invalid
from laburnumswitch.yamlfields import nearest
from laburnumswitch.yamlfile import Path
from laburnumswitch.yamlfile import show_path
from laburnumswitch.yamlfile import YamlDocument

CRON_FIELDS = 5
SCHEDULE_PROBE = datetime(2024, 1, 1, tzinfo=UTC)


class Declared(NamedTuple):
    """One declaration and the document that it was read from."""

    kind: str
    item: Service | Job | Team
    document: YamlDocument


def check_set(declared: tuple[Declared, ...], complete: bool) -> Iterator[FileProblem]:
    """Yield what is wrong between declarations.

    :param complete: whether every declaration could be read; references are only judged then,
        since what they refer to may be among the unreadable ones.
    """
    yield from _duplicate_names(declared)
    yield from _duplicate_hosts(declared)
    jobs = [found for found in declared if isinstance(found.item, Job)]
    for found in jobs:
        yield from _schedule_problems(found)
    if not complete:
        return
    yield from _unknown_teams(declared)
    yield from _unknown_predecessors(jobs)
    yield from _cycles(jobs)


def _duplicate_names(declared: tuple[Declared, ...]) -> Iterator[FileProblem]:
    by_name: dict[tuple[bool, str], Declared] = {}
    for found in declared:
        # Services and jobs share their names, since both become tasks.
        key = (found.kind == "team", found.item.name)
        first = by_name.setdefault(key, found)
        if first is not found:
            yield _duplicate(found, ("name",), found.item.name, first, ("name",))


def _duplicate_hosts(declared: tuple[Declared, ...]) -> Iterator[FileProblem]:
    by_host: dict[str, tuple[Declared, int]] = {}
    for found in declared:
        if not isinstance(found.item, Service):
            continue
        for index, host in enumerate(found.item.hosts):
            first, first_index = by_host.setdefault(host, (found, index))
            if (first, first_index) != (found, index):
                yield _duplicate(found, ("hosts", index), host, first, ("hosts", first_index))


def _duplicate(
    found: Declared, path: Path, name: str, first: Declared, first_path: Path
) -> DuplicateName:
    place = found.document.value_place(path)
    line = first.document.value_place(first_path).line
    other = f"{first.document.path}:{line}"
    return DuplicateName(found.document.path, *place, show_path(path), name, other)


def _unknown_teams(declared: tuple[Declared, ...]) -> Iterator[FileProblem]:
    teams = {found.item.name for found in declared if isinstance(found.item, Team)}
    for found in declared:
        if not isinstance(found.item, Team) and found.item.team not in teams:
            yield _unknown(found, ("team",), found.item.team, teams)


def _unknown_predecessors(jobs: list[Declared]) -> Iterator[FileProblem]:
    names = {found.item.name for found in jobs}
    for found in jobs:
        for index, name in enumerate(found.item.after):
            if name not in names:
                yield _unknown(found, ("after", index), name, names)


def _unknown(found: Declared, path: Path, name: str, known: set[str]) -> UnknownName:
    place = found.document.value_place(path)
    near = nearest(name, known)
    return UnknownName(found.document.path, *place, show_path(path), name, near)


def _cycles(jobs: list[Declared]) -> Iterator[FileProblem]:
    by_name = {found.item.name: found for found in jobs}
    settled: set[str] = set()
    for start in sorted(by_name):
        cycle = _find_cycle(by_name, start, settled)
        if cycle:
            found = by_name[cycle[0]]
            place = found.document.value_place(("after",))
            yield CyclicOrder(found.document.path, *place, "after", cycle)


def _find_cycle(by_name: dict[str, Declared], start: str, settled: set[str]) -> tuple[str, ...]:
    """Return the first circle found from ``start``, and add what was visited to ``settled``."""
    if start in settled:
        return ()
    cycle: tuple[str, ...] = ()
    trail = [start]
    waiting = [iter(by_name[start].item.after)]
    while trail:
        name = next(waiting[-1], None)
        if name is None:
            settled.add(trail.pop())
            waiting.pop()
        elif name in trail:
            cycle = cycle or (*trail[trail.index(name) :], name)
        elif name in by_name and name not in settled:
            trail.append(name)
            waiting.append(iter(by_name[name].item.after))
    return cycle


def _schedule_problems(found: Declared) -> Iterator[FileProblem]:
    job = found.item
    if job.time_zone not in _time_zones():
        yield _unknown(found, ("time_zone",), job.time_zone, _time_zones())
        return
    if job.schedule == "":
        return
    if len(job.schedule.split()) != CRON_FIELDS:
        yield invalid(found.document, ("schedule",), f"expected {CRON_FIELDS} cron fields")
        return
    try:
        first = next(
            CronSim(job.schedule, SCHEDULE_PROBE.astimezone(ZoneInfo(job.time_zone))), None
        )
    except CronSimError as error:
        yield invalid(found.document, ("schedule",), str(error))
        return
    if first is None:
        yield invalid(found.document, ("schedule",), "this schedule never fires")


@cache
def _time_zones() -> set[str]:
    return available_timezones()

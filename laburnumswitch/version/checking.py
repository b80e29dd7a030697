"""Validates a set of declarations: names, hosts, teams, job dependencies and schedules."""

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
from laburnumswitch.yamlfields import closest_name
from laburnumswitch.yamlfields import invalid_value
from laburnumswitch.yamlfile import format_path
from laburnumswitch.yamlfile import Path
from laburnumswitch.yamlfile import YamlDocument

CRON_FIELDS = 5
SCHEDULE_CHECK_START = datetime(2024, 1, 1, tzinfo=UTC)


class ParsedDeclaration(NamedTuple):
    """A declaration and the YAML document it was parsed from."""

    kind: str
    item: Service | Job | Team
    document: YamlDocument


def validate_declarations(
    declarations: tuple[ParsedDeclaration, ...], all_parsed: bool
) -> Iterator[FileProblem]:
    """Yield the problems of a set of declarations.

    :param all_parsed: whether every declaration could be parsed; otherwise references are not
        checked, because they may refer to a declaration that failed to parse.
    """
    yield from _duplicate_names(declarations)
    yield from _duplicate_hosts(declarations)
    jobs = [declaration for declaration in declarations if isinstance(declaration.item, Job)]
    for declaration in jobs:
        yield from _schedule_problems(declaration)
    if not all_parsed:
        return
    yield from _unknown_teams(declarations)
    yield from _unknown_predecessors(jobs)
    yield from _cycles(jobs)


def _duplicate_names(declarations: tuple[ParsedDeclaration, ...]) -> Iterator[FileProblem]:
    by_name: dict[tuple[bool, str], ParsedDeclaration] = {}
    for declaration in declarations:
        # Services and jobs share one namespace because both become tasks.
        key = (declaration.kind == "team", declaration.item.name)
        first = by_name.setdefault(key, declaration)
        if first is not declaration:
            yield _make_duplicate_name(
                declaration, ("name",), declaration.item.name, first, ("name",)
            )


def _duplicate_hosts(declarations: tuple[ParsedDeclaration, ...]) -> Iterator[FileProblem]:
    by_host: dict[str, tuple[ParsedDeclaration, int]] = {}
    for declaration in declarations:
        if not isinstance(declaration.item, Service):
            continue
        for index, host in enumerate(declaration.item.hosts):
            first, first_index = by_host.setdefault(host, (declaration, index))
            if (first, first_index) != (declaration, index):
                yield _make_duplicate_name(
                    declaration, ("hosts", index), host, first, ("hosts", first_index)
                )


def _make_duplicate_name(
    declaration: ParsedDeclaration,
    path: Path,
    name: str,
    first: ParsedDeclaration,
    first_path: Path,
) -> DuplicateName:
    position = declaration.document.value_position(path)
    line = first.document.value_position(first_path).line
    other = f"{first.document.file_path}:{line}"
    return DuplicateName(declaration.document.file_path, *position, format_path(path), name, other)


def _unknown_teams(declarations: tuple[ParsedDeclaration, ...]) -> Iterator[FileProblem]:
    teams = {
        declaration.item.name for declaration in declarations if isinstance(declaration.item, Team)
    }
    for declaration in declarations:
        if not isinstance(declaration.item, Team) and declaration.item.team not in teams:
            yield _make_unknown_name(declaration, ("team",), declaration.item.team, teams)


def _unknown_predecessors(jobs: list[ParsedDeclaration]) -> Iterator[FileProblem]:
    names = {declaration.item.name for declaration in jobs}
    for declaration in jobs:
        for index, name in enumerate(declaration.item.after):
            if name not in names:
                yield _make_unknown_name(declaration, ("after", index), name, names)


def _make_unknown_name(
    declaration: ParsedDeclaration, path: Path, name: str, known: set[str]
) -> UnknownName:
    position = declaration.document.value_position(path)
    suggestion = closest_name(name, known)
    return UnknownName(
        declaration.document.file_path, *position, format_path(path), name, suggestion
    )


def _cycles(jobs: list[ParsedDeclaration]) -> Iterator[FileProblem]:
    by_name = {declaration.item.name: declaration for declaration in jobs}
    visited: set[str] = set()
    for start in sorted(by_name):
        cycle = _find_cycle(by_name, start, visited)
        if cycle:
            declaration = by_name[cycle[0]]
            position = declaration.document.value_position(("after",))
            yield CyclicOrder(declaration.document.file_path, *position, "after", cycle)


def _find_cycle(
    by_name: dict[str, ParsedDeclaration], start: str, visited: set[str]
) -> tuple[str, ...]:
    """Return the first cycle reachable from ``start`` and add visited jobs to ``visited``."""
    if start in visited:
        return ()
    cycle: tuple[str, ...] = ()
    stack = [start]
    iterators = [iter(by_name[start].item.after)]
    while stack:
        name = next(iterators[-1], None)
        if name is None:
            visited.add(stack.pop())
            iterators.pop()
        elif name in stack:
            cycle = cycle or (*stack[stack.index(name) :], name)
        elif name in by_name and name not in visited:
            stack.append(name)
            iterators.append(iter(by_name[name].item.after))
    return cycle


def _schedule_problems(declaration: ParsedDeclaration) -> Iterator[FileProblem]:
    job = declaration.item
    if job.time_zone not in _time_zones():
        yield _make_unknown_name(declaration, ("time_zone",), job.time_zone, _time_zones())
        return
    if job.schedule == "":
        return
    if len(job.schedule.split()) != CRON_FIELDS:
        yield invalid_value(
            declaration.document, ("schedule",), f"expected {CRON_FIELDS} cron fields"
        )
        return
    try:
        first = next(
            CronSim(job.schedule, SCHEDULE_CHECK_START.astimezone(ZoneInfo(job.time_zone))), None
        )
    except CronSimError as error:
        yield invalid_value(declaration.document, ("schedule",), str(error))
        return
    if first is None:
        yield invalid_value(declaration.document, ("schedule",), "this schedule never fires")


@cache
def _time_zones() -> set[str]:
    return available_timezones()

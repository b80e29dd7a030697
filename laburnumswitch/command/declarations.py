"""The ``check`` and ``publish`` commands for declaration files."""

import sys
from typing import Any

import click

from laburnumswitch.change import Change
from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import resolve_target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_json
from laburnumswitch.declaration import Configuration
from laburnumswitch.exceptions import ConfigurationChanged
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.exceptions import RemovalsRefused
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.version.document import diff_configurations
from laburnumswitch.version.publish import configuration_changed
from laburnumswitch.version.publish import CurrentConfiguration
from laburnumswitch.version.publish import publish
from laburnumswitch.version.publish import Published
from laburnumswitch.version.publish import read_current
from laburnumswitch.version.publish import read_previous
from laburnumswitch.version.reading import read_paths

paths_argument = click.argument("paths", nargs=-1, required=True, metavar="PATH...")


@click.command()
@paths_argument
@json_option
def check(paths: tuple[str, ...], as_json: bool) -> None:
    """Check declaration files, and folders for the files named laburnumswitch.yaml below them.

    \b
    Examples:
      laburnumswitch check services/orders/laburnumswitch.yaml
      laburnumswitch check . --json
    """
    configuration = _read(paths, as_json)
    counts = {
        "services": len(configuration.services),
        "jobs": len(configuration.jobs),
        "teams": len(configuration.teams),
    }
    if as_json:
        print_json(counts)
        return
    click.echo("ok: " + ", ".join(f"{count} {name}" for name, count in counts.items()))


@click.command("publish")
@paths_argument
@target_options
@click.option("--dry-run", is_flag=True, help="Only show the difference to what is in force.")
@click.option(
    "--expect", type=click.IntRange(min=0), help="Refuse unless this version is in force."
)
@click.option("--allow-removals", is_flag=True, help="Allow what is not in PATH to be removed.")
@click.option("--yes", is_flag=True, help="Do not ask, also on a terminal.")
@json_option
@click.pass_obj
def publish_command(
    access: Access,
    paths: tuple[str, ...],
    dry_run: bool,
    expect: int | None,
    allow_removals: bool,
    yes: bool,
    as_json: bool,
    **options: Any,
) -> None:
    """Put the declarations in PATH in force, as a whole.

    Shows the difference to what is in force first. Safe to repeat when the answer was lost. When
    somebody else published in between nothing is changed, and what they did is shown.

    \b
    Examples:
      laburnumswitch publish . --platform 10.0.0.2:7000 --dry-run
      laburnumswitch publish . --platform 10.0.0.2:7000 --expect 41
      laburnumswitch publish . --settings settings.yaml --allow-removals --yes
    """
    declared = _read(paths, as_json)
    platform = resolve_target(**options).require_platform()
    table = access.open_table(platform.table)
    objects = access.open_objects(platform.objects)
    in_force = read_current(table, objects)
    if isinstance(in_force, Failure):
        fail(in_force, as_json)
    version = in_force.configuration.version
    if expect is not None and expect != version:
        fail(_describe_changes_since(objects, in_force, expect), as_json)
    changes = diff_configurations(in_force.configuration, declared)
    if not as_json:
        _print_changes(version, changes)
    if dry_run:
        _print_outcome("dry-run", version, changes, as_json)
        return
    removals = tuple(change for change in changes if change.what == "removed")
    if removals and not allow_removals:
        fail(RemovalsRefused(removals), as_json)
    if changes and not yes and not as_json and sys.stdin.isatty():
        click.confirm("publish?", abort=True)
    outcome = publish(table, objects, declared, in_force, access.sleep)
    if isinstance(outcome, Failure):
        fail(outcome, as_json)
    outcome_name = "published" if isinstance(outcome, Published) else "unchanged"
    _print_outcome(outcome_name, outcome.configuration.version, changes, as_json)


def _read(paths: tuple[str, ...], as_json: bool) -> Configuration:
    configuration = read_paths(paths)
    if isinstance(configuration, ProblemsFound):
        if as_json:
            print_json({"problems": [_problem_fields(found) for found in configuration.problems]})
        fail(configuration, as_json)
    return configuration


def _describe_changes_since(
    objects: ObjectStore, in_force: CurrentConfiguration, version: int
) -> ConfigurationChanged:
    """Return the changes since ``version``; the list is empty if that version cannot be read."""
    previous = read_previous(objects, in_force, version)
    if isinstance(previous, Failure):
        return ConfigurationChanged(version, in_force.configuration.version, ())
    return configuration_changed(previous, in_force.configuration)


def _problem_fields(problem: FileProblem) -> dict[str, Any]:
    return {
        "path": problem.path,
        "line": problem.line,
        "column": problem.column,
        "field": problem.field,
        "problem": problem.tag,
        "message": problem.explain(),
    }


def _print_changes(version: int, changes: tuple[Change, ...]) -> None:
    click.echo(f"compared with version {version}:" if changes else "nothing differs")
    for change in changes:
        click.echo(f"  {change.describe()}")


def _print_outcome(
    outcome_name: str, version: int, changes: tuple[Change, ...], as_json: bool
) -> None:
    if not as_json:
        click.echo(f"{outcome_name}: version {version}")
        return
    encodable_changes = [
        {**change._asdict(), "fields": [field._asdict() for field in change.fields]}
        for change in changes
    ]
    print_json({"outcome": outcome_name, "version": version, "changes": encodable_changes})

"""The ``status`` and ``workers`` commands, which show the state that entries report."""

from typing import Any

import click
from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import resolve_target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.operator_client import call_any_entry
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_rows
from laburnumswitch.exceptions import Failure
from laburnumswitch.size import Size
from laburnumswitch.units import MILLIS_PER_CORE

MB_PER_GB = 1_000
SIZE_COLUMNS = ("capacity", "committed")


@click.command()
@target_options
@json_option
@click.pass_obj
def status(access: Access, as_json: bool, **options: Any) -> None:
    """Show the entries: zone, configuration in force, shards, live peers.

    \b
    Examples:
      laburnumswitch status --entry 10.0.0.7:8300 --key-file keys
      laburnumswitch status --settings settings.yaml --json
    """
    _print_list(access, "/operator/status", as_json, options)


@click.command()
@target_options
@json_option
@click.pass_obj
def workers(access: Access, as_json: bool, **options: Any) -> None:
    """Show the workers: rack, capacity, what is committed, quarantine.

    \b
    Examples:
      laburnumswitch workers --entry 10.0.0.7:8300 --key-file keys
      laburnumswitch workers --settings settings.yaml --json
    """
    _print_list(access, "/operator/workers", as_json, options)


def _print_list(access: Access, path: str, as_json: bool, options: dict[str, Any]) -> None:
    target = resolve_target(**options)
    if not target.entries:
        raise click.UsageError("needs --entry ADDRESS or --settings FILE")
    response = call_any_entry(access, target, "GET", path)
    if isinstance(response, Failure):
        fail(response, as_json)
    rows = response.rows if as_json else [_with_readable_sizes(row) for row in response.rows]
    print_rows(rows, as_json)


def _with_readable_sizes(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row with its sizes as text."""
    return {
        name: _format_size(value) if name in SIZE_COLUMNS else value for name, value in row.items()
    }


def _format_size(value: object) -> object:
    try:
        size = convert(value, Size)
    except ValidationError:
        return value
    text = f"{size.cpu_millis / MILLIS_PER_CORE:g} cores, {size.memory_mb / MB_PER_GB:g} GB"
    return f"{text}, {size.accelerators} accelerators" if size.accelerators else text

"""``status`` and ``workers``: what the entries know."""

import click

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import read_target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.operator_link import ask_any
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_rows
from laburnumswitch.exceptions import Failure


@click.command()
@target_options
@json_option
@click.pass_obj
def status(access: Access, as_json: bool, **options: str) -> None:
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
def workers(access: Access, as_json: bool, **options: str) -> None:
    """Show the workers: rack, capacity, what is committed, quarantine.

    \b
    Examples:
      laburnumswitch workers --entry 10.0.0.7:8300 --key-file keys
      laburnumswitch workers --settings settings.yaml --json
    """
    _print_list(access, "/operator/workers", as_json, options)


def _print_list(access: Access, path: str, as_json: bool, options: dict[str, str]) -> None:
    target = read_target(**options)
    if not target.entries:
        raise click.UsageError("needs --entry ADDRESS or --settings FILE")
    answer = ask_any(access, target, "GET", path)
    if isinstance(answer, Failure):
        fail(answer, as_json)
    print_rows(answer.rows, as_json)

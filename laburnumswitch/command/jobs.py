"""``jobs`` and ``job``: what the batch jobs do, and cancelling them."""

from typing import Any
from urllib.parse import quote

import click

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import read_target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.operator_link import ask_any
from laburnumswitch.command.operator_link import ask_or_read
from laburnumswitch.command.operator_link import Rows
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_rows
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.conditional import write_row
from laburnumswitch.process.settings import Platform
from laburnumswitch.process.table import ABSENT_VERSION
from laburnumswitch.process.table import Row
from laburnumswitch.process.table import scan_all
from laburnumswitch.process.table import Table

PREFIX = "job/"
CANCEL_ATTEMPTS = 10
CANCELLED_FIELD = "cancelled"


@click.command()
@target_options
@json_option
@click.pass_obj
def jobs(access: Access, as_json: bool, **options: Any) -> None:
    """Show the jobs that were admitted.

    \b
    Examples:
      laburnumswitch jobs --entry 10.0.0.7:8300 --key-file keys
      laburnumswitch jobs --platform 10.0.0.2:7000 --json
    """
    target = read_target(**options)
    target.need_any()
    rows = ask_or_read(access, target, "/operator/jobs", _list_rows)
    if isinstance(rows, Failure):
        fail(rows, as_json)
    print_rows(rows, as_json)


@click.group()
def job() -> None:
    """Show or cancel one job."""


@job.command("show")
@click.argument("job_id", metavar="ID")
@target_options
@json_option
@click.pass_obj
def job_show(access: Access, job_id: str, as_json: bool, **options: Any) -> None:
    """Show everything known about the job ID.

    \b
    Example:
      laburnumswitch job show truck-loading --entry 10.0.0.7:8300 --key-file keys
    """
    target = read_target(**options)
    target.need_any()

    def read_row(access: Access, platform: Platform) -> Rows | Failure:
        return _show_row(access.open_table(platform.table), job_id)

    rows = ask_or_read(access, target, f"/operator/jobs/{quote(job_id, safe='')}", read_row)
    if isinstance(rows, Failure):
        fail(rows, as_json)
    if as_json or len(rows) != 1:
        print_rows(rows, as_json)
        return
    print_rows([{"field": name, "value": value} for name, value in rows[0].items()], as_json)


@job.command("cancel")
@click.argument("job_id", metavar="ID")
@target_options
@json_option
@click.pass_obj
def job_cancel(access: Access, job_id: str, as_json: bool, **options: Any) -> None:
    """Cancel the job ID: its tasks that wait never start, those that run are stopped.

    Repeating it is safe. With --platform it writes to the table, else it asks an entry.

    \b
    Example:
      laburnumswitch job cancel truck-loading --platform 10.0.0.2:7000
    """
    target = read_target(**options)
    target.need_any()
    outcome: object
    if target.platform is not None:
        outcome = cancel(access.open_table(target.platform.table), job_id, access)
    else:
        path = f"/operator/jobs/{quote(job_id, safe='')}/cancel"
        outcome = ask_any(access, target, "POST", path)
    if isinstance(outcome, Failure):
        fail(outcome, as_json)
    print_rows([{"job": job_id, CANCELLED_FIELD: True}], as_json)


def cancel(table: Table, job_id: str, access: Access) -> None | Failure:
    """Set ``cancelled`` in a job's row; entries that change the row meanwhile are no conflict."""
    key = PREFIX + job_id
    outcome: object = None
    for _ in range(CANCEL_ATTEMPTS):
        rows = table.read((key,))
        if isinstance(rows, Failure):
            return rows
        row = rows[key]
        if row.version == ABSENT_VERSION:
            return NotFound(key)
        if not isinstance(row.value, dict):
            return RowMalformed(key, "expected a mapping")
        if row.value.get(CANCELLED_FIELD) is True:
            return None
        value = {**row.value, CANCELLED_FIELD: True}
        outcome = write_row(table, key, row.version, value, access.sleep)
        if not isinstance(outcome, Conflict):
            break
    return outcome if isinstance(outcome, Failure) else None


def _list_rows(access: Access, platform: Platform) -> Rows | Failure:
    rows = scan_all(access.open_table(platform.table), PREFIX)
    if isinstance(rows, Failure):
        return rows
    return tuple(_scalars(row) for row in rows)


def _show_row(table: Table, job_id: str) -> Rows | Failure:
    key = PREFIX + job_id
    rows = table.read((key,))
    if isinstance(rows, Failure):
        return rows
    row = rows[key]
    if row.version == ABSENT_VERSION:
        return NotFound(key)
    return ({"job": job_id, **(row.value if isinstance(row.value, dict) else {})},)


def _scalars(row: Row) -> dict[str, Any]:
    fields = row.value if isinstance(row.value, dict) else {}
    cells = {name: value for name, value in fields.items() if not isinstance(value, dict | list)}
    return {"job": row.key.removeprefix(PREFIX), **cells}

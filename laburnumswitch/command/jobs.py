"""The ``jobs`` and ``job`` commands, which list, show and cancel batch jobs."""

from typing import Any
from urllib.parse import quote

import click

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import resolve_target
from laburnumswitch.command.access import Target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.operator_client import call_any_entry
from laburnumswitch.command.operator_client import call_or_read_platform
from laburnumswitch.command.operator_client import Rows
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import format_time
from laburnumswitch.command.output import print_rows
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.admission.job_row import cancel_jobs_by_id
from laburnumswitch.process.daemon.settings import Platform
from laburnumswitch.process.operating.views import view_jobs

CANCEL_ATTEMPTS = 10
RETRY_DELAY_S = 0.3
TIMESTAMP_COLUMNS = ("created_s", "ended_s")


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
    target = resolve_target(**options)
    target.require_address()
    rows = call_or_read_platform(access, target, "/operator/jobs", _list_jobs)
    if isinstance(rows, Failure):
        fail(rows, as_json)
    print_rows(rows if as_json else [_with_readable_times(row) for row in rows], as_json)


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
      laburnumswitch job show truck-loading@20261203T173000Z --entry 10.0.0.7:8300 --key-file keys
    """
    target = resolve_target(**options)
    target.require_address()

    rows = _find_job(access, target, job_id)
    if isinstance(rows, Failure):
        fail(rows, as_json)
    if as_json or len(rows) != 1:
        print_rows(rows, as_json)
        return
    cells = _with_readable_times(rows[0]).items()
    print_rows([{"field": name, "value": value} for name, value in cells], as_json)


@job.command("cancel")
@click.argument("job_id", metavar="ID")
@target_options
@json_option
@click.pass_obj
def job_cancel(access: Access, job_id: str, as_json: bool, **options: Any) -> None:
    """Cancel the job ID: its tasks that wait never start, those that run are stopped.

    Repeating it is safe, and a job that has ended is left as it is. With --platform it writes to
    the table, else it asks an entry.

    \b
    Example:
      laburnumswitch job cancel truck-loading@20261203T173000Z --platform 10.0.0.2:7000
    """
    target = resolve_target(**options)
    target.require_address()
    if target.platform is not None:
        outcome = _cancel_on_platform(access, target.platform, job_id)
    else:
        path = f"/operator/jobs/{quote(job_id, safe='')}/cancel"
        outcome = call_any_entry(access, target, "POST", path)
    if isinstance(outcome, Failure):
        fail(outcome, as_json)
    rows = _find_job(access, target, job_id)
    state = rows[0].get("state", "") if isinstance(rows, tuple) and rows else ""
    print_rows([{"job_id": job_id, "state": state}], as_json)


def _cancel_on_platform(access: Access, platform: Platform, job_id: str) -> object | Failure:
    """Cancel a job, retrying on conflicts with entries, lost answers and throttling.

    :return: ``OutcomeUnknown`` if an answer was lost and no later one settled the outcome.
    """
    table = access.open_table(platform.table)
    lost_answer: OutcomeUnknown | None = None
    for _ in range(CANCEL_ATTEMPTS):
        outcome = cancel_jobs_by_id(table, (job_id,), access.clock())
        if not isinstance(outcome, Conflict | OutcomeUnknown | Throttled):
            return lost_answer if lost_answer and isinstance(outcome, Unavailable) else outcome
        if isinstance(outcome, OutcomeUnknown):
            lost_answer = outcome
        access.sleep(RETRY_DELAY_S)
    return lost_answer or outcome


def _find_job(access: Access, target: Target, job_id: str) -> Rows | Failure:
    def read_row(access: Access, platform: Platform) -> Rows | Failure:
        rows = _list_jobs(access, platform)
        if isinstance(rows, Failure):
            return rows
        found = tuple(row for row in rows if row["job_id"] == job_id)
        return found or NotFound(job_id)

    return call_or_read_platform(
        access, target, f"/operator/jobs/{quote(job_id, safe='')}", read_row
    )


def _list_jobs(access: Access, platform: Platform) -> Rows | Failure:
    views = view_jobs(access.open_table(platform.table))
    return views if isinstance(views, Failure) else tuple(view._asdict() for view in views)


def _with_readable_times(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row with its timestamps as text."""
    cells = {}
    for name, value in row.items():
        if name in TIMESTAMP_COLUMNS and isinstance(value, int | float):
            cells[name.removesuffix("_s")] = format_time(value)
        else:
            cells[name] = value
    return cells

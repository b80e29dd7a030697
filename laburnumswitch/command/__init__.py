"""Command-line interface."""

import click

from laburnumswitch import __version__
from laburnumswitch.command.access import Access
from laburnumswitch.command.completion import completion
from laburnumswitch.command.daemon import entry
from laburnumswitch.command.declarations import check
from laburnumswitch.command.declarations import publish_command
from laburnumswitch.command.down_times import downtimes
from laburnumswitch.command.explain import explain
from laburnumswitch.command.jobs import job
from laburnumswitch.command.jobs import jobs
from laburnumswitch.command.status import status
from laburnumswitch.command.status import workers
from laburnumswitch.command.tenants import tenants
from laburnumswitch.command.timeline import timeline
from laburnumswitch.command.zones import zone
from laburnumswitch.command.zones import zones


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
@click.pass_context
def main(context: click.Context) -> None:
    """Run and operate the laburnumswitch scheduler.

    Exit codes: 0 done, 1 failure, 2 wrong usage, 3 somebody else changed it, 4 nothing reachable
    and nothing done, 5 unknown whether it was done.
    """
    if context.obj is None:
        context.obj = Access()


for command in (
    check,
    completion,
    downtimes,
    entry,
    explain,
    job,
    jobs,
    publish_command,
    status,
    tenants,
    timeline,
    workers,
    zone,
    zones,
):
    main.add_command(command)

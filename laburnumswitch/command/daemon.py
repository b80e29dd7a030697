"""``entry``: the daemon."""

import click

from laburnumswitch.command.output import fail
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.settings import read_settings


@click.command()
@click.option("--settings", "settings_file", metavar="FILE", required=True, help="Settings file.")
def entry(settings_file: str) -> None:
    """Run the entry daemon until it is stopped by SIGTERM.

    \b
    Example:
      laburnumswitch entry --settings /etc/laburnumswitch/settings.yaml
    """
    settings = read_settings(settings_file)
    if isinstance(settings, Failure):
        fail(settings)
    # Imported late, so that the other commands start without the daemon's modules.
    from laburnumswitch.entry import run_entry

    outcome = run_entry(settings)
    if isinstance(outcome, Failure):
        fail(outcome)

"""The ``entry`` command, which runs the daemon."""

import click

from laburnumswitch.command.output import fail
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.daemon.reload_signal import deliver_reload_signal
from laburnumswitch.process.daemon.settings import read_settings


@click.command()
@click.option("--settings", "settings_file", metavar="FILE", help="Settings file (YAML).")
@click.option(
    "--node-settings",
    "node_file",
    metavar="FILE",
    envvar="LABURNUMSWITCH_CONFIG",
    help="Settings that the users' platform writes (TOML); taken without --settings.",
)
def entry(settings_file: str | None, node_file: str | None) -> None:
    """Run the entry daemon until it is stopped by SIGTERM.

    \b
    Example:
      laburnumswitch entry --settings /etc/laburnumswitch/settings.yaml
    """
    if settings_file is None and node_file is None:
        raise click.UsageError("one of --settings and --node-settings is needed")
    outcome = _run_with_node_settings(node_file) if settings_file is None else _run(settings_file)
    if isinstance(outcome, Failure):
        fail(outcome)


# The daemon modules are imported lazily to keep the start-up of other commands fast.


def _run(settings_file: str) -> None | Failure:
    settings = read_settings(settings_file)
    if isinstance(settings, Failure):
        return settings
    # This daemon does not reload its settings: SIGHUP ends it.
    deliver_reload_signal()
    from laburnumswitch.entry import run_entry

    return run_entry(settings)


def _run_with_node_settings(node_file: str) -> None | Failure:
    from laburnumswitch.dispatch_entry import run_dispatch_entry
    from laburnumswitch.platform.settings import read_deployment

    deployment = read_deployment(node_file)
    if isinstance(deployment, Failure):
        return deployment
    return run_dispatch_entry(deployment, lambda: read_deployment(node_file))

"""The command line."""

import click

from laburnumswitch import __version__


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Run and operate the laburnumswitch scheduler."""

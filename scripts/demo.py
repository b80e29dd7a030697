"""Runs the whole system on real sockets with fault injection and verifies its guarantees.

All figures are computed from the records of the stand-ins.
"""

import os
import sys
from random import Random
from shutil import copytree
from tempfile import TemporaryDirectory
from time import monotonic

import click
from msgspec import convert
from msgspec.json import encode
from msgspec.json import format as format_json

from scripts.cluster import Cluster
from scripts.cluster import PRODUCT_COMMAND
from scripts.launcher import Launcher
from scripts.launcher import ProcessFailedError
from scripts.probe import ConfigurationProbe
from scripts.profiles import Profile
from scripts.profiles import PROFILE_BY_NAME
from scripts.publication import Publication
from scripts.steps import break_connections
from scripts.steps import DemoContext
from scripts.steps import interrupt_platform
from scripts.steps import kill_and_replace_entry
from scripts.steps import make_expectation
from scripts.steps import make_worker_fail
from scripts.steps import pause_and_kill
from scripts.steps import publish_second_version
from scripts.steps import start_cluster
from scripts.steps import start_load
from scripts.steps import stop_all_entries
from scripts.steps import stop_entry
from scripts.steps import take_zone_out_and_in
from scripts.steps import wait_for_completion
from scripts.summary import format_summary
from scripts.summary import Summary
from scripts.usage import UsageMeter
from standin.history_checker import evaluate_history
from standin.history_checker import violated_guarantees
from standin.load_generator import LatencySummary
from standin.records import read_records

EXAMPLES = "examples"
EXIT_BROKEN = 1
EXIT_FAILED = 2


@click.command()
@click.option("--profile", type=click.Choice(sorted(PROFILE_BY_NAME)), default="boutik")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "json_file", type=click.Path(dir_okay=False), help="File for the figures.")
@click.option("--keep", type=click.Path(file_okay=False), help="Folder for records and logs.")
@click.option("--binary", type=click.Path(exists=True), help="One-file program to run.")
def main(
    profile: str, seed: int, json_file: str | None, keep: str | None, binary: str | None
) -> None:
    """Run the demonstration; exit with 0 if every guarantee held."""
    product_command = (os.path.abspath(binary),) if binary else PRODUCT_COMMAND
    with TemporaryDirectory(prefix="laburnumswitch-") as directory, Launcher(directory) as launcher:
        try:
            summary = run_demo(launcher, PROFILE_BY_NAME[profile], seed, product_command)
        except ProcessFailedError as error:
            click.echo(f"failed: {error}", err=True)
            sys.exit(EXIT_FAILED)
        finally:
            if keep:
                copytree(directory, keep, dirs_exist_ok=True)
    click.echo("\n".join(format_summary(summary)))
    if json_file:
        with open(json_file, "wb") as file:
            file.write(format_json(encode(summary.as_json())) + b"\n")
    sys.exit(EXIT_BROKEN if summary.broken else 0)


def run_demo(
    launcher: Launcher,
    profile: Profile,
    seed: int,
    product_command: tuple[str, ...] = PRODUCT_COMMAND,
) -> Summary:
    """Run all steps and return the figures."""
    began_s = monotonic()

    def log(text: str) -> None:
        click.echo(f"{monotonic() - began_s:5.1f} s  {text}")

    cluster = Cluster(launcher, profile, seed, product_command)
    publication = Publication(launcher.directory, os.path.join(EXAMPLES, profile.name))
    first = publication.read()
    context = DemoContext(
        cluster, publication, ConfigurationProbe(cluster.record), Random(seed), log
    )
    start_cluster(context)
    meter = UsageMeter(cluster)
    meter.begin()
    start_load(context)
    make_worker_fail(context)
    take_zone_out_and_in(context)
    kill_and_replace_entry(context)
    pause_and_kill(context)
    interrupt_platform(context)
    publish_second_version(context)
    break_connections(context)
    stop_entry(context)
    expectation = make_expectation(first, publication.read())
    wait_for_completion(context, expectation)
    usages = meter.end()
    tails = convert(cluster.progress()["tails"], dict[str, LatencySummary])
    platform = cluster.platform_usage()
    stop_all_entries(context)
    verdict = evaluate_history(read_records(cluster.record_paths()), expectation)
    return Summary(
        profile.name,
        seed,
        monotonic() - began_s,
        verdict,
        violated_guarantees(verdict),
        tails,
        usages,
        platform,
    )


if __name__ == "__main__":
    main()

"""Shows the whole system on real sockets, under faults, and judges what came of it.

Everything is counted from the records of the stand-ins.
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
from scripts.cluster import PRODUCT
from scripts.launcher import Launcher
from scripts.launcher import ProcessFailedError
from scripts.probe import Probe
from scripts.profiles import Profile
from scripts.profiles import PROFILE_BY_NAME
from scripts.publication import Publication
from scripts.steps import break_a_worker
from scripts.steps import break_connections
from scripts.steps import close_stage
from scripts.steps import expectation_of
from scripts.steps import kill_and_replace_entry
from scripts.steps import lose_store
from scripts.steps import open_stage
from scripts.steps import pause_and_kill
from scripts.steps import publish_again
from scripts.steps import settle
from scripts.steps import Stage
from scripts.steps import start_load
from scripts.steps import stop_entry
from scripts.steps import take_zone_out_and_in
from scripts.summary import lines_of
from scripts.summary import Summary
from scripts.usage import UseMeter
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
    """Run the demonstration; exit with 0 if every promise held."""
    product = (os.path.abspath(binary),) if binary else PRODUCT
    with TemporaryDirectory(prefix="laburnumswitch-") as directory, Launcher(directory) as launcher:
        try:
            summary = run_demo(launcher, PROFILE_BY_NAME[profile], seed, product)
        except ProcessFailedError as error:
            click.echo(f"failed: {error}", err=True)
            sys.exit(EXIT_FAILED)
        finally:
            if keep:
                copytree(directory, keep, dirs_exist_ok=True)
    click.echo("\n".join(lines_of(summary)))
    if json_file:
        with open(json_file, "wb") as file:
            file.write(format_json(encode(summary.as_json())) + b"\n")
    sys.exit(EXIT_BROKEN if summary.broken else 0)


def run_demo(
    launcher: Launcher, profile: Profile, seed: int, product: tuple[str, ...] = PRODUCT
) -> Summary:
    """Go through all steps and return the figures."""
    began_s = monotonic()

    def say(text: str) -> None:
        click.echo(f"{monotonic() - began_s:5.1f} s  {text}")

    cluster = Cluster(launcher, profile, seed, product)
    publication = Publication(launcher.directory, os.path.join(EXAMPLES, profile.name))
    first = publication.read()
    stage = Stage(cluster, publication, Probe(cluster.record), Random(seed), say)
    open_stage(stage)
    meter = UseMeter(cluster)
    meter.begin()
    start_load(stage)
    break_a_worker(stage)
    take_zone_out_and_in(stage)
    kill_and_replace_entry(stage)
    pause_and_kill(stage)
    lose_store(stage)
    publish_again(stage)
    break_connections(stage)
    stop_entry(stage)
    expectation = expectation_of(first, publication.read())
    settle(stage, expectation)
    uses = meter.end()
    tails = convert(cluster.progress()["tails"], dict[str, LatencySummary])
    platform = cluster.platform_use()
    close_stage(stage)
    verdict = evaluate_history(read_records(cluster.record_paths()), expectation)
    return Summary(
        profile.name,
        seed,
        monotonic() - began_s,
        verdict,
        violated_guarantees(verdict),
        tails,
        uses,
        platform,
    )


if __name__ == "__main__":
    main()

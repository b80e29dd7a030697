"""Compares policies for best-effort work on emulated days with known interference.

Run ``python -m scripts.interference_days --seeds 20``; ``--help`` lists the options.
"""

from pathlib import Path
from statistics import mean
from typing import NamedTuple

import click
from msgspec.json import encode
from msgspec.json import format as format_json

from laburnumswitch.process.dispatch.placing import INTERFERENCE_LIMIT
from standin.fleet.interference_day import DayParameters
from standin.fleet.interference_day import DayResult
from standin.fleet.interference_day import InterferenceDay
from standin.fleet.interference_day import Policy

POLICIES = {
    "beside nobody who may suffer": Policy(lambda choice: choice.own_cost <= 0.0, True),
    "anywhere, never throttled": Policy(lambda choice: True, False),
    "learned": Policy(lambda choice: choice.own_cost <= INTERFERENCE_LIMIT, True),
    "oracle": Policy(lambda choice: choice.own_cost <= INTERFERENCE_LIMIT, True),
}
ORACLE = "oracle"
RESULTS_FILE = Path("out/interference_days.json")


class PolicyDays(NamedTuple):
    """Results of one policy, one for each seed."""

    policy: str
    results: list[DayResult]


@click.command()
@click.option("--seeds", default=20, show_default=True, help="Number of days.")
@click.option("--first-seed", default=1, show_default=True)
@click.option("--policy", "names", multiple=True, type=click.Choice(tuple(POLICIES)))
@click.option("--json", "json_file", type=click.Path(path_type=Path), default=RESULTS_FILE)
def main(seeds: int, first_seed: int, names: tuple[str, ...], json_file: Path) -> None:
    """Emulate days and print the mean outcome of each policy."""
    days = []
    with click.progressbar(names or tuple(POLICIES), label="policies") as progress:
        for name in progress:
            days.append(PolicyDays(name, play(name, range(first_seed, first_seed + seeds))))
    for line in render(days):
        click.echo(line)
    json_file.parent.mkdir(parents=True, exist_ok=True)
    json_file.write_bytes(format_json(encode(days)))


def play(name: str, seeds: range) -> list[DayResult]:
    """Return the result of a policy for each seed; the number of jobs varies from day to day."""
    return [
        InterferenceDay(
            DayParameters(jobs_per_s=1.5 + 0.25 * (seed % 6)), seed, POLICIES[name], name == ORACLE
        ).run()
        for seed in seeds
    ]


def render(days: list[PolicyDays]) -> list[str]:
    """Return the lines of a table with a row for each policy."""
    lines = [
        "| policy | over target | batch work done | jobs on time | median job |",
        "| --- | --- | --- | --- | --- |",
    ]
    for policy, results in days:
        over = mean(result.over_share for result in results)
        done = mean(result.finished_share for result in results)
        on_time = mean(result.on_time_share for result in results)
        job_s = mean(result.median_job_s for result in results)
        lines.append(f"| {policy} | {over:.1%} | {done:.1%} | {on_time:.1%} | {job_s:.1f} s |")
    return lines


if __name__ == "__main__":
    main()

"""Plots the last measurements as SVG files for the documentation."""

from pathlib import Path
from statistics import median

import click
from matplotlib import rcParams
from matplotlib.figure import Figure
from msgspec.json import decode

from scripts.interference_days import PolicyDays
from scripts.measure_faults import FaultRun
from scripts.measure_faults import METHODS
from scripts.request_report import PolicyResult
from scripts.request_report import Results

FAULTS_FILE = Path("out/faults.json")
REQUESTS_FILE = Path("out/measure_request.json")
DAYS_FILE = Path("out/interference_days.json")
FOLDER = Path("docs/plots")
SIZE_INCHES = (8.0, 4.0)
PANELS = (
    ("faulty_p99", "p99 in ms, one slow and one failing upstream"),
    ("overload_goodput", "goodput over capacity at three times the load"),
)


@click.command()
def main() -> None:
    """Draw the plot of each file of measurements that exists in ``out/``."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    # A fixed salt makes the SVG files reproducible.
    rcParams["svg.hashsalt"] = "laburnumswitch"
    if FAULTS_FILE.exists():
        draw_faults(decode(FAULTS_FILE.read_bytes(), type=list[FaultRun]))
    if REQUESTS_FILE.exists():
        draw_policies(decode(REQUESTS_FILE.read_bytes(), type=Results).policies)
    if DAYS_FILE.exists():
        draw_interference_days(decode(DAYS_FILE.read_bytes(), type=list[PolicyDays]))


def draw_faults(runs: list[FaultRun]) -> None:
    """Plot the median p99 of each phase with the range over the seeds."""
    figure = Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    phases = list(runs[0].answers)
    for method in METHODS:
        by_phase = [[run.answers[phase][method].p99_ms for run in runs] for phase in phases]
        middle = [median(values) for values in by_phase]
        below = [value - min(values) for value, values in zip(middle, by_phase, strict=True)]
        above = [max(values) - value for value, values in zip(middle, by_phase, strict=True)]
        axes.errorbar(phases, middle, yerr=[below, above], marker="o", capsize=3, label=method)
    axes.set_yscale("log")
    axes.set_ylabel("p99 in ms, all attempts")
    axes.tick_params(axis="x", rotation=30)
    axes.legend()
    _save(figure, "faults.svg")


def draw_policies(results: tuple[PolicyResult, ...]) -> None:
    """Plot the routing policies side by side, with one point per seed."""
    policies = list(dict.fromkeys(result.policy for result in results))
    figure = Figure(figsize=SIZE_INCHES)
    panels = figure.subplots(1, len(PANELS))
    for axes, (field, title) in zip(panels, PANELS, strict=True):
        for position, policy in enumerate(policies):
            values = [getattr(result, field) for result in results if result.policy == policy]
            axes.scatter([position] * len(values), values, s=14)
        axes.set_xticks(range(len(policies)), policies, rotation=20, fontsize=8)
        axes.set_ylim(bottom=0)
        axes.set_title(title, fontsize=9)
    _save(figure, "routing.svg")


def draw_interference_days(days: list[PolicyDays]) -> None:
    """Plot for each policy what its batch jobs gain and its serving tasks lose, a point a seed."""
    figure = Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    for policy, results in days:
        axes.scatter(
            [100.0 * result.over_share for result in results],
            [100.0 * result.on_time_share for result in results],
            s=14,
            label=policy,
        )
    axes.set_xlabel("serving tasks over their target, % of their time")
    axes.set_ylabel("batch jobs on time, %")
    axes.legend()
    _save(figure, "interference.svg")


def _save(figure: Figure, name: str) -> None:
    figure.tight_layout()
    figure.savefig(FOLDER / name, metadata={"Date": None})


if __name__ == "__main__":
    main()

"""Measures the scheduling core and writes the figures as JSON and as a page.

Run ``python -m scripts.measure_scheduling``; ``--help`` lists the output files.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from os import cpu_count
from pathlib import Path
from platform import python_version
from statistics import median
from typing import NamedTuple

import click
from msgspec.json import encode
from msgspec.json import format as format_json

from laburnumswitch.process.placing.policy import DEFAULT_POLICIES
from scripts.interference_model import DURATION_S
from scripts.interference_model import InterferenceModel
from scripts.interference_model import ModelResult
from scripts.interference_model import REPLICAS
from scripts.interference_model import WORKERS
from scripts.measured_ledger import LedgerCost
from scripts.measured_ledger import measure_ledger
from scripts.measured_load import LoadParameters
from scripts.measured_load import LoadResult
from scripts.measured_load import measure_load
from standin.placement import FIRST_FIT
from standin.placement import IMMEDIATE_EVICTION
from standin.placement import NO_RELIEF

WORKER_COUNTS = (100, 300, 1_000, 2_200)
MAX_WORKER_COUNT = 2_200
MAX_TASK_COUNT = 49_100
STARTS_PER_S = 850
# Pairs of the number of shards and the interval of usage reports in seconds.
SHARD_COUNTS_AND_USAGE_INTERVALS_S = ((8, 5.0), (16, 5.0), (32, 5.0), (16, 10.0))
ENTRIES = 40
WRITES_PER_S = 400.0
READS_PER_S = 2_000.0
SEEDS = (1, 2, 3, 4, 5)
LAGS_S = (1.0, 3.0, 6.0)
POLICIES = {
    "in force": DEFAULT_POLICIES,
    "first fit, blind": FIRST_FIT,
    "relief at once": IMMEDIATE_EVICTION,
    "no relief": NO_RELIEF,
}


class PolicyRun(NamedTuple):
    """Result of one simulation with a policy, a seed and a lag of usage reports."""

    policy: str
    seed: int
    lag_s: float
    result: ModelResult


class Figures(NamedTuple):
    """All figures of one invocation."""

    python: str
    cores: int
    ledger: tuple[LedgerCost, ...]
    load: tuple[LoadResult, ...]
    policies: tuple[PolicyRun, ...]
    lags: tuple[PolicyRun, ...]


@click.command()
@click.option("--json", "json_path", default="out/scheduling.json", show_default=True)
@click.option("--page", default="docs/MEASUREMENTS-scheduling.md", show_default=True)
def main(json_path: str, page: str) -> None:
    """Measure the scheduling core."""
    figures = measure()
    target = Path(json_path)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(format_json(encode(_to_json_value(figures)), indent=1))
    Path(page).write_text(render_page(figures), encoding="utf-8")


def measure() -> Figures:
    """Run all measurements in sequence."""
    ledger = []
    for workers in WORKER_COUNTS:
        click.echo(f"measuring the ledger with {workers} workers")
        ledger.append(measure_ledger(workers, workers * MAX_TASK_COUNT // MAX_WORKER_COUNT, 1))
    load = []
    for shards, usage_every_s in SHARD_COUNTS_AND_USAGE_INTERVALS_S:
        click.echo(f"{STARTS_PER_S} starts per second over {shards} shards")
        parameters = LoadParameters(
            MAX_WORKER_COUNT,
            MAX_TASK_COUNT,
            STARTS_PER_S,
            shards,
            ENTRIES,
            WRITES_PER_S,
            READS_PER_S,
            usage_every_s,
            1,
        )
        load.append(measure_load(parameters))
    policies = []
    for name, policy in POLICIES.items():
        click.echo(f"simulating policy {name}")
        policies.extend(
            PolicyRun(name, seed, 3.0, InterferenceModel(policy, seed).run()) for seed in SEEDS
        )
    lags = []
    for lag_s in LAGS_S:
        click.echo(f"simulating usage reports with a lag of {lag_s:g} s")
        for seed in SEEDS:
            result = InterferenceModel(DEFAULT_POLICIES, seed, lag_s).run()
            lags.append(PolicyRun("in force", seed, lag_s, result))
    return Figures(
        python_version(), cpu_count() or 0, tuple(ledger), tuple(load), tuple(policies), tuple(lags)
    )


def render_page(figures: Figures) -> str:
    """Return the developers' page in Markdown."""
    parts = [
        "# Scheduling, measured",
        "Written by `python -m scripts.measure_scheduling`; do not edit. Python "
        f"{figures.python}, a shared machine of {figures.cores} cores, one process. Times are of "
        "that machine and vary with its load.",
        _ledger_section(figures.ledger),
        _load_section(figures.load),
        _policy_section(figures.policies, figures.lags),
    ]
    return "\n\n".join(parts) + "\n"


def _ledger_section(costs: Sequence[LedgerCost]) -> str:
    """Return the section on one shard that has all workers, the worst case for a single ledger."""
    rows = [
        (
            cost.workers,
            cost.tasks,
            f"{cost.bytes_per_worker:.0f}",
            f"{cost.bytes_per_task:.0f}",
            f"{cost.placement_us:.0f} / {cost.placement_p99_us:.0f}",
            f"{cost.first_fit_us:.0f}",
            f"{cost.replay_ms:.0f}",
            f"{cost.snapshot_bytes / 1024:.0f}",
            f"{cost.snapshot_encode_ms:.1f} / {cost.snapshot_load_ms:.0f}",
            f"{cost.start_record_bytes:.1f} / {cost.end_record_bytes:.1f}",
        )
        for cost in sorted(costs)
    ]
    largest = costs[-1]
    total_mb = (
        largest.bytes_per_worker * largest.workers + largest.bytes_per_task * largest.tasks
    ) / 1e6
    table = _markdown_table(
        (
            "workers",
            "tasks running",
            "bytes a worker",
            "bytes a task",
            "placement us p50 / p99",
            "first fit us p50",
            "replay ms",
            "snapshot KiB",
            "snapshot write / load ms",
            "bytes a start / an end",
        ),
        rows,
    )
    return (
        "## One ledger\n\nAll workers in one shard, which no daemon has to carry: shards divide "
        "these figures. Bytes of records count the record alone, for jobs of 500 tasks that are "
        "spread at random, and grow where fewer tasks of a job start on one worker.\n\n"
        f"{table}\n\nThe whole ledger of the largest size takes {total_mb:.1f} MB in one process."
    )


def _load_section(results: Sequence[LoadResult]) -> str:
    """Return the section on the load of the whole cluster.

    CPU time includes that of the fake workers and excludes the network. Reads of watched heads and
    of shared rows are not included.
    """
    rows = [
        (
            result.shards,
            f"{result.usage_every_s:g}",
            result.running,
            f"{result.starts_per_s:.0f} / {result.ends_per_s:.0f}",
            f"{result.commits_per_s:.0f}",
            f"{result.rows_written_per_s:.0f}",
            f"{result.rows_read_per_s:.0f}",
            result.throttled,
            f"{result.start_delay_p50_s:.2f} / {result.start_delay_p99_s:.2f}",
            f"{result.table_bytes_per_s_and_entry / 1000:.1f}",
            f"{result.worker_bytes_per_s_and_entry / 1000:.1f} / "
            f"{result.usage_bytes_per_s_and_entry / 1000:.1f}",
            f"{result.core_fraction_per_entry * 100:.1f}%",
            f"{result.turn_ms_per_shard:.1f}",
            result.overcommitted,
        )
        for result in results
    ]
    table = _markdown_table(
        (
            "shards",
            "use reported every s",
            "running",
            "starts / ends a second",
            "commits/s",
            "rows written/s",
            "rows read/s",
            "commits refused",
            "inbox to start s p50 / p99",
            "table KB/s an entry",
            "worker KB/s an entry, all / reports of use",
            "core an entry",
            "turn ms",
            "workers over capacity",
        ),
        rows,
    )
    first = results[0]
    return (
        f"## {STARTS_PER_S} starts a second\n\n{first.workers} workers, the load spread over "
        f"{first.entries} entries, against the table's stand-in with budgets of "
        f"{WRITES_PER_S:.0f} rows written and {READS_PER_S:.0f} rows read a second. Shards are "
        "driven under one injected clock in steps of 0.25 s. Bytes are those of the JSON bodies "
        "both ways, without HTTP heads; those with workers are mostly their reports of use, whose "
        "pace is the platform's. The part of a core covers the fake workers' own work too, and not "
        "the network. Heads that are watched and shared rows come on top: about "
        f"{first.entries} entries times 5 reads a second.\n\n{table}"
    )


def _policy_section(runs: Sequence[PolicyRun], lags: Sequence[PolicyRun]) -> str:
    baseline_by_seed = {run.seed: run.result for run in runs if run.policy == "first fit, blind"}
    rows = [
        _policy_row(name, [run for run in runs if run.policy == name], baseline_by_seed)
        for name in POLICIES
    ]
    headings = (
        "policy",
        "slowdown p50",
        "slowdown p99, median (spread)",
        "batch work against blind first fit, median (spread)",
        "evictions, median (spread)",
        "standing evictions",
    )
    lag_rows = [
        _policy_row(
            f"reports lag {lag_s:g} s",
            [run for run in lags if run.lag_s == lag_s],
            baseline_by_seed,
        )
        for lag_s in LAGS_S
    ]
    return (
        f"## Policies\n\nA model of {WORKERS} workers with {REPLICAS} replicas of one standing "
        f"service and waves of three classes of batch work, {DURATION_S:.0f} s, {len(SEEDS)} "
        "seeds; each seed draws its own coefficients, which the policies do not see. Slowdown is "
        "that of the replicas, where 1.0 is undisturbed; batch work is progress in core-seconds. "
        "Replicas are spread alike under every policy.\n\n"
        f"{_markdown_table(headings, rows)}\n\nThe policy in force assumes a lag of 3 s:\n\n"
        f"{_markdown_table(headings, lag_rows)}"
    )


def _policy_row(
    name: str, runs: Sequence[PolicyRun], baseline_by_seed: dict[int, ModelResult]
) -> tuple[str, ...]:
    results = [run.result for run in runs]
    ratios = [
        run.result.batch_core_seconds / baseline_by_seed[run.seed].batch_core_seconds * 100
        for run in runs
    ]
    return (
        name,
        f"{median(result.slowdown_p50 for result in results):.2f}",
        _spread([result.slowdown_p99 for result in results], ".2f"),
        _spread(ratios, ".0f", "%"),
        _spread([result.evictions for result in results], ".0f"),
        str(sum(result.standing_evictions for result in results)),
    )


def _spread(values: Sequence[float], digits: str, unit: str = "") -> str:
    low, high = min(values), max(values)
    return f"{median(values):{digits}}{unit} ({low:{digits}} to {high:{digits}})"


def _markdown_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    lines = ["| " + " | ".join(headings) + " |", "|" + " --- |" * len(headings)]
    lines.extend("| " + " | ".join(str(cell) for cell in row) + " |" for row in rows)
    return "\n".join(lines)


def _to_json_value(value: object) -> object:
    """Convert named tuples to mappings, recursively, so that JSON has field names."""
    if hasattr(value, "_asdict"):
        return {name: _to_json_value(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple):
        return [_to_json_value(item) for item in value]
    return value


if __name__ == "__main__":
    main()

"""Measures unit costs, extrapolates them to the design size and writes the capacity page.

Run ``python -m scripts.capacity``; ``--help`` lists the output files.
"""

from pathlib import Path

import click
from msgspec.json import encode
from msgspec.json import format as format_json

from laburnumswitch.process.workers.worker_state import FULL_REPORT_INTERVAL_S
from scripts.capacity_measure import measure_admission
from scripts.capacity_measure import measure_baseline_memory
from scripts.capacity_measure import measure_configuration
from scripts.capacity_measure import measure_exchange
from scripts.capacity_measure import measure_heartbeat
from scripts.capacity_measure import measure_order_sizes
from scripts.capacity_page import ENTRY_COUNTS
from scripts.capacity_page import insert_tables
from scripts.capacity_page import make_tables
from scripts.capacity_sizing import BUDGET_READS_PER_S
from scripts.capacity_sizing import BUDGET_WRITES_PER_S
from scripts.capacity_sizing import DECLARATIONS
from scripts.capacity_sizing import estimate_daemon
from scripts.capacity_sizing import MeasuredCosts
from scripts.capacity_sizing import RUNNING_TASKS
from scripts.capacity_sizing import STARTS_PER_S
from scripts.capacity_sizing import TEAMS
from scripts.capacity_sizing import WORKERS
from scripts.capacity_sizing import ZONES
from scripts.measured_ledger import measure_ledger
from scripts.measured_load import LoadParameters
from scripts.measured_load import measure_load

LEDGER_WORKERS = (100, 300, 1_000, WORKERS)
SHARD_COUNTS = (8, 16, 32)
RUNS_PER_WORKER = (0, 10, 23)
PEER_COUNTS = (1, *(entries - 1 for entries in ENTRY_COUNTS), 40)
DECLARATION_COUNTS = (100, 1_000, DECLARATIONS)
ADMISSION_ROWS = 5_000
SEED = 1


@click.command()
@click.option("--json", "json_path", default="out/capacity.json", show_default=True)
@click.option("--page", default="docs/MEASUREMENTS-capacity.md", show_default=True)
def main(json_path: str, page: str) -> None:
    """Measure unit costs, extrapolate them, and write the JSON file and the page."""
    costs = measure()
    target = Path(json_path)
    target.parent.mkdir(parents=True, exist_ok=True)
    daemons = [estimate_daemon(costs, entries)._asdict() for entries in ENTRY_COUNTS]
    figures = {"slopes": _to_json_mapping(costs), "daemons": daemons}
    target.write_bytes(format_json(encode(figures), indent=1))
    path = Path(page)
    path.write_text(insert_tables(path.read_text("utf-8"), make_tables(costs)), "utf-8")


def measure() -> MeasuredCosts:
    """Run all measurements in sequence."""
    click.echo("measuring the ledger")
    ledger = tuple(
        measure_ledger(workers, workers * RUNNING_TASKS // WORKERS, SEED)
        for workers in LEDGER_WORKERS
    )
    click.echo("measuring starts and ends within the table's budgets")
    load = tuple(measure_load(_load_parameters(shards)) for shards in SHARD_COUNTS)
    click.echo("measuring exchanges, heartbeats, configuration and admission")
    exchanges = tuple(
        measure_exchange(runs, with_usage)
        for runs in RUNS_PER_WORKER
        for with_usage in (False, True)
    )
    shards = SHARD_COUNTS[-1]
    return MeasuredCosts(
        ledger,
        load,
        exchanges,
        tuple(measure_heartbeat(peers, shards, TEAMS, ZONES) for peers in PEER_COUNTS),
        tuple(measure_heartbeat(peers, shards, 0, ZONES) for peers in PEER_COUNTS),
        tuple(measure_configuration(count, TEAMS) for count in DECLARATION_COUNTS),
        measure_admission(ADMISSION_ROWS),
        measure_baseline_memory(),
        measure_order_sizes(),
    )


def _load_parameters(shards: int) -> LoadParameters:
    return LoadParameters(
        workers=WORKERS,
        running=RUNNING_TASKS,
        starts_per_s=STARTS_PER_S,
        shards=shards,
        entries=ENTRY_COUNTS[0],
        writes_per_s=BUDGET_WRITES_PER_S,
        reads_per_s=BUDGET_READS_PER_S,
        usage_every_s=FULL_REPORT_INTERVAL_S,
        seed=SEED,
    )


def _to_json_mapping(costs: MeasuredCosts) -> dict[str, object]:
    """Return the costs as mappings keyed by field name."""
    mapping: dict[str, object] = {}
    for name, value in costs._asdict().items():
        has_one_record = hasattr(value, "_asdict")
        mapping[name] = value._asdict() if has_one_record else [each._asdict() for each in value]
    return mapping


if __name__ == "__main__":
    main()

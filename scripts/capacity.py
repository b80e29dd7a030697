"""Measures the slopes of the capacity page, works the budgets out and writes both.

Run ``python -m scripts.capacity``; ``--help`` shows where the figures go.
"""

from pathlib import Path

import click
from msgspec.json import encode
from msgspec.json import format as format_json

from laburnumswitch.process.workers.worker_state import FULL_REPORT_INTERVAL_S
from scripts.capacity_measure import measure_admission
from scripts.capacity_measure import measure_base
from scripts.capacity_measure import measure_configuration
from scripts.capacity_measure import measure_exchange
from scripts.capacity_measure import measure_heartbeat
from scripts.capacity_measure import measure_orders
from scripts.capacity_page import ENTRIES
from scripts.capacity_page import insert_tables
from scripts.capacity_page import make_tables
from scripts.capacity_sizing import BUDGET_READS_PER_S
from scripts.capacity_sizing import BUDGET_WRITES_PER_S
from scripts.capacity_sizing import DECLARATIONS
from scripts.capacity_sizing import RUNNING
from scripts.capacity_sizing import size_daemon
from scripts.capacity_sizing import Slopes
from scripts.capacity_sizing import STARTS_PER_S
from scripts.capacity_sizing import TEAMS
from scripts.capacity_sizing import WORKERS
from scripts.capacity_sizing import ZONES
from scripts.measured_ledger import measure_ledger
from scripts.measured_load import Load
from scripts.measured_load import measure_load

LEDGER_WORKERS = (100, 300, 1_000, WORKERS)
LOAD_SHARDS = (8, 16, 32)
RUNS_PER_WORKER = (0, 10, 23)
PEERS = (1, *(entries - 1 for entries in ENTRIES), 40)
DECLARATION_COUNTS = (100, 1_000, DECLARATIONS)
ADMISSION_ROWS = 5_000
SEED = 1


@click.command()
@click.option("--json", "json_path", default="out/capacity.json", show_default=True)
@click.option("--page", default="docs/CAPACITY.md", show_default=True)
def main(json_path: str, page: str) -> None:
    """Measure, work out and write."""
    slopes = measure()
    target = Path(json_path)
    target.parent.mkdir(parents=True, exist_ok=True)
    daemons = [size_daemon(slopes, entries)._asdict() for entries in ENTRIES]
    figures = {"slopes": _plain(slopes), "daemons": daemons}
    target.write_bytes(format_json(encode(figures), indent=1))
    path = Path(page)
    path.write_text(insert_tables(path.read_text("utf-8"), make_tables(slopes)), "utf-8")


def measure() -> Slopes:
    """Run every measurement, one after the other."""
    click.echo("ledger")
    ledger = tuple(
        measure_ledger(workers, workers * RUNNING // WORKERS, SEED) for workers in LEDGER_WORKERS
    )
    click.echo("starts and ends against the table's budgets")
    load = tuple(measure_load(_load(shards)) for shards in LOAD_SHARDS)
    click.echo("exchanges, heartbeats, configuration, admission")
    exchanges = tuple(
        measure_exchange(runs, with_usage)
        for runs in RUNS_PER_WORKER
        for with_usage in (False, True)
    )
    shards = LOAD_SHARDS[-1]
    return Slopes(
        ledger,
        load,
        exchanges,
        tuple(measure_heartbeat(peers, shards, TEAMS, ZONES) for peers in PEERS),
        tuple(measure_heartbeat(peers, shards, 0, ZONES) for peers in PEERS),
        tuple(measure_configuration(count, TEAMS) for count in DECLARATION_COUNTS),
        measure_admission(ADMISSION_ROWS),
        measure_base(),
        measure_orders(),
    )


def _load(shards: int) -> Load:
    return Load(
        workers=WORKERS,
        running=RUNNING,
        starts_per_s=STARTS_PER_S,
        shards=shards,
        entries=ENTRIES[0],
        writes_per_s=BUDGET_WRITES_PER_S,
        reads_per_s=BUDGET_READS_PER_S,
        usage_every_s=FULL_REPORT_INTERVAL_S,
        seed=SEED,
    )


def _plain(slopes: Slopes) -> dict[str, object]:
    """Return the figures with the names of their fields."""
    plain: dict[str, object] = {}
    for name, value in slopes._asdict().items():
        single = hasattr(value, "_asdict")
        plain[name] = value._asdict() if single else [each._asdict() for each in value]
    return plain


if __name__ == "__main__":
    main()

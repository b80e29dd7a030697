"""Renders the tables of the capacity page."""

from collections.abc import Iterable

from laburnumswitch.version.adoption import POLL_INTERVAL_S
from scripts.capacity_sizing import admission_bytes_per_s
from scripts.capacity_sizing import admission_core_fraction
from scripts.capacity_sizing import BUDGET_BYTES_PER_S
from scripts.capacity_sizing import BUDGET_CONFIGURATION_S
from scripts.capacity_sizing import BUDGET_CORE_FRACTION
from scripts.capacity_sizing import BUDGET_MEMORY_MB
from scripts.capacity_sizing import BUDGET_READS_PER_S
from scripts.capacity_sizing import BUDGET_URGENT_START_S
from scripts.capacity_sizing import BUDGET_WRITES_PER_S
from scripts.capacity_sizing import DaemonEstimate
from scripts.capacity_sizing import estimate_daemon
from scripts.capacity_sizing import MeasuredCosts
from scripts.capacity_sizing import publication_to_start_worst_s
from scripts.capacity_sizing import reads_per_s
from scripts.capacity_sizing import schedule_to_start_worst_s
from scripts.capacity_sizing import STARTS_PER_S

ENTRY_COUNTS = (8, 16, 32)


def make_tables(costs: MeasuredCosts) -> dict[str, str]:
    """Return the tables by marker name."""
    daemons = [estimate_daemon(costs, entries) for entries in ENTRY_COUNTS]
    return {
        "budgets": _budget_table(costs, daemons),
        "daemon": _daemon_table(daemons),
        "ledger": _ledger_table(costs),
        "load": _load_table(costs),
        "exchanges": _exchange_table(costs),
        "heartbeats": _heartbeat_table(costs),
        "configuration": _configuration_table(costs),
        "admission": _admission_table(costs),
    }


def insert_tables(text: str, table_by_name: dict[str, str]) -> str:
    """Return the page with the text between each pair of markers replaced by its table."""
    for name, table in table_by_name.items():
        begin, end = f"<!-- begin: {name} -->", f"<!-- end: {name} -->"
        before, _, rest = text.partition(begin)
        _, found, after = rest.partition(end)
        if not found:
            raise ValueError(f"page has no begin and end markers for table {name}")
        text = f"{before}{begin}\n\n{table}\n\n{end}{after}"
    return text


def _markdown_table(head: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    head = tuple(head)
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    lines.extend("| " + " | ".join(map(str, row)) + " |" for row in rows)
    return "\n".join(lines)


def _verdict(value: float, limit: float) -> str:
    if value <= limit:
        return f"met, at {value / limit:.0%} of it"
    return f"**not met**, {value / limit:.1f} times"


def _budget_table(costs: MeasuredCosts, daemons: list[DaemonEstimate]) -> str:
    rows = []
    for daemon in daemons:
        name = f"{daemon.entries} entries"
        traffic = daemon.bytes_per_s
        rows += [
            (
                f"control traffic, {name}",
                "25 KB/s",
                f"{traffic / 1e3:.1f} KB/s",
                _verdict(traffic, BUDGET_BYTES_PER_S),
            ),
            (
                f"processor, {name}",
                "3.4% of a core",
                f"{daemon.core:.1%}",
                _verdict(daemon.core, BUDGET_CORE_FRACTION),
            ),
            (
                f"memory, {name}",
                "128 MB",
                f"{daemon.memory_mb:.0f} MB",
                _verdict(daemon.memory_mb, BUDGET_MEMORY_MB),
            ),
        ]
    load = costs.load[-1]
    worst_s = publication_to_start_worst_s(costs.configurations[-1])
    reads = reads_per_s(ENTRY_COUNTS[-1], load.shards)
    adopt_s = POLL_INTERVAL_S + costs.configurations[-1].adopt_ms / 1e3
    rows += [
        (
            "urgent start after admission (p99)",
            "1.6 s",
            f"{load.start_delay_p99_s:.2f} s",
            _verdict(load.start_delay_p99_s, BUDGET_URGENT_START_S),
        ),
        (
            "urgent start after its schedule's instant (worst sum of timers)",
            "1.6 s",
            f"{schedule_to_start_worst_s():.2f} s",
            _verdict(schedule_to_start_worst_s(), BUDGET_URGENT_START_S),
        ),
        (
            "urgent start after publication (worst sum of timers)",
            "1.6 s",
            f"{worst_s:.2f} s",
            _verdict(worst_s, BUDGET_URGENT_START_S),
        ),
        (
            "configuration in force (poll and adoption)",
            "17 s",
            f"{adopt_s:.2f} s",
            _verdict(adopt_s, BUDGET_CONFIGURATION_S),
        ),
        (
            f"rows written, {load.shards} shards",
            "400/s",
            f"{load.rows_written_per_s:.0f}/s",
            _verdict(load.rows_written_per_s, BUDGET_WRITES_PER_S),
        ),
        (
            f"reads, {ENTRY_COUNTS[-1]} entries",
            "2,000/s",
            f"{reads:.0f}/s",
            _verdict(reads, BUDGET_READS_PER_S),
        ),
        (
            "task starts",
            f"{STARTS_PER_S}/s",
            f"{load.starts_per_s:.0f}/s, {load.throttled} commits refused",
            "met" if load.starts_per_s >= STARTS_PER_S and not load.throttled else "**not met**",
        ),
        (
            "admitting entry, besides",
            "3.4% of a core",
            f"{admission_core_fraction(costs):.1%}",
            _verdict(admission_core_fraction(costs), BUDGET_CORE_FRACTION),
        ),
        (
            "admitting entry's traffic, besides",
            "25 KB/s",
            f"{admission_bytes_per_s(costs) / 1e3:,.0f} KB/s",
            _verdict(admission_bytes_per_s(costs), BUDGET_BYTES_PER_S),
        ),
    ]
    return _markdown_table(("what", "budget", "worked out", "verdict"), rows)


def _daemon_table(daemons: list[DaemonEstimate]) -> str:
    def kb(value: float) -> str:
        return f"{value / 1e3:.1f} KB/s"

    lines = [
        ("workers, exchanges", [kb(d.workers_bytes_per_s) for d in daemons]),
        ("table", [kb(d.table_bytes_per_s) for d in daemons]),
        ("heartbeats", [kb(d.heartbeat_bytes_per_s) for d in daemons]),
        ("configuration, mean of a day", [kb(d.configuration_bytes_per_s) for d in daemons]),
        ("shards: ledger, planning", [f"{d.shards_core:.2%}" for d in daemons]),
        ("workers: HTTP and JSON", [f"{d.exchanges_core:.2%}" for d in daemons]),
        ("table: HTTP and JSON", [f"{d.table_core:.2%}" for d in daemons]),
        ("heartbeats: HTTP and JSON", [f"{d.heartbeats_core:.2%}" for d in daemons]),
        ("configuration", [f"{d.configuration_core:.3%}" for d in daemons]),
        ("memory", [f"{d.memory_mb:.0f} MB" for d in daemons]),
        ("shards that it owns", [str(d.most_shards) for d in daemons]),
    ]
    head = ("the most loaded daemon's", *(f"{daemon.entries} entries" for daemon in daemons))
    return _markdown_table(head, [(name, *values) for name, values in lines])


def _ledger_table(costs: MeasuredCosts) -> str:
    head = (
        "workers, tasks",
        "bytes a worker",
        "bytes a task",
        "placement p50, p99",
        "replay",
        "snapshot",
        "journal bytes a start, an end",
    )
    rows = [
        (
            f"{each.workers:,}, {each.tasks:,}",
            f"{each.bytes_per_worker:.0f}",
            f"{each.bytes_per_task:.0f}",
            f"{each.placement_us:.0f} µs, {each.placement_p99_us:.0f} µs",
            f"{each.replay_ms:.0f} ms",
            f"{each.snapshot_bytes / 1e3:.0f} KB, load {each.snapshot_load_ms:.0f} ms",
            f"{each.start_record_bytes:.1f}, {each.end_record_bytes:.1f}",
        )
        for each in costs.ledger
    ]
    return _markdown_table(head, rows)


def _load_table(costs: MeasuredCosts) -> str:
    head = (
        "shards",
        "starts/s",
        "ends/s",
        "commits/s",
        "rows written/s",
        "rows read/s",
        "refused",
        "start after admission p50, p99",
        "a shard's turn",
        "over-committed workers",
    )
    rows = [
        (
            each.shards,
            f"{each.starts_per_s:.0f}",
            f"{each.ends_per_s:.0f}",
            f"{each.commits_per_s:.0f}",
            f"{each.rows_written_per_s:.0f}",
            f"{each.rows_read_per_s:.0f}",
            each.throttled,
            f"{each.start_delay_p50_s:.2f} s, {each.start_delay_p99_s:.2f} s",
            f"{each.turn_ms_per_shard:.1f} ms",
            each.overcommitted,
        )
        for each in costs.load
    ]
    return _markdown_table(head, rows)


def _exchange_table(costs: MeasuredCosts) -> str:
    head = ("runs a worker", "report", "bytes an exchange", "processor time an exchange")
    rows = [
        (
            each.runs_per_worker,
            "all runs and usage" if each.with_usage else "short",
            f"{each.bytes_per_exchange:,.0f}",
            f"{each.cpu_us_per_exchange:.0f} µs",
        )
        for each in costs.exchanges
    ]
    return _markdown_table(head, rows)


def _heartbeat_table(costs: MeasuredCosts) -> str:
    head = ("peers", "own shards", "payload", "traffic", "without team use", "encode and decode")
    rows = [
        (
            each.peers,
            each.shards,
            f"{each.payload_bytes:,} B",
            f"{each.bytes_per_s / 1e3:.1f} KB/s",
            f"{without_usage.bytes_per_s / 1e3:.1f} KB/s",
            f"{each.codec_us:.0f} µs",
        )
        for each, without_usage in zip(costs.heartbeats, costs.quiet_heartbeats, strict=True)
    ]
    return _markdown_table(head, rows)


def _configuration_table(costs: MeasuredCosts) -> str:
    rows = [
        (f"{each.declarations:,}", f"{each.document_bytes / 1e3:.0f} KB", f"{each.adopt_ms:.0f} ms")
        for each in costs.configurations
    ]
    return _markdown_table(("declarations", "document", "adoption"), rows)


def _admission_table(costs: MeasuredCosts) -> str:
    cost = costs.admission
    rows = [
        (
            f"{cost.rows:,}",
            f"{cost.bytes_per_row:.0f}",
            f"{cost.decode_us_per_row:.1f} µs",
            f"{admission_bytes_per_s(costs) / 1e3:,.0f} KB/s",
            f"{admission_core_fraction(costs):.1%}",
        )
    ]
    head = ("rows measured", "bytes a row", "decoding a row", "traffic at size", "core at size")
    return _markdown_table(head, rows)

"""Extrapolates measured unit costs to the design size and defines its budgets."""

from collections import Counter
from typing import NamedTuple

from laburnumswitch.process.admission.admission import ACTIVE_PASS_INTERVAL_S
from laburnumswitch.process.admission.ended_rows import PRUNE_INTERVAL_S
from laburnumswitch.process.ledger.ownership import preferred_entry
from laburnumswitch.process.peers.peer_sync import HEARTBEAT_INTERVAL_S
from laburnumswitch.process.peers.peer_sync import TEAM_USAGE_INTERVAL_S
from laburnumswitch.process.rows.shared_rows import CANCELLED_INTERVAL_S
from laburnumswitch.process.rows.shared_rows import SERVICES_INTERVAL_S
from laburnumswitch.process.rows.shared_rows import ZONES_INTERVAL_S
from laburnumswitch.process.rows.table import SCAN_LIMIT_ROWS
from laburnumswitch.process.sharding.scheduler import OBSERVE_INTERVAL_S
from laburnumswitch.process.sharding.shard import CYCLE_INTERVAL_S
from laburnumswitch.process.sharding.shard import INBOX_INTERVAL_S
from laburnumswitch.process.workers.shard_workers import RENEWAL_INTERVAL_S
from laburnumswitch.process.workers.worker_state import FULL_REPORT_INTERVAL_S
from laburnumswitch.version.adoption import POLL_INTERVAL_S
from scripts.capacity_measure import AdmissionCost
from scripts.capacity_measure import BaselineMemory
from scripts.capacity_measure import ConfigurationCost
from scripts.capacity_measure import ExchangeCost
from scripts.capacity_measure import HeartbeatCost
from scripts.capacity_measure import OrderSizes
from scripts.capacity_measure import WORKERS_PER_RACK
from scripts.measured_ledger import LedgerCost
from scripts.measured_load import LoadResult

WORKERS = 2_200
RUNNING_TASKS = 49_100
STARTS_PER_S = 850
TEAMS = 130
ZONES = 9
DECLARATIONS = 2_000
JOBS_PER_DAY = 26_000
OPEN_JOB_HOURS = 1.0
OPEN_JOB_ROWS = JOBS_PER_DAY / 24 * OPEN_JOB_HOURS
CHANGES_PER_DAY = 1_200
DAY_S = 86_400.0
BUDGET_BYTES_PER_S = 25_000.0
BUDGET_CORE_FRACTION = 0.034
BUDGET_MEMORY_MB = 128.0
BUDGET_URGENT_START_S = 1.6
BUDGET_CONFIGURATION_S = 17.0
BUDGET_WRITES_PER_S = 400.0
BUDGET_READS_PER_S = 2_000.0
HTTP_CALLS_PER_HEARTBEAT = 1 + 2 * HEARTBEAT_INTERVAL_S / TEAM_USAGE_INTERVAL_S
CONFIGURATION_COPIES = 4
HEAD_OBSERVERS_PER_SHARD = 2


class MeasuredCosts(NamedTuple):
    """All measured unit costs."""

    ledger: tuple[LedgerCost, ...]
    load: tuple[LoadResult, ...]
    exchanges: tuple[ExchangeCost, ...]
    heartbeats: tuple[HeartbeatCost, ...]
    quiet_heartbeats: tuple[HeartbeatCost, ...]
    configurations: tuple[ConfigurationCost, ...]
    admission: AdmissionCost
    base: BaselineMemory
    orders: OrderSizes


class DaemonEstimate(NamedTuple):
    """Control-plane cost of the most loaded of ``entries`` daemons at the design size.

    This daemon owns ``most_shards`` shards. Bytes count both directions. The entry that runs
    admission spends ``admission_core_fraction`` in addition.
    """

    entries: int
    most_shards: int
    workers_bytes_per_s: float
    table_bytes_per_s: float
    heartbeat_bytes_per_s: float
    configuration_bytes_per_s: float
    shards_core: float
    exchanges_core: float
    table_core: float
    heartbeats_core: float
    configuration_core: float
    memory_mb: float

    @property
    def bytes_per_s(self) -> float:
        """Total control traffic."""
        return (
            self.workers_bytes_per_s
            + self.table_bytes_per_s
            + self.heartbeat_bytes_per_s
            + self.configuration_bytes_per_s
        )

    @property
    def core(self) -> float:
        """Fraction of a core spent on control."""
        return (
            self.shards_core
            + self.exchanges_core
            + self.table_core
            + self.heartbeats_core
            + self.configuration_core
        )


def estimate_daemon(costs: MeasuredCosts, entries: int) -> DaemonEstimate:
    """Return the cost of the most loaded of ``entries`` daemons."""
    load = costs.load[-1]
    most_shards = count_most_shards(entries, load.shards)
    share = most_shards / load.shards
    short, full = _select_exchange_costs(costs)
    call_cpu_s = short.cpu_us_per_exchange / 1e6
    racks = WORKERS / WORKERS_PER_RACK * share
    full_share = RENEWAL_INTERVAL_S / FULL_REPORT_INTERVAL_S
    exchange_bytes = _weighted_mean(short.bytes_per_exchange, full.bytes_per_exchange, full_share)
    exchange_us = _weighted_mean(short.cpu_us_per_exchange, full.cpu_us_per_exchange, full_share)
    run_bytes = STARTS_PER_S * (costs.orders.start + costs.orders.events) * share
    document = costs.configurations[-1]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    peers = entries - 1
    heartbeat = next(each for each in costs.heartbeats if each.peers == peers)
    codec_s = 2 * heartbeat.codec_us / 1e6
    table_calls = (load.commits_per_s + load.rows_read_per_s) * share
    return DaemonEstimate(
        entries,
        most_shards,
        racks / RENEWAL_INTERVAL_S * exchange_bytes + run_bytes,
        load.table_bytes_per_s_and_entry * load.entries * share,
        heartbeat.bytes_per_s,
        document.document_bytes * changes_per_s,
        load.core_fraction_per_entry * load.entries * share,
        racks / RENEWAL_INTERVAL_S * exchange_us / 1e6,
        table_calls * call_cpu_s,
        peers / HEARTBEAT_INTERVAL_S * (HTTP_CALLS_PER_HEARTBEAT * call_cpu_s + codec_s),
        document.adopt_ms / 1e3 * changes_per_s,
        _memory_mb(costs, share),
    )


def count_most_shards(entries: int, shards: int) -> int:
    """Return the largest number of shards that rendezvous hashing assigns to one entry."""
    names = [f"entry-{number}" for number in range(entries)]
    owners = (preferred_entry(f"shard/{shard}", names) for shard in range(shards))
    return max(Counter(owners).values())


def admission_core_fraction(costs: MeasuredCosts) -> float:
    """Return the fraction of a core that admission passes take on the entry running them."""
    return OPEN_JOB_ROWS * costs.admission.decode_us_per_row / 1e6 / ACTIVE_PASS_INTERVAL_S


def admission_bytes_per_s(costs: MeasuredCosts) -> float:
    """Return the traffic of the admission passes on the entry running them."""
    rows_per_s = OPEN_JOB_ROWS / ACTIVE_PASS_INTERVAL_S + SCAN_LIMIT_ROWS / PRUNE_INTERVAL_S
    return rows_per_s * costs.admission.bytes_per_row


def reads_per_s(entries: int, shards: int) -> float:
    """Return the periodic table reads of all entries, counting each scan as one read."""
    each_entry = (
        1 / POLL_INTERVAL_S
        + 1 / ZONES_INTERVAL_S
        + 1 / CANCELLED_INTERVAL_S
        + 1 / SERVICES_INTERVAL_S
    )
    heads = HEAD_OBSERVERS_PER_SHARD * shards / OBSERVE_INTERVAL_S
    admission = OPEN_JOB_ROWS / SCAN_LIMIT_ROWS / ACTIVE_PASS_INTERVAL_S
    return entries * each_entry + heads + shards / INBOX_INTERVAL_S + admission


def publication_to_start_worst_s(configuration: ConfigurationCost) -> float:
    """Return the worst-case delay from publication to a committed start, as a sum of timers.

    Adoption wakes admission in the same process. The shard's wake-up is assumed lost.
    """
    return POLL_INTERVAL_S + configuration.adopt_ms / 1e3 + schedule_to_start_worst_s()


def schedule_to_start_worst_s() -> float:
    """Return the worst-case delay from a scheduled time to a committed start, as a sum of timers.

    Admission wakes at the scheduled time itself. The shard's wake-up is assumed lost.
    """
    return INBOX_INTERVAL_S + CYCLE_INTERVAL_S


def _weighted_mean(usual: float, rare: float, share: float) -> float:
    return usual * (1 - share) + rare * share


def _select_exchange_costs(costs: MeasuredCosts) -> tuple[ExchangeCost, ExchangeCost]:
    runs = RUNNING_TASKS // WORKERS
    short = next(e for e in costs.exchanges if not e.with_usage and e.runs_per_worker >= runs)
    full = next(e for e in costs.exchanges if e.with_usage and e.runs_per_worker >= runs)
    return short, full


def _memory_mb(costs: MeasuredCosts, share: float) -> float:
    ledger = costs.ledger[-1]
    ledger_bytes = WORKERS * ledger.bytes_per_worker + RUNNING_TASKS * ledger.bytes_per_task
    document_bytes = CONFIGURATION_COPIES * costs.configurations[-1].document_bytes
    fixed_mb = costs.base.resident_mb + costs.base.timeline_mb
    return fixed_mb + (ledger_bytes * share + document_bytes) / 1e6

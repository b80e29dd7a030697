"""Works budgets out at the design size from the measured slopes."""

from collections import Counter
from typing import NamedTuple

from laburnumswitch.process.admission.admission import ACTIVE_PASS_INTERVAL_S
from laburnumswitch.process.admission.ended_rows import PRUNE_INTERVAL_S
from laburnumswitch.process.ledger.ownership import preferred_entry
from laburnumswitch.process.peers.peer_tasks import HEARTBEAT_INTERVAL_S
from laburnumswitch.process.peers.peer_tasks import TEAM_USAGE_INTERVAL_S
from laburnumswitch.process.rows.shared_rows import CANCELLED_INTERVAL_S
from laburnumswitch.process.rows.shared_rows import SERVICES_INTERVAL_S
from laburnumswitch.process.rows.shared_rows import ZONES_INTERVAL_S
from laburnumswitch.process.rows.table import SCAN_LIMIT_ROWS
from laburnumswitch.process.sharding.scheduler import OBSERVE_EVERY_S
from laburnumswitch.process.sharding.shard import COMMIT_EVERY_S
from laburnumswitch.process.sharding.shard import INBOX_EVERY_S
from laburnumswitch.process.workers.shard_workers import RENEWAL_INTERVAL_S
from laburnumswitch.process.workers.worker_state import FULL_REPORT_INTERVAL_S
from laburnumswitch.version.adoption import POLL_INTERVAL_S
from scripts.capacity_measure import AdmissionSlope
from scripts.capacity_measure import ConfigurationSlope
from scripts.capacity_measure import DaemonBase
from scripts.capacity_measure import ExchangeSlope
from scripts.capacity_measure import HeartbeatSlope
from scripts.capacity_measure import OrderBytes
from scripts.capacity_measure import RACK_WORKERS
from scripts.measured_ledger import LedgerSlope
from scripts.measured_load import LoadResult

WORKERS = 2_200
RUNNING = 49_100
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
BUDGET_CORE = 0.034
BUDGET_MB = 128.0
BUDGET_URGENT_S = 1.6
BUDGET_CONFIGURATION_S = 17.0
BUDGET_WRITES_PER_S = 400.0
BUDGET_READS_PER_S = 2_000.0
HTTP_CALLS_PER_HEARTBEAT = 1 + 2 * HEARTBEAT_INTERVAL_S / TEAM_USAGE_INTERVAL_S
CONFIGURATION_COPIES = 4
OBSERVED_RANKS = 2


class Slopes(NamedTuple):
    """Everything that was measured."""

    ledger: tuple[LedgerSlope, ...]
    load: tuple[LoadResult, ...]
    exchanges: tuple[ExchangeSlope, ...]
    heartbeats: tuple[HeartbeatSlope, ...]
    quiet_heartbeats: tuple[HeartbeatSlope, ...]
    configurations: tuple[ConfigurationSlope, ...]
    admission: AdmissionSlope
    base: DaemonBase
    orders: OrderBytes


class DaemonSize(NamedTuple):
    """What the most loaded of ``entries`` daemons spends for control at the design size.

    It owns ``most_shards`` shards. Bytes count both directions. The entry that admits spends
    ``admission_core`` on top.
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
        """Return all control traffic."""
        return (
            self.workers_bytes_per_s
            + self.table_bytes_per_s
            + self.heartbeat_bytes_per_s
            + self.configuration_bytes_per_s
        )

    @property
    def core(self) -> float:
        """Return the fraction of a core for control."""
        return (
            self.shards_core
            + self.exchanges_core
            + self.table_core
            + self.heartbeats_core
            + self.configuration_core
        )


def size_daemon(slopes: Slopes, entries: int) -> DaemonSize:
    """Return what the most loaded of ``entries`` daemons spends."""
    load = slopes.load[-1]
    most_shards = count_most_shards(entries, load.shards)
    share = most_shards / load.shards
    quiet, full = _exchanges(slopes)
    call_core = quiet.cpu_us_per_exchange / 1e6
    racks = WORKERS / RACK_WORKERS * share
    full_share = RENEWAL_INTERVAL_S / FULL_REPORT_INTERVAL_S
    exchange_bytes = _mix(quiet.bytes_per_exchange, full.bytes_per_exchange, full_share)
    exchange_us = _mix(quiet.cpu_us_per_exchange, full.cpu_us_per_exchange, full_share)
    run_bytes = STARTS_PER_S * (slopes.orders.start + slopes.orders.events) * share
    document = slopes.configurations[-1]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    peers = entries - 1
    heartbeat = next(each for each in slopes.heartbeats if each.peers == peers)
    codec_s = 2 * heartbeat.codec_us / 1e6
    table_calls = (load.commits_per_s + load.rows_read_per_s) * share
    return DaemonSize(
        entries,
        most_shards,
        racks / RENEWAL_INTERVAL_S * exchange_bytes + run_bytes,
        load.table_bytes_per_s_and_entry * load.entries * share,
        heartbeat.bytes_per_s,
        document.document_bytes * changes_per_s,
        load.core_fraction_per_entry * load.entries * share,
        racks / RENEWAL_INTERVAL_S * exchange_us / 1e6,
        table_calls * call_core,
        peers / HEARTBEAT_INTERVAL_S * (HTTP_CALLS_PER_HEARTBEAT * call_core + codec_s),
        document.adopt_ms / 1e3 * changes_per_s,
        _memory_mb(slopes, share),
    )


def count_most_shards(entries: int, shards: int) -> int:
    """Return how many shards the entry owns that rendezvous hashing gives the most."""
    names = [f"entry-{number}" for number in range(entries)]
    owners = (preferred_entry(f"shard/{shard}", names) for shard in range(shards))
    return max(Counter(owners).values())


def admission_core(slopes: Slopes) -> float:
    """Return the fraction of a core that the admitting entry spends on its passes."""
    return OPEN_JOB_ROWS * slopes.admission.decode_us_per_row / 1e6 / ACTIVE_PASS_INTERVAL_S


def admission_bytes_per_s(slopes: Slopes) -> float:
    """Return what the admitting entry reads for its passes."""
    rows_per_s = OPEN_JOB_ROWS / ACTIVE_PASS_INTERVAL_S + SCAN_LIMIT_ROWS / PRUNE_INTERVAL_S
    return rows_per_s * slopes.admission.bytes_per_row


def reads_per_s(entries: int, shards: int) -> float:
    """Return the reads of all entries by their timers, with one scan a read."""
    each_entry = (
        1 / POLL_INTERVAL_S
        + 1 / ZONES_INTERVAL_S
        + 1 / CANCELLED_INTERVAL_S
        + 1 / SERVICES_INTERVAL_S
    )
    heads = OBSERVED_RANKS * shards / OBSERVE_EVERY_S
    admission = OPEN_JOB_ROWS / SCAN_LIMIT_ROWS / ACTIVE_PASS_INTERVAL_S
    return entries * each_entry + heads + shards / INBOX_EVERY_S + admission


def urgent_worst_s(configuration: ConfigurationSlope) -> float:
    """Return the sum of all timers between publication and a committed start.

    Adoption wakes admission in the same process. The wake-up of the shard is counted as lost.
    """
    return POLL_INTERVAL_S + configuration.adopt_ms / 1e3 + urgent_due_worst_s()


def urgent_due_worst_s() -> float:
    """Return the sum of all timers between the instant of a schedule and a committed start.

    Admission wakes at the instant itself. The wake-up of the shard is counted as lost.
    """
    return INBOX_EVERY_S + COMMIT_EVERY_S


def _mix(usual: float, rare: float, share: float) -> float:
    return usual * (1 - share) + rare * share


def _exchanges(slopes: Slopes) -> tuple[ExchangeSlope, ExchangeSlope]:
    runs = RUNNING // WORKERS
    quiet = next(e for e in slopes.exchanges if not e.with_usage and e.runs_per_worker >= runs)
    full = next(e for e in slopes.exchanges if e.with_usage and e.runs_per_worker >= runs)
    return quiet, full


def _memory_mb(slopes: Slopes, share: float) -> float:
    ledger = slopes.ledger[-1]
    ledger_bytes = WORKERS * ledger.bytes_per_worker + RUNNING * ledger.bytes_per_task
    document_bytes = CONFIGURATION_COPIES * slopes.configurations[-1].document_bytes
    fixed_mb = slopes.base.resident_mb + slopes.base.timeline_mb
    return fixed_mb + (ledger_bytes * share + document_bytes) / 1e6

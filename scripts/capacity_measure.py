"""Measurements of unit costs for the capacity page, each on a single machine."""

import sys
from collections.abc import Callable
from subprocess import PIPE
from subprocess import Popen
from time import perf_counter
from time import process_time
from time import time
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing
from typing import NamedTuple

from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.declaration import StateReport
from laburnumswitch.declaration import Team
from laburnumswitch.process.admission.job_row import JobRow
from laburnumswitch.process.admission.job_row import read_jobs
from laburnumswitch.process.observing.timeline import CAPACITY_EVENTS
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.peers.heartbeat import TeamUsageReport
from laburnumswitch.process.peers.heartbeat import ZoneHint
from laburnumswitch.process.peers.peer_sync import TEAM_USAGE_INTERVAL_S
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.shard_hint import TeamUsage
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.workers.task_spec import encode_task_spec
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.process.workers.worker_api import RunEvent
from laburnumswitch.process.workers.worker_api import StartOrder
from laburnumswitch.process.workers.worker_api import WorkerApiClient
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.size import Size
from laburnumswitch.version.document import decode_document
from laburnumswitch.version.document import digest_of
from laburnumswitch.version.document import encode_document

WORKERS_PER_RACK = 8
EXCHANGES = 300
REPEATS = 20
KB = 1024
SIZE = Size(2_300, 9_000)


class ExchangeCost(NamedTuple):
    """Cost of exchanges with one rack over loopback HTTP; CPU time is that of the entry alone."""

    runs_per_worker: int
    with_usage: bool
    bytes_per_exchange: float
    cpu_us_per_exchange: float


class HeartbeatCost(NamedTuple):
    """Cost of one heartbeat per second to each of ``peers`` peers, for ``shards`` owned shards.

    The traffic includes team usage, which peers fetch at a longer interval.
    """

    peers: int
    shards: int
    payload_bytes: int
    bytes_per_s: float
    codec_us: float


class ConfigurationCost(NamedTuple):
    """Size and adoption time of a document with ``declarations`` jobs and services."""

    declarations: int
    document_bytes: int
    adopt_ms: float


class AdmissionCost(NamedTuple):
    """Bytes read and decoding time of one admission pass over ``rows`` job rows."""

    rows: int
    bytes_per_row: float
    decode_us_per_row: float


class BaselineMemory(NamedTuple):
    """Memory of an idle entry process and of a full timeline."""

    resident_mb: float
    timeline_mb: float


class OrderSizes(NamedTuple):
    """JSON size in bytes of one start order and of the events that one run reports."""

    start: int
    events: int


def measure_exchange(runs: int, with_usage: bool) -> ExchangeCost:
    """Measure exchanges of orders and reports with a minimal stand-in for one rack."""
    command = [sys.executable, "-m", "scripts.capacity_rack", str(WORKERS_PER_RACK), str(runs)]
    rack = Popen(command, stdin=PIPE, stdout=PIPE)
    try:
        address = f"127.0.0.1:{int(rack.stdout.readline())}"
        return _run_exchanges(address, runs, with_usage)
    finally:
        rack.stdin.close()
        rack.wait(10)


def _run_exchanges(address: str, runs: int, with_usage: bool) -> ExchangeCost:
    client = WorkerApiClient()
    orders = {
        f"w{worker:05d}": WorkerOrders(f"boot-{worker:08x}", 1, 7.5, full=with_usage)
        for worker in range(WORKERS_PER_RACK)
    }
    first = client.exchange(address, orders)
    if not isinstance(first, dict):
        raise RuntimeError(first.describe())
    bytes_before = client.control_bytes()
    started_s = process_time()
    for _ in range(EXCHANGES):
        client.exchange(address, orders)
    cpu_s = process_time() - started_s
    control_bytes = client.control_bytes() - bytes_before
    return ExchangeCost(runs, with_usage, control_bytes / EXCHANGES, cpu_s / EXCHANGES * 1e6)


def measure_heartbeat(peers: int, shards: int, teams: int, zones: int) -> HeartbeatCost:
    """Measure the heartbeat of an entry that owns its share of ``shards``."""
    own_shards = max(1, round(shards / (peers + 1)))
    team_usages = tuple(TeamUsage(f"team-{team:03d}", SIZE) for team in range(teams))
    team_bytes = len(encode(TeamUsageReport("entry-00001", team_usages))) if teams else 0
    heartbeat = Heartbeat(
        vm_id="entry-00001",
        boot="8c1f2e9a7b",
        availability_zone="zone-1",
        clock=1_000_000,
        configuration_version=1_200,
        configuration_digest="0" * 64,
        zones=tuple(ZoneHint(f"zone-{zone}", "in", 90_000 + zone) for zone in range(zones)),
        shards=tuple(ShardHint(shard, 12, 40_000, SIZE, SIZE, 120) for shard in range(own_shards)),
    )
    payload = encode(heartbeat)

    def encode_and_decode() -> None:
        convert(decode(encode(heartbeat)), Heartbeat)

    # Each pair of entries exchanges heartbeats once per second, one in each direction. Each entry
    # also fetches the other's team usage once per TEAM_USAGE_INTERVAL_S.
    bytes_per_peer = 2.0 * len(payload) + 2.0 * team_bytes / TEAM_USAGE_INTERVAL_S
    return HeartbeatCost(
        peers,
        own_shards,
        len(payload),
        bytes_per_peer * peers,
        _shortest_time_us(encode_and_decode),
    )


def measure_configuration(declarations: int, teams: int) -> ConfigurationCost:
    """Measure decoding and validation of a document, as done on adoption."""
    services = tuple(
        Service(
            f"service-{number}",
            f"team-{number % teams:03d}",
            (f"service-{number}.example.com",),
            4,
            SIZE,
            ("serve", "--number", str(number)),
            state=StateReport("json", ready_field="status.ready", load_field="load.percent"),
        )
        for number in range(declarations // 4)
    )
    jobs = tuple(
        Job(
            f"job-{number}",
            f"team-{number % teams:03d}",
            ("compare", "--week", str(number)),
            SIZE,
            tasks=500,
            schedule="0 2 * * *",
        )
        for number in range(declarations - len(services))
    )
    team_list = tuple(Team(f"team-{number:03d}", SIZE) for number in range(teams))
    document = encode_document(Configuration(7, "", services, jobs, team_list))
    digest = digest_of(document)

    def adopt() -> None:
        adopted = decode_document(document, 7, digest)
        if not isinstance(adopted, Configuration):
            raise RuntimeError(adopted.describe())

    return ConfigurationCost(declarations, len(document), _shortest_time_us(adopt) / 1e3)


def measure_admission(rows: int) -> AdmissionCost:
    """Measure decoding the rows of ended jobs, as done by one admission pass."""
    encoded = [encode(Row(f"job/{_job_row(n).job_id}", n, _job_row(n))) for n in range(rows)]

    def read_all() -> None:
        read_jobs(Row(*decode(row)) for row in encoded)

    size = sum(map(len, encoded)) / rows
    return AdmissionCost(rows, size, _shortest_time_us(read_all, 3) / rows)


def _job_row(number: int) -> JobRow:
    job_id = f"job-{number // 20}@20261203T{number % 20:02d}0000Z"
    work = TaskSpec(job_id, f"job-{number // 20}", "team-001", ("compare", "--week"), SIZE, 58.0)
    return JobRow(
        job_id=job_id,
        name=work.name,
        team=work.team,
        tasks=500,
        state="finished",
        created_s=1_796_000_000.5,
        work=encode_task_spec(work),
        finished=500,
        ended_s=1_796_000_100.5,
    )


def measure_order_sizes() -> OrderSizes:
    """Return the encoded sizes of a start order and of the two events of a run."""
    name = "job-1200@20261203T020000Z:499"
    start = StartOrder(name, 1, 12_345.678, SIZE, ("compare", "--week"), 58.0)
    events = (RunEvent(40_000, "started", name, 1), RunEvent(40_001, "finished", name, 1))
    return OrderSizes(len(encode(start)) + 1, sum(len(encode(event)) + 1 for event in events))


def measure_baseline_memory() -> BaselineMemory:
    """Measure the memory of a process that has imported the entry's code, and of a timeline."""
    program = (
        "import laburnumswitch.entry, laburnumswitch.command\n"
        "print(next(line for line in open('/proc/self/status') if line.startswith('VmRSS')))"
    )
    finished = Popen([sys.executable, "-c", program], stdout=PIPE, text=True)
    line, _ = finished.communicate(timeout=30)
    return BaselineMemory(int(line.split()[1]) / KB, _timeline_bytes() / KB / KB)


def _timeline_bytes() -> int:
    start_tracing()
    timeline = Timeline("entry-00001", "zone-1", time)
    for number in range(CAPACITY_EVENTS):
        timeline.record("run_started", f"job-{number}@20261203T020000Z:4", run=1, worker="w00001")
    size = get_traced_memory()[0]
    stop_tracing()
    return size


def _shortest_time_us(action: Callable[[], None], repeats: int = REPEATS) -> float:
    """Return the shortest run time of ``action``, as the least disturbed by other processes."""
    times = []
    for _ in range(repeats):
        started_s = perf_counter()
        action()
        times.append(perf_counter() - started_s)
    return min(times) * 1e6

"""Load test of shards with 850 starts and 850 ends a second against the table's budgets."""

from collections import deque
from random import Random
from statistics import median
from time import process_time
from typing import NamedTuple

from msgspec.json import encode

from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.inbox import Chunk
from laburnumswitch.process.ledger.inbox import inbox_put
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ownership import shard_of_rack
from laburnumswitch.process.ledger.ownership import take_over
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.usage_history import LearnedModels
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.sharding.shard import CommittedTakeover
from laburnumswitch.process.sharding.shard import Shard
from laburnumswitch.process.workers.task_spec import encode_task_spec
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.process.workers.worker_api import Usage
from laburnumswitch.size import Size
from standin.table import MemoryTable
from tests.fakes import FakeClock
from tests.fakes import FakeObjects
from tests.fakes import FakeWorker
from tests.fakes import FakeWorkers
from tests.fakes import make_context

CAPACITY = Size(64_000, 250_000)
TASK_SIZE = Size(2_300, 9_000)
WORKERS_PER_RACK = 8
STEP_S = 0.25
RENEWAL_INTERVAL_STEPS = 4
WARM_UP_S = 6.0
MEASURE_S = 12.0


class LoadParameters(NamedTuple):
    """Parameters of a load test; ``writes_per_s`` and ``reads_per_s`` are the table's budgets."""

    workers: int
    running: int
    starts_per_s: int
    shards: int
    entries: int
    writes_per_s: float
    reads_per_s: float
    usage_every_s: float
    seed: int


class LoadResult(NamedTuple):
    """Result of a load test; traffic counts journal, heads, orders and reports as JSON."""

    workers: int
    shards: int
    entries: int
    usage_every_s: float
    running: int
    starts_per_s: float
    ends_per_s: float
    commits_per_s: float
    rows_written_per_s: float
    rows_read_per_s: float
    throttled: int
    start_delay_p50_s: float
    start_delay_p99_s: float
    table_bytes_per_s_and_entry: float
    worker_bytes_per_s_and_entry: float
    usage_bytes_per_s_and_entry: float
    core_fraction_per_entry: float
    turn_ms_per_shard: float
    overcommitted: int


class _CountingTable(MemoryTable):
    def __init__(self, load: LoadParameters, clock: FakeClock) -> None:
        super().__init__(load.writes_per_s, load.reads_per_s, clock)
        self.bytes = 0
        self.throttled = 0

    def commit(self, transaction):
        outcome = super().commit(transaction)
        self.bytes += len(encode(transaction._asdict()))
        self.throttled += not isinstance(outcome, Committed)
        return outcome


class _CountingWorkers(FakeWorkers):
    def __init__(
        self, clock: FakeClock, address_by_worker: dict[str, str], usage_every_s: float
    ) -> None:
        super().__init__(clock)
        self.bytes = 0
        self.usage_bytes = 0
        self._usage_every_s = usage_every_s
        self._usage_due_by_worker: dict[str, float] = {}
        self._ids_by_address: dict[str, list[str]] = {}
        for worker_id, address in address_by_worker.items():
            self._ids_by_address.setdefault(address, []).append(worker_id)

    def exchange(self, address, by_worker):
        reports = {}
        for worker_id, orders in by_worker.items():
            worker = self.by_id[worker_id]
            report = worker.exchange(orders)
            usage = self._usage(worker)
            self.usage_bytes += len(encode(usage))
            reports[worker_id] = report._replace(usage=usage)
        self.bytes += len(encode(by_worker)) + len(encode(reports))
        return reports

    def _usage(self, worker: FakeWorker) -> tuple[Usage, ...]:
        # Workers measure usage every few seconds, not on every exchange.
        due_s = self._usage_due_by_worker.get(worker.worker_id, 0.0)
        if self._clock() < due_s:
            return ()
        self._usage_due_by_worker[worker.worker_id] = self._clock() + self._usage_every_s
        return tuple(
            Usage(task_id, run.size.cpu_millis - 100, run.size.memory_mb - 100, 1.1)
            for task_id, run in worker.run_by_task.items()
        )


class _SimulatedCluster:
    def __init__(self, load: LoadParameters) -> None:
        self.load = load
        self.random = Random(load.seed)
        self.clock = FakeClock()
        self.table = _CountingTable(load, self.clock)
        self.vms = _make_vms(load.workers)
        addresses = {vm.vm_id: vm.address for vm in self.vms}
        self.workers = _CountingWorkers(self.clock, addresses, load.usage_every_s)
        for vm in self.vms:
            self.workers.add(vm)
        context = make_context(
            self.table, self.clock, self.workers, self.vms, shard_count=load.shards
        )
        self.shared = SharedRows(self.table)
        self.shared.refresh(self.clock())
        self.shards = [
            _take_over_shard(context, self.shared, shard) for shard in range(load.shards)
        ]
        self.shard_weights = _shard_weights(self.vms, load.shards)
        self.jobs = 0
        self.submitted_s: dict[str, float] = {}
        self.pending_submissions: deque = deque()
        self.worker_cpu_s = 0.0
        self.shard_cpu_s = 0.0
        self.turns = 0
        self.step_number = 0

    def submit(self, tasks: int) -> None:
        """Queue one job of ``tasks`` tasks for the shards' inboxes, as admission does."""
        self.jobs += 1
        work = TaskSpec(
            job_id=f"weekly-comparison-{self.jobs}@20261203T020000Z",
            name=f"class-{self.jobs % 12}",
            team=f"team-{self.jobs % 4}",
            command=("compare", "--week", str(self.jobs)),
            size=TASK_SIZE,
            run_time_s=58.0,
        )
        puts = []
        first = 0
        for shard, weight in enumerate(self.shard_weights):
            last = round(tasks * sum(self.shard_weights[: shard + 1]))
            if last > first and weight:
                chunk = Chunk(encode_task_spec(work), first, last - first)
                puts.append(inbox_put(shard, work.job_id, chunk))
            first = last
        self.pending_submissions.append((work.job_id, Transaction((), tuple(puts))))

    def step(self) -> None:
        """Advance the clock by one step and run every shard."""
        self.clock.sleep(STEP_S)
        self.step_number += 1
        while self.pending_submissions:
            job_id, transaction = self.pending_submissions[0]
            if not isinstance(self.table.commit(transaction), Committed):
                break
            self.submitted_s[job_id] = self.clock()
            self.pending_submissions.popleft()
        self.shared.refresh(self.clock())
        order = list(self.shards)
        self.random.shuffle(order)
        for shard in order:
            self._exchange(shard)
            started_s = process_time()
            for _ in range(2):
                if not shard.run_cycle():
                    break
            shard.store_snapshot()
            self.shard_cpu_s += process_time() - started_s
            self.turns += 1

    def end_some(self, count: int) -> None:
        """Finish ``count`` running tasks on random workers."""
        workers = list(self.workers.by_id.values())
        ended = 0
        while ended < count:
            worker = workers[int(self.random.random() * len(workers))]
            if worker.run_by_task:
                worker.end(next(iter(worker.run_by_task)))
                ended += 1

    def _exchange(self, shard: Shard) -> None:
        started_s = process_time()
        for number, address in enumerate(shard.workers.addresses()):
            due = (self.step_number + number) % RENEWAL_INTERVAL_STEPS == 0
            shard.workers.exchange(address, due)
        self.worker_cpu_s += process_time() - started_s


def measure_load(load: LoadParameters) -> LoadResult:
    """Fill the workers, then measure under a steady rate of starts and ends."""
    cluster = _SimulatedCluster(load)
    cluster.table.write_budget.per_second = cluster.table.read_budget.per_second = float("inf")
    cluster.submit(load.running)
    while len(_running_tasks(cluster)) < load.running and cluster.step_number < 400:
        cluster.step()
    cluster.table.write_budget.per_second = load.writes_per_s
    cluster.table.read_budget.per_second = load.reads_per_s
    _apply_load(cluster, WARM_UP_S)
    before = _counters(cluster)
    history_from = len(cluster.workers.history)
    started_s = cluster.clock()
    _apply_load(cluster, MEASURE_S)
    elapsed_s = cluster.clock() - started_s
    after = _counters(cluster)
    delta = {name: after[name] - before[name] for name in after}
    history = cluster.workers.history[history_from:]
    delays = sorted(_start_delays(cluster, history)) or [float("inf")]
    return LoadResult(
        load.workers,
        load.shards,
        load.entries,
        load.usage_every_s,
        len(_running_tasks(cluster)),
        sum(entry[1] == "start" for entry in history) / elapsed_s,
        sum(entry[1] == "finished" for entry in history) / elapsed_s,
        delta["commits"] / elapsed_s,
        delta["writes"] / elapsed_s,
        delta["reads"] / elapsed_s,
        delta["throttled"],
        median(delays),
        delays[int(len(delays) * 0.99)],
        delta["table_bytes"] / elapsed_s / load.entries,
        delta["worker_bytes"] / elapsed_s / load.entries,
        delta["usage_bytes"] / elapsed_s / load.entries,
        (delta["worker_cpu_s"] + delta["shard_cpu_s"]) / elapsed_s / load.entries,
        delta["shard_cpu_s"] / max(1, delta["turns"]) * 1e3,
        len(cluster.workers.overcommitted()),
    )


def _apply_load(cluster: _SimulatedCluster, seconds: float) -> None:
    per_step = int(cluster.load.starts_per_s * STEP_S)
    for number in range(int(seconds / STEP_S)):
        if number % int(1 / STEP_S) == 0:
            cluster.submit(cluster.load.starts_per_s)
        cluster.end_some(per_step)
        cluster.step()


def _counters(cluster: _SimulatedCluster) -> dict[str, float]:
    return {
        "commits": cluster.table.commits,
        "writes": cluster.table.write_budget.spent,
        "reads": cluster.table.read_budget.spent,
        "throttled": cluster.table.throttled,
        "table_bytes": cluster.table.bytes,
        "worker_bytes": cluster.workers.bytes,
        "usage_bytes": cluster.workers.usage_bytes,
        "worker_cpu_s": cluster.worker_cpu_s,
        "shard_cpu_s": cluster.shard_cpu_s,
        "turns": cluster.turns,
    }


def _start_delays(cluster: _SimulatedCluster, history: list[tuple]) -> list[float]:
    delays = []
    for now_s, kind, _, task_id, run in history:
        submitted_s = cluster.submitted_s.get(task_id.rpartition(":")[0])
        if kind == "start" and run == 1 and submitted_s is not None:
            delays.append(now_s - submitted_s)
    return delays


def _running_tasks(cluster: _SimulatedCluster) -> list[str]:
    workers = cluster.workers.by_id.values()
    return [task_id for worker in workers for task_id in worker.run_by_task]


def _make_vms(count: int) -> tuple[Vm, ...]:
    vms = []
    for number in range(count):
        rack = f"rack-{number // WORKERS_PER_RACK}"
        zone = f"zone-{number // WORKERS_PER_RACK % 4}"
        vms.append(Vm(f"w{number:05d}", "worker", rack, zone, "live", rack, CAPACITY))
    return tuple(vms)


def _shard_weights(vms: tuple[Vm, ...], shards: int) -> list[float]:
    weights = [0.0] * shards
    for vm in vms:
        weights[shard_of_rack(vm.rack, shards)] += 1.0 / len(vms)
    return weights


def _take_over_shard(context: SchedulerContext, shared: SharedRows, shard: int) -> Shard:
    now_s = context.clock()
    head = take_over(context.table, read_head(context.table, shard), context.vm_id)
    learned = LearnedModels(Interference(), ClassProfiles())
    objects = FakeObjects()
    ownership = CommittedTakeover(head, Ledger(), now_s, now_s)
    return Shard(context._replace(objects=objects), shared, ownership, learned)

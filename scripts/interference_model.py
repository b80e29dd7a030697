"""Simulation of interference between runs, to compare the placement policies of one shard.

It drives a real shard with fake workers. The stand-in workers of the system tests use the model in
``standin/interference.py`` instead, which also slows down runs on an overloaded worker.
"""

from random import Random
from typing import NamedTuple

from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.inbox import Chunk
from laburnumswitch.process.ledger.inbox import inbox_put
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ownership import take_over
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.policy import PolicySet
from laburnumswitch.process.placing.usage_history import LearnedModels
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.sharding.shard import CommittedTakeover
from laburnumswitch.process.sharding.shard import Shard
from laburnumswitch.process.workers.task_spec import encode_task_spec
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.process.workers.worker_api import Usage
from laburnumswitch.size import Size
from standin.table import MemoryTable
from tests.fakes import FakeClock
from tests.fakes import FakeWorker
from tests.fakes import FakeWorkers
from tests.fakes import make_context
from tests.fakes import make_vm

WORKERS = 24
CAPACITY = Size(16_000, 60_000)
REPLICAS = 12
REPLICA_SIZE = Size(4_000, 8_000)
TASK_SIZE = Size(2_000, 4_000)
# Names of the batch jobs.
CLASSES = ("noisy", "middling", "quiet")
# Mean slowdown added by a neighbour that uses all CPU of the worker, by the neighbour's name.
SLOWDOWN_BY_AGGRESSOR = {"noisy": 3.0, "middling": 1.0, "quiet": 0.2, "orders": 0.1}
TASKS_PER_WAVE = 90
WAVE_INTERVAL_S = 20.0
TASK_RUN_TIME_S = 30.0
STEP_S = 0.25
DURATION_S = 240.0
WARM_UP_S = 30.0
USAGE_LAG_S = 3.0


class ModelResult(NamedTuple):
    """Replica slowdown, completed batch work and evictions of one simulation."""

    slowdown_p50: float
    slowdown_p99: float
    batch_core_seconds: float
    finished: int
    evictions: int
    standing_evictions: int


class InterferenceModel:
    """Workers whose runs slow each other down by hidden coefficients; usage reports lag."""

    def __init__(self, policies: PolicySet, seed: int, lag_s: float = USAGE_LAG_S) -> None:
        self.lag_s = lag_s
        self.random = Random(seed)
        self.clock = FakeClock()
        self.table = MemoryTable(clock=self.clock)
        self.workers = FakeWorkers(self.clock)
        vms = tuple(make_vm(n, "abc"[n % 3], f"r{n // 8}", CAPACITY) for n in range(WORKERS))
        for vm in vms:
            self.workers.add(vm)
        context = make_context(self.table, self.clock, self.workers, vms, random=Random(seed + 1))
        head = take_over(self.table, read_head(self.table, 0), "e1")
        self.shared = SharedRows(self.table)
        learned = LearnedModels(Interference(), ClassProfiles())
        now_s = self.clock()
        self.shard = Shard(
            context, self.shared, CommittedTakeover(head, Ledger(), now_s, now_s), learned, policies
        )
        self.coefficient_by_pair = self._draw_coefficients()
        self.remaining_s_by_task: dict[str, float] = {}
        self.slowdowns: list[float] = []
        self.core_seconds = 0.0
        self.delayed_usage: list[tuple[float, FakeWorker, tuple[Usage, ...]]] = []
        self.waves = 0
        self._submit_services()

    def run(self) -> ModelResult:
        """Run the simulation to its end and return the figures."""
        end_s = self.clock() + DURATION_S
        measure_from_s = self.clock() + WARM_UP_S
        next_wave_s = self.clock()
        while self.clock() < end_s:
            if self.clock() >= next_wave_s:
                next_wave_s += WAVE_INTERVAL_S
                self._submit_wave()
            self._step(measured=self.clock() >= measure_from_s)
        # Each event holds the time, the kind, the worker, the task and the run.
        history = self.workers.history
        evicted = [event for event in history if event[1] in ("evicted", "killed")]
        slowdowns = sorted(self.slowdowns)
        return ModelResult(
            slowdowns[len(slowdowns) // 2],
            slowdowns[int(len(slowdowns) * 0.99)],
            self.core_seconds,
            sum(event[1] == "finished" for event in history),
            len(evicted),
            sum(event[3].startswith("orders") for event in evicted),
        )

    def _draw_coefficients(self) -> dict[tuple[str, str], float]:
        return {
            (victim, aggressor): base * self.random.uniform(0.5, 1.5)
            for victim in ("orders", *CLASSES)
            for aggressor, base in SLOWDOWN_BY_AGGRESSOR.items()
        }

    def _submit(self, work: TaskSpec, count: int) -> None:
        put = inbox_put(0, work.job_id, Chunk(encode_task_spec(work), 0, count))
        self.table.commit(Transaction((), (put,)))

    def _submit_services(self) -> None:
        handed = [{"job_id": "orders@r1", "indexes": list(range(REPLICAS))}]
        self.table.commit(Transaction((), (Put("service/orders", {"handed": handed}),)))
        work = TaskSpec(
            job_id="orders@r1",
            name="orders",
            team="shop",
            command=("orders",),
            size=REPLICA_SIZE,
            service="orders",
            standing=True,
        )
        self._submit(work, REPLICAS)

    def _submit_wave(self) -> None:
        self.waves += 1
        noisy = TASKS_PER_WAVE // 2 if self.waves % 3 == 0 else TASKS_PER_WAVE // 6
        counts = (noisy, TASKS_PER_WAVE // 3, TASKS_PER_WAVE // 3)
        for name, count in zip(CLASSES, counts, strict=True):
            work = TaskSpec(
                job_id=f"{name}@{self.waves}",
                name=name,
                team="batch",
                command=(name,),
                size=TASK_SIZE,
                run_time_s=TASK_RUN_TIME_S,
                checkpointable=True,
            )
            self._submit(work, count)

    def _step(self, measured: bool) -> None:
        self.clock.sleep(STEP_S)
        self.workers.expire()
        for worker in self.workers.by_id.values():
            self._advance_runs(worker, measured)
        now_s = self.clock()
        while self.delayed_usage and self.delayed_usage[0][0] <= now_s:
            _, worker, usage = self.delayed_usage.pop(0)
            worker.usage = usage
        self.shared.refresh(now_s)
        # Reports are exchanged once a second, start commands at every step.
        if int(now_s / STEP_S) % 4 == 0:
            for address in self.shard.workers.addresses():
                self.shard.workers.exchange(address)
        else:
            self._send_starts()
        while self.shard.run_cycle():
            pass

    def _send_starts(self) -> None:
        for address, state in self.shard.workers.state_by_worker_id.items():
            if state.unconfirmed_start_by_key:
                self.shard.workers.exchange(address)

    def _advance_runs(self, worker: FakeWorker, measured: bool) -> None:
        usage = []
        for task_id, start in tuple(worker.run_by_task.items()):
            slowdown = self._slowdown(worker, task_id)
            usage.append(Usage(task_id, start.size.cpu_millis, start.size.memory_mb, slowdown))
            if start.service:
                if measured:
                    self.slowdowns.append(slowdown)
                continue
            rate = worker.percent_by_task.get(task_id, 100) / 100 / slowdown
            if measured:
                self.core_seconds += STEP_S * rate * start.size.cpu_millis / 1_000
            remaining_s = self.remaining_s_by_task.get(
                task_id, self.random.uniform(0.5, 1.5) * TASK_RUN_TIME_S
            )
            remaining_s -= STEP_S * rate
            self.remaining_s_by_task[task_id] = remaining_s
            if remaining_s <= 0.0:
                worker.end(task_id)
        self.delayed_usage.append((self.clock() + self.lag_s, worker, tuple(usage)))

    def _slowdown(self, worker: FakeWorker, victim: str) -> float:
        name = victim.partition("@")[0]
        slowdown = 1.0
        for task_id, start in worker.run_by_task.items():
            if task_id == victim:
                continue
            share = start.size.cpu_millis / CAPACITY.cpu_millis
            percent = worker.percent_by_task.get(task_id, 100)
            pair = (name, task_id.partition("@")[0])
            slowdown += self.coefficient_by_pair[pair] * share * percent / 100
        return slowdown

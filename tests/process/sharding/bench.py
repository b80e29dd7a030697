"""Test bench: one shard with an in-memory table, fake workers and owners, driven step by step."""

from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.inbox import Chunk
from laburnumswitch.process.ledger.inbox import inbox_put
from laburnumswitch.process.ledger.journal import replay_journal
from laburnumswitch.process.ledger.ownership import take_over
from laburnumswitch.process.ledger.snapshot import load_ledger
from laburnumswitch.process.observing.timeline import Event
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.operating.zones import zone_key
from laburnumswitch.process.operating.zones import ZoneRow
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.usage_history import LearnedModels
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.sharding.shard import CommittedTakeover
from laburnumswitch.process.sharding.shard import Shard
from laburnumswitch.process.workers.task_spec import encode_task_spec
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size
from standin.table import MemoryTable
from tests.fakes import FakeClock
from tests.fakes import FakeObjects
from tests.fakes import FakeWorkers
from tests.fakes import make_context
from tests.fakes import make_vm

SMALL = Size(1_000, 1_000)

TASK = "j@1:0"


def make_work(job_id="j@1", size=SMALL, **changes) -> TaskSpec:
    fields = {"name": job_id.partition("@")[0], "team": "team", "command": ("run",)}
    return TaskSpec(job_id=job_id, size=size, **{**fields, **changes})


class Bench:
    """A cluster of one shard under one clock."""

    def __init__(self, vms=None, **changes) -> None:
        self.clock = FakeClock()
        self.table = MemoryTable(clock=self.clock)
        self.objects = FakeObjects()
        self.workers = FakeWorkers(self.clock)
        self.vms = tuple(vms or (make_vm(1), make_vm(2)))
        self.context_changes = changes
        self.chunks = 0
        self.violations: list[str] = []
        self.timelines: list[Timeline] = []
        for vm in self.vms:
            self.workers.add(vm)

    def take_over(self, vm_id="e1", table=None, unreachable_workers=()) -> Shard:
        context = make_context(
            table or self.table,
            self.clock,
            self.workers.with_unreachable(set(unreachable_workers)),
            lambda: self.vms,
            vm_id,
            self.objects,
            **self.context_changes,
        )
        self.timelines.append(context.timeline)
        head = read_head(self.table, 0)
        sent_s = self.clock()
        owned = take_over(self.table, head, vm_id)
        assert isinstance(owned, Head), owned
        ledger = replay_journal(self.table, owned, load_ledger(self.objects, owned))
        shared = SharedRows(context.table)
        shared.refresh(self.clock())
        learned = LearnedModels(Interference(), ClassProfiles())
        shard = Shard(
            context, shared, CommittedTakeover(owned, ledger, sent_s, self.clock()), learned
        )
        shard.shared = shared
        return shard

    def submit(self, work: TaskSpec, count=1, first=0) -> None:
        self.chunks += 1
        chunk = Chunk(encode_task_spec(work), first, count)
        self.table.commit(Transaction((), (inbox_put(0, f"c{self.chunks}", chunk),)))

    def put_zone(self, name, state):
        row = ZoneRow(format=1, state=state, actor="operator", changed_s=0.0)
        self.put(zone_key(name), row)

    def put(self, key, value) -> None:
        self.table.commit(Transaction((), (Put(key, value),)))

    def drive(self, *shards: Shard, seconds=1.0, step_s=0.25) -> None:
        """Advance the clock: workers expire leases, shards exchange reports and commit."""
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.clock.sleep(step_s)
            self.workers.expire()
            self.check_invariants()
            for shard in shards:
                shard.shared.refresh(self.clock())
                for address in shard.workers.addresses():
                    shard.workers.exchange(address)
                while shard.run_cycle():
                    pass
                shard.refresh_upstreams()
                shard.store_snapshot()
                self.check_invariants()

    def events(self) -> list[Event]:
        """Return the events of all owners."""
        return [event for timeline in self.timelines for event in timeline.after(0)]

    def check_invariants(self) -> None:
        """Record every violated invariant that the state of the workers shows."""
        for task_id, workers in self.workers.running().items():
            if len(workers) > 1:
                self.violations.append(f"{task_id} runs on {workers}")
        self.violations.extend(f"{worker} is full" for worker in self.workers.overcommitted())

    def worker_of(self, task_id: str) -> str:
        return self.workers.running().get(task_id, [""])[0]


def start_one(bench, shard, **changes):
    bench.submit(make_work(**changes))
    bench.drive(shard, seconds=2)
    return bench.worker_of(TASK)


def start_times(bench, task_id):
    return [
        entry[0] for entry in bench.workers.history if entry[1] == "start" and entry[3] == task_id
    ]

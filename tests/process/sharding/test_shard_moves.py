"""One owned shard while zones and VMs are taken out of service or jobs are cancelled."""

from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength

from laburnumswitch.process.ledger.evacuation import REPLACEMENT_TIMEOUT_S
from laburnumswitch.process.rows.shared_rows import CANCELLED_PREFIX
from laburnumswitch.size import Size
from tests.fakes import FaultyTable
from tests.fakes import make_vm
from tests.process.sharding.bench import Bench
from tests.process.sharding.bench import make_work
from tests.process.sharding.bench import start_one
from tests.process.sharding.bench import TASK


class TestZones(TestCase):
    def make_bench(self):
        return Bench((make_vm(1, "a", "ra"), make_vm(2, "b", "rb")))

    def test_zone_taken_out_before_a_start_commits_prevents_the_start(self):
        bench = Bench((make_vm(1, "a"),))
        table = FaultyTable(bench.table)
        shard = bench.take_over(table=table)
        bench.submit(make_work())
        # The zone is taken out of service between planning the start and committing it.
        while not shard.ledger.find_group("j@1"):
            bench.drive(shard, seconds=0.25)
            if shard.ledger.find_group("j@1") and bench.worker_of(TASK):
                self.fail("started too early to race")
            table.before_commit = lambda: bench.put_zone("a", "out")
        bench.drive(shard, seconds=5)
        self.assertThat(bench.workers.runs_of(TASK), Equals([]))
        bench.put_zone("a", "in")
        bench.drive(shard, seconds=2)
        self.assertThat(bench.workers.runs_of(TASK), Equals([1]))

    def test_batch_task_is_checkpointed_and_moves(self):
        bench = self.make_bench()
        shard = bench.take_over()
        worker_id = start_one(bench, shard, checkpointable=True)
        zone, other = ("a", "w2") if worker_id == "w1" else ("b", "w1")
        bench.put_zone(zone, "out")
        bench.drive(shard, seconds=4)
        self.assertThat(bench.worker_of(TASK), Equals(other))
        checkpoint = bench.workers.by_id[other].run_by_task[TASK].checkpoint
        self.assertThat(checkpoint, Equals(TASK + ".1"))

    def test_replica_is_replaced_before_it_is_drained(self):
        bench = self.make_bench()
        shard = bench.take_over()
        bench.put("service/s", {"handed": [{"job_id": "j@1", "indexes": [0]}]})
        worker_id = start_one(bench, shard, service="s")
        bench.put_zone("a" if worker_id == "w1" else "b", "out")
        counts = []
        for _ in range(24):
            bench.drive(shard, seconds=0.25)
            counts.append(len(bench.workers.running()))
        self.assertThat(min(counts), Equals(1))
        self.assertThat(counts, Contains(2))
        self.assertThat(counts[-1], Equals(1))
        self.assertThat(bench.workers.by_id[worker_id].run_by_task, Equals({}))
        self.assertThat([item.leaving for item in shard.upstreams], Equals([False]))

    def test_replica_that_fits_nowhere_else_stays_until_the_timeout(self):
        bench = self.make_bench()
        shard = bench.take_over()
        bench.put("service/s", {"handed": [{"job_id": "j@1", "indexes": [0]}]})
        worker_id = start_one(bench, shard, service="s")
        bench.submit(make_work("full@1", Size(8_000, 8_000)))
        bench.drive(shard, seconds=2)
        bench.put_zone("a" if worker_id == "w1" else "b", "out")
        bench.drive(shard, seconds=REPLACEMENT_TIMEOUT_S - 1)
        self.assertThat(bench.worker_of(TASK), Equals(worker_id))
        bench.drive(shard, seconds=5)
        self.assertThat(bench.worker_of(TASK), Equals(""))

    def test_task_moves_off_a_leaving_worker(self):
        bench = Bench()
        shard = bench.take_over()
        worker_id = start_one(bench, shard)
        bench.vms = tuple(
            vm._replace(state="leaving") if vm.vm_id == worker_id else vm for vm in bench.vms
        )
        bench.drive(shard, seconds=3)
        self.assertThat(bench.worker_of(TASK) not in ("", worker_id), Equals(True))


class TestCancellation(TestCase):
    def test_many_cancellations_are_one_batch_and_end_all_tasks(self):
        bench = Bench((make_vm(1, capacity=Size(20_000, 40_000)),))
        shard = bench.take_over()
        for number in range(30):
            bench.submit(make_work(f"job{number}@1"), count=2)
        bench.drive(shard, seconds=4)
        self.assertThat(bench.workers.running(), HasLength(20))
        seq = shard.head.seq
        for number in range(30):
            bench.put(f"{CANCELLED_PREFIX}job{number}@1", {})
        shard.shared.refresh(bench.clock() + 2)
        shard.run_cycle()
        self.assertThat(shard.head.seq, Equals(seq + 1))
        bench.drive(shard, seconds=4)
        self.assertThat(bench.workers.running(), Equals({}))
        cancelled = sum(group.cancelled for group in shard.ledger.group_by_number.values())
        self.assertThat(cancelled, Equals(60))

    def test_cancelled_run_may_still_report_its_end(self):
        bench = Bench()
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard)]
        bench.put(CANCELLED_PREFIX + "j@1", {})
        worker.end(TASK)
        bench.drive(shard, seconds=3)
        group = shard.ledger.find_group("j@1")
        self.assertThat((group.finished, group.cancelled), Equals((1, 0)))

"""One owned shard with failing workers and a failing table."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import HasLength

from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.rows.shared_rows import CANCELLED_PREFIX
from laburnumswitch.process.workers.lease import GRANT_WINDOW_S
from laburnumswitch.process.workers.lease import LEASE_S
from tests.fakes import FaultyTable
from tests.fakes import make_vm
from tests.process.sharding.bench import Bench
from tests.process.sharding.bench import make_work
from tests.process.sharding.bench import start_one
from tests.process.sharding.bench import start_times
from tests.process.sharding.bench import TASK


class TestRun(TestCase):
    def test_task_is_started_ended_and_journaled(self):
        bench = Bench()
        shard = bench.take_over()
        bench.submit(make_work(), count=3)
        bench.drive(shard, seconds=3)
        self.assertThat(bench.workers.running(), HasLength(3))
        for task_id, (worker_id,) in bench.workers.running().items():
            bench.workers.by_id[worker_id].end(task_id)
        bench.drive(shard, seconds=3)
        group = bench.take_over("e2").ledger.find_group("j@1")
        self.assertThat((group.finished, group.is_idle), Equals((3, True)))
        self.assertThat(bench.violations, Equals([]))

    def test_failed_task_is_retried_elsewhere_and_then_counted_as_failed(self):
        bench = Bench()
        shard = bench.take_over()
        worker_ids = [start_one(bench, shard, retries=1)]
        bench.workers.by_id[worker_ids[0]].end(TASK, "failed")
        bench.drive(shard, seconds=4)
        worker_ids.append(bench.worker_of(TASK))
        bench.workers.by_id[worker_ids[1]].end(TASK, "failed")
        bench.drive(shard, seconds=4)
        self.assertThat(set(worker_ids), Equals({"w1", "w2"}))
        self.assertThat(shard.ledger.find_group("j@1").failed, Equals(1))

    def test_checkpoint_is_resumed_once(self):
        bench = Bench()
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard, checkpointable=True)]
        worker.end(TASK, "evicted", TASK + ".1")
        bench.drive(shard, seconds=3)
        second = bench.workers.by_id[bench.worker_of(TASK)]
        self.assertThat(second.run_by_task[TASK].checkpoint, Equals(TASK + ".1"))
        second.reboot()
        bench.drive(shard, seconds=3)
        third = bench.workers.by_id[bench.worker_of(TASK)]
        self.assertThat(third.run_by_task[TASK].checkpoint, Equals(""))
        self.assertThat(bench.workers.runs_of(TASK), Equals([1, 2, 3]))


class TestOwners(TestCase):
    def test_stale_owner_loses_and_nothing_runs_twice(self):
        bench = Bench()
        first = bench.take_over("e1")
        bench.submit(make_work(), count=4)
        bench.drive(first, seconds=1)
        second = bench.take_over("e2")
        bench.submit(make_work("k@1"), count=4)
        bench.drive(first, second, seconds=10)
        self.assertThat((first.is_stopped, second.is_stopped), Equals((True, False)))
        self.assertThat(bench.workers.running(), HasLength(8))
        self.assertThat(bench.violations, Equals([]))

    def test_inbox_row_is_received_once_by_two_owners(self):
        bench = Bench()
        first = bench.take_over("e1")
        bench.drive(first, seconds=1)
        bench.submit(make_work(), count=2)
        second = bench.take_over("e2")
        bench.drive(second, first, seconds=3)
        ledger = bench.take_over("e3").ledger
        group = ledger.find_group("j@1")
        self.assertThat(len(group.running) + group.count_pending(), Equals(2))

    def test_paused_owner_grants_no_lease_after_its_grant_window(self):
        bench = Bench()
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard)]
        bench.drive(shard, seconds=1)
        until = worker.until_by_task[TASK]
        bench.clock.sleep(GRANT_WINDOW_S + 0.1)
        shard.workers.exchange(worker.worker_id)
        shard.workers.exchange(worker.worker_id)
        self.assertThat(worker.until_by_task[TASK], Equals(until))

    def test_cut_off_owner_cannot_keep_a_run_beside_its_successor(self):
        bench = Bench()
        first = bench.take_over("e1")
        worker_id = start_one(bench, first)
        bench.table.down = True
        for _ in range(4):
            # The first owner can no longer commit, but still reaches the worker.
            bench.drive(first, seconds=0.25)
        bench.table.down = False
        second = bench.take_over("e2", unreachable_workers={worker_id})
        taken_s = bench.clock()
        stale = first.workers
        for _ in range(60):
            bench.drive(second, seconds=0.25)
            stale.exchange(worker_id)
            bench.check_invariants()
        self.assertThat(bench.violations, Equals([]))
        self.assertThat(bench.worker_of(TASK), Equals({"w1": "w2", "w2": "w1"}[worker_id]))
        self.assertThat(start_times(bench, TASK)[1] - taken_s, GreaterThan(LEASE_S))

    def test_graceful_release_hands_running_tasks_over(self):
        bench = Bench()
        first = bench.take_over("e1")
        start_one(bench, first)
        first.release_ownership()
        self.assertThat(read_head(bench.table, 0).owner, Equals(""))
        second = bench.take_over("e2")
        bench.drive(second, seconds=10)
        self.assertThat(bench.workers.runs_of(TASK), Equals([1]))
        self.assertThat(bench.workers.running(), HasLength(1))


class TestTable(TestCase):
    def test_lost_answer_of_a_commit_that_took_effect(self):
        bench = Bench()
        shard = bench.take_over()
        bench.drive(shard, seconds=1)
        bench.submit(make_work(), count=5)
        bench.table.lose_answers = 3
        bench.drive(shard, seconds=3)
        self.assertThat(bench.workers.running(), HasLength(5))
        self.assertThat(bench.take_over("e2").ledger.find_group("j@1").running, HasLength(5))
        self.assertThat(bench.violations, Equals([]))

    def test_delayed_commit_is_fenced_before_its_batch_is_committed_again(self):
        bench = Bench()
        table = FaultyTable(bench.table)
        shard = bench.take_over(table=table)
        bench.drive(shard, seconds=1)
        bench.submit(make_work(), count=5)
        table.commits_to_delay = 1
        bench.drive(shard, seconds=3)
        self.assertThat(bench.workers.running(), HasLength(5))
        before = read_head(bench.table, 0)
        late = bench.table.commit(table.delayed_transactions[0])
        self.assertThat(type(late).__name__, Equals("Conflict"))
        self.assertThat(read_head(bench.table, 0), Equals(before))

    def test_nothing_starts_while_the_table_is_down_and_all_tasks_run_afterwards(self):
        bench = Bench()
        shard = bench.take_over()
        worker_id = start_one(bench, shard, checkpointable=True)
        worker = bench.workers.by_id[worker_id]
        bench.submit(make_work("k@1"), count=2)
        bench.table.down = True
        bench.drive(shard, seconds=20)
        self.assertThat(bench.workers.runs_of("k@1:0"), Equals([]))
        self.assertThat(worker.run_by_task, Equals({}))
        bench.table.down = False
        bench.drive(shard, seconds=6)
        self.assertThat(bench.workers.running(), HasLength(3))
        resumed = bench.workers.by_id[bench.worker_of(TASK)].run_by_task[TASK]
        self.assertThat(resumed.checkpoint, Equals(TASK + ".1"))
        self.assertThat(bench.violations, Equals([]))

    def test_replicas_may_outlive_the_table(self):
        bench = Bench(services_outlive_store=True)
        shard = bench.take_over()
        bench.put("service/s", {"handed": [{"job_id": "j@1", "indexes": [0]}]})
        start_one(bench, shard, service="s")
        bench.table.down = True
        bench.drive(shard, seconds=30)
        self.assertThat(bench.workers.runs_of(TASK), Equals([1]))
        self.assertThat(bench.workers.running(), HasLength(1))


class TestWorkers(TestCase):
    def test_unreachable_worker_is_replaced_only_after_its_leases_lapsed(self):
        bench = Bench()
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard)]
        worker.reachable = False
        bench.drive(shard, seconds=5)
        self.assertThat(bench.workers.runs_of(TASK), Equals([1]))
        bench.drive(shard, seconds=5)
        self.assertThat(bench.workers.runs_of(TASK), Equals([1, 2]))
        worker.reachable = True
        bench.drive(shard, seconds=5)
        self.assertThat(bench.workers.runs_of(TASK), Equals([1, 2]))
        self.assertThat(bench.violations, Equals([]))

    def test_slow_worker_clock_within_the_bound_does_not_double_a_run(self):
        bench = Bench()
        for worker in bench.workers.by_id.values():
            worker.clock_rate = 0.995
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard)]
        worker.reachable = False
        bench.drive(shard, seconds=12, step_s=0.01)
        self.assertThat(bench.workers.runs_of(TASK), Equals([1, 2]))
        self.assertThat(bench.violations, Equals([]))

    def test_rebooted_worker_ends_its_runs(self):
        bench = Bench()
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard)]
        worker.reboot()
        bench.drive(shard, seconds=3)
        self.assertThat(bench.workers.runs_of(TASK), Equals([1, 2]))
        self.assertThat(bench.violations, Equals([]))

    def test_end_reported_before_a_reboot_still_counts(self):
        bench = Bench()
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard)]
        bench.table.down = True
        worker.end(TASK)
        bench.drive(shard, seconds=0.5)
        worker.reboot()
        bench.drive(shard, seconds=0.5)
        bench.table.down = False
        bench.drive(shard, seconds=3)
        self.assertThat(shard.ledger.find_group("j@1").finished, Equals(1))
        self.assertThat(bench.workers.runs_of(TASK), Equals([1]))

    def test_late_finish_ends_a_task_that_was_not_started_again(self):
        bench = Bench((make_vm(1),))
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard)]
        worker.reachable = False
        worker.end(TASK)
        bench.drive(shard, seconds=10)
        self.assertThat(shard.ledger.find_group("j@1").requeued_by_index[0].next_run, Equals(2))
        worker.reachable = True
        bench.drive(shard, seconds=5)
        group = bench.take_over("e2").ledger.find_group("j@1")
        self.assertThat((group.finished, group.is_idle), Equals((1, True)))
        self.assertThat(bench.workers.runs_of(TASK), Equals([1]))
        ends = [event.details["how"] for event in bench.events() if event.kind == "run_ended"]
        self.assertThat(ends, Equals(["lapsed", "finished_late"]))

    def test_late_finish_counts_beside_a_cancellation_in_the_same_batch(self):
        bench = Bench((make_vm(1),))
        shard = bench.take_over()
        bench.submit(make_work(), count=2)
        bench.drive(shard, seconds=2)
        worker = bench.workers.by_id["w1"]
        worker.reachable = False
        worker.end(TASK)
        bench.drive(shard, seconds=10)
        worker.reachable = True
        bench.put(CANCELLED_PREFIX + "j@1", {})
        bench.drive(shard, seconds=5)
        group = shard.ledger.find_group("j@1")
        self.assertThat((group.finished, group.cancelled, shard.is_stopped), Equals((1, 1, False)))

    def test_late_finish_is_dropped_once_the_next_run_was_started(self):
        bench = Bench()
        shard = bench.take_over()
        worker = bench.workers.by_id[start_one(bench, shard)]
        worker.reachable = False
        worker.end(TASK)
        bench.drive(shard, seconds=10)
        worker.reachable = True
        bench.drive(shard, seconds=5)
        self.assertThat(shard.ledger.find_group("j@1").finished, Equals(0))
        bench.workers.by_id[bench.worker_of(TASK)].end(TASK)
        bench.drive(shard, seconds=3)
        self.assertThat(shard.ledger.find_group("j@1").finished, Equals(1))
        self.assertThat(bench.workers.runs_of(TASK), Equals([1, 2]))

    def test_lost_answer_of_a_start_is_repeated_harmlessly(self):
        bench = Bench()
        shard = bench.take_over()
        bench.drive(shard, seconds=1)
        for worker in bench.workers.by_id.values():
            worker.responses_to_drop = 3
        bench.submit(make_work(), count=2)
        bench.drive(shard, seconds=4)
        self.assertThat(bench.workers.running(), HasLength(2))
        self.assertThat([len(bench.workers.runs_of(t)) for t in ("j@1:0", "j@1:1")], Equals([1, 1]))

    def test_worker_that_fails_everything_is_quarantined_and_jobs_continue(self):
        bench = Bench()
        shard = bench.take_over()
        failing = bench.workers.by_id["w1"]
        failing.fails_everything = True
        for number in range(4):
            bench.submit(make_work(f"job{number}@1", retries=1), count=2)
        bench.drive(shard, seconds=15)
        starts = [entry for entry in bench.workers.history if entry[1:3] == ("start", "w1")]
        self.assertThat(bench.workers.running(), HasLength(8))
        self.assertThat(shard.policy.quarantine.is_quarantined("w1", bench.clock()), Equals(True))
        bench.drive(shard, seconds=10)
        later = [entry for entry in bench.workers.history if entry[1:3] == ("start", "w1")]
        self.assertThat(later, Equals(starts))

"""Unit tests of placement, interference, relief, quarantine, quotas and worker state."""

from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import LessThan

from laburnumswitch.declaration import Team
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.shard_hint import TeamUsage
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.placement import CandidateIndex
from laburnumswitch.process.placing.placement import CandidateWorker
from laburnumswitch.process.placing.placement import choose_worker
from laburnumswitch.process.placing.quarantine import Quarantine
from laburnumswitch.process.placing.quota import QuotaUsage
from laburnumswitch.process.placing.relief import ColocatedRun
from laburnumswitch.process.placing.relief import Relief
from laburnumswitch.process.placing.relief import THROTTLE_PERCENT
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.worker_api import RunEvent
from laburnumswitch.process.workers.worker_api import Usage
from laburnumswitch.process.workers.worker_api import WorkerReply
from laburnumswitch.process.workers.worker_state import UnconfirmedStart
from laburnumswitch.size import Size
from tests.fakes import make_vm
from tests.process.sharding.bench import Bench
from tests.process.sharding.bench import make_work

CAPACITY = Size(8_000, 16_000)


def make_index(count, free=CAPACITY, **changes):
    index = CandidateIndex()
    for number in range(count):
        zone, rack = "ab"[number % 2], f"r{number % 4}"
        index.put(CandidateWorker(number, f"w{number}", zone, rack, CAPACITY, free, **changes))
    return index


class TestPlacement(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.tuples(st.integers(1, 9), st.integers(1, 9)), max_size=300), st.integers())
    def test_worker_is_chosen_exactly_if_one_has_capacity(self, sizes, seed):
        index = make_index(40)
        random = Random(seed)
        for cpu, memory in sizes:
            work = make_work(size=Size(cpu * 1_000, memory * 1_800))
            candidates = index.candidate_by_number.values()
            fits = any(work.size.fits(candidate.free) for candidate in candidates)
            chosen = choose_worker(index, work, Interference(), random)
            self.assertThat(chosen is not None, Equals(fits))
            if chosen is not None:
                index.assign(chosen.number, work)
                self.assertThat(min(chosen.free) >= 0, Is(True))

    def test_replicas_spread_over_zones_and_racks(self):
        index = make_index(8)
        locations = []
        for _ in range(4):
            work = make_work(service="s")
            candidate = choose_worker(index, work, Interference(), Random(1))
            index.assign(candidate.number, work)
            locations.append((candidate.availability_zone, candidate.rack))
        self.assertThat(len(set(locations)), Equals(4))
        self.assertThat([zone for zone, _ in locations].count("a"), Equals(2))

    def test_batch_avoids_a_service_that_it_slows(self):
        interference = Interference()
        for _ in range(30):
            interference.observe("s", 2.0, {"noisy": 0.3})
            interference.observe("s", 1.0, {"quiet": 0.3})
        index = CandidateIndex()
        index.put(
            CandidateWorker(0, "w0", "a", "r", CAPACITY, Size(4_000, 8_000), {"s": 4_000}, {"s": 1})
        )
        index.put(CandidateWorker(1, "w1", "a", "r", CAPACITY, CAPACITY))
        for name, expected in (("noisy", 1), ("quiet", 0)):
            candidate = choose_worker(index, make_work(name + "@1"), interference, Random(1))
            self.assertThat(candidate.number, Equals(expected))

    def test_overused_worker_gets_no_more_tasks(self):
        bench = Bench((make_vm(1),))
        shard = bench.take_over()
        bench.submit(make_work())
        bench.drive(shard, seconds=2)
        bench.workers.by_id["w1"].usage = (Usage("j@1:0", 9_000, 100),)
        bench.drive(shard, seconds=1)
        bench.submit(make_work("k@1"))
        bench.drive(shard, seconds=3)
        self.assertThat(bench.workers.runs_of("k@1:0"), Equals([]))

    def test_large_task_is_not_starved_by_small_ones(self):
        bench = Bench((make_vm(1), make_vm(2)))
        shard = bench.take_over()
        bench.submit(make_work("small@1"), count=400)
        bench.drive(shard, seconds=2)
        bench.submit(make_work("big@1", Size(8_000, 8_000), run_time_s=9_999.0))
        random = Random(1)
        for _ in range(80):
            bench.drive(shard, seconds=1)
            running = list(bench.workers.running().items())
            for task_id, (worker_id,) in random.sample(running, min(4, len(running))):
                bench.workers.by_id[worker_id].end(task_id)
        self.assertThat(bench.workers.runs_of("big@1:0"), Equals([1]))


class TestInterference(TestCase):
    def test_unknown_pair_shrinks_to_what_the_aggressor_does_to_others(self):
        interference = Interference()
        before = interference.coefficient("new", "noisy")
        for _ in range(20):
            interference.observe("s", 3.0, {"noisy": 0.5})
        self.assertThat(interference.coefficient("new", "noisy"), GreaterThan(before + 1.0))

    def test_learned_pair_predicts_its_slowdown(self):
        interference = Interference()
        random = Random(3)
        for _ in range(400):
            shares = {"noisy": random.random() / 2, "quiet": random.random() / 2}
            slowdown = 1.0 + 2.0 * shares["noisy"] + random.gauss(0.0, 0.05)
            interference.observe("s", max(1.0, slowdown), shares)
        self.assertThat(abs(interference.coefficient("s", "noisy") - 2.0), LessThan(0.4))
        self.assertThat(interference.coefficient("s", "quiet"), LessThan(0.3))


class TestRelief(TestCase):
    def make_runs(self, slowdown, standing=False):
        return (
            ColocatedRun("s", "s", True, True, False, 0.3, slowdown, 0.0),
            ColocatedRun("b", "b", False, standing, True, 0.3, 1.0, 1.0),
        )

    def drive(self, slowdowns, standing=False):
        relief = Relief(Interference(), 0.0)
        percents, evictions = [], []
        for now_s, slowdown in enumerate(slowdowns):
            orders = relief.relieve("w", self.make_runs(slowdown, standing), float(now_s))
            percents.append(orders.percent_by_key["b"])
            evictions.extend(now_s for _ in orders.evictions)
        return percents, evictions

    def test_throttles_before_it_evicts_and_evicts_within_the_budget(self):
        percents, evictions = self.drive([3.0] * 100)
        self.assertThat(set(percents), Equals({THROTTLE_PERCENT}))
        self.assertThat(evictions[0], GreaterThan(7))
        self.assertThat(len(evictions), LessThan(100 / 8 + 1))

    def test_only_the_worst_run_is_throttled_if_that_is_enough(self):
        interference = Interference()
        for _ in range(50):
            interference.observe("s", 2.0, {"noisy": 0.3})
            interference.observe("s", 1.0, {"quiet": 0.3})
        relief = Relief(interference, 0.0)
        runs = (
            ColocatedRun("s", "s", True, True, False, 0.3, 1.6, 0.0),
            ColocatedRun("q", "quiet", False, False, True, 0.3, 1.0, 1.0),
            ColocatedRun("n", "noisy", False, False, True, 0.3, 1.0, 1.0),
        )
        for now_s in range(3):
            orders = relief.relieve("w", runs, float(now_s))
        self.assertThat(orders.percent_by_key, Equals({"q": 100, "n": THROTTLE_PERCENT}))

    def test_nothing_is_evicted_while_more_can_be_throttled(self):
        relief = Relief(Interference(), 0.0)
        service = ColocatedRun("s", "s", True, True, False, 0.3, 1.34, 0.0)
        batch = [ColocatedRun(n, "b", False, False, True, 0.3, 1.0, float(n)) for n in range(10)]
        throttled = 0
        for now_s in range(60):
            orders = relief.relieve("w", (service, *batch), float(now_s))
            if orders.evictions:
                break
            throttled = list(orders.percent_by_key.values()).count(THROTTLE_PERCENT)
        self.assertThat(throttled, Equals(10))

    def test_one_spike_evicts_nothing_and_the_throttle_is_lifted(self):
        percents, evictions = self.drive([3.0] * 2 + [1.0] * 60)
        self.assertThat(evictions, Equals([]))
        self.assertThat(percents[-1], Equals(100))

    def test_standing_work_is_never_evicted(self):
        self.assertThat(self.drive([5.0] * 300, standing=True)[1], Equals([]))


class TestQuarantine(TestCase):
    def test_job_that_fails_on_healthy_workers_quarantines_none(self):
        quarantine = Quarantine()
        for number in range(8):
            quarantine.record_finish(f"w{number}", "good")
        for round_number in range(3):
            for number in range(8):
                quarantine.record_failure(f"w{number}", "broken", float(round_number))
        quarantined = [n for n in range(8) if quarantine.is_quarantined(f"w{n}", 3.0)]
        self.assertThat(quarantined, Equals([]))

    def test_backoff_doubles_and_a_finished_task_clears_it(self):
        quarantine = Quarantine()
        for number in range(3):
            quarantine.record_failure("w", f"j{number}", 0.0)
        self.assertThat(quarantine.is_quarantined("w", 29.0), Is(True))
        self.assertThat(quarantine.is_quarantined("w", 31.0), Is(False))
        quarantine.record_failure("w", "j1", 31.0)
        self.assertThat(quarantine.is_quarantined("w", 31.0 + 59.0), Is(True))
        quarantine.record_finish("w", "j1")
        self.assertThat(quarantine.is_on_probation("w"), Is(False))


class TestQuota(TestCase):
    def test_usage_in_other_shards_counts(self):
        hint = ShardHint(1, 1, 1, used_by_team=(TeamUsage("t", Size(3_000, 0)),))
        quota = QuotaUsage((Team("t", Size(4_000, 9_000)),), {}, (hint,), 2)
        self.assertThat(quota.allows("t", Size(2_000, 0)), Is(False))
        self.assertThat(quota.allows("t", Size(1_000, 0)), Is(True))
        quota.add_planned("t", Size(1_000, 0))
        self.assertThat(quota.allows("t", Size(1_000, 0)), Is(False))


class TestWorkerState(TestCase):
    def setUp(self):
        super().setUp()
        self.bench = Bench((make_vm(1),))
        self.shard = self.bench.take_over()
        self.bench.submit(make_work())
        self.bench.drive(self.shard, seconds=2)
        self.state = self.shard.workers.state_by_worker_id["w1"]

    def test_run_that_an_uncommitted_batch_ends_is_not_started(self):
        key = LedgerTaskKey(0, 0)
        self.state.queue_start(key, 1)
        ledger, now_s = self.shard.ledger, self.bench.clock()
        orders = self.state.make_orders(ledger, 9e9, 9e9, {key}, now_s)
        self.assertThat(orders.starts, Equals(()))
        orders = self.state.make_orders(ledger, 9e9, 9e9, set(), now_s)
        self.assertThat([start.run for start in orders.starts], Equals([1]))

    def test_missing_run_is_lost_only_after_its_lease_has_lapsed(self):
        key, ledger = LedgerTaskKey(0, 0), self.shard.ledger
        self.state.unconfirmed_start_by_key[key] = UnconfirmedStart(
            1, lease_until=100.0, may_be_in_flight=True
        )
        for clock, expected in ((99.0, set()), (101.0, {key})):
            report = WorkerReply(self.state.boot, clock, 1, runs=())
            self.state.apply_report(ledger, report, self.bench.clock())
            self.assertThat(self.state.lost_tasks, Equals(expected))

    def test_run_missing_from_a_report_with_events_may_have_ended_unseen(self):
        ledger, now_s = self.shard.ledger, self.bench.clock()
        other = RunEvent(99, "started", "other@1:0", 1)
        report = WorkerReply(self.state.boot, 9.0, 1, (other,), runs=())
        self.state.apply_report(ledger, report, now_s)
        self.assertThat(
            (self.state.lost_tasks, self.state.needs_full_report), Equals((set(), True))
        )
        self.state.apply_report(ledger, report._replace(events=()), now_s)
        self.assertThat(self.state.lost_tasks, Equals({LedgerTaskKey(0, 0)}))

    def test_report_to_a_newer_owner_is_ignored(self):
        ledger, now_s = self.shard.ledger, self.bench.clock()
        seen_s = self.state.reported_s
        self.state.apply_report(ledger, WorkerReply(self.state.boot, 9.0, 2, runs=()), now_s + 1)
        self.assertThat((self.state.reported_s, self.state.lost_tasks), Equals((seen_s, set())))

    def test_new_owner_withdraws_no_run_that_may_have_been_sent(self):
        self.bench.put_zone("a", "out")
        self.bench.workers.by_id["w1"].reachable = False
        second = self.bench.take_over("e2")
        self.bench.drive(second, seconds=3)
        self.assertThat(second.ledger.find_group("j@1").running.keys(), Equals({0}))

"""Metrics of the entry daemon, as rendered in Prometheus' text format."""

from gevent import sleep as yield_to_others
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import Response
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.process.observing.metric_sources import add_entry_metrics
from laburnumswitch.process.observing.metric_sources import add_request_metrics
from laburnumswitch.process.observing.metric_sources import add_table_metrics
from laburnumswitch.process.observing.metric_sources import EntryMetricReaders
from laburnumswitch.process.observing.metric_sources import TaskStats
from laburnumswitch.process.observing.metrics import Metrics
from laburnumswitch.process.observing.request_counts import RequestCounts
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.peers.membership import Membership
from laburnumswitch.process.peers.peer_sync import PeerContext
from laburnumswitch.process.peers.peer_sync import PeerSync
from laburnumswitch.process.peers.upstream_directory import UpstreamDirectory
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.rows.instrumented_table import InstrumentedTable
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.size import Size
from standin.table import MemoryTable
from tests.fakes import FakeClock
from tests.process.sharding.bench import Bench
from tests.process.sharding.bench import make_work


class TestMetrics(TestCase):
    def setUp(self):
        super().setUp()
        self.metrics = Metrics()
        self.clock = FakeClock()

    def page(self):
        return self.metrics.render("")[0].decode().splitlines()

    def test_table_calls_are_counted_by_outcome_and_timed(self):
        inner = MemoryTable()
        table = InstrumentedTable(inner, add_table_metrics(self.metrics), self.clock)
        table.commit(Transaction((), (Put("a", 1),)))
        table.commit(Transaction((Condition("a", 99),)))
        inner.lose_answers = 1
        table.commit(Transaction())
        inner.down = True
        inner.read = lambda keys: self.clock.sleep(0.3) or MemoryTable().read(keys)
        self.assertThat(table.read(("a",))["a"].version, Equals(0))
        table.scan("a")
        page = self.page()
        for call, outcome in (
            ("commit", "Succeeded"),
            ("commit", "Conflict"),
            ("commit", "OutcomeUnknown"),
            ("read", "Succeeded"),
            ("scan", "Unavailable"),
        ):
            line = f'laburnumswitch_table_calls_total{{call="{call}",outcome="{outcome}"}} 1'
            self.assertThat(page, Contains(line))
        bucket = 'laburnumswitch_table_call_seconds_bucket{call="read",le="%s"} %d.0'
        self.assertThat(page, Contains(bucket % ("0.2", 0)))
        self.assertThat(page, Contains(bucket % ("0.5", 1)))

    def test_events_are_counted_after_the_timeline_drops_them(self):
        timeline = Timeline("e1", "a", self.clock, 1, self.metrics.count_event)
        readers = EntryMetricReaders(
            lambda: True,
            lambda: 7,
            lambda: 1,
            lambda: 3,
            lambda: timeline.lost,
            lambda: 0,
            lambda: 4,
            lambda: TaskStats(5, 6, 1.5),
        )
        add_entry_metrics(self.metrics, readers)
        timeline.record("shard_taken_over", "0", epoch=1)
        timeline.record("run_ended", "x@1:0", how="evicted")
        timeline.record("run_ended", "x@1:1", how="finished")
        expected = (
            'laburnumswitch_events_total{kind="run_ended"} 2',
            'laburnumswitch_runs_ended_total{how="finished"} 1',
            "laburnumswitch_evictions_total 1",
            "laburnumswitch_shard_takeovers_total 1",
            "laburnumswitch_events_lost_total 2",
            "laburnumswitch_heartbeats_missed_total 4",
            "laburnumswitch_oldest_pending_urgent_seconds 1.5",
        )
        for line in expected:
            self.assertThat(self.page(), Contains(line))

    def test_unanswered_heartbeats_are_counted(self):
        team_usage_not_found = Response(404, (), b"")
        refused = [ConnectFailed("a", "refused"), Response(401, (), b"")]
        answers = [*refused, self.heartbeat("e2"), team_usage_not_found]
        peer = Client("127.0.0.1:9")
        peer.call = lambda *_, **__: answers.pop(0)
        vm = Vm("e2", "entry", "127.0.0.1:9", "a", "live")
        context = PeerContext(
            "e1",
            Membership("e1", self.clock),
            UpstreamDirectory(),
            Timeline("e1", "a", self.clock),
            lambda: (vm,),
            lambda: Heartbeat("e1", "boot", "a", 1),
            lambda address: peer,
            self.clock,
            lambda delay_s: yield_to_others(0),
            lambda: not answers,
        )
        peers = PeerSync(context)
        peers.run()
        self.assertThat((answers, peers.heartbeats_missed), Equals(([], 2)))

    def heartbeat(self, vm_id):
        return Response(200, (), encode(Heartbeat(vm_id, "boot", "a", 1)))

    def test_request_latency_is_recorded_by_service(self):
        counts = RequestCounts()
        add_request_metrics(self.metrics, counts, {}, lambda: 2)
        counts.observe_seconds("orders", 0.03)
        counts.observe_seconds("orders", 3.0)
        page = self.page()
        bucket = 'laburnumswitch_request_seconds_bucket{le="%s",service="orders"} %d.0'
        for bound, number in (("0.02", 0), ("0.05", 1), ("5.0", 2)):
            self.assertThat(page, Contains(bucket % (bound, number)))
        self.assertThat(page, Contains("laburnumswitch_retries_refused_total 2"))


class TestShards(TestCase):
    def test_commit_outcomes_and_urgent_wait_are_reported(self):
        outcomes = []
        bench = Bench(note_commit=lambda outcome, taken_s: outcomes.append(outcome))
        shard = bench.take_over()
        bench.submit(make_work("big", Size(10**9, 1_000), urgent=True))
        bench.drive(shard, seconds=5.0)
        self.assertThat(shard.policy.longest_urgent_wait_s() >= 3.0, Equals(True))
        bench.table.down = True
        bench.drive(shard, seconds=2.0)
        self.assertThat({"Committed", "Unavailable"}, Equals(set(outcomes)))

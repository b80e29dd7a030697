"""Choice of upstreams by zone, load and reports, and limits on ejecting them."""

from collections import Counter
from random import Random

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.workers.upstream_reports import ReportedState
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from laburnumswitch.request.routing import power_of_two_choices
from laburnumswitch.upstream import Upstream
from tests.request.fakes import ORDERS


def make_upstream(name, zone="a"):
    return Upstream(name, "orders", f"{name}:1", zone, f"worker-{name}", 8)


class TestRouting(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 1_000.0
        self.zones_out_of_service = set()
        self.timeline = Timeline("entry", "a", lambda: 0.0)
        self.states = UpstreamStateRegistry(lambda: self.now_s, self.timeline)
        self.choose = power_of_two_choices(
            self.states,
            "a",
            lambda zone: zone in self.zones_out_of_service,
            lambda: self.now_s,
            Random(1),
        )

    def make_upstreams(self, *zones):
        upstreams = tuple(make_upstream(str(number), zone) for number, zone in enumerate(zones))
        for upstream in upstreams:
            self.states.of(upstream)
        self.now_s += 60.0
        return upstreams

    def count_choices(self, upstreams, times=400, tried=frozenset()):
        chosen = Counter()
        for _ in range(times):
            upstream = self.choose(ORDERS, upstreams, tried)
            chosen[None if upstream is None else upstream.upstream_id] += 1
        return chosen

    def record_failures(self, upstream, times, peers):
        for _ in range(times):
            self.now_s += 0.1
            self.states.of(upstream).record_failure(self.now_s)
            self.states.eject_if_failing(upstream, peers)

    def test_own_zone_is_preferred_until_it_is_loaded(self):
        upstreams = self.make_upstreams("a", "a", "b", "b")
        self.assertThat(set(self.count_choices(upstreams)), Equals({"0", "1"}))
        for upstream in upstreams[:2]:
            self.states.of(upstream).outstanding = 7
        chosen = self.count_choices(upstreams)
        self.assertThat(chosen["2"] + chosen["3"], GreaterThan(chosen["0"] + chosen["1"]))

    def test_slow_and_busy_upstreams_are_chosen_less_often(self):
        upstreams = self.make_upstreams("a", "a", "a", "a")
        for number, upstream in enumerate(upstreams):
            state = self.states.of(upstream)
            for _ in range(50):
                state.record_success(0.2 if number == 0 else 0.02, self.now_s)
        self.states.of(upstreams[1]).outstanding = 6
        chosen = self.count_choices(upstreams)
        self.assertThat(chosen["0"], LessThan(10))
        self.assertThat(chosen["1"], LessThan(chosen["2"] // 2))

    def test_none_is_chosen_if_no_upstream_has_a_free_slot(self):
        upstreams = self.make_upstreams("a", "b")
        for upstream in upstreams:
            self.states.of(upstream).outstanding = 8
        self.assertThat(self.choose(ORDERS, upstreams, frozenset()), Equals(None))

    def test_tried_upstreams_and_zones_out_of_service_are_excluded(self):
        upstreams = self.make_upstreams("a", "a", "b")
        self.zones_out_of_service.add("b")
        self.assertThat(set(self.count_choices(upstreams, tried=frozenset("0"))), Equals({"1"}))

    def test_new_upstream_is_slow_started(self):
        upstreams = (*self.make_upstreams("a", "a", "a"), make_upstream("new"))
        self.states.of(upstreams[3])
        early = self.count_choices(upstreams)["new"]
        self.now_s += 60.0
        self.assertThat(early * 4, LessThan(self.count_choices(upstreams)["new"]))

    def test_at_most_half_of_the_upstreams_are_ejected(self):
        for size in (1, 2, 3, 5):
            upstreams = tuple(make_upstream(f"{size}-{n}") for n in range(size))
            for upstream in upstreams:
                self.record_failures(upstream, 6, upstreams)
            out = [u for u in upstreams if self.states.of(u).ejected_until_s > self.now_s]
            self.expectThat(len(out), Equals(size // 2), str(size))
            self.expectThat(self.choose(ORDERS, upstreams, frozenset()) is None, Equals(False))

    def test_ejected_upstream_returns_and_is_ejected_again_at_its_first_failure(self):
        upstreams = self.make_upstreams("a", "a", "a")
        self.record_failures(upstreams[0], 5, upstreams)
        self.assertThat(self.count_choices(upstreams)["0"], Equals(0))
        self.now_s += 6.0
        self.assertThat(self.count_choices(upstreams)["0"], GreaterThan(0))
        self.record_failures(upstreams[0], 1, upstreams)
        self.now_s += 6.0
        self.assertThat(self.count_choices(upstreams)["0"], Equals(0))
        self.now_s += 5.0
        self.assertThat(self.count_choices(upstreams)["0"], GreaterThan(0))

    def test_limit_falls_while_an_upstream_is_slow_and_recovers(self):
        state = self.states.of(make_upstream("x"))
        for latency_s, low, high in ((0.02, 7, 8.1), (0.2, 0.9, 3), (0.02, 7, 8.1)):
            for _ in range(60):
                self.now_s += 0.2
                state.record_success(latency_s, self.now_s)
            self.expectThat(
                low < state.concurrency_limit < high,
                Equals(True),
                f"{latency_s} {state.concurrency_limit}",
            )

    def test_not_ready_and_leaving_upstreams_are_not_chosen(self):
        upstreams = self.make_upstreams("a", "a", "a")
        self.states.apply_report(upstreams[0], ReportedState(False, None, None), 2.0)
        self.states.apply_report(upstreams[1], ReportedState(True, True, None), 2.0)
        self.assertThat(set(self.count_choices(upstreams)), Equals({"2"}))

    def test_stale_report_expires_but_leaving_persists(self):
        upstreams = self.make_upstreams("a", "a", "a")
        self.states.apply_report(upstreams[0], ReportedState(False, None, None), 2.0)
        self.states.apply_report(upstreams[1], ReportedState(True, True, None), 2.0)
        self.now_s += 7.0
        self.assertThat(set(self.count_choices(upstreams)), Equals({"0", "2"}))

    def test_reports_are_ignored_if_they_leave_no_upstream(self):
        upstreams = self.make_upstreams("a", "a")
        for upstream in upstreams:
            self.states.apply_report(upstream, ReportedState(False, None, None), 2.0)
        self.assertThat(set(self.count_choices(upstreams)), Equals({"0", "1"}))

    def test_report_of_no_load_does_not_outweigh_measured_slowness(self):
        upstreams = self.make_upstreams("a", "a")
        for upstream, load, latency_s in zip(upstreams, (0.0, 1.0), (0.2, 0.02), strict=True):
            self.states.apply_report(upstream, ReportedState(True, None, load), 1_000.0)
            for _ in range(50):
                self.states.of(upstream).record_success(latency_s, self.now_s)
        self.assertThat(self.count_choices(upstreams)["0"], LessThan(10))

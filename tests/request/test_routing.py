"""Choice of upstreams, and what keeps a service from running out of them."""

from collections import Counter
from random import Random

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.workers.upstream_reports import ReportedState
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from laburnumswitch.request.routing import two_choices
from laburnumswitch.upstream import Upstream
from tests.request.fakes import ORDERS


def upstream_of(name, zone="a"):
    return Upstream(name, "orders", f"{name}:1", zone, f"worker-{name}", 8)


class TestRouting(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 1_000.0
        self.zones_out = set()
        self.timeline = Timeline("entry", "a", lambda: 0.0)
        self.states = UpstreamStateRegistry(lambda: self.now_s, self.timeline)
        self.choose = two_choices(
            self.states,
            "a",
            lambda zone: zone in self.zones_out,
            lambda: self.now_s,
            Random(1),
        )

    def fleet(self, *zones):
        upstreams = tuple(upstream_of(str(number), zone) for number, zone in enumerate(zones))
        for upstream in upstreams:
            self.states.of(upstream)
        self.now_s += 60.0
        return upstreams

    def count(self, upstreams, times=400, tried=frozenset()):
        chosen = Counter()
        for _ in range(times):
            upstream = self.choose(ORDERS, upstreams, tried)
            chosen[None if upstream is None else upstream.upstream_id] += 1
        return chosen

    def fail(self, upstream, times, peers):
        for _ in range(times):
            self.now_s += 0.1
            self.states.of(upstream).record_failure(self.now_s)
            self.states.eject_if_failing(upstream, peers)

    def test_own_zone_is_preferred_until_it_is_loaded(self):
        upstreams = self.fleet("a", "a", "b", "b")
        self.assertThat(set(self.count(upstreams)), Equals({"0", "1"}))
        for upstream in upstreams[:2]:
            self.states.of(upstream).outstanding = 7
        chosen = self.count(upstreams)
        self.assertThat(chosen["2"] + chosen["3"], GreaterThan(chosen["0"] + chosen["1"]))

    def test_slow_and_busy_upstreams_get_less(self):
        upstreams = self.fleet("a", "a", "a", "a")
        for number, upstream in enumerate(upstreams):
            state = self.states.of(upstream)
            for _ in range(50):
                state.record_success(0.2 if number == 0 else 0.02, self.now_s)
        self.states.of(upstreams[1]).outstanding = 6
        chosen = self.count(upstreams)
        self.assertThat(chosen["0"], LessThan(10))
        self.assertThat(chosen["1"], LessThan(chosen["2"] // 2))

    def test_nothing_is_chosen_where_no_upstream_has_room(self):
        upstreams = self.fleet("a", "b")
        for upstream in upstreams:
            self.states.of(upstream).outstanding = 8
        self.assertThat(self.choose(ORDERS, upstreams, frozenset()), Equals(None))

    def test_tried_and_zones_out_are_left_out(self):
        upstreams = self.fleet("a", "a", "b")
        self.zones_out.add("b")
        self.assertThat(set(self.count(upstreams, tried=frozenset("0"))), Equals({"1"}))

    def test_new_upstream_starts_slowly_among_old_ones(self):
        upstreams = (*self.fleet("a", "a", "a"), upstream_of("new"))
        self.states.of(upstreams[3])
        early = self.count(upstreams)["new"]
        self.now_s += 60.0
        self.assertThat(early * 4, LessThan(self.count(upstreams)["new"]))

    def test_ejection_never_takes_more_than_half(self):
        for size in (1, 2, 3, 5):
            upstreams = tuple(upstream_of(f"{size}-{n}") for n in range(size))
            for upstream in upstreams:
                self.fail(upstream, 6, upstreams)
            out = [u for u in upstreams if self.states.of(u).ejected_until_s > self.now_s]
            self.expectThat(len(out), Equals(size // 2), str(size))
            self.expectThat(self.choose(ORDERS, upstreams, frozenset()) is None, Equals(False))

    def test_ejected_upstream_returns_and_goes_again_at_its_first_failure(self):
        upstreams = self.fleet("a", "a", "a")
        self.fail(upstreams[0], 5, upstreams)
        self.assertThat(self.count(upstreams)["0"], Equals(0))
        self.now_s += 6.0
        self.assertThat(self.count(upstreams)["0"], GreaterThan(0))
        self.fail(upstreams[0], 1, upstreams)
        self.now_s += 6.0
        self.assertThat(self.count(upstreams)["0"], Equals(0))
        self.now_s += 5.0
        self.assertThat(self.count(upstreams)["0"], GreaterThan(0))

    def test_limit_falls_while_an_upstream_is_slow_and_recovers(self):
        state = self.states.of(upstream_of("x"))
        for latency_s, low, high in ((0.02, 7, 8.1), (0.2, 0.9, 3), (0.02, 7, 8.1)):
            for _ in range(60):
                self.now_s += 0.2
                state.record_success(latency_s, self.now_s)
            self.expectThat(
                low < state.concurrency_limit < high,
                Equals(True),
                f"{latency_s} {state.concurrency_limit}",
            )

    def test_not_ready_and_leaving_upstreams_get_nothing(self):
        upstreams = self.fleet("a", "a", "a")
        self.states.apply_report(upstreams[0], ReportedState(False, None, None), 2.0)
        self.states.apply_report(upstreams[1], ReportedState(True, True, None), 2.0)
        self.assertThat(set(self.count(upstreams)), Equals({"2"}))

    def test_stale_report_expires_and_leaving_outlasts_it(self):
        upstreams = self.fleet("a", "a", "a")
        self.states.apply_report(upstreams[0], ReportedState(False, None, None), 2.0)
        self.states.apply_report(upstreams[1], ReportedState(True, True, None), 2.0)
        self.now_s += 7.0
        self.assertThat(set(self.count(upstreams)), Equals({"0", "2"}))

    def test_reports_that_leave_no_upstream_are_not_believed(self):
        upstreams = self.fleet("a", "a")
        for upstream in upstreams:
            self.states.apply_report(upstream, ReportedState(False, None, None), 2.0)
        self.assertThat(set(self.count(upstreams)), Equals({"0", "1"}))

    def test_report_of_no_load_does_not_outweigh_measured_slowness(self):
        upstreams = self.fleet("a", "a")
        for upstream, load, latency_s in zip(upstreams, (0.0, 1.0), (0.2, 0.02), strict=True):
            self.states.apply_report(upstream, ReportedState(True, None, load), 1_000.0)
            for _ in range(50):
                self.states.of(upstream).record_success(latency_s, self.now_s)
        self.assertThat(self.count(upstreams)["0"], LessThan(10))

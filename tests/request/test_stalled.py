"""Upstreams that accept connections but never answer, like a paused process."""

from gevent import joinall
from gevent import sleep
from gevent import spawn
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength

from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from tests.request.fakes import answering
from tests.request.fakes import call
from tests.request.fakes import context_of
from tests.request.fakes import event_kinds
from tests.request.fakes import FakeUpstream
from tests.request.fakes import get
from tests.request.fakes import OK_ANSWER
from tests.request.fakes import post
from tests.request.fakes import request
from tests.request.fakes import served
from tests.request.test_routing import make_upstream

LIMIT_S = 0.25


def silent(_sock, _request, _number):
    return


class TestStalled(TestCase):
    def upstream(self, script=None):
        upstream = FakeUpstream(script or answering())
        self.addCleanup(upstream.close)
        return upstream

    def make_states(self, count):
        self.now_s = 1_000.0
        states = UpstreamStateRegistry(lambda: self.now_s, Timeline("entry", "a", lambda: 0.0))
        return states, tuple(make_upstream(str(number)) for number in range(count))

    def leave_unanswered(self, states, upstreams, answering_later):
        """Leave one request per upstream unanswered; ``answering_later`` answer a later one."""
        for upstream in upstreams:
            states.of(upstream).outstanding = 1
            states.of(upstream).record_sent(self.now_s)
        self.now_s += 0.3
        for upstream in answering_later:
            states.of(upstream).record_first_byte(self.now_s - 0.1, self.now_s)

    def test_idempotent_request_fails_over_and_later_ones_avoid_the_silent_upstream(self):
        paused = self.upstream(silent)
        others = [self.upstream() for _ in range(3)]
        context = context_of(*(each.as_upstream() for each in (paused, *others)))
        choose = context.choose
        first = [paused.as_upstream()]
        context = context._replace(choose=lambda *terms: first.pop() if first else choose(*terms))
        state = context.upstream_states.of(paused.as_upstream())
        with served(context) as port:
            waiting = spawn(call, port, request("PUT", "/x", b"1"))
            while not paused.requests:
                sleep(0.001)
            while not state.stalled:
                self.assertThat(call(port, get()).status, Equals(200))
            self.assertThat(waiting.get().status, Equals(200))
            requests_before = len(paused.requests)
            for _ in range(20):
                self.assertThat(call(port, post()).status, Equals(200))
        self.assertThat(paused.requests, HasLength(requests_before))
        self.assertThat(event_kinds(context), Contains("upstream_stalled"))

    def test_non_idempotent_request_is_not_retried_when_its_upstream_is_silent(self):
        paused = self.upstream(silent)
        other = self.upstream()
        context = context_of(paused.as_upstream(), other.as_upstream())
        first = [paused.as_upstream()]
        context = context._replace(
            choose=lambda *_terms: first.pop() if first else other.as_upstream()
        )
        with served(context) as port:
            waiting = spawn(call, port, post(b"rice", "Request-Timeout: 0.8"))
            while not paused.requests:
                sleep(0.001)
            while not waiting.ready():
                call(port, get())
            reply = waiting.get()
        self.assertThat((reply.status, reply.outcome), Equals((504, "unknown")))
        self.assertThat(context.upstream_states.of(paused.as_upstream()).stalled, Equals(True))
        self.assertThat([raw for raw in other.requests if b"rice" in raw], HasLength(0))
        self.assertThat(paused.requests, HasLength(1))

    def test_waiting_requests_fail_over_in_the_order_of_their_deadlines(self):
        paused = self.upstream(silent)
        other = self.upstream()
        context = context_of(paused.as_upstream(), other.as_upstream())
        context = context._replace(
            choose=lambda _s, ups, tried: ups[1 if ups[0].upstream_id in tried else 0]
        )
        while context.retry_budget.spend():
            continue
        context.upstream_states.of(other.as_upstream()).record_first_byte(float("inf"), 0.0)
        with served(context) as port:
            greenlets = [
                spawn(call, port, request("PUT", f"/{limit}", b"", f"Request-Timeout: {limit}"))
                for limit in ("1.9", "1.5", "1.7")
            ]
            # A non-idempotent request can't fail over, and must not block the others.
            non_idempotent = spawn(call, port, post(b"", "Request-Timeout: 1.4"))
            while len(context.service_state(_service(context)).failover_deadlines_s) < 3:
                sleep(0.01)
            while len(other.requests) < 3:
                context.retry_budget.earn()
                sleep(0.01)
            joinall([non_idempotent, *greenlets])
        targets = [raw.split()[1] for raw in other.requests]
        self.assertThat(targets, Equals([b"/1.5", b"/1.7", b"/1.9"]))
        self.assertThat(non_idempotent.get().status, Equals(504))
        self.assertThat(context.counts.sends, Equals(7))

    def test_no_upstream_is_stalled_if_the_whole_service_is_slow(self):
        def slow(sock, _request, _number):
            sleep(0.5)
            sock.sendall(OK_ANSWER)

        fleet = [self.upstream(slow) for _ in range(4)]
        context = context_of(*(each.as_upstream() for each in fleet))
        with served(context) as port:
            for _ in range(4):
                greenlets = [spawn(call, port, request("PUT", "/x", b"1")) for _ in range(8)]
                replies = [greenlet.get() for greenlet in greenlets]
                self.assertThat({reply.status for reply in replies}, Equals({200}))
        self.assertThat("upstream_stalled" in event_kinds(context), Equals(False))
        self.assertThat(context.counts.sends <= 32 * 1.1 + 5, Equals(True))

    def test_silent_upstream_stalls_only_if_a_peer_answered_a_later_request(self):
        states, upstreams = self.make_states(4)
        self.leave_unanswered(states, upstreams, ())
        self.assertThat(
            states.mark_stalled_if_unanswered(upstreams[0], upstreams, LIMIT_S), Equals(False)
        )
        self.leave_unanswered(states, upstreams, upstreams[3:])
        self.assertThat(
            states.mark_stalled_if_unanswered(upstreams[0], upstreams, LIMIT_S), Equals(True)
        )

    def test_at_most_half_of_the_upstreams_are_stalled(self):
        for size in (1, 2, 3, 8):
            states, upstreams = self.make_states(size)
            self.leave_unanswered(states, upstreams, ())
            states.of(upstreams[-1]).last_answered_sent_s = self.now_s
            stalled = [
                states.mark_stalled_if_unanswered(each, upstreams, LIMIT_S) for each in upstreams
            ]
            self.expectThat(sum(stalled), Equals(size // 2), str(size))

    def test_stalled_upstream_gets_one_probe_at_a_time_until_a_first_byte(self):
        states, upstreams = self.make_states(3)
        self.leave_unanswered(states, upstreams, upstreams[1:])
        states.mark_stalled_if_unanswered(upstreams[0], upstreams, LIMIT_S)
        state = states.of(upstreams[0])
        self.assertThat(state.is_withheld(self.now_s), Equals(True))
        self.now_s += 1.1
        self.assertThat(state.is_withheld(self.now_s), Equals(True))
        state.outstanding = 0
        self.assertThat(state.is_withheld(self.now_s), Equals(False))
        state.record_sent(self.now_s)
        self.assertThat(state.is_withheld(self.now_s + 0.9), Equals(True))
        self.assertThat(state.is_withheld(self.now_s + 1.1), Equals(False))
        state.record_first_byte(self.now_s, self.now_s)
        self.assertThat(state.is_withheld(self.now_s), Equals(False))


def _service(context):
    return context.service_by_host("orders.example")

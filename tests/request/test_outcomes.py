"""Upstream failures and the outcome reported to the caller."""

from gevent import sleep
from gevent import socket
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import LessThan

from tests.request.fakes import answering
from tests.request.fakes import call
from tests.request.fakes import context_of
from tests.request.fakes import event_kinds
from tests.request.fakes import FakeUpstream
from tests.request.fakes import get
from tests.request.fakes import LOOPBACK
from tests.request.fakes import OK_ANSWER
from tests.request.fakes import ORDERS
from tests.request.fakes import post
from tests.request.fakes import request
from tests.request.fakes import served

HEAD = b"HTTP/1.1 200 OK\r\n"
LARGE = b"0123456789abcdef" * 65_536


def closing_after(raw):
    """Return a script that sends ``raw`` and closes the connection."""

    def script(sock, _request, _number):
        sock.sendall(raw)
        sock.close()

    return script


def answer_with_number(number):
    return OK_ANSWER.replace(b"ok", b"%02d" % number)


def set_known_latency(context):
    """Record a latency of 1 ms for the service, so that slower reads are hedged."""
    for _ in range(60):
        context.service_state(ORDERS).latency.add(0.001)


def silent(sock, _request, _number):
    """Keep the connection open for longer than any test, without an answer."""
    sleep(30)


def silent_on_reuse(close=False):
    """Return a script that answers only the first request of each connection."""
    seen = set()

    def script(sock, _request, _number):
        if sock in seen:
            if close:
                sock.close()
            return
        seen.add(sock)
        sock.sendall(OK_ANSWER)

    return script


class TestOutcomes(TestCase):
    def upstream(self, script=None):
        upstream = FakeUpstream(script or answering())
        self.addCleanup(upstream.close)
        return upstream

    def test_non_idempotent_request_is_not_retried_after_a_lost_answer(self):
        for raw in (b"", HEAD, HEAD + b"Content-Length: 5\r\n\r\nabc"):
            broken = self.upstream(closing_after(raw))
            other = self.upstream()
            context = context_of(broken.as_upstream(), other.as_upstream())
            context = context._replace(choose=lambda _s, upstreams, _t: upstreams[0])
            with served(context) as port:
                reply = call(port, post())
            self.expectThat((reply.status, reply.outcome), Equals((502, "unknown")), str(raw))
            self.expectThat(broken.requests, HasLength(1))
            self.expectThat(other.requests, HasLength(0))

    def test_non_idempotent_request_that_times_out_is_unknown(self):
        slow = self.upstream(silent)
        with served(context_of(slow.as_upstream())) as port:
            reply = call(port, post(b"rice", "Request-Timeout: 0.05"))
        self.assertThat((reply.status, reply.outcome), Equals((504, "unknown")))

    def test_non_idempotent_request_is_retried_after_a_refused_connection(self):
        gone = self.upstream()
        gone.close()
        other = self.upstream()
        upstreams = (gone.as_upstream(), other.as_upstream())
        context = context_of(*upstreams)
        context = context._replace(choose=lambda _s, ups, tried: ups[len(tried)])
        with served(context) as port:
            self.assertThat(call(port, post()).status, Equals(200))
        self.assertThat(other.requests, HasLength(1))

    def test_request_is_not_run_if_every_upstream_refuses_connections(self):
        gone = self.upstream()
        gone.close()
        with served(context_of(gone.as_upstream())) as port:
            reply = call(port, post())
        self.assertThat((reply.status, reply.outcome), Equals((503, "not-run")))
        self.assertThat(reply.headers, Contains("retry-after"))

    def test_idempotent_request_is_retried_on_another_upstream(self):
        for raw in (b"", HEAD + b"Content-Length: 5\r\n\r\nabc", OK_ANSWER.replace(b"200", b"503")):
            broken = self.upstream(closing_after(raw))
            other = self.upstream()
            context = context_of(broken.as_upstream(), other.as_upstream())
            context = context._replace(choose=lambda _s, ups, tried: ups[len(tried)])
            with served(context) as port:
                reply = call(port, request("PUT", "/x", b"1"))
            self.expectThat((reply.status, reply.outcome), Equals((200, "answered")), str(raw))
            self.expectThat(event_kinds(context), Contains("retry"))
            self.expectThat(context.counts.sends, Equals(2))

    def test_declared_refusal_is_reported_as_not_run(self):
        raw = b"HTTP/1.1 503 Busy\r\nX-Refused: yes\r\nContent-Length: 0\r\n\r\n"
        busy = self.upstream(answering(raw))
        state = ORDERS.state._replace(refused_header="X-Refused")
        for service, outcome in ((ORDERS._replace(state=state), "not-run"), (ORDERS, "answered")):
            with served(context_of(busy.as_upstream(), service=service)) as port:
                reply = call(port, post())
            self.expectThat((reply.status, reply.outcome), Equals((503, outcome)))

    def test_declared_path_is_idempotent_only_where_it_names_the_target(self):
        service = ORDERS._replace(idempotent_paths=("/quote/",))
        for target, sends in (("/quote/1?x", 2), ("/quote", 1), ("/quote/../orders", 1)):
            broken = self.upstream(closing_after(b""))
            upstreams = (broken.as_upstream("1"), broken.as_upstream("2"))
            with served(context_of(*upstreams, service=service)) as port:
                self.expectThat(
                    call(port, request("POST", target, b"1")).outcome, Equals("unknown")
                )
            self.expectThat(broken.requests, HasLength(sends), target)

    def test_late_and_surplus_answers_never_reach_another_caller(self):
        def late(sock, _request, number):
            if number == 1:
                sleep(0.1)
            sock.sendall(answer_with_number(number))

        def surplus(sock, _request, number):
            sock.sendall(answer_with_number(number) + OK_ANSWER)

        for script, first in ((late, (504, "unknown")), (surplus, (200, "answered"))):
            upstream = self.upstream(script)
            with served(context_of(upstream.as_upstream())) as port:
                reply = call(port, post(b"rice", "Request-Timeout: 0.05"))
                self.expectThat((reply.status, reply.outcome), Equals(first))
                self.expectThat(call(port, post()).body, Equals(b"02"))

    def test_retry_budget_bounds_the_sends(self):
        broken = self.upstream(closing_after(b""))
        context = context_of(*(broken.as_upstream(str(n)) for n in range(20)))
        with served(context) as port:
            for _ in range(100):
                call(port, get())
        self.assertThat(context.counts.sends <= 100 * 1.1 + 5, Equals(True))
        self.assertThat(context.counts.sends > 105, Equals(True))

    def test_large_answer_is_streamed_completely(self):
        raw = HEAD + b"Content-Length: %d\r\n\r\n" % len(LARGE) + LARGE
        upstream = self.upstream(answering(raw))
        context = context_of(upstream.as_upstream())
        with served(context) as port:
            self.assertThat(call(port, get()).body == LARGE, Equals(True))
            call(port, get())
        self.assertThat(upstream.connections, Equals(1))
        self.assertThat(context.upstream_states.of(upstream.as_upstream()).outstanding, Equals(0))

    def test_slow_caller_applies_backpressure_to_the_upstream(self):
        sent = [0]

        def script(sock, _request, _number):
            sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % (100 * len(LARGE)))
            for _ in range(100):
                sock.sendall(LARGE)
                sent[0] += 1

        upstream = self.upstream(script)
        with (
            served(context_of(upstream.as_upstream())) as port,
            socket.create_connection((LOOPBACK, port), timeout=10) as sock,
        ):
            sock.sendall(get())
            before = -1
            while sent[0] != before:
                before = sent[0]
                sleep(0.1)
            self.assertThat(sent[0], LessThan(50))

    def test_truncated_large_answer_is_not_ended_cleanly(self):
        raw = HEAD + b"Transfer-Encoding: chunked\r\n\r\n100000\r\n" + LARGE[:500_000]
        upstream = self.upstream(closing_after(raw))
        context = context_of(upstream.as_upstream())
        with served(context) as port:
            self.assertRaises(ValueError, call, port, get())
        self.assertThat(event_kinds(context), Contains("answer_cut"))
        self.assertThat(context.upstream_states.of(upstream.as_upstream()).outstanding, Equals(0))

    def test_silent_pooled_connection_is_not_an_upstream_failure(self):
        for method in ("PUT", "GET"):
            upstream = self.upstream(silent_on_reuse())
            context = context_of(upstream.as_upstream())
            set_known_latency(context)
            with served(context) as port:
                for _ in range(2):
                    reply = call(port, request(method, "/x", b"", "Request-Timeout: 0.5"))
                    self.expectThat(reply.status, Equals(200), method)
            self.expectThat(upstream.connections, Equals(2))
            self.expectThat(event_kinds(context), Contains("connection_retired"))
            state = context.upstream_states.of(upstream.as_upstream())
            self.expectThat(state.consecutive_failures, Equals(0))

    def test_silence_on_a_new_connection_is_an_upstream_failure(self):
        upstream = self.upstream(lambda sock, _r, number: number == 1 and sock.sendall(OK_ANSWER))
        context = context_of(upstream.as_upstream())
        with served(context) as port:
            self.assertThat(call(port, request("PUT", "/x", b"1")).status, Equals(200))
            call(port, request("PUT", "/x", b"1", "Request-Timeout: 1"))
        state = context.upstream_states.of(upstream.as_upstream())
        self.assertThat(state.consecutive_failures, Equals(1))

    def test_connection_closed_on_reuse_is_not_an_upstream_failure(self):
        for raw, status, requests in ((get(), 200, 3), (post(), 502, 2)):
            upstream = self.upstream(silent_on_reuse(close=True))
            context = context_of(upstream.as_upstream())
            with served(context) as port:
                call(port, get())
                self.expectThat(call(port, raw).status, Equals(status))
            self.expectThat(upstream.requests, HasLength(requests))
            state = context.upstream_states.of(upstream.as_upstream())
            self.expectThat(state.consecutive_failures, Equals(0))

    def test_slow_read_is_hedged(self):
        slow = self.upstream(silent)
        fast = self.upstream()
        upstreams = (slow.as_upstream(), fast.as_upstream())
        context = context_of(*upstreams)
        context = context._replace(choose=lambda _s, ups, tried: ups[len(tried)])
        set_known_latency(context)
        with served(context) as port:
            self.assertThat(call(port, get()).body, Equals(b"ok"))
        self.assertThat(context.counts.hedges, Equals(1))
        self.assertThat(context.upstream_states.of(upstreams[0]).outstanding, Equals(0))

    def test_hop_by_hop_headers_are_not_forwarded(self):
        raw = OK_ANSWER.replace(
            b"\r\n\r\n",
            b"\r\nConnection: X-Hop\r\nX-Hop: 1\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
            b"Laburnumswitch-Outcome: not-run\r\n\r\n",
        )
        upstream = self.upstream(answering(raw))
        lines = ("Connection: X-Mine, close", "X-Mine: 1", "TE: trailers", "X-Other: 2")
        with served(context_of(upstream.as_upstream())) as port:
            reply = call(port, get("/", *lines))
        sent = upstream.requests[0].lower()
        for name in (b"x-mine", b"connection", b"te:"):
            self.expectThat(name in sent, Equals(False), str(name))
        self.expectThat(sent, Contains(b"x-other: 2"))
        self.expectThat("x-hop" in reply.headers, Equals(False))
        self.expectThat(reply.outcome, Equals("answered"))

    def test_leaving_upstreams_and_zones_out_of_service_get_no_requests(self):
        out, leaving, used = (self.upstream() for _ in range(3))
        upstreams = (
            out.as_upstream(availability_zone="b"),
            leaving.as_upstream(leaving=True),
            used.as_upstream(availability_zone="c"),
        )
        context = context_of(*upstreams, zone_is_out_of_service=lambda zone: zone == "b")
        with served(context) as port:
            for _ in range(10):
                call(port, get())
        self.assertThat([len(fake.requests) for fake in (out, leaving, used)], Equals([0, 0, 10]))

    def test_unknown_host_and_malformed_headers_are_refused(self):
        upstream = self.upstream()
        cases = (
            (get().replace(b"orders.example", b"other.example"), 404),
            (get("/", "Request-Timeout: soon"), 400),
            (post(b"1", "Idempotency-Key: a", "Idempotency-Key: b"), 400),
        )
        with served(context_of(upstream.as_upstream())) as port:
            for raw, status in cases:
                reply = call(port, raw)
                self.expectThat((reply.status, reply.outcome), Equals((status, "not-run")))
        self.assertThat(upstream.requests, HasLength(0))

"""Polling of the upstreams' state."""

from gevent import sleep
from gevent import spawn
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.declaration import StateReport
from laburnumswitch.process.workers.upstream_reports import ReportedState
from laburnumswitch.request.background import fetch_report
from laburnumswitch.request.background import supervise_polling
from tests.request.fakes import answering
from tests.request.fakes import context_of
from tests.request.fakes import event_kinds
from tests.request.fakes import FakeUpstream
from tests.request.fakes import ORDERS

STATE_REPORT = StateReport("json", "/state", 0.01, "ready", leaving_field="leaving")
SERVICE = ORDERS._replace(state=STATE_REPORT)


def http_response(status, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class TestBackground(TestCase):
    def upstream(self, script):
        upstream = FakeUpstream(script)
        self.addCleanup(upstream.close)
        return upstream

    def test_error_status_means_not_ready_whatever_the_page_says(self):
        cases = (
            (http_response(200, b'{"ready":true}'), ReportedState(True, None, None)),
            (
                http_response(503, b'{"ready":true,"leaving":true}'),
                ReportedState(False, True, None),
            ),
            (http_response(500, b"oops"), ReportedState(False, None, None)),
        )
        for raw, expected in cases:
            fake = self.upstream(answering(raw))
            self.expectThat(fetch_report(Client(fake.address), SERVICE), Equals(expected))

    def test_each_upstream_is_polled_until_it_is_removed(self):
        fake = self.upstream(answering(http_response(200, b'{"ready":true,"leaving":true}')))
        upstreams = [(fake.as_upstream(),)]
        context = context_of(service=SERVICE, upstreams_of=lambda _name: upstreams[0])
        supervisor = spawn(supervise_polling, context, lambda: (SERVICE,), 0.02)
        try:
            state = context.upstream_states.of(fake.as_upstream())
            while not state.leaving:
                sleep(0.01)
            self.assertThat(event_kinds(context), Contains("upstream_leaving"))
            self.assertThat(fake.requests[0], Contains(b"GET /state "))
            upstreams[0] = ()
            while context.upstream_states.by_id:
                sleep(0.01)
            sleep(0.03)
            requests_before = len(fake.requests)
            sleep(0.1)
            self.assertThat(len(fake.requests), Equals(requests_before))
        finally:
            supervisor.kill()

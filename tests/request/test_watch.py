"""Tasks that ask upstreams for their state."""

from gevent import sleep
from gevent import spawn
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.declaration import StateReport
from laburnumswitch.process.workers.upstream_reports import ReportedState
from laburnumswitch.request.watch import ask_state
from laburnumswitch.request.watch import supervise_reports
from tests.request.fakes import answering
from tests.request.fakes import context_of
from tests.request.fakes import FakeUpstream
from tests.request.fakes import kinds_of
from tests.request.fakes import ORDERS

DECLARED = StateReport("json", "/state", 0.01, "ready", leaving_field="leaving")
SERVICE = ORDERS._replace(state=DECLARED)


def page(status, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class TestWatch(TestCase):
    def upstream(self, script):
        upstream = FakeUpstream(script)
        self.addCleanup(upstream.close)
        return upstream

    def test_error_status_means_not_ready_whatever_the_page_says(self):
        cases = (
            (page(200, b'{"ready":true}'), ReportedState(True, None, None)),
            (page(503, b'{"ready":true,"leaving":true}'), ReportedState(False, True, None)),
            (page(500, b"oops"), ReportedState(False, None, None)),
        )
        for raw, expected in cases:
            fake = self.upstream(answering(raw))
            self.expectThat(ask_state(Client(fake.address), SERVICE), Equals(expected))

    def test_one_task_for_each_upstream_follows_reports_and_ends_with_it(self):
        fake = self.upstream(answering(page(200, b'{"ready":true,"leaving":true}')))
        upstreams = [(fake.as_upstream(),)]
        context = context_of(service=SERVICE, upstreams_of=lambda _name: upstreams[0])
        supervisor = spawn(supervise_reports, context, lambda: (SERVICE,), 0.02)
        try:
            state = context.states.of(fake.as_upstream())
            while not state.leaving:
                sleep(0.01)
            self.assertThat(kinds_of(context), Contains("upstream_leaving"))
            self.assertThat(fake.requests[0], Contains(b"GET /state "))
            upstreams[0] = ()
            while context.states.by_id:
                sleep(0.01)
            sleep(0.03)
            asked = len(fake.requests)
            sleep(0.1)
            self.assertThat(len(fake.requests), Equals(asked))
        finally:
            supervisor.kill()

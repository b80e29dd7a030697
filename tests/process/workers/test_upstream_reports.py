"""Parsing of reported upstream state: valid, malformed, out-of-range and contradictory values."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.declaration import StateReport
from laburnumswitch.exceptions import ReportUnreadable
from laburnumswitch.process.workers.upstream_reports import parse_body
from laburnumswitch.process.workers.upstream_reports import parse_headers
from laburnumswitch.process.workers.upstream_reports import ReportedState

JSON = StateReport(
    "json",
    ready_field="status.health",
    ready_values=("UP", "1"),
    leaving_field="status.draining",
    load_field="load_pct",
    load_scale=0.01,
)
METRICS = StateReport(
    "metrics", ready_field="up", leaving_field="draining", load_field="busy_ratio"
)
HEADERS = StateReport("headers", leaving_field="X-Leaving", load_field="X-Load", load_scale=0.01)


class TestUpstreamReports(TestCase):
    def test_json_reports(self):
        cases = (
            (b'{"status":{"health":"up","draining":false},"load_pct":40}', (True, False, 0.4)),
            (b'{"status":{"health":1.0,"draining":"yes"},"load_pct":"40%"}', (True, True, 0.4)),
            (b'{"status":{"health":"DOWN"}}', (False, None, None)),
            (b'{"status":{"health":"UP"},"load_pct":900}', (True, None, 1.0)),
            (b'{"status":{"health":"UP"},"load_pct":-3}', (True, None, None)),
            (b'{"status":{"health":"UP"},"load_pct":"NaN"}', (True, None, None)),
            (b'{"status":{"health":"UP"},"load_pct":{"a":1}}', (True, None, None)),
        )
        for body, expected in cases:
            self.expectThat(parse_body(JSON, body), Equals(ReportedState(*expected)), str(body))

    def test_body_without_the_declared_fields_is_unreadable(self):
        bodies = (b"", b"ok", b"[]", b"{}", b'{"status":"UP"}', b'{"status":{"health":{}}}')
        for body in (*bodies, b"[" * 100_000, b" " * 300_000):
            report = parse_body(JSON, body)
            self.expectThat(report, IsInstance(ReportUnreadable), str(body[:20]))

    def test_metrics_reports(self):
        body = b'# HELP up\nup{a="b} c"} 1.0 1700000\nup 1\ndraining 0\nbusy_ratio{x="1"} 2.5e-1\n'
        self.assertThat(parse_body(METRICS, body), Equals(ReportedState(True, False, 0.25)))

    def test_worst_of_contradictory_values_counts(self):
        body = b"up 1\nup 0\ndraining 0\ndraining 1\nbusy_ratio 0.1\nbusy_ratio 0.9\n"
        self.assertThat(parse_body(METRICS, body), Equals(ReportedState(False, True, 0.9)))

    def test_headers(self):
        headers = (("x-load", "25"), ("X-Leaving", "Draining"), ("x-load", "80"))
        self.assertThat(parse_headers(HEADERS, headers), Equals(ReportedState(True, True, 0.8)))
        self.assertThat(parse_headers(HEADERS, (("A", "b"),)), IsInstance(ReportUnreadable))

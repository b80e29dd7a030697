"""State of each upstream: measurements of this process and the upstream's own reports."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.workers.upstream_reports import ReportedState
from laburnumswitch.upstream import Upstream

# Weights of the newest value in the means of latency and of failures.
LATENCY_WEIGHT = 0.2
ERROR_WEIGHT = 0.1
# Latency assumed before the first response.
INITIAL_LATENCY_S = 0.02
# Fraction by which the latency floor approaches a higher mean with each response.
LATENCY_FLOOR_RISE = 0.002
# An upstream is slow if its mean latency exceeds this multiple of the floor plus the margin.
SLOW_RATIO = 2.0
SLOW_MARGIN_S = 0.005
# Factors by which the concurrency limit is reduced for a slow response and for a failure.
LIMIT_FACTOR_SLOW = 0.9
LIMIT_FACTOR_FAILED = 0.7
MIN_LIMIT = 1.0
MAX_LIMIT = 8.0
# How long a new upstream, or one that returns from ejection, gets fewer requests than others.
SLOW_START_S = 10.0
EJECT_CONSECUTIVE_FAILURES = 5
EJECT_ERROR_RATE = 0.5
# A report is valid for this many report intervals.
REPORT_VALID_INTERVALS = 3.0
# Duration of the first ejection; each further one lasts twice as long, up to the maximum.
EJECT_S = 5.0
MAX_EJECT_S = 60.0
EJECT_MAX_FRACTION = 0.5
# The wait for a first byte is measured anew from a request that is sent this long after the
# previous one while no other is outstanding.
UNANSWERED_RESET_S = 1.0
# Time before the first probe of a stalled upstream; doubled with each probe, up to the maximum.
PROBE_INTERVAL_S = 1.0
MAX_PROBE_INTERVAL_S = 8.0


class TimedReport(NamedTuple):
    """The last report of an upstream, valid until ``valid_until_s``."""

    state: ReportedState
    valid_until_s: float


class SuspectConnection(NamedTuple):
    """A pooled connection that returned no byte; not yet counted against the upstream.

    ``last_used_s`` is when it was last used before. ``is_certain`` is false if the upstream may
    just have been slow.
    """

    last_used_s: float
    is_certain: bool


class UpstreamState:
    """Measurements and the last report of one upstream."""

    def __init__(self, upstream: Upstream, now_s: float) -> None:
        self.upstream = upstream
        self.outstanding = 0
        self.latency_s = INITIAL_LATENCY_S
        self.samples = 0
        self.error_rate = 0.0
        self.consecutive_failures = 0
        self.max_concurrency_limit = max(MIN_LIMIT, min(MAX_LIMIT, float(upstream.slots)))
        self.concurrency_limit = self.max_concurrency_limit
        self.slow_start_since_s = now_s
        self.ejected_until_s = 0.0
        self.ejections = 0
        self.leaving = False
        self._report: TimedReport | None = None
        self.suspect: SuspectConnection | None = None
        self.stalled = False
        self.stalled_at_s = 0.0
        self.unanswered_since_s: float | None = None
        self.last_answered_sent_s = 0.0
        self._probe_due_s = 0.0
        self._probe_interval_s = PROBE_INTERVAL_S
        self._last_sent_s = 0.0
        self._latency_floor_s = 0.0
        self._limit_reduced_s = 0.0

    def record_sent(self, now_s: float) -> None:
        """Record a request that now waits for its first byte."""
        is_new_wait = self.outstanding <= 1 and now_s - self._last_sent_s > UNANSWERED_RESET_S
        if self.unanswered_since_s is None or is_new_wait:
            self.unanswered_since_s = now_s
        self._last_sent_s = now_s
        if self.stalled:
            self._probe_due_s = now_s + self._probe_interval_s
            self._probe_interval_s = min(2 * self._probe_interval_s, MAX_PROBE_INTERVAL_S)

    def record_first_byte(self, sent_s: float, now_s: float) -> None:
        """Record the first byte of a response, which ends a stall."""
        self.last_answered_sent_s = max(self.last_answered_sent_s, sent_s)
        self.unanswered_since_s = now_s if self.outstanding > 1 else None
        self.stalled = False
        self._probe_interval_s = PROBE_INTERVAL_S

    def is_withheld(self, now_s: float) -> bool:
        """Return whether the upstream gets no request, because it is stalled and no probe is due.

        Probes are sent one at a time.
        """
        return self.stalled and (self.outstanding > 0 or now_s < self._probe_due_s)

    def mark_stalled(self, now_s: float) -> None:
        """Mark the upstream as stalled until a probe or another request gets a first byte."""
        if not self.stalled:
            self._probe_due_s = now_s + PROBE_INTERVAL_S
        self.stalled = True
        self.stalled_at_s = now_s

    def record_success(self, latency_s: float, now_s: float) -> None:
        """Record a response whose head arrived after ``latency_s``."""
        self.samples += 1
        self.consecutive_failures = 0
        self.error_rate *= 1.0 - ERROR_WEIGHT
        if self.samples == 1:
            self.latency_s = latency_s
            self._latency_floor_s = latency_s
        self.latency_s += (latency_s - self.latency_s) * LATENCY_WEIGHT
        if self.latency_s < self._latency_floor_s:
            self._latency_floor_s = self.latency_s
        else:
            self._latency_floor_s += (self.latency_s - self._latency_floor_s) * LATENCY_FLOOR_RISE
        self._adapt_limit(now_s)

    def record_abandoned(self, waited_s: float) -> None:
        """Record an exchange abandoned after ``waited_s``, a lower bound of its latency."""
        if waited_s > self.latency_s:
            self.latency_s += (waited_s - self.latency_s) * LATENCY_WEIGHT

    def record_failure(self, now_s: float) -> None:
        """Record a failed exchange, or a response with a status that reports a failure."""
        self.consecutive_failures += 1
        self.error_rate += (1.0 - self.error_rate) * ERROR_WEIGHT
        self.reduce_concurrency_limit(LIMIT_FACTOR_FAILED, now_s)

    def reduce_concurrency_limit(self, factor: float, now_s: float) -> None:
        """Reduce the limit of outstanding requests, at most once per mean latency."""
        if now_s - self._limit_reduced_s < self.latency_s:
            return
        self._limit_reduced_s = now_s
        self.concurrency_limit = max(MIN_LIMIT, self.concurrency_limit * factor)

    def store_report(self, reported: ReportedState, until_s: float) -> None:
        """Store a report; the leaving state stays in force after the report has expired."""
        self._report = TimedReport(reported, until_s)
        if reported.leaving is not None:
            self.leaving = reported.leaving

    def valid_report(self, now_s: float) -> ReportedState | None:
        """Return the last report, or ``None`` if it has expired."""
        report = self._report
        return report.state if report is not None and now_s < report.valid_until_s else None

    def _adapt_limit(self, now_s: float) -> None:
        if self.latency_s > SLOW_RATIO * self._latency_floor_s + SLOW_MARGIN_S:
            self.reduce_concurrency_limit(LIMIT_FACTOR_SLOW, now_s)
        elif self.concurrency_limit < self.max_concurrency_limit:
            self.concurrency_limit = min(
                self.max_concurrency_limit, self.concurrency_limit + 1.0 / self.concurrency_limit
            )


class UpstreamStateRegistry:
    """States of all upstreams by upstream id."""

    def __init__(self, clock: Callable[[], float], timeline: Timeline) -> None:
        self.by_id: dict[str, UpstreamState] = {}
        self._clock = clock
        self._timeline = timeline

    def of(self, upstream: Upstream) -> UpstreamState:
        """Return the state of ``upstream``, created on first use."""
        state = self.by_id.get(upstream.upstream_id)
        if state is None:
            state = UpstreamState(upstream, self._clock())
            self.by_id[upstream.upstream_id] = state
        return state

    def apply_report(self, upstream: Upstream, reported: ReportedState, interval_s: float) -> None:
        """Apply a report of ``upstream``; the next one is due after ``interval_s``."""
        state = self.of(upstream)
        was_leaving = state.leaving
        state.store_report(reported, self._clock() + interval_s * REPORT_VALID_INTERVALS)
        if state.leaving and not was_leaving:
            self._timeline.record(
                "upstream_leaving", upstream.upstream_id, service=upstream.service
            )

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Drop upstreams that no longer exist and have no outstanding requests."""
        kept = set(upstream_ids)
        for upstream_id in list(self.by_id):
            if upstream_id not in kept and self.by_id[upstream_id].outstanding == 0:
                del self.by_id[upstream_id]

    def eject_if_failing(self, upstream: Upstream, service_upstreams: tuple[Upstream, ...]) -> bool:
        """Eject a failing upstream for a while.

        At most ``EJECT_MAX_FRACTION`` of ``service_upstreams`` are ejected or stalled at once, and
        never all of them.
        """
        state = self.of(upstream)
        now_s = self._clock()
        if now_s < state.ejected_until_s or not _is_failing(state):
            return False
        if not self._may_withdraw(upstream, service_upstreams, now_s):
            return False
        duration_s = min(EJECT_S * 2**state.ejections, MAX_EJECT_S)
        state.ejections += 1
        state.ejected_until_s = now_s + duration_s
        state.slow_start_since_s = state.ejected_until_s
        # A single failure after its return ejects it again.
        state.consecutive_failures = EJECT_CONSECUTIVE_FAILURES - 1
        state.error_rate = 0.0
        self._timeline.record(
            "upstream_ejected", upstream.upstream_id, service=upstream.service, seconds=duration_s
        )
        return True

    def mark_stalled_if_unanswered(
        self, upstream: Upstream, service_upstreams: tuple[Upstream, ...], limit_s: float
    ) -> bool:
        """Mark an upstream as stalled if it sent no first byte for ``limit_s`` while others did.

        If another upstream has answered a request that was sent later, only this upstream is
        stalled and not the whole service. ``EJECT_MAX_FRACTION`` applies as for ejection.

        :return: whether the upstream is stalled now.
        """
        state = self.of(upstream)
        now_s = self._clock()
        since_s = state.unanswered_since_s
        if since_s is None or now_s - since_s < limit_s:
            return state.stalled
        if not any(self.of(other).last_answered_sent_s > since_s for other in service_upstreams):
            return state.stalled
        if not state.stalled:
            if not self._may_withdraw(upstream, service_upstreams, now_s):
                return False
            self._timeline.record(
                "upstream_stalled",
                upstream.upstream_id,
                service=upstream.service,
                seconds=now_s - since_s,
            )
        state.mark_stalled(now_s)
        return True

    def stalled_ids(self, upstreams: tuple[Upstream, ...], within_s: float) -> frozenset[str]:
        """Return the ids of upstreams that stalled less than ``within_s`` ago and still are."""
        since_s = self._clock() - within_s
        return frozenset(
            upstream.upstream_id
            for upstream in upstreams
            if self.of(upstream).stalled and self.of(upstream).stalled_at_s > since_s
        )

    def _may_withdraw(
        self, upstream: Upstream, service_upstreams: tuple[Upstream, ...], now_s: float
    ) -> bool:
        withdrawn = sum(
            1
            for other in service_upstreams
            if other != upstream and self._is_withdrawn(other, now_s)
        )
        return withdrawn + 1 <= len(service_upstreams) * EJECT_MAX_FRACTION

    def _is_withdrawn(self, upstream: Upstream, now_s: float) -> bool:
        state = self.of(upstream)
        return state.stalled or state.ejected_until_s > now_s


def _is_failing(state: UpstreamState) -> bool:
    return (
        state.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
        or state.error_rate >= EJECT_ERROR_RATE
    )

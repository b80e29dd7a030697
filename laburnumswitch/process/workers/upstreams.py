"""What this process has measured of each upstream, and what the upstream reports of itself."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.workers.reports import Reported
from laburnumswitch.upstream import Upstream

LATENCY_WEIGHT = 0.2
ERROR_WEIGHT = 0.1
FIRST_LATENCY_S = 0.02
FLOOR_RISE = 0.002
SLOW_RATIO = 2.0
SLOW_MARGIN_S = 0.005
LIMIT_FACTOR_SLOW = 0.9
LIMIT_FACTOR_FAILED = 0.7
MIN_LIMIT = 1.0
MAX_LIMIT = 8.0
SLOW_START_S = 10.0
EJECT_CONSECUTIVE_FAILURES = 5
EJECT_ERROR_RATE = 0.5
STALE_INTERVALS = 3.0
EJECT_S = 5.0
EJECT_LIMIT_S = 60.0
EJECT_MAX_FRACTION = 0.5
STALL_MEMORY_S = 1.0
PROBE_INTERVAL_S = 1.0
PROBE_INTERVAL_LIMIT_S = 8.0


class Report(NamedTuple):
    """The last report of an upstream, which counts until ``until_s`` of the clock."""

    reported: Reported
    until_s: float


class SuspectConnection(NamedTuple):
    """A pooled connection that gave no byte of an answer; the upstream isn't blamed yet.

    ``used_s`` is the instant of its last use before that. It is not ``certain`` where the upstream
    may just have been slow.
    """

    used_s: float
    certain: bool


class UpstreamState:
    """Measurements of one upstream."""

    def __init__(self, upstream: Upstream, now_s: float) -> None:
        self.upstream = upstream
        self.outstanding = 0
        self.latency_s = FIRST_LATENCY_S
        self.samples = 0
        self.error_rate = 0.0
        self.consecutive_failures = 0
        self.max_limit = max(MIN_LIMIT, min(MAX_LIMIT, float(upstream.slots)))
        self.limit = self.max_limit
        self.fresh_since_s = now_s
        self.ejected_until_s = 0.0
        self.ejections = 0
        self.leaving = False
        self._report: Report | None = None
        self.suspect: SuspectConnection | None = None
        self.stalled = False
        self.stalled_at_s = 0.0
        self.silent_since_s: float | None = None
        self.answered_sent_s = 0.0
        self._probe_due_s = 0.0
        self._probe_interval_s = PROBE_INTERVAL_S
        self._last_sent_s = 0.0
        self._floor_s = 0.0
        self._limit_cut_s = 0.0

    def note_sent(self, now_s: float) -> None:
        """Count a request of which the upstream now owes the first byte."""
        forgotten = self.outstanding <= 1 and now_s - self._last_sent_s > STALL_MEMORY_S
        if self.silent_since_s is None or forgotten:
            self.silent_since_s = now_s
        self._last_sent_s = now_s
        if self.stalled:
            self._probe_due_s = now_s + self._probe_interval_s
            self._probe_interval_s = min(2 * self._probe_interval_s, PROBE_INTERVAL_LIMIT_S)

    def note_first_byte(self, sent_s: float, now_s: float) -> None:
        """Count a first byte, which clears the upstream of being stalled."""
        self.answered_sent_s = max(self.answered_sent_s, sent_s)
        self.silent_since_s = now_s if self.outstanding > 1 else None
        self.stalled = False
        self._probe_interval_s = PROBE_INTERVAL_S

    def is_withheld(self, now_s: float) -> bool:
        """Return whether it is stalled and not due for a probe, of which there is one at a time."""
        return self.stalled and (self.outstanding > 0 or now_s < self._probe_due_s)

    def stall(self, now_s: float) -> None:
        """Suspect the upstream until its next first byte, of which probes give it a chance."""
        if not self.stalled:
            self._probe_due_s = now_s + PROBE_INTERVAL_S
        self.stalled = True
        self.stalled_at_s = now_s

    def succeed(self, latency_s: float, now_s: float) -> None:
        """Count an answer whose head came after ``latency_s``."""
        self.samples += 1
        self.consecutive_failures = 0
        self.error_rate *= 1.0 - ERROR_WEIGHT
        if self.samples == 1:
            self.latency_s = latency_s
            self._floor_s = latency_s
        self.latency_s += (latency_s - self.latency_s) * LATENCY_WEIGHT
        if self.latency_s < self._floor_s:
            self._floor_s = self.latency_s
        else:
            self._floor_s += (self.latency_s - self._floor_s) * FLOOR_RISE
        self._adapt_limit(now_s)

    def observe_wait(self, waited_s: float) -> None:
        """Count an abandoned exchange that would have taken longer than ``waited_s``."""
        if waited_s > self.latency_s:
            self.latency_s += (waited_s - self.latency_s) * LATENCY_WEIGHT

    def fail(self, now_s: float) -> None:
        """Count a failed exchange, or an answer that says that the upstream failed."""
        self.consecutive_failures += 1
        self.error_rate += (1.0 - self.error_rate) * ERROR_WEIGHT
        self.cut_limit(LIMIT_FACTOR_FAILED, now_s)

    def cut_limit(self, factor: float, now_s: float) -> None:
        """Lower the limit of outstanding requests, at most once a latency."""
        if now_s - self._limit_cut_s < self.latency_s:
            return
        self._limit_cut_s = now_s
        self.limit = max(MIN_LIMIT, self.limit * factor)

    def take_report(self, reported: Reported, until_s: float) -> None:
        """Take a report of the upstream; that it is leaving outlasts the report."""
        self._report = Report(reported, until_s)
        if reported.leaving is not None:
            self.leaving = reported.leaving

    def reported_at(self, now_s: float) -> Reported | None:
        """Return what the upstream reports, unless that is stale."""
        report = self._report
        return report.reported if report is not None and now_s < report.until_s else None

    def _adapt_limit(self, now_s: float) -> None:
        if self.latency_s > SLOW_RATIO * self._floor_s + SLOW_MARGIN_S:
            self.cut_limit(LIMIT_FACTOR_SLOW, now_s)
        elif self.limit < self.max_limit:
            self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)


class UpstreamStates:
    """The measurements of all upstreams by upstream id."""

    def __init__(self, clock: Callable[[], float], timeline: Timeline) -> None:
        self.by_id: dict[str, UpstreamState] = {}
        self._clock = clock
        self._timeline = timeline

    def of(self, upstream: Upstream) -> UpstreamState:
        """Return the state of ``upstream``, made at its first use."""
        state = self.by_id.get(upstream.upstream_id)
        if state is None:
            state = UpstreamState(upstream, self._clock())
            self.by_id[upstream.upstream_id] = state
        return state

    def take_report(self, upstream: Upstream, reported: Reported, interval_s: float) -> None:
        """Take a report of ``upstream``, which is due again after ``interval_s``."""
        state = self.of(upstream)
        was_leaving = state.leaving
        state.take_report(reported, self._clock() + interval_s * STALE_INTERVALS)
        if state.leaving and not was_leaving:
            self._timeline.record(
                "upstream_leaving", upstream.upstream_id, service=upstream.service
            )

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Forget upstreams that no longer exist and have nothing outstanding."""
        kept = set(upstream_ids)
        for upstream_id in list(self.by_id):
            if upstream_id not in kept and self.by_id[upstream_id].outstanding == 0:
                del self.by_id[upstream_id]

    def eject_if_failing(self, upstream: Upstream, peers: tuple[Upstream, ...]) -> bool:
        """Take a failing upstream out of use for a while.

        At most ``EJECT_MAX_FRACTION`` of ``peers``, all upstreams of the service, are out at once,
        and never all of them.
        """
        state = self.of(upstream)
        now_s = self._clock()
        if now_s < state.ejected_until_s or not _is_failing(state):
            return False
        if not self._may_take_out(upstream, peers, now_s):
            return False
        length_s = min(EJECT_S * 2**state.ejections, EJECT_LIMIT_S)
        state.ejections += 1
        state.ejected_until_s = now_s + length_s
        state.fresh_since_s = state.ejected_until_s
        # One more failure after its return takes it out again.
        state.consecutive_failures = EJECT_CONSECUTIVE_FAILURES - 1
        state.error_rate = 0.0
        self._timeline.record(
            "upstream_ejected", upstream.upstream_id, service=upstream.service, seconds=length_s
        )
        return True

    def stall_if_silent(
        self, upstream: Upstream, peers: tuple[Upstream, ...], limit_s: float
    ) -> bool:
        """Suspect an upstream that has owed first bytes for ``limit_s`` while a peer was faster.

        A peer that has answered a request that was sent later tells a stalled upstream from a
        service that is slow as a whole. The bound is that of ejection.

        :return: whether the upstream is suspected now.
        """
        state = self.of(upstream)
        now_s = self._clock()
        since_s = state.silent_since_s
        if since_s is None or now_s - since_s < limit_s:
            return state.stalled
        if not any(self.of(peer).answered_sent_s > since_s for peer in peers):
            return state.stalled
        if not state.stalled:
            if not self._may_take_out(upstream, peers, now_s):
                return False
            self._timeline.record(
                "upstream_stalled",
                upstream.upstream_id,
                service=upstream.service,
                seconds=now_s - since_s,
            )
        state.stall(now_s)
        return True

    def stalled_ids(self, upstreams: tuple[Upstream, ...], within_s: float) -> frozenset[str]:
        """Return the ids of the upstreams that were found stalled less than ``within_s`` ago."""
        since_s = self._clock() - within_s
        return frozenset(
            upstream.upstream_id
            for upstream in upstreams
            if self.of(upstream).stalled and self.of(upstream).stalled_at_s > since_s
        )

    def _may_take_out(self, upstream: Upstream, peers: tuple[Upstream, ...], now_s: float) -> bool:
        out = sum(1 for peer in peers if peer != upstream and self._is_out(peer, now_s))
        return out + 1 <= len(peers) * EJECT_MAX_FRACTION

    def _is_out(self, upstream: Upstream, now_s: float) -> bool:
        state = self.of(upstream)
        return state.stalled or state.ejected_until_s > now_s


def _is_failing(state: UpstreamState) -> bool:
    return (
        state.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
        or state.error_rate >= EJECT_ERROR_RATE
    )

"""A single attempt to send a request to one upstream."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.connection.exchange import Exchange
from laburnumswitch.connection.exchange import ResponseHead
from laburnumswitch.connection.exchange import UpstreamConnection
from laburnumswitch.connection.upstream_pool import IDLE_TIMEOUT_S
from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import ConnectionLimit
from laburnumswitch.exceptions import FirstByteLate
from laburnumswitch.exceptions import Refused
from laburnumswitch.process.workers.upstream_reports import parse_headers
from laburnumswitch.process.workers.upstream_reports import ReportedState
from laburnumswitch.process.workers.upstream_state import LIMIT_FACTOR_FAILED
from laburnumswitch.process.workers.upstream_state import SuspectConnection
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.headers import header_values
from laburnumswitch.upstream import Upstream

CONNECT_TIMEOUT_S = 1.0
# Part of an answer's body that is buffered before the rest is streamed.
BODY_BUFFER_BYTES = 65_536
# Longest time since the last use of a connection that carries a non-idempotent request, in seconds.
NON_IDEMPOTENT_IDLE_LIMIT_S = 1.0
MIN_SERVER_ERROR_STATUS = 500
STATUS_UNAVAILABLE = 503


class UpstreamAnswer(NamedTuple):
    """Head of an upstream's answer, with its body or the first part of it.

    ``body_source`` reads the rest of a large body; it is ``None`` if ``body`` is complete.
    """

    upstream: Upstream
    head: ResponseHead
    body: bytes
    body_source: "Attempt | None"


AttemptFailure = ConnectFailed | ConnectionLimit | AnswerLost | FirstByteLate | Refused


class Attempt:
    """One exchange with one upstream; holds one of its slots until ``finish``."""

    def __init__(self, context: RequestContext, service: Service, upstream: Upstream) -> None:
        self.upstream = upstream
        self.sent_s = 0.0
        self._context = context
        self._service = service
        self._state = context.upstream_states.of(upstream)
        self._state.outstanding += 1
        self._service_state = context.service_state(service)
        self._service_state.in_flight += 1
        self._connection: UpstreamConnection | None = None
        self._exchange: Exchange | None = None
        self._last_used_s = 0.0
        self.pooled = False
        self.is_probe = self._state.stalled
        self._finished = False

    def send(
        self, method: str, encoded: bytes, deadline_s: float, idempotent: bool
    ) -> ConnectFailed | ConnectionLimit | AnswerLost | None:
        """Take a pooled connection or open one, and send the request."""
        context = self._context
        now_s = context.clock()
        # A non-idempotent request can't be retried once sent, so it isn't given a connection that
        # may have gone stale since its last use.
        idle_limit_s = IDLE_TIMEOUT_S if idempotent else NON_IDEMPOTENT_IDLE_LIMIT_S
        if self._state.suspect is not None:
            # Only a new connection shows whether the old one or the upstream is at fault.
            idle_limit_s = 0.0
        connect_timeout_s = min(CONNECT_TIMEOUT_S, max(deadline_s - now_s, 0.001))
        acquired = context.pool.acquire(self.upstream, connect_timeout_s, idle_limit_s)
        if isinstance(acquired, ConnectionLimit):
            return acquired
        if isinstance(acquired, ConnectFailed):
            self._record_failure()
            return acquired
        self._connection = acquired
        self.pooled = acquired.exchanges > 0
        self._last_used_s = acquired.last_used_s
        self._exchange = Exchange(acquired, method, context.clock)
        self.sent_s = context.clock()
        failure = self._exchange.send(encoded, deadline_s)
        if self._exchange.bytes_written > 0:
            context.counts.sends += 1
            self._state.record_sent(self.sent_s)
        if failure is not None:
            self._record_failure()
        return failure

    def read_head(
        self, first_byte_deadline_s: float, deadline_s: float
    ) -> ResponseHead | AnswerLost | FirstByteLate | Refused:
        """Return the head of the answer, or ``Refused`` if the upstream didn't run the request."""
        head = self._exchange.read_head(first_byte_deadline_s, deadline_s)
        if isinstance(head, FirstByteLate):
            return head
        if self._exchange.response_started:
            self._state.record_first_byte(self.sent_s, self._context.clock())
        if isinstance(head, AnswerLost):
            if self.may_be_stale_connection():
                self.suspect_connection()
            else:
                self._record_failure()
            return head
        if self._state.suspect is not None:
            self._clear_suspect_connection()
        if self._service.state.manner == "headers":
            self._apply_report(head)
        latency_s = self._context.clock() - self.sent_s
        if self._is_refusal(head):
            self._state.reduce_concurrency_limit(LIMIT_FACTOR_FAILED, self._context.clock())
            return Refused(self.upstream.address, head.status, "refused before running")
        if head.status >= MIN_SERVER_ERROR_STATUS:
            self._record_failure()
        else:
            self._state.record_success(latency_s, self._context.clock())
            self._service_state.add_latency(latency_s)
        return head

    def read_body(
        self, head: ResponseHead, deadline_s: float, limit: int
    ) -> UpstreamAnswer | AnswerLost:
        """Buffer up to ``limit`` bytes of the body, and finish if that is all of it."""
        if self._exchange.is_complete():
            block = self._exchange.read_block(deadline_s)
            self.finish()
            return UpstreamAnswer(self.upstream, head, block, None)
        blocks = []
        size = 0
        while size <= limit:
            block = self._exchange.read_block(deadline_s)
            if isinstance(block, AnswerLost):
                self._record_failure()
                return block
            if not block:
                self.finish()
                return UpstreamAnswer(self.upstream, head, b"".join(blocks), None)
            blocks.append(block)
            size += len(block)
        return UpstreamAnswer(self.upstream, head, b"".join(blocks), self)

    def stream_body(self, write: Callable[[bytes], None], block_timeout_s: float) -> bool:
        """Write the rest of the body in blocks; return ``False`` if the answer is truncated."""
        while True:
            block = self._exchange.read_block(self._context.clock() + block_timeout_s)
            if isinstance(block, AnswerLost):
                self._record_failure()
                return False
            if not block:
                return True
            write(block)

    def suspect_connection(self) -> None:
        """Mark a pooled connection as suspect the first time, else count an upstream failure.

        Called when no byte of the answer arrived.
        """
        if self.pooled and self._state.suspect is None:
            self._state.suspect = SuspectConnection(self._last_used_s, is_certain=True)
        else:
            self._record_failure()

    def may_be_stale_connection(self) -> bool:
        """Return whether a stale pooled connection may explain the lack of an answer."""
        return self.pooled and self._exchange is not None and not self._exchange.response_started

    def check_stalled(self, threshold_s: float) -> bool:
        """Mark the upstream as stalled after ``threshold_s`` without a first byte.

        :return: whether the upstream counts as stalled.
        """
        context = self._context
        peers = context.upstreams_of(self._service.name)
        return context.upstream_states.mark_stalled_if_unanswered(self.upstream, peers, threshold_s)

    def abandon(self) -> None:
        """Cancel the exchange because the other attempt of a hedged request was answered first."""
        if self._finished:
            return
        if self._exchange is not None and not self._exchange.response_started:
            self._state.record_abandoned(self._context.clock() - self.sent_s)
            if self.pooled and self._state.suspect is None:
                self._state.suspect = SuspectConnection(self._last_used_s, is_certain=False)
        self.finish()

    def finish(self) -> None:
        """Free the slot, and pool the connection if its exchange ended cleanly."""
        if self._finished:
            return
        self._finished = True
        self._state.outstanding -= 1
        self._service_state.in_flight -= 1
        if self._connection is not None:
            if self._exchange is not None and self._exchange.is_connection_reusable():
                self._context.pool.release(self._connection)
            else:
                self._context.pool.discard(self._connection)
        self._service_state.queue.wake()

    def _apply_report(self, head: ResponseHead) -> None:
        declared = self._service.state
        reported = parse_headers(declared, head.headers)
        if isinstance(reported, ReportedState):
            states = self._context.upstream_states
            states.apply_report(self.upstream, reported, declared.interval_s)

    def _is_refusal(self, head: ResponseHead) -> bool:
        name = self._service.state.refused_header
        if head.status != STATUS_UNAVAILABLE or not name:
            return False
        return bool(header_values(head.headers, name.lower()))

    def _record_failure(self) -> None:
        context = self._context
        self._state.record_failure(context.clock())
        context.upstream_states.eject_if_failing(
            self.upstream, context.upstreams_of(self._service.name)
        )

    def _clear_suspect_connection(self) -> None:
        suspect = self._state.suspect
        if self.pooled:
            return
        self._state.suspect = None
        retired = self._context.pool.retire(self.upstream.address, suspect.last_used_s)
        if not suspect.is_certain and retired == 0:
            return
        self._context.timeline.record(
            "connection_retired",
            self.upstream.upstream_id,
            address=self.upstream.address,
            idle_ones=retired,
        )

"""One attempt to have a request answered by one upstream."""

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
from laburnumswitch.process.workers.reports import read_headers
from laburnumswitch.process.workers.reports import Reported
from laburnumswitch.process.workers.upstreams import LIMIT_FACTOR_FAILED
from laburnumswitch.process.workers.upstreams import SuspectConnection
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.headers import values_of
from laburnumswitch.upstream import Upstream

CONNECT_LIMIT_S = 1.0
BUFFER_BYTES = 65_536
ORDER_IDLE_LIMIT_S = 1.0
FIRST_FAILED_STATUS = 500
STATUS_UNAVAILABLE = 503


class Delivered(NamedTuple):
    """An answer whose head has come, with the first part of its body or the whole of it.

    ``rest`` is the exchange that goes on reading a large body, ``None`` where ``body`` is whole.
    """

    upstream: Upstream
    head: ResponseHead
    body: bytes
    rest: "Attempt | None"


AttemptFailure = ConnectFailed | ConnectionLimit | AnswerLost | FirstByteLate | Refused


class Attempt:
    """One exchange with one upstream; occupies a slot of it until ``finish``."""

    def __init__(self, context: RequestContext, service: Service, upstream: Upstream) -> None:
        self.upstream = upstream
        self.sent_s = 0.0
        self._context = context
        self._service = service
        self._state = context.states.of(upstream)
        self._state.outstanding += 1
        self._service_state = context.service_state(service)
        self._service_state.in_flight += 1
        self._connection: UpstreamConnection | None = None
        self._exchange: Exchange | None = None
        self._unused_since_s = 0.0
        self.pooled = False
        self.probes = self._state.stalled
        self._finished = False

    def send(
        self, method: str, encoded: bytes, deadline_s: float, idempotent: bool
    ) -> ConnectFailed | ConnectionLimit | AnswerLost | None:
        """Connect if necessary, and send the request."""
        context = self._context
        now_s = context.clock()
        # An order isn't trusted to a connection that may have gone silent since its last use.
        idle_limit_s = IDLE_TIMEOUT_S if idempotent else ORDER_IDLE_LIMIT_S
        if self._state.suspect is not None:
            # A new connection tells whether the old one or the upstream is at fault.
            idle_limit_s = 0.0
        connect_limit_s = min(CONNECT_LIMIT_S, max(deadline_s - now_s, 0.001))
        taken = context.pool.acquire(self.upstream, connect_limit_s, idle_limit_s)
        if isinstance(taken, ConnectionLimit):
            return taken
        if isinstance(taken, ConnectFailed):
            self._fail()
            return taken
        self._connection = taken
        self.pooled = taken.exchanges > 0
        self._unused_since_s = taken.last_used_s
        self._exchange = Exchange(taken, method, context.clock)
        self.sent_s = context.clock()
        failure = self._exchange.send(encoded, deadline_s)
        if self._exchange.bytes_written > 0:
            context.counts.sends += 1
            self._state.note_sent(self.sent_s)
        if failure is not None:
            self._fail()
        return failure

    def read_head(
        self, first_byte_by_s: float, deadline_s: float
    ) -> ResponseHead | AnswerLost | FirstByteLate | Refused:
        """Return the head of the answer, or ``Refused`` if the request wasn't run."""
        head = self._exchange.read_head(first_byte_by_s, deadline_s)
        if isinstance(head, FirstByteLate):
            return head
        if self._exchange.response_started:
            self._state.note_first_byte(self.sent_s, self._context.clock())
        if isinstance(head, AnswerLost):
            if self.may_repeat_here():
                self.suspect_connection()
            else:
                self._fail()
            return head
        if self._state.suspect is not None:
            self._clear_suspicion()
        if self._service.state.manner == "headers":
            self._take_report(head)
        latency_s = self._context.clock() - self.sent_s
        if self._is_refusal(head):
            self._state.cut_limit(LIMIT_FACTOR_FAILED, self._context.clock())
            return Refused(self.upstream.address, head.status, "refused before running")
        if head.status >= FIRST_FAILED_STATUS:
            self._fail()
        else:
            self._state.succeed(latency_s, self._context.clock())
            self._service_state.add_latency(latency_s)
        return head

    def read_body(
        self, head: ResponseHead, deadline_s: float, limit: int
    ) -> Delivered | AnswerLost:
        """Read the body up to ``limit`` bytes, and finish where that is all of it."""
        if self._exchange.is_complete():
            block = self._exchange.read_block(deadline_s)
            self.finish()
            return Delivered(self.upstream, head, block, None)
        blocks = []
        size = 0
        while size <= limit:
            block = self._exchange.read_block(deadline_s)
            if isinstance(block, AnswerLost):
                self._fail()
                return block
            if not block:
                self.finish()
                return Delivered(self.upstream, head, b"".join(blocks), None)
            blocks.append(block)
            size += len(block)
        return Delivered(self.upstream, head, b"".join(blocks), self)

    def stream_rest(self, write: Callable[[bytes], None], block_limit_s: float) -> bool:
        """Write the rest of the body, block by block, and return whether it is whole."""
        while True:
            block = self._exchange.read_block(self._context.clock() + block_limit_s)
            if isinstance(block, AnswerLost):
                self._fail()
                return False
            if not block:
                return True
            write(block)

    def suspect_connection(self) -> None:
        """Suspect the connection, and not yet the upstream, where not a byte has come back."""
        if self.pooled and self._state.suspect is None:
            self._state.suspect = SuspectConnection(self._unused_since_s, certain=True)
        else:
            self._fail()

    def may_repeat_here(self) -> bool:
        """Return whether the failure may be that of a pooled connection and not of its upstream."""
        return self.pooled and self._exchange is not None and not self._exchange.response_started

    def is_stalled(self, limit_s: float) -> bool:
        """Return whether the upstream as a whole has given no first byte for ``limit_s``."""
        context = self._context
        peers = context.upstreams_of(self._service.name)
        return context.states.stall_if_silent(self.upstream, peers, limit_s)

    def abandon(self) -> None:
        """Give the exchange up for another one that was answered first."""
        if self._finished:
            return
        if self._exchange is not None and not self._exchange.response_started:
            self._state.observe_wait(self._context.clock() - self.sent_s)
            if self.pooled and self._state.suspect is None:
                self._state.suspect = SuspectConnection(self._unused_since_s, certain=False)
        self.finish()

    def finish(self) -> None:
        """Free the slot; the connection is pooled only if its exchange ended cleanly."""
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

    def _take_report(self, head: ResponseHead) -> None:
        declared = self._service.state
        reported = read_headers(declared, head.headers)
        if isinstance(reported, Reported):
            states = self._context.states
            states.take_report(self.upstream, reported, declared.interval_s)

    def _is_refusal(self, head: ResponseHead) -> bool:
        name = self._service.state.refused_header
        if head.status != STATUS_UNAVAILABLE or not name:
            return False
        return bool(values_of(head.headers, name.lower()))

    def _fail(self) -> None:
        context = self._context
        self._state.fail(context.clock())
        context.states.eject_if_failing(self.upstream, context.upstreams_of(self._service.name))

    def _clear_suspicion(self) -> None:
        suspect = self._state.suspect
        if self.pooled:
            return
        self._state.suspect = None
        retired = self._context.pool.retire(self.upstream.address, suspect.used_s)
        if not suspect.certain and retired == 0:
            return
        self._context.timeline.record(
            "connection_retired",
            self.upstream.upstream_id,
            address=self.upstream.address,
            idle_ones=retired,
        )

"""Delivers one request to an upstream, with the repeats that are safe."""

from bisect import insort
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from gevent import killall
from gevent import spawn
from gevent.queue import Queue

from laburnumswitch.connection.exchange import ResponseHead
from laburnumswitch.connection.request_reader import CallerRequest
from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import ConnectionLimit
from laburnumswitch.exceptions import FirstByteLate
from laburnumswitch.exceptions import NotRun
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import RunUnknown
from laburnumswitch.request.admission import admit
from laburnumswitch.request.attempt import Attempt
from laburnumswitch.request.attempt import AttemptFailure
from laburnumswitch.request.attempt import BUFFER_BYTES
from laburnumswitch.request.attempt import Delivered
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.headers import encode_request
from laburnumswitch.upstream import Upstream

MAX_ATTEMPTS = 3
HEDGED_METHODS = frozenset(("GET", "HEAD"))
RETRIED_STATUSES = frozenset((500, 502, 503, 504))
HEDGE_MIN_S = 0.005
SILENT_MIN_S = 0.25
SILENT_RATIO = 4.0
DEADLINE_SHARE = 0.5
MOVE_RECHECK_S = 0.05
ORDERS_KEEP_AWAY_S = 30.0
PROBE_TOKENS = 3.0


class DeliveryTerms(NamedTuple):
    """How one request is to be delivered. ``deadline_s`` is an instant of the clock.

    ``body_limit`` is the number of bytes of the answer's body that are read before it is passed on.
    """

    request: CallerRequest
    request_id: str
    deadline_s: float
    idempotent: bool
    rank: int
    body_limit: int = BUFFER_BYTES


class Delivery:
    """State of delivering one request."""

    def __init__(self, context: RequestContext, service: Service, terms: DeliveryTerms) -> None:
        self._context = context
        self._service = service
        self._terms = terms
        self._encoded = encode_request(terms.request, terms.request_id)
        self._method = terms.request.head.method
        self._tried: frozenset[str] = frozenset()
        self._attempts = 0
        self._may_have_run = False
        self._timed_out = False
        self._repeat_is_paid = False
        self._failed_answer: Delivered | None = None

    def run(self) -> Delivered | NotRun | RunUnknown:
        """Deliver the request."""
        while True:
            upstream = admit(
                self._context,
                self._service,
                self._terms.rank,
                self._terms.deadline_s,
                self._avoided(),
            )
            if isinstance(upstream, NotRun):
                return self._give_up(upstream.reason)
            result = self._try(upstream)
            if isinstance(result, Delivered) and not self._is_failed_answer(result):
                return result
            if isinstance(result, Delivered):
                self._failed_answer = result
            if not self._may_repeat(result):
                return self._give_up(_reason_of(result))
            self._context.timeline.record(
                "retry",
                self._terms.request_id,
                upstream=upstream.upstream_id,
                worker=upstream.worker_id,
                zone=upstream.availability_zone,
                reason=_reason_of(result),
            )

    def _avoided(self) -> frozenset[str]:
        """Return the ids that aren't to be used.

        A probe of a stalled upstream is a first attempt that the budget allows to leave it again.
        An order is one only where no other request has been for long.
        """
        within_s = inf
        if not self._terms.idempotent:
            within_s = ORDERS_KEEP_AWAY_S
        elif self._attempts == 0 and self._context.budget.has(PROBE_TOKENS):
            return self._tried
        upstreams = self._context.upstreams_of(self._service.name)
        return self._tried | self._context.states.stalled_ids(upstreams, within_s)

    def _try(self, upstream: Upstream) -> Delivered | AttemptFailure:
        self._attempts += 1
        self._tried |= {upstream.upstream_id}
        attempt = Attempt(self._context, self._service, upstream)
        try:
            result = self._exchange(attempt)
        except BaseException:
            attempt.finish()
            raise
        if not isinstance(result, Delivered):
            self._note_failure(result)
            if attempt.may_repeat_here() and not attempt.is_stalled(self._silent_s()):
                self._tried -= {upstream.upstream_id}
            attempt.finish()
        return result

    def _exchange(self, attempt: Attempt) -> Delivered | AttemptFailure:
        deadline_s = self._terms.deadline_s
        failure = attempt.send(
            self._method, self._encoded, deadline_s, idempotent=self._terms.idempotent
        )
        if failure is not None:
            return failure
        first_byte_by_s = self._first_byte_by_s(attempt)
        head = attempt.read_head(first_byte_by_s, deadline_s)
        if isinstance(head, ResponseHead):
            return attempt.read_body(head, deadline_s, self._terms.body_limit)
        if not isinstance(head, FirstByteLate):
            return head
        if self._may_hedge():
            attempt.is_stalled(self._silent_s())
            return self._hedge(attempt)
        return self._finish_alone(attempt)

    def _first_byte_by_s(self, attempt: Attempt) -> float:
        """Return until when to wait for the first byte before something else is tried."""
        latency = self._context.service_state(self._service).latency
        if self._may_hedge() and latency.is_known() and not attempt.probes:
            hedge_by_s = attempt.sent_s + max(latency.value_s, HEDGE_MIN_S)
            return min(hedge_by_s, self._terms.deadline_s)
        return self._silent_by_s(attempt)

    def _silent_by_s(self, attempt: Attempt) -> float:
        """Return from when on a connection without a byte of the answer counts as silent."""
        left_s = self._terms.deadline_s - attempt.sent_s
        return attempt.sent_s + min(self._silent_s(), left_s * DEADLINE_SHARE)

    def _silent_s(self) -> float:
        latency = self._context.service_state(self._service).latency
        return max(SILENT_RATIO * latency.value_s, SILENT_MIN_S)

    def _may_hedge(self) -> bool:
        return self._method in HEDGED_METHODS and self._terms.idempotent

    def _hedge(self, first: Attempt) -> Delivered | AttemptFailure:
        """Go on waiting for ``first``, and ask a second upstream beside it if that is allowed."""
        second = self._second_attempt()
        if second is None:
            return self._finish_alone(first)
        self._context.counts.hedges += 1
        results: Queue = Queue()
        tasks = [
            spawn(_report, results, first, self._finish_alone),
            spawn(_report, results, second, self._send_alone),
        ]
        racing = {first, second}
        result: Delivered | AttemptFailure | None = None
        try:
            while racing and not isinstance(result, Delivered):
                attempt, result = results.get()
                racing.discard(attempt)
                if not isinstance(result, Delivered):
                    self._may_have_run = True
                    attempt.finish()
        finally:
            killall(tasks)
            for attempt in racing:
                attempt.abandon()
        return result

    def _second_attempt(self) -> Attempt | None:
        context = self._context
        if self._attempts >= MAX_ATTEMPTS or context.clock() >= self._terms.deadline_s:
            return None
        upstreams = context.upstreams_of(self._service.name)
        moving = context.service_state(self._service).moving
        if moving and moving[0] < self._terms.deadline_s:
            return None
        upstream = context.choose(self._service, upstreams, self._avoided())
        if upstream is None or not context.budget.spend():
            return None
        self._attempts += 1
        self._tried |= {upstream.upstream_id}
        return Attempt(context, self._service, upstream)

    def _finish_alone(self, attempt: Attempt) -> Delivered | AttemptFailure:
        deadline_s = self._terms.deadline_s
        head = attempt.read_head(self._silent_by_s(attempt), deadline_s)
        if isinstance(head, FirstByteLate):
            head = self._wait_or_move(attempt)
        if isinstance(head, FirstByteLate):
            attempt.suspect_connection()
        if not isinstance(head, ResponseHead):
            return head
        return attempt.read_body(head, deadline_s, self._terms.body_limit)

    def _wait_or_move(
        self, attempt: Attempt
    ) -> ResponseHead | AnswerLost | FirstByteLate | Refused:
        """Go on waiting for a silent upstream until the request is paid for elsewhere.

        Of those that wait for a token, the one with the earliest deadline gets it first.
        """
        clock = self._context.clock
        deadline_s = self._terms.deadline_s
        moving = self._context.service_state(self._service).moving
        # One that may not leave would keep those with later deadlines from leaving.
        queued = False
        try:
            while True:
                if not queued and self._may_move(attempt):
                    insort(moving, deadline_s)
                    queued = True
                if queued and self._pay_move(moving):
                    return FirstByteLate(attempt.upstream.address, attempt.pooled)
                until_s = min(clock() + MOVE_RECHECK_S, deadline_s)
                head = attempt.read_head(until_s, deadline_s)
                if not isinstance(head, FirstByteLate) or clock() >= deadline_s:
                    return head
        finally:
            if queued:
                moving.remove(deadline_s)

    def _may_move(self, attempt: Attempt) -> bool:
        silent = attempt.is_stalled(self._silent_s()) or attempt.pooled
        return silent and self._terms.idempotent and self._attempts < MAX_ATTEMPTS

    def _pay_move(self, moving: list[float]) -> bool:
        if self._repeat_is_paid:
            return True
        if self._attempts >= MAX_ATTEMPTS or moving[0] < self._terms.deadline_s:
            return False
        self._repeat_is_paid = self._context.budget.spend()
        return self._repeat_is_paid

    def _send_alone(self, attempt: Attempt) -> Delivered | AttemptFailure:
        failure = attempt.send(self._method, self._encoded, self._terms.deadline_s, idempotent=True)
        return failure if failure is not None else self._finish_alone(attempt)

    def _note_failure(self, failure: AttemptFailure) -> None:
        if isinstance(failure, AnswerLost | FirstByteLate):
            self._may_have_run = True
            self._timed_out = isinstance(failure, FirstByteLate) or failure.reason == "timeout"

    def _is_failed_answer(self, delivered: Delivered) -> bool:
        return (
            self._terms.idempotent
            and delivered.rest is None
            and delivered.head.status in RETRIED_STATUSES
        )

    def _may_repeat(self, result: Delivered | AttemptFailure) -> bool:
        if self._attempts >= MAX_ATTEMPTS:
            return False
        if self._context.clock() >= self._terms.deadline_s:
            return False
        if isinstance(result, ConnectFailed | ConnectionLimit):
            return True
        if not self._terms.idempotent and not isinstance(result, Refused):
            return False
        paid, self._repeat_is_paid = self._repeat_is_paid, False
        if not paid and not self._context.budget.spend():
            return False
        self._context.counts.retries += 1
        return True

    def _give_up(self, reason: str) -> Delivered | NotRun | RunUnknown:
        if self._failed_answer is not None:
            return self._failed_answer
        if self._may_have_run:
            return RunUnknown(reason, self._timed_out)
        return NotRun(reason)


def _report(
    results: Queue,
    attempt: Attempt,
    finish: Callable[[Attempt], Delivered | AttemptFailure],
) -> None:
    # Whatever happens in the task, the one that waits for it gets a result.
    result: Delivered | AttemptFailure = AnswerLost(attempt.upstream.address, "error")
    try:
        result = finish(attempt)
    finally:
        results.put((attempt, result))


def _reason_of(result: Delivered | AttemptFailure) -> str:
    if isinstance(result, Delivered):
        return f"status {result.head.status}"
    return result.tag

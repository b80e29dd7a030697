"""Delivers a request to an upstream, with retries and hedging where they are safe."""

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
from laburnumswitch.request.attempt import BODY_BUFFER_BYTES
from laburnumswitch.request.attempt import UpstreamAnswer
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.headers import encode_request
from laburnumswitch.upstream import Upstream

# Attempts per request, hedged ones included.
MAX_ATTEMPTS = 3
HEDGED_METHODS = frozenset(("GET", "HEAD"))
RETRYABLE_STATUSES = frozenset((500, 502, 503, 504))
# Shortest wait for the first byte before a read is hedged, in seconds.
HEDGE_MIN_S = 0.005
# The first byte is late after this multiple of the service's latency quantile, but not before the
# minimum, and at the latest after this fraction of the time until the deadline.
MIN_FIRST_BYTE_TIMEOUT_S = 0.25
FIRST_BYTE_TIMEOUT_RATIO = 4.0
FIRST_BYTE_DEADLINE_FRACTION = 0.5
# Interval at which a request that waits for a silent upstream checks for a retry token, in seconds.
FAILOVER_RECHECK_S = 0.05
# Time for which non-idempotent requests avoid an upstream after a stall, in seconds.
NON_IDEMPOTENT_STALL_MEMORY_S = 30.0
# Retry tokens that must be left for a request to probe a stalled upstream.
PROBE_MIN_TOKENS = 3.0


class DeliveryTerms(NamedTuple):
    """A request and the terms of its delivery.

    ``deadline_s`` is a time of ``context.clock``; ``rank`` is the priority rank, 0 for the highest.

    ``body_buffer_bytes`` limits how much of the answer's body is buffered before streaming it.
    """

    request: CallerRequest
    request_id: str
    deadline_s: float
    idempotent: bool
    rank: int
    body_buffer_bytes: int = BODY_BUFFER_BYTES


class Delivery:
    """Delivers one request in up to ``MAX_ATTEMPTS`` attempts."""

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
        self._retry_token_spent = False
        self._error_answer: UpstreamAnswer | None = None

    def run(self) -> UpstreamAnswer | NotRun | RunUnknown:
        """Send the request until it is answered or may not be retried."""
        while True:
            upstream = admit(
                self._context,
                self._service,
                self._terms.rank,
                self._terms.deadline_s,
                self._excluded_ids(),
            )
            if isinstance(upstream, NotRun):
                return self._give_up(upstream.reason)
            result = self._attempt_on(upstream)
            if isinstance(result, UpstreamAnswer) and not self._is_retryable_answer(result):
                return result
            if isinstance(result, UpstreamAnswer):
                self._error_answer = result
            if not self._may_retry(result):
                return self._give_up(_reason_of(result))
            self._context.timeline.record(
                "retry",
                self._terms.request_id,
                upstream=upstream.upstream_id,
                worker=upstream.worker_id,
                zone=upstream.availability_zone,
                reason=_reason_of(result),
            )

    def _excluded_ids(self) -> frozenset[str]:
        """Return the ids of the upstreams that this attempt must not use.

        The first attempt of an idempotent request may probe a stalled upstream if the retry budget
        allows it to fail over again. A non-idempotent request may do so only once the upstream
        hasn't been found stalled for ``NON_IDEMPOTENT_STALL_MEMORY_S``.
        """
        within_s = inf
        if not self._terms.idempotent:
            within_s = NON_IDEMPOTENT_STALL_MEMORY_S
        elif self._attempts == 0 and self._context.retry_budget.has_tokens(PROBE_MIN_TOKENS):
            return self._tried
        upstreams = self._context.upstreams_of(self._service.name)
        return self._tried | self._context.upstream_states.stalled_ids(upstreams, within_s)

    def _attempt_on(self, upstream: Upstream) -> UpstreamAnswer | AttemptFailure:
        self._attempts += 1
        self._tried |= {upstream.upstream_id}
        attempt = Attempt(self._context, self._service, upstream)
        try:
            result = self._exchange_with_hedge(attempt)
        except BaseException:
            attempt.finish()
            raise
        if not isinstance(result, UpstreamAnswer):
            self._note_failure(result)
            if attempt.may_be_stale_connection() and not attempt.check_stalled(
                self._first_byte_timeout_s()
            ):
                self._tried -= {upstream.upstream_id}
            attempt.finish()
        return result

    def _exchange_with_hedge(self, attempt: Attempt) -> UpstreamAnswer | AttemptFailure:
        deadline_s = self._terms.deadline_s
        failure = attempt.send(
            self._method, self._encoded, deadline_s, idempotent=self._terms.idempotent
        )
        if failure is not None:
            return failure
        first_wait_deadline_s = self._first_wait_deadline_s(attempt)
        head = attempt.read_head(first_wait_deadline_s, deadline_s)
        if isinstance(head, ResponseHead):
            return attempt.read_body(head, deadline_s, self._terms.body_buffer_bytes)
        if not isinstance(head, FirstByteLate):
            return head
        if self._may_hedge():
            attempt.check_stalled(self._first_byte_timeout_s())
            return self._hedge(attempt)
        return self._await_answer(attempt)

    def _first_wait_deadline_s(self, attempt: Attempt) -> float:
        """Return when to stop waiting for the first byte and to hedge or to check for a stall."""
        latency = self._context.service_state(self._service).latency
        if self._may_hedge() and latency.is_reliable() and not attempt.is_probe:
            hedge_deadline_s = attempt.sent_s + max(latency.value_s, HEDGE_MIN_S)
            return min(hedge_deadline_s, self._terms.deadline_s)
        return self._first_byte_deadline_s(attempt)

    def _first_byte_deadline_s(self, attempt: Attempt) -> float:
        """Return when a connection without any byte of the answer counts as silent."""
        remaining_s = self._terms.deadline_s - attempt.sent_s
        return attempt.sent_s + min(
            self._first_byte_timeout_s(), remaining_s * FIRST_BYTE_DEADLINE_FRACTION
        )

    def _first_byte_timeout_s(self) -> float:
        latency = self._context.service_state(self._service).latency
        return max(FIRST_BYTE_TIMEOUT_RATIO * latency.value_s, MIN_FIRST_BYTE_TIMEOUT_S)

    def _may_hedge(self) -> bool:
        return self._method in HEDGED_METHODS and self._terms.idempotent

    def _hedge(self, first: Attempt) -> UpstreamAnswer | AttemptFailure:
        """Race ``first`` against a second upstream, if the limits and the budget allow one."""
        second = self._second_attempt()
        if second is None:
            return self._await_answer(first)
        self._context.counts.hedges += 1
        results: Queue = Queue()
        greenlets = [
            spawn(_put_result, results, first, self._await_answer),
            spawn(_put_result, results, second, self._send_and_await),
        ]
        racing = {first, second}
        result: UpstreamAnswer | AttemptFailure | None = None
        try:
            while racing and not isinstance(result, UpstreamAnswer):
                attempt, result = results.get()
                racing.discard(attempt)
                if not isinstance(result, UpstreamAnswer):
                    self._may_have_run = True
                    attempt.finish()
        finally:
            killall(greenlets)
            for attempt in racing:
                attempt.abandon()
        return result

    def _second_attempt(self) -> Attempt | None:
        context = self._context
        if self._attempts >= MAX_ATTEMPTS or context.clock() >= self._terms.deadline_s:
            return None
        upstreams = context.upstreams_of(self._service.name)
        failover_deadlines_s = context.service_state(self._service).failover_deadlines_s
        if failover_deadlines_s and failover_deadlines_s[0] < self._terms.deadline_s:
            return None
        upstream = context.choose(self._service, upstreams, self._excluded_ids())
        if upstream is None or not context.retry_budget.spend():
            return None
        self._attempts += 1
        self._tried |= {upstream.upstream_id}
        return Attempt(context, self._service, upstream)

    def _await_answer(self, attempt: Attempt) -> UpstreamAnswer | AttemptFailure:
        deadline_s = self._terms.deadline_s
        head = attempt.read_head(self._first_byte_deadline_s(attempt), deadline_s)
        if isinstance(head, FirstByteLate):
            head = self._wait_or_fail_over(attempt)
        if isinstance(head, FirstByteLate):
            attempt.suspect_connection()
        if not isinstance(head, ResponseHead):
            return head
        return attempt.read_body(head, deadline_s, self._terms.body_buffer_bytes)

    def _wait_or_fail_over(
        self, attempt: Attempt
    ) -> ResponseHead | AnswerLost | FirstByteLate | Refused:
        """Wait for a silent upstream until the answer comes or a token allows a retry elsewhere.

        Tokens are given to the waiting requests in the order of their deadlines.
        """
        clock = self._context.clock
        deadline_s = self._terms.deadline_s
        failover_deadlines_s = self._context.service_state(self._service).failover_deadlines_s
        # A request that may not fail over would block those with later deadlines.
        queued = False
        try:
            while True:
                if not queued and self._may_fail_over(attempt):
                    insort(failover_deadlines_s, deadline_s)
                    queued = True
                if queued and self._spend_failover_token(failover_deadlines_s):
                    return FirstByteLate(attempt.upstream.address, attempt.pooled)
                until_s = min(clock() + FAILOVER_RECHECK_S, deadline_s)
                head = attempt.read_head(until_s, deadline_s)
                if not isinstance(head, FirstByteLate) or clock() >= deadline_s:
                    return head
        finally:
            if queued:
                failover_deadlines_s.remove(deadline_s)

    def _may_fail_over(self, attempt: Attempt) -> bool:
        suspected = attempt.check_stalled(self._first_byte_timeout_s()) or attempt.pooled
        return suspected and self._terms.idempotent and self._attempts < MAX_ATTEMPTS

    def _spend_failover_token(self, failover_deadlines_s: list[float]) -> bool:
        if self._retry_token_spent:
            return True
        if self._attempts >= MAX_ATTEMPTS or failover_deadlines_s[0] < self._terms.deadline_s:
            return False
        self._retry_token_spent = self._context.retry_budget.spend()
        return self._retry_token_spent

    def _send_and_await(self, attempt: Attempt) -> UpstreamAnswer | AttemptFailure:
        failure = attempt.send(self._method, self._encoded, self._terms.deadline_s, idempotent=True)
        return failure if failure is not None else self._await_answer(attempt)

    def _note_failure(self, failure: AttemptFailure) -> None:
        if isinstance(failure, AnswerLost | FirstByteLate):
            self._may_have_run = True
            self._timed_out = isinstance(failure, FirstByteLate) or failure.reason == "timeout"

    def _is_retryable_answer(self, answer: UpstreamAnswer) -> bool:
        return (
            self._terms.idempotent
            and answer.body_source is None
            and answer.head.status in RETRYABLE_STATUSES
        )

    def _may_retry(self, result: UpstreamAnswer | AttemptFailure) -> bool:
        if self._attempts >= MAX_ATTEMPTS:
            return False
        if self._context.clock() >= self._terms.deadline_s:
            return False
        if isinstance(result, ConnectFailed | ConnectionLimit):
            return True
        if not self._terms.idempotent and not isinstance(result, Refused):
            return False
        token_spent, self._retry_token_spent = self._retry_token_spent, False
        if not token_spent and not self._context.retry_budget.spend():
            return False
        self._context.counts.retries += 1
        return True

    def _give_up(self, reason: str) -> UpstreamAnswer | NotRun | RunUnknown:
        if self._error_answer is not None:
            return self._error_answer
        if self._may_have_run:
            return RunUnknown(reason, self._timed_out)
        return NotRun(reason)


def _put_result(
    results: Queue,
    attempt: Attempt,
    finish: Callable[[Attempt], UpstreamAnswer | AttemptFailure],
) -> None:
    # A result is always queued, even if the greenlet fails or is killed.
    result: UpstreamAnswer | AttemptFailure = AnswerLost(attempt.upstream.address, "error")
    try:
        result = finish(attempt)
    finally:
        results.put((attempt, result))


def _reason_of(result: UpstreamAnswer | AttemptFailure) -> str:
    if isinstance(result, UpstreamAnswer):
        return f"status {result.head.status}"
    return result.tag

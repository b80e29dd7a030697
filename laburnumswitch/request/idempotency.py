"""Delivers requests with an idempotency key: claims the key, runs, and records the result."""

from collections.abc import Callable

from gevent import Greenlet
from gevent import spawn

from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotRun
from laburnumswitch.exceptions import RunUnknown
from laburnumswitch.request.attempt import UpstreamAnswer
from laburnumswitch.request.claim import acquire_claim
from laburnumswitch.request.claim import Claim
from laburnumswitch.request.claim import claim_row_key
from laburnumswitch.request.claim import MAX_OBJECT_ANSWER_BYTES
from laburnumswitch.request.claim import record_answer
from laburnumswitch.request.claim import record_state
from laburnumswitch.request.claim import release_claim
from laburnumswitch.request.claim import StoredAnswer
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.delivery import Delivery
from laburnumswitch.request.delivery import DeliveryTerms
from laburnumswitch.request.headers import returned_headers

# Longest time that an answer waits until its record is written, in seconds.
RECORD_TIMEOUT_S = 0.25
# Longest wait for a claim, in seconds.
CLAIM_TIMEOUT_S = 1.0


def deliver_once(
    context: RequestContext, service: Service, terms: DeliveryTerms, key: str
) -> UpstreamAnswer | StoredAnswer | Failure:
    """Deliver the request unless an earlier attempt has claimed ``key``."""
    claim = _claim_with_timeout(context, service, terms, key)
    if not isinstance(claim, Claim):
        row = claim_row_key(service.name, key)
        context.timeline.record(
            "claim_refused", terms.request_id, row=row, reason=type(claim).__name__
        )
        return claim
    context.timeline.record("claimed", terms.request_id, row=claim.key)
    try:
        result = Delivery(
            context, service, terms._replace(body_buffer_bytes=MAX_OBJECT_ANSWER_BYTES)
        ).run()
    except BaseException:
        _write_in_background(context, lambda: record_state(context, claim, "unknown"), 0.0)
        raise
    _record_result(context, claim, result)
    return result


def _claim_with_timeout(
    context: RequestContext, service: Service, terms: DeliveryTerms, key: str
) -> Claim | StoredAnswer | Failure:
    """Claim ``key``; if the store takes too long, give up, and release a late claim."""
    remaining_s = terms.deadline_s - context.clock()
    greenlet = spawn(acquire_claim, context, service.name, key, terms.request, remaining_s)
    greenlet.join(min(remaining_s, CLAIM_TIMEOUT_S))
    if greenlet.ready():
        return greenlet.get()

    def release_late_claim(ended: Greenlet) -> None:
        if isinstance(ended.value, Claim):
            release_claim(context, ended.value)

    greenlet.link(lambda ended: spawn(release_late_claim, ended))
    return NotRun("the store is too slow to claim the order")


def _record_result(
    context: RequestContext, claim: Claim, result: UpstreamAnswer | NotRun | RunUnknown
) -> None:
    if isinstance(result, NotRun):
        _write_in_background(context, lambda: release_claim(context, claim), RECORD_TIMEOUT_S)
    elif isinstance(result, RunUnknown):
        _write_in_background(
            context, lambda: record_state(context, claim, "unknown"), RECORD_TIMEOUT_S
        )
    elif result.body_source is not None:
        _write_in_background(
            context, lambda: record_state(context, claim, "unkept"), RECORD_TIMEOUT_S
        )
    else:
        answer = StoredAnswer(
            result.head.status, returned_headers(result.head.headers), result.body
        )
        _write_in_background(
            context, lambda: record_answer(context, claim, answer), RECORD_TIMEOUT_S
        )


def _write_in_background(
    context: RequestContext, write: Callable[[], Failure | None], wait_s: float
) -> None:
    """Run ``write`` in a greenlet and wait only briefly, since it doesn't affect the answer."""

    def run() -> None:
        failure = write()
        if failure is not None:
            context.timeline.record("claim_not_settled", context.vm_id, reason=failure.tag)

    spawn(run).join(wait_s)

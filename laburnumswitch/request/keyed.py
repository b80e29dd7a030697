"""Delivers a request with an idempotency key: claim, run, record."""

from collections.abc import Callable

from gevent import Greenlet
from gevent import spawn

from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotRun
from laburnumswitch.exceptions import RunUnknown
from laburnumswitch.request.attempt import Delivered
from laburnumswitch.request.claim import Claim
from laburnumswitch.request.claim import claim_key
from laburnumswitch.request.claim import claim_row_key
from laburnumswitch.request.claim import OBJECT_ANSWER_BYTES
from laburnumswitch.request.claim import record_answer
from laburnumswitch.request.claim import record_state
from laburnumswitch.request.claim import release_claim
from laburnumswitch.request.claim import StoredAnswer
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.delivery import Delivery
from laburnumswitch.request.delivery import DeliveryTerms
from laburnumswitch.request.headers import returned_headers

RECORD_WAIT_S = 0.25
CLAIM_LIMIT_S = 1.0


def deliver_once(
    context: RequestContext, service: Service, terms: DeliveryTerms, key: str
) -> Delivered | StoredAnswer | Failure:
    """Deliver the request if no other attempt under ``key`` came first."""
    claim = _claim_in_time(context, service, terms, key)
    if not isinstance(claim, Claim):
        row = claim_row_key(service.name, key)
        context.timeline.record(
            "claim_refused", terms.request_id, row=row, reason=type(claim).__name__
        )
        return claim
    context.timeline.record("claimed", terms.request_id, row=claim.key)
    try:
        result = Delivery(context, service, terms._replace(body_limit=OBJECT_ANSWER_BYTES)).run()
    except BaseException:
        _finish(context, lambda: record_state(context, claim, "unknown"), 0.0)
        raise
    _settle(context, claim, result)
    return result


def _claim_in_time(
    context: RequestContext, service: Service, terms: DeliveryTerms, key: str
) -> Claim | StoredAnswer | Failure:
    """Claim ``key``; where the store takes too long, give up and withdraw what comes of it."""
    limit_s = terms.deadline_s - context.clock()
    task = spawn(claim_key, context, service.name, key, terms.request, limit_s)
    task.join(min(limit_s, CLAIM_LIMIT_S))
    if task.ready():
        return task.get()

    def withdraw(ended: Greenlet) -> None:
        if isinstance(ended.value, Claim):
            release_claim(context, ended.value)

    task.link(lambda ended: spawn(withdraw, ended))
    return NotRun("the store is too slow to claim the order")


def _settle(context: RequestContext, claim: Claim, result: Delivered | NotRun | RunUnknown) -> None:
    if isinstance(result, NotRun):
        _finish(context, lambda: release_claim(context, claim), RECORD_WAIT_S)
    elif isinstance(result, RunUnknown):
        _finish(context, lambda: record_state(context, claim, "unknown"), RECORD_WAIT_S)
    elif result.rest is not None:
        _finish(context, lambda: record_state(context, claim, "unkept"), RECORD_WAIT_S)
    else:
        answer = StoredAnswer(
            result.head.status, returned_headers(result.head.headers), result.body
        )
        _finish(context, lambda: record_answer(context, claim, answer), RECORD_WAIT_S)


def _finish(context: RequestContext, write: Callable[[], Failure | None], wait_s: float) -> None:
    """Run ``write`` as a task and wait for it only a little: its outcome changes no answer."""

    def run() -> None:
        failure = write()
        if failure is not None:
            context.timeline.record("claim_not_settled", context.vm_id, reason=failure.tag)

    spawn(run).join(wait_s)

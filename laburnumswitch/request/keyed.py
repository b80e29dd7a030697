"""Delivers a request with an idempotency key: claim, run, record."""

from collections.abc import Callable

from gevent import spawn

from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotRun
from laburnumswitch.exceptions import RunUnknown
from laburnumswitch.request.attempt import Delivered
from laburnumswitch.request.claim import Claim
from laburnumswitch.request.claim import claim_key
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


def deliver_once(
    context: RequestContext, service: Service, terms: DeliveryTerms, key: str
) -> Delivered | StoredAnswer | Failure:
    """Deliver the request if no other attempt under ``key`` came first."""
    limit_s = terms.deadline_s - context.clock()
    claim = claim_key(context, service.name, key, terms.request, limit_s)
    if not isinstance(claim, Claim):
        context.timeline.record("claim_refused", terms.request_id, row=_row_of(service, claim))
        return claim
    context.timeline.record("claimed", terms.request_id, row=claim.key)
    try:
        result = Delivery(context, service, terms._replace(body_limit=OBJECT_ANSWER_BYTES)).run()
    except BaseException:
        _finish(context, lambda: record_state(context, claim, "unknown"), 0.0)
        raise
    _settle(context, claim, result)
    return result


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


def _row_of(service: Service, result: StoredAnswer | Failure) -> str:
    return f"{service.name}: {type(result).__name__}"

"""Answers callers' requests: the way from a request to its answer with its outcome."""

from collections.abc import Callable
from collections.abc import Iterator
from re import compile as compile_pattern
from ssl import SSLContext
from urllib.parse import unquote

from laburnumswitch.connection.caller_server import Application
from laburnumswitch.connection.caller_server import CallerResponse
from laburnumswitch.connection.caller_server import CallerServer
from laburnumswitch.connection.caller_server import OUTCOME_HEADER
from laburnumswitch.connection.request_reader import CallerLimits
from laburnumswitch.connection.request_reader import CallerRequest
from laburnumswitch.connection.tls import ServerTls
from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import AnswerNotKept
from laburnumswitch.exceptions import ClaimInProgress
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import KeyReused
from laburnumswitch.exceptions import NotRun
from laburnumswitch.exceptions import RunUnknown
from laburnumswitch.request.admission import RANK_BY_PRIORITY
from laburnumswitch.request.attempt import Delivered
from laburnumswitch.request.claim import StoredAnswer
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.delivery import Delivery
from laburnumswitch.request.delivery import DeliveryTerms
from laburnumswitch.request.headers import REQUEST_ID_HEADER
from laburnumswitch.request.headers import REQUEST_ID_NAME
from laburnumswitch.request.headers import returned_headers
from laburnumswitch.request.keyed import deliver_once

KEY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "request-timeout"
PRIORITY_HEADER = "priority"
MIN_TIMEOUT_S = 0.001
SLOW_SHARE = 0.25
URGENCY_HIGH = 2
URGENCY_LOW = 5
DEFAULT_LIMITS = CallerLimits()

_TIMEOUT = compile_pattern(r"[0-9]{1,6}(?:\.[0-9]{1,6})?")
_URGENCY = compile_pattern(r"(?:^|[,;\s])u=([0-7])(?:$|[,;\s])")
_KEY = compile_pattern(r"[\x21-\x7e ]{1,255}")
_REQUEST_ID = compile_pattern(r"[0-9A-Za-z._:-]{1,64}")


def serve_callers(
    address: tuple[str, int],
    context: RequestContext,
    ssl_context: SSLContext | ServerTls | None = None,
    limits: CallerLimits = DEFAULT_LIMITS,
) -> CallerServer:
    """Return the callers' port, listening once it is started."""
    return CallerServer(address, answer_requests(context), limits, ssl_context)


def drain(server: CallerServer, context: RequestContext, limit_s: float) -> bool:
    """Stop gracefully: accept nothing more and wait for the requests in flight.

    :param limit_s: longest wait in seconds.
    :return: whether every request in flight was answered.
    """
    whole = server.drain(limit_s)
    context.timeline.record("drained", context.vm_id, unanswered=server.busy)
    return whole


def answer_requests(context: RequestContext) -> Application:
    """Return the application of the callers' port."""
    numbers = iter(range(1, 2**62))

    def application(request: CallerRequest) -> CallerResponse:
        context.counts.requests += 1
        context.budget.earn()
        request_id = _request_id(request, context.vm_id, numbers)
        if not context.has_configuration():
            return _not_run(NotRun("no configuration"), request_id)
        service = context.service_by_host(request.head.host)
        if service is None:
            return _refusal(404, "no service has this host", request_id)
        return _answer(context, service, request, request_id)

    return application


def is_idempotent(service: Service, method: str, target: str) -> bool:
    """Return whether a request may run more than once.

    A declared path counts for itself and, where it ends in ``/``, for everything below it.
    """
    if method in service.idempotent_methods:
        return True
    path = unquote(target.partition("?")[0])
    if "/../" in path or path.endswith("/.."):
        return False
    return any(
        path == declared or (declared.endswith("/") and path.startswith(declared))
        for declared in service.idempotent_paths
    )


def _answer(
    context: RequestContext, service: Service, request: CallerRequest, request_id: str
) -> CallerResponse:
    head = request.head
    timeout_s = _timeout_s(service, request)
    if timeout_s is None:
        return _refusal(400, "malformed Request-Timeout", request_id)
    terms = DeliveryTerms(
        request,
        request_id,
        request.arrived_s + timeout_s,
        is_idempotent(service, head.method, head.target),
        _rank(service, request),
    )
    keys = head.values(KEY_HEADER)
    if terms.idempotent or not keys:
        result = Delivery(context, service, terms).run()
    elif len(keys) > 1 or not _KEY.fullmatch(keys[0]):
        return _refusal(400, "malformed Idempotency-Key", request_id)
    else:
        result = deliver_once(context, service, terms, keys[0])
    return _caller_answer(context, service, terms, result)


def _caller_answer(
    context: RequestContext,
    service: Service,
    terms: DeliveryTerms,
    result: Delivered | StoredAnswer | Failure,
) -> CallerResponse:
    outcome = _outcome_of(result)
    context.counts.by_outcome[(service.name, outcome)] += 1
    taken_s = context.clock() - terms.request.arrived_s
    context.counts.note_seconds(service.name, taken_s)
    if outcome != "answered" or not terms.idempotent or taken_s > service.timeout_s * SLOW_SHARE:
        context.timeline.record(
            "outcome",
            terms.request_id,
            service=service.name,
            outcome=outcome,
            reason=result.tag if isinstance(result, Failure) else "",
            milliseconds=round(taken_s * 1_000),
            **_upstream_details(result),
        )
    if isinstance(result, Delivered):
        return _delivered(context, service, terms, result)
    if isinstance(result, StoredAnswer):
        context.counts.replayed += 1
        headers = _own_headers(outcome, terms.request_id) + (("Idempotency-Replayed", "true"),)
        return CallerResponse(
            result.status, result.headers + headers, result.body, len(result.body)
        )
    if isinstance(result, NotRun):
        return _not_run(result, terms.request_id)
    if isinstance(result, ClaimInProgress):
        headers = (("Retry-After", str(result.retry_after_s)),)
        return _plain(409, "in progress under this key", outcome, terms.request_id, headers)
    if isinstance(result, AnswerNotKept):
        return _plain(409, "answered before; the answer was not kept", outcome, terms.request_id)
    if isinstance(result, KeyReused):
        return _plain(422, "this key came with another request", outcome, terms.request_id)
    status = 504 if isinstance(result, RunUnknown) and result.timed_out else 502
    return _plain(status, "whether the request ran is unknown", outcome, terms.request_id)


def _upstream_details(result: Delivered | StoredAnswer | Failure) -> dict[str, str]:
    if not isinstance(result, Delivered):
        return {}
    upstream = result.upstream
    return {
        "upstream": upstream.upstream_id,
        "worker": upstream.worker_id,
        "zone": upstream.availability_zone,
    }


def _outcome_of(result: Delivered | StoredAnswer | Failure) -> str:
    if isinstance(result, Delivered | StoredAnswer | AnswerNotKept):
        return "answered"
    if isinstance(result, NotRun | KeyReused):
        return "not-run"
    return "unknown"


def _delivered(
    context: RequestContext, service: Service, terms: DeliveryTerms, delivered: Delivered
) -> CallerResponse:
    head = delivered.head
    headers = returned_headers(head.headers) + _own_headers("answered", terms.request_id)
    rest = delivered.rest
    if rest is None:
        bodiless = terms.request.head.method == "HEAD"
        length = head.length if bodiless else len(delivered.body)
        return CallerResponse(head.status, headers, delivered.body, length, reason=head.reason)

    def stream(write: Callable[[bytes], None]) -> bool:
        whole = rest.stream_rest(write, service.timeout_s)
        if not whole:
            context.timeline.record("answer_cut", terms.request_id, service=service.name)
        return whole

    return CallerResponse(
        head.status, headers, delivered.body, head.length, stream, head.reason, rest.finish
    )


def _timeout_s(service: Service, request: CallerRequest) -> float | None:
    values = request.head.values(TIMEOUT_HEADER)
    if not values:
        return service.timeout_s
    if len(values) > 1 or not _TIMEOUT.fullmatch(values[0]):
        return None
    return min(service.timeout_s, max(float(values[0]), MIN_TIMEOUT_S))


def _rank(service: Service, request: CallerRequest) -> int:
    rank = RANK_BY_PRIORITY[service.priority]
    for value in request.head.values(PRIORITY_HEADER):
        urgency = _URGENCY.search(value)
        if urgency is None:
            continue
        if int(urgency[1]) <= URGENCY_HIGH:
            return RANK_BY_PRIORITY["high"]
        if int(urgency[1]) >= URGENCY_LOW:
            return RANK_BY_PRIORITY["low"]
    return rank


def _request_id(request: CallerRequest, vm_id: str, numbers: Iterator[int]) -> str:
    values = request.head.values(REQUEST_ID_NAME)
    if len(values) == 1 and _REQUEST_ID.fullmatch(values[0]):
        return values[0]
    return f"{vm_id}-{next(numbers)}"


def _own_headers(outcome: str, request_id: str) -> tuple[tuple[str, str], ...]:
    return ((OUTCOME_HEADER, outcome), (REQUEST_ID_HEADER, request_id))


def _not_run(failure: NotRun, request_id: str) -> CallerResponse:
    headers = (("Retry-After", str(failure.retry_after_s)),)
    return _plain(503, f"not run: {failure.reason}", "not-run", request_id, headers)


def _refusal(status: int, text: str, request_id: str) -> CallerResponse:
    return _plain(status, text, "not-run", request_id)


def _plain(
    status: int,
    text: str,
    outcome: str,
    request_id: str,
    headers: tuple[tuple[str, str], ...] = (),
) -> CallerResponse:
    body = text.encode() + b"\n"
    own = _own_headers(outcome, request_id) + (("Content-Type", "text/plain"),)
    return CallerResponse(status, own + headers, body, len(body))

"""Proxy application: forwards callers' requests to upstreams and reports their outcome."""

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
from laburnumswitch.request.attempt import UpstreamAnswer
from laburnumswitch.request.claim import StoredAnswer
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.delivery import Delivery
from laburnumswitch.request.delivery import DeliveryTerms
from laburnumswitch.request.headers import REQUEST_ID_HEADER
from laburnumswitch.request.headers import REQUEST_ID_LOWERCASE
from laburnumswitch.request.headers import returned_headers
from laburnumswitch.request.idempotency import deliver_once

KEY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "request-timeout"
PRIORITY_HEADER = "priority"
MIN_TIMEOUT_S = 0.001
# Idempotent requests answered within this fraction of the service's timeout are not recorded.
SLOW_FRACTION = 0.25
# Urgency in a ``Priority`` header: 0 to 7, 0 being the most urgent.
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
    """Return the server for callers' requests; it listens once started."""
    return CallerServer(address, make_application(context), limits, ssl_context)


def drain(server: CallerServer, context: RequestContext, limit_s: float) -> bool:
    """Stop accepting connections and wait for the requests in flight.

    :param limit_s: maximum wait in seconds.
    :return: whether every request in flight was answered.
    """
    all_answered = server.drain(limit_s)
    context.timeline.record("drained", context.vm_id, unanswered=server.busy_count)
    return all_answered


def make_application(context: RequestContext) -> Application:
    """Return the application that answers callers' requests."""
    request_numbers = iter(range(1, 2**62))

    def application(request: CallerRequest) -> CallerResponse:
        context.counts.requests += 1
        context.retry_budget.earn()
        request_id = _request_id(request, context.vm_id, request_numbers)
        if not context.has_configuration():
            return _not_run(NotRun("no configuration"), request_id)
        service = context.service_by_host(request.head.host)
        if service is None:
            return _rejection(404, "no service has this host", request_id)
        return _answer(context, service, request, request_id)

    return application


def is_idempotent(service: Service, method: str, target: str) -> bool:
    """Return whether a request may run more than once.

    A declared path matches itself and, if it ends in ``/``, everything below it.
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
        return _rejection(400, "malformed Request-Timeout", request_id)
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
        return _rejection(400, "malformed Idempotency-Key", request_id)
    else:
        result = deliver_once(context, service, terms, keys[0])
    return _caller_answer(context, service, terms, result)


def _caller_answer(
    context: RequestContext,
    service: Service,
    terms: DeliveryTerms,
    result: UpstreamAnswer | StoredAnswer | Failure,
) -> CallerResponse:
    outcome = _outcome_of(result)
    context.counts.by_outcome[(service.name, outcome)] += 1
    elapsed_s = context.clock() - terms.request.arrived_s
    context.counts.observe_seconds(service.name, elapsed_s)
    if (
        outcome != "answered"
        or not terms.idempotent
        or elapsed_s > service.timeout_s * SLOW_FRACTION
    ):
        context.timeline.record(
            "outcome",
            terms.request_id,
            service=service.name,
            outcome=outcome,
            reason=result.tag if isinstance(result, Failure) else "",
            milliseconds=round(elapsed_s * 1_000),
            **_upstream_details(result),
        )
    if isinstance(result, UpstreamAnswer):
        return _forwarded_answer(context, service, terms, result)
    if isinstance(result, StoredAnswer):
        context.counts.replayed += 1
        headers = _added_headers(outcome, terms.request_id) + (("Idempotency-Replayed", "true"),)
        return CallerResponse(
            result.status, result.headers + headers, result.body, len(result.body)
        )
    if isinstance(result, NotRun):
        return _not_run(result, terms.request_id)
    if isinstance(result, ClaimInProgress):
        headers = (("Retry-After", str(result.retry_after_s)),)
        return _text_answer(
            409,
            "in progress under this key",
            outcome,
            terms.request_id,
            headers,
        )
    if isinstance(result, AnswerNotKept):
        return _text_answer(
            409,
            "answered before; the answer was not kept",
            outcome,
            terms.request_id,
        )
    if isinstance(result, KeyReused):
        return _text_answer(422, "this key came with another request", outcome, terms.request_id)
    status = 504 if isinstance(result, RunUnknown) and result.timed_out else 502
    return _text_answer(status, "whether the request ran is unknown", outcome, terms.request_id)


def _upstream_details(result: UpstreamAnswer | StoredAnswer | Failure) -> dict[str, str]:
    if not isinstance(result, UpstreamAnswer):
        return {}
    upstream = result.upstream
    return {
        "upstream": upstream.upstream_id,
        "worker": upstream.worker_id,
        "zone": upstream.availability_zone,
    }


def _outcome_of(result: UpstreamAnswer | StoredAnswer | Failure) -> str:
    if isinstance(result, UpstreamAnswer | StoredAnswer | AnswerNotKept):
        return "answered"
    if isinstance(result, NotRun | KeyReused):
        return "not-run"
    return "unknown"


def _forwarded_answer(
    context: RequestContext, service: Service, terms: DeliveryTerms, upstream_answer: UpstreamAnswer
) -> CallerResponse:
    head = upstream_answer.head
    headers = returned_headers(head.headers) + _added_headers("answered", terms.request_id)
    body_source = upstream_answer.body_source
    if body_source is None:
        bodiless = terms.request.head.method == "HEAD"
        length = head.length if bodiless else len(upstream_answer.body)
        return CallerResponse(
            head.status, headers, upstream_answer.body, length, reason=head.reason
        )

    def stream(write: Callable[[bytes], None]) -> bool:
        complete = body_source.stream_body(write, service.timeout_s)
        if not complete:
            context.timeline.record("answer_cut", terms.request_id, service=service.name)
        return complete

    return CallerResponse(
        head.status,
        headers,
        upstream_answer.body,
        head.length,
        stream,
        head.reason,
        body_source.finish,
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


def _request_id(request: CallerRequest, vm_id: str, request_numbers: Iterator[int]) -> str:
    values = request.head.values(REQUEST_ID_LOWERCASE)
    if len(values) == 1 and _REQUEST_ID.fullmatch(values[0]):
        return values[0]
    return f"{vm_id}-{next(request_numbers)}"


def _added_headers(outcome: str, request_id: str) -> tuple[tuple[str, str], ...]:
    return ((OUTCOME_HEADER, outcome), (REQUEST_ID_HEADER, request_id))


def _not_run(failure: NotRun, request_id: str) -> CallerResponse:
    headers = (("Retry-After", str(failure.retry_after_s)),)
    return _text_answer(503, f"not run: {failure.reason}", "not-run", request_id, headers)


def _rejection(status: int, text: str, request_id: str) -> CallerResponse:
    return _text_answer(status, text, "not-run", request_id)


def _text_answer(
    status: int,
    text: str,
    outcome: str,
    request_id: str,
    headers: tuple[tuple[str, str], ...] = (),
) -> CallerResponse:
    body = text.encode() + b"\n"
    added = _added_headers(outcome, request_id) + (("Content-Type", "text/plain"),)
    return CallerResponse(status, added + headers, body, len(body))

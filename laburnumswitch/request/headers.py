"""Headers on their way between callers and upstreams."""

from collections.abc import Iterable

from laburnumswitch.connection.reader import CallerRequest

Headers = tuple[tuple[str, str], ...]

REQUEST_ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "Laburnumswitch-Outcome"
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_NOT_FORWARDED = HOP_BY_HOP | {"content-length", "expect", "x-forwarded-for", "x-request-id"}
_NOT_RETURNED = HOP_BY_HOP | {"content-length", "laburnumswitch-outcome", "x-request-id"}


def values_of(headers: Headers, lower_name: str) -> list[str]:
    """Return all values of a header."""
    return [value for name, value in headers if name.lower() == lower_name]


def encode_request(request: CallerRequest, request_id: str) -> bytes:
    """Return the request as it is sent to an upstream."""
    head = request.head
    listed = _listed_in_connection(head.headers)
    lines = [f"{head.method} {head.target} HTTP/1.1"]
    forwarded_for = request.caller
    for name, value in head.headers:
        lower_name = name.lower()
        if lower_name == "x-forwarded-for":
            forwarded_for = f"{value}, {request.caller}"
        if lower_name not in _NOT_FORWARDED and lower_name not in listed:
            lines.append(f"{name}: {value}")
    lines.append(f"X-Forwarded-For: {forwarded_for}")
    lines.append(f"{REQUEST_ID_HEADER}: {request_id}")
    if request.body or head.chunked or _declares_empty_body(head.headers):
        lines.append(f"Content-Length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + request.body


def returned_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's answer that its caller gets."""
    listed = _listed_in_connection(headers)
    return tuple(
        [
            (name, value)
            for name, value in headers
            if name.lower() not in _NOT_RETURNED and name.lower() not in listed
        ]
    )


def _declares_empty_body(headers: Headers) -> bool:
    return bool(values_of(headers, "content-length"))


def _listed_in_connection(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    listed = [value for name, value in headers if name.lower() == "connection"]
    if not listed:
        return frozenset()
    options = frozenset(option.strip().lower() for value in listed for option in value.split(","))
    # Host and the fields that carry the framing stay, whatever a caller lists.
    return options - {"host", "content-length", "content-type", "idempotency-key"}

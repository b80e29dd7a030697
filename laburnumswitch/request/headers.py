"""Encoding and filtering of the headers exchanged between callers and upstreams."""

from laburnumswitch.connection.request_reader import CallerRequest

Headers = tuple[tuple[str, str], ...]

REQUEST_ID_HEADER = "X-Request-Id"
REQUEST_ID_LOWERCASE = "x-request-id"
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
_NOT_CONNECTION_OPTIONS = frozenset(("host", "content-length", "content-type", "idempotency-key"))
_NOT_FORWARDED = HOP_BY_HOP | {"content-length", "expect", "x-forwarded-for", "x-request-id"}
_NOT_RETURNED = HOP_BY_HOP | {"content-length", "laburnumswitch-outcome", "x-request-id"}


def header_values(headers: Headers, lower_name: str) -> list[str]:
    """Return all values of the header ``lower_name``."""
    return [value for name, value in headers if name.lower() == lower_name]


def encode_request(request: CallerRequest, request_id: str) -> bytes:
    """Return the bytes of the request as sent to an upstream."""
    head = request.head
    dropped = _NOT_FORWARDED
    if head.values("connection"):
        dropped = dropped | _connection_options(head.values("connection"))
    lines = [f"{head.method} {head.target} HTTP/1.1"]
    lines.extend([line for name, line in head.lines if name not in dropped])
    forwarded_for = ", ".join((*head.values("x-forwarded-for"), request.caller))
    lines.append(f"X-Forwarded-For: {forwarded_for}")
    lines.append(f"{REQUEST_ID_HEADER}: {request_id}")
    if request.body or head.chunked or head.values("content-length"):
        lines.append(f"Content-Length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + request.body


def returned_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's answer that are passed on to the caller."""
    named = [(name.lower(), name, value) for name, value in headers]
    dropped = _NOT_RETURNED
    connection_values = [value for lower_name, _, value in named if lower_name == "connection"]
    if connection_values:
        dropped = dropped | _connection_options(connection_values)
    return tuple([(name, value) for lower_name, name, value in named if lower_name not in dropped])


def _connection_options(values: list[str]) -> frozenset[str]:
    options = frozenset(option.strip().lower() for value in values for option in value.split(","))
    # Headers that carry the meaning or the length of a request are never hop-by-hop, even if
    # ``Connection`` lists them.
    return options - _NOT_CONNECTION_OPTIONS

"""Strict parser of request heads, which refuses what another parser may read differently."""

from re import compile as compile_pattern
from typing import NamedTuple

from laburnumswitch.exceptions import CallerRefused

STATUS_BAD_REQUEST = 400
STATUS_NOT_IMPLEMENTED = 501
STATUS_VERSION_NOT_SUPPORTED = 505
STATUS_EXPECTATION_FAILED = 417
STATUS_FIELDS_TOO_LARGE = 431
# A header of a few bytes takes about fifty times as many once it is parsed.
MAX_FIELDS = 128
MAX_CONTENT_LENGTH_DIGITS = 15

_REQUEST_LINE = compile_pattern(
    r"([!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}) ([\x21-\x7e]+) HTTP/([0-9])\.([0-9])"
)
_FIELD = compile_pattern(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\x00-\x08\x0a-\x1f\x7f]*)")
_HOST = compile_pattern(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z._-]+)(?::([0-9]{1,5}))?")
_DIGITS = compile_pattern(r"[0-9]+")
_FRAMING_FIELDS = frozenset(("connection", "content-length", "host", "transfer-encoding"))
_UNSUPPORTED_METHODS = frozenset(("CONNECT", "TRACE"))


class RequestHead(NamedTuple):
    """A validated head. ``host`` is lower-case and has no port; ``target`` is in origin form.

    ``content_length`` is 0 unless the head declares one. ``lines`` pairs each header's lower-case
    name with the whole line as it was sent; ``values_by_name`` is keyed by lower-case names.
    """

    method: str
    target: str
    host: str
    lines: tuple[tuple[str, str], ...]
    values_by_name: dict[str, list[str]]
    content_length: int
    chunked: bool
    expects_continue: bool
    keep_alive: bool
    minor_version: int

    def values(self, lower_name: str) -> list[str]:
        """Return all values of a header, in the order in which they were sent."""
        return self.values_by_name.get(lower_name, [])


def parse_head(raw: bytes, needs_host: bool = True) -> RequestHead | CallerRefused:
    """Parse and validate a request head.

    :param raw: the bytes before the empty line that ends the head.
    :param needs_host: whether a head without ``Host`` is refused. Health checks often have none.
    """
    if raw.count(b"\r\n") > MAX_FIELDS:
        return CallerRefused(STATUS_FIELDS_TOO_LARGE, "too many headers")
    request_line, *fields = raw.decode("latin-1").split("\r\n")
    line = _REQUEST_LINE.fullmatch(request_line)
    if line is None:
        return CallerRefused(STATUS_BAD_REQUEST, "malformed request line")
    method, target, major_version, minor_version = line.groups()
    if major_version != "1" or minor_version not in ("0", "1"):
        return CallerRefused(STATUS_VERSION_NOT_SUPPORTED, "only HTTP/1.0 and HTTP/1.1 are spoken")
    if method in _UNSUPPORTED_METHODS:
        return CallerRefused(STATUS_NOT_IMPLEMENTED, f"method {method} is not supported")
    lines = []
    values_by_name: dict[str, list[str]] = {}
    for text in fields:
        field = _FIELD.fullmatch(text)
        if field is None:
            return CallerRefused(STATUS_BAD_REQUEST, "malformed header line")
        name, value = field.groups()
        name = name.lower()
        if "_" in name and name.replace("_", "-") in _FRAMING_FIELDS:
            # Some upstreams treat underscores in header names as hyphens.
            return CallerRefused(STATUS_BAD_REQUEST, "misleading header name")
        lines.append((name, text))
        values_by_name.setdefault(name, []).append(value.strip(" \t"))
    return _validate(method, target, int(minor_version), tuple(lines), values_by_name, needs_host)


def _validate(
    method: str,
    target: str,
    minor_version: int,
    lines: tuple[tuple[str, str], ...],
    values_by_name: dict[str, list[str]],
    needs_host: bool,
) -> RequestHead | CallerRefused:
    hosts = values_by_name.get("host", [] if needs_host else [""])
    if len(hosts) != 1:
        return CallerRefused(STATUS_BAD_REQUEST, "exactly one Host is needed")
    host = _HOST.fullmatch(hosts[0])
    if host is None and (needs_host or hosts[0]):
        return CallerRefused(STATUS_BAD_REQUEST, "malformed Host")
    origin_target = _origin_form(method, target, hosts[0])
    if origin_target is None:
        return CallerRefused(STATUS_BAD_REQUEST, "malformed request target")
    lengths = values_by_name.get("content-length", [])
    codings = values_by_name.get("transfer-encoding", [])
    if lengths or codings:
        failure = _validate_framing(lengths, codings, minor_version)
        if failure is not None:
            return failure
    expectations = values_by_name.get("expect", [])
    if expectations and [value.lower() for value in expectations] != ["100-continue"]:
        return CallerRefused(STATUS_EXPECTATION_FAILED, "unknown expectation")
    return RequestHead(
        method,
        origin_target,
        host[1].lower() if host else "",
        lines,
        values_by_name,
        int(lengths[0]) if lengths else 0,
        bool(codings),
        bool(expectations) and minor_version == 1,
        _is_keep_alive(values_by_name.get("connection", []), minor_version),
        minor_version,
    )


def _validate_framing(
    lengths: list[str], codings: list[str], minor_version: int
) -> CallerRefused | None:
    if lengths and codings:
        return CallerRefused(STATUS_BAD_REQUEST, "Content-Length beside Transfer-Encoding")
    if len(lengths) > 1:
        return CallerRefused(STATUS_BAD_REQUEST, "repeated Content-Length")
    if lengths and not _DIGITS.fullmatch(lengths[0]):
        return CallerRefused(STATUS_BAD_REQUEST, "malformed Content-Length")
    if lengths and len(lengths[0]) > MAX_CONTENT_LENGTH_DIGITS:
        return CallerRefused(STATUS_BAD_REQUEST, "malformed Content-Length")
    if codings and minor_version == 0:
        return CallerRefused(STATUS_BAD_REQUEST, "Transfer-Encoding in HTTP/1.0")
    if codings and (len(codings) > 1 or codings[0].lower() != "chunked"):
        return CallerRefused(STATUS_NOT_IMPLEMENTED, "unknown Transfer-Encoding")
    return None


def _origin_form(method: str, target: str, host: str) -> str | None:
    if target.startswith("/"):
        return None if "#" in target else target
    if target == "*" and method == "OPTIONS":
        return target
    prefix = f"http://{host}".lower()
    if not target.lower().startswith(prefix) or "#" in target:
        return None
    rest = target[len(prefix) :]
    if rest == "" or rest.startswith("?"):
        return "/" + rest
    return rest if rest.startswith("/") else None


def _is_keep_alive(values: list[str], minor_version: int) -> bool:
    if not values:
        return minor_version == 1
    options = {option.strip().lower() for value in values for option in value.split(",")}
    if "close" in options:
        return False
    return minor_version == 1 or "keep-alive" in options

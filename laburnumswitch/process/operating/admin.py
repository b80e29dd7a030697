"""Admin port: health, metrics, and the endpoints for peers and operators.

It is separate from the callers' port. Health and metrics need no authentication; peers and
operators authenticate with a shared key.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs

from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.json import encode

from laburnumswitch.connection.client_limits import make_constant_clients
from laburnumswitch.connection.client_limits import PortClients
from laburnumswitch.connection.lenient import decode_known_fields
from laburnumswitch.connection.request_reader import CallerLimits
from laburnumswitch.connection.server import BoundedServer
from laburnumswitch.connection.server import make_server
from laburnumswitch.connection.server import REASONS
from laburnumswitch.exceptions import CallerRefused

BODY_LIMIT_BYTES = 4 * 1024 * 1024
DEFAULT_LIMITS = CallerLimits(body_bytes=BODY_LIMIT_BYTES, connections=1024)
# Each field of a query takes about a hundred times its shortest length once it is decoded.
MAX_QUERY_FIELDS = 64
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"
UNAUTHENTICATED_PATHS = frozenset({"healthz", "readyz", "metrics"})


class AdminRequest(NamedTuple):
    """Request; ``path_parts`` are the path segments after the one that selects the handler."""

    method: str
    path_parts: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def decode(self, body_type: type) -> Any:
        """Return the JSON body as ``body_type``; errors of msgspec propagate."""
        return decode_known_fields(self.body, body_type)


class AdminReply(NamedTuple):
    """Response of the admin port; ``content_encoding`` is empty for a body as it is."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    content_encoding: str = ""


class ErrorBody(NamedTuple):
    """JSON body of an error response."""

    error: str


Handler = Callable[[AdminRequest], AdminReply]


class TrafficCounter:
    """Counts the body bytes received and sent on this port."""

    def __init__(self) -> None:
        self.body_bytes = 0


class AdminContext(NamedTuple):
    """Handlers by first path segment, check of the ``Authorization`` header, and byte counter."""

    handlers: Mapping[str, Handler]
    is_authorized: Callable[[str], bool]
    traffic: TrafficCounter


def reply_json(value: object, status: int = 200) -> AdminReply:
    """Return a response with ``value`` as JSON."""
    return AdminReply(status, encode(value))


def reject(status: int, error: str) -> AdminReply:
    """Return an error response whose body contains ``error``."""
    return reply_json(ErrorBody(error), status)


def make_admin_server(
    address: str,
    context: AdminContext,
    ssl_arguments: Mapping[str, Any] | None = None,
    clients: PortClients | None = None,
) -> BoundedServer:
    """Return the server of the admin port, without starting it.

    :param clients: bounds on the port's clients, if others than ``DEFAULT_LIMITS``.
    """

    def application(
        environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        reply = _handle(environ, context)
        context.traffic.body_bytes += len(reply.body) + int(environ.get("CONTENT_LENGTH") or 0)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        if reply.content_encoding:
            headers.append(("Content-Encoding", reply.content_encoding))
        start_response(f"{reply.status} {REASONS[reply.status]}", headers)
        return [reply.body]

    clients = clients or make_constant_clients("admin", DEFAULT_LIMITS)
    return make_server(address, application, clients, **(ssl_arguments or {}))


def _handle(environ: dict[str, Any], context: AdminContext) -> AdminReply:
    first, *rest = environ["PATH_INFO"].strip("/").split("/")
    handler = context.handlers.get(first)
    if handler is None:
        return reject(404, "NotFound")
    authorization = environ.get("HTTP_AUTHORIZATION", "")
    if first not in UNAUTHENTICATED_PATHS and not context.is_authorized(authorization):
        return reject(401, "Unauthorized")
    body = environ["wsgi.input"].read()
    if isinstance(body, CallerRefused):
        return reject(body.status, body.reason)
    try:
        fields = parse_qs(environ["QUERY_STRING"], max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        return reject(400, "TooManyFields")
    query = {name: values[-1] for name, values in fields.items()}
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    request = AdminRequest(environ["REQUEST_METHOD"], tuple(rest), query, headers, body)
    try:
        return handler(request)
    except (DecodeError, ValidationError) as error:
        return reject(400, f"{type(error).__name__}: {error}")

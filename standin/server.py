"""HTTP server of the stand-ins, whose handler maps a call to a reply."""

from collections.abc import Callable
from collections.abc import Iterable
from errno import ECONNRESET
from http import HTTPStatus
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qsl

from gevent import GreenletExit
from gevent.pool import Pool
from msgspec.json import encode

from laburnumswitch.connection.server import NoDelayServer

HEADER_PREFIX = "HTTP_"


class Call(NamedTuple):
    """One request; ``headers`` are by lower-case name, ``peer`` is the client's ``IP:port``."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str = ""


class Reply(NamedTuple):
    """One response; only half of the body is sent if it is ``truncated``."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"
    truncated: bool = False


class AnswerDroppedError(ConnectionResetError):
    """Raised by a handler to close the connection without an answer."""

    def __init__(self) -> None:
        super().__init__(ECONNRESET, "connection closed without an answer")


Handler = Callable[[Call], Reply]


def json_reply(value: Any) -> Reply:
    """Return ``value`` as JSON with status 200."""
    return Reply(HTTPStatus.OK, encode(value))


def throttled_reply(retry_after_s: float) -> Reply:
    """Return the answer to a call that exceeds a rate budget."""
    return Reply(HTTPStatus.TOO_MANY_REQUESTS, headers=(("Retry-After", str(retry_after_s)),))


UNAVAILABLE = Reply(HTTPStatus.SERVICE_UNAVAILABLE, b"unavailable", content_type="text/plain")
NOT_FOUND = Reply(HTTPStatus.NOT_FOUND, b"not found", content_type="text/plain")


def start_server(address: str, handle: Handler) -> NoDelayServer:
    """Start a server for ``handle`` on ``address``, such as ``127.0.0.1:0``, and return it.

    Stopping the server with a timeout of 0 closes its connections immediately.
    """
    host, _, port = address.rpartition(":")

    def application(environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        try:
            reply = handle(_parse_call(environ))
        except GreenletExit as error:
            raise AnswerDroppedError from error
        status = HTTPStatus(reply.status)
        headers = [("Content-Length", str(len(reply.body))), ("Content-Type", reply.content_type)]
        start_response(f"{status.value} {status.phrase}", headers + list(reply.headers))
        return _truncated_body(reply.body) if reply.truncated else [reply.body]

    spawn = Pool()
    server = NoDelayServer((host, int(port)), application, backlog=1024, spawn=spawn, log=None)
    # Avoids a DNS look-up of the host's own name.
    server.environ["SERVER_NAME"] = host
    server.start()
    return server


def bound_address(server: NoDelayServer) -> str:
    """Return the address on which a started server listens."""
    return f"{server.server_host}:{server.server_port}"


def _truncated_body(body: bytes) -> Iterable[bytes]:
    yield body[: len(body) // 2]
    raise AnswerDroppedError


def _parse_call(environ: dict[str, Any]) -> Call:
    headers = {
        name[len(HEADER_PREFIX) :].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith(HEADER_PREFIX)
    }
    return Call(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(parse_qsl(environ["QUERY_STRING"])),
        headers,
        environ["wsgi.input"].read(),
        f"{environ['REMOTE_ADDR']}:{environ['REMOTE_PORT']}",
    )

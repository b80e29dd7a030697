"""The callers' port: HTTP requests about jobs, by the WSGI server."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from laburnumswitch.connection.server import make_server
from laburnumswitch.connection.server import NoDelayServer
from laburnumswitch.connection.server import REASONS
from laburnumswitch.request.submission import JobReply
from laburnumswitch.request.submission import JobRequest
from laburnumswitch.units import MS_PER_S

# Connections that wait to be accepted after a burst of new callers.
BACKLOG = 512


class InFlight:
    """Counts the requests that are being answered."""

    def __init__(self) -> None:
        self.count = 0
        self.answered_by_status: dict[int, int] = {}


def make_callers_port(
    address: str,
    answer: Callable[[JobRequest], JobReply],
    in_flight: InFlight,
    is_leaving: Callable[[], bool],
    patience_header: str,
    body_limit: Callable[[], int],
) -> NoDelayServer:
    """Return the server of the callers' port, not yet started.

    :param patience_header: name, as WSGI spells it, of the header with the callers' patience in ms.
    """

    def application(
        environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        in_flight.count += 1
        try:
            reply = _answer(environ)
        finally:
            in_flight.count -= 1
        statuses = in_flight.answered_by_status
        statuses[reply.status] = statuses.get(reply.status, 0) + 1
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(reply.body))),
        ]
        if reply.retry_after_s:
            headers.append(("Retry-After", str(reply.retry_after_s)))
        if is_leaving():
            headers.append(("Connection", "close"))
        start_response(f"{reply.status} {REASONS[reply.status]}", headers)
        return [reply.body]

    def _answer(environ: dict[str, Any]) -> JobReply:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > body_limit():
            return JobReply(413)
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        patience = environ.get(patience_header, "")
        return answer(
            JobRequest(
                environ["REQUEST_METHOD"],
                host,
                environ["PATH_INFO"],
                environ["wsgi.input"].read(length) if length else b"",
                float(patience) / MS_PER_S if patience.isdigit() else 0.0,
            )
        )

    return make_server(address, application, backlog=BACKLOG)

"""WSGI server of the dispatch daemon's job API."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from laburnumswitch.connection.client_limits import PortClients
from laburnumswitch.connection.server import BoundedServer
from laburnumswitch.connection.server import make_server
from laburnumswitch.connection.server import REASONS
from laburnumswitch.exceptions import CallerRefused
from laburnumswitch.request.job_api import JobReply
from laburnumswitch.request.job_api import JobRequest
from laburnumswitch.units import MS_PER_S

# Absorbs bursts of new connections.
LISTEN_BACKLOG = 512
STATUS_UNAUTHORIZED = 401


class InFlightCounter:
    """Counts requests in flight, and answered requests by status."""

    def __init__(self) -> None:
        self.count = 0
        self.answered_by_status: dict[int, int] = {}


def make_job_server(
    address: str,
    refuse_early: Callable[[JobRequest], JobReply | None],
    answer: Callable[[JobRequest], JobReply],
    in_flight: InFlightCounter,
    is_leaving: Callable[[], bool],
    timeout_header: str,
    clients: PortClients,
) -> BoundedServer:
    """Return the server of the job API, not yet started.

    :param refuse_early: returns the refusal of a request without its body, ``None`` if the body has
        to be read.
    :param is_leaving: whether connections are closed after their answers, so that callers use other
        entries.
    :param timeout_header: WSGI name of the header that holds the caller's timeout in ms.
    :param clients: the clients of this port and their limits.
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
        if reply.status == STATUS_UNAUTHORIZED:
            headers.append(("WWW-Authenticate", "Bearer"))
        if is_leaving():
            headers.append(("Connection", "close"))
        start_response(f"{reply.status} {REASONS[reply.status]}", headers)
        return [reply.body]

    def _answer(environ: dict[str, Any]) -> JobReply:
        timeout_ms = environ.get(timeout_header, "")
        request = JobRequest(
            environ["REQUEST_METHOD"],
            environ.get("HTTP_HOST", "").partition(":")[0],
            environ["PATH_INFO"],
            b"",
            # ``isdigit`` accepts digits that ``float`` does not, such as superscripts.
            float(timeout_ms) / MS_PER_S if timeout_ms.isdecimal() else 0.0,
            environ.get("HTTP_AUTHORIZATION", ""),
        )
        refusal = refuse_early(request)
        if refusal is not None:
            return refusal
        body = environ["wsgi.input"].read()
        if isinstance(body, CallerRefused):
            retry_after_s = clients.next_retry_after_s() if body.status == 503 else 0
            return JobReply(body.status, retry_after_s=retry_after_s)
        return answer(request._replace(body=body))

    return make_server(address, application, clients, backlog=LISTEN_BACKLOG)

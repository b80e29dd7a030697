"""HTTP server of the callers' port: gevent's WSGI server with a strict request handler.

The application takes a typed request and returns a typed response, in place of the WSGI environment
and ``start_response``: the environment can't carry repeated headers, and a response has to be able
to report that it was cut short.
"""

from collections.abc import Callable
from http.client import responses
from ssl import SSLContext
from time import monotonic
from typing import NamedTuple

from absl import logging
from gevent import Greenlet
from gevent import sleep
from gevent import socket
from gevent import spawn
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler

from laburnumswitch.connection.linger import drain_before_close
from laburnumswitch.connection.linger import LINGER_TIMEOUT_S
from laburnumswitch.connection.linger import MAX_LINGER_BYTES
from laburnumswitch.connection.readable import is_readable
from laburnumswitch.connection.request_head import RequestHead
from laburnumswitch.connection.request_reader import CallerClosed
from laburnumswitch.connection.request_reader import CallerLimits
from laburnumswitch.connection.request_reader import CallerRequest
from laburnumswitch.connection.request_reader import RequestReader
from laburnumswitch.connection.request_reader import STATUS_UNAVAILABLE
from laburnumswitch.connection.server import NoDelayServer
from laburnumswitch.connection.tls import ServerTls
from laburnumswitch.exceptions import CallerRefused

OUTCOME_HEADER = "Laburnumswitch-Outcome"
STATUS_INTERNAL_ERROR = 500
DRAIN_POLL_S = 0.02
IDLE_SWEEP_INTERVAL_S = 1.0
BACKLOG_CONNECTIONS = 1_024
BODILESS_STATUSES = frozenset((204, 304))

Write = Callable[[bytes], None]


class CallerResponse(NamedTuple):
    """One response to a caller, without hop-by-hop headers.

    ``body`` is sent first; ``stream``, if any, then writes the rest in blocks and returns whether
    the body is complete. ``length`` is that of the whole body in bytes, ``None`` if it isn't known
    beforehand. A response that was cut short closes the connection, so that the caller notices it.
    ``close`` is always called at the end, even if ``stream`` was not.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    length: int | None = None
    stream: Callable[[Write], bool] | None = None
    reason: str = ""
    close: Callable[[], None] | None = None


Application = Callable[[CallerRequest], CallerResponse]


class StrictHandler(WSGIHandler):
    """Reads the requests of one caller's connection strictly and answers them."""

    def __init__(self, sock: socket.socket, address: tuple, server: "CallerServer") -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile=RequestReader(sock))
        self.idle_since_s = 0.0

    def handle_one_request(self) -> bool | None:
        """Read one request and send its response.

        :return: ``True`` to keep the connection open, ``None`` to close it.
        """
        if not self._wait_for_request():
            return None
        self.server.busy_count += 1
        try:
            return self._handle_request()
        finally:
            self.server.busy_count -= 1

    def _wait_for_request(self) -> bool:
        self.idle_since_s = monotonic()
        self.server.idle_handlers.add(self)
        try:
            return self.rfile.await_first_byte()
        finally:
            self.server.idle_handlers.discard(self)

    def _handle_request(self) -> bool | None:
        limits = self.server.limits
        head = self.rfile.read_head(limits)
        if isinstance(head, CallerClosed):
            return None
        if isinstance(head, CallerRefused):
            return self._refuse(head)
        reserved_bytes = limits.body_bytes if head.chunked else head.content_length
        if self.server.reserved_body_bytes + reserved_bytes > limits.total_body_bytes:
            return self._refuse(CallerRefused(STATUS_UNAVAILABLE, "too many bodies at a time"))
        self.server.reserved_body_bytes += reserved_bytes
        try:
            return self._read_body_and_respond(head)
        finally:
            self.server.reserved_body_bytes -= reserved_bytes

    def _read_body_and_respond(self, head: RequestHead) -> bool | None:
        body = self.rfile.read_body(head, self.server.limits)
        if isinstance(body, CallerClosed):
            return None
        if isinstance(body, CallerRefused):
            return self._refuse(body)
        return self._respond(CallerRequest(head, body, str(self.client_address[0]), monotonic()))

    def _respond(self, request: CallerRequest) -> bool | None:
        try:
            response = self.server.application(request)
        except Exception:
            logging.exception("unhandled exception while answering a caller's request")
            response = CallerResponse(
                STATUS_INTERNAL_ERROR, ((OUTCOME_HEADER, "unknown"),), length=0
            )
        try:
            return self._send(request, response)
        finally:
            if response.close is not None:
                response.close()

    def _send(self, request: CallerRequest, response: CallerResponse) -> bool | None:
        head = request.head
        keep_alive = head.keep_alive and not self.server.draining
        bodiless = head.method == "HEAD" or response.status in BODILESS_STATUSES
        chunked = response.length is None and head.minor_version == 1 and not bodiless
        if response.length is None and not chunked and not bodiless:
            keep_alive = False
        encoded_head = _encode_head(response, chunked, keep_alive, head.minor_version)
        try:
            self.socket.settimeout(self.server.limits.send_s)
            if bodiless:
                self._send_all(encoded_head)
                return True if keep_alive else None
            if not self._send_body(encoded_head, response, chunked):
                return None
        except OSError:
            return None
        return True if keep_alive else None

    def _send_body(self, encoded_head: bytes, response: CallerResponse, chunked: bool) -> bool:
        send = self._send_all
        if not chunked:
            send(encoded_head + response.body)
            return response.stream is None or response.stream(send)

        def send_chunk(block: bytes) -> None:
            if block:
                send(b"%x\r\n%b\r\n" % (len(block), block))

        send(encoded_head)
        send_chunk(response.body)
        if response.stream is not None and not response.stream(send_chunk):
            return False
        send(b"0\r\n\r\n")
        return True

    def _send_all(self, data: bytes) -> None:
        # One send() nearly always takes everything and avoids the overhead of sendall().
        sent = self.socket.send(data)
        if sent < len(data):
            self.socket.sendall(memoryview(data)[sent:])

    def _refuse(self, refusal: CallerRefused) -> None:
        body = refusal.reason.encode() + b"\n"
        headers = ((OUTCOME_HEADER, "not-run"), ("Content-Type", "text/plain"))
        if refusal.status == STATUS_UNAVAILABLE:
            headers += (("Retry-After", "1"),)
        response = CallerResponse(refusal.status, headers, body, len(body))
        try:
            self.socket.settimeout(LINGER_TIMEOUT_S)
            self.socket.sendall(_encode_head(response, False, False, 1) + body)
            drain_before_close(self.socket, MAX_LINGER_BYTES)
        except OSError:
            return


class CallerServer(NoDelayServer):
    """HTTP server of the callers' port.

    ``busy_count`` is the number of requests from their first byte until their response is sent.
    ``reserved_body_bytes`` is the memory reserved for the bodies of these requests: the declared
    length of a body, or the maximum for a chunked one. ``idle_handlers`` holds the handlers of
    connections that wait for a request.
    """

    handler_class = StrictHandler

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        limits: CallerLimits,
        ssl_context: SSLContext | ServerTls | None = None,
    ) -> None:
        options = {} if ssl_context is None else {"ssl_context": ssl_context}
        super().__init__(
            address,
            application,
            backlog=BACKLOG_CONNECTIONS,
            spawn=Pool(limits.connections),
            log=None,
            error_log=None,
            **options,
        )
        self.limits = limits
        self.draining = False
        self.busy_count = 0
        self.reserved_body_bytes = 0
        self.idle_handlers: set[StrictHandler] = set()
        self._idle_sweeper: Greenlet | None = None

    def start(self) -> None:
        """Start listening, and the greenlet that closes connections after their idle timeout."""
        super().start()
        if self._idle_sweeper is None:
            self._idle_sweeper = spawn(self._sweep_idle)

    def close(self) -> None:
        """Stop listening."""
        if self._idle_sweeper is not None:
            self._idle_sweeper.kill(block=False)
            self._idle_sweeper = None
        super().close()

    def drain(self, timeout_s: float) -> bool:
        """Stop accepting connections and wait for the requests in flight.

        Requests that still arrive on open connections are answered with ``Connection: close``.

        :param timeout_s: longest wait in seconds.
        :return: whether every request in flight was answered.
        """
        self.draining = True
        # Give the server time to accept the connections that wait in the backlog.
        sleep(DRAIN_POLL_S)
        self.close()
        deadline_s = monotonic() + timeout_s
        while monotonic() < deadline_s:
            if self.busy_count == 0:
                self._close_idle(monotonic())
            if self.busy_count == 0 and not self.idle_handlers:
                return True
            sleep(DRAIN_POLL_S)
        return self.busy_count == 0

    def _sweep_idle(self) -> None:
        interval_s = min(IDLE_SWEEP_INTERVAL_S, self.limits.idle_s / 2)
        while True:
            sleep(interval_s)
            self._close_idle(monotonic() - self.limits.idle_s)

    def _close_idle(self, idle_before_s: float) -> None:
        for handler in list(self.idle_handlers):
            if handler.idle_since_s <= idle_before_s and not is_readable(handler.socket):
                handler.socket.close()

    def wrap_socket_and_handle(self, client_socket: socket.socket, address: tuple) -> object:
        """Handle a connection over TLS, with a timeout for the handshake."""
        client_socket.settimeout(self.limits.head_s)
        return super().wrap_socket_and_handle(client_socket, address)


def _encode_head(
    response: CallerResponse, chunked: bool, keep_alive: bool, minor_version: int
) -> bytes:
    reason = response.reason or responses.get(response.status, "")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines.extend([f"{name}: {value}" for name, value in response.headers])
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif response.length is not None and response.status not in BODILESS_STATUSES:
        lines.append(f"Content-Length: {response.length}")
    if not keep_alive:
        lines.append("Connection: close")
    elif minor_version == 0:
        lines.append("Connection: keep-alive")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")

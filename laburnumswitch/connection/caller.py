"""The callers' port: gevent's WSGI server with a handler that reads requests strictly.

The handler gives the application a typed request and takes a typed answer, in place of the WSGI
environment and ``start_response``: the environment can't carry repeated headers, and an answer has
to be able to say that it was cut short.
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

from laburnumswitch.connection.head import RequestHead
from laburnumswitch.connection.readable import is_readable
from laburnumswitch.connection.reader import CallerClosed
from laburnumswitch.connection.reader import CallerLimits
from laburnumswitch.connection.reader import CallerRequest
from laburnumswitch.connection.reader import SocketReader
from laburnumswitch.connection.server import NoDelayServer
from laburnumswitch.connection.tls import ServerTls
from laburnumswitch.exceptions import CallerRefused

OUTCOME_HEADER = "Laburnumswitch-Outcome"
STATUS_INTERNAL_ERROR = 500
STATUS_UNAVAILABLE = 503
DRAIN_POLL_S = 0.02
IDLE_SWEEP_S = 1.0
LINGER_S = 1.0
LINGER_BYTES = 1_048_576
READ_BLOCK_BYTES = 65_536
BACKLOG_CONNECTIONS = 1_024
BODILESS_STATUSES = frozenset((204, 304))

Write = Callable[[bytes], None]


class CallerAnswer(NamedTuple):
    """One answer for a caller, already without hop-by-hop headers.

    ``body`` is sent first; ``stream``, if any, then writes the rest in blocks and returns whether
    the body is whole. ``length`` is that of the whole body in bytes, ``None`` where it isn't known
    beforehand. An answer that was cut short closes the connection, so that the caller sees it.
    ``close`` is called in the end in any case, also where ``stream`` never was.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    length: int | None = None
    stream: Callable[[Write], bool] | None = None
    reason: str = ""
    close: Callable[[], None] | None = None


Application = Callable[[CallerRequest], CallerAnswer]


class StrictHandler(WSGIHandler):
    """Handles one caller's connection."""

    def __init__(self, sock: socket.socket, address: tuple, server: "CallerServer") -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile=SocketReader(sock))
        self.idle_since_s = 0.0

    def handle_one_request(self) -> bool | None:
        """Read one request and answer it.

        :return: ``True`` to go on with this connection, ``None`` to close it.
        """
        if not self._await_request():
            return None
        self.server.busy += 1
        try:
            return self._handle_request()
        finally:
            self.server.busy -= 1

    def _await_request(self) -> bool:
        self.idle_since_s = monotonic()
        self.server.idle.add(self)
        try:
            return self.rfile.await_first_byte()
        finally:
            self.server.idle.discard(self)

    def _handle_request(self) -> bool | None:
        limits = self.server.limits
        head = self.rfile.read_head(limits)
        if isinstance(head, CallerClosed):
            return None
        if isinstance(head, CallerRefused):
            return self._refuse(head)
        held_bytes = limits.body_bytes if head.chunked else head.content_length
        if self.server.held_bytes + held_bytes > limits.held_bytes:
            return self._refuse(CallerRefused(STATUS_UNAVAILABLE, "too many bodies at a time"))
        self.server.held_bytes += held_bytes
        try:
            return self._read_and_answer(head)
        finally:
            self.server.held_bytes -= held_bytes

    def _read_and_answer(self, head: RequestHead) -> bool | None:
        body = self.rfile.read_body(head, self.server.limits)
        if isinstance(body, CallerClosed):
            return None
        if isinstance(body, CallerRefused):
            return self._refuse(body)
        return self._answer(CallerRequest(head, body, str(self.client_address[0]), monotonic()))

    def _answer(self, request: CallerRequest) -> bool | None:
        try:
            answer = self.server.application(request)
        except Exception:
            logging.exception("a request could not be answered")
            answer = CallerAnswer(STATUS_INTERNAL_ERROR, ((OUTCOME_HEADER, "unknown"),), length=0)
        try:
            return self._send(request, answer)
        finally:
            if answer.close is not None:
                answer.close()

    def _send(self, request: CallerRequest, answer: CallerAnswer) -> bool | None:
        head = request.head
        keep_alive = head.keep_alive and not self.server.draining
        bodiless = head.method == "HEAD" or answer.status in BODILESS_STATUSES
        chunked = answer.length is None and head.minor_version == 1 and not bodiless
        if answer.length is None and not chunked and not bodiless:
            keep_alive = False
        encoded = _encode_head(answer, chunked, keep_alive, head.minor_version)
        try:
            self.socket.settimeout(self.server.limits.send_s)
            if bodiless:
                self._send_whole(encoded)
                return True if keep_alive else None
            if not self._send_body(encoded, answer, chunked):
                return None
        except OSError:
            return None
        return True if keep_alive else None

    def _send_body(self, encoded: bytes, answer: CallerAnswer, chunked: bool) -> bool:
        send = self._send_whole
        if not chunked:
            send(encoded + answer.body)
            return answer.stream is None or answer.stream(send)

        def send_chunk(block: bytes) -> None:
            if block:
                send(b"%x\r\n%b\r\n" % (len(block), block))

        send(encoded)
        send_chunk(answer.body)
        if answer.stream is not None and not answer.stream(send_chunk):
            return False
        send(b"0\r\n\r\n")
        return True

    def _send_whole(self, data: bytes) -> None:
        # Nearly always one call sends everything, and spares what sendall asks of the socket first.
        sent = self.socket.send(data)
        if sent < len(data):
            self.socket.sendall(memoryview(data)[sent:])

    def _refuse(self, refused: CallerRefused) -> None:
        body = refused.reason.encode() + b"\n"
        headers = ((OUTCOME_HEADER, "not-run"), ("Content-Type", "text/plain"))
        if refused.status == STATUS_UNAVAILABLE:
            headers += (("Retry-After", "1"),)
        answer = CallerAnswer(refused.status, headers, body, len(body))
        try:
            self.socket.settimeout(LINGER_S)
            self.socket.sendall(_encode_head(answer, False, False, 1) + body)
            self.socket.shutdown(socket.SHUT_WR)
            self._linger()
        except OSError:
            return

    def _linger(self) -> None:
        # Closing a socket with unread bytes resets it, which could destroy the refusal on its way.
        deadline_s = monotonic() + LINGER_S
        left_bytes = LINGER_BYTES
        while left_bytes > 0:
            left_s = deadline_s - monotonic()
            if left_s <= 0:
                return
            self.socket.settimeout(left_s)
            block = self.socket.recv(READ_BLOCK_BYTES)
            if not block:
                return
            left_bytes -= len(block)


class CallerServer(NoDelayServer):
    """The callers' port.

    ``busy`` counts requests from their first byte until their answer is sent, ``held_bytes`` the
    bytes of their bodies. ``idle`` holds the connections that wait for their next request.
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
        self.busy = 0
        self.held_bytes = 0
        self.idle: set[StrictHandler] = set()
        self._idle_sweep: Greenlet | None = None

    def start(self) -> None:
        """Start listening, and closing connections that stay idle for too long."""
        super().start()
        if self._idle_sweep is None:
            self._idle_sweep = spawn(self._sweep_idle)

    def close(self) -> None:
        """Stop listening."""
        if self._idle_sweep is not None:
            self._idle_sweep.kill(block=False)
            self._idle_sweep = None
        super().close()

    def drain(self, limit_s: float) -> bool:
        """Accept nothing more and wait for the requests in flight.

        What still comes over an open connection is answered with ``Connection: close``.

        :param limit_s: longest wait in seconds.
        :return: whether every request in flight was answered.
        """
        self.draining = True
        # Connections that wait in the backlog are still accepted.
        sleep(DRAIN_POLL_S)
        self.close()
        until_s = monotonic() + limit_s
        while monotonic() < until_s:
            if self.busy == 0:
                self._close_idle(monotonic())
            if self.busy == 0 and not self.idle:
                return True
            sleep(DRAIN_POLL_S)
        return self.busy == 0

    def _sweep_idle(self) -> None:
        interval_s = min(IDLE_SWEEP_S, self.limits.idle_s / 2)
        while True:
            sleep(interval_s)
            self._close_idle(monotonic() - self.limits.idle_s)

    def _close_idle(self, idle_since_s: float) -> None:
        for handler in list(self.idle):
            if handler.idle_since_s <= idle_since_s and not is_readable(handler.socket):
                handler.socket.close()

    def wrap_socket_and_handle(self, client_socket: socket.socket, address: tuple) -> object:
        """Handle a connection over TLS, with a limit on the time of the handshake."""
        client_socket.settimeout(self.limits.head_s)
        return super().wrap_socket_and_handle(client_socket, address)


def _encode_head(
    answer: CallerAnswer, chunked: bool, keep_alive: bool, minor_version: int
) -> bytes:
    reason = answer.reason or responses.get(answer.status, "")
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines.extend([f"{name}: {value}" for name, value in answer.headers])
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif answer.length is not None and answer.status not in BODILESS_STATUSES:
        lines.append(f"Content-Length: {answer.length}")
    if not keep_alive:
        lines.append("Connection: close")
    elif minor_version == 0:
        lines.append("Connection: keep-alive")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")

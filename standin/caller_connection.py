"""Callers' connections to entries: one request at a time, without automatic retries."""

from typing import NamedTuple

from gevent import socket
from gevent import Timeout
from gevent.select import select
from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPResponse

READ_BLOCK_BYTES = 65_536
MAX_IDLE_CONNECTIONS = 32
NOT_SENT = "not-sent"
UNKNOWN = "unknown"
OUTCOME_HEADER = "laburnumswitch-outcome"


class OutgoingRequest(NamedTuple):
    """A request of a caller."""

    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


class CallerAnswer(NamedTuple):
    """The outcome of a request; ``status`` is 0 without a complete response."""

    outcome: str
    status: int = 0
    body: bytes = b""


class CallerConnectionPool:
    """Pool of connections to one entry."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._idle: list[socket.socket] = []

    def send(self, request: OutgoingRequest, timeout_s: float) -> CallerAnswer:
        """Send a request once and wait up to ``timeout_s`` seconds for the response."""
        sock = self._take_idle()
        sent = False
        answered = False
        try:
            with Timeout(timeout_s):
                sock = sock or socket.create_connection(self._address)
                sent = True
                sock.sendall(_encode(request))
                response = _receive(sock, request.method)
                answered = True
        except (Timeout, OSError, HTTPParseError):
            return CallerAnswer(UNKNOWN if sent else NOT_SENT)
        finally:
            if sock is not None and not answered:
                sock.close()
        self._release(sock, response)
        outcome = response.get(OUTCOME_HEADER, UNKNOWN)
        return CallerAnswer(outcome, response.status_code, bytes(response._body_buffer))

    def _release(self, sock: socket.socket, response: HTTPResponse) -> None:
        if response.should_close() or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            sock.close()
            return
        self._idle.append(sock)

    def _take_idle(self) -> socket.socket | None:
        while self._idle:
            sock = self._idle.pop()
            if not select([sock], [], [], 0)[0]:
                return sock
            sock.close()
        return None


def _encode(request: OutgoingRequest) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    if request.body:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + request.body


def _receive(sock: socket.socket, method: str) -> HTTPResponse:
    response = HTTPResponse(method)
    while not response.message_complete:
        block = sock.recv(READ_BLOCK_BYTES)
        if not block:
            raise ConnectionResetError("connection closed before the end of the response")
        response.feed(block)
    return response

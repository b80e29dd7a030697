"""HTTP client with a connection pool for one address of the platform, a worker or a peer.

A connection carries one exchange at a time. One whose exchange did not end cleanly is closed, not
pooled. The client never retries: the calling code decides whether a retry is safe.
"""

from collections.abc import Callable
from collections.abc import Mapping
from select import poll
from select import POLLIN
from ssl import SSLError
from time import monotonic
from types import MappingProxyType
from typing import NamedTuple

from gevent import socket
from gevent import Timeout
from geventhttpclient.response import HTTPParseError

from laburnumswitch.connection.address import Address
from laburnumswitch.connection.address import parse_address
from laburnumswitch.connection.connection_limit import ConnectionLimit
from laburnumswitch.connection.response_parser import ResponseParser
from laburnumswitch.connection.tcp import open_connection
from laburnumswitch.connection.tls import ClientTls
from laburnumswitch.connection.tls import refusal_reason
from laburnumswitch.connection.tls import STATUS_NOT_TRUSTED
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import ConnectionRefused
from laburnumswitch.exceptions import PeerNotTrusted

READ_BLOCK_BYTES = 65_536
IDLE_TIMEOUT_S = 20.0
POOL_SIZE = 4
# An answer that may take long counts as lost if nothing more of it arrives for this long, in
# seconds.
STALL_TIMEOUT_S = 1.0
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class Response(NamedTuple):
    """One complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _PooledSocket(NamedTuple):
    sock: socket.socket
    idle_since_s: float


class Client:
    """HTTP client with pooled connections to one address, such as ``10.0.0.7:8300``.

    The constructor takes the number of idle connections to keep, and a limit that the connections
    share with those of other clients.
    """

    def __init__(
        self,
        address: str,
        headers: Callable[[], Mapping[str, str]] = dict,
        tls: ClientTls | None = None,
        pool_size: int = POOL_SIZE,
        limit: ConnectionLimit | None = None,
    ) -> None:
        self.address = address
        self._parsed_address = parse_address(address)
        self.connections_opened = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self._headers = headers
        self._tls = tls
        self._pool_size = pool_size
        self._limit = limit
        self._is_closed = False
        self._idle: list[_PooledSocket] = []

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = 2.0,
        extra_headers: Mapping[str, str] = NO_HEADERS,
        transfer_s: float = 0.0,
    ) -> Response | ConnectFailed | AnswerLost:
        """Send one request and return the complete response.

        A timeout also closes the idle connections, as the same cause may have broken all of them.

        :param timeout_s: limit in seconds for connecting, sending and receiving together.
        :param extra_headers: headers of this request only.
        :param transfer_s: how much longer an answer may take that has begun to arrive, as long as
            it goes on arriving. This is for answers whose size is not bounded: one that is given up
            halfway would begin anew, and never arrive over a slow link.
        :return: ``ConnectFailed`` only if no byte was sent. Its subclass ``ConnectionRefused`` says
            that nothing listens at the address, and ``PeerNotTrusted`` that one end refused
            the other's certificate and the server processed no byte.
        """
        if self._parsed_address is None:
            return ConnectFailed(self.address, "the address is malformed")
        sock = None
        sent = False
        parser = ResponseParser(method)
        try:
            with Timeout(timeout_s):
                sock = self._take_idle() or self._connect(self._parsed_address, timeout_s)
                sent = True
                sock.sendall(self._encode_request(method, target, body, extra_headers))
                self._receive_block(sock, parser)
                if not transfer_s:
                    self._receive_rest(sock, parser)
            if not parser.is_complete:
                with Timeout(transfer_s):
                    self._receive_rest(sock, parser, STALL_TIMEOUT_S)
        except (Timeout, OSError, HTTPParseError) as error:
            self._close_socket(sock)
            if isinstance(error, Timeout):
                self._close_idle()
            refusal = refusal_reason(error, not sent) if isinstance(error, SSLError) else None
            if refusal is not None:
                return PeerNotTrusted(self.address, refusal)
            reason = type(error).__name__
            if sent:
                return AnswerLost(self.address, _describe_loss(reason, parser.received_bytes))
            if isinstance(error, ConnectionRefusedError):
                return ConnectionRefused(self.address, reason)
            return ConnectFailed(self.address, reason)
        except BaseException:
            self._close_socket(sock)
            raise
        response = Response(parser.status_code, tuple(parser.header_fields), parser.take_body())
        reusable = not (parser.has_surplus or parser.should_close())
        if self._tls is not None and response.status == STATUS_NOT_TRUSTED:
            self._close_socket(sock)
            return PeerNotTrusted(self.address, response.body.decode("utf-8", "replace"))
        if reusable and len(self._idle) < self._pool_size and not self._is_closed:
            self._keep_idle(sock)
        else:
            self._close_socket(sock)
        return response

    def control_bytes(self) -> int:
        """Return the number of bytes sent and received so far."""
        return self.bytes_sent + self.bytes_received

    def close(self) -> None:
        """Close the idle connections, and those in use once their calls have ended."""
        self._is_closed = True
        self._close_idle()

    def _connect(self, address: Address, timeout_s: float) -> socket.socket:
        if self._limit is not None:
            self._limit.reserve()
        try:
            sock = open_connection(address, timeout_s)
            self.connections_opened += 1
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock, server_hostname=address.host)
            sock.settimeout(None)
        except BaseException:
            if self._limit is not None:
                self._limit.release()
            raise
        return sock

    def _take_idle(self) -> socket.socket | None:
        while self._idle:
            pooled = self._idle.pop()
            if self._limit is not None:
                self._limit.note_in_use(pooled.sock)
            if monotonic() - pooled.idle_since_s < IDLE_TIMEOUT_S and not _is_readable(pooled.sock):
                return pooled.sock
            self._close_socket(pooled.sock)
        return None

    def _keep_idle(self, sock: socket.socket) -> None:
        self._idle.append(_PooledSocket(sock, monotonic()))
        if self._limit is not None:
            self._limit.note_idle(sock, self._close_one_idle)

    def _close_one_idle(self, sock: socket.socket) -> None:
        self._idle = [pooled for pooled in self._idle if pooled.sock is not sock]
        self._close_socket(sock)

    def _close_idle(self) -> None:
        while self._idle:
            self._close_socket(self._idle.pop().sock)

    def _close_socket(self, sock: socket.socket | None) -> None:
        if sock is None:
            return
        sock.close()
        if self._limit is not None:
            self._limit.note_in_use(sock)
            self._limit.release()

    def _encode_request(
        self, method: str, target: str, body: bytes, extra_headers: Mapping[str, str]
    ) -> bytes:
        lines = [f"{method} {target} HTTP/1.1"]
        if "Host" not in extra_headers:
            lines.append(f"Host: {self.address}")
        lines.extend(f"{name}: {value}" for name, value in self._headers().items())
        lines.extend(f"{name}: {value}" for name, value in extra_headers.items())
        if body:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
        encoded = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
        self.bytes_sent += len(encoded)
        return encoded

    def _receive_rest(
        self, sock: socket.socket, parser: ResponseParser, stall_s: float | None = None
    ) -> None:
        while not parser.is_complete:
            with Timeout(stall_s):
                self._receive_block(sock, parser)

    def _receive_block(self, sock: socket.socket, parser: ResponseParser) -> None:
        block = sock.recv(READ_BLOCK_BYTES)
        if not block:
            raise ConnectionResetError("connection closed before the end of the response")
        self.bytes_received += len(block)
        parser.feed(block)


def _describe_loss(reason: str, received_bytes: int) -> str:
    # A peer that is cut off sends nothing; over a slow link a part of the answer arrives.
    return f"{reason} after {received_bytes} bytes" if received_bytes else reason


def _is_readable(sock: socket.socket) -> bool:
    # An idle connection with data to read was closed by the other end or is out of sync. gevent's
    # ``poll`` would run the event loop once.
    poller = poll()
    poller.register(sock, POLLIN)
    return bool(poller.poll(0))

"""Reads callers' requests from a socket with limits on bytes and on time."""

from collections.abc import Callable
from re import compile as compile_pattern
from time import monotonic
from typing import NamedTuple

from gevent import socket

from laburnumswitch.connection.head import parse_head
from laburnumswitch.connection.head import RequestHead
from laburnumswitch.exceptions import CallerRefused

STATUS_BAD_REQUEST = 400
STATUS_REQUEST_TIMEOUT = 408
STATUS_CONTENT_TOO_LARGE = 413
STATUS_FIELDS_TOO_LARGE = 431
READ_BLOCK_BYTES = 65_536
CHUNK_LINE_LIMIT_BYTES = 1_024
TRAILER_LIMIT_BYTES = 4_096

_BARE_LINE_FEED = compile_pattern(rb"(?<!\r)\n|\r(?!\n)[\x00-\xff]")
_CHUNK_LINE = compile_pattern(rb"([0-9A-Fa-f]{1,12})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_TRAILER = compile_pattern(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*")


class CallerLimits(NamedTuple):
    """Limits of the callers' port; sizes in bytes and times in seconds.

    ``idle_s`` is how long a connection may wait between requests, ``head_s`` and ``body_s`` how
    long a head and a body may take, ``send_s`` how long a caller may take to accept one block.
    ``held_bytes`` limits the bodies of all requests that are being read or answered together.
    """

    head_bytes: int = 16_384
    body_bytes: int = 2_097_152
    held_bytes: int = 33_554_432
    connections: int = 4_096
    idle_s: float = 75.0
    head_s: float = 5.0
    body_s: float = 15.0
    send_s: float = 15.0


class CallerRequest(NamedTuple):
    """One whole request. ``arrived_s`` is the clock when its last byte had come."""

    head: RequestHead
    body: bytes
    caller: str
    arrived_s: float


class CallerClosed(NamedTuple):
    """The caller closed the connection, or left it idle, between two requests."""


class _EndOfStreamError(Exception):
    """The caller closed its end within a request."""


class SocketReader:
    """Buffered reader of one caller's connection."""

    def __init__(self, sock: socket.socket, clock: Callable[[], float] = monotonic) -> None:
        self.closed = False
        self._sock = sock
        self._clock = clock
        self._buffer = b""

    def close(self) -> None:
        """Forget the buffer; the socket is closed by its owner."""
        self.closed = True
        self._buffer = b""

    def await_first_byte(self) -> bool:
        """Wait for the next request without a limit, and return whether one began."""
        if self._buffer:
            return True
        # The server closes connections that stay idle for too long, which saves a timer here.
        self._sock.settimeout(None)
        try:
            self._buffer = self._sock.recv(READ_BLOCK_BYTES)
        except OSError:
            return False
        return bool(self._buffer)

    def read_head(self, limits: CallerLimits) -> RequestHead | CallerRefused | CallerClosed:
        """Return the next request's head."""
        deadline_s = 0.0
        while True:
            if self._buffer.startswith(b"\r\n"):
                self._buffer = self._buffer[2:]
            end = self._buffer.find(b"\r\n\r\n")
            head_size = len(self._buffer) if end < 0 else end
            if head_size > limits.head_bytes:
                return CallerRefused(STATUS_FIELDS_TOO_LARGE, "head too large")
            if _BARE_LINE_FEED.search(self._buffer, 0, head_size):
                return CallerRefused(STATUS_BAD_REQUEST, "line without CRLF")
            if end >= 0:
                raw = self._buffer[:end]
                self._buffer = self._buffer[end + 4 :]
                return parse_head(raw)
            deadline_s = deadline_s or self._clock() + limits.head_s
            try:
                self._fill(deadline_s)
            except TimeoutError:
                return CallerRefused(STATUS_REQUEST_TIMEOUT, "head took too long")
            except (OSError, _EndOfStreamError):
                return CallerClosed()

    def read_body(
        self, head: RequestHead, limits: CallerLimits
    ) -> bytes | CallerRefused | CallerClosed:
        """Return the whole body that belongs to ``head``."""
        if head.content_length == 0 and not head.chunked:
            return b""
        if head.content_length > limits.body_bytes:
            return CallerRefused(STATUS_CONTENT_TOO_LARGE, "body too large")
        deadline_s = self._clock() + limits.body_s
        try:
            if head.expects_continue and not self._buffer:
                self._sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            if head.chunked:
                return self._read_chunks(limits.body_bytes, deadline_s)
            return self._read_exactly(head.content_length, deadline_s)
        except TimeoutError:
            return CallerRefused(STATUS_REQUEST_TIMEOUT, "body took too long")
        except (OSError, _EndOfStreamError):
            return CallerClosed()

    def _fill(self, deadline_s: float) -> None:
        left_s = deadline_s - self._clock()
        if left_s <= 0:
            raise TimeoutError
        self._sock.settimeout(left_s)
        block = self._sock.recv(READ_BLOCK_BYTES)
        if not block:
            raise _EndOfStreamError
        self._buffer = self._buffer + block if self._buffer else block

    def _read_exactly(self, size: int, deadline_s: float) -> bytes:
        blocks = [self._buffer]
        have = len(self._buffer)
        while have < size:
            self._buffer = b""
            self._fill(deadline_s)
            blocks.append(self._buffer)
            have += len(self._buffer)
        joined = b"".join(blocks)
        self._buffer = joined[size:]
        return joined[:size]

    def _read_line(self, limit_bytes: int, deadline_s: float) -> bytes | None:
        while True:
            end = self._buffer.find(b"\r\n")
            if end > limit_bytes or (end < 0 and len(self._buffer) > limit_bytes):
                return None
            if end >= 0:
                line = self._buffer[:end]
                self._buffer = self._buffer[end + 2 :]
                return line
            if _BARE_LINE_FEED.search(self._buffer):
                return None
            self._fill(deadline_s)

    def _read_chunks(self, limit_bytes: int, deadline_s: float) -> bytes | CallerRefused:
        blocks = []
        total = 0
        while True:
            line = self._read_line(CHUNK_LINE_LIMIT_BYTES, deadline_s)
            matched = None if line is None else _CHUNK_LINE.fullmatch(line)
            if matched is None:
                return CallerRefused(STATUS_BAD_REQUEST, "malformed chunk")
            size = int(matched[1], 16)
            if size == 0:
                return self._read_trailers(deadline_s) or b"".join(blocks)
            total += size
            if total > limit_bytes:
                return CallerRefused(STATUS_CONTENT_TOO_LARGE, "body too large")
            block = self._read_exactly(size + 2, deadline_s)
            if not block.endswith(b"\r\n"):
                return CallerRefused(STATUS_BAD_REQUEST, "malformed chunk")
            blocks.append(block[:-2])

    def _read_trailers(self, deadline_s: float) -> CallerRefused | None:
        left_bytes = TRAILER_LIMIT_BYTES
        while True:
            line = self._read_line(left_bytes, deadline_s)
            if line == b"":
                return None
            if line is None or not _TRAILER.fullmatch(line):
                return CallerRefused(STATUS_BAD_REQUEST, "malformed trailer")
            left_bytes -= len(line)

"""Reads callers' requests from a socket, with limits on size and time."""

from collections.abc import Callable
from re import compile as compile_pattern
from time import monotonic
from typing import NamedTuple

from gevent import socket

from laburnumswitch.connection.request_head import parse_head
from laburnumswitch.connection.request_head import RequestHead
from laburnumswitch.exceptions import CallerRefused

STATUS_BAD_REQUEST = 400
STATUS_REQUEST_TIMEOUT = 408
STATUS_CONTENT_TOO_LARGE = 413
STATUS_FIELDS_TOO_LARGE = 431
READ_BLOCK_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 1_024
MAX_TRAILER_BYTES = 4_096

_BARE_LINE_FEED = compile_pattern(rb"(?<!\r)\n|\r(?!\n)[\x00-\xff]")
_CHUNK_LINE = compile_pattern(rb"([0-9A-Fa-f]{1,12})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_TRAILER = compile_pattern(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*")


class CallerLimits(NamedTuple):
    """Limits of the callers' port; sizes in bytes and times in seconds.

    ``idle_s`` is how long a connection may stay idle between requests, ``head_s`` and ``body_s``
    how long receiving a head and a body may take, ``send_s`` how long sending one block may take.
    ``total_body_bytes`` limits the bodies of all requests in progress together.
    """

    head_bytes: int = 16_384
    body_bytes: int = 2_097_152
    total_body_bytes: int = 33_554_432
    connections: int = 4_096
    idle_s: float = 75.0
    head_s: float = 5.0
    body_s: float = 15.0
    send_s: float = 15.0


class CallerRequest(NamedTuple):
    """One complete request. ``arrived_s`` is the time on the clock when its last byte arrived."""

    head: RequestHead
    body: bytes
    caller: str
    arrived_s: float


class CallerClosed(NamedTuple):
    """The connection ended before a request was complete."""


class _EndOfStreamError(Exception):
    """The caller closed its end in the middle of a request."""


class RequestReader:
    """Buffered reader of one caller's connection."""

    def __init__(self, sock: socket.socket, clock: Callable[[], float] = monotonic) -> None:
        self.closed = False
        self._sock = sock
        self._clock = clock
        self._buffer = b""

    def close(self) -> None:
        """Discard the buffer. The socket is closed by its owner."""
        self.closed = True
        self._buffer = b""

    def await_first_byte(self) -> bool:
        """Wait for the next request without a timeout, and return whether one began."""
        if self._buffer:
            return True
        # The server closes connections that exceed the idle timeout, so no timer is needed here.
        self._sock.settimeout(None)
        try:
            self._buffer = self._sock.recv(READ_BLOCK_BYTES)
        except OSError:
            return False
        return bool(self._buffer)

    def read_head(self, limits: CallerLimits) -> RequestHead | CallerRefused | CallerClosed:
        """Read the head of the next request."""
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
                self._receive(deadline_s)
            except TimeoutError:
                return CallerRefused(STATUS_REQUEST_TIMEOUT, "head took too long")
            except (OSError, _EndOfStreamError):
                return CallerClosed()

    def read_body(
        self, head: RequestHead, limits: CallerLimits
    ) -> bytes | CallerRefused | CallerClosed:
        """Read the complete body of the request with ``head``."""
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

    def _receive(self, deadline_s: float) -> None:
        remaining_s = deadline_s - self._clock()
        if remaining_s <= 0:
            raise TimeoutError
        self._sock.settimeout(remaining_s)
        block = self._sock.recv(READ_BLOCK_BYTES)
        if not block:
            raise _EndOfStreamError
        self._buffer = self._buffer + block if self._buffer else block

    def _read_exactly(self, size: int, deadline_s: float) -> bytes:
        blocks = [self._buffer]
        received_bytes = len(self._buffer)
        while received_bytes < size:
            self._buffer = b""
            self._receive(deadline_s)
            blocks.append(self._buffer)
            received_bytes += len(self._buffer)
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
            self._receive(deadline_s)

    def _read_chunks(self, limit_bytes: int, deadline_s: float) -> bytes | CallerRefused:
        blocks = []
        total = 0
        while True:
            line = self._read_line(MAX_CHUNK_LINE_BYTES, deadline_s)
            match = None if line is None else _CHUNK_LINE.fullmatch(line)
            if match is None:
                return CallerRefused(STATUS_BAD_REQUEST, "malformed chunk")
            size = int(match[1], 16)
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
        remaining_bytes = MAX_TRAILER_BYTES
        while True:
            line = self._read_line(remaining_bytes, deadline_s)
            if line == b"":
                return None
            if line is None or not _TRAILER.fullmatch(line):
                return CallerRefused(STATUS_BAD_REQUEST, "malformed trailer")
            remaining_bytes -= len(line)

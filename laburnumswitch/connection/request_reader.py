"""Reads callers' requests from a socket, with limits on size and time."""

from collections.abc import Callable
from re import compile as compile_pattern
from time import monotonic
from typing import NamedTuple

from gevent import socket

from laburnumswitch.connection.request_head import parse_head
from laburnumswitch.connection.request_head import RequestHead
from laburnumswitch.connection.request_head import STATUS_FIELDS_TOO_LARGE
from laburnumswitch.exceptions import CallerRefused

STATUS_BAD_REQUEST = 400
STATUS_REQUEST_TIMEOUT = 408
STATUS_CONTENT_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
# Data that is read beyond a head or a chunk is kept while the request is answered, so that these
# reads are short.
READ_AHEAD_BYTES = 16_384
# Parsing this many chunks takes about a millisecond. Bodies in chunks of at least 1 KB never wait
# for a turn.
CHUNKS_PER_TURN = 256
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


class _BodyRefusedError(Exception):
    """There is no memory for more of a body."""


def take_no_turn() -> None:
    """Go on at once."""


def always_hold(size_bytes: int) -> bool:
    """Allow every body, for servers that reserve the memory beforehand."""
    return True


class RequestReader:
    """Buffered reader of one caller's connection.

    The constructor takes a function that waits until the reader may parse more chunks.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: Callable[[], float] = monotonic,
        take_turn: Callable[[], None] = take_no_turn,
    ) -> None:
        self.closed = False
        self._take_turn = take_turn
        self._sock = sock
        self._clock = clock
        self._buffer = b""
        # The part of a body that was received. It grows in one piece: small pieces that are kept
        # one by one take many times their size.
        self._content = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that were read ahead."""
        return len(self._buffer)

    def close(self) -> None:
        """Discard what was received. The socket is closed by its owner."""
        self.closed = True
        self._buffer = b""
        self._content = bytearray()

    def await_first_byte(self, timeout_s: float | None = None) -> bool:
        """Wait for the next request, and return whether one began."""
        if self._buffer:
            return True
        self._sock.settimeout(timeout_s)
        try:
            self._buffer = self._sock.recv(READ_AHEAD_BYTES)
        except OSError:
            return False
        return bool(self._buffer)

    def read_head(
        self, limits: CallerLimits, needs_host: bool = True
    ) -> RequestHead | CallerRefused | CallerClosed:
        """Read the head of the next request.

        :param needs_host: whether a head without ``Host`` is refused.
        """
        deadline_s = 0.0
        # What was searched before is not searched again, as a head may arrive byte by byte.
        searched = 0
        while True:
            if self._buffer.startswith(b"\r\n"):
                self._buffer = self._buffer[2:]
                searched = 0
            end = self._buffer.find(b"\r\n\r\n", max(0, searched - 3))
            head_size = len(self._buffer) if end < 0 else end
            if head_size > limits.head_bytes:
                return CallerRefused(STATUS_FIELDS_TOO_LARGE, "head too large")
            if _BARE_LINE_FEED.search(self._buffer, max(0, searched - 1), head_size):
                return CallerRefused(STATUS_BAD_REQUEST, "line without CRLF")
            searched = head_size
            if end >= 0:
                raw = self._buffer[:end]
                self._buffer = self._buffer[end + 4 :]
                return parse_head(raw, needs_host)
            deadline_s = deadline_s or self._clock() + limits.head_s
            try:
                self._receive(deadline_s)
            except TimeoutError:
                return CallerRefused(STATUS_REQUEST_TIMEOUT, "head took too long")
            except (OSError, _EndOfStreamError):
                return CallerClosed()

    def read_body(
        self,
        head: RequestHead,
        limits: CallerLimits,
        hold: Callable[[int], bool] = always_hold,
    ) -> bytes | CallerRefused | CallerClosed:
        """Read the complete body of the request with ``head``.

        :param hold: called before the body grows, with its size from then on in bytes; returns
            whether it may.
        """
        if head.content_length == 0 and not head.chunked:
            return b""
        if head.content_length > limits.body_bytes:
            return CallerRefused(STATUS_CONTENT_TOO_LARGE, "body too large")
        deadline_s = self._clock() + limits.body_s
        try:
            if head.expects_continue and not self._buffer:
                self._sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            if head.chunked:
                refusal = self._read_chunks(limits.body_bytes, deadline_s, hold)
                return refusal or bytes(self._content)
            self._read_exactly(head.content_length, deadline_s, hold)
            return bytes(self._content)
        except TimeoutError:
            return CallerRefused(STATUS_REQUEST_TIMEOUT, "body took too long")
        except _BodyRefusedError:
            return CallerRefused(STATUS_UNAVAILABLE, "too many bodies at a time")
        except (OSError, _EndOfStreamError):
            return CallerClosed()
        finally:
            self._content = bytearray()

    def skip(self, size: int) -> bool:
        """Discard a body that was read ahead, and return whether it was."""
        if size > len(self._buffer):
            return False
        self._buffer = self._buffer[size:]
        return True

    def _receive(self, deadline_s: float) -> None:
        block = self._receive_block(READ_AHEAD_BYTES, deadline_s)
        self._buffer = self._buffer + block if self._buffer else block

    def _receive_block(self, size: int, deadline_s: float) -> bytes:
        remaining_s = deadline_s - self._clock()
        if remaining_s <= 0:
            raise TimeoutError
        self._sock.settimeout(remaining_s)
        block = self._sock.recv(size)
        if not block:
            raise _EndOfStreamError
        return block

    def _read_exactly(self, size: int, deadline_s: float, hold: Callable[[int], bool]) -> None:
        """Add ``size`` bytes to the content."""
        remaining = size
        while True:
            block_size = min(remaining, READ_AHEAD_BYTES)
            if not hold(len(self._content) + block_size):
                raise _BodyRefusedError
            if self._buffer:
                block = self._buffer[:block_size]
                self._buffer = self._buffer[block_size:]
            else:
                block = self._receive_block(block_size, deadline_s)
            self._content += block
            remaining -= len(block)
            if not remaining:
                return

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

    def _read_chunks(
        self, limit_bytes: int, deadline_s: float, hold: Callable[[int], bool]
    ) -> CallerRefused | None:
        chunks = 0
        while True:
            chunks += 1
            if chunks % CHUNKS_PER_TURN == 0:
                self._take_turn()
            line = self._read_line(MAX_CHUNK_LINE_BYTES, deadline_s)
            match = None if line is None else _CHUNK_LINE.fullmatch(line)
            if match is None:
                return CallerRefused(STATUS_BAD_REQUEST, "malformed chunk")
            size = int(match[1], 16)
            if size == 0:
                return self._read_trailers(deadline_s)
            if len(self._content) + size > limit_bytes:
                return CallerRefused(STATUS_CONTENT_TOO_LARGE, "body too large")
            self._read_exactly(size, deadline_s, hold)
            while len(self._buffer) < 2:
                self._receive(deadline_s)
            if not self._buffer.startswith(b"\r\n"):
                return CallerRefused(STATUS_BAD_REQUEST, "malformed chunk")
            self._buffer = self._buffer[2:]

    def _read_trailers(self, deadline_s: float) -> CallerRefused | None:
        remaining_bytes = MAX_TRAILER_BYTES
        while True:
            line = self._read_line(remaining_bytes, deadline_s)
            if line == b"":
                return None
            if line is None or not _TRAILER.fullmatch(line):
                return CallerRefused(STATUS_BAD_REQUEST, "malformed trailer")
            remaining_bytes -= len(line)

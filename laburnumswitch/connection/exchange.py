"""One HTTP exchange with an upstream over one connection.

Nothing is retried here. An exchange fails with ``ConnectFailed`` if no byte was sent, with
``FirstByteLate`` if no byte came back in time, and with ``AnswerLost`` otherwise.
"""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from gevent import socket
from geventhttpclient.response import HTTPParseError

from laburnumswitch.connection.response_parser import FIRST_FINAL_STATUS
from laburnumswitch.connection.response_parser import ResponseParser
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import FirstByteLate

READ_BLOCK_BYTES = 65_536
MAX_HEAD_BYTES = 65_536


class ResponseHead(NamedTuple):
    """Status and headers of a response. ``length`` is that of the body in bytes, if declared."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    length: int | None


class UpstreamConnection:
    """A connection to an upstream, which carries one exchange at a time."""

    def __init__(self, address: str, worker_id: str, sock: socket.socket, opened_s: float) -> None:
        self.address = address
        self.worker_id = worker_id
        self.sock = sock
        self.last_used_s = opened_s
        self.exchanges = 0

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class Exchange:
    """One request and its response on a connection."""

    def __init__(
        self,
        connection: UpstreamConnection,
        method: str,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.connection = connection
        self.bytes_written = 0
        self.response_started = False
        self._clock = clock
        self._parser = ResponseParser(method)
        self._request_sent = False
        self._closed_by_upstream = False

    def send(self, encoded: bytes, deadline_s: float) -> ConnectFailed | AnswerLost | None:
        """Send the whole request.

        :param deadline_s: time on the clock by which it must be sent.
        :return: ``ConnectFailed`` only if not one byte was handed to the network.
        """
        connection = self.connection
        connection.exchanges += 1
        sock = connection.sock
        try:
            sock.settimeout(max(deadline_s - self._clock(), 0.001))
            self.bytes_written = sock.send(encoded)
            if self.bytes_written < len(encoded):
                sock.sendall(memoryview(encoded)[self.bytes_written :])
        except OSError as error:
            if self.bytes_written == 0:
                return ConnectFailed(connection.address, type(error).__name__)
            if isinstance(error, TimeoutError):
                return AnswerLost(connection.address, "timeout")
            # The upstream may have responded early and closed; reading the response will show it.
            return None
        self._request_sent = True
        return None

    def read_head(
        self, first_byte_deadline_s: float, deadline_s: float
    ) -> ResponseHead | AnswerLost | FirstByteLate:
        """Return the head of the response.

        ``FirstByteLate`` leaves the exchange unchanged, so that this method may be called again to
        wait longer.
        """
        parser = self._parser
        head_bytes = 0
        while not parser.headers_complete or parser.get_code() < FIRST_FINAL_STATUS:
            if head_bytes > MAX_HEAD_BYTES:
                return self._answer_lost("head too large")
            receive_deadline_s = (
                deadline_s if self.response_started else min(first_byte_deadline_s, deadline_s)
            )
            try:
                block = self._receive(receive_deadline_s)
                parser.feed(block)
            except TimeoutError:
                if not self.response_started:
                    return FirstByteLate(self.connection.address, self.connection.exchanges > 1)
                return self._answer_lost("timeout")
            except (OSError, HTTPParseError) as error:
                return self._answer_lost(type(error).__name__)
            if not block and not parser.is_complete:
                return self._answer_lost("closed")
            head_bytes += len(block)
        return ResponseHead(
            parser.get_code(),
            parser.status_message or "",
            tuple(parser.header_fields),
            parser.declared_body_length(),
        )

    def is_complete(self) -> bool:
        """Return whether the end of the response has been received."""
        return self._parser.is_complete

    def read_block(self, deadline_s: float) -> bytes | AnswerLost:
        """Return the next part of the body, or ``b""`` at its end."""
        parser = self._parser
        while True:
            block = parser.take_body()
            if block or parser.is_complete:
                return block
            try:
                received = self._receive(deadline_s)
                parser.feed(received)
            except TimeoutError:
                return self._answer_lost("timeout")
            except (OSError, HTTPParseError) as error:
                return self._answer_lost(type(error).__name__)
            if not received and not parser.is_complete:
                return self._answer_lost("closed")

    def is_connection_reusable(self) -> bool:
        """Return whether the exchange ended cleanly and the connection may carry another."""
        parser = self._parser
        return (
            self._request_sent
            and parser.is_complete
            and not parser.has_surplus
            and not self._closed_by_upstream
            and not parser.should_close()
        )

    def _receive(self, deadline_s: float) -> bytes:
        remaining_s = deadline_s - self._clock()
        if remaining_s <= 0:
            raise TimeoutError
        sock = self.connection.sock
        sock.settimeout(remaining_s)
        block = sock.recv(READ_BLOCK_BYTES)
        if block:
            self.response_started = True
        else:
            self._closed_by_upstream = True
        return block

    def _answer_lost(self, reason: str) -> AnswerLost:
        return AnswerLost(self.connection.address, reason)

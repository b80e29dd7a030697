"""One exchange with an upstream over one connection.

Nothing is sent twice here. The three ways to fail are types: ``ConnectFailed`` where no byte was
sent, ``FirstByteLate`` where no byte came back within a limit, and ``AnswerLost`` otherwise.
"""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from gevent import socket
from geventhttpclient.response import HTTPParseError

from laburnumswitch.connection.parser import AnswerParser
from laburnumswitch.connection.parser import FIRST_FINAL_STATUS
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import FirstByteLate

READ_BLOCK_BYTES = 65_536
HEAD_LIMIT_BYTES = 65_536


class AnswerHead(NamedTuple):
    """Status and headers of an answer. ``length`` is that of the body in bytes, if declared."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    length: int | None


class UpstreamConnection:
    """One connection to an upstream, which carries one exchange at a time."""

    def __init__(self, address: str, worker_id: str, sock: socket.socket, opened_s: float) -> None:
        self.address = address
        self.worker_id = worker_id
        self.sock = sock
        self.used_s = opened_s
        self.exchanges = 0

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class Exchange:
    """State of one exchange."""

    def __init__(
        self,
        connection: UpstreamConnection,
        method: str,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.connection = connection
        self.bytes_written = 0
        self.got_bytes = False
        self._clock = clock
        self._parser = AnswerParser(method)
        self._sent_whole = False
        self._ended_by_close = False

    def send(self, encoded: bytes, deadline_s: float) -> ConnectFailed | AnswerLost | None:
        """Send the whole request.

        :param deadline_s: instant of the clock by which it has to be sent.
        :return: ``ConnectFailed`` only where not one byte was handed to the network.
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
            # The upstream may have answered early and closed; reading the answer tells.
            return None
        self._sent_whole = True
        return None

    def read_head(
        self, first_byte_by_s: float, deadline_s: float
    ) -> AnswerHead | AnswerLost | FirstByteLate:
        """Return the answer's head.

        ``FirstByteLate`` leaves the exchange as it is, so that the caller may go on waiting.
        """
        parser = self._parser
        head_bytes = 0
        while not parser.headers_complete or parser.get_code() < FIRST_FINAL_STATUS:
            if head_bytes > HEAD_LIMIT_BYTES:
                return self._lost("head too large")
            until_s = deadline_s if self.got_bytes else min(first_byte_by_s, deadline_s)
            try:
                block = self._receive(until_s)
                parser.feed(block)
            except TimeoutError:
                if not self.got_bytes:
                    return FirstByteLate(self.connection.address, self.connection.exchanges > 1)
                return self._lost("timeout")
            except (OSError, HTTPParseError) as error:
                return self._lost(type(error).__name__)
            if not block and not parser.whole:
                return self._lost("closed")
            head_bytes += len(block)
        return AnswerHead(
            parser.get_code(),
            parser.status_message or "",
            tuple(parser.fields),
            parser.declared_length(),
        )

    def is_whole(self) -> bool:
        """Return whether the end of the answer has been received."""
        return self._parser.whole

    def read_block(self, deadline_s: float) -> bytes | AnswerLost:
        """Return the next part of the body, and ``b""`` at its end."""
        parser = self._parser
        while True:
            block = parser.take_body()
            if block or parser.whole:
                return block
            try:
                received = self._receive(deadline_s)
                parser.feed(received)
            except TimeoutError:
                return self._lost("timeout")
            except (OSError, HTTPParseError) as error:
                return self._lost(type(error).__name__)
            if not received and not parser.whole:
                return self._lost("closed")

    def ended_cleanly(self) -> bool:
        """Return whether the connection may carry another exchange."""
        parser = self._parser
        return (
            self._sent_whole
            and parser.whole
            and not parser.surplus
            and not self._ended_by_close
            and not parser.should_close()
        )

    def _receive(self, until_s: float) -> bytes:
        left_s = until_s - self._clock()
        if left_s <= 0:
            raise TimeoutError
        sock = self.connection.sock
        sock.settimeout(left_s)
        block = sock.recv(READ_BLOCK_BYTES)
        if block:
            self.got_bytes = True
        else:
            self._ended_by_close = True
        return block

    def _lost(self, reason: str) -> AnswerLost:
        return AnswerLost(self.connection.address, reason)

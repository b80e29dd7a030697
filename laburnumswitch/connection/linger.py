"""Closing of a connection whose other end may still be sending."""

from time import monotonic

from gevent import socket

LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 1_048_576
READ_BLOCK_BYTES = 65_536


def drain_before_close(sock: socket.socket, limit_bytes: int) -> None:
    """End the stream and discard what still arrives, within limits of time and size.

    Closing a socket with unread bytes resets the connection, which could discard the response
    before the other end reads it.

    :raises OSError: if the connection breaks or the time is over.
    """
    sock.shutdown(socket.SHUT_WR)
    deadline_s = monotonic() + LINGER_TIMEOUT_S
    remaining_bytes = limit_bytes
    while remaining_bytes > 0:
        remaining_s = deadline_s - monotonic()
        if remaining_s <= 0:
            return
        sock.settimeout(remaining_s)
        block = sock.recv(READ_BLOCK_BYTES)
        if not block:
            return
        remaining_bytes -= len(block)

"""Tells without waiting whether a socket has something to read."""

from select import poll
from select import POLLIN

from gevent import socket


def is_readable(sock: socket.socket) -> bool:
    """Return whether bytes or the end of the stream wait to be read."""
    poller = poll()
    poller.register(sock.fileno(), POLLIN)
    return bool(poller.poll(0))

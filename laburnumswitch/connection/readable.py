"""Non-blocking check whether a socket is readable."""

from select import poll
from select import POLLIN

from gevent import socket


def is_readable(sock: socket.socket) -> bool:
    """Return whether data or the end of the stream is ready to be read."""
    poller = poll()
    poller.register(sock.fileno(), POLLIN)
    return bool(poller.poll(0))

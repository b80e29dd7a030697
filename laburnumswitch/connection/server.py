"""WSGI server that sends responses without Nagle's delay."""

from collections.abc import Callable
from typing import Any

from absl import logging
from gevent import socket
from gevent.pywsgi import WSGIServer

from laburnumswitch.connection.tls import HandshakeFailedError

# Reason phrases of the statuses that the ports respond with.
REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class NoDelayServer(WSGIServer):
    """WSGI server that disables Nagle's algorithm on each accepted connection.

    The handler writes head and body separately. With the algorithm enabled, the body waits until
    the other end acknowledges the head, which it delays by about 40 ms.
    """

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def wrap_socket_and_handle(
        self, client_socket: socket.socket, address: tuple[str, int]
    ) -> object:
        """Serve one connection over TLS; a failed handshake is logged."""
        try:
            return super().wrap_socket_and_handle(client_socket, address)
        except HandshakeFailedError as error:
            logging.warning("event=handshake_failed peer=%s reason=%s", address[0], error)
            return None


def make_server(address: str, application: Callable[..., Any], **arguments: Any) -> NoDelayServer:
    """Return a server for an address, not yet started and without request logs.

    :param address: host and port.
    :param arguments: further arguments of gevent's server.
    """
    host, _, port = address.rpartition(":")
    return NoDelayServer((host, int(port)), application, log=None, **arguments)

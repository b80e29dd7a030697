"""WSGI servers: without Nagle's delay, and with bounds on what their clients may take."""

from collections.abc import Callable
from typing import Any

from absl import logging
from gevent import socket
from gevent.pywsgi import WSGIServer

from laburnumswitch.connection.bounded_handler import BoundedHandler
from laburnumswitch.connection.client_limits import PortClients
from laburnumswitch.connection.tls import HandshakeFailedError

# The kernel's own limit is several MB for each direction of a connection, which hundreds of clients
# that do not read or that send without end would fill.
SOCKET_BUFFER_BYTES = 65_536
# For this long, in seconds, the kernel keeps connections on which nothing has arrived. A client
# that sends its request at once is then not displaced by others before the request is read.
DEFER_ACCEPT_S = 1
# Reason phrases of the statuses that the ports respond with.
REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
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


class BoundedServer(NoDelayServer):
    """WSGI server whose clients stay within bounds of memory, connections and time."""

    handler_class = BoundedHandler
    # New connections per pass of the event loop, so that those of one port do not delay the others.
    max_accept = 16

    def __init__(
        self,
        listener: tuple[str, int],
        application: Callable[..., Any],
        clients: PortClients,
        **arguments: Any,
    ) -> None:
        super().__init__(listener, application, log=None, error_log=None, **arguments)
        self.clients = clients

    @classmethod
    def get_listener(cls, *arguments: Any, **named_arguments: Any) -> socket.socket:
        """Return a listening socket.

        Its connections inherit the size of their buffers and are accepted once they are readable.
        """
        listener = super().get_listener(*arguments, **named_arguments)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFER_ACCEPT_S)
        return listener


def make_server(
    address: str, application: Callable[..., Any], clients: PortClients, **arguments: Any
) -> BoundedServer:
    """Return a server for an address, not yet started and without request logs.

    :param address: host and port.
    :param clients: the clients of this port and their limits.
    :param arguments: further arguments of gevent's server.
    """
    host, _, port = address.rpartition(":")
    return BoundedServer((host, int(port)), application, clients, **arguments)

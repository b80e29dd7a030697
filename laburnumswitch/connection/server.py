"""HTTP server whose answers leave at once."""

from gevent import socket
from gevent.pywsgi import WSGIServer


class NoDelayServer(WSGIServer):
    """WSGI server with Nagle's algorithm off on each accepted connection.

    The handler writes head and body apart. With the algorithm on, the body waits until the other
    end acknowledges the head, which it delays by about 40 ms.
    """

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

"""Responses do not wait for the acknowledgement of their head."""

from gevent import socket
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.server import NoDelayServer


class TestNoDelayServer(TestCase):
    def test_accepted_connection_has_nagle_off(self):
        accepted = []

        class Server(NoDelayServer):
            def handle(self, sock, address):
                accepted.append(sock)
                super().handle(sock, address)

        def application(environ, start_response):
            option = accepted[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            start_response("200 OK", [("Content-Length", "1")])
            return [str(min(option, 1)).encode()]

        server = Server(("127.0.0.1", 0), application, log=None)
        server.start()
        self.addCleanup(server.stop)
        client = Client(f"127.0.0.1:{server.server_port}")
        self.addCleanup(client.close)
        self.assertThat(client.call("GET", "/").body, Equals(b"1"))

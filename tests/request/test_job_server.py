"""Server of the job API: refusals that do not wait for a body, and malformed headers."""

from gevent import socket
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import StartsWith

from laburnumswitch.request.job_api import JobReply
from laburnumswitch.request.job_server import InFlightCounter
from laburnumswitch.request.job_server import make_job_server

LIMIT_S = 20.0


class TestJobServer(TestCase):
    def setUp(self):
        super().setUp()
        self.revoked = False
        self.answered = []

        def refuse_early(request):
            is_known = request.authorization == "Bearer k1" and not self.revoked
            return None if is_known else JobReply(401)

        def answer(request):
            self.answered.append(request)
            return refuse_early(request) or JobReply(200)

        server = make_job_server(
            "127.0.0.1:0",
            refuse_early,
            answer,
            InFlightCounter(),
            lambda: False,
            "HTTP_X_DEADLINE_MS",
            lambda: 1000,
        )
        server.start()
        self.addCleanup(server.stop)
        self.sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=LIMIT_S)
        self.addCleanup(self.sock.close)

    def _send(self, *headers, body=b""):
        head = "\r\n".join(("POST /o/1 HTTP/1.1", "Host: h", *headers, "", ""))
        self.sock.sendall(head.encode("latin-1") + body)

    def _receive(self):
        received = b""
        while b"\r\n\r\n" not in received:
            received += self.sock.recv(4096)
        return received.decode()

    def test_unknown_key_is_refused_before_the_body_arrives(self):
        self._send("Authorization: Bearer k9", "Content-Length: 5")
        answer = self._receive()
        self.assertThat(answer, StartsWith("HTTP/1.1 401 "))
        self.assertThat(answer, Contains("WWW-Authenticate: Bearer\r\n"))
        self.assertThat(self.answered, Equals([]))

    def test_key_revoked_on_an_open_connection_is_refused(self):
        self._send("Authorization: Bearer k1", "Content-Length: 2", body=b"{}")
        self.assertThat(self._receive(), StartsWith("HTTP/1.1 200 "))
        self.assertThat(self.answered[0].body, Equals(b"{}"))
        self.revoked = True
        self._send("Authorization: Bearer k1", "Content-Length: 0")
        self.assertThat(self._receive(), StartsWith("HTTP/1.1 401 "))

    def test_malformed_headers_are_served_or_refused(self):
        """A superscript digit in the deadline raised an error, and two keys must not be one."""
        self._send("Authorization: Bearer k1", "X-Deadline-Ms: \xb2", "Content-Length: 0")
        self.assertThat(self._receive(), StartsWith("HTTP/1.1 200 "))
        self._send(
            "Authorization: Bearer k1", "Authorization: Bearer k1", "X-A: \xff", "Content-Length: 0"
        )
        self.assertThat(self._receive(), StartsWith("HTTP/1.1 401 "))

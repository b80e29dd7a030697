"""Server of the job API: refusals that do not wait for a body, and malformed headers."""

from gevent import socket
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import StartsWith

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client_limits import make_constant_clients
from laburnumswitch.connection.request_reader import CallerLimits
from laburnumswitch.request.job_api import JobReply
from laburnumswitch.request.job_server import InFlightCounter
from laburnumswitch.request.job_server import make_job_server

LIMIT_S = 20.0


class TestBodies(TestCase):
    def setUp(self):
        super().setUp()
        self.answered = []
        limits = CallerLimits(body_bytes=100_000, total_body_bytes=60_000)
        self.clients = make_constant_clients("callers", limits)
        self.server = make_job_server(
            "127.0.0.1:0",
            lambda request: JobReply(404) if request.path == "/elsewhere" else None,
            lambda request: self.answered.append(request) or JobReply(200),
            InFlightCounter(),
            lambda: False,
            "HTTP_X_DEADLINE_MS",
            self.clients,
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def call(self, path, body, headers=None):
        client = Client(f"127.0.0.1:{self.server.server_port}")
        self.addCleanup(client.close)
        return client.call("POST", path, body, 3.0, headers or {})

    def test_body_for_no_queue_takes_no_memory(self):
        held = []
        self.clients.hold_body = lambda *arguments: held.append(arguments) or True
        self.assertThat(self.call("/elsewhere", b"x" * 50_000).status, Equals(404))
        self.assertThat((held, self.answered), Equals(([], [])))

    def test_refused_body_is_not_run(self):
        # 503 promises that the job never runs, and 413 says that it is too large.
        replies = [self.call("/jobs/1", b"x" * size) for size in (50_000, 100_001, 9)]
        self.assertThat([reply.status for reply in replies], Equals([503, 413, 200]))
        self.assertThat(dict(replies[0].headers)["Retry-After"], Equals("1"))
        self.assertThat([request.body for request in self.answered], Equals([b"x" * 9]))

    def test_malformed_timeout_is_ignored(self):
        # Digits that are not decimal, such as a superscript two, raised an error.
        reply = self.call("/jobs/1", b"x", {"X-Deadline-Ms": "\xb2"})
        self.assertThat((reply.status, self.answered[0].timeout_s), Equals((200, 0.0)))


class TestKeys(TestCase):
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
            make_constant_clients("callers", CallerLimits(body_bytes=1000)),
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

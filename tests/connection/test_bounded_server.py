"""What the servers accept, refuse and close, on sockets."""

from contextlib import closing

from gevent import sleep
from gevent import socket
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.connection.client_limits import Cause
from laburnumswitch.connection.client_limits import PortClients
from laburnumswitch.connection.client_limits import RefusalCounter
from laburnumswitch.connection.request_reader import CallerLimits
from laburnumswitch.connection.server import make_server
from laburnumswitch.exceptions import CallerRefused
from tests.fakes import FakeClock
from tests.process.dispatch.harness import wait_until

LIMITS = CallerLimits(
    head_bytes=2_000,
    body_bytes=100_000,
    total_body_bytes=400_000,
    connections=50,
    idle_s=5.0,
    head_s=0.3,
    body_s=0.6,
    send_s=0.2,
)
MALFORMED = (
    b"Content-Length: -1",
    b"Content-Length: seven",
    b"Content-Length: 99999999999999999999",
    b"Content-Length: 3\r\nContent-Length: 4",
    b"Content-Length: 3\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: identity",
)


def read_all(sock):
    blocks = []
    try:
        while block := sock.recv(65_536):
            blocks.append(block)
    except OSError:
        pass
    return b"".join(blocks)


def post(path, *fields):
    return b"\r\n".join((b"POST " + path + b" HTTP/1.1", b"Host: a", *fields, b"", b""))


class TestBoundedServer(TestCase):
    def setUp(self):
        super().setUp()
        self.bodies = []
        self.refusals = RefusalCounter(FakeClock(), lambda counts: None)
        self.clients = PortClients("callers", lambda: LIMITS, self.refusals)
        self.server = make_server("127.0.0.1:0", self.answer, self.clients)
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def answer(self, environ, start_response):
        status = "404 Not Found"
        if environ["PATH_INFO"] != "/early":
            body = environ["wsgi.input"].read()
            status = "200 OK"
            if isinstance(body, CallerRefused):
                status = f"{body.status} Refused"
            else:
                self.bodies.append(body)
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def connect(self):
        address = ("127.0.0.1", self.server.server_port)
        return closing(socket.create_connection(address, timeout=10))

    def exchange(self, *pieces, pause_s=0.0):
        with self.connect() as sock:
            try:
                for piece in pieces:
                    sock.sendall(piece)
                    sleep(pause_s)
                sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            return read_all(sock)

    def test_malformed_lengths_are_refused_and_not_run(self):
        for field in MALFORMED:
            reply = self.exchange(post(b"/", field) + b"x" * 1_000)
            self.assertThat((b"400", b"501"), Contains(reply.split()[1]))
            self.assertThat(reply.count(b"HTTP/1.1"), Equals(1))
        self.assertThat(self.bodies, Equals([]))

    def test_oversized_and_late_requests_are_refused(self):
        oversized = self.exchange(post(b"/", b"Content-Length: 100001"), b"x" * 100_001)
        chunk = b"1000\r\n" + b"x" * 4_096 + b"\r\n"
        chunked = self.exchange(post(b"/", b"Transfer-Encoding: chunked"), chunk * 30)
        self.assertThat([oversized.split()[1], chunked.split()[1]], Equals([b"413", b"413"]))
        for part, status in (
            (b"GET / HT", b"408"),
            (post(b"/", b"Content-Length: 9") + b"12345678", b"408"),
            (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 200 + b"\r\n", b"431"),
            (b"GET /" + b"x" * 3_000, b"431"),
        ):
            with self.connect() as sock:
                sock.sendall(part)
                self.assertThat(read_all(sock).split()[1], Equals(status))
        self.assertThat(self.bodies, Equals([]))

    def test_slow_requests_within_the_limits_are_served(self):
        body = b"0123456789"
        one_byte_each = [bytes((byte,)) for byte in body]
        head = post(b"/", b"Content-Length: 10")
        reply = self.exchange(head[:9], head[9:], *one_byte_each, pause_s=0.02)
        self.assertThat(reply[:12], Equals(b"HTTP/1.1 200"))
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in b"y" * 5_000) + b"0\r\n\r\n"
        reply = self.exchange(post(b"/", b"Transfer-Encoding: chunked"), chunks)
        self.assertThat(reply[:12], Equals(b"HTTP/1.1 200"))
        self.assertThat(self.bodies, Equals([body, b"y" * 5_000]))

    def test_health_check_without_host_is_served(self):
        reply = self.exchange(b"GET /v1/ready HTTP/1.0\r\n\r\n")
        self.assertThat(reply[:12], Equals(b"HTTP/1.1 200"))

    def test_early_answer_closes_a_connection_with_an_unread_body(self):
        # The rest of the body must neither be read without bound nor be taken for a request.
        small = post(b"/early", b"Content-Length: 3") + b"abc"
        reply = self.exchange(small + small)
        self.assertThat(reply.count(b"HTTP/1.1 404"), Equals(2))
        reply = self.exchange(
            post(b"/early", b"Content-Length: 99999999999"), *[b"x" * 65_536] * 40
        )
        self.assertThat(reply, Contains(b"Connection: close"))
        self.assertThat(reply.count(b"HTTP/1.1 404"), Equals(1))

    def test_unread_answers_end_the_connection(self):
        # The greenlet of a client that pipelines without reading would otherwise wait for ever.
        request = b"GET /early HTTP/1.1\r\nHost: a\r\n\r\n"
        with self.connect() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.settimeout(5.0)
            try:
                while not self.refusals.counts["callers", Cause.ANSWER_UNREAD]:
                    sock.sendall(request * 100)
            except OSError:
                pass
            self.assertThat(self.refusals.counts["callers", Cause.ANSWER_UNREAD], Equals(1))

    def test_request_sent_after_a_burst_of_connections_is_served(self):
        """Health checks were closed for connections that came between their own and its request."""
        for first_byte in (b"", b"G"):
            with self.connect() as sock:
                for _ in range(60):
                    other = self.connect().thing
                    self.addCleanup(other.close)
                    other.sendall(first_byte)
                sleep(0.05)
                sock.sendall(b"GET /v1/ready HTTP/1.0\r\n\r\n")
                self.assertThat(read_all(sock)[:12], Equals(b"HTTP/1.1 200"))

    def test_connections_that_send_nothing_count_as_clients(self):
        with self.connect():
            wait_until(lambda: self.clients.open_count == 1, 5.0)

    def test_unfinished_bodies_make_way_for_others(self):
        crowd = [self.connect().thing for _ in range(60)]
        for sock in crowd:
            self.addCleanup(sock.close)
            sock.sendall(post(b"/", b"Content-Length: 100000") + b"x" * 99_999)
        reply = self.exchange(post(b"/", b"Content-Length: 90000"), b"y" * 90_000)
        self.assertThat(reply[:12], Equals(b"HTTP/1.1 200"))
        self.assertThat(self.bodies, Equals([b"y" * 90_000]))
        self.assertThat(self.clients.budget.used_bytes, LessThan(LIMITS.total_body_bytes))
        self.assertThat(self.clients.open_count, LessThan(LIMITS.connections + 1))

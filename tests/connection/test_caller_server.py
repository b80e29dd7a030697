"""The HTTP server of the callers' port with valid, malformed, slow and idle callers."""

from contextlib import closing
from contextlib import contextmanager

from gevent import sleep
from gevent import socket
from gevent import spawn
from gevent.event import Event
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import StartsWith

from laburnumswitch.connection.caller_server import CallerResponse
from laburnumswitch.connection.caller_server import CallerServer
from laburnumswitch.connection.request_reader import CallerLimits

HOST = b"Host: a\r\n"
SMALL_LIMITS = CallerLimits(head_bytes=200, body_bytes=20, idle_s=5.0, head_s=0.1, body_s=0.1)
FRAGMENTS = (
    b"GET / HTTP/1.1\r\n",
    b"POST / HTTP/1.1\r\n",
    HOST,
    b"\r\n",
    b"\n",
    b"\r",
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"-1\r\n",
    b"abc",
    b"\x00",
    b": ",
    b" ",
)


def echo(request):
    return CallerResponse(200, (), request.body, len(request.body))


@contextmanager
def serving(application=echo, limits=SMALL_LIMITS):
    server = CallerServer(("127.0.0.1", 0), application, limits)
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=0)


def connect(server):
    return closing(socket.create_connection(("127.0.0.1", server.server_port), timeout=10))


def read_all(sock):
    blocks = []
    try:
        while block := sock.recv(65_536):
            blocks.append(block)
    except ConnectionError:
        pass
    return b"".join(blocks)


def exchange(server, raw):
    with connect(server) as sock:
        sock.sendall(raw)
        sock.shutdown(socket.SHUT_WR)
        return read_all(sock)


def status_of(reply):
    return int(reply.split()[1])


class TestCallersPort(TestCase):
    def test_invalid_requests_are_refused_as_not_run(self):
        cases = (
            (b"GET / HTTP/1.1\nHost: a\n\n", 400),
            (b"GET / HTTP/1.1\r\nHost: a\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nHost: a\r\nX: b\rc\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 21\r\n\r\n", 413),
            (b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"a" * 300, 431),
        )
        with serving() as server:
            for raw, status in cases:
                reply = exchange(server, raw)
                self.expectThat(status_of(reply), Equals(status), str(raw))
                self.expectThat(reply, Contains(b"Laburnumswitch-Outcome: not-run"))
                self.expectThat(reply, Contains(b"Connection: close"))

    def test_malformed_chunks_are_refused(self):
        head = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        bodies = (
            (b"x\r\n", 400),
            (b"3\nabc\r\n0\r\n\r\n", 400),
            (b"3\r\nabcd\r\n0\r\n\r\n", 400),
            (b"3\r\nabcXY0\r\n\r\n", 400),
            (b"-3\r\nabc\r\n", 400),
            (b"0x3\r\nabc\r\n0\r\n\r\n", 400),
            (b"3 \r\nabc\r\n0\r\n\r\n", 400),
            (b"fffffffffffff\r\n", 400),
            (b"0\r\nbad trailer\r\n\r\n", 400),
            (b"15\r\n" + b"a" * 21 + b"\r\n0\r\n\r\n", 413),
        )
        with serving() as server:
            for body, status in bodies:
                reply = exchange(server, head + body)
                self.expectThat(status_of(reply), Equals(status), str(body))

    def test_pipelined_requests_are_answered_in_order(self):
        chunked = b"Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n"
        raw = b"POST / HTTP/1.1\r\n" + HOST + chunked
        raw += b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 2\r\n\r\nde"
        with serving() as server:
            replies = exchange(server, raw).split(b"HTTP/1.1 200 OK\r\n")[1:]
        self.assertThat(
            [reply.partition(b"\r\n\r\n")[2] for reply in replies], Equals([b"abc", b"de"])
        )

    def test_slow_callers_time_out(self):
        starts = (
            b"GET / HTTP/1.1\r\nHos",
            b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\n\r\na",
        )
        with serving() as server:
            for start in starts:
                with connect(server) as sock:
                    sock.sendall(start)
                    self.expectThat(status_of(read_all(sock)), Equals(408))

    def test_expect_continue_is_answered_before_the_body(self):
        with serving() as server, connect(server) as sock:
            sock.sendall(b"POST / HTTP/1.1\r\n" + HOST)
            sock.sendall(b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n")
            self.assertThat(sock.recv(100), Equals(b"HTTP/1.1 100 Continue\r\n\r\n"))
            sock.sendall(b"x")
            self.assertThat(sock.recv(100), StartsWith(b"HTTP/1.1 200 OK"))

    def test_total_body_size_is_limited(self):
        limits = SMALL_LIMITS._replace(total_body_bytes=25, body_s=5.0)
        raw = b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 15\r\n\r\n"
        with serving(limits=limits) as server, connect(server) as first:
            first.sendall(raw)
            sleep(0.02)
            reply = exchange(server, raw + b"a" * 15)
            self.assertThat(status_of(reply), Equals(503))
            first.sendall(b"a" * 15)
            self.assertThat(first.recv(100), StartsWith(b"HTTP/1.1 200 OK"))

    def test_head_request_is_answered_without_a_body(self):
        with serving(lambda request: CallerResponse(200, (), b"", 5)) as server:
            reply = exchange(server, b"HEAD / HTTP/1.1\r\n" + HOST + b"\r\n")
        self.assertThat(reply, Contains(b"Content-Length: 5\r\n"))
        self.assertThat(reply.partition(b"\r\n\r\n")[2], Equals(b""))

    def test_truncated_response_is_detectable_by_the_caller(self):
        def stream(write):
            write(b"more")
            return False

        with serving(lambda request: CallerResponse(200, (), b"some", None, stream)) as server:
            reply = exchange(server, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
        self.assertThat(reply.endswith(b"4\r\nsome\r\n4\r\nmore\r\n"), Equals(True))

    def test_application_error_is_answered_as_unknown(self):
        with serving(lambda request: 1 / 0) as server:
            reply = exchange(server, b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
        self.assertThat(reply, StartsWith(b"HTTP/1.1 500 "))
        self.assertThat(reply, Contains(b"Laburnumswitch-Outcome: unknown"))

    def test_caller_that_reads_nothing_is_disconnected(self):
        ended = Event()

        def stream(write):
            try:
                while True:
                    write(b"x" * 65_536)
            finally:
                ended.set()

        answer = CallerResponse(200, (), b"", None, stream)
        limits = SMALL_LIMITS._replace(send_s=0.05)
        with serving(lambda request: answer, limits) as server, connect(server) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
            self.assertThat(ended.wait(5), Equals(True))

    def test_idle_connection_is_closed_and_a_used_one_is_not(self):
        raw = b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"
        with serving(limits=SMALL_LIMITS._replace(idle_s=0.2)) as server, connect(server) as sock:
            for _ in range(5):
                sleep(0.06)
                sock.sendall(raw)
                self.assertThat(sock.recv(200), StartsWith(b"HTTP/1.1 200"))
            self.assertThat(read_all(sock), Equals(b""))

    def test_drain_finishes_requests_and_closes_idle_connections(self):
        release = Event()
        started = Event()

        def slow(request):
            started.set()
            release.wait(5)
            return CallerResponse(200, (), b"done", 4)

        raw = b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"
        with serving(slow) as server, connect(server) as idle, connect(server) as busy:
            busy.sendall(raw)
            started.wait(5)
            draining = spawn(server.drain, 5.0)
            sleep(0.05)
            self.assertThat(draining.ready(), Equals(False))
            release.set()
            reply = read_all(busy)
            self.assertThat(reply, Contains(b"Connection: close"))
            self.assertThat(reply.endswith(b"done"), Equals(True))
            self.assertThat(read_all(idle), Equals(b""))
            self.assertThat(draining.get(timeout=5), Equals(True))

    def test_drain_waits_for_a_request_whose_head_has_begun(self):
        limits = SMALL_LIMITS._replace(head_s=5.0)
        with serving(limits=limits) as server, connect(server) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n")
            sleep(0.02)
            draining = spawn(server.drain, 5.0)
            sleep(0.06)
            sock.sendall(HOST + b"\r\n")
            self.assertThat(read_all(sock), StartsWith(b"HTTP/1.1 200"))
            self.assertThat(draining.get(timeout=5), Equals(True))

    def test_any_bytes_are_answered_or_the_connection_closed(self):
        pieces = strategies.one_of(
            strategies.sampled_from(FRAGMENTS), strategies.binary(max_size=8)
        )

        with serving() as server:

            @settings(
                derandomize=True,
                deadline=None,
                max_examples=300,
                database=None,
                suppress_health_check=list(HealthCheck),
            )
            @given(strategies.lists(pieces, max_size=14))
            def run(parts):
                reply = exchange(server, b"".join(parts))
                if reply:
                    assert reply.startswith(
                        (b"HTTP/1.1 200", b"HTTP/1.1 4", b"HTTP/1.1 5", b"HTTP/1.1 100")
                    )
                assert b"500 Internal" not in reply
                assert server.busy_count == 0
                assert server.reserved_body_bytes == 0

            run()
            raw = b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"
            self.assertThat(status_of(exchange(server, raw)), Equals(200))

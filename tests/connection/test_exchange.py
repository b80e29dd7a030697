"""Results of exchanges with upstreams, and which connections are pooled afterwards."""

from time import monotonic

from gevent import sleep
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.exchange import Exchange
from laburnumswitch.connection.exchange import ResponseHead
from laburnumswitch.connection.upstream_pool import UpstreamPool
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import ConnectionLimit
from laburnumswitch.exceptions import FirstByteLate
from tests.request.fakes import answering
from tests.request.fakes import FakeUpstream
from tests.request.fakes import OK_ANSWER

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
INCOMPLETE_RESPONSES = (
    (b"", "closed before the head"),
    (HEAD[:9], "closed within the head"),
    (HEAD + b"Content-Length: 5\r\n\r\nabc", "short body"),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "no last chunk"),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabc", "short chunk"),
    (HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "two lengths"),
    (HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "two framings"),
    (b"SSH-2.0 hello\r\n", "another protocol"),
    (b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "unasked upgrade"),
    (b"HTTP/1.1 100 Continue\r\n\r\n", "interim answer only"),
    (HEAD + b"X: " + b"a" * 200_000, "endless head"),
)
UNPOOLED_RESPONSES = (
    (OK_ANSWER + b"x", "a surplus byte"),
    (OK_ANSWER + OK_ANSWER, "an answer to another request"),
    (OK_ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), "asked to close"),
    (b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "an old version"),
)
FRAGMENTS = (
    HEAD,
    b"\r\n",
    b"\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: x\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"abc",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 999 \r\n",
    b"X: \xff\x00\r\n",
)


class TestExchange(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = UpstreamPool()

    def upstream(self, script):
        fake = FakeUpstream(script)
        self.addCleanup(fake.close)
        return fake, fake.as_upstream()

    def exchange(self, upstream, limit_s=5.0, method="GET"):
        """Run one exchange and return its body or its failure."""
        connection = self.pool.acquire(upstream, 1.0)
        exchange = Exchange(connection, method)
        deadline_s = monotonic() + limit_s
        result = exchange.send(REQUEST, deadline_s) or exchange.read_head(deadline_s, deadline_s)
        if isinstance(result, ResponseHead):
            result = b""
            while block := exchange.read_block(deadline_s):
                if isinstance(block, AnswerLost):
                    result = block
                    break
                result += block
        if exchange.is_connection_reusable():
            self.pool.release(connection)
        else:
            self.pool.discard(connection)
        return result

    def test_incomplete_responses_are_lost(self):
        for raw, why in INCOMPLETE_RESPONSES:

            def script(sock, _request, _number, raw=raw):
                sock.sendall(raw)
                sock.close()

            _, upstream = self.upstream(script)
            self.expectThat(self.exchange(upstream), IsInstance(AnswerLost), why)

    def test_connections_out_of_sync_are_not_pooled(self):
        for raw, why in UNPOOLED_RESPONSES:
            fake, upstream = self.upstream(answering(raw))
            for _ in range(2):
                self.expectThat(self.exchange(upstream), Equals(b"ok"), why)
            self.expectThat(fake.connections, Equals(2), why)

    def test_late_surplus_closes_the_idle_connection(self):
        fake, upstream = self.upstream(answering())

        def script(sock, _request, _number):
            sock.sendall(OK_ANSWER)
            sleep(0.01)
            sock.sendall(OK_ANSWER.replace(b"ok", b"no"))

        fake, upstream = self.upstream(script)
        self.exchange(upstream)
        sleep(0.05)
        self.assertThat(self.exchange(upstream), Equals(b"ok"))
        self.assertThat(fake.connections, Equals(2))

    def test_late_response_never_reaches_the_next_exchange(self):
        def script(sock, _request, number):
            if number == 1:
                sleep(0.1)
            sock.sendall(OK_ANSWER.replace(b"ok", b"%02d" % number))

        _, upstream = self.upstream(script)
        self.assertThat(self.exchange(upstream, 0.03), IsInstance(FirstByteLate))
        self.assertThat(self.exchange(upstream), Equals(b"02"))

    def test_body_may_end_with_the_stream_and_interim_responses_are_skipped(self):
        def script(sock, _request, _number):
            sock.sendall(b"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\nall of it")
            sock.close()

        _, upstream = self.upstream(script)
        self.assertThat(self.exchange(upstream), Equals(b"all of it"))

    def test_body_of_a_response_to_head_is_surplus(self):
        fake, upstream = self.upstream(answering())
        for _ in range(2):
            self.exchange(upstream, method="HEAD")
        self.assertThat(fake.connections, Equals(2))

    def test_any_response_is_either_complete_or_lost(self):
        pieces = strategies.one_of(
            strategies.sampled_from(FRAGMENTS), strategies.binary(max_size=6)
        )

        @settings(derandomize=True, deadline=None, max_examples=150, database=None)
        @given(strategies.lists(pieces, max_size=8))
        def run(parts):
            def script(sock, _request, _number):
                sock.sendall(b"".join(parts))
                sock.close()

            fake = FakeUpstream(script)
            try:
                result = self.exchange(fake.as_upstream())
                assert isinstance(result, bytes | AnswerLost), result
            finally:
                fake.close()

        run()

    def test_failed_connect_sends_no_byte(self):
        fake, upstream = self.upstream(answering())
        fake.close()
        self.assertThat(self.pool.acquire(upstream, 1.0), IsInstance(ConnectFailed))

    def test_connections_to_a_worker_are_limited(self):
        fake, upstream = self.upstream(answering())
        self.pool = UpstreamPool(max_connections_to_worker=2)
        taken = [self.pool.acquire(upstream, 1.0) for _ in range(2)]
        self.assertThat(self.pool.acquire(upstream, 1.0), IsInstance(ConnectionLimit))
        self.pool.discard(taken[0])
        self.assertThat(self.pool.acquire(upstream, 1.0).address, Equals(fake.address))

    def test_idle_connections_are_retired(self):
        now_s = [100.0]
        self.pool = UpstreamPool(clock=lambda: now_s[0])
        fake, upstream = self.upstream(answering())
        first = self.pool.acquire(upstream, 1.0)
        first.exchanges = 1
        self.pool.release(first)
        now_s[0] += 14.0
        self.assertThat(self.pool.acquire(upstream, 1.0), Equals(first))
        self.pool.release(first)
        now_s[0] += 2.0
        self.assertThat(self.pool.acquire(upstream, 1.0, 1.0) is first, Equals(False))
        now_s[0] += 14.0
        self.pool.reap()
        self.assertThat(self.pool.retired, Equals(1))
        self.assertThat(self.pool.acquire(upstream, 1.0) is first, Equals(False))

"""Forwarding of a request to an upstream and of its answer to the caller."""

from gevent import socket
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from tests.request.fakes import answering
from tests.request.fakes import call
from tests.request.fakes import context_of
from tests.request.fakes import FakeUpstream
from tests.request.fakes import get
from tests.request.fakes import LOOPBACK
from tests.request.fakes import post
from tests.request.fakes import read_reply
from tests.request.fakes import served


class TestForward(TestCase):
    def upstream(self, script=None):
        upstream = FakeUpstream(script or answering())
        self.addCleanup(upstream.close)
        return upstream

    def test_request_is_forwarded_with_its_outcome(self):
        upstream = self.upstream()
        with served(context_of(upstream.as_upstream())) as port:
            reply = call(port, post(b"rice"))
        self.assertThat((reply.status, reply.body), Equals((200, b"ok")))
        self.assertThat(reply.outcome, Equals("answered"))
        self.assertThat(upstream.requests[0], Contains(b"\r\n\r\nrice"))

    def test_two_requests_of_one_connection_use_one_upstream_connection(self):
        upstream = self.upstream()
        with (
            served(context_of(upstream.as_upstream())) as port,
            socket.create_connection((LOOPBACK, port), timeout=10) as sock,
        ):
            for _ in range(2):
                sock.sendall(get())
                self.assertThat(read_reply(sock).status, Equals(200))
        self.assertThat(upstream.connections, Equals(1))

    def test_request_is_not_run_without_a_configuration(self):
        upstream = self.upstream()
        context = context_of(upstream.as_upstream(), has_configuration=lambda: False)
        with served(context) as port:
            reply = call(port, get())
        self.assertThat((reply.status, reply.outcome), Equals((503, "not-run")))
        self.assertThat(reply.headers["retry-after"], Equals("1"))
        self.assertThat(upstream.requests, Equals([]))

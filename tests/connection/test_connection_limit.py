"""Connections of many clients stay within one limit."""

from gevent import joinall
from gevent import sleep
from gevent import spawn
from gevent.event import Event
from gevent.server import StreamServer
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import Response
from laburnumswitch.connection.connection_limit import ConnectionLimit
from laburnumswitch.connection.connection_limit import REPORT_INTERVAL_S
from laburnumswitch.exceptions import ConnectFailed

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
MAX_OPEN = 4


class TestConnectionLimit(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.open_count = self.max_open_count = 0
        self.may_answer = Event()
        self.may_answer.set()
        self.reports = []
        self.limit = ConnectionLimit(
            MAX_OPEN, lambda: self.now_s, lambda limit: self.reports.append(limit.open_count)
        )
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.clients = [self._make_client() for _ in range(2 * MAX_OPEN)]

    def _serve(self, sock, address):
        self.open_count += 1
        self.max_open_count = max(self.max_open_count, self.open_count)
        while sock.recv(65_536):
            self.may_answer.wait()
            sock.sendall(ANSWER)
        self.open_count -= 1

    def _make_client(self):
        client = Client(f"127.0.0.1:{self.server.server_port}", limit=self.limit)
        self.addCleanup(client.close)
        return client

    def _call_each(self, clients):
        return [client.call("GET", "/") for client in clients]

    def test_least_recently_used_idle_connection_is_closed_for_a_new_one(self):
        # An owner of 1,500 workers reached the limit of descriptors with idle connections.
        self._call_each(self.clients[:MAX_OPEN])
        self._call_each(self.clients[:1])
        outcomes = self._call_each(self.clients[MAX_OPEN:-1])
        self.assertThat({type(each) for each in outcomes}, Equals({Response}))
        # All but the first client, whose connection was used last, had to give theirs up.
        self._call_each(self.clients[:1])
        opened = [client.connections_opened for client in self.clients]
        self.assertThat(opened, Equals([1] * (2 * MAX_OPEN - 1) + [0]))
        self.assertThat(self.limit.closed_idle_count, Equals(MAX_OPEN - 1))
        self.assertThat(self.limit.open_count, Equals(MAX_OPEN))

    def test_limit_holds_during_bursts(self):
        for _ in range(3):
            joinall([spawn(client.call, "GET", "/") for client in self.clients])
        self._call_each(self.clients)
        self.assertThat(self.limit.open_count, Equals(MAX_OPEN))

    def test_call_is_refused_if_all_connections_are_in_use(self):
        self.may_answer.clear()
        busy = [spawn(client.call, "GET", "/") for client in self.clients[:MAX_OPEN]]
        while self.open_count < MAX_OPEN:
            sleep(0.001)
        self.assertThat(self.clients[-1].call("GET", "/"), IsInstance(ConnectFailed))
        self.assertThat(self.limit.refused_count, Equals(1))
        self.may_answer.set()
        joinall(busy)
        self.assertThat(self.clients[-1].call("GET", "/"), IsInstance(Response))
        self.assertThat(self.max_open_count <= MAX_OPEN + 1, Equals(True))

    def test_lost_connections_are_not_counted(self):
        self.may_answer.clear()
        for _ in range(2 * MAX_OPEN):
            self.clients[0].call("GET", "/", timeout_s=0.02)
        self.assertThat(self.limit.open_count, Equals(0))
        self.server.stop()
        self.assertThat(self.clients[0].call("GET", "/"), IsInstance(ConnectFailed))
        self.assertThat(self.limit.open_count, Equals(0))

    def test_connection_in_use_when_its_client_is_closed_is_not_kept(self):
        # The renewal of a worker that was dropped returned later and left its connection open.
        self.may_answer.clear()
        call = spawn(self.clients[0].call, "GET", "/")
        while not self.open_count:
            sleep(0.001)
        self.clients[0].close()
        self.may_answer.set()
        self.assertThat(call.get(), IsInstance(Response))
        self.assertThat(self.limit.open_count, Equals(0))

    def test_reports_are_as_rare_as_the_interval(self):
        self._call_each(self.clients)
        self.assertThat(len(self.reports), Equals(1))
        self.now_s = REPORT_INTERVAL_S
        self._call_each(self.clients)
        self.assertThat(len(self.reports), Equals(2))

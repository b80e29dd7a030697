"""Connections to workers: few for each worker, and bounded for all workers together."""

from gevent import joinall
from gevent import sleep
from gevent import spawn
from gevent.event import Event
from gevent.server import StreamServer
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.platform.workers import HttpWorkerLink
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import Acknowledged
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from tests.process.dispatch.harness import make_listing

BURST = 12
WORKERS = 20
# One for the renewal and two for commands.
MAX_CONNECTIONS = 3
BODY = encode({"clockMs": 1000, "born": 1, "running": [], "ended": []})
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


def make_command(index):
    return StartCommand(TaskKey("5c0e7a21d94b36f8", 0, 0, index), 1, "spec", 3.0, 7, "")


class TestWorkerConnections(TestCase):
    def setUp(self):
        super().setUp()
        self.open_count = 0
        self.request_count = 0
        self.may_answer = Event()
        self.may_answer.set()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.addCleanup(self.server.stop)

    def _serve(self, sock, address):
        self.open_count += 1
        while sock.recv(65_536):
            self.request_count += 1
            # Lets the other calls of a burst arrive before the first answer.
            sleep(0.001)
            self.may_answer.wait()
            sock.sendall(ANSWER)
        self.open_count -= 1

    def _make_link(self):
        link = HttpWorkerLink(make_listing(1, address=f"127.0.0.1:{self.server.server_port}"))
        self.addCleanup(link.close)
        return link

    def test_bursts_of_commands_leave_few_connections_to_each_worker(self):
        # One owner of some 1,500 workers ran out of descriptors after the first bursts of starts.
        links = [self._make_link() for _ in range(WORKERS)]
        calls = [spawn(link.renew, Renewal(7, 0, None, 0.0), 10.0) for link in links]
        calls += [spawn(link.start, make_command(n), 10.0) for link in links for n in range(BURST)]
        joinall(calls)
        self.assertThat({type(call.value) for call in calls}, Equals({Acknowledged, WorkerReport}))
        self.assertThat(self.request_count, Equals(WORKERS * (1 + BURST)))
        self.assertThat(self.open_count, LessThan(WORKERS * MAX_CONNECTIONS + 1))

    def test_command_that_finds_no_free_connection_in_time_is_not_sent(self):
        # Its start certainly did not take place, so the task may start elsewhere at once.
        link = self._make_link()
        self.may_answer.clear()
        calls = [spawn(link.start, make_command(n), 10.0) for n in range(BURST)]
        while self.request_count < MAX_CONNECTIONS - 1:
            sleep(0.001)
        outcome = link.start(make_command(BURST), 0.05)
        self.assertThat(outcome, IsInstance(ConnectFailed))
        self.assertThat(self.request_count, Equals(MAX_CONNECTIONS - 1))
        self.may_answer.set()
        joinall(calls)
        self.assertThat(self.request_count, Equals(BURST))

    def test_commands_that_wait_when_the_link_is_closed_are_not_sent(self):
        # The term has ended or the worker was dropped: the command may be overtaken by a successor.
        link = self._make_link()
        self.may_answer.clear()
        calls = [spawn(link.start, make_command(n), 10.0) for n in range(BURST)]
        while self.request_count < MAX_CONNECTIONS - 1:
            sleep(0.001)
        link.close()
        self.may_answer.set()
        joinall(calls)
        self.assertThat(self.request_count, Equals(MAX_CONNECTIONS - 1))
        sent = [call for call in calls if isinstance(call.value, Acknowledged)]
        self.assertThat(len(sent), Equals(MAX_CONNECTIONS - 1))

    def test_renewal_does_not_wait_for_commands(self):
        link = self._make_link()
        self.may_answer.clear()
        calls = [spawn(link.start, make_command(n), 10.0) for n in range(BURST)]
        renewal = spawn(link.renew, Renewal(7, 0, None, 0.0), 10.0)
        while self.request_count < MAX_CONNECTIONS:
            sleep(0.001)
        self.may_answer.set()
        joinall([renewal, *calls])
        self.assertThat(renewal.value, IsInstance(WorkerReport))

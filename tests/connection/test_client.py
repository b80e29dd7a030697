"""``Client`` never returns bytes of one call's response to another call."""

from gevent import get_hub
from gevent import sleep
from gevent import spawn
from gevent.event import Event
from gevent.server import StreamServer
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import STALL_TIMEOUT_S
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%b"


class TestClient(TestCase):
    def start(self, answers: list[bytes], headers=dict) -> Client:
        self.connections = 0
        self.closed = Event()

        def serve(sock, address):
            self.connections += 1
            while answers and sock.recv(65_536):
                sock.sendall(answers.pop(0))
            sock.close()
            self.closed.set()

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        client = Client(f"127.0.0.1:{server.server_port}", headers)
        self.addCleanup(client.close)
        return client

    def test_clean_connection_is_used_again(self):
        client = self.start([ANSWER % b"hi", ANSWER % b"ho"])
        bodies = [client.call("GET", "/").body for _ in range(2)]
        self.assertThat(bodies, Equals([b"hi", b"ho"]))
        self.assertThat(self.connections, Equals(1))

    def test_connection_closed_by_the_server_while_idle_is_replaced(self):
        client = self.start([ANSWER % b"hi"])
        client.call("GET", "/")
        self.closed.wait()
        client.call("GET", "/", timeout_s=0.2)
        self.assertThat(self.connections, Equals(2))

    def test_check_of_an_idle_connection_does_not_wait_for_other_greenlets(self):
        # The check ran the event loop once for each call to a worker.
        order = []

        def note_request():
            order.append("request")
            return {}

        client = self.start([ANSWER % b"hi", ANSWER % b"ho"], note_request)
        client.call("GET", "/")
        order.clear()
        spawn(order.append, "other greenlet")
        client.call("GET", "/")
        self.assertThat(order, Equals(["request", "other greenlet"]))

    def test_second_response_in_one_block_is_discarded_and_closes_the_connection(self):
        client = self.start([ANSWER % b"hi" + ANSWER % b"no", ANSWER % b"ho"])
        bodies = [client.call("GET", "/").body for _ in range(2)]
        self.assertThat(bodies, Equals([b"hi", b"ho"]))
        self.assertThat(self.connections, Equals(2))

    def test_short_response_is_lost_and_never_retried(self):
        client = self.start([ANSWER % b"x", ANSWER % b"ho"])
        outcome = client.call("GET", "/", timeout_s=0.2)
        self.assertThat(outcome, IsInstance(AnswerLost))
        self.assertThat(self.connections, Equals(1))

    def test_connection_in_use_when_its_client_is_closed_is_not_kept(self):
        # The renewal of a worker that was dropped ended later, and its connection stayed open.
        is_called, may_answer, is_closed = Event(), Event(), Event()

        def serve(sock, address):
            sock.recv(65_536)
            is_called.set()
            may_answer.wait()
            sock.sendall(ANSWER % b"hi")
            if not sock.recv(65_536):
                is_closed.set()

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        client = Client(f"127.0.0.1:{server.server_port}")
        call = spawn(client.call, "GET", "/")
        is_called.wait()
        client.close()
        may_answer.set()
        self.assertThat(call.get().body, Equals(b"hi"))
        self.assertThat(is_closed.wait(10.0), Equals(True))

    def test_refused_connection_sent_nothing(self):
        self.assertThat(Client("127.0.0.1:9").call("GET", "/"), IsInstance(ConnectFailed))

    def test_malformed_address_is_a_failed_connection(self):
        # An address without a port raised an error that ended the term of the calling owner.
        for address in ("", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:99999", "a\nb:80"):
            self.assertThat(Client(address).call("GET", "/"), IsInstance(ConnectFailed))


class TestTransfer(TestCase):
    """An answer that takes longer than the time limit of a call was given up while it arrived."""

    def _call(self, pauses_s, transfer_s):
        def serve(sock, address):
            sock.recv(65_536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(pauses_s))
            for pause_s in pauses_s:
                sleep(pause_s)
                sock.sendall(b"x")

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        client = Client(f"127.0.0.1:{server.server_port}")
        self.addCleanup(client.close)
        return client.call("GET", "/", timeout_s=0.3, transfer_s=transfer_s)

    def test_answer_may_take_longer_while_it_goes_on_arriving(self):
        self.assertThat(self._call([0.1] * 8, 20.0).body, Equals(b"x" * 8))

    def test_time_of_the_whole_answer_is_limited_without_it(self):
        self.assertThat(self._call([0.1] * 8, 0.0), IsInstance(AnswerLost))

    def test_answer_that_arrives_without_end_is_given_up(self):
        lost = self._call([0.1] * 100, 0.5)
        self.assertThat(lost, IsInstance(AnswerLost))
        self.assertIn("bytes", lost.reason)

    def test_answer_that_stops_arriving_is_given_up(self):
        self.assertThat(self._call([0.1, STALL_TIMEOUT_S * 3], 20.0), IsInstance(AnswerLost))


class TestNames(TestCase):
    """A listed worker's name that cannot be looked up held up connections to all others."""

    def test_numeric_address_is_reached_while_lookups_are_not_answered(self):
        server = StreamServer(("127.0.0.1", 0), lambda sock, _: sock.sendall(ANSWER % b"hi"))
        server.start()
        self.addCleanup(server.stop)
        answered = Event()
        self.addCleanup(answered.set)

        def look_up(*_, **__):
            answered.wait()

        self.patch(get_hub().resolver, "getaddrinfo", look_up)
        client = Client(f"127.0.0.1:{server.server_port}")
        self.addCleanup(client.close)
        self.assertThat(client.call("GET", "/", timeout_s=5.0).body, Equals(b"hi"))
        slow = Client("worker.invalid:80").call("GET", "/", timeout_s=0.1)
        self.assertThat(slow, IsInstance(ConnectFailed))

    def test_host_that_is_no_name_is_a_failed_connection(self):
        for host in ("a..b", f"{'x' * 70}.example"):
            self.assertThat(Client(f"{host}:80").call("GET", "/"), IsInstance(ConnectFailed))

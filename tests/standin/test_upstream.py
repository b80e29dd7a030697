"""A replica's server, with and without injected faults."""

from random import Random

from gevent import spawn
from gevent.event import Event
from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.process.workers.worker_api import StartOrder
from laburnumswitch.size import Size
from standin.records import Cut
from standin.records import DrainBegan
from standin.records import Executed
from standin.records import Record
from standin.records import RefusedWhileDraining
from standin.status_formats import ReplicaState
from standin.status_formats import status_format_of
from standin.upstream import HttpReplica
from standin.upstream import ReplicaFaults
from standin.upstream import REQUEST_HEADER

ORDER = StartOrder("shop:0", 1, 1e9, Size(1, 1), ("serve", "--service-ms=1"), 0.0, "", "shop", 2)


class TestHttpReplica(TestCase):
    def setUp(self):
        super().setUp()
        self.records: list[Record] = []
        self.recorded = Event()
        self.is_executing = True
        self.faults = ReplicaFaults()
        self.replica = HttpReplica(
            "127.0.0.1",
            ORDER,
            lambda: self.is_executing,
            lambda: 1.0,
            self.faults,
            self.record,
            Random(1),
        )
        self.addCleanup(self.replica.stop, "killed")
        self.client = self.make_client()

    def record(self, event: Record) -> None:
        self.records.append(event)
        self.recorded.set()

    def make_client(self) -> Client:
        headers = {REQUEST_HEADER: "r1", "Idempotency-Key": "k1"}
        client = Client(f"127.0.0.1:{self.replica.port}", lambda: headers)
        self.addCleanup(client.close)
        return client

    def test_executed_request_is_recorded_with_its_key(self):
        self.assertThat(self.client.call("POST", "/orders", b"{}").status, Equals(201))
        executed = self.records[0]
        self.assertThat((executed.request_id, executed.key), Equals(("r1", "k1")))

    def test_draining_replica_refuses_without_running(self):
        self.replica.drain()
        response = self.client.call("POST", "/orders", b"{}")
        self.assertThat(response.status, Equals(503))
        self.assertThat(dict(response.headers)["X-Request-Refused"], Equals("draining"))
        kinds = [type(record) for record in self.records]
        self.assertThat(kinds, Equals([DrainBegan, RefusedWhileDraining]))

    def test_only_connections_from_before_the_fault_are_silent(self):
        self.client.call("GET", "/a")
        self.faults.silent_since_s = 1e12
        self.assertThat(self.client.call("GET", "/a", b"", 0.2), IsInstance(AnswerLost))
        self.faults.silent_since_s = 1.0
        self.assertThat(self.make_client().call("GET", "/a").status, Equals(200))

    def test_truncated_answer_follows_an_execution(self):
        self.faults.truncate_answers = 1
        self.assertThat(self.client.call("GET", "/a"), IsInstance(AnswerLost))
        self.assertThat(len(self.records), Equals(1))

    def test_replica_whose_lease_lapsed_runs_nothing(self):
        self.is_executing = False
        self.assertThat(self.client.call("GET", "/a"), IsInstance(AnswerLost))
        self.assertThat(self.records, Equals([]))

    def test_stop_cuts_and_records_what_is_in_flight(self):
        self.faults.slow_factor = 10_000.0
        caller = spawn(self.client.call, "GET", "/a", b"", 5.0)
        self.recorded.wait(5.0)
        self.replica.stop("killed")
        self.assertThat(caller.get(timeout=5.0), IsInstance(AnswerLost))
        self.assertThat([type(record) for record in self.records], Equals([Executed, Cut]))
        self.assertThat(self.records[1][2:], Equals(("killed", 1)))


class TestStatusFormats(TestCase):
    def test_each_program_reports_its_state_in_its_own_format(self):
        state = ReplicaState(True, True, 0.25)
        orders = status_format_of(("order-confirmations",)).page(state).body
        snapshots = status_format_of(("footfall-snapshots",)).page(state).body
        prices = status_format_of(("prices", "--port")).headers(state)
        self.assertThat(decode(orders)["load"], Equals({"percent": 25.0}))
        self.assertThat(snapshots.split()[-1], Equals(b"0.250"))
        self.assertThat(dict(prices)["X-Backend-Load"], Equals("0.250"))

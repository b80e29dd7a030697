"""A rack of workers, through its clients over HTTP."""

from tempfile import TemporaryDirectory

from gevent import spawn
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.workers.worker_api import StartOrder
from laburnumswitch.process.workers.worker_api import WorkerApiClient
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.process.workers.worker_api import WorkerReply
from laburnumswitch.size import Size
from standin.rack import Rack
from standin.rack import RackSettings
from standin.records import Cut
from standin.records import Record
from standin.records import RunEnded
from standin.server import bound_address
from standin.server import start_server

SIZE = Size(1000, 100)

# Time limit of calls that have to be answered, in seconds; a busy machine takes some tenths.
ANSWER_LIMIT_S = 10.0


class TestRack(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.records: list[Record] = []
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        capacity = Size(4000, 1000)
        settings = RackSettings("r1", "127.0.0.1", "east", 1, 2, capacity, 1, 1.0, folder.name)
        self.rack = Rack(settings, self.records.append, lambda: self.now_s)
        server = start_server("127.0.0.1:0", self.rack.handle)
        self.addCleanup(server.stop, timeout=0)
        self.address = bound_address(server)

    def exchange(
        self, worker_id: str = "worker-001", timeout_s: float = ANSWER_LIMIT_S, **orders
    ) -> WorkerReply | Unavailable:
        worker = self.rack.worker_by_id[worker_id]
        sent = WorkerOrders(worker.settings.boot, 1, full=True, **orders)
        answer = WorkerApiClient(timeout_s).exchange(self.address, {worker_id: sent})
        return answer if isinstance(answer, Unavailable) else answer[worker_id]

    def start_replica(self) -> Client:
        until = self.rack.worker_by_id["worker-001"].clock() + 5.0
        order = StartOrder("shop:0", 1, until, SIZE, ("prices",), 0.0, "", "shop", 8)
        report = self.exchange(starts=(order,))
        client = Client(f"127.0.0.1:{report.runs[0].port}")
        self.addCleanup(client.close)
        return client

    def set_faults(self, **faults: object) -> None:
        client = Client(self.address)
        self.addCleanup(client.close)
        self.assertThat(call_json(client, "POST", "/faults", faults, bool), Equals(True))

    def test_request_that_finds_the_lease_lapsed_ends_the_run_and_is_not_executed(self):
        replica = self.start_replica()
        self.assertThat(replica.call("GET", "/a").status, Equals(200))
        self.now_s += 60.0
        executed = len(self.records)
        self.assertThat(replica.call("GET", "/a"), IsInstance(AnswerLost))
        kinds = [type(record) for record in self.records[executed:]]
        self.assertThat(kinds, Equals([Cut, RunEnded]))
        self.assertThat(self.exchange().events[-1].kind, Equals("lapsed"))

    def test_paused_worker_answers_nothing_while_others_do(self):
        self.set_faults(paused=["worker-001"])
        self.assertThat(self.exchange(timeout_s=0.3), IsInstance(Unavailable))
        self.assertThat(self.exchange("worker-002"), IsInstance(WorkerReply))
        self.set_faults(paused=[])
        self.assertThat(self.exchange(), IsInstance(WorkerReply))

    def test_request_to_a_paused_worker_runs_only_after_the_pause(self):
        replica = self.start_replica()
        self.set_faults(paused=["worker-001"])
        started = len(self.records)
        caller = spawn(replica.call, "GET", "/a", b"", 5.0)
        caller.join(0.1)
        self.assertThat(len(self.records), Equals(started))
        self.set_faults(paused=[])
        self.assertThat(caller.get(timeout=5.0).status, Equals(200))

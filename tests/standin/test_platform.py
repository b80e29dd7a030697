"""The stand-in of the platform, through its clients over HTTP."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.peers.vms import VmListClient
from laburnumswitch.process.rows.object_store import ObjectStoreClient
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import TableClient
from laburnumswitch.process.rows.table import Transaction
from standin.platform import Platform
from standin.records import Record
from standin.records import RowPut
from standin.server import bound_address
from standin.server import start_server
from standin.table import MemoryTable
from standin.vms import MemoryVmList

ENTRY = Vm("entry-1", "entry", "127.0.0.1:8300", "east", "live")


class TestPlatform(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 50.0
        self.records: list[Record] = []
        table = MemoryTable(writes_per_s=3, reads_per_s=100, clock=self.clock)
        self.vms = MemoryVmList(clock=self.clock)
        self.platform = Platform(table, self.vms, self.records.append, self.clock)
        server = start_server("127.0.0.1:0", self.platform.handle)
        self.addCleanup(server.stop, timeout=0)
        self.client = Client(bound_address(server))
        self.addCleanup(self.client.close)
        self.table = TableClient(self.client, timeout_s=0.5)

    def clock(self) -> float:
        return self.now_s

    def set_faults(self, **faults: object) -> None:
        self.assertThat(call_json(self.client, "POST", "/faults", faults, bool), Equals(True))

    def create(self, key: str) -> object:
        return self.table.commit(Transaction((Condition(key, 0),), (Put(key, "out"),)))

    def test_commit_conflict_and_record_of_zone_rows(self):
        self.assertThat(self.create("zone/east"), Equals(Committed(1)))
        self.assertThat(self.create("zone/east"), Equals(Conflict("zone/east", 0, 1)))
        self.assertThat(self.records, Equals([RowPut(50.0, "zone/east", '"out"')]))
        self.assertThat(self.table.scan("zone/")[0].value, Equals("out"))

    def test_lost_answer_took_effect_and_the_next_call_works(self):
        self.set_faults(lose_answers=1)
        self.assertThat(self.create("a"), IsInstance(OutcomeUnknown))
        self.assertThat(self.table.read(("a",))["a"].value, Equals("out"))

    def test_slow_answer_is_unknown_to_the_writer(self):
        self.set_faults(delay_s=2.0)
        self.assertThat(self.create("a"), IsInstance(OutcomeUnknown))

    def test_outage_refuses_everything_but_fault_switches(self):
        objects = ObjectStoreClient(self.client)
        objects.put("a/b", b"content")
        self.set_faults(down=True)
        self.assertThat(self.create("a"), IsInstance(Unavailable))
        self.assertThat(objects.get("a/b"), IsInstance(Unavailable))
        self.assertThat(VmListClient(self.client).changes_after(0), IsInstance(Unavailable))
        self.set_faults(down=False)
        self.assertThat(objects.get("a/b"), Equals(b"content"))
        self.assertThat(objects.get("c"), Equals(NotFound("c")))

    def test_write_budget_refuses_and_counts(self):
        outcomes = [self.create(f"k{number}") for number in range(4)]
        self.assertThat(outcomes[3], Equals(Throttled(1.0)))
        use = call_json(self.client, "GET", "/use", None, dict)
        self.assertThat(use["writes"], Equals([3, 3, 1]))

    def test_list_shows_changes_after_its_lag(self):
        self.vms.lag_s = 5.0
        self.vms.put(ENTRY)
        client = VmListClient(self.client)
        self.assertThat(client.changes_after(0).vms, Equals(()))
        self.now_s += 5.0
        shown = client.changes_after(0)
        self.assertThat(shown.vms, Equals((ENTRY,)))
        self.vms.put(ENTRY._replace(state="gone"))
        self.now_s += 5.0
        self.assertThat(client.changes_after(shown.revision).vms[0].state, Equals("gone"))

"""Zone states: repeats, lost answers, concurrent operators and outages."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.exceptions import ZoneChanged
from laburnumswitch.process.operating.zones import read_zones
from laburnumswitch.process.operating.zones import set_zone
from laburnumswitch.process.operating.zones import ZoneState
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.table import MemoryTable


class RacedTable(MemoryTable):
    """Calls ``rival`` once, between the read and the write of a row."""

    rival = None

    def commit(self, transaction):
        rival, self.rival = self.rival, None
        if rival is not None:
            rival()
        return super().commit(transaction)


class TestSetZone(TestCase):
    def setUp(self):
        super().setUp()
        self.table = RacedTable()

    def set(self, state, sleep=lambda _: None, actor="asha"):
        return set_zone(self.table, "az-1", state, actor, lambda: 1.0, sleep)

    def test_zone_goes_out_of_service_and_returns(self):
        first = self.set("out")
        self.assertThat(read_zones(self.table), Equals({"az-1": ZoneState("az-1", "out", 1)}))
        self.assertThat(self.set("in").version > first.version, Equals(True))

    def test_repeat_writes_nothing(self):
        self.assertThat(self.set("out"), Equals(self.set("out")))
        self.assertThat(self.table.commits, Equals(1))

    def test_lost_answer_is_resolved_by_reading_again(self):
        self.table.lose_answers = 1
        self.assertThat(self.set("out"), Equals(ZoneState("az-1", "out", 1)))
        self.assertThat(self.table.commits, Equals(1))

    def test_lost_answer_before_an_outage_is_outcome_unknown(self):
        self.table.lose_answers = 1

        def go_down(_):
            self.table.down = True

        self.assertThat(self.set("out", go_down), IsInstance(OutcomeUnknown))

    def test_outage_changes_nothing(self):
        self.table.down = True
        self.assertThat(self.set("out"), IsInstance(Unavailable))

    def test_concurrent_change_to_the_same_state_is_no_conflict(self):
        self.table.rival = lambda: self.set("out", actor="binh")
        self.assertThat(self.set("out"), Equals(ZoneState("az-1", "out", 1)))

    def test_concurrent_change_to_the_opposite_state_names_its_actor(self):
        self.set("out")

        def change_twice():
            self.set("in", actor="binh")
            self.set("out", actor="binh")

        self.table.rival = change_twice
        self.assertThat(self.set("in"), Equals(ZoneChanged("az-1", "out", "binh")))

    def test_malformed_row_is_a_failure(self):
        self.table.commit(Transaction((), (Put("zone/az-1", {"state": "gone"}),)))
        self.assertThat(self.set("out"), IsInstance(RowMalformed))
        self.assertThat(read_zones(self.table), IsInstance(RowMalformed))

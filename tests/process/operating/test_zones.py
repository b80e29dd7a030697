"""Zone states: repeats, lost answers, operators who race, outages."""

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
    """Lets ``rival`` act once, after the row was read and before it is written."""

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

    def test_out_and_in_again(self):
        first = self.set("out")
        self.assertThat(read_zones(self.table), Equals({"az-1": ZoneState("az-1", "out", 1)}))
        self.assertThat(self.set("in").version > first.version, Equals(True))

    def test_repeat_writes_nothing(self):
        self.assertThat(self.set("out"), Equals(self.set("out")))
        self.assertThat(self.table.commits, Equals(1))

    def test_lost_answer_is_settled(self):
        self.table.lose_answers = 1
        self.assertThat(self.set("out"), Equals(ZoneState("az-1", "out", 1)))
        self.assertThat(self.table.commits, Equals(1))

    def test_lost_answer_before_an_outage_is_unknown(self):
        self.table.lose_answers = 1

        def go_down(_):
            self.table.down = True

        self.assertThat(self.set("out", go_down), IsInstance(OutcomeUnknown))

    def test_outage_changes_nothing(self):
        self.table.down = True
        self.assertThat(self.set("out"), IsInstance(Unavailable))

    def test_rival_with_the_same_wish_is_no_conflict(self):
        self.table.rival = lambda: self.set("out", actor="binh")
        self.assertThat(self.set("out"), Equals(ZoneState("az-1", "out", 1)))

    def test_rival_with_the_opposite_wish_is_named(self):
        self.set("out")

        def rival():
            self.set("in", actor="binh")
            self.set("out", actor="binh")

        self.table.rival = rival
        self.assertThat(self.set("in"), Equals(ZoneChanged("az-1", "out", "binh")))

    def test_row_of_another_shape_is_a_failure(self):
        self.table.commit(Transaction((), (Put("zone/az-1", {"state": "gone"}),)))
        self.assertThat(self.set("out"), IsInstance(RowMalformed))
        self.assertThat(read_zones(self.table), IsInstance(RowMalformed))

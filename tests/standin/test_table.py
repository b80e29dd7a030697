"""Behaviour of the in-memory table on which the product's protocol depends."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.table import MemoryTable


class TestMemoryTable(TestCase):
    def test_second_conditional_create_conflicts(self):
        table = MemoryTable()
        create = Transaction((Condition("a", 0),), (Put("a", {"n": 1}),))
        self.assertThat(table.commit(create), IsInstance(Committed))
        self.assertThat(table.commit(create), IsInstance(Conflict))

    def test_lost_answer_has_taken_effect(self):
        table = MemoryTable()
        table.lose_answers = 1
        outcome = table.commit(Transaction((), (Put("a", 1),)))
        self.assertThat(outcome, IsInstance(OutcomeUnknown))
        self.assertThat(table.read(("a",))["a"].value, Equals(1))

    def test_down_table_takes_no_write(self):
        table = MemoryTable()
        table.down = True
        outcome = table.commit(Transaction((), (Put("a", 1),)))
        self.assertThat(outcome, IsInstance(Unavailable))
        table.down = False
        self.assertThat(table.read(("a",))["a"].version, Equals(0))

    def test_scan_pages_by_key(self):
        table = MemoryTable()
        table.commit(Transaction((), tuple(Put(f"p/{n:02}", n) for n in range(5)) + (Put("q", 9),)))
        first = table.scan("p/", limit=3)
        rest = table.scan("p/", after=first[-1].key)
        self.assertThat([row.value for row in first + rest], Equals([0, 1, 2, 3, 4]))

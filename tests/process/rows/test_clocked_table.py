"""Propagation of the logical clock in table rows, invisible to readers of the rows."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.inbox import Chunk
from laburnumswitch.process.ledger.inbox import inbox_put
from laburnumswitch.process.ledger.journal import Batch
from laburnumswitch.process.ledger.journal import commit_batch
from laburnumswitch.process.ledger.journal import settle_batch
from laburnumswitch.process.ledger.journal import TookEffect
from laburnumswitch.process.ledger.ownership import take_over
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.rows.clocked_table import CLOCK_FIELD
from laburnumswitch.process.rows.clocked_table import ClockedTable
from laburnumswitch.process.rows.clocked_table import MAX_CLOCK
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.table import MemoryTable


class TestClockedTable(TestCase):
    def setUp(self):
        super().setUp()
        self.inner = MemoryTable()
        self.writer, self.reader = (Timeline(name, "a", lambda: 0.0) for name in ("z", "b"))
        self.writer_table = ClockedTable(self.inner, self.writer)
        self.reader_table = ClockedTable(self.inner, self.reader)

    def put(self, *puts):
        return self.writer_table.commit(Transaction((), puts))

    def test_effect_of_a_row_sorts_after_the_event_of_its_writer(self):
        for put, read in (
            (
                Put("claim/s/1", {"state": "claimed"}),
                lambda: self.reader_table.read(("claim/s/1",)),
            ),
            (
                inbox_put(0, "c1", Chunk({"job_id": "j"}, 0, 1)),
                lambda: self.reader_table.scan("inbox/0"),
            ),
        ):
            for _ in range(50):
                self.writer.record("claimed", "r1")
            self.put(put)
            self.writer.record("claimed", "r1")
            read()
            self.reader.record("claim_refused", "r2")
            self.assertThat(self.writer.clock < self.reader.clock, Equals(True))

    def test_rows_are_read_without_the_stamp(self):
        chunk = Chunk({"job_id": "j"}, 0, 1)
        self.put(Put("claim/s/1", {"state": "claimed"}), inbox_put(0, "c1", chunk))
        self.put(Put("zone/a", {"state": "out"}))
        rows = [
            *self.reader_table.scan(""),
            *self.reader_table.read(("claim/s/1", "absent")).values(),
        ]
        self.assertThat([CLOCK_FIELD in (row.value or {}) for row in rows], Equals([False] * 5))
        self.assertThat(CLOCK_FIELD in self.inner.read(("zone/a",))["zone/a"].value, Equals(False))

    def test_batch_with_a_lost_answer_is_settled_as_applied(self):
        head = take_over(self.writer_table, read_head(self.writer_table, 0), "e1")
        self.assertIsInstance(head, Head)
        batch = Batch("batch-1")
        self.inner.lose_answers = 1
        commit_batch(self.writer_table, head, batch)
        self.writer.record("commit_unknown", "0")
        self.assertIsInstance(settle_batch(self.writer_table, head, batch), TookEffect)

    def test_invalid_clock_is_ignored(self):
        for clock in ("9", None, MAX_CLOCK, -1):
            self.inner.commit(Transaction((), (Put("claim/s/1", {CLOCK_FIELD: clock}),)))
            self.assertThat(self.reader_table.read(("claim/s/1",))["claim/s/1"].value, Equals({}))
        self.assertThat(self.reader.clock, Equals(0))

"""Commits of batches, and resolution of those whose answer was lost."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import OwnershipLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.journal import Batch
from laburnumswitch.process.ledger.journal import commit_batch
from laburnumswitch.process.ledger.journal import HadNoEffect
from laburnumswitch.process.ledger.journal import replay_journal
from laburnumswitch.process.ledger.journal import settle_batch
from laburnumswitch.process.ledger.journal import TookEffect
from laburnumswitch.process.ledger.journal import touch_head
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ownership import take_over
from laburnumswitch.process.ledger.records import ChunkTaken
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.workers.task_spec import encode_task_spec
from standin.table import MemoryTable
from tests.fakes import FaultyTable
from tests.process.sharding.bench import make_work

BATCH = Batch("b1", (ChunkTaken("c", encode_task_spec(make_work()), 0, 2),))


class TestSettle(TestCase):
    def setUp(self):
        super().setUp()
        self.table = MemoryTable()
        self.head = take_over(self.table, read_head(self.table, 0), "e1")

    def test_committed_batch_with_a_lost_answer_is_found(self):
        self.table.lose_answers = 1
        outcome = commit_batch(self.table, self.head, BATCH)
        self.assertThat(outcome, IsInstance(OutcomeUnknown))
        settled = settle_batch(self.table, self.head, BATCH)
        self.assertThat(settled, IsInstance(TookEffect))
        self.assertThat(settled.head.seq, Equals(1))
        ledger = replay_journal(self.table, settled.head, Ledger())
        self.assertThat(ledger.find_group("j@1").count_pending(), Equals(2))

    def test_settling_prevents_a_delayed_batch_from_committing(self):
        table = FaultyTable(self.table)
        table.commits_to_delay = 1
        commit_batch(table, self.head, BATCH)
        settled = settle_batch(table, self.head, BATCH)
        self.assertThat(settled, IsInstance(HadNoEffect))
        self.assertThat(self.table.commit(table.delayed_transactions[0]), IsInstance(Conflict))
        self.assertThat(commit_batch(table, settled.head, BATCH), IsInstance(Head))

    def test_batch_committed_during_settling_is_found(self):
        table = FaultyTable(self.table)
        table.commits_to_delay = 1
        commit_batch(table, self.head, BATCH)
        table.before_commit = lambda: self.table.commit(table.delayed_transactions[0])
        self.assertThat(settle_batch(table, self.head, BATCH), IsInstance(TookEffect))

    def test_head_touch_with_a_lost_answer_is_settled(self):
        self.table.lose_answers = 2
        self.assertThat(touch_head(self.table, self.head), IsInstance(OutcomeUnknown))
        settled = settle_batch(self.table, self.head, Batch(self.head.batch))
        self.assertThat(settled, IsInstance(TookEffect))

    def test_takeover_by_another_entry_is_reported(self):
        take_over(self.table, self.head, "e2")
        settled = settle_batch(self.table, self.head, BATCH)
        self.assertThat(settled, Equals(OwnershipLost(0, "e2", 2)))

    def test_settling_fails_while_the_table_is_unavailable(self):
        self.table.down = True
        self.assertThat(settle_batch(self.table, self.head, BATCH), IsInstance(Unavailable))

    def test_fields_of_a_newer_version_survive_a_commit(self):
        value = {**self.head.value, "later": 7}
        self.table.commit(Transaction((), (Put("head/0", value),)))
        commit_batch(self.table, read_head(self.table, 0), BATCH)
        self.assertThat(self.table.read(("head/0",))["head/0"].value["later"], Equals(7))

"""Tests of the commits that the emulated store loses."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import CommitLoss
from standin.fleet.feed_table import FeedMemoryTable

TRANSACTION = Transaction((), (Put("rows/a", 1),))
CONFLICTING = Transaction((Condition("rows/a", 7),), (Put("rows/a", 2),))


class TestCommitLoss(TestCase):
    def setUp(self):
        super().setUp()
        self.table = FeedMemoryTable()

    def _commit(self, loss, transaction=TRANSACTION):
        self.table.choose_loss = lambda lost: loss
        return type(self.table.commit(transaction)), self.table.peek("rows/a").value

    def test_lost_answer_leaves_the_commit(self):
        self.assertThat(self._commit(CommitLoss.ANSWER), Equals((OutcomeUnknown, 1)))

    def test_lost_commit_changes_nothing(self):
        self.assertThat(self._commit(CommitLoss.WRITE), Equals((OutcomeUnknown, None)))

    def test_nothing_is_lost_by_default(self):
        self.assertThat(type(self.table.commit(TRANSACTION)), Equals(Committed))
        self.assertThat(self._commit(CommitLoss.NOTHING), Equals((Committed, 1)))

    def test_refusal_is_answered(self):
        self.assertThat(self._commit(CommitLoss.ANSWER, CONFLICTING), Equals((Conflict, None)))

    def test_row_can_be_seen_while_the_store_is_down(self):
        self.table.commit(TRANSACTION)
        self.table.down = True
        self.assertThat(self.table.peek("rows/a").value, Equals(1))

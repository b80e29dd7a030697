"""Tests of cancellations of jobs that are not stored, while writes of them may be on their way."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import JobWithdrawn
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import store_submission
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.dispatch.progress import withdraw_submission
from laburnumswitch.process.dispatch.retention import WITHDRAWAL_S
from laburnumswitch.request.job_api import MAX_SUBMISSION_AGE_S
from standin.fleet.feed_table import CommitLoss
from standin.fleet.feed_table import FeedMemoryTable
from tests.request.test_job_api import JOB_ID
from tests.request.test_job_api import JobApiCase

SUBMISSION = Submission(JOB_ID, "orders", "x", (Step(1),), 5.0)


class TestCancellationBeforeTheSubmission(JobApiCase):
    """A job ran although its cancellation had been answered 410."""

    def is_stored(self):
        return self._stored(submission_key(JOB_ID))

    def cancel(self):
        return self._ask("DELETE").status

    def test_write_that_is_on_its_way_has_no_effect(self):
        self.table.delayed_commits = 100
        self.assertThat(self._submit().status, Equals(504))
        self.table.delayed_commits = 0
        self.assertThat(self.cancel(), Equals(410))
        self.assertThat(self.table.apply_delayed_commits(), Equals(0))
        self.assertThat(self.is_stored(), Equals(False))

    def test_submission_that_arrives_later_is_refused_for_good(self):
        # With a calm store: the caller left right after it had sent the job.
        self.assertThat(self.cancel(), Equals(410))
        reply = self._submit()
        self.assertThat((reply.status, reply.retry_after_s), Equals((410, 0)))
        self.assertThat(self.is_stored(), Equals(False))
        self.assertThat(self.owner.notified, Equals([]))

    def test_job_that_was_never_stored_is_not_shown(self):
        self.assertThat(self.cancel(), Equals(410))
        self.assertThat(self._ask("GET").status, Equals(410))

    def test_owner_that_stores_for_this_entry_refuses_it_as_well(self):
        self.table.down = True
        self.owner.can_store = JobWithdrawn(JOB_ID)
        self.assertThat(self._submit().status, Equals(410))

    def test_repeated_cancellation_writes_nothing_more(self):
        self.cancel()
        commits = self.table.commits
        self.assertThat(self.cancel(), Equals(410))
        self.assertThat(self.table.commits, Equals(commits))

    def test_cancellation_is_acknowledged_only_once_it_is_stored(self):
        self.table.choose_loss = lambda transaction: CommitLoss.WRITE
        self.assertThat(self.cancel(), Equals(504))
        self.table.choose_loss = lambda transaction: CommitLoss.ANSWER
        self.assertThat(self.cancel(), Equals(410))
        self.assertThat(self._stored(cancellation_key(JOB_ID)), Equals(True))

    def test_job_that_is_stored_meanwhile_is_cancelled(self):
        read = self.table.read

        def read_slowly(keys):
            rows = read(keys)
            self.table.read = read
            store_submission(self.table, SUBMISSION)
            return rows

        self.table.read = read_slowly
        self.assertThat(self.cancel(), Equals(200))
        self.assertThat(self.owner.cancelled, Equals([JOB_ID]))

    def test_entry_that_was_suspended_does_not_store_an_old_submission(self):
        commit = self.table.commit

        def suspend(transaction):
            self.clock.now_s += MAX_SUBMISSION_AGE_S + 1.0
            self.table.commit = commit
            return Unavailable("suspended")

        self.table.commit = suspend
        self.assertThat(self._submit().status, Equals(504))
        self.assertThat(self.is_stored(), Equals(False))
        self.assertThat(MAX_SUBMISSION_AGE_S * 2 < WITHDRAWAL_S, Equals(True))


class TestOrders(TestCase):
    """Any order of submissions, cancellations and late writes."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.sampled_from(
                ("store", "store late", "store lost", "cancel", "cancel late", "writes arrive")
            ),
            max_size=10,
        )
    )
    def test_job_is_never_stored_once_its_cancellation_was_answered_410(self, steps):
        table = FeedMemoryTable()
        is_withdrawn = False
        for step in steps:
            table.delayed_commits = int(step.endswith("late"))
            lost = CommitLoss.ANSWER if step.endswith("lost") else CommitLoss.NOTHING
            table.choose_loss = lambda transaction, lost=lost: lost
            if step == "writes arrive":
                table.apply_delayed_commits()
            elif step.startswith("store"):
                store_submission(table, SUBMISSION)
            elif table.peek(submission_key(JOB_ID)).version == 0:
                is_withdrawn |= withdraw_submission(table, JOB_ID, 5.0) is None
            if is_withdrawn:
                stored = table.peek(submission_key(JOB_ID)).version
                self.assertThat(stored, Equals(0))

"""Tests of the removal of finished jobs' rows."""

from gevent import sleep
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.dispatch.progress import SUBMISSIONS_TABLE
from laburnumswitch.process.dispatch.progress import withdraw_submission
from laburnumswitch.process.dispatch.retention import forget_unknown_jobs
from laburnumswitch.process.dispatch.retention import JOBS_PER_PASS
from laburnumswitch.process.dispatch.retention import REMOVAL_INTERVAL_S
from laburnumswitch.process.dispatch.retention import remove_old_jobs
from laburnumswitch.process.dispatch.retention import remove_withdrawals
from laburnumswitch.process.dispatch.retention import RETENTION_S
from laburnumswitch.process.dispatch.retention import WITHDRAWAL_S
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until


class TestRetention(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        self.harness.submit(make_submission("j1"), self.owner)
        wait_until(lambda: self.owner.reported_state("j1") is JobState.COMPLETED)

    def _version(self, key):
        return self.harness.table.read((key,))[key].version

    def test_recent_jobs_are_kept(self):
        self.assertThat(remove_old_jobs(self.owner), Equals(0))
        self.assertThat(self._version(submission_key("j1")) > 0, Equals(True))

    def test_old_jobs_are_removed(self):
        self.owner.ended_s_by_id["j1"] -= RETENTION_S + 1
        self.assertThat(remove_old_jobs(self.owner), Equals(1))
        wait_until(lambda: self._version(progress_key("j1")) == 0)
        self.assertThat(self._version(submission_key("j1")), Equals(0))
        self.assertThat(self.owner.reported_state("j1"), Equals(None))

    def test_a_pass_keeps_up_with_the_largest_deployment(self):
        ended_in_a_pass = 17 * REMOVAL_INTERVAL_S
        self.assertThat(JOBS_PER_PASS, GreaterThan(ended_in_a_pass))

    def test_jobs_that_never_arrived_are_forgotten(self):
        self.owner.cancel_job("old")
        self.owner.cancel_job("new")
        self.owner.cancelled_s_by_id["old"] -= RETENTION_S + 1
        report = RunReport(TaskKey("old", 0, 0, 0), 1, "", 0.0, 0.0)
        self.owner.note_orphan(self.owner.workers_by_id["w1"], report)
        orphan = self.owner.orphan_by_task[report.task]
        self.owner.orphan_by_task[report.task] = orphan._replace(
            seen_s=orphan.seen_s - RETENTION_S - 1
        )
        forget_unknown_jobs(self.owner)
        self.assertThat(list(self.owner.cancelled_s_by_id), Equals(["new"]))
        self.assertThat(self.owner.orphan_by_task, Equals({}))

    def withdraw(self, job_id):
        withdraw_submission(self.harness.table, job_id, 0.0)
        wait_until(lambda: job_id in self.owner.cancelled_s_by_id)

    def test_cancellation_of_a_job_that_was_never_stored_is_removed(self):
        self.withdraw("old")
        self.withdraw("new")
        self.owner.cancelled_s_by_id["old"] -= WITHDRAWAL_S + 1
        remove_withdrawals(self.owner)
        self.assertThat(self._version(cancellation_key("old")), Equals(0))
        self.assertThat(self._version(cancellation_key("new")) > 0, Equals(True))
        self.assertThat(list(self.owner.cancelled_s_by_id), Equals(["new"]))

    def test_cancellation_is_kept_if_an_earlier_version_has_stored_the_job(self):
        # It does not look at cancellations, and its owner cancels what it reads.
        self.withdraw("j2")
        cancelled_s = self.owner.cancelled_s_by_id["j2"]
        starts = self.harness.checker.start_count
        self.harness.submit(make_submission("j2"))
        self.owner.cancelled_s_by_id["j2"] = cancelled_s - WITHDRAWAL_S - 1
        remove_withdrawals(self.owner)
        self.assertThat(self._version(cancellation_key("j2")) > 0, Equals(True))
        self.owner.stop()
        successor = self.harness.start_owner("vm-2")
        self.addCleanup(successor.stop)
        wait_until(lambda: successor.reported_state("j2") is JobState.CANCELLED)
        self.assertThat(self.harness.checker.start_count, Equals(starts))

    def test_cancellations_are_kept_while_the_store_is_unavailable(self):
        self.withdraw("old")
        self.owner.cancelled_s_by_id["old"] -= WITHDRAWAL_S + 1
        self.harness.table.down = True
        remove_withdrawals(self.owner)
        self.assertThat(list(self.owner.cancelled_s_by_id), Equals(["old"]))

    def test_jobs_are_kept_while_the_store_is_unavailable(self):
        self.owner.ended_s_by_id["j1"] -= RETENTION_S + 1
        self.harness.table.down = True
        self.assertThat(remove_old_jobs(self.owner), Equals(0))
        self.assertThat(self.owner.reported_state("j1"), Equals(JobState.COMPLETED))

    def test_job_that_is_submitted_again_after_the_removal_is_a_new_one(self):
        self.owner.ended_s_by_id["j1"] -= RETENTION_S + 1
        remove_old_jobs(self.owner)
        self.harness.submit(make_submission("j1"), self.owner)
        wait_until(lambda: self.owner.knows_job("j1"))

    def test_job_that_was_read_before_its_rows_were_removed_does_not_run_again(self):
        """The store has discarded its history, so all jobs are read again."""
        load = self.harness.table.load
        is_read, may_arrive = Event(), Event()
        self.addCleanup(may_arrive.set)

        def load_slowly(table):
            changes = load(table)
            if table == SUBMISSIONS_TABLE:
                is_read.set()
                may_arrive.wait()
            return changes

        self.harness.table.load = load_slowly
        starts = self.harness.checker.start_count
        self.harness.table.drop_history()
        is_read.wait()
        self.owner.ended_s_by_id["j1"] -= RETENTION_S + 1
        self.assertThat(remove_old_jobs(self.owner), Equals(1))
        may_arrive.set()
        sleep(0.5)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(starts))
        self.assertThat(self.owner.reported_state("j1"), Equals(None))

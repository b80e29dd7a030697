"""Tests of runs that workers report before the owner knows their jobs."""

from gevent import sleep
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from laburnumswitch.process.dispatch import dispatcher as dispatcher_module
from laburnumswitch.process.dispatch.dispatcher import ORPHAN_WAIT_S
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.progress import SUBMISSIONS_TABLE
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
TASK = TaskKey("j1", 0, 0, 0)


class OrphanCase(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(lambda: len(self.owner.workers_by_id) == 2 and self.owner.is_loaded.is_set())


class TestRunsOfOneTask(OrphanCase):
    """Two workers report runs of one task, the first of which has ended since."""

    def note(self, worker_id, run):
        worker = self.owner.workers_by_id[worker_id]
        return self.owner.note_orphan(worker, RunReport(TASK, run, "", 10.0, 0.0))

    def check_later_is_adopted(self):
        job = self.owner.add_job(make_submission("j1", LONG))
        task = job.task(TASK)
        self.assertThat((task.active_run, task.worker_id), Equals((4, "w2")))

    def test_later_run_is_adopted_if_the_earlier_one_is_reported_first(self):
        self.note("w1", 3)
        self.note("w2", 4)
        self.check_later_is_adopted()

    def test_later_run_is_adopted_if_the_report_of_the_earlier_one_comes_late(self):
        self.note("w2", 4)
        self.note("w1", 3)
        self.check_later_is_adopted()

    def test_wait_for_the_job_ends_although_both_are_reported_again(self):
        self.note("w2", 4)
        orphan = self.owner.orphan_by_task[TASK]
        long_ago_s = orphan.seen_s - 2 * ORPHAN_WAIT_S
        self.owner.orphan_by_task[TASK] = orphan._replace(seen_s=long_ago_s)
        self.assertThat((self.note("w1", 3), self.note("w2", 4)), Equals((False, False)))


class TestEndWhileTheFeedIsUnavailable(OrphanCase):
    """The job was stored, and started by an earlier owner, after this owner's load."""

    def report_end(self, age_s):
        self.worker = self.owner.workers_by_id["w1"]
        end = EndReport(100, TASK, 7, RunOutcome.DONE, "")
        self.owner.report_end(self.worker, end)
        orphan = self.owner.orphan_ends_by_job_id["j1"][0]
        self.owner.orphan_ends_by_job_id["j1"] = [orphan._replace(seen_s=orphan.seen_s - age_s)]
        self.owner.submissions_read_s -= age_s

    def test_end_is_not_acknowledged_before_its_job_can_be_known(self):
        """The task would start again after its end was acknowledged as done."""
        self.report_end(2 * ORPHAN_WAIT_S)
        self.owner.forget_orphan_ends()
        acknowledged = self.worker.take_acknowledgeable(self.owner.recorder.committed)
        self.assertThat(acknowledged, Equals(0))
        self.harness.submit(make_submission("j1", LONG), self.owner)
        wait_until(lambda: self.owner.reported_state("j1") is JobState.COMPLETED)
        self.assertThat(self.harness.checker.start_count, Equals(0))

    def test_reading_an_empty_feed_counts(self):
        before_s = self.owner.submissions_read_s
        wait_until(lambda: self.owner.submissions_read_s > before_s, 3.0)
        sleep(0)
        self.assertThat(self.owner.submissions_read_s, GreaterThan(before_s))


class TestEndWhileAnAnswerOfTheFeedIsOnItsWay(OrphanCase):
    """The store made the answer before the job was stored, and its body took long to arrive."""

    def setUp(self):
        super().setUp()
        self.patch(dispatcher_module, "ORPHAN_WAIT_S", 0.2)
        self.is_made, self.may_arrive = Event(), Event()
        self.addCleanup(self.may_arrive.set)
        self.follow = self.harness.table.follow
        self.harness.table.follow = self.follow_slowly
        self.is_made.wait()

    def follow_slowly(self, table, after, wait_s):
        if table != SUBMISSIONS_TABLE:
            return self.follow(table, after, wait_s)
        changes = self.follow(table, after, 0.0)
        self.is_made.set()
        self.may_arrive.wait()
        return changes

    def test_end_is_not_acknowledged_before_the_job_is_read(self):
        """The task would start again after its end was acknowledged as done."""
        self.harness.submit(make_submission("j1", LONG))
        worker = self.owner.workers_by_id["w1"]
        self.owner.report_end(worker, EndReport(100, TASK, 7, RunOutcome.DONE, ""))
        sleep(0.3)
        read_s = self.owner.submissions_read_s
        self.may_arrive.set()
        wait_until(lambda: self.owner.submissions_read_s > read_s or self.owner.knows_job("j1"))
        self.owner.forget_orphan_ends()
        acknowledged = worker.take_acknowledgeable(self.owner.recorder.committed)
        self.assertThat(acknowledged, Equals(0))
        wait_until(lambda: self.owner.reported_state("j1") is JobState.COMPLETED)
        self.assertThat(self.harness.checker.start_count, Equals(0))

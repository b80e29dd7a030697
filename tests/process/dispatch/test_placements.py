"""Tests of what a successor knows of the long-running tasks of a killed owner."""

from time import monotonic

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.planner import usable_workers
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LASTING = Step(1, cpu_millis=3000, memory_mb=100, long_running=True)


class SuccessionCase(TestCase):
    """An owner with three workers, each with room for one long-running task."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(3)
        self.checker = self.harness.checker
        self.first = self.start_owner("vm-1")
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 3)

    def start_owner(self, vm_id, predecessor=PredecessorState.ENDED):
        owner = self.harness.start_owner(vm_id, predecessor)
        self.addCleanup(owner.stop)
        return owner

    def run_job(self, job_id, step=LASTING):
        """Run the tasks of a job and return the workers that run them."""
        started = self.checker.start_count + step.count
        self.harness.submit(make_submission(job_id, step), self.first)
        wait_until(lambda: self.checker.start_count == started)
        sleep(0.05)
        return [
            worker
            for worker in self.harness.worker_by_id.values()
            if any(task.job_id == job_id for task in worker.running())
        ]


class TestSuccessorOfAKilledOwner(SuccessionCase):
    def test_unreachable_worker_does_not_hold_up_long_running_tasks_of_others(self):
        (unreachable,) = self.run_job("j1")
        (restarted,) = self.run_job("j2")
        self.first.stop()
        unreachable.drops_calls = True
        restarted.restart()
        second = self.start_owner("vm-2")
        wait_until(lambda: self.checker.start_count == 3, 2.0)
        self.assertThat(second.settled, Equals(False))
        self.assertThat(self.checker.violations, Equals([]))

    def test_task_that_is_known_to_be_down_starts_under_the_first_owner_that_can_act(self):
        """Each of the owners is killed a second after it has taken over."""
        (unreachable,) = self.run_job("j1")
        (restarted,) = self.run_job("j2")
        self.first.stop()
        restarted.restart()
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = True
        second = self.start_owner("vm-2", PredecessorState.SILENT)
        sleep(1.0)
        second.stop()
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = worker is unreachable
        third = self.start_owner("vm-3", PredecessorState.SILENT)
        wait_until(lambda: self.checker.start_count == 3, 1.0)
        third.stop()
        fourth = self.start_owner("vm-4", PredecessorState.SILENT)
        wait_until(fourth.is_loaded.is_set)
        self.assertThat(fourth.jobs_by_id["j2"].is_running(), Equals(True))
        self.assertThat(self.checker.start_count, Equals(3))
        self.assertThat(self.checker.violations, Equals([]))

    def test_run_on_an_unreachable_worker_is_not_started_elsewhere_before_its_lease_lapses(self):
        (holder,) = self.run_job("j1")
        self.first.stop()
        holder.drops_calls = True
        second = self.start_owner("vm-2")
        sleep(2.0)
        self.assertThat(self.checker.start_count, Equals(1))
        wait_until(lambda: self.checker.start_count == 2)
        self.assertThat(self.checker.violations, Equals([]))
        self.assertThat(second.jobs_by_id["j1"].is_running(), Equals(True))

    def test_unanswered_start_is_not_repeated_elsewhere_before_its_lease_lapses(self):
        for worker in self.harness.worker_by_id.values():
            worker.drops_answers = True
        self.harness.submit(make_submission("j1", LASTING), self.first)
        wait_until(lambda: self.checker.start_count == 1)
        self.first.stop()
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = bool(worker.running())
            worker.drops_answers = False
        self.start_owner("vm-2", PredecessorState.SILENT)
        sleep(2.0)
        self.assertThat(self.checker.start_count, Equals(1))
        wait_until(lambda: self.checker.start_count == 2)
        self.assertThat(self.checker.violations, Equals([]))


class TestStart(SuccessionCase):
    def test_long_running_task_starts_only_once_its_placement_is_stored(self):
        submission = make_submission("j1", LASTING)
        self.checker.record_submission(submission)
        put = Put(submission_key("j1"), submission)
        self.harness.table.commit_unharmed(Transaction((), (put,)))
        self.harness.table.delayed_commits = 1_000_000
        self.first.add_job(submission)
        sleep(0.5)
        self.assertThat(self.checker.start_count, Equals(0))
        self.harness.table.delayed_commits = 0
        wait_until(lambda: self.checker.start_count == 1, 2.0)
        self.assertThat(self.checker.violations, Equals([]))

    def test_other_tasks_do_not_wait_for_the_store(self):
        step = LASTING._replace(long_running=False, estimate_ms=60_000)
        self.checker.record_submission(make_submission("j1", step))
        self.harness.table.delayed_commits = 1_000_000
        began_s = monotonic()
        self.first.add_job(make_submission("j1", step))
        wait_until(lambda: self.checker.start_count == 1, 0.5)
        self.assertThat(monotonic() - began_s < 0.5, Equals(True))
        self.harness.table.delayed_commits = 0

    def test_start_whose_job_is_cancelled_meanwhile_is_not_sent(self):
        submission = make_submission("j1", LASTING)
        self.harness.submit(submission)
        self.harness.table.delayed_commits = 1_000_000
        self.first.add_job(submission)
        wait_until(lambda: self.first.jobs_by_id["j1"].is_running())
        self.first.cancel_job("j1")
        self.harness.table.delayed_commits = 0
        wait_until(lambda: not self.first.jobs_by_id["j1"].is_running(), 2.0)
        self.assertThat(self.checker.start_count, Equals(0))
        task = self.first.jobs_by_id["j1"].task(TaskKey("j1", 0, 0, 0))
        self.assertThat(task.active_run, Equals(0))

"""Tests of the bounds on starts and runs, whatever room the workers have."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.planner import plan
from laburnumswitch.process.dispatch.start_limits import MAX_PENDING_STARTS
from laburnumswitch.process.dispatch.start_limits import MAX_RUNS_PER_WORKER
from laburnumswitch.process.dispatch.start_limits import RUNS_PER_MB
from tests.process.dispatch.harness import DEPLOYMENT
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until


class TestTasksThatTakeNothing(TestCase):
    """An owner started all tasks at once, and exceeded the memory of its VM."""

    def start(self, **deployment_changes):
        self.harness = DispatchHarness()
        self.harness.deployment = DEPLOYMENT._replace(**deployment_changes)
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(lambda: self.owner.settled and self.owner.has_planned.is_set())

    def submit(self, job_id, *steps):
        self.harness.submit(make_submission(job_id, *steps), self.owner)

    def test_few_starts_wait_for_an_answer(self):
        self.start()
        self.owner.spawn = lambda *arguments: None
        self.submit("wide", Step(30_000))
        plan(self.owner)
        pending = [len(worker.pending_starts) for worker in self.owner.workers_by_id.values()]
        self.assertThat(pending, Equals([MAX_PENDING_STARTS] * 2))

    def test_all_of_them_run_in_the_end(self):
        self.start()
        self.submit("wide", Step(3_000, estimate_ms=1))
        wait_until(lambda: self.owner.reported_state("wide") is JobState.COMPLETED)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.owner.start_limits.run_count, Equals(0))

    def test_runs_on_a_worker_and_of_an_owner_are_bounded(self):
        for memory_mb in (300, 10):
            self.start(memory_mb=memory_mb)
            self.submit("wide", Step(30_000, estimate_ms=10**6))
            most = min(2 * MAX_RUNS_PER_WORKER, memory_mb * RUNS_PER_MB)
            wait_until(lambda most=most: self.owner.start_limits.run_count == most)
            plan(self.owner)
            self.assertThat(self.owner.start_limits.run_count, LessThan(most + 1))
            self.owner.stop()

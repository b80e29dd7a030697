"""Tests of owners whose workers announce that they leave."""

from json import loads

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import MatchesSetwise
from testtools.matchers import Not

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import JobState
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

SERVING = Step(2, cpu_millis=1000, memory_mb=100, long_running=True)
TASK = TaskKey("j1", 0, 0, 0)


class TestDrainingWorker(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)

    def _submit(self, step):
        """Start a job and return the worker that runs its first task."""
        self.harness.submit(make_submission("j1", step), self.owner)
        wait_until(lambda: self.harness.checker.start_count == step.count)
        return self._worker_of(TASK)

    def _worker_of(self, task):
        workers = self.harness.worker_by_id.values()
        return next((each for each in workers if task in each.running()), None)

    def _list(self, worker, **changes):
        self.harness.list_worker(worker.listing._replace(**changes))

    def _stop_lines(self):
        lines = [loads(line) for line in self.harness.log.take().splitlines()]
        return [line for line in lines if line["event"] == "run_stop"]

    def test_long_running_tasks_run_elsewhere_before_their_worker_leaves(self):
        """They counted as running for a lease after their worker had left, about 6 s."""
        leaving = self._submit(SERVING)
        before = len(leaving.running())
        self._list(leaving, is_draining=True)
        wait_until(lambda: self.harness.checker.start_count == 2 + before)
        self.assertThat(leaving.running(), Equals(()))
        self.assertThat(self._worker_of(TASK), Not(Equals(leaving)))
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(len(self._stop_lines()), Equals(before))

    def test_decision_is_logged_with_its_inputs(self):
        leaving = self._submit(SERVING._replace(count=1))
        self._list(leaving, is_draining=True, remaining_s=3.0)
        wait_until(lambda: self.harness.checker.start_count == 2)
        (line,) = self._stop_lines()
        self.assertThat(line["remaining_s"], GreaterThan(0.0))
        self.assertThat(line["reason"], Equals("its worker leaves"))

    def test_batch_work_resumes_elsewhere_from_its_checkpoint(self):
        step = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000, checkpoints=True)
        leaving = self._submit(step)
        self._list(leaving, is_draining=True, remaining_s=1.0)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self._worker_of(TASK), Not(Equals(leaving)))
        self.assertThat(self.owner.jobs_by_id["j1"].task(TASK).checkpoint, Not(Equals("")))

    def test_task_without_room_elsewhere_moves_once_there_is_room(self):
        leaving = self._submit(SERVING._replace(count=1, cpu_millis=3000))
        other = next(each for each in self.harness.worker_by_id.values() if each is not leaving)
        self._list(other, availability_zone="b")
        self.harness.operations.set_evacuated_zones(frozenset({"b"}))
        known = self.owner.workers_by_id
        wait_until(lambda: known[other.listing.worker_id].listing.availability_zone == "b")
        self._list(leaving, is_draining=True)
        wait_until(lambda: known[leaving.listing.worker_id].leaves_s is not None)
        wait_until(lambda: self.owner.is_evacuating)
        self.assertThat(self._worker_of(TASK), Equals(leaving))
        added = self.harness.add_worker(make_listing(3))
        wait_until(lambda: self._worker_of(TASK) is added)
        self.assertThat(self.harness.checker.start_count, Equals(2))

    def test_evacuation_ends_when_the_worker_is_ready_again(self):
        leaving = self._submit(SERVING._replace(count=1, cpu_millis=3000))
        self.harness.operations.set_evacuated_zones(frozenset({"a"}))
        self._list(leaving, is_draining=True)
        wait_until(lambda: self.owner.is_evacuating)
        self._list(leaving)
        wait_until(lambda: not self.owner.is_evacuating)
        self.harness.operations.set_evacuated_zones(frozenset())
        self.assertThat(self._worker_of(TASK), Equals(leaving))
        self.assertThat(self._stop_lines(), Equals([]))

    def test_successor_evacuates_a_worker_that_drains_already(self):
        leaving = self._submit(SERVING._replace(count=1))
        self.owner.stop()
        self._list(leaving, is_draining=True)
        successor = self.harness.start_owner("vm-2")
        self.addCleanup(successor.stop)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self._worker_of(TASK), Not(Equals(leaving)))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_gang_with_a_member_on_the_worker_starts_again_as_a_whole(self):
        step = Step(2, cpu_millis=3000, memory_mb=100, estimate_ms=1500, gang=True)
        leaving = self._submit(step)
        self.harness.add_worker(make_listing(3))
        self._list(leaving, is_draining=True, remaining_s=0.5)
        wait_until(lambda: self.harness.checker.start_count == 4)
        self.assertThat(leaving.running(), Equals(()))
        job = self.owner.jobs_by_id["j1"]
        numbers = {task.active_run for task in job.active_tasks()}
        self.assertThat(len(numbers), Equals(1))
        wait_until(lambda: self.owner.reported_state("j1") is JobState.COMPLETED)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_limit_of_tasks_per_worker_is_kept(self):
        step = SERVING._replace(max_per_worker=1)
        leaving = self._submit(step)
        self._list(leaving, is_draining=True)
        wait_until(lambda: self.owner.is_evacuating)
        self.assertThat(len(leaving.running()), Equals(1))
        added = self.harness.add_worker(make_listing(3))
        wait_until(lambda: added.running())
        counts = [len(each.running()) for each in self.harness.worker_by_id.values()]
        self.assertThat(counts, MatchesSetwise(Equals(0), Equals(1), Equals(1)))

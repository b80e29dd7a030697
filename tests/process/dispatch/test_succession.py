"""Tests of owners that end one after the other: what one of them knew reaches the next to act."""

from time import monotonic

from gevent import sleep
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.dispatcher import MAX_LOAD_WAIT_S
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.leaving import has_stopping_run
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.leadership.term import PredecessorState
from standin.fleet.worker import WorkerTiming
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

TASK = TaskKey("j1", 0, 0, 0)
LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
# Owners in a row that end before they have loaded leave this time, in seconds, between the release
# and the next owner.
PAUSE_S = 2.0


class SuccessionCase(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.first = self.start_owner("vm-1")

    def start_owner(self, vm_id, predecessor=PredecessorState.ENDED):
        owner = self.harness.start_owner(vm_id, predecessor)
        self.addCleanup(owner.stop)
        return owner

    def run_long_job(self):
        """Run a task and return the worker that it runs on, as emulated."""
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        return next(each for each in self.harness.worker_by_id.values() if each.running())

    def start_owner_that_cannot_load(self, vm_id):
        """Start an owner that reads no jobs; the reads of later owners succeed."""
        load = self.harness.table.load
        ended = Event()

        def never_load(table):
            ended.wait()
            return load(table)

        self.harness.table.load = never_load
        owner = self.start_owner(vm_id)
        self.addCleanup(ended.set)
        sleep(0.05)
        self.harness.table.load = load
        return owner


class TestHandoverThatIsNotUsed(SuccessionCase):
    """A handover used to hold for the very next owner only, and from its takeover on."""

    def setUp(self):
        super().setUp()
        self.holder = self.run_long_job()
        worker = self.first.workers_by_id[self.holder.listing.worker_id]
        self.holder.drops_calls = True
        self.bound_s = worker.lapse_bound_s
        self.first.release()

    def _check_third_owner(self):
        third = self.start_owner("vm-3", PredecessorState.SILENT)
        wait_until(third.is_loaded.is_set)
        inherited = third.workers_by_id[self.holder.listing.worker_id]
        self.assertThat(inherited.has_unknown_runs, Equals(False))
        self.assertThat(third.jobs_by_id["j1"].is_running(), Equals(True))
        self.assertThat(inherited.lapse_bound_s - self.bound_s, LessThan(1.0))
        wait_until(lambda: third.settled, limit_s=1.0)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_handover_outlives_an_owner_that_was_killed_before_it_had_loaded(self):
        second = self.start_owner_that_cannot_load("vm-2")
        sleep(PAUSE_S)
        second.stop()
        self._check_third_owner()

    def test_handover_outlives_an_owner_that_left_before_it_had_loaded(self):
        second = self.start_owner_that_cannot_load("vm-2")
        begun_s = monotonic()
        second.release()
        self.assertThat(monotonic() - begun_s, LessThan(2 * MAX_LOAD_WAIT_S))
        self._check_third_owner()


class TestHandoverThatIsOutOfDate(SuccessionCase):
    def test_handover_ends_with_the_first_commands_of_the_next_owner(self):
        """The next owner may have started runs that the handover does not name."""
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        self.first.release()
        second = self.start_owner("vm-2")
        wait_until(lambda: len(usable_workers(second, "shop")) == 2)
        self.harness.submit(make_submission("j1", LONG), second)
        wait_until(lambda: self.harness.checker.start_count == 1)
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        holder.drops_calls = True
        second.stop()
        third = self.start_owner("vm-3", PredecessorState.SILENT)
        wait_until(third.is_loaded.is_set)
        worker = third.workers_by_id[holder.listing.worker_id]
        self.assertThat(worker.has_unknown_runs, Equals(True))
        sleep(1.0)
        holder.drops_calls = False
        wait_until(lambda: third.settled)
        self.assertThat(third.jobs_by_id["j1"].is_running(), Equals(True))
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestOwnersThatAreToldToStop(TestCase):
    def test_task_starts_although_every_owner_is_told_to_stop_as_soon_as_it_has_taken_over(self):
        harness = DispatchHarness()
        harness.start_owner().release()
        harness.submit(make_submission("j1", LONG._replace(long_running=True)))
        for number in range(2, 5):
            harness.start_owner(f"vm-{number}").release()
        self.assertThat(harness.checker.start_count, Equals(1))
        self.assertThat(harness.checker.violations, Equals([]))


class TestRunsStoppedByALeavingOwner(SuccessionCase):
    def test_task_that_it_stopped_on_a_leaving_worker_runs_again_before_it_leaves(self):
        """The worker may be gone before the next owner asks it, which then waits for a lease."""
        self.harness.submit(make_submission("j1", LONG._replace(long_running=True)), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        holder._timing = WorkerTiming(max_stop_s=0.4)
        listing = holder.listing._replace(is_draining=True, remaining_s=2.0)
        self.harness.list_worker(listing)
        wait_until(lambda: has_stopping_run(self.first.workers_by_id[listing.worker_id]))
        self.first.release()
        self.assertThat(self.harness.checker.start_count, Equals(2))
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestRunOfUnknownJob(SuccessionCase):
    def test_run_whose_job_becomes_known_to_the_successor_is_not_started_again(self):
        """The run was handed over, and dropped as its submission had not arrived yet."""
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        submission = make_submission("j1", LONG)
        self.harness.checker.record_submission(submission)
        holder = self.harness.worker_by_id["w1"]
        fence = self.first.workers_by_id["w1"].fence
        holder.start(StartCommand(TASK, 1, "spec", 1e6, fence, ""), 1.0)
        wait_until(lambda: TASK in self.first.orphan_by_task)
        holder.drops_calls = True
        self.first.release()
        second = self.start_owner("vm-2")
        wait_until(lambda: usable_workers(second, "shop") and second.settled)
        self.harness.submit(submission, second)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

"""Tests of one owner, and of takeovers, with in-memory workers."""

from itertools import count
from json import loads
from time import monotonic
from time import time

from gevent import sleep
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import LessThan
from testtools.matchers import Not

from laburnumswitch.exceptions import Throttled
from laburnumswitch.process.dispatch.admission import measure_commitments
from laburnumswitch.process.dispatch.dispatcher import ORPHAN_WAIT_S
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.fleet import MIN_CLOCK_RATE
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.headroom import LONG_RUNNING_WAIT_S
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobSource
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.model_store import LEARNED_KEY
from laburnumswitch.process.dispatch.planner import MAX_PASS_S
from laburnumswitch.process.dispatch.planner import plan
from laburnumswitch.process.dispatch.worker_protocol import Acknowledged
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_session import void_unanswered_starts
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import read_term
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
SHORT = Step(2, cpu_millis=1000, memory_mb=100, estimate_ms=20)


class TestHopelessJobs(TestCase):
    """Jobs that no worker can run keep nothing from others."""

    HOPELESS = Step(6, cpu_millis=2000, memory_mb=100, required_label="huge")

    def _start(self):
        # Long-running tasks use most of the plain workers, so that workers may be reserved.
        harness = DispatchHarness(30)
        for number in range(31, 35):
            harness.add_worker(make_listing(number, cpu_millis=8000, labels=("large", "r1")))
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: len(owner.workers_by_id) == 34)
        lasting = Step(30, cpu_millis=3500, memory_mb=100, long_running=True, max_per_worker=1)
        lasting = lasting._replace(required_label="kind")
        harness.submit(make_submission("lasting", lasting), owner)
        wait_until(lambda: len(list(owner.jobs_by_id["lasting"].active_tasks())) == 30)
        return harness, owner

    def test_job_that_needs_rare_workers_runs(self):
        # The hopeless job reserved the four workers with most room, which only the other can use.
        harness, owner = self._start()
        harness.submit(make_submission("hopeless", self.HOPELESS), owner)
        needy = Step(1, cpu_millis=2000, memory_mb=100, estimate_ms=20, required_label="large")
        harness.submit(make_submission("j1", needy), owner)
        wait_until(lambda: owner.reported_state("j1") == "completed", 5.0)

    def test_headroom_is_not_kept(self):
        harness, owner = self._start()
        harness.submit(make_submission("hopeless", self.HOPELESS), owner)
        plan(owner)
        self.assertThat(owner.headroom_by_service["shop"].peak_cpu_millis, Equals(0.0))

    def test_long_running_job_commits_nothing(self):
        harness, owner = self._start()
        before = measure_commitments(owner)["shop"].committed_cpu_millis
        harness.submit(make_submission("h", self.HOPELESS._replace(long_running=True)), owner)
        after = measure_commitments(owner)["shop"].committed_cpu_millis
        self.assertThat(after, Equals(before))


class TestOneOwner(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)

    def _wait_state(self, job_id, state):
        wait_until(lambda: self.owner.reported_state(job_id) is state)

    def test_steps_run_in_order_and_the_job_completes(self):
        later = SHORT._replace(after=(0,))
        self.harness.submit(make_submission("j1", SHORT, later))
        self._wait_state("j1", JobState.COMPLETED)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(4))

    def test_job_that_is_submitted_twice_and_found_in_the_feed_runs_once(self):
        submission = make_submission("j1")
        self.harness.submit(submission, self.owner)
        self.owner.add_job(submission)
        self._wait_state("j1", JobState.COMPLETED)
        self.owner.add_job(submission)
        sleep(0.05)
        self.assertThat(self.harness.checker.start_count, Equals(2))

    def test_final_state_is_reported_only_once_stored(self):
        self.harness.submit(make_submission("j1"), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.harness.table.down = True
        wait_until(lambda: len(self.harness.checker.done) == 2)
        job = self.owner.jobs_by_id["j1"]
        wait_until(job.is_final)
        self.assertThat(self.owner.reported_state("j1"), Equals(JobState.RUNNING))
        self.assertThat(self.harness.checker.acknowledged_tasks, Equals(set()))
        self.harness.table.down = False
        self._wait_state("j1", JobState.COMPLETED)

    def test_cancelled_job_stops_its_runs(self):
        self.harness.submit(make_submission("j1", LONG), self.owner)
        wait_until(lambda: any(each.running() for each in self.harness.worker_by_id.values()))
        self.owner.cancel_job("j1")
        wait_until(lambda: not any(each.running() for each in self.harness.worker_by_id.values()))
        self.assertThat(self.owner.reported_state("j1"), Equals(JobState.CANCELLED))

    def test_runs_of_a_cancelled_job_are_stopped_only_once(self):
        step = Step(4, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
        self.harness.submit(make_submission("j1", step), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 4)
        self.harness.log.take()
        self.owner.cancel_job("j1")
        wait_until(lambda: not any(each.running() for each in self.harness.worker_by_id.values()))
        wait_until(lambda: "j1" in self.owner.final_by_id)
        lines = [loads(line) for line in self.harness.log.take().splitlines()]
        stops = [line["id"] for line in lines if line["event"] == "run_stop"]
        self.assertThat(sorted(stops), Equals([f"j1.0.0.{index}" for index in range(4)]))
        finals = [line for line in lines if line["event"] == "job_final"]
        self.assertThat(len(finals), Equals(1))

    def test_cancellation_that_arrives_before_its_job_takes_effect(self):
        # The notification of a cancellation can overtake that of its submission.
        self.owner.cancel_job("j1")
        self.harness.submit(make_submission("j1", LONG), self.owner)
        sleep(0.3)
        self.assertThat(self.harness.checker.start_count, Equals(0))
        self.assertThat(self.owner.reported_state("j1"), Equals(JobState.CANCELLED))

    def test_job_is_pending_until_a_worker_has_started_a_task(self):
        """A start that no worker answers, or that is refused, was counted as the job's begin."""
        wait_until(lambda: len(usable_workers(self.owner, "shop")) == 2)
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = True
        self.harness.submit(make_submission("j1", LONG), self.owner)
        wait_until(lambda: self.owner.counters.uncertain_starts > 0)
        self.assertThat(self.owner.pending_by_queue(), Equals({"orders": 1}))
        for worker in self.harness.worker_by_id.values():
            worker.start = lambda order, timeout_s: Throttled(1.0)
            worker.drops_calls = False
        wait_until(lambda: self.owner.counters.refused_starts > 0)
        self.assertThat(self.owner.pending_by_queue(), Equals({"orders": 1}))
        for worker in self.harness.worker_by_id.values():
            del worker.start
        wait_until(lambda: self.owner.pending_by_queue() == {})
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_attempts_are_bounded(self):
        for worker in self.harness.worker_by_id.values():
            worker.fails_runs = True
        self.harness.submit(make_submission("j1", SHORT._replace(count=1)), self.owner)
        self._wait_state("j1", JobState.FAILED)
        self.assertThat(self.harness.checker.start_count, Equals(2))

    def test_long_running_task_is_restarted_after_its_worker(self):
        long_running = LONG._replace(long_running=True)
        self.harness.submit(make_submission("j1", long_running), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 1)
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        holder.restart()
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_lease_of_a_lost_worker_ends_in_time_to_restart_long_running_tasks(self):
        """Workers grant leases of up to 10 s, but a task may be down for 9 s only."""
        harness = DispatchHarness()
        bounds = BOUNDS._replace(lease_s=10.0)
        harness.deployment = harness.deployment._replace(bounds=bounds)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        harness.submit(make_submission("j1", LONG), owner)
        wait_until(lambda: harness.checker.start_count == 1)
        worker = next(each for each in owner.workers_by_id.values() if each.runs_by_task)
        self.assertThat(worker.lapse_bound_s - worker.last_answer_s, LessThan(9.0 - 1.5))

    def test_lease_of_an_earlier_owner_outlasts_a_shorter_one_of_its_successor(self):
        worker = Worker(make_listing(1), None, 1)
        worker.lapse_bound_s = 110.2
        worker.note_answer(100.0, 50.0)
        worker.extend_grant(6.0)
        self.assertThat(worker.lapse_bound_s, Equals(110.2))

    def test_unanswered_start_is_voided_or_adopted_and_runs_once(self):
        workers = self.owner.workers_by_id
        wait_until(lambda: len(workers) == 2 and all(each.is_reached for each in workers.values()))
        for worker in self.harness.worker_by_id.values():
            worker.drops_answers = True
        self.harness.submit(make_submission("j1", SHORT._replace(estimate_ms=3000)), self.owner)
        wait_until(lambda: self.owner.counters.uncertain_starts > 0)
        for worker in self.harness.worker_by_id.values():
            worker.drops_answers = False
        self._wait_state("j1", JobState.COMPLETED)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_run_whose_end_is_not_listed_yet_does_not_start_again(self):
        """A worker that has many ends to report lists the rest once the first are acknowledged."""
        for worker in self.harness.worker_by_id.values():
            worker.max_listed_ends = 1
        wait_until(lambda: len(usable_workers(self.owner, "shop")) == 2)
        self.harness.submit(make_submission("j1", SHORT._replace(count=8)), self.owner)
        self._wait_state("j1", JobState.COMPLETED)
        self.assertThat(self.harness.checker.start_count, Equals(8))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_gang_starts_together_with_one_run_number(self):
        gang = SHORT._replace(count=4, gang=True)
        self.harness.submit(make_submission("j1", gang), self.owner)
        self._wait_state("j1", JobState.COMPLETED)
        self.assertThat(self.harness.checker.start_count, Equals(4))

    def test_nothing_starts_in_a_zone_that_is_out_of_service(self):
        self.harness.operations.set_evacuated_zones(frozenset({"a"}))
        self.harness.submit(make_submission("j1"), self.owner)
        sleep(0.3)
        self.assertThat(self.harness.checker.start_count, Equals(0))
        self.harness.operations.set_evacuated_zones(frozenset())
        self._wait_state("j1", JobState.COMPLETED)

    def test_capacity_is_never_exceeded(self):
        wide = Step(12, cpu_millis=2000, memory_mb=100, estimate_ms=30)
        self.harness.submit(make_submission("j1", wide), self.owner)
        self._wait_state("j1", JobState.COMPLETED)
        self.assertThat(self.owner.counters.refused_starts, Equals(0))


class TestTwoOwners(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.first = self.harness.start_owner("vm-1")
        self.addCleanup(self.first.stop)

    def _run_long_job(self):
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)

    def test_successor_adopts_active_runs(self):
        self._run_long_job()
        self.first.stop()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: "j1" in second.jobs_by_id)
        wait_until(lambda: second.jobs_by_id["j1"].task(TaskKey("j1", 0, 0, 0)).active_run > 0)
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_successor_starts_nothing_before_it_has_read_which_workers_drain(self):
        # The stored list of workers, which it loads first, may be from before they began to drain.
        wait_until(lambda: usable_workers(self.first, "shop"))
        self.first.stop()
        may_load = self.harness.hold_loads("servers")
        self.harness.list_worker(make_listing(1, is_draining=True))
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        self.addCleanup(may_load.set)
        wait_until(lambda: second.settled and second.workers_by_id["w1"].is_reached)
        wait_until(lambda: second.workers_by_id["w2"].is_reached)
        self.assertThat(usable_workers(second, "shop"), Equals([]))
        may_load.set()
        wait_until(lambda: usable_workers(second, "shop"))
        usable = [worker.worker_id for worker in usable_workers(second, "shop")]
        self.assertThat(usable, Equals(["w2"]))

    def test_time_that_a_step_waited_counts_for_the_successor(self):
        # Each owner used to let tasks wait anew for the sake of others.
        too_large = Step(1, cpu_millis=100_000)
        lasting = too_large._replace(long_running=True)
        submission = make_submission("j1", too_large, lasting)
        self.harness.submit(submission._replace(submitted_s=time() - 60.0), self.first)
        self.first.stop()
        begun_s = monotonic()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(second.is_loaded.is_set)
        step_state, lasting_state = second.jobs_by_id["j1"].occurrences[0].steps
        self.assertThat(step_state.ready_since_s, LessThan(begun_s))
        self.assertThat(step_state.ready_since_s, GreaterThan(begun_s - 2 * LONG_RUNNING_WAIT_S))
        # Users count from the submission for long-running tasks that have never run.
        self.assertThat(abs(begun_s - 60.0 - lasting_state.ready_since_s), LessThan(0.5))

    def test_successor_waits_for_a_worker_that_it_cannot_reach(self):
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        self.first.stop()
        holder.drops_calls = True
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_successor_does_not_wait_a_whole_lease_again_for_a_silent_worker(self):
        """The predecessor left gracefully while it waited for the worker's lease to lapse."""
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        worker = self.first.workers_by_id[holder.listing.worker_id]
        holder.drops_calls = True
        wait_until(lambda: worker.lapse_bound_s - monotonic() < 1.0)
        bound_s = worker.lapse_bound_s
        self.first.release()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(second.is_loaded.is_set)
        inherited = second.workers_by_id[holder.listing.worker_id]
        self.assertThat(inherited.lapse_bound_s - bound_s, LessThan(1.0))
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_silent_worker_does_not_hold_up_tasks_that_it_does_not_run(self):
        """A successor of an owner that left gracefully knows what may run on silent workers."""
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        holder.drops_calls = True
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 1)
        step = SHORT._replace(estimate_ms=200)
        self.harness.submit(make_submission("j2", step, step._replace(after=(0,))), self.first)
        wait_until(lambda: self.harness.checker.start_count == 3)
        self.first.release()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: second.reported_state("j2") is JobState.COMPLETED)
        worker = second.workers_by_id[holder.listing.worker_id]
        self.assertThat(second.has_lapsed(worker), Equals(False))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_wait_for_a_silent_worker_does_not_grow_with_every_handover(self):
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        holder.drops_calls = True
        bound_s = self.first.workers_by_id[holder.listing.worker_id].lapse_bound_s
        self.first.release()
        for number in range(2, 5):
            owner = self.harness.start_owner(f"vm-{number}")
            self.addCleanup(owner.stop)
            wait_until(lambda owner=owner: owner.settled)
            owner.release()
        last = self.harness.start_owner("vm-5")
        self.addCleanup(last.stop)
        wait_until(last.is_loaded.is_set)
        inherited = last.workers_by_id[holder.listing.worker_id]
        self.assertThat(inherited.lapse_bound_s - bound_s, LessThan(2.0))
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_owner_that_has_not_settled_hands_over_that_runs_are_unknown(self):
        """Its successor must not start a task that may run on a worker which neither reached."""
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        self.first.stop()
        holder.drops_calls = True
        second = self.harness.start_owner("vm-2", PredecessorState.SILENT)
        wait_until(second.is_loaded.is_set)
        second.release()
        third = self.harness.start_owner("vm-3")
        self.addCleanup(third.stop)
        wait_until(third.is_loaded.is_set)
        worker = third.workers_by_id[holder.listing.worker_id]
        self.assertThat(worker.has_unknown_runs, Equals(True))
        holder.drops_calls = False
        wait_until(lambda: third.settled)
        self.assertThat(third.jobs_by_id["j1"].is_running(), Equals(True))
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_unanswered_start_is_handed_over_and_runs_once(self):
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        for worker in self.harness.worker_by_id.values():
            worker.drops_answers = True
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.first.release()
        for worker in self.harness.worker_by_id.values():
            worker.drops_answers = False
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: all(each.is_reached for each in second.workers_by_id.values()))
        wait_until(lambda: len(second.workers_by_id) == 2 and second.settled)
        self.assertThat(second.jobs_by_id["j1"].is_running(), Equals(True))
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_start_that_never_arrived_is_handed_over_and_repeated(self):
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = True
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.first.jobs_by_id["j1"].is_running())
        self.first.release()
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = False
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_owner_hands_over_only_once_it_has_loaded_what_was_handed_to_it(self):
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        holder.drops_calls = True
        self.first.release()
        self.harness.start_owner("vm-2").release()
        third = self.harness.start_owner("vm-3")
        self.addCleanup(third.stop)
        wait_until(lambda: third.settled)
        worker = third.workers_by_id[holder.listing.worker_id]
        self.assertThat(third.has_lapsed(worker), Equals(False))
        self.assertThat(third.jobs_by_id["j1"].is_running(), Equals(True))

    def test_run_throttled_by_the_predecessor_is_at_full_speed_again(self):
        """A worker does not report the limit, so a successor cannot take it to be unlimited."""
        step = LONG._replace(estimate_ms=2_000, best_effort=True, image="batch")
        self.harness.submit(make_submission("j1", step), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        worker = self.first.workers_by_id[holder.listing.worker_id]
        (run,) = worker.runs_by_task.values()
        holder.throttle(run.task, run.number, 0, worker.fence, 1.0)
        self.first.release()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: second.reported_state("j1") is JobState.COMPLETED, limit_s=8.0)
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_task_whose_end_the_predecessor_could_not_apply_does_not_start_again(self):
        """The predecessor read the end before the submission, from a worker that is silent now."""
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        submission = make_submission("j1", SHORT._replace(count=1))
        self.harness.checker.record_submission(submission)
        holder = self.harness.worker_by_id["w1"]
        fence = self.first.workers_by_id["w1"].fence
        holder.start(StartCommand(TaskKey("j1", 0, 0, 0), 1, "spec", 1e6, fence, ""), 1.0)
        wait_until(lambda: "j1" in self.first.orphan_ends_by_job_id)
        holder.drops_calls = True
        self.first.release()
        self.harness.submit(submission)
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: usable_workers(second, "shop"))
        self.assertThat(second.settled, Equals(False))
        holder.drops_calls = False
        wait_until(lambda: second.reported_state("j1") is JobState.COMPLETED)
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_successor_starts_nothing_before_it_has_read_which_workers_are_draining(self):
        """The stored list of workers does not say which of them have announced their departure."""
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        self.first.release()
        for worker in self.harness.worker_by_id.values():
            self.harness.list_worker(worker.listing._replace(is_draining=True))
        is_readable = self.harness.hold_loads("servers")
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: second.settled and second.recorder.committed > 1)
        wait_until(lambda: all(each.is_reached for each in second.workers_by_id.values()))
        self.assertThat(usable_workers(second, "shop"), Equals([]))
        is_readable.set()
        wait_until(lambda: all(w.listing.is_draining for w in second.workers_by_id.values()))
        self.assertThat(usable_workers(second, "shop"), Equals([]))

    def test_successor_settles_only_once_it_has_read_all_ends(self):
        """A run that has ended may be neither among the runs nor among the first ends listed."""
        step = SHORT._replace(count=60, cpu_millis=100)
        self.harness.submit(make_submission("j1", step), self.first)
        wait_until(lambda: self.harness.checker.start_count == step.count)
        self.first.stop()
        for worker in self.harness.worker_by_id.values():
            worker.max_listed_ends = 1
        wait_until(lambda: not any(each.running() for each in self.harness.worker_by_id.values()))
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: second.reported_state("j1") is JobState.COMPLETED)
        self.assertThat(self.harness.checker.start_count, Equals(step.count))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_failed_run_does_not_fail_its_job_before_the_configuration_is_known(self):
        """An entry that has just started may read the runs before it knows how many may fail."""
        for worker in self.harness.worker_by_id.values():
            worker.fails_runs = True
        self.harness.submit(make_submission("j1", SHORT._replace(count=1)), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.first.stop()
        wait_until(lambda: not any(each.running() for each in self.harness.worker_by_id.values()))
        for worker in self.harness.worker_by_id.values():
            worker.fails_runs = False
        known = self.harness.operations
        self.harness.operations = Operations(self.harness.log)
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: "j1" in second.jobs_by_id)
        sleep(0.3)
        self.harness.operations.apply(known.configuration)
        wait_until(lambda: second.reported_state("j1") is JobState.COMPLETED, limit_s=8.0)
        self.assertThat(self.harness.checker.start_count, Equals(2))

    def test_run_that_a_successor_does_not_adopt_keeps_its_capacity_until_it_has_ended(self):
        """Not every worker refuses what does not fit, and a stop takes a while."""
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        self.first.release()
        put = Put("cancellations/j1", True)
        self.harness.table.commit(Transaction((), (put,)))
        stop, stop_requested = holder.stop, Event()

        def stop_later(task, run, fence, timeout_s):
            stop_requested.set()
            return Acknowledged(0.0)

        holder.stop = stop_later
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(stop_requested.is_set)
        wait_until(lambda: usable_workers(second, "shop"))
        sleep(0.1)
        usable = {each.worker_id for each in usable_workers(second, "shop")}
        self.assertThat(holder.listing.worker_id in usable, Equals(False))
        holder.stop = stop
        wait_until(lambda: len(usable_workers(second, "shop")) == 2)

    def test_job_outlives_its_queue_although_the_owner_started_after_the_removal(self):
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = True
        self.harness.submit(make_submission("j1"), self.first)
        self.first.release()
        for worker in self.harness.worker_by_id.values():
            worker.drops_calls = False
        self.harness.operations = Operations(self.harness.log)
        self.harness.operations.apply(QueueConfiguration(2, {}, {"shop": True}))
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: second.reported_state("j1") is JobState.COMPLETED, limit_s=10.0)

    def test_log_tells_for_whom_a_successor_waits(self):
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        self.first.stop()
        holder.drops_calls = True
        self.harness.log.take()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        lines = []

        def is_noted(event):
            lines.extend(loads(line) for line in self.harness.log.take().splitlines())
            return any(line["event"] == event for line in lines)

        wait_until(lambda: is_noted("settle_waits"))
        noted = next(line for line in lines if line["event"] == "settle_waits")
        self.assertThat(noted["workers"], Equals([holder.listing.worker_id]))
        wait_until(lambda: is_noted("worker_silent"))

    def test_runs_of_a_silent_owner_lapse_sooner_once_it_has_ended(self):
        """Long-running tasks of a lost worker must restart within 10 s."""
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        self.first.stop()
        holder.drops_calls = True
        second = self.harness.start_owner("vm-2", PredecessorState.SILENT)
        self.addCleanup(second.stop)
        wait_until(lambda: second.is_loaded.is_set())
        worker = second.workers_by_id[holder.listing.worker_id]
        ended_s = BOUNDS.lease_s / MIN_CLOCK_RATE + BOUNDS.stop_s
        self.assertThat(worker.lapse_bound_s - monotonic(), GreaterThan(ended_s + 5.0))
        second.note_predecessor_ended()
        self.assertThat(worker.lapse_bound_s - monotonic(), LessThan(ended_s + 0.1))
        self.assertThat(second.settled, Equals(False))

    def test_successor_of_an_owner_that_had_not_settled_waits_for_those_before(self):
        self._run_long_job()
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        self.first.stop()
        holder.drops_calls = True
        second = self.harness.start_owner("vm-2", PredecessorState.SILENT)
        second.recorder.unconfirmed = ("10.0.0.9:1",)
        wait_until(lambda: read_term(self.harness.table).term.unconfirmed == ("10.0.0.9:1",))
        second.stop()
        third = self.harness.start_owner("vm-3", PredecessorState.UNSETTLED)
        self.addCleanup(third.stop)
        wait_until(third.is_loaded.is_set)
        worker = third.workers_by_id[holder.listing.worker_id]
        lease_s = BOUNDS.lease_s / MIN_CLOCK_RATE
        self.assertThat(worker.lapse_bound_s - monotonic(), GreaterThan(lease_s + 5.0))
        self.assertThat(third.late_jobs.may_be_started, Equals(True))

    def test_successor_reads_end_reports_that_were_not_acknowledged(self):
        self.harness.submit(make_submission("j1"), self.first)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.first.stop()
        wait_until(lambda: not any(each.running() for each in self.harness.worker_by_id.values()))
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: second.reported_state("j1") is JobState.COMPLETED)
        self.assertThat(self.harness.checker.start_count, Equals(2))

    def test_successor_counts_failed_runs_reported_in_any_order(self):
        """Failed runs that no earlier owner stored are reported by several workers in any order."""
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        job = self.first.jobs_by_id["j1"]
        task = job.task(TaskKey("j1", 0, 0, 0))
        first_run, second_run = task.active_run, task.active_run + 1
        workers = list(self.first.workers_by_id.values())
        for number, (worker, run) in enumerate(zip(workers, (second_run, first_run), strict=True)):
            end = EndReport(100 + number, task.key, run, RunOutcome.FAILED, "")
            self.first.report_end(worker, end)
        self.assertThat(job.state, Equals(JobState.FAILED))

    def test_job_that_fails_by_an_earlier_run_reported_last_starts_nothing(self):
        """Its other tasks must not start again, whether they are done or not."""
        self.first.stop()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: len(second.workers_by_id) == 2 and second.is_loaded.is_set())
        submission = make_submission("j1", SHORT)
        self.harness.checker.record_submission(submission)
        second.add_job(submission, JobSource.LOADED)
        failed, done = (TaskKey("j1", 0, 0, index) for index in range(2))
        reports = [(failed, 2, RunOutcome.FAILED), (failed, 1, RunOutcome.FAILED)]
        reports.append((done, 1, RunOutcome.DONE))
        worker = next(iter(second.workers_by_id.values()))
        for number, (key, run, outcome) in enumerate(reports):
            second.report_end(worker, EndReport(100 + number, key, run, outcome, ""))
        self.assertThat(second.jobs_by_id["j1"].state, Equals(JobState.FAILED))
        self.assertThat(second.ready_step_by_key, Equals({}))
        wait_until(lambda: second.reported_state("j1") is JobState.FAILED)
        self.assertThat(self.harness.checker.start_count, Equals(0))

    def test_end_of_a_later_run_counts_although_an_earlier_one_was_adopted(self):
        """A worker's report may be older than the run that another worker reports as done."""
        self.harness.submit(make_submission("j1", LONG))
        self.first.stop()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: len(second.workers_by_id) == 2 and "j1" in second.jobs_by_id)
        earlier, later = second.workers_by_id.values()
        task = second.jobs_by_id["j1"].task(TaskKey("j1", 0, 0, 0))
        second.adopt_run(earlier, RunReport(task.key, 3, "", 10.0, 0.0))
        second.report_end(later, EndReport(100, task.key, 4, RunOutcome.DONE, ""))
        self.assertThat(second.jobs_by_id["j1"].state, Equals(JobState.COMPLETED))
        second.report_end(earlier, EndReport(100, task.key, 3, RunOutcome.STOPPED, ""))
        self.assertThat(earlier.runs_by_task, Equals({}))

    def test_end_of_a_run_waits_for_its_job(self):
        """An earlier owner may run a job to its end before the successor knows the submission."""
        wait_until(lambda: len(self.first.workers_by_id) == 2)
        worker = next(iter(self.first.workers_by_id.values()))
        submission = make_submission("j1", LONG)
        key = TaskKey("j1", 0, 0, 0)
        self.first.report_end(worker, EndReport(100, key, 7, RunOutcome.DONE, ""))
        self.assertThat(worker.take_acknowledgeable(self.first.recorder.committed), Equals(0))
        self.harness.submit(submission, self.first)
        self.assertThat(self.first.jobs_by_id["j1"].state, Equals(JobState.COMPLETED))
        wait_until(lambda: self.first.reported_state("j1") is JobState.COMPLETED)
        self.assertThat(worker.take_acknowledgeable(self.first.recorder.committed), Equals(100))
        self.assertThat(self.harness.checker.start_count, Equals(0))

    def test_end_of_a_run_whose_job_never_arrives_is_acknowledged(self):
        wait_until(lambda: len(self.first.workers_by_id) == 2)
        worker = next(iter(self.first.workers_by_id.values()))
        end = EndReport(100, TaskKey("j1", 0, 0, 0), 7, RunOutcome.DONE, "")
        self.first.report_end(worker, end)
        orphan = self.first.orphan_ends_by_job_id["j1"][0]
        long_ago_s = orphan.seen_s - 2 * ORPHAN_WAIT_S
        self.first.orphan_ends_by_job_id["j1"] = [orphan._replace(seen_s=long_ago_s)]
        self.first.forget_orphan_ends()
        self.assertThat(worker.take_acknowledgeable(self.first.recorder.committed), Equals(100))

    def test_job_submitted_to_a_superseded_owner_starts_only_once(self):
        # An owner that has lost its connection to the store still accepts jobs from callers.
        second = self.harness.start_owner("vm-2", PredecessorState.SILENT)
        self.addCleanup(second.stop)
        submission = make_submission("j1", LONG)
        self.harness.submit(submission, self.first)
        second.add_job(submission)
        wait_until(lambda: self.harness.checker.start_count > 0)
        sleep(1.5)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_successor_loads_the_model_parameters(self):
        task = TaskKey("serving", 0, 0, 0)
        self.first.model.observe(task, "web", 0.5, {"loud": 0.3}, 0.0)
        wait_until(lambda: self.harness.table.read((LEARNED_KEY,))[LEARNED_KEY].version > 0)
        self.first.stop()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(second.is_loaded.is_set)
        self.assertThat(second.model.parameters(), Equals(self.first.model.parameters()))
        self.assertThat("loud" in second.demand.work_by_image, Equals(True))

    def test_superseded_owner_notices_at_its_next_commit(self):
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(self.first.is_stopped)
        self.assertThat(second.may_act(), Equals(True))

    def test_owner_that_was_suspended_acts_only_after_a_commit(self):
        wait_until(lambda: self.first.recorder.committed > 0)
        self.harness.table.down = True
        self.harness.boot_offset_s = 1.0
        self.assertThat(self.first.may_act(), Equals(False))
        self.harness.table.down = False
        wait_until(self.first.may_act)

    def test_epochs_and_run_numbers_rise(self):
        self._run_long_job()
        self.first.stop()
        second = self.harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        task = TaskKey("j1", 0, 0, 0)
        wait_until(lambda: "j1" in second.jobs_by_id)
        number = second.next_run(second.jobs_by_id["j1"].task(task))
        self.assertThat(number, GreaterThan(1))


class TestSilentWorker(TestCase):
    def test_calls_to_a_silent_worker_do_not_ask_it_to_wait(self):
        """Its lease is found to have lapsed only between two calls."""
        harness = DispatchHarness(workers=1)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: "w1" in owner.workers_by_id and owner.workers_by_id["w1"].is_reached)
        holder = harness.worker_by_id["w1"]
        renew, waits_s = holder.renew, []

        def renew_and_note(renewal, timeout_s):
            waits_s.append(renewal.wait_s)
            return renew(renewal, timeout_s)

        holder.drops_calls = True
        holder.renew = renew_and_note
        wait_until(lambda: owner.workers_by_id["w1"].is_silent)
        waits_s.clear()
        wait_until(lambda: len(waits_s) == 2)
        self.assertThat(waits_s, Equals([0.0, 0.0]))


class TestUnansweredStarts(TestCase):
    """Starts are sent to a worker to which all connections fail for some seconds."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=1)
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(lambda: "w1" in self.owner.workers_by_id)
        self.worker = self.owner.workers_by_id["w1"]
        wait_until(lambda: self.worker.is_reached)
        self.harness.worker_by_id["w1"].drops_calls = True
        self.job = Job(make_submission("j1", Step(2, cpu_millis=100, memory_mb=100)))

    def _lose_start(self, index):
        task = self.job.task(TaskKey("j1", 0, 0, index))
        self.owner.begin_run(self.job, task, self.worker).is_uncertain = True
        self.owner.spawn(void_unanswered_starts, self.owner, self.worker)

    def test_start_lost_while_an_earlier_one_is_voided_is_voided_as_well(self):
        self._lose_start(0)
        wait_until(lambda: self.worker.is_voiding_starts)
        self._lose_start(1)
        sleep(0.05)
        self.harness.worker_by_id["w1"].drops_calls = False
        wait_until(lambda: not self.worker.runs_by_task, 5.0)
        wait_until(lambda: not self.worker.is_voiding_starts, 5.0)

    def test_start_that_the_worker_reports_is_certain_even_if_its_answer_is_lost_later(self):
        run = self.owner.begin_run(self.job, self.job.task(TaskKey("j1", 0, 0, 0)), self.worker)
        report = RunReport(run.task, run.number, "", 0.0, 0.0)
        run.update(report, monotonic())
        run.is_uncertain = True
        run.update(report, monotonic())
        self.assertThat(run.is_uncertain, Is(False))

    def test_worker_gets_no_starts_while_starts_are_voided(self):
        self._lose_start(0)
        wait_until(lambda: self.worker.is_voiding_starts)
        self.assertThat(usable_workers(self.owner, "shop"), Equals([]))
        self.harness.worker_by_id["w1"].drops_calls = False
        wait_until(lambda: usable_workers(self.owner, "shop") == [self.worker], 5.0)


class TestOverloadedRack(TestCase):
    """Best-effort tasks whose data are in a rack where they would interfere with serving tasks."""

    def test_work_eventually_runs_outside_the_rack_of_its_data(self):
        harness = DispatchHarness(workers=0)
        harness.add_worker(make_listing(1, rack="r1"))
        harness.add_worker(make_listing(2, rack="r2"))
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        serving = Step(
            1, 3000, 100, image="web", tail_target_ms=100, long_running=True, data_rack="r1"
        )
        harness.submit(make_submission("serving", serving), owner)
        wait_until(lambda: harness.checker.start_count == 1)
        near = owner.workers_by_id["w1"]
        for sample in range(40):
            task = TaskKey("other", 0, 0, sample)
            owner.model.observe(task, "web", 9.0, {"loud": 0.2}, float(sample))
        near.tail_predictions = None
        step = Step(1, 1000, 100, estimate_ms=50, image="loud", best_effort=True, data_rack="r1")
        harness.submit(make_submission("batch", step), owner)
        wait_until(lambda: owner.reported_state("batch") is JobState.COMPLETED)
        lines = [loads(line) for line in harness.log.take().splitlines()]
        holders = [e["worker"] for e in lines if e["event"] == "run_ended" and "batch" in e["id"]]
        self.assertThat(holders, Equals(["w2"]))


class TestPlanningPass(TestCase):
    """Planning a burst of wide jobs for a large fleet takes longer than watchers wait."""

    def test_burst_is_planned_in_parts(self):
        harness = DispatchHarness(workers=2, cpu_millis=1_000_000, memory_mb=1_000_000)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        workers = owner.workers_by_id
        wait_until(lambda: len(workers) == 2 and all(each.is_reached for each in workers.values()))
        wait_until(lambda: len(usable_workers(owner, "shop")) == 2)
        jobs = [make_submission(f"j{number}", SHORT) for number in range(20)]
        self._plan_slowly(harness, owner, jobs, 1)
        started = sum(job.is_running() for job in owner.jobs_by_id.values())
        self.assertThat(started, GreaterThan(0))
        self.assertThat(started, LessThan(len(jobs)))
        self.assertThat(owner.wake.is_set(), Equals(True))
        wait_until(lambda: harness.checker.start_count == 2 * len(jobs))

    def test_steps_without_room_do_not_use_up_every_pass(self):
        """Urgent steps go first; many that wait for room must not keep the others from starting."""
        harness = DispatchHarness(workers=2)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: len(usable_workers(owner, "shop")) == 2)
        too_large = SHORT._replace(cpu_millis=9000)
        jobs = [make_submission(f"j{number}", too_large) for number in range(20)]
        jobs.append(make_submission("batch", SHORT._replace(best_effort=True)))
        self._plan_slowly(harness, owner, jobs, 8)
        self.assertThat(owner.jobs_by_id["batch"].is_running(), Equals(True))

    def test_workers_stay_reserved_until_planning_has_come_to_the_end(self):
        harness = DispatchHarness(workers=20)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: len(usable_workers(owner, "shop")) == 20)
        for worker in owner.workers_by_id.values():
            worker.used_cpu_millis = 1000
        whole = SHORT._replace(cpu_millis=4000)
        jobs = [make_submission(f"j{number}", whole) for number in range(20)]
        self._plan_slowly(harness, owner, jobs, 1)
        reserved = set(owner.reserved_by_service["shop"])
        self.assertThat(len(reserved), Equals(2))
        self.assertThat(owner.skipped_steps, Not(Equals(set())))
        later = [make_submission("later", SHORT._replace(count=18, cpu_millis=3000))]
        self._plan_slowly(harness, owner, later, 1)
        holders = {task.worker_id for task in owner.jobs_by_id["later"].active_tasks()}
        self.assertThat(holders & reserved, Equals(set()))

    def _plan_slowly(self, harness, owner, jobs, passes):
        """Add jobs and run planning passes in which each look at the clock takes a while."""
        for job in jobs:
            harness.checker.record_submission(job)
            owner.add_job(job)
        now_s = owner.context.clock()
        ticks = count()
        slow_clock = owner.context._replace(clock=lambda: now_s + next(ticks) * MAX_PASS_S / 30)
        regular_clock, owner.context = owner.context, slow_clock
        for _ in range(passes):
            plan(owner)
        owner.context = regular_clock


class TestUnexpectedError(TestCase):
    """An unexpected error in one of the owner's greenlets must end its term."""

    def test_ends_the_term_and_the_next_owner_takes_over(self):
        harness = DispatchHarness()
        first = harness.start_owner("vm-1")
        self.addCleanup(first.stop)
        harness.submit(make_submission("j1", LONG), first)
        wait_until(lambda: harness.checker.start_count == 1)
        first.spawn(lambda: {}["missing"])
        wait_until(first.is_stopped)
        self.assertThat(harness.log.take().decode(), Contains("KeyError('missing')"))
        second = harness.start_owner("vm-1")
        self.addCleanup(second.stop)
        wait_until(lambda: "j1" in second.jobs_by_id)
        wait_until(lambda: second.jobs_by_id["j1"].task(TaskKey("j1", 0, 0, 0)).active_run > 0)
        self.assertThat(harness.checker.start_count, Equals(1))

    def test_hands_nothing_over(self):
        """What the owner knows may be inconsistent, so its successor has to ask the workers."""
        harness = DispatchHarness()
        first = harness.start_owner("vm-1")
        self.addCleanup(first.stop)
        harness.submit(make_submission("j1", LONG), first)
        wait_until(lambda: harness.checker.start_count == 1)
        for worker in harness.worker_by_id.values():
            worker.drops_calls = True
        first.spawn(lambda: {}["missing"])
        wait_until(first.is_stopped)
        first.release()
        second = harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(second.is_loaded.is_set)
        unknown = [each.has_unknown_runs for each in second.workers_by_id.values()]
        self.assertThat(unknown, Equals([True, True]))


class TestIsolatedOwner(TestCase):
    """An owner that can reach neither the store nor a worker may have been superseded."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        self.harness.submit(make_submission("j1", LONG), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 1)
        holder = next(each for each in self.harness.worker_by_id.values() if each.running())
        self.holder = self.owner.workers_by_id[holder.listing.worker_id]
        wait_until(lambda: self.holder.last_answer_s > 0)

    def test_lease_counts_as_lapsed_only_after_a_later_commit(self):
        # Otherwise a successor may have renewed the lease, and the task would run twice.
        self.harness.table.down = True
        self.holder.lapse_bound_s = self.owner.context.clock()
        sleep(0.05)
        self.assertThat(self.owner.has_lapsed(self.holder), Equals(False))
        self.harness.table.down = False
        wait_until(lambda: self.owner.has_lapsed(self.holder))

    def test_fenced_owner_acts_only_after_a_commit(self):
        self.harness.table.down = True
        for worker in self.harness.worker_by_id.values():
            worker.fence += 10_000_000
        wait_until(lambda: not self.owner.may_act(), limit_s=6.0)
        for worker in self.harness.worker_by_id.values():
            worker.fence = 0
        self.harness.table.down = False
        wait_until(self.owner.may_act)


class TestRestartedWorker(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        workers = self.owner.workers_by_id
        wait_until(lambda: len(workers) == 2 and all(each.is_reached for each in workers.values()))
        for worker in self.harness.worker_by_id.values():
            worker.restart()
        wait_until(lambda: all(each.incarnation == 2 for each in workers.values()))
        self.harness.submit(make_submission("j1", LONG), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.holder = next(each for each in self.harness.worker_by_id.values() if each.running())

    def test_listing_from_before_the_restart_ends_no_run(self):
        # A worker's own answer can be newer than its listing in the store.
        known = self.owner.workers_by_id[self.holder.listing.worker_id]
        self.harness.list_worker(self.holder.listing._replace(incarnation=1))
        sleep(1.2)
        self.assertThat(self.owner.workers_by_id[self.holder.listing.worker_id], Is(known))
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_listing_of_a_later_incarnation_ends_the_runs(self):
        self.holder.restart()
        self.harness.list_worker(self.holder.listing)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestHeadroom(TestCase):
    def test_long_running_task_with_ample_capacity_starts_within_the_limit(self):
        # The capacity kept free for urgent work must not delay long-running tasks indefinitely.
        harness = DispatchHarness()
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        owner.headroom_by_service["shop"].update(1e9, owner.context.clock())
        long_running = Step(1, cpu_millis=1000, memory_mb=100, long_running=True)
        harness.submit(make_submission("j1", long_running), owner)
        wait_until(lambda: harness.checker.start_count == 1, limit_s=6.0)


class TestStoredWorkers(TestCase):
    def test_listing_is_stored_with_the_fields_that_earlier_versions_know(self):
        """Entries of an earlier version refuse a listing with more fields."""
        harness = DispatchHarness(workers=1, is_draining=True, remaining_s=3.0)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: harness.table.load("fleet").rows)
        (row,) = harness.table.load("fleet").rows
        self.assertThat([len(listing) for listing in row.value], Equals([12]))

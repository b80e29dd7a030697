"""Tests of what a successor knows of the long-running tasks of a killed owner."""

from base64 import b64encode
from time import monotonic
from time import time

from gevent import sleep
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.placement_recovery import restore_placements
from laburnumswitch.process.dispatch.placements import Placement
from laburnumswitch.process.dispatch.placements import row_name
from laburnumswitch.process.dispatch.placements import RowKey
from laburnumswitch.process.dispatch.placements import ROWS_PER_BATCH
from laburnumswitch.process.dispatch.placements import TASKS_PER_ROW
from laburnumswitch.process.dispatch.progress import Progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
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

    def test_task_whose_worker_was_dropped_starts_at_once(self):
        """Its placement may still be stored when the owner is killed."""
        (holder,) = self.run_job("j1")
        self.first.stop()
        holder.crash()
        key = next(
            row.key
            for row in self.harness.table.load("fleet").rows
            if any(listing[0] == holder.listing.worker_id for listing in row.value)
        )
        others = [
            listing
            for listing in self.harness.table.read((key,))[key].value
            if listing[0] != holder.listing.worker_id
        ]
        self.harness.table.commit(
            Transaction((), (Put(key, others),), (f"servers/{holder.listing.worker_id}",))
        )
        self.start_owner("vm-2")
        wait_until(lambda: self.checker.start_count == 2, 1.0)
        self.assertThat(self.checker.violations, Equals([]))

    def test_crash_beside_the_owner_is_not_held_against_tasks_that_ran_before(self):
        (holder,) = self.run_job("j1")
        self.first.stop()
        holder.crash()
        second = self.start_owner("vm-2")
        wait_until(second.is_loaded.is_set)
        worker = second.workers_by_id[holder.listing.worker_id]
        second.note_crashes([worker])
        second.drop_worker(worker, "its VM is down")
        task = second.jobs_by_id["j1"].task(TaskKey("j1", 0, 0, 0))
        self.assertThat(task.crashed_runs, Equals(set()))

    def test_usage_counts_a_run_that_may_exist_once(self):
        step = LASTING._replace(cpu_millis=1000)
        (holder,) = self.run_job("j1", step)
        self.first.stop()
        second = self.start_owner("vm-2")
        wait_until(lambda: second.settled)
        worker = second.workers_by_id[holder.listing.worker_id]
        self.assertThat(worker.used_cpu_millis, Equals(1000))
        self.assertThat(second.jobs_by_id["j1"].occurrences[0].steps[0].active_count, Equals(1))

    def test_end_that_was_reported_as_done_but_not_stored_starts_nothing(self):
        self.run_job("j1")
        task = self.first.jobs_by_id["j1"].task(TaskKey("j1", 0, 0, 0))
        holder = self.harness.worker_by_id[task.worker_id]
        self.harness.table.delayed_commits = 1_000_000
        holder.checker.done.add(task.key)
        holder._end(holder._run_by_number[task.key, task.active_run], RunOutcome.DONE, 0.0)
        wait_until(lambda: task.is_done, 2.0)
        self.first.stop()
        self.harness.table.delayed_commits = 0
        holder.drops_calls = True
        second = self.start_owner("vm-2")
        sleep(1.0)
        holder.drops_calls = False
        wait_until(lambda: second.settled)
        wait_until(lambda: second.jobs_by_id["j1"].task(task.key).is_done, 2.0)
        self.assertThat(self.checker.start_count, Equals(1))

    def test_ordinary_tasks_wait_for_an_unreachable_worker(self):
        """Their starts are not stored."""
        (holder,) = self.run_job("j1", LASTING._replace(long_running=False, estimate_ms=60_000))
        self.first.stop()
        holder.drops_calls = True
        self.start_owner("vm-2")
        sleep(1.5)
        self.assertThat(self.checker.start_count, Equals(1))


class TestOlderKnowledge(SuccessionCase):
    """Other rows of earlier owners may still name the run before the one that is placed."""

    def _restore(self, run, placement):
        step = LASTING._replace(cpu_millis=100_000)
        self.harness.submit(make_submission("j1", step), self.first)
        key = TaskKey("j1", 0, 0, 0)
        self.first.adopt_run(self.first.workers_by_id["w1"], RunReport(key, run, "", 0.0, 0.0))
        row = Row(row_name(RowKey("j1", 0, 0, 0)), 1, [placement])
        restore_placements(self.first, [row], True)
        return self.first.jobs_by_id["j1"].task(key)

    def test_run_that_may_exist_is_the_placed_one_and_not_an_earlier_one(self):
        task = self._restore(1, Placement(0, 2, "w2"))
        self.assertThat((task.active_run, task.worker_id), Equals((2, "w2")))
        self.assertThat(len(self.first.workers_by_id["w1"].runs_by_task), Equals(0))
        self.assertThat(len(self.first.workers_by_id["w2"].runs_by_task), Equals(1))

    def test_later_run_that_was_handed_over_is_kept(self):
        task = self._restore(2, Placement(0, 1, "w2"))
        self.assertThat((task.active_run, task.worker_id), Equals((2, "w1")))


class TestDownTime(TestCase):
    """For how long a long-running task has been down counts for each successor."""

    def _start_owners(self, harness, first):
        """Kill the owner and one successor, and return the state of the step under the next."""
        first.stop()
        second = harness.start_owner("vm-2")
        wait_until(second.is_loaded.is_set)
        sleep(0.7)
        second.stop()
        third = harness.start_owner("vm-3")
        self.addCleanup(third.stop)
        wait_until(third.is_loaded.is_set)
        return third.jobs_by_id["j1"].occurrences[0].steps[0]

    def test_time_since_the_last_run_counts_for_each_successor(self):
        harness = DispatchHarness(1)
        first = harness.start_owner()
        self.addCleanup(first.stop)
        harness.submit(make_submission("j1", LASTING), first)
        wait_until(lambda: harness.checker.start_count == 1)
        worker = first.workers_by_id["w1"]
        harness.worker_by_id["w1"].crash()
        down_s = monotonic()
        first.drop_worker(worker, "its VM is down")
        sleep(2.0)
        step_state = self._start_owners(harness, first)
        self.assertThat(down_s - 1.5 < step_state.ready_since_s < down_s + 0.5, Equals(True))

    def test_task_that_has_never_run_is_down_since_its_job_was_accepted(self):
        harness = DispatchHarness(1)
        first = harness.start_owner()
        self.addCleanup(first.stop)
        submission = make_submission("j1", LASTING._replace(cpu_millis=100_000))
        harness.submit(submission._replace(submitted_s=time() - 60.0), first)
        accepted_s = monotonic() - 60.0
        step_state = self._start_owners(harness, first)
        self.assertThat(abs(step_state.ready_since_s - accepted_s) < 0.5, Equals(True))

    def test_task_that_has_been_down_longest_starts_first(self):
        harness = DispatchHarness(0)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        harness.submit(make_submission("j1", LASTING._replace(count=3)), owner)
        wait_until(lambda: "j1" in owner.jobs_by_id)
        tasks = owner.jobs_by_id["j1"].occurrences[0].steps[0].tasks
        for task, down_for_s in zip(tasks, (1.0, 5.0, 3.0), strict=True):
            task.down_since_s = monotonic() - down_for_s
        harness.add_worker(make_listing(1))
        wait_until(lambda: harness.checker.start_count == 1)
        self.assertThat([bool(task.active_run) for task in tasks], Equals([False, True, False]))


class TestIncompletePlacements(SuccessionCase):
    """Some owner has not stored the placements, or they cannot be read."""

    def _forget(self, *puts, deletes=()):
        self.first.stop()
        self.harness.table.commit(Transaction((), puts, deletes))

    def _assert_waits(self, holder, owner):
        sleep(1.5)
        self.assertThat(owner.settled, Equals(False))
        self.assertThat(self.checker.start_count, Equals(1))
        holder.drops_calls = False
        wait_until(lambda: owner.settled)
        self.assertThat(owner.jobs_by_id["j1"].is_running(), Equals(True))
        self.assertThat(self.checker.start_count, Equals(1))

    def test_successor_of_an_earlier_version_waits_and_then_stores_all(self):
        (holder,) = self.run_job("j1")
        name = row_name(RowKey("j1", 0, 0, 0))
        self._forget(deletes=(SUCCESSION_KEY, name))
        holder.drops_calls = True
        second = self.start_owner("vm-2")
        self._assert_waits(holder, second)
        wait_until(lambda: second.placements.is_complete, 2.0)
        wait_until(lambda: self._succession() == (2, 2, True, 0), 2.0)
        (placement,) = self.harness.table.read((name,))[name].value
        self.assertThat(placement[2], Equals(holder.listing.worker_id))

    def _succession(self):
        return tuple(self.harness.table.read((SUCCESSION_KEY,))[SUCCESSION_KEY].value)

    def test_successor_that_ends_before_it_has_settled_leaves_them_incomplete(self):
        (holder,) = self.run_job("j1")
        self._forget(deletes=(SUCCESSION_KEY, row_name(RowKey("j1", 0, 0, 0))))
        holder.drops_calls = True
        second = self.start_owner("vm-2")
        wait_until(lambda: self._succession() == (2, 2, False, 0))
        second.stop()
        self._assert_waits(holder, self.start_owner("vm-3"))

    def test_job_whose_row_is_malformed_waits_and_others_do_not(self):
        (holder,) = self.run_job("j1")
        (restarted,) = self.run_job("j2")
        self._forget(Put(row_name(RowKey("j1", 0, 0, 0)), [["x"]]))
        holder.drops_calls = True
        restarted.restart()
        second = self.start_owner("vm-2")
        wait_until(lambda: self.checker.start_count == 3, 2.0)
        sleep(0.5)
        self.assertThat(second.settled, Equals(False))
        self.assertThat(second.jobs_by_id["j1"].is_running(), Equals(False))
        holder.drops_calls = False
        wait_until(lambda: second.settled)
        wait_until(lambda: not second.placements.unreadable_job_ids, 2.0)
        name = row_name(RowKey("j1", 0, 0, 0))
        wait_until(lambda: self.harness.table.read((name,))[name].value != [["x"]], 2.0)
        self.assertThat(self.checker.violations, Equals([]))

    def test_unreadable_list_of_workers_leaves_them_incomplete(self):
        self.run_job("j1")
        rows = self.harness.table.load("fleet").rows
        self._forget(*(Put(row.key, [["x"]]) for row in rows))
        second = self.start_owner("vm-2")
        wait_until(second.is_loaded.is_set)
        self.assertThat(second.placements.is_complete, Equals(False))
        self.assertThat(second.succession.knows_placements, Equals(False))
        self.assertThat(self.checker.start_count, Equals(1))


class TestRows(TestCase):
    """Rows and commits stay within the limits of the platform's store."""

    def test_largest_rows_and_commits_fit(self):
        placements = [Placement(index, 999_990_001, "w" * 200) for index in range(TASKS_PER_ROW)]
        size = len(b64encode(encode(placements)))
        self.assertThat(size < 65_536, Equals(True))
        self.assertThat(size * ROWS_PER_BATCH < 900_000, Equals(True))

    def test_wide_step_takes_several_rows_and_commits(self):
        harness = DispatchHarness(1, cpu_millis=4_000_000, memory_mb=8_000_000)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: usable_workers(owner, "shop"))
        count = TASKS_PER_ROW * ROWS_PER_BATCH + 1
        harness.submit(make_submission("j1", LASTING._replace(count=count, cpu_millis=100)), owner)
        wait_until(lambda: harness.checker.start_count == count)
        rows = harness.table.load("placements").rows
        self.assertThat(len(rows), Equals(ROWS_PER_BATCH + 1))
        self.assertThat(sum(len(row.value) for row in rows), Equals(count))

    def test_rows_of_an_ended_job_are_removed(self):
        harness = DispatchHarness(1)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        harness.submit(make_submission("j1", LASTING), owner)
        wait_until(lambda: harness.checker.start_count == 1)
        self.assertThat(len(harness.table.load("placements").rows), Equals(1))
        owner.cancel_job("j1")
        wait_until(lambda: not harness.table.load("placements").rows, 2.0)

    def test_rows_left_by_an_owner_that_ended_are_removed(self):
        harness = DispatchHarness(1)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        harness.submit(make_submission("j1", LASTING), owner)
        wait_until(lambda: harness.checker.start_count == 1)
        owner.stop()
        put = Put(progress_key("j1"), Progress("orders", JobState.FAILED, []))
        harness.table.commit(Transaction((), (put,)))
        second = harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(lambda: not harness.table.load("placements").rows, 2.0)

    def test_removal_and_storage_of_a_row_do_not_meet_in_one_commit(self):
        harness = DispatchHarness(0)
        recorder = harness.start_owner().recorder
        recorder.queue_row("placements/j1/0.0.0", [])
        recorder.queue_removals(("placements/j1/0.0.0", "placements/j1/0.0.1"))
        recorder.queue_row("placements/j1/0.0.1", [])
        recorder.commit()
        names = [row.key for row in harness.table.load("placements").rows]
        self.assertThat(names, Equals(["placements/j1/0.0.1"]))


class TestGang(SuccessionCase):
    def test_no_member_starts_before_all_placements_are_stored(self):
        step = LASTING._replace(count=3, gang=True)
        submission = make_submission("j1", step)
        self.harness.submit(submission)
        self.harness.table.delayed_commits = 1_000_000
        self.first.add_job(submission)
        wait_until(lambda: self.first.jobs_by_id["j1"].is_running())
        sleep(0.2)
        self.assertThat(self.checker.start_count, Equals(0))
        self.harness.table.delayed_commits = 0
        wait_until(lambda: self.checker.start_count == 3, 2.0)

    def test_no_member_starts_if_one_of_the_workers_has_become_unusable(self):
        step = LASTING._replace(count=3, gang=True)
        submission = make_submission("j1", step)
        self.harness.submit(submission)
        self.harness.table.delayed_commits = 1_000_000
        self.first.add_job(submission)
        wait_until(lambda: self.first.jobs_by_id["j1"].is_running())
        worker = self.first.workers_by_id["w1"]
        worker.blocked_until_s = monotonic() + 1.0
        self.harness.table.delayed_commits = 0
        wait_until(lambda: not self.first.jobs_by_id["j1"].is_running(), 2.0)
        self.assertThat(self.checker.start_count, Equals(0))
        wait_until(lambda: self.checker.start_count == 3, 3.0)
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

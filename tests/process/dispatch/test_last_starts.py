"""Finite tasks that an owner starts just before its term ends: what tells its successors of them.

Such starts are not stored. Each test delays or loses one of the ways on which a successor may learn
of the run: the handover, a silence, a placement, the list of workers, the worker's report, and the
rows of the job.
"""

from time import monotonic

from gevent import sleep
from gevent import spawn
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.fleet import RunsKnownBy
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.lease_keeping import KEEP_AFTER_S
from laburnumswitch.process.dispatch.planner import plan
from laburnumswitch.process.dispatch.vm_list import MAX_DELAY_S
from laburnumswitch.process.dispatch.vm_list import VmState
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.process.dispatch.worker_session import renew as renew_worker
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.rows.table import Committed
from standin.fleet.feed_table import CommitLoss
from standin.fleet.worker import MAX_LEASE_S
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until
from tests.process.dispatch.links import CutLink

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
LONG_RUNNING = LONG._replace(long_running=True)
TASK = TaskKey("j1", 0, 0, 0)
# Longer than a new owner takes to start what may start, in seconds.
START_S = 0.6


def announces(transaction, epoch):
    """Return whether a transaction announces the commands of an owner."""
    return any(
        put.key == SUCCESSION_KEY and put.value.acted_epoch == epoch for put in transaction.puts
    )


class WorkerPath(CutLink):
    """One owner's link to a worker.

    While ``holds_starts``, starts are not answered and arrive with ``deliver``. While ``is_cut``,
    nothing arrives.
    """

    def __init__(self, worker):
        super().__init__(worker, is_cut=False)
        self.holds_starts = False
        self.held = []

    def start(self, command, timeout_s):
        if self.holds_starts:
            self.held.append(command)
            sleep(timeout_s)
            return AnswerLost(self.worker.listing.worker_id, "held")
        return super().start(command, timeout_s)

    def deliver(self):
        """Have the worker receive the held starts, and return its answers."""
        held, self.held = self.held, []
        return [self.worker.start(command, 1.0) for command in held]


class StorePath:
    """One owner's access to the store, which fails while ``is_cut``."""

    def __init__(self, table):
        self.table = table
        self.is_cut = False

    def read(self, keys):
        return self._refuse() or self.table.read(keys)

    def load(self, table):
        return self._refuse() or self.table.load(table)

    def follow(self, table, after, wait_s):
        return self._refuse() or self.table.follow(table, after, wait_s)

    def commit(self, transaction):
        return self._refuse() or self.table.commit(transaction)

    def _refuse(self):
        if not self.is_cut:
            return None
        sleep(0.02)
        return Unavailable("cut off")


class LastStartCase(TestCase):
    """An owner whose only worker is ``w1`` when it starts the task; ``w2`` joins later."""

    lease_s = 2.0

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=1)
        bounds = BOUNDS._replace(lease_s=self.lease_s)
        self.harness.deployment = self.harness.deployment._replace(bounds=bounds)
        self.holder = self.harness.worker_by_id["w1"]
        table = self.harness.table
        self.store_path = self.harness.table = StorePath(table)
        self.first, self.path = self.start_owner("vm-1")
        self.harness.table = table
        wait_until(lambda: usable_workers(self.first, "shop"))

    def start_owner(self, vm_id, predecessor=PredecessorState.ENDED, cut=False):
        """Start an owner, and return it and its path to the worker ``w1``."""
        path = WorkerPath(self.holder)
        path.is_cut = cut
        self.harness.make_link = lambda listing: (
            path if listing.worker_id == "w1" else self.harness.worker_by_id[listing.worker_id]
        )
        owner = self.harness.start_owner(vm_id, predecessor)
        self.addCleanup(owner.stop)
        return owner, path

    def start_successor(self, vm_id="vm-2", predecessor=PredecessorState.ENDED, cut=True):
        """Start an owner that can start the task on another worker."""
        if "w2" not in self.harness.worker_by_id:
            self.harness.add_worker(make_listing(2))
        owner, path = self.start_owner(vm_id, predecessor, cut)
        wait_until(lambda: "w2" in [each.worker_id for each in usable_workers(owner, "shop")])
        return owner, path

    def hold_start(self):
        """Have the first owner start the task, with the start on its way."""
        self.path.holds_starts = True
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.path.held)

    def run_task(self):
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.holder.running() == (TASK,))

    def check_one_run(self, owner, path, starts=1):
        """Check that one run goes on once the owner reaches its worker."""
        sleep(START_S)
        path.is_cut = False
        wait_until(lambda: owner.settled)
        sleep(START_S)
        self.check_starts(starts)

    def check_starts(self, starts):
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(starts))

    def check_starts_after_lapse(self, starts=2):
        wait_until(lambda: self.harness.checker.start_count == starts, limit_s=8 * self.lease_s)
        self.check_starts(starts)


class TestHandover(LastStartCase):
    def test_start_that_was_not_sent_yet_is_handed_over(self):
        """It is spawned, and the owner ends and describes its workers before it would be sent."""
        self.harness.submit(make_submission("j1", LONG), self.first)
        plan(self.first)
        self.assertThat(self.harness.checker.start_count, Equals(0))
        self.first.is_loaded.wait()
        self.first.stop()
        (handed_over,) = self.first.describe_workers([self.first.workers_by_id["w1"]])
        self.first.recorder.release(self.first._describe_handover())
        self.assertThat([run.task for run in handed_over.runs], Equals([TASK]))
        second, _ = self.start_successor()
        self.assertThat(second.jobs_by_id["j1"].is_running(), Equals(True))
        self.assertThat(self.harness.checker.start_count, Equals(0))
        self.check_starts_after_lapse(starts=1)

    def test_start_that_arrives_before_the_successor_is_kept(self):
        self.hold_start()
        self.first.release()
        second, path = self.start_successor()
        self.path.deliver()
        self.check_one_run(second, path)
        self.assertThat(self.holder.running(), Equals((TASK,)))

    def test_start_that_arrives_after_the_successor_does_not_run(self):
        self.hold_start()
        self.first.release()
        self.start_successor(cut=False)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.path.deliver()
        sleep(START_S)
        self.check_starts(1)

    def test_handover_that_is_stored_late_does_not_count_under_the_successor(self):
        late = []

        def lose_release(transaction):
            is_release = any(
                put.key == TERM_KEY and put.value.owner == NO_OWNER for put in transaction.puts
            )
            if is_release:
                late.append(transaction)
            return CommitLoss.WRITE if is_release else CommitLoss.NOTHING

        self.run_task()
        self.harness.table.choose_loss = lose_release
        release = spawn(self.first.release)
        wait_until(lambda: late)
        second, path = self.start_successor(predecessor=PredecessorState.SILENT)
        outcome = self.harness.table.commit_unharmed(late[0])
        self.assertThat(isinstance(outcome, Committed), Equals(False))
        self.assertThat(second.workers_by_id["w1"].has_unknown_runs, Equals(True))
        self.check_one_run(second, path)
        release.join()

    def test_release_that_is_repeated_loses_no_run(self):
        self.run_task()
        releases = [spawn(self.first.release) for _ in range(3)]
        for release in releases:
            release.join()
        second, path = self.start_successor()
        self.check_one_run(second, path)

    def test_run_outlives_an_owner_whose_announcement_was_stored_without_an_answer(self):
        """The handover is out of date then, although that owner has sent nothing."""
        self._check_third_owner(CommitLoss.ANSWER)

    def test_run_outlives_an_owner_whose_announcement_was_lost(self):
        self._check_third_owner(CommitLoss.WRITE)

    def _check_third_owner(self, loss):
        self.run_task()
        self.first.release()
        announced = Event()

        def lose_announcement(transaction):
            if not announces(transaction, 2):
                return CommitLoss.NOTHING
            announced.set()
            return loss

        self.harness.add_worker(make_listing(2))
        self.harness.table.choose_loss = lose_announcement
        second, _ = self.start_owner("vm-2", cut=True)
        announced.wait()
        second.stop()
        sleep(0.1)
        self.harness.table.choose_loss = lambda transaction: CommitLoss.NOTHING
        third, path = self.start_successor("vm-3", PredecessorState.SILENT)
        self.check_one_run(third, path)

    def test_handover_and_silence_of_an_owner_outlive_one_that_sends_nothing(self):
        self.run_task()
        self.path.is_cut = True
        wait_until(lambda: self.harness.table.load("silences").rows)
        self.first.release()
        self.harness.table.choose_loss = lambda transaction: (
            CommitLoss.WRITE if announces(transaction, 2) else CommitLoss.NOTHING
        )
        second, _ = self.start_owner("vm-2", cut=True)
        wait_until(second.is_loaded.is_set)
        second.release()
        self.harness.table.choose_loss = lambda transaction: CommitLoss.NOTHING
        third, _ = self.start_successor("vm-3", PredecessorState.SILENT)
        self.assertThat(third.workers_by_id["w1"].has_unknown_runs, Equals(False))
        self.assertThat(third.jobs_by_id["j1"].is_running(), Equals(True))
        self.check_starts_after_lapse()


class TestReport(LastStartCase):
    """An owner that is lost tells nothing, so the successor has to wait for the workers."""

    def test_run_of_a_killed_owner_is_not_started_before_its_worker_has_answered(self):
        self.run_task()
        self.first.stop()
        second, path = self.start_successor()
        self.check_one_run(second, path)
        self.assertThat(second.workers_by_id["w1"].runs_known_by, Equals(RunsKnownBy.REPORT))

    def test_start_of_a_killed_owner_that_arrives_before_the_successor_is_kept(self):
        self.hold_start()
        self.first.stop()
        second, path = self.start_successor()
        self.path.deliver()
        self.check_one_run(second, path)

    def test_start_of_a_killed_owner_that_arrives_after_the_report_does_not_run(self):
        self.hold_start()
        self.first.stop()
        second, _ = self.start_successor(cut=False)
        wait_until(lambda: second.settled)
        self.path.deliver()
        wait_until(lambda: self.harness.checker.start_count == 1)
        sleep(START_S)
        self.check_starts(1)

    def test_start_of_an_owner_taken_for_lost_that_the_successor_has_not_reached_is_kept(self):
        """It is told of the job only after its successor has loaded it."""
        self.store_path.is_cut = True
        submission = make_submission("j1", LONG)
        self.harness.submit(submission)
        second, path = self.start_successor(predecessor=PredecessorState.SILENT)
        self.first.add_job(submission)
        wait_until(lambda: self.holder.running() == (TASK,))
        second.note_predecessor_ended()
        self.check_one_run(second, path)

    def test_start_of_an_owner_taken_for_lost_outlives_its_confirmation(self):
        """It is on its way when the owner confirms that it sends no more commands."""
        self.path.holds_starts = self.store_path.is_cut = True
        submission = make_submission("j1", LONG)
        self.harness.submit(submission)
        second, path = self.start_successor(predecessor=PredecessorState.SILENT)
        self.first.add_job(submission)
        wait_until(lambda: self.path.held)
        self.first.supersede()
        second.note_predecessor_ended()
        sleep(START_S)
        self.path.deliver()
        self.check_one_run(second, path)

    def test_start_of_an_owner_taken_for_lost_is_refused_after_the_report(self):
        self.hold_start()
        second, _ = self.start_successor(predecessor=PredecessorState.SILENT, cut=False)
        wait_until(lambda: second.settled)
        self.path.deliver()
        wait_until(lambda: self.harness.checker.start_count == 1)
        sleep(START_S)
        self.check_starts(1)

    def test_report_that_was_asked_for_before_a_run_was_adopted_does_not_end_it(self):
        """The answer to a call that was sent earlier arrives after that of a later one."""
        self.run_task()
        self.first.release()
        second, _ = self.start_successor(cut=False)
        worker = second.workers_by_id["w1"]
        wait_until(lambda: worker.runs_by_task and worker.runs_by_task[TASK].incarnation)
        report = self.holder.renew(Renewal(worker.fence, 0, None, 0.0), 1.0)
        sent_s = worker.last_answer_s - 1.0
        self.assertThat(
            worker.is_outdated(report._replace(clock_s=0.0, running=()), sent_s), Equals(True)
        )
        sleep(START_S)
        self.check_starts(1)


class TestSilence(LastStartCase):
    lease_s = 4.0

    def stored_runs(self):
        rows = self.harness.table.load("silences").rows
        return [TaskKey(*run[0]) for row in rows for silence in row.value[1] for run in silence[-1]]

    def test_start_on_its_way_when_its_worker_falls_silent_is_in_the_silence(self):
        self.hold_start()
        self.path.is_cut = True
        wait_until(lambda: TASK in self.stored_runs())
        self.first.stop()
        second, _ = self.start_successor()
        self.assertThat(second.jobs_by_id["j1"].is_running(), Equals(True))
        self.path.deliver()
        self.assertThat(self.holder.running(), Equals((TASK,)))
        self.check_starts_after_lapse()

    def test_owner_taken_for_lost_starts_nothing_on_a_worker_whose_silence_is_stored(self):
        """The worker answers it again, while its successor relies on the silence."""
        self._store_silence()
        self.store_path.is_cut = True
        second, _ = self.start_successor(predecessor=PredecessorState.SILENT)
        wait_until(lambda: second.settled)
        self.path.is_cut = False
        wait_until(lambda: not self.first.workers_by_id["w1"].is_silent)
        self.harness.submit(make_submission("j1", LONG), self.first)
        self.harness.submit(make_submission("j2", LONG), second)
        wait_until(lambda: self.harness.checker.start_count >= 1)
        sleep(START_S)
        self.assertThat(self.holder.running(), Equals(()))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_start_after_a_silence_with_an_owner_killed_at_once(self):
        self._check_killed_after(0.0)

    def test_start_after_a_silence_with_an_owner_killed_before_the_removal_is_stored(self):
        self._check_killed_after(0.02)

    def test_start_after_a_silence_with_an_owner_killed_after_the_removal_is_stored(self):
        self._check_killed_after(0.3)

    def _check_killed_after(self, delay_s):
        worker = self.first.workers_by_id["w1"]
        self._store_silence()
        self.path.is_cut = False
        wait_until(lambda: not worker.is_silent)
        self.harness.submit(make_submission("j1", LONG), self.first)
        sleep(delay_s)
        self.first.stop()
        second, path = self.start_successor()
        self.check_one_run(second, path)

    def _store_silence(self):
        worker = self.first.workers_by_id["w1"]
        self.path.is_cut = True
        wait_until(lambda: worker.is_silent and not self.first.silences.may_grant("w1"))
        batch = self.first.recorder.queue_row("x/1", 1)
        wait_until(lambda: self.first.recorder.committed >= batch)

    def test_call_that_fails_while_another_is_answered_stores_no_outdated_silence(self):
        """The answer removes the silence, and a start follows before the other call fails."""
        worker = self.first.workers_by_id["w1"]
        self._store_silence()
        failing = Event()
        renew = self.path.renew

        def fail_slowly(renewal, timeout_s):
            failing.set()
            sleep(0.4)
            return AnswerLost("w1", "lost")

        self.path.renew = fail_slowly
        failing.wait()
        self.path.renew = renew
        self.path.is_cut = False
        answer = renew_worker(self.first, worker, 0.0)
        self.assertThat(isinstance(answer, WorkerReport), Equals(True))
        wait_until(lambda: usable_workers(self.first, "shop"), limit_s=0.3)
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.holder.running() == (TASK,), limit_s=0.3)
        wait_until(lambda: worker.is_silent or not worker.is_reached, limit_s=1.0)
        self.first.stop()
        second, path = self.start_successor()
        self.check_one_run(second, path)


class TestPlacement(LastStartCase):
    def test_finite_task_beside_a_placed_one_waits_for_the_report(self):
        """The placements of a job tell nothing of its finite steps."""
        self.harness.submit(make_submission("j1", LONG, LONG_RUNNING), self.first)
        wait_until(lambda: len(self.holder.running()) == 2)
        self.first.stop()
        second, path = self.start_successor()
        self.assertThat(second.placements.is_complete, Equals(True))
        self.check_one_run(second, path, starts=2)


class TestListOfWorkers(LastStartCase):
    def test_owner_cut_off_from_the_store_starts_nothing_on_a_worker_that_is_not_stored(self):
        """A successor would not know the worker."""
        self.path.is_cut = True
        self.harness.table.choose_loss = lambda transaction: (
            CommitLoss.WRITE
            if any(put.key == TERM_KEY and put.value.epoch == 1 for put in transaction.puts)
            else CommitLoss.NOTHING
        )
        self.harness.add_worker(make_listing(2))
        wait_until(lambda: "w2" in self.first.workers_by_id)
        wait_until(lambda: self.first.workers_by_id["w2"].is_reached)
        self.harness.submit(make_submission("j1", LONG), self.first)
        sleep(START_S)
        self.check_starts(0)
        second, path = self.start_successor(predecessor=PredecessorState.SILENT)
        self.check_one_run(second, path)


class TestRowsOfTheJob(LastStartCase):
    def setUp(self):
        super().setUp()
        self.harness.submit(make_submission("j1", LONG._replace(estimate_ms=100)), self.first)

    def _lose_progress(self, transaction):
        has_progress = any(put.key.startswith("progress/") for put in transaction.puts)
        return CommitLoss.WRITE if has_progress else CommitLoss.NOTHING

    def test_task_whose_end_was_not_stored_does_not_start_again(self):
        self.harness.table.choose_loss = self._lose_progress
        wait_until(lambda: self.first.counters.ended_count_by_outcome)
        self.first.stop()
        self.harness.table.choose_loss = lambda transaction: CommitLoss.NOTHING
        second, path = self.start_successor()
        self.check_one_run(second, path)
        wait_until(lambda: second.reported_state("j1") == "completed")

    def test_task_whose_end_is_stored_with_the_release_does_not_start_again(self):
        wait_until(lambda: self.first.counters.ended_count_by_outcome)
        self.first.release()
        second, _ = self.start_successor()
        sleep(START_S)
        self.check_starts(1)
        self.assertThat(second.reported_state("j1"), Equals("completed"))

    def test_end_told_to_an_owner_taken_for_lost_is_told_to_its_successor(self):
        self.harness.table.choose_loss = self._lose_progress
        wait_until(lambda: self.harness.checker.start_count == 1)
        second, path = self.start_successor(predecessor=PredecessorState.SILENT)
        wait_until(lambda: self.first.counters.ended_count_by_outcome)
        self.harness.table.choose_loss = lambda transaction: CommitLoss.NOTHING
        self.check_one_run(second, path)
        wait_until(lambda: second.reported_state("j1") == "completed")


class TestKeptLease(LastStartCase):
    """The worker has restarted since it was stored, and the successor loads slowly."""

    # A worker that has restarted shortens leases to this.
    lease_s = MAX_LEASE_S

    def setUp(self):
        super().setUp()
        self.hold_start()
        self.first.stop()
        self.harness.list_vms = self._list_vms
        self.restarted_s = float("inf")
        self.may_load = self.harness.hold_loads()
        self.addCleanup(self.may_load.set)
        self.harness.add_worker(make_listing(2))
        self.second, self.second_path = self.start_owner("vm-2")
        wait_until(lambda: "w1" in self.second.workers_by_id)
        self.worker = self.second.workers_by_id["w1"]

    def _list_vms(self, timeout_s):
        """List the VM of the worker as it was some time ago: down before the restart."""
        rows = self.harness.vm_rows()
        if monotonic() - MAX_DELAY_S < self.restarted_s:
            rows = (rows[0]._replace(state=VmState.DOWN, worker_id=""), *rows[1:])
        return rows

    def _restart(self):
        self.holder.restart()
        self.harness.list_worker(self.holder.listing)
        self.restarted_s = monotonic()

    def test_start_that_arrives_after_the_lease_was_kept_does_not_run(self):
        self._restart()
        wait_until(lambda: self.worker.last_answer_s)
        self.path.deliver()
        self.check_starts(0)
        self.may_load.set()
        wait_until(lambda: self.harness.checker.start_count == 1)
        sleep(START_S)
        self.check_starts(1)
        self.assertThat(self.worker.incarnation, Equals(2))

    def test_list_of_vms_from_before_the_restart_does_not_end_the_worker(self):
        """It says what has ended, of the incarnation before the one that has answered."""
        sleep(KEEP_AFTER_S - 0.15)
        self._restart()
        self.path.deliver()
        self.assertThat(self.holder.running(), Equals((TASK,)))
        wait_until(lambda: self.worker.last_answer_s)
        self.second_path.is_cut = True
        self.may_load.set()
        sleep(MAX_DELAY_S + START_S)
        self.check_one_run(self.second, self.second_path)


class TestRestartUnderAnOwnerTakenForLost(LastStartCase):
    """A worker that starts again has forgotten the fencing tokens, and obeys the earlier owner.

    The list of VMs tells its successor which runs have ended, not what that owner starts later.
    """

    lease_s = MAX_LEASE_S

    def setUp(self):
        super().setUp()
        self.store_path.is_cut = True
        self.earlier_rows = [(monotonic(), self.harness.vm_rows())]
        self.list_delay_s = 0.0
        self.harness.list_vms = self._list_vms
        self.worker = self.first.workers_by_id["w1"]
        self.worker.blocked_until_s = float("inf")
        self.harness.submit(make_submission("j1", LONG), self.first)
        self.second, self.second_path = self.start_successor(predecessor=PredecessorState.SILENT)

    def _list_vms(self, timeout_s):
        """List the VMs as they were ``list_delay_s`` ago, and other than the worker's as now."""
        latest_s = monotonic() - self.list_delay_s
        rows = max(each for each in self.earlier_rows if each[0] <= latest_s)[1]
        return (rows[0], *self.harness.vm_rows()[1:])

    def _crash(self):
        self.holder.crash()
        self.earlier_rows.append((monotonic(), self.harness.vm_rows()))

    def _restart(self):
        self.holder.restart()
        self.earlier_rows.append((monotonic(), self.harness.vm_rows()))

    def _let_the_first_owner_start(self):
        """Let the first owner start the task, after it has reached the worker again."""
        wait_until(lambda: self.worker.incarnation == 2 and self.worker.is_reached)
        self.worker.blocked_until_s = 0.0
        sleep(0.4)
        self.assertThat(self.first.may_act(), Equals(True))

    def _check(self):
        self.harness.list_worker(self.holder.listing)
        sleep(START_S)
        self.second_path.is_cut = False
        sleep(START_S)
        self.check_starts(1)

    def test_task_that_the_earlier_owner_starts_after_the_restart_is_not_started_before(self):
        self._crash()
        wait_until(lambda: "w1" not in self.second.workers_by_id)
        self._restart()
        self._let_the_first_owner_start()
        self._check()

    def test_task_that_the_earlier_owner_has_started_after_the_restart_is_not_started_again(self):
        """The list of VMs is older than the restart, by less than it may be; the listing too."""
        self.list_delay_s = 0.75 * MAX_DELAY_S
        sleep(0.3)
        self._crash()
        sleep(0.9)
        self._restart()
        self._let_the_first_owner_start()
        wait_until(lambda: monotonic() - self.second.began_s > 1.5 * MAX_DELAY_S)
        self._check()

"""Tests of owners that are lost while workers do not answer."""

from time import monotonic

from gevent import sleep
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.handover import HandedOverRun
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.silences import collect_silences
from laburnumswitch.process.dispatch.silences import Silence
from laburnumswitch.process.dispatch.silences import Silences
from laburnumswitch.process.dispatch.silences import SILENCES_PARTS
from laburnumswitch.process.dispatch.silences import SilencesRow
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
LONG_RUNNING = Step(1, cpu_millis=1000, memory_mb=100, long_running=True)
TASK = TaskKey("j1", 0, 0, 0)
# A successor knows the end of the leases of an earlier owner to within this time, in seconds.
TOLERANCE_S = 0.5
# Longest time for which a long-running task may be down while there is capacity, in seconds.
RESTART_LIMIT_S = 9.0


def stored_ids(harness):
    """Return the ids of the workers whose silences are stored."""
    rows = harness.table.load("silences").rows
    return [silence[0] for row in rows for silence in row.value[1]]


class SilenceCase(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.first = self.start_owner("vm-1")
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        self.harness.submit(make_submission("j1", LONG_RUNNING), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.holder = next(w for w in self.harness.worker_by_id.values() if w.running())
        self.holder_id = self.holder.listing.worker_id
        self.worker = self.first.workers_by_id[self.holder_id]

    def start_owner(self, vm_id, predecessor=PredecessorState.ENDED):
        owner = self.harness.start_owner(vm_id, predecessor)
        self.addCleanup(owner.stop)
        return owner

    def fall_silent(self, worker=None):
        """Have a worker ignore all calls, and wait until its owner knows and has stored that."""
        worker = worker or self.holder
        worker.drops_calls = True
        wait_until(lambda: worker.listing.worker_id in stored_ids(self.harness))

    def check_successor(self, owner, bound_s):
        """Check that an owner knows what runs on the silent worker, and until when."""
        wait_until(owner.is_loaded.is_set)
        inherited = owner.workers_by_id[self.holder_id]
        self.assertThat(inherited.has_unknown_runs, Equals(False))
        self.assertThat(owner.jobs_by_id["j1"].is_running(), Equals(True))
        self.assertThat(inherited.lapse_bound_s - bound_s, LessThan(TOLERANCE_S))
        self.assertThat(inherited.lapse_bound_s - bound_s, GreaterThan(-0.001))
        wait_until(lambda: owner.settled, limit_s=1.0)

    def check_second_start(self, bound_s):
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(monotonic() - bound_s, LessThan(1.0))
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestLostOwner(SilenceCase):
    """A successor used to count a whole lease, and the commands of its predecessor, anew."""

    def test_lease_of_a_silent_worker_does_not_begin_anew_after_a_kill(self):
        self.fall_silent()
        bound_s = self.worker.lapse_bound_s
        sleep(2.0)
        self.first.stop()
        self.check_successor(self.start_owner("vm-2", PredecessorState.SILENT), bound_s)
        self.check_second_start(bound_s)

    def test_lease_of_a_silent_worker_does_not_begin_anew_with_each_kill(self):
        self.fall_silent()
        bound_s = self.worker.lapse_bound_s
        owner = self.first
        for number in range(2, 6):
            owner.stop()
            owner = self.start_owner(f"vm-{number}", PredecessorState.SILENT)
            self.check_successor(owner, bound_s)
            sleep(0.2)
        self.check_second_start(bound_s)

    def test_lease_of_a_silent_worker_does_not_begin_anew_after_a_lost_release(self):
        self.fall_silent()
        bound_s = self.worker.lapse_bound_s
        self.harness.table.down = True
        self.first.release()
        self.harness.table.down = False
        self.check_successor(self.start_owner("vm-2", PredecessorState.SILENT), bound_s)
        self.check_second_start(bound_s)

    def test_silent_worker_without_runs_holds_up_no_successor(self):
        idle = next(w for w in self.harness.worker_by_id.values() if w is not self.holder)
        self.fall_silent(idle)
        self.first.stop()
        second = self.start_owner("vm-2", PredecessorState.SILENT)
        wait_until(second.is_loaded.is_set)
        wait_until(lambda: second.settled, limit_s=1.0)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_wait_for_a_worker_lost_with_the_owner_does_not_begin_anew(self):
        """Nobody knows the runs of the worker, but the next owner knows when they have ended."""
        self.holder.drops_calls = True
        self.first.stop()
        second = self.start_owner("vm-2")
        wait_until(lambda: second.workers_by_id and second.workers_by_id[self.holder_id].is_silent)
        bound_s = second.workers_by_id[self.holder_id].lapse_bound_s
        sleep(2.0)
        second.stop()
        third = self.start_owner("vm-3", PredecessorState.SILENT)
        wait_until(third.is_loaded.is_set)
        inherited = third.workers_by_id[self.holder_id]
        self.assertThat(inherited.lapse_bound_s - bound_s, LessThan(TOLERANCE_S))
        self.assertThat(inherited.has_unknown_runs, Equals(True))
        self.check_second_start(bound_s)

    def test_owners_that_never_reach_a_worker_do_not_each_wait_a_whole_lease_for_it(self):
        """Each of them ends right after its first call to the worker has failed."""
        self.first.stop()
        self.holder.drops_calls = True
        second = self.start_owner("vm-2")
        worker = second.workers_by_id
        wait_until(lambda: self.holder_id in worker and worker[self.holder_id].is_silent)
        bound_s = worker[self.holder_id].lapse_bound_s
        sleep(0.1)
        second.stop()
        third = self.start_owner("vm-3")
        wait_until(third.is_loaded.is_set)
        inherited = third.workers_by_id[self.holder_id]
        self.assertThat(inherited.lapse_bound_s - bound_s, LessThan(TOLERANCE_S))
        self.check_second_start(bound_s)

    def test_row_of_a_dropped_worker_goes_away(self):
        self.fall_silent()
        self.first.drop_worker(self.worker, "its VM is down")
        wait_until(lambda: not stored_ids(self.harness), limit_s=0.5)


class TestAnswerAfterSilence(SilenceCase):
    """Nothing may be granted to a worker while a successor would read that it is silent."""

    def _lease_end_s(self):
        return self.holder._lease_until_s

    def test_worker_that_answers_again_keeps_its_runs(self):
        self.fall_silent()
        sleep(1.0)
        self.holder.drops_calls = False
        wait_until(lambda: not self.worker.is_silent)
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2, limit_s=0.5)
        sleep(8.0)
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(self.holder.running(), Equals((TASK,)))

    def test_nothing_is_granted_before_the_removal_is_committed(self):
        self.fall_silent()
        bound_s = self.worker.lapse_bound_s
        self.harness.table.down = True
        sleep(0.1)
        lease_end_s = self._lease_end_s()
        self.holder.drops_calls = False
        wait_until(lambda: not self.worker.is_silent)
        sleep(1.0)
        self.assertThat(self._lease_end_s(), Equals(lease_end_s))
        usable = [worker.worker_id for worker in usable_workers(self.first, "shop")]
        self.assertThat(usable, Equals([w for w in ("w1", "w2") if w != self.holder_id]))
        # The owner is killed, and the worker is unreachable again.
        self.first.stop()
        self.holder.drops_calls = True
        self.harness.table.down = False
        self.check_successor(self.start_owner("vm-2", PredecessorState.SILENT), bound_s)
        self.check_second_start(bound_s)

    def test_silence_during_an_outage_of_the_store_costs_nothing(self):
        """The store was never told of it, so there is nothing to remove."""
        self.harness.table.down = True
        # A commit without silences is under way.
        sleep(0.6)
        self.holder.drops_calls = True
        wait_until(lambda: self.worker.is_silent)
        sleep(1.0)
        lease_end_s = self._lease_end_s()
        self.holder.drops_calls = False
        wait_until(lambda: self._lease_end_s() > lease_end_s, limit_s=1.0)
        self.harness.table.down = False

    def test_silence_whose_commit_had_no_answer_is_removed(self):
        self.harness.table.lose_answers = 1_000
        self.fall_silent()
        self.harness.table.lose_answers = 0
        self.holder.drops_calls = False
        wait_until(lambda: not self.worker.is_silent)
        self.first.stop()
        self.holder.drops_calls = True
        second = self.start_owner("vm-2")
        wait_until(second.is_loaded.is_set)
        wait_until(lambda: second.settled)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_owner_killed_as_the_worker_answers_again(self):
        for delay_s in (0.0, 0.01, 0.03, 0.1, 0.3):
            harness = DispatchHarness()
            first = harness.start_owner("vm-1")
            self.addCleanup(first.stop)
            harness.submit(make_submission("j1", LONG_RUNNING), first)
            wait_until(lambda harness=harness: harness.checker.start_count == 1)
            holder = next(w for w in harness.worker_by_id.values() if w.running())
            worker = first.workers_by_id[holder.listing.worker_id]
            holder.drops_calls = True
            wait_until(lambda harness=harness: stored_ids(harness))
            holder.drops_calls = False
            wait_until(lambda worker=worker: not worker.is_silent)
            sleep(delay_s)
            first.stop()
            holder.drops_calls = True
            second = harness.start_owner("vm-2", PredecessorState.ENDED)
            self.addCleanup(second.stop)
            wait_until(lambda harness=harness: harness.checker.start_count == 2)
            self.assertThat(harness.checker.violations, Equals([]))
            second.stop()

    def test_worker_restarted_under_its_id_while_silent(self):
        self.fall_silent()
        self.first.stop()
        self.holder.restart()
        second = self.start_owner("vm-2", PredecessorState.SILENT)
        wait_until(second.is_loaded.is_set)
        self.holder.drops_calls = False
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_superseded_owner_grants_nothing_to_a_worker_that_answers_again(self):
        self.fall_silent()
        bound_s = self.worker.lapse_bound_s
        second = self.start_owner("vm-2", PredecessorState.SILENT)
        self.check_successor(second, bound_s)
        lease_end_s = self._lease_end_s()
        # Only the superseded owner reaches the worker.
        reach = self.holder.renew
        self.holder.renew = lambda renewal, timeout_s: (
            reach(renewal, timeout_s)
            if renewal.fence < second.epoch * 100_000
            else self.holder._drop_answer(timeout_s)
        )
        self.holder.drops_calls = False
        self.holder.fence = 0
        sleep(1.0)
        self.assertThat(self._lease_end_s(), Equals(lease_end_s))
        self.check_second_start(bound_s)


class TestLaterRun(SilenceCase):
    def test_later_run_of_a_task_is_kept_and_not_the_stored_one(self):
        """The owner knew that the worker had ended, and was lost before it had stored that."""
        self.fall_silent()
        self.holder.crash()
        stored = [
            Put(row.key, row.value)
            for table in ("silences", "fleet")
            for row in self.harness.table.load(table).rows
        ]
        self.first.drop_worker(self.worker, "its VM is down")
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.first.stop()
        self.harness.table.commit(Transaction((), tuple(stored)))
        second = self.start_owner("vm-2", PredecessorState.SILENT)
        wait_until(second.is_loaded.is_set)
        wait_until(lambda: second.settled)
        sleep(0.5)
        task = second.jobs_by_id["j1"].task(TASK)
        self.assertThat(task.worker_id == self.holder_id, Equals(False))
        self.assertThat(task.active_run, Equals(2))
        self.assertThat(self.harness.checker.start_count, Equals(2))
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestRestartWithoutEvidence(SilenceCase):
    """Users expect a long-running task back six seconds after its last run, or three later."""

    def _crash_and_measure(self):
        """Crash the worker, and return how long its task is down, in seconds."""
        crashed_s = monotonic()
        self.holder.crash()
        wait_until(lambda: self.harness.checker.start_count == 2)
        return monotonic() - crashed_s

    def test_task_of_a_crashed_worker_is_back_in_time(self):
        (run,) = self.worker.runs_by_task.values()
        wait_until(lambda: run.incarnation)
        self.assertThat(self._crash_and_measure(), LessThan(RESTART_LIMIT_S))

    def test_task_that_its_worker_had_not_reported_before_it_crashed_is_back_in_time(self):
        self.assertThat(self._crash_and_measure(), LessThan(RESTART_LIMIT_S))


class StubRecorder:
    """Takes the queued rows into a batch when told to."""

    def __init__(self):
        self.next_batch = 1
        self.committed = 0
        self.value_by_key = {}

    def queue_row(self, key, value):
        self.value_by_key[key] = value
        return self.next_batch

    def take(self):
        self.next_batch += 1


def make_silence(number, run_count=0, lapses_s=100.0):
    runs = (
        HandedOverRun(TaskKey(f"{number:08x}{index:08x}", 999, 9, 999), 990_001, "0" * 16)
        for index in range(run_count)
    )
    return Silence(
        f"i-{number:010x}",
        1796525960216,
        "vm-0123456789",
        99.123456789,
        lapses_s,
        False,
        tuple(runs),
    )


class TestSilences(TestCase):
    def setUp(self):
        super().setUp()
        self.recorder = StubRecorder()
        self.silences = Silences(7, self.recorder)
        self.silence = make_silence(1, 1)
        self.id = self.silence.worker_id

    def test_silence_that_was_never_sent_to_the_store_needs_no_removal(self):
        self.silences.record(self.silence, 10.0)
        self.assertThat(self.silences.may_grant(self.id), Equals(False))
        self.assertThat(self.silences.remove(self.id), Equals(0))
        self.assertThat(self.silences.may_grant(self.id), Equals(True))

    def test_silence_whose_commit_is_under_way_has_to_be_removed(self):
        self.silences.record(self.silence, 10.0)
        self.recorder.take()
        self.assertThat(self.silences.remove(self.id), Equals(2))
        self.assertThat(self.silences.may_grant(self.id), Equals(False))
        self.recorder.committed = 1
        self.assertThat(self.silences.may_grant(self.id), Equals(False))
        self.recorder.committed = 2
        self.assertThat(self.silences.may_grant(self.id), Equals(True))

    def test_silence_that_is_described_anew_before_its_removal_has_to_be_removed(self):
        self.silences.record(self.silence, 10.0)
        self.recorder.take()
        self.silences.record(self.silence._replace(runs=()), 10.0)
        self.assertThat(self.silences.remove(self.id), Equals(2))
        self.assertThat(self.silences.may_grant(self.id), Equals(False))

    def test_second_silence_does_not_lift_the_wait_for_the_first_removal(self):
        self.silences.record(self.silence, 10.0)
        self.recorder.take()
        self.silences.remove(self.id)
        self.silences.record(self.silence, 11.0)
        self.assertThat(self.silences.remove(self.id), Equals(2))
        self.assertThat(self.silences.may_grant(self.id), Equals(False))

    def test_inherited_silence_has_to_be_removed(self):
        self.silences.inherit(self.silence, 10.0)
        self.silences.announce(())
        self.assertThat(self.silences.remove(self.id), Equals(1))
        self.assertThat(self.silences.may_grant(self.id), Equals(False))

    def test_rows_that_exist_are_written_again_without_workers_that_are_gone(self):
        self.silences.announce(["silences/3"])
        self.assertThat(self.recorder.value_by_key, Equals({"silences/3": SilencesRow(7, ())}))

    def test_end_of_leases_is_stored_again_only_if_it_matters(self):
        self.silences.record(self.silence, 10.0)
        changes = [
            self.silences.record(self.silence._replace(lapses_s=99.99), 9.99),
            self.silences.record(self.silence._replace(lapses_s=100.01), 10.01),
            self.silences.record(self.silence._replace(lapses_s=97.0), 7.0),
        ]
        self.assertThat(changes, Equals([False, True, True]))

    def test_rows_stay_within_the_limits_of_the_store(self):
        for number in range(400):
            self.silences.record(make_silence(number, 40), 10.0)
        for number in range(400, 2_000):
            self.silences.record(make_silence(number), 10.0)
        rows = self.recorder.value_by_key
        self.assertThat(len(rows), Equals(SILENCES_PARTS))
        sizes = [len(encode(row)) for row in rows.values()]
        self.assertThat(max(sizes), LessThan(65_536))
        self.assertThat(sum(4 * size / 3 for size in sizes), LessThan(1_000_000))

    def test_rows_of_another_epoch_are_out_of_date(self):
        """Its owner may have granted leases to the worker and started tasks there since."""
        malformed = []
        rows = [
            Row("silences/0", 1, [6, [["w1", 1, "vm-w1", 40.0, 50.0, False, []]]]),
            Row("silences/1", 2, [7, [["w2", 1, "vm-w2", 40.0, 50.0, False, []]]]),
            Row("silences/2", 3, [7, "later format"]),
        ]
        found = collect_silences(rows, 7, malformed.append)
        self.assertThat(list(found), Equals(["w2"]))
        self.assertThat([each.key for each in malformed], Equals(["silences/2"]))

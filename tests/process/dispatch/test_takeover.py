"""What a new owner may start while the stored list of workers lacks some that may run tasks."""

from time import monotonic

from gevent import sleep
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import fleet_key
from laburnumswitch.process.dispatch.dispatcher import FLEET_PARTS
from laburnumswitch.process.dispatch.dispatcher import FLEET_TABLE
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.takeover import RETRY_S
from laburnumswitch.process.dispatch.unread_workers import UNREAD_KEY
from laburnumswitch.process.leadership.succession import decode_succession
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
TASK = TaskKey("j1", 0, 0, 0)
# What another version may have stored in place of a list.
UNREADABLE = {"workers": []}
# Longer than a new owner takes to start what may start, in seconds.
START_S = 0.6


class MissingWorkerCase(TestCase):
    """A finite task on one of two workers, which does not answer the successors."""

    lease_s = 1.5

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        bounds = BOUNDS._replace(lease_s=self.lease_s)
        self.harness.deployment = self.harness.deployment._replace(bounds=bounds)
        self.first = self.start_owner("vm-1")
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.holder = next(w for w in self.harness.worker_by_id.values() if w.running())
        self.holder_id = self.holder.listing.worker_id
        self.other_id = next(w for w in ("w1", "w2") if w != self.holder_id)

    def start_owner(self, vm_id):
        owner = self.harness.start_owner(vm_id)
        self.addCleanup(owner.stop)
        return owner

    def start_successor(self, vm_id="vm-2"):
        owner = self.start_owner(vm_id)
        wait_until(lambda: usable_workers(owner, "shop"))
        return owner

    def unlist_holder(self):
        self.harness.table.commit(Transaction((), (), (f"servers/{self.holder_id}",)))

    def remove_from_list(self):
        self.store(fleet_key(self.holder_id), [])
        if fleet_key(self.holder_id) == fleet_key(self.other_id):
            listing = self.harness.worker_by_id[self.other_id].listing
            self.store(fleet_key(self.other_id), [listing])

    def store(self, key, value):
        self.harness.table.commit(Transaction((), (Put(key, value),)))

    def check_adopted(self, owner):
        """Check that the run goes on under an owner once its worker answers."""
        self.holder.drops_calls = False
        wait_until(lambda: owner.jobs_by_id["j1"].is_running())
        sleep(START_S)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(self.holder.running(), Equals((TASK,)))

    def check_started_after_lapse(self):
        wait_until(lambda: self.harness.checker.start_count == 2, limit_s=4 * self.lease_s)
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestUnreadableListOfWorkers(MissingWorkerCase):
    """Runs of workers that the successor learns of from the platform's list only."""

    def setUp(self):
        super().setUp()
        self.holder.drops_calls = True
        self.first.stop()
        self.store(fleet_key(self.holder_id), UNREADABLE)

    def end_second_owner(self, end):
        """Have an owner wait for most of a lease, and end it; the worker is not listed any more."""
        self.unlist_holder()
        second = self.start_successor()
        sleep(0.75 * self.lease_s)
        end(second)
        return second

    def test_task_does_not_start_before_a_worker_that_was_not_read_has_answered(self):
        second = self.start_successor()
        sleep(START_S)
        self.check_adopted(second)

    def test_task_starts_once_all_leases_have_lapsed(self):
        second = self.start_successor()
        self.check_started_after_lapse()
        wait_until(lambda: second.settled)

    def test_task_does_not_start_under_an_owner_after_the_one_that_replaced_the_row(self):
        """The worker is not listed any more, and the successor adds another one to its row."""
        self.unlist_holder()
        second = self.start_successor()
        names = (f"x{number}" for number in range(10_000))
        name = next(each for each in names if fleet_key(each) == fleet_key(self.holder_id))
        self.harness.add_worker(make_listing(3, worker_id=name))
        key = fleet_key(self.holder_id)
        wait_until(lambda: self.harness.table.peek(key).value != UNREADABLE)
        second.stop()
        third = self.start_successor("vm-3")
        sleep(START_S)
        self.harness.list_worker(self.holder.listing)
        self.check_adopted(third)

    def test_list_is_whole_again_once_all_runs_are_known(self):
        """Each later owner would wait for a whole lease otherwise."""
        second = self.start_successor()
        wait_until(lambda: second.settled)
        self.holder.drops_calls = False
        wait_until(lambda: len(usable_workers(second, "shop")) == 2)
        second.release()
        third = self.start_successor("vm-3")
        wait_until(lambda: third.settled, limit_s=0.5)
        self.assertThat(sorted(third.workers_by_id), Equals(["w1", "w2"]))

    def test_wait_for_workers_that_were_not_read_does_not_begin_anew_with_each_owner(self):
        """The earlier owner cannot have extended the leases of workers that it did not know."""
        self.unlist_holder()
        second = self.start_successor()
        sleep(0.75 * self.lease_s)
        self.assertThat(second.settled, Equals(False))
        second.release()
        third = self.start_successor("vm-3")
        wait_until(lambda: third.settled)
        late_s = monotonic() - second.unknown_runs_until_s
        self.assertThat(late_s, LessThan(START_S))

    def test_wait_goes_on_after_an_owner_that_has_sent_no_commands(self):
        self.unlist_holder()
        may_load = self.harness.hold_loads()
        self.addCleanup(may_load.set)
        second = self.start_owner("vm-2")
        wait_until(lambda: self.stored_unread().get("epoch") == second.epoch)
        sleep(0.75 * self.lease_s)
        second.stop()
        may_load.set()
        third = self.start_successor("vm-3")
        wait_until(lambda: third.settled)
        late_s = monotonic() - second.unknown_runs_until_s
        self.assertThat(late_s, LessThan(START_S))
        self.assertThat(late_s, GreaterThan(0.0))

    def test_wait_begins_anew_after_an_owner_that_was_lost(self):
        """It may have extended the lease of a worker that it had not stored yet."""
        second = self.end_second_owner(Dispatcher.stop)
        self.check_waits_for_its_own_lease(second)

    def test_wait_begins_anew_after_a_later_owner_that_has_extended_leases(self):
        """It may have read the rows, and known the workers in them."""
        second = self.end_second_owner(Dispatcher.release)
        stored = decode_succession(self.harness.table.read((SUCCESSION_KEY,))[SUCCESSION_KEY])
        self.store(SUCCESSION_KEY, stored._replace(kept_epoch=stored.epoch + 1))
        self.check_waits_for_its_own_lease(second)

    def test_wait_begins_anew_for_another_row(self):
        second = self.end_second_owner(Dispatcher.release)
        keys = (f"{FLEET_TABLE}/{part}" for part in range(FLEET_PARTS))
        read = {fleet_key(worker_id) for worker_id in (self.holder_id, self.other_id)}
        self.store(next(key for key in keys if key not in read), UNREADABLE)
        self.check_waits_for_its_own_lease(second)

    def test_wait_begins_anew_after_an_earlier_version(self):
        second = self.end_second_owner(Dispatcher.release)
        self.store(UNREAD_KEY, {"keys": self.stored_unread()["keys"]})
        self.check_waits_for_its_own_lease(second)

    def test_end_of_the_wait_is_stored_again_once_the_earlier_owner_has_ended(self):
        self.unlist_holder()
        second = self.harness.start_owner("vm-2", PredecessorState.SILENT)
        self.addCleanup(second.stop)
        wait_until(lambda: self.stored_unread().get("epoch") == second.epoch)
        before_s = self.stored_unread()["until_s"]
        second.note_predecessor_ended()
        wait_until(lambda: self.stored_unread()["until_s"] < before_s - 1.0, limit_s=START_S)

    def stored_unread(self):
        return self.harness.table.peek(UNREAD_KEY).value or {}

    def check_waits_for_its_own_lease(self, second):
        third = self.start_owner("vm-3")
        sleep(second.unknown_runs_until_s + 0.5 * START_S - monotonic())
        self.assertThat(third.settled, Equals(False))
        wait_until(lambda: third.settled)
        self.assertThat(monotonic(), GreaterThan(third.unknown_runs_until_s))


class TestWorkerMissingInTheListOfWorkers(MissingWorkerCase):
    def test_handed_over_run_on_a_worker_that_is_not_in_the_list_is_kept(self):
        self.holder.drops_calls = True
        self.first.release()
        self.remove_from_list()
        second = self.start_successor()
        self.assertThat(second.jobs_by_id["j1"].is_running(), Equals(True))
        sleep(START_S)
        self.check_adopted(second)

    def test_handed_over_run_on_a_worker_that_is_not_in_the_list_ends_with_its_lease(self):
        self.holder.drops_calls = True
        self.first.release()
        self.remove_from_list()
        self.start_successor()
        self.check_started_after_lapse()

    def test_owner_that_stops_before_it_has_read_the_list_replaces_nothing_of_it(self):
        """All workers would count as missing in a list that was not read."""
        self.first.release()
        load = self.harness.table.load
        has_begun, may_fail = Event(), Event()

        def fail_late(table):
            if table != FLEET_TABLE:
                return load(table)
            has_begun.set()
            may_fail.wait()
            return Unavailable("too late")

        self.harness.table.load = fail_late
        second = self.start_owner("vm-2")
        has_begun.wait()
        second.stop()
        may_fail.set()
        sleep(3 * RETRY_S)
        self.assertThat(second.recorder.count_queued_rows(f"{FLEET_TABLE}/"), Equals(0))

    def test_handed_over_run_on_a_worker_that_nobody_lists_ends_with_its_lease(self):
        self.holder.drops_calls = True
        self.first.release()
        self.remove_from_list()
        self.unlist_holder()
        second = self.start_successor()
        self.check_started_after_lapse()
        wait_until(lambda: self.holder_id not in second.workers_by_id)


class TestSilentWorkerMissingInTheListOfWorkers(MissingWorkerCase):
    # It takes two renewals without an answer until a silence is stored.
    lease_s = 4.0

    def test_run_of_a_stored_silence_on_a_worker_that_is_not_in_the_list_is_kept(self):
        self.holder.drops_calls = True
        wait_until(lambda: self.holder_id in self._stored_silent_ids())
        self.first.stop()
        self.remove_from_list()
        second = self.start_successor()
        wait_until(second.is_loaded.is_set)
        self.assertThat(self._stored_silent_ids(), Contains(self.holder_id))
        self.assertThat(second.jobs_by_id["j1"].is_running(), Equals(True))
        self.check_started_after_lapse()

    def _stored_silent_ids(self):
        rows = self.harness.table.load("silences").rows
        return [silence[0] for row in rows for silence in row.value[1]]

"""Long-running tasks under owners that follow one another: stale records, and leases not kept."""

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.lease_keeping import KEEP_AFTER_S
from laburnumswitch.process.leadership.term import PredecessorState
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LASTING = Step(1, cpu_millis=1000, memory_mb=100, long_running=True)
TASK = TaskKey("j1", 0, 0, 0)
# How many owners of less than the pause before leases are kept outlast a lease.
OWNERS = 11
# A successor knows the end of the leases of an earlier owner to within this time, in seconds.
TOLERANCE_S = 0.5
# How long owners are there that are killed before they act, in seconds.
KILL_S = 0.2


class OneLastingTaskCase(TestCase):
    """A long-running task on one of three workers, started by the first owner."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=3)
        self.first = self.start_owner("vm-1")
        wait_until(lambda: len(self.reached(self.first)) == 3)
        self.harness.submit(make_submission("j1", LASTING), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.holder = self.running_worker()
        self.holder_id = self.holder.listing.worker_id

    def start_owner(self, vm_id, predecessor=PredecessorState.ENDED):
        owner = self.harness.start_owner(vm_id, predecessor)
        self.addCleanup(owner.stop)
        return owner

    def reached(self, owner):
        return [worker for worker in owner.workers_by_id.values() if worker.is_reached]

    def running_worker(self):
        (holder,) = (each for each in self.harness.worker_by_id.values() if each.running())
        return holder

    def stored_silent_runs(self):
        """Return the pairs of silent worker and task whose runs are stored."""
        rows = self.harness.table.load("silences").rows
        silences = [silence for row in rows for silence in row.value[1]]
        return [(silence[0], TaskKey(*run[0])) for silence in silences for run in silence[-1]]


class TestOutdatedSilence(OneLastingTaskCase):
    def _fall_silent(self):
        """Have the holder fall silent, and return once a renewal that will fail has begun."""
        self.begun = 0
        renew = self.holder.renew

        def renew_and_count(renewal, timeout_s):
            self.begun += 1
            return renew(renewal, timeout_s)

        self.holder.renew = renew_and_count
        self.holder.drops_calls = True
        wait_until(lambda: (self.holder_id, TASK) in self.stored_silent_runs())
        begun = self.begun
        wait_until(lambda: self.begun > begun)

    def test_later_placement_goes_before_the_run_in_an_older_silence(self):
        """The silence is stored again only after the next failed renewal of its worker."""
        self._fall_silent()
        self.holder.restart()
        self.harness.list_worker(self.holder.listing)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.first.stop()
        self.assertThat(self.stored_silent_runs(), Contains((self.holder_id, TASK)))
        self.running_worker().drops_calls = True
        self.holder.drops_calls = False
        second = self.start_owner("vm-2")
        wait_until(second.is_loaded.is_set)
        sleep(2.0)
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestLeasesWhileOwnersLoad(TestCase):
    """Owners load slowly, or end before they have loaded, one after the other."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.may_load = self.harness.hold_loads()
        self.may_load.set()
        self.addCleanup(self.may_load.set)

    def start_owner(self, vm_id):
        owner = self.harness.start_owner(vm_id)
        self.addCleanup(owner.stop)
        return owner

    def start_job(self, owner):
        self.harness.submit(make_submission("j1", LASTING), owner)
        wait_until(lambda: self.harness.checker.start_count == 1)
        (holder,) = (each for each in self.harness.worker_by_id.values() if each.running())
        wait_until(lambda: owner.workers_by_id[holder.listing.worker_id].granted_until_s)
        return holder

    def test_lease_is_kept_of_a_worker_that_has_restarted_since_it_was_stored(self):
        first = self.start_owner("vm-1")
        wait_until(lambda: len(usable_workers(first, "shop")) == 2)
        for worker in self.harness.worker_by_id.values():
            worker.restart()
            self.harness.list_worker(worker.listing)
        wait_until(lambda: all(each.incarnation == 2 for each in first.workers_by_id.values()))
        wait_until(lambda: len(usable_workers(first, "shop")) == 2)
        holder = self.start_job(first)
        first.release()
        self.may_load.clear()
        self.start_owner("vm-2")
        sleep(BOUNDS.lease_s + 1.5)
        self.assertThat(holder.running(), Equals((TASK,)))

    def test_lease_is_kept_under_owners_that_end_soon_after_they_took_over(self):
        """Each of them ends before the time after which an owner keeps leases while it loads."""
        first = self.start_owner("vm-1")
        holder = self.start_job(first)
        first.release()
        self.may_load.clear()
        for number in range(2, 2 + OWNERS):
            owner = self.start_owner(f"vm-{number}")
            sleep(KEEP_AFTER_S - 0.05)
            owner.stop()
        self.assertThat(holder.running(), Equals((TASK,)))

    def test_handed_over_end_of_a_lease_holds_if_later_owners_extended_only_others(self):
        first = self.start_owner("vm-1")
        holder_id = self.start_job(first).listing.worker_id
        self.harness.worker_by_id[holder_id].drops_calls = True
        bound_s = first.workers_by_id[holder_id].last_lapse_bound_s()
        first.release()
        self.may_load.clear()
        for number in range(2, 4):
            owner = self.start_owner(f"vm-{number}")
            sleep(2 * KEEP_AFTER_S)
            owner.stop()
        self.may_load.set()
        last = self.start_owner("vm-9")
        wait_until(last.is_loaded.is_set)
        lapse_bound_s = last.workers_by_id[holder_id].lapse_bound_s
        self.assertThat(lapse_bound_s - bound_s, LessThan(TOLERANCE_S))
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestOwnersKilledBeforeTheyAct(TestCase):
    """A worker is lost with the only owner that acted, and no list of VMs proves its end."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        first = self.start_owner("vm-1")
        self.harness.submit(make_submission("j1", LASTING), first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        (self.holder,) = (each for each in self.harness.worker_by_id.values() if each.running())
        self.holder_id = self.holder.listing.worker_id
        wait_until(lambda: first.workers_by_id[self.holder_id].granted_until_s)
        self.may_load = self.harness.hold_loads()
        self.addCleanup(self.may_load.set)
        self.may_load.clear()
        self.holder.drops_calls = True
        first.stop()

    def start_owner(self, vm_id, predecessor=PredecessorState.ENDED):
        owner = self.harness.start_owner(vm_id, predecessor)
        self.addCleanup(owner.stop)
        return owner

    def kill_in_turn(self, count, alive_s, predecessor=PredecessorState.ENDED):
        for number in range(count):
            owner = self.start_owner(f"vm-x{number}", predecessor)
            sleep(alive_s)
            owner.stop()

    def check_bound(self, bound_s):
        """Check that the leases of the lost worker count from the first takeover."""
        self.may_load.set()
        last = self.start_owner("vm-9")
        wait_until(last.is_loaded.is_set)
        lapse_bound_s = last.workers_by_id[self.holder_id].lapse_bound_s
        self.assertThat(lapse_bound_s - bound_s, LessThan(TOLERANCE_S))
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_lease_of_a_lost_worker_does_not_count_from_each_takeover(self):
        second = self.start_owner("vm-2")
        bound_s = second.unknown_runs_until_s
        sleep(KILL_S)
        second.stop()
        self.kill_in_turn(4, alive_s=2 * KILL_S)
        self.check_bound(bound_s)

    def test_lease_counts_from_the_confirmed_end_of_the_last_owner_that_acted(self):
        second = self.start_owner("vm-2", PredecessorState.SILENT)
        sleep(KILL_S)
        second.note_predecessor_ended()
        bound_s = second.unknown_runs_until_s
        sleep(KILL_S)
        second.stop()
        self.kill_in_turn(2, 4 * KILL_S, PredecessorState.SILENT)
        self.check_bound(bound_s)

    def test_lease_that_an_owner_kept_counts_from_the_end_of_that_owner(self):
        second = self.start_owner("vm-2")
        self.holder.drops_calls = False
        sleep(2 * KEEP_AFTER_S)
        self.holder.drops_calls = True
        second.stop()
        third = self.start_owner("vm-3")
        bound_s = third.unknown_runs_until_s
        wait_until(lambda: self.holder_id in third.workers_by_id)
        self.assertThat(third.workers_by_id[self.holder_id].lapse_bound_s, Equals(bound_s))
        sleep(KILL_S)
        third.stop()
        self.kill_in_turn(1, 2 * KEEP_AFTER_S)
        self.check_bound(bound_s)

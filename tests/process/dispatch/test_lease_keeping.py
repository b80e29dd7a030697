"""Leases of workers while new owners load, one after the other."""

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LASTING = Step(1, cpu_millis=1000, memory_mb=100, long_running=True)
TASK = TaskKey("j1", 0, 0, 0)
LEASE_S = 3.0
# How long each owner loads, in seconds: two of them take longer than a lease.
LOAD_S = 2.0


class TestOwnersThatLoadSlowly(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        bounds = BOUNDS._replace(lease_s=LEASE_S)
        self.harness.deployment = self.harness.deployment._replace(bounds=bounds)
        first = self.harness.start_owner()
        self.harness.submit(make_submission("j1", LASTING), first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        (self.holder,) = (each for each in self.harness.worker_by_id.values() if each.running())
        wait_until(lambda: first.workers_by_id[self.holder.listing.worker_id].granted_until_s)
        first.release()
        self.may_load = self.harness.hold_loads(limit_s=LOAD_S)
        self.addCleanup(self.may_load.set)

    def _start_owner(self, vm_id):
        owner = self.harness.start_owner(vm_id)
        self.addCleanup(owner.stop)
        return owner

    def test_no_lease_lapses_on_healthy_workers(self):
        second = self._start_owner("vm-2")
        sleep(LOAD_S - 0.1)
        second.stop()
        third = self._start_owner("vm-3")
        wait_until(third.is_loaded.is_set)
        wait_until(lambda: third.settled)
        sleep(0.5)
        self.assertThat(self.holder.running(), Equals((TASK,)))
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_task_does_not_start_again_before_a_lease_that_was_only_extended_has_lapsed(self):
        """The handover is in force, but the leases in it are out of date."""
        second = self._start_owner("vm-2")
        sleep(LOAD_S - 0.1)
        second.stop()
        self.holder.drops_calls = True
        self.may_load.set()
        third = self._start_owner("vm-3")
        wait_until(third.is_loaded.is_set)
        worker = third.workers_by_id[self.holder.listing.worker_id]
        self.assertThat(worker.has_unknown_runs, Equals(False))
        self.assertThat(list(worker.runs_by_task), Equals([TASK]))
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_no_lease_is_extended_of_workers_that_are_known_to_be_silent(self):
        """The end of their leases is stored, and the successor relies on it."""
        self.may_load.set()
        second = self._start_owner("vm-2")
        wait_until(lambda: second.settled)
        self.holder.drops_calls = True
        worker_id = self.holder.listing.worker_id
        wait_until(lambda: not second.silences.may_grant(worker_id))
        batch = second.recorder.queue_row("x/1", 1)
        wait_until(lambda: second.recorder.committed >= batch)
        second.stop()
        lease_end_s = self.holder._lease_until_s
        self.may_load.clear()
        self.holder.drops_calls = False
        third = self._start_owner("vm-3")
        sleep(LOAD_S - 0.2)
        self.assertThat(third.is_loaded.is_set(), Equals(False))
        self.assertThat(self.holder._lease_until_s, Equals(lease_end_s))


class TestSilenceAfterTheLoad(TestCase):
    """A worker whose leases were kept falls silent before the owner has read what it runs."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=1)
        self.worker = self.harness.worker_by_id["w1"]
        first = self.harness.start_owner()
        wait_until(lambda: usable_workers(first, "shop"))
        first.stop()
        self.may_load = self.harness.hold_loads()
        self.addCleanup(self.may_load.set)
        self.owner = self.harness.start_owner("vm-2")
        self.addCleanup(self.owner.stop)

    def test_no_lease_is_sent_to_a_silent_worker_that_may_have_unknown_runs(self):
        """Each one would move the time from which on these have certainly ended."""
        wait_until(lambda: "w1" in self.owner.workers_by_id)
        known = self.owner.workers_by_id["w1"]
        wait_until(lambda: known.granted_until_s)
        self.worker.drops_calls = True
        self.may_load.set()
        wait_until(lambda: known.is_silent)
        lapse_bound_s = known.unreported_lapse_bound_s()
        wait_until(lambda: not self.owner.silences.may_grant("w1"))
        self.assertThat(known.has_unknown_runs, Equals(True))
        self.assertThat(known.unreported_lapse_bound_s(), Equals(lapse_bound_s))

"""Tests of successive owners that read the list of VMs while a worker does not answer."""

from time import monotonic

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.planner import usable_workers
from laburnumswitch.process.dispatch.vm_list import MAX_DELAY_S
from laburnumswitch.process.dispatch.vm_list import VmRow
from laburnumswitch.process.dispatch.vm_list import VmState
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LONG_RUNNING = Step(1, cpu_millis=1000, memory_mb=100, long_running=True)
TASK = TaskKey("j1", 0, 0, 0)
# Time, in seconds, within which an owner that need not gather its evidence anew drops a worker.
PROOF_S = 1.6


class EvidenceCase(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.harness.list_vms = lambda timeout_s: self.harness.vm_rows()
        self.first = self.start_owner("vm-1", PredecessorState.ENDED)
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)

    def start_owner(self, vm_id, predecessor=PredecessorState.SILENT):
        owner = self.harness.start_owner(vm_id, predecessor)
        self.addCleanup(owner.stop)
        return owner

    def start_run(self):
        self.harness.submit(make_submission("j1", LONG_RUNNING), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.holder = next(w for w in self.harness.worker_by_id.values() if w.running())
        self.holder_id = self.holder.listing.worker_id

    def wait_until_stored(self):
        wait_until(
            lambda: any(row.value[1] for row in self.harness.table.load("silences").rows),
        )


class TestShortTerms(EvidenceCase):
    """Each owner used to gather its evidence anew, which takes more than three seconds."""

    def setUp(self):
        super().setUp()
        self.start_run()
        sleep(1.1 * MAX_DELAY_S)

    def _crash(self):
        self.holder.crash()
        # The platform lists neither the worker nor, with it, its VM any longer.
        self.harness.table.commit(Transaction((), (), (f"servers/{self.holder_id}",)))

    def _check_restart(self):
        wait_until(lambda: self.harness.checker.start_count == 2, limit_s=PROOF_S)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_silent_worker_of_a_killed_owner_is_proved_to_have_ended_at_once(self):
        # The first owner cannot read the list.
        self.harness.list_vms = None
        self.first.stop()
        self.first = self.start_owner("vm-2", PredecessorState.ENDED)
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        sleep(1.1 * MAX_DELAY_S)
        self._crash()
        self.wait_until_stored()
        self.first.stop()
        self.harness.list_vms = lambda timeout_s: self.harness.vm_rows()
        third = self.start_owner("vm-3")
        self._check_restart()
        task = third.jobs_by_id["j1"].task(TASK)
        # How long the worker had survived the run is not known to this owner.
        self.assertThat(task.crashed_runs, Equals(set()))

    def test_worker_lost_with_its_owner_is_proved_to_have_ended_over_several_short_terms(self):
        self._crash()
        self.first.stop()
        second = self.start_owner("vm-2")
        self.wait_until_stored()
        wait_until(lambda: monotonic() - second.began_s > 0.9 * MAX_DELAY_S)
        second.stop()
        self.assertThat(self.harness.checker.start_count, Equals(1))
        self.start_owner("vm-3")
        self._check_restart()


class TestOldList(EvidenceCase):
    def test_list_from_before_the_last_start_proves_nothing_to_a_successor(self):
        """The VM was down before the worker was started there, and the list lags behind."""
        sleep(1.1 * MAX_DELAY_S)
        self.start_run()
        started_s = monotonic()
        readings = []

        def list_vms_late(timeout_s):
            readings.append(monotonic() - started_s)
            state = VmState.DOWN if readings[-1] < 0.95 * MAX_DELAY_S else VmState.UP
            vm_id = self.holder.listing.vm_id
            rows = [row for row in self.harness.vm_rows() if row.vm_id != vm_id]
            return (*rows, VmRow(vm_id, state, self.holder_id if state is VmState.UP else ""))

        self.harness.list_vms = list_vms_late
        self.holder.renew = lambda renewal, timeout_s: AnswerLost("w", "silent")
        self.wait_until_stored()
        self.first.stop()
        self.start_owner("vm-2")
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(sum(age_s < 0.95 * MAX_DELAY_S for age_s in readings), GreaterThan(0))
        self.assertThat(self.harness.checker.violations, Equals([]))

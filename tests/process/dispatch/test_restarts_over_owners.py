"""Workers that start again under their ids while one owner follows another."""

from time import monotonic

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan
from testtools.matchers import Not

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.exceptions import WorkerReplaced
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.fleet import DELIVERY_S
from laburnumswitch.process.dispatch.fleet import lapse_s
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.lease_keeping import KEEP_INTERVAL_S
from laburnumswitch.process.dispatch.vm_list import MAX_DELAY_S
from laburnumswitch.process.dispatch.vm_list import VmRow
from laburnumswitch.process.dispatch.vm_list import VmState
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import TAKEOVER_WAIT_S
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until
from tests.process.dispatch.links import CutLink

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
# The list of VMs shows an outage for this time, in seconds, after it has begun.
SHOWN_S = 0.95 * MAX_DELAY_S
# The worker's clock before its restart, in seconds, and one that is ahead of it, but not of the end
# of a lease that was granted before.
CLOCK_S = 1000.0
CLOCK_AHEAD_S = CLOCK_S + 3.0


class CutTable:
    """Table of one owner: all calls fail if ``is_cut``, and if ``has_feeds_only`` all others."""

    def __init__(self, table):
        self._table = table
        self.is_cut = False
        self.has_feeds_only = False

    def read(self, keys):
        if self.has_feeds_only:
            return Unavailable("cut off")
        return self._call(self._table.read, keys)

    def load(self, table):
        return self._call(self._table.load, table)

    def follow(self, table, after, wait_s):
        return self._call(self._table.follow, table, after, wait_s)

    def commit(self, transaction):
        if self.is_cut or self.has_feeds_only:
            return OutcomeUnknown("cut off")
        return self._table.commit(transaction)

    def _call(self, call, *arguments):
        answer = Unavailable("cut off") if self.is_cut else call(*arguments)
        return Unavailable("cut off") if self.is_cut else answer


class ResetLink(CutLink):
    """Link whose calls are lost with the process that they were sent to; it may also be full."""

    def __init__(self, worker, is_cut):
        super().__init__(worker, is_cut)
        self.is_full = False

    def start(self, command, timeout_s):
        if self.is_full:
            return StartRefused(self.worker.listing.worker_id, "room")
        return super().start(command, timeout_s)

    def _call(self, call, *arguments):
        incarnation = self.worker.incarnation
        answer = super()._call(call, *arguments)
        if self.is_cut or self.worker.incarnation != incarnation:
            return AnswerLost(self.worker.listing.worker_id, "connection reset")
        return answer


class RestartCase(TestCase):
    """Two workers, and owners that each reach the store and the workers unless they are cut off."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.w1 = self.harness.worker_by_id["w1"]
        self.w1.set_clock(CLOCK_S)
        self.crashed_s = float("inf")
        self.link_by_pair = {}

    def start_owner(self, vm_id, predecessor=PredecessorState.ENDED, cut_off=(), table=None):
        """Start an owner that reaches neither the workers ``cut_off`` nor, if cut, ``table``."""

        def make_link(listing):
            worker = self.harness.worker_by_id[listing.worker_id]
            link = ResetLink(worker, listing.worker_id in cut_off)
            self.link_by_pair[vm_id, listing.worker_id] = link
            return link

        self.harness.make_link = make_link
        shared, self.harness.table = self.harness.table, table or self.harness.table
        owner = self.harness.start_owner(vm_id, predecessor)
        self.harness.table = shared
        self.addCleanup(owner.stop)
        return owner

    def reached(self, owner):
        return {each.worker_id for each in usable_workers(owner, "shop")}

    def restart_worker(self):
        """Have the first worker lose its VM and start again on it, before two renewals fail."""
        self.crashed_s = monotonic()
        self.w1.crash()
        sleep(0.05)
        self.w1.restart(CLOCK_AHEAD_S)

    def wait_until_first_owner_has_an_answer(self):
        known = self.first.workers_by_id["w1"]
        answered_s = known.last_answer_s
        wait_until(lambda: known.last_answer_s > answered_s)

    def list_vms_late(self, timeout_s):
        """Return the list of VMs, which shows the outage of the first worker late."""
        others = [row for row in self.harness.vm_rows() if row.worker_id != "w1"]
        is_shown = 0.0 <= monotonic() - self.crashed_s < SHOWN_S
        state = VmState.DOWN if is_shown else VmState.UP
        return (*others, VmRow("vm-w1", state, "" if is_shown else "w1"))

    def lose_start_until(self, end):
        """Have an owner start a task on the first worker, keep the command, and end the owner."""
        self.commands = []
        start = self.w1.start

        def lose(command, timeout_s):
            self.commands.append(command)
            sleep(timeout_s)
            return AnswerLost("w1", "late")

        self.w1.start = lose
        first = self.start_owner("vm-1", cut_off=("w2",))
        wait_until(lambda: self.reached(first) == {"w1"})
        self.harness.submit(make_submission("j1", LONG), first)
        wait_until(lambda: self.commands)
        end(first)
        self.w1.start = start

    def check_runs_once(self, start_count=1):
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(start_count))


class OwnerTakenForLostCase(RestartCase):
    """The first owner reaches neither the store nor the second worker, and still has its lease."""

    def setUp(self):
        super().setUp()
        self.table = CutTable(self.harness.table)
        self.first = self.start_owner("vm-1", table=self.table)
        wait_until(lambda: self.reached(self.first) == {"w1", "w2"})
        self.link_by_pair["vm-1", "w2"].is_cut = True
        wait_until(lambda: self.reached(self.first) == {"w1"})

    def take_over(self, cut_off=()):
        self.table.is_cut = True
        # No entry takes over earlier.
        sleep(TAKEOVER_WAIT_S)
        second = self.start_owner("vm-2", PredecessorState.SILENT, cut_off)
        wait_until(second.is_loaded.is_set)
        return second

    def take_over_before_the_worker_has_room(self):
        """Take over while the first owner waits with a job for room on the first worker."""
        self.link_by_pair["vm-1", "w1"].is_full = True
        self.harness.submit(make_submission("j1", LONG))
        wait_until(lambda: "j1" in self.first.jobs_by_id)
        self.harness.list_vms = self.list_vms_late
        second = self.take_over(cut_off=("w1",))
        sleep(0.4 * MAX_DELAY_S)
        return second

    def cut_second_owner_off(self):
        """Have the second owner start tasks on the second worker only."""
        link = self.link_by_pair["vm-2", "w1"]
        link.is_cut = link.is_full = True

    def wait_until_first_owner_knows_of_the_restart(self):
        known = self.first.workers_by_id["w1"]
        wait_until(lambda: known.incarnation == self.w1.incarnation and known.is_reached)

    def heal(self, second):
        """Have the second owner reach the first worker, and apply its report."""
        self.link_by_pair["vm-2", "w1"].is_cut = False
        wait_until(lambda: second.settled)
        sleep(0.5)


class TestRestartThatTheFirstOwnerKnows(OwnerTakenForLostCase):
    """A worker that has restarted has forgotten the fencing token of the second owner."""

    def test_job_is_not_started_by_both_once_the_second_owner_has_settled(self):
        second = self.take_over()
        wait_until(lambda: second.settled)
        self.assertThat(self.first.may_act(), Equals(True))
        self.cut_second_owner_off()
        self.restart_worker()
        self.wait_until_first_owner_knows_of_the_restart()
        self.assertThat(self.first.may_act(), Equals(True))
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count >= 1)
        sleep(1.0)
        self.heal(second)
        self.check_runs_once()

    def test_task_of_the_restarted_worker_is_not_started_by_both(self):
        """Both know that its run has ended, the second owner from the list of workers."""
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        second = self.take_over()
        wait_until(lambda: second.settled)
        known = second.workers_by_id["w1"]
        wait_until(lambda: any(run.incarnation for run in known.runs_by_task.values()))
        self.cut_second_owner_off()
        self.restart_worker()
        self.wait_until_first_owner_knows_of_the_restart()
        self.assertThat(self.first.may_act(), Equals(True))
        sleep(0.5)
        self.harness.list_worker(self.w1.listing)
        sleep(1.0)
        self.heal(second)
        self.check_runs_once(start_count=2)

    def test_list_of_vms_ends_no_run_that_is_started_after_the_restart(self):
        """The worker is cut off from the store as well, so that its restart is not listed."""
        second = self.take_over_before_the_worker_has_room()
        self.restart_worker()
        self.wait_until_first_owner_knows_of_the_restart()
        self.link_by_pair["vm-1", "w1"].is_full = False
        sleep(SHOWN_S)
        self.heal(second)
        self.check_runs_once()


class TestRestartAtAnotherAddress(OwnerTakenForLostCase):
    def test_owner_that_cannot_commit_starts_nothing_there(self):
        """The second owner has dropped the worker, as another one answers at its old address."""
        self.table.has_feeds_only = True
        cut_off = set()
        second = self.start_owner("vm-2", PredecessorState.SILENT, cut_off)
        wait_until(lambda: second.settled)
        self.cut_second_owner_off()
        cut_off.add("w1")
        replaced = self.link_by_pair["vm-2", "w1"]
        replaced.renew = lambda renewal, timeout_s: WorkerReplaced("10.0.0.1:80")
        listing = self.w1.listing
        self.w1.restart(CLOCK_AHEAD_S)
        wait_until(lambda: "w1" not in second.workers_by_id)
        self.w1.listing = self.w1.listing._replace(address="10.0.0.1:81")
        self.harness.list_worker(self.w1.listing)
        known = self.first.workers_by_id["w1"]
        wait_until(lambda: known.listing.address != listing.address and known.is_reached)
        self.assertThat(self.first.may_act(), Equals(True))
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count >= 1)
        sleep(1.0)
        self.check_runs_once()


class TestRestartThatTheFirstOwnerDoesNotKnow(OwnerTakenForLostCase):
    """The worker would accept a start before a renewal of the first owner has failed."""

    def test_list_of_vms_ends_no_run_that_is_started_after_the_restart(self):
        """The worker is cut off from the store as well, so that its restart is not listed."""
        second = self.take_over_before_the_worker_has_room()
        self.wait_until_first_owner_has_an_answer()
        self.restart_worker()
        self.assertThat(self.first.workers_by_id["w1"].incarnation, Equals(1))
        self.assertThat(self.first.may_act(), Equals(True))
        self.link_by_pair["vm-1", "w1"].is_full = False
        sleep(1.0 + SHOWN_S)
        self.heal(second)
        self.check_runs_once()

    def test_job_is_not_started_by_both_once_the_second_owner_has_settled(self):
        """The restarted worker has forgotten the fencing token of the second owner."""
        self.wait_until_first_owner_has_an_answer()
        second = self.take_over()
        wait_until(lambda: second.settled)
        self.assertThat(self.first.may_act(), Equals(True))
        self.cut_second_owner_off()
        self.restart_worker()
        self.assertThat(self.first.workers_by_id["w1"].incarnation, Equals(1))
        self.assertThat(self.first.may_act(), Equals(True))
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count >= 1)
        sleep(1.0)
        self.heal(second)
        self.check_runs_once()


class TestStartAcceptedAfterTheRestart(RestartCase):
    """The first owner ends before it learns that a worker has restarted and runs a task."""

    def setUp(self):
        super().setUp()
        self.harness.list_vms = self.list_vms_late
        self.first = self.start_owner("vm-1", cut_off=("w2",))
        wait_until(lambda: self.reached(self.first) == {"w1"})

    def start_run_after_restart(self):
        self.wait_until_first_owner_has_an_answer()
        self.restart_worker()
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.assertThat(self.first.workers_by_id["w1"].incarnation, Equals(1))

    def check_successor(self, is_listed):
        second = self.start_owner("vm-2", cut_off=("w1",))
        wait_until(second.is_loaded.is_set)
        if is_listed:
            self.harness.list_worker(self.w1.listing)
        sleep(SHOWN_S + 0.7)
        self.link_by_pair["vm-2", "w1"].is_cut = False
        wait_until(lambda: second.settled)
        sleep(0.5)
        self.check_runs_once()

    def test_handed_over_run_goes_on(self):
        self.start_run_after_restart()
        self.first.release()
        self.check_successor(is_listed=False)

    def test_handed_over_run_goes_on_when_the_restart_is_listed(self):
        self.start_run_after_restart()
        self.first.release()
        self.check_successor(is_listed=True)

    def test_run_of_a_killed_owner_goes_on(self):
        self.start_run_after_restart()
        self.first.stop()
        self.check_successor(is_listed=False)

    def test_run_of_a_killed_owner_goes_on_when_the_restart_is_listed(self):
        self.start_run_after_restart()
        self.first.stop()
        self.check_successor(is_listed=True)

    def test_silence_of_the_incarnation_before_leads_to_no_second_run(self):
        """The run in it ended with that incarnation, and nothing was started on the next one."""
        self.harness.submit(make_submission("j1", LONG), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)
        known = self.first.workers_by_id["w1"]
        wait_until(lambda: any(run.incarnation for run in known.runs_by_task.values()))
        self.link_by_pair["vm-1", "w1"].is_cut = True
        wait_until(lambda: not self.first.silences.may_grant("w1"))
        batch = self.first.recorder.queue_row("x/1", 1)
        wait_until(lambda: self.first.recorder.committed >= batch)
        self.restart_worker()
        self.harness.list_worker(self.w1.listing)
        wait_until(lambda: known.incarnation == 2)
        self.first.stop()
        second = self.start_owner("vm-2")
        wait_until(lambda: self.harness.checker.start_count == 2)
        wait_until(lambda: second.settled)
        sleep(0.5)
        self.check_runs_once(start_count=2)


class TestLastCommandBeforeTheTakeover(RestartCase):
    """A start in flight reaches a worker that has just restarted, whose clock began anew."""

    def setUp(self):
        super().setUp()
        self.first = self.start_owner("vm-1")
        wait_until(lambda: self.reached(self.first) == {"w1", "w2"})

    def check_bound(self, owner, ended_s):
        run_until_s = ended_s + DELIVERY_S + lapse_s(BOUNDS.lease_s, BOUNDS.stop_s)
        bound_s = owner.workers_by_id["w1"].lapse_bound_s
        self.assertThat(bound_s, Not(LessThan(run_until_s)))

    def test_run_of_an_owner_that_has_ended_has_lapsed_before_it_counts_as_ended(self):
        self.first.stop()
        ended_s = monotonic()
        second = self.start_owner("vm-2", cut_off=("w1",))
        wait_until(second.is_loaded.is_set)
        self.check_bound(second, ended_s)

    def test_run_of_an_owner_that_confirms_its_end_has_lapsed_before_it_counts_as_ended(self):
        second = self.start_owner("vm-2", PredecessorState.SILENT, cut_off=("w1",))
        wait_until(second.is_loaded.is_set)
        self.first.supersede()
        ended_s = monotonic()
        second.note_predecessor_ended()
        self.check_bound(second, ended_s)


class TestStartDeliveredLate(RestartCase):
    """A handed-over start that was not answered is voided by the second owner, and delivered."""

    def setUp(self):
        super().setUp()
        self.lose_start_until(Dispatcher.release)
        self.second = self.start_owner("vm-2")
        wait_until(lambda: ("vm-2", "w1") in self.link_by_pair)
        self.link_by_pair["vm-2", "w1"].is_full = True
        wait_until(lambda: self.harness.checker.start_count == 1)

    def test_is_refused_once_the_second_owner_has_reached_the_restarted_worker(self):
        self.restart_worker()
        wait_until(lambda: self.second.workers_by_id["w1"].incarnation == 2)
        refusal = self.w1.start(self.commands[0], 1.0)
        self.assertThat(refusal, Equals(StartRefused("w1", "fence")))
        self.check_runs_once()

    def test_does_not_run_right_after_the_restart(self):
        self.restart_worker()
        self.w1.start(self.commands[0], 1.0)
        self.check_runs_once()


class TestRestartWhileTheOwnerLoads(RestartCase):
    """A start of an owner that was killed was not answered, and is delivered after the restart."""

    def setUp(self):
        super().setUp()
        self.lose_start_until(Dispatcher.stop)
        self.may_load = self.harness.hold_loads()
        self.harness.list_vms = self.list_vms_late
        self.second = self.start_owner("vm-2")
        self.addCleanup(self.may_load.set)
        wait_until(lambda: "w1" in self.second.workers_by_id)
        self.known = self.second.workers_by_id["w1"]
        self.link = self.link_by_pair["vm-2", "w1"]

    def deliver_start(self):
        self.w1.start(self.commands[0], 1.0)
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_list_of_vms_from_before_the_incarnation_ends_no_run_of_it(self):
        sleep(0.5)
        self.restart_worker()
        self.harness.list_worker(self.w1.listing)
        self.deliver_start()
        wait_until(lambda: self.known.granted_until_s)
        self.link.is_cut = True
        self.may_load.set()
        sleep(SHOWN_S + 0.5)
        self.link.is_cut = False
        wait_until(lambda: self.second.settled)
        sleep(0.2)
        self.check_runs_once()

    def test_lease_that_is_extended_after_the_restart_has_lapsed_before_the_task_starts_again(self):
        """The answer is lost, and the clock began anew: the lease is as long as one may be."""
        wait_until(lambda: self.known.granted_until_s)
        self.w1.restart()
        self.deliver_start()
        self.w1.drops_answers = True
        lease_until_s = self.w1._lease_until_s
        sleep(KEEP_INTERVAL_S)
        wait_until(lambda: self.w1._lease_until_s > lease_until_s)
        self.link.is_cut = True
        self.may_load.set()
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.check_runs_once(start_count=2)

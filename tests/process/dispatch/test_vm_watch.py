"""Tests of an owner that reads the platform's list of VMs while workers do not answer."""

from json import loads
from time import monotonic
from time import sleep as stall

from gevent import sleep
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.vm_list import MAX_DELAY_S
from laburnumswitch.process.dispatch.vm_list import RUN_BY_NONE
from laburnumswitch.process.dispatch.vm_list import VmRow
from laburnumswitch.process.dispatch.vm_list import VmState
from laburnumswitch.process.dispatch.vm_watch import SILENCE_S
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DEPLOYMENT
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)


class TestVmWatch(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.harness.list_vms = self._list_vms
        self.failure = None
        self.readings = 0
        self.events = []

    def _list_vms(self, timeout_s):
        self.readings += 1
        return self.failure or self._true_rows()

    def _true_rows(self):
        return self.harness.vm_rows()

    def _start_owner(self, **arguments):
        owner = self.harness.start_owner(**arguments)
        self.addCleanup(owner.stop)
        return owner

    def _start_run(self, owner, step=LONG):
        """Submit a job of one task and return the worker that runs it."""
        self.harness.submit(make_submission("j1", step), owner)
        wait_until(lambda: self._holders())
        return self._holders()[0]

    def _holders(self):
        return [worker for worker in self.harness.worker_by_id.values() if worker.running()]

    def _wait_until_known_long_enough(self, owner):
        """Wait until the list can be decisive about all workers."""
        wait_until(lambda: all(each.is_reached for each in owner.workers_by_id.values()))
        sleep(1.1 * MAX_DELAY_S)

    def _names_of_events(self, worker):
        self.events += [loads(line) for line in self.harness.log.take().splitlines()]
        return [event["event"] for event in self.events if event["id"] == worker.listing.worker_id]

    def _release_reasons(self, worker):
        self._names_of_events(worker)
        return [event["reason"] for event in self.events if event["event"] == "run_released"]

    def test_task_of_a_crashed_worker_restarts_before_the_lease_has_lapsed(self):
        owner = self._start_owner()
        holder = self._start_run(owner)
        self._wait_until_known_long_enough(owner)
        holder.crash()
        wait_until(lambda: self.harness.checker.start_count == 2)
        names = self._names_of_events(holder)
        self.assertThat(names, Contains("worker_dropped"))
        self.assertThat("worker_lapsed" in names, Equals(False))
        dropped = next(event for event in self.events if event["event"] == "worker_dropped")
        self.assertThat(dropped["reason"], Contains("its VM is down"))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_task_of_a_worker_whose_vm_runs_another_restarts_before_the_lease_has_lapsed(self):
        owner = self._start_owner()
        holder = self._start_run(owner)
        self._wait_until_known_long_enough(owner)
        holder.crash()
        rows = self._true_rows()
        self._true_rows = lambda: tuple(
            VmRow(row.vm_id, VmState.UP, row.worker_id or "w9") for row in rows
        )
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat("worker_lapsed" in self._names_of_events(holder), Equals(False))

    def test_task_of_a_removed_worker_restarts_before_the_lease_has_lapsed(self):
        owner = self._start_owner()
        holder = self._start_run(owner)
        self._wait_until_known_long_enough(owner)
        holder.crash()
        rows = self._true_rows()
        self._true_rows = lambda: tuple(row for row in rows if row.state is VmState.UP)
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat("worker_lapsed" in self._names_of_events(holder), Equals(False))
        self.assertThat(self.readings, GreaterThan(1))

    def test_task_of_a_worker_behind_a_partition_waits_for_the_lease(self):
        # Its runs go on there, so an earlier start elsewhere would run the task twice at once.
        owner = self._start_owner()
        holder = self._start_run(owner)
        self._wait_until_known_long_enough(owner)
        holder.drops_calls = True
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.readings, GreaterThan(1))
        names = self._names_of_events(holder)
        self.assertThat("worker_dropped" in names, Equals(False))
        self.assertThat(names, Contains("worker_lapsed"))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_list_from_before_a_restart_under_the_same_id_proves_nothing(self):
        # The new incarnation runs tasks already, and is then cut off, while the list still says
        # that its VM is down.
        self.harness = DispatchHarness(workers=1)
        self.harness.list_vms = self._list_vms
        self.harness.deployment = DEPLOYMENT._replace(bounds=BOUNDS._replace(lease_s=3.0))
        owner = self._start_owner()
        holder = self._start_run(owner)
        holder.crash()
        sleep(0.8)
        rows_before = self._true_rows()
        holder.restart()
        stale_until_s = monotonic() + 0.95 * MAX_DELAY_S
        true_rows = self._true_rows
        self._true_rows = lambda: rows_before if monotonic() < stale_until_s else true_rows()
        self.harness.list_worker(holder.listing)
        wait_until(lambda: holder.running())
        holder.drops_answers = True
        wait_until(lambda: len(self._release_reasons(holder)) == 2)
        self.assertThat(self._release_reasons(holder)[1], Contains("lapsed"))
        self.assertThat(self.readings, GreaterThan(1))

    def test_start_accepted_after_an_outage_that_the_list_still_shows_goes_on(self):
        # The worker has restarted under its id before a renewal failed, and the list is behind.
        self.harness = DispatchHarness(workers=1)
        self.harness.list_vms = self._list_vms
        holder = self.harness.worker_by_id["w1"]
        answer_renewal, is_dark = holder.renew, False

        def renew(renewal, timeout_s):
            lost_s = monotonic() + timeout_s
            answer = None if is_dark else answer_renewal(renewal, timeout_s)
            if not is_dark:
                return answer
            sleep(max(0.0, lost_s - monotonic()))
            return AnswerLost("w1", "no answer")

        holder.renew = renew
        owner = self._start_owner()
        self._wait_until_known_long_enough(owner)
        is_dark = True
        holder.crash()
        rows_before = self._true_rows()
        true_rows, stale_until_s = self._true_rows, monotonic() + 0.95 * MAX_DELAY_S
        self._true_rows = lambda: rows_before if monotonic() < stale_until_s else true_rows()
        holder.restart()
        self._start_run(owner)
        self.harness.add_worker(make_listing(2))
        sleep(stale_until_s - monotonic())
        self.assertThat(self.readings, GreaterThan(0))
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_worker_that_answers_while_the_list_is_read_is_kept(self):
        owner = self._start_owner()
        holder = self._start_run(owner)
        self._wait_until_known_long_enough(owner)
        worker = owner.workers_by_id[holder.listing.worker_id]
        answered = Event()

        def read_slowly():
            answered_s = worker.last_answer_s
            holder.drops_calls = False
            wait_until(lambda: worker.last_answer_s > answered_s)
            answered.set()
            return (VmRow(holder.listing.vm_id, VmState.DOWN, ""),)

        self._true_rows = read_slowly
        holder.drops_calls = True
        self.assertThat(answered.wait(30.0), Equals(True))
        sleep(0.2)
        self.assertThat(worker.is_dropped, Equals(False))
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_unanswered_start_on_a_crashed_worker_restarts_before_the_lease_has_lapsed(self):
        self.harness = DispatchHarness(workers=1)
        self.harness.list_vms = self._list_vms
        owner = self._start_owner()
        holder = self.harness.worker_by_id["w1"]
        self._wait_until_known_long_enough(owner)

        def crash(command, timeout_s):
            holder.crash()
            return AnswerLost("w1", "crashed")

        holder.start = crash
        began_s = monotonic()
        self.harness.submit(make_submission("j1", LONG), owner)
        wait_until(lambda: holder.is_crashed)
        self.harness.add_worker(make_listing(2))
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.assertThat(monotonic() - began_s, LessThan(BOUNDS.lease_s / 2))

    def test_start_that_is_answered_while_the_list_is_read_keeps_its_run(self):
        # A VM that the list has as down is back already, and its worker answers a start.
        owner = self._start_owner()
        holder = self._start_run(owner)
        self._wait_until_known_long_enough(owner)
        worker = owner.workers_by_id[holder.listing.worker_id]
        (run,) = worker.runs_by_task.values()

        def read_slowly():
            run.confirmed_s = monotonic() + 0.001
            sleep(0.01)
            return (VmRow(holder.listing.vm_id, VmState.DOWN, ""),)

        self._true_rows = read_slowly
        holder.drops_calls = True
        wait_until(lambda: self.readings > 1)
        self.assertThat(worker.is_dropped, Equals(False))
        self.assertThat(self.harness.checker.start_count, Equals(1))

    def test_start_that_is_sent_while_the_list_is_read_keeps_its_run(self):
        # The VM that the list has as down is back already, and its worker is sent a start.
        self.harness = DispatchHarness(workers=1)
        self.harness.list_vms = self._list_vms
        owner = self._start_owner()
        holder = self._start_run(owner)
        self._wait_until_known_long_enough(owner)
        worker = owner.workers_by_id["w1"]
        job = owner.add_job(make_submission("j2", LONG))

        def read_slowly():
            if not worker.runs_by_task.keys() - {TaskKey("j1", 0, 0, 0)}:
                sleep(0.01)
                owner.begin_run(job, job.task(TaskKey("j2", 0, 0, 0)), worker)
            return (VmRow(holder.listing.vm_id, VmState.DOWN, ""),)

        self._true_rows = read_slowly
        job.occurrences[0].steps[0].retry_after_s = float("inf")
        holder.crash()
        wait_until(lambda: not job.task(TaskKey("j2", 0, 0, 0)).is_waiting())
        wait_until(lambda: TaskKey("j1", 0, 0, 0) not in worker.runs_by_task)
        self.assertThat(worker.is_dropped, Equals(False))
        self.assertThat(list(worker.runs_by_task), Equals([TaskKey("j2", 0, 0, 0)]))

    def test_unavailable_list_is_logged_once_and_changes_nothing(self):
        self.failure = Unavailable("no list")
        self.harness.deployment = DEPLOYMENT._replace(bounds=BOUNDS._replace(lease_s=3.0))
        owner = self._start_owner()
        holder = self._start_run(owner)
        holder.crash()
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.readings, GreaterThan(1))
        self.assertThat(self._names_of_events(holder), Contains("worker_lapsed"))
        failures = [event for event in self.events if event["event"] == "vm_list_failed"]
        self.assertThat(len(failures), Equals(1))

    def test_list_that_refuses_for_its_rate_limit_is_left_alone_for_the_time_that_it_names(self):
        self.failure = Throttled(60.0)
        self.harness.deployment = DEPLOYMENT._replace(bounds=BOUNDS._replace(lease_s=3.0))
        owner = self._start_owner()
        holder = self._start_run(owner)
        holder.crash()
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.readings, Equals(1))

    def test_list_is_not_read_while_no_silent_worker_has_runs(self):
        owner = self._start_owner()
        holder = self._start_run(owner)
        idle = next(each for each in self.harness.worker_by_id.values() if each is not holder)
        idle.crash()
        wait_until(lambda: not owner.workers_by_id[idle.listing.worker_id].is_reached)
        self.assertThat(self.readings, Equals(0))

    def test_list_is_not_read_because_the_owner_itself_was_stalled(self):
        # After a stall the last answer of every worker is old, though each of them has answered.
        owner = self._start_owner()
        self._start_run(owner)
        wait_until(lambda: all(each.is_reached for each in owner.workers_by_id.values()))
        stall(1.5 * SILENCE_S)
        sleep(0.5)
        self.assertThat(self.readings, Equals(0))

    def test_new_owner_does_not_wait_for_a_worker_that_has_crashed_with_the_earlier_owner(self):
        owner = self._start_owner()
        holder = self._start_run(owner)
        wait_until(lambda: "j1" in owner.jobs_by_id and owner.recorder.committed)
        holder.crash()
        owner.stop()
        successor = self._start_owner(vm_id="vm-2", predecessor=PredecessorState.SILENT)
        wait_until(lambda: successor.settled)
        names = self._names_of_events(holder)
        self.assertThat(names[-1], Equals("worker_dropped"))
        wait_until(lambda: self.harness.checker.start_count == 2)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_new_owner_does_not_wait_for_a_crashed_worker_that_only_the_earlier_owner_knew(self):
        # The store's row of the worker, which names its VM, has expired before the takeover.
        owner = self._start_owner()
        holder = self._start_run(owner)
        wait_until(lambda: "j1" in owner.jobs_by_id and owner.recorder.committed)
        holder.crash()
        owner.stop()
        key = f"servers/{holder.listing.worker_id}"
        self.harness.table.commit(Transaction((), (), (key,)))
        successor = self._start_owner(vm_id="vm-2", predecessor=PredecessorState.SILENT)
        wait_until(lambda: successor.settled)
        self.assertThat(self._names_of_events(holder)[-1], Equals("worker_dropped"))
        reasons = [event.get("reason", "") for event in self.events]
        self.assertThat(str(reasons), Contains(RUN_BY_NONE.reason))

    def test_stored_list_of_workers_can_be_read_by_earlier_versions(self):
        # They refuse rows with a field that they do not know, and would not ask these workers.
        owner = self._start_owner()
        wait_until(lambda: len(owner.workers_by_id) == 2)
        listed_in = max(worker.listed_in_batch for worker in owner.workers_by_id.values())
        wait_until(lambda: owner.recorder.committed >= listed_in)
        rows = [row for row in self.harness.table.load("fleet").rows if row.value]
        self.assertThat({len(listing) for row in rows for listing in row.value}, Equals({12}))

    def test_worker_is_dropped_only_once(self):
        # A renewal that is in flight at the time may find another reason afterwards.
        owner = self._start_owner()
        wait_until(lambda: len(owner.workers_by_id) == 2)
        worker = owner.workers_by_id["w1"]
        owner.drop_worker(worker, "its VM is down")
        owner.drop_worker(worker, "another worker answers at its address")
        names = self._names_of_events(self.harness.worker_by_id["w1"])
        self.assertThat(names.count("worker_dropped"), Equals(1))

    def test_restart_under_the_same_id_gets_a_higher_fencing_token(self):
        # A start for the earlier incarnation may still be delivered, and must have no effect.
        owner = self._start_owner()
        holder = self._start_run(owner)
        self._wait_until_known_long_enough(owner)
        worker = owner.workers_by_id[holder.listing.worker_id]
        worker.fence += 5
        holder.crash()
        wait_until(lambda: worker.is_dropped)
        holder.restart()
        self.harness.list_worker(holder.listing)
        wait_until(lambda: holder.fence > 0)
        self.assertThat(holder.fence, GreaterThan(worker.fence))

"""Tests of tasks that crash the workers that start them."""

from functools import partial

from gevent import sleep
from gevent import spawn_later
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.vm_list import MAX_DELAY_S
from laburnumswitch.process.leadership.term import PredecessorState
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

# Crashes under one task after which it must not be started three times more.
MOST_CRASHES = 3
# With two starts more. An owner that ends may take the knowledge of a crash with it.
MOST_WITH_A_NEW_OWNER = MOST_CRASHES + 2
WORKERS = 8
# Time from the start of a deadly task to the crash of its worker, in seconds.
CRASH_DELAY_S = 0.01
INNOCENT = Step(2, cpu_millis=500, memory_mb=100, estimate_ms=60_000)
DEADLY = Step(3, cpu_millis=500, memory_mb=100, estimate_ms=60_000)


class TestDeadlyTask(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=WORKERS)
        self.harness.list_vms = self._list_vms
        self.deadly = TaskKey("deadly", 0, 0, 0)
        self.crashes = 0
        for worker in self.harness.worker_by_id.values():
            worker.start = partial(self._start, worker, worker.start)

    def _start(self, worker, start, command, timeout_s):
        outcome = start(command, timeout_s)
        if command.task == self.deadly and not worker.is_crashed:
            spawn_later(CRASH_DELAY_S, self._crash, worker)
        return outcome

    def _crash(self, worker):
        self.crashes += 1
        worker.crash()

    def _list_vms(self, timeout_s):
        return self.harness.vm_rows()

    def _start_owner(self, **arguments):
        owner = self.harness.start_owner(**arguments)
        alive = sum(not worker.is_crashed for worker in self.harness.worker_by_id.values())
        self.addCleanup(owner.stop)
        wait_until(lambda: len(owner.workers_by_id) == WORKERS)
        wait_until(lambda: sum(each.is_reached for each in owner.workers_by_id.values()) == alive)
        # From then on the list of VMs is decisive about all workers.
        sleep(1.1 * MAX_DELAY_S)
        return owner

    def _submit_jobs(self, owner):
        for number in range(10):
            self.harness.submit(make_submission(f"j{number}", INNOCENT), owner)
        sleep(0.1)
        self.harness.submit(make_submission("deadly", DEADLY), owner)

    def _end_of_deadly_job(self, owner):
        return owner.reported_state("deadly") in (JobState.FAILED, None)

    def _check_innocent(self, owner):
        states = {owner.reported_state(f"j{number}") for number in range(10)}
        self.assertThat(states, Equals({JobState.RUNNING}))
        waiting = [each for each in owner.ready_step_by_key if each[0] != "deadly"]
        wait_until(lambda: not owner.ready_step_by_key)
        self.assertThat(len(waiting), LessThan(10))

    def test_task_is_given_up_after_few_crashes(self):
        owner = self._start_owner()
        self._submit_jobs(owner)
        wait_until(lambda: self._end_of_deadly_job(owner) or self.crashes > MOST_CRASHES)
        self.assertThat(self.crashes, LessThan(MOST_CRASHES + 1))
        self._check_innocent(owner)

    def test_crashes_count_under_a_new_owner(self):
        owner = self._start_owner()
        self._submit_jobs(owner)
        wait_until(lambda: self.crashes == 2)
        owner.stop()
        owner = self._start_owner(vm_id="vm-2", predecessor=PredecessorState.SILENT)
        wait_until(lambda: self._end_of_deadly_job(owner) or self.crashes > MOST_WITH_A_NEW_OWNER)
        self.assertThat(self.crashes, LessThan(MOST_WITH_A_NEW_OWNER + 1))
        self._check_innocent(owner)

    def test_restart_of_the_worker_under_its_id_counts(self):
        self.harness.list_vms = None
        owner = self._start_owner()
        self._crash = self._crash_and_restart
        self._submit_jobs(owner)
        wait_until(lambda: self._end_of_deadly_job(owner) or self.crashes > MOST_CRASHES)
        self.assertThat(self.crashes, LessThan(MOST_CRASHES + 1))
        self._check_innocent(owner)

    def _crash_and_restart(self, worker):
        self.crashes += 1
        worker.crash()
        spawn_later(0.3, worker.restart)

"""Tests of which tasks are held to blame for the crashes of their workers."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import HasLength

from laburnumswitch.process.dispatch.crashes import collect_crashes
from laburnumswitch.process.dispatch.crashes import CrashedTask
from laburnumswitch.process.dispatch.crashes import crashes_key
from laburnumswitch.process.dispatch.crashes import CrashWindow
from laburnumswitch.process.dispatch.crashes import GROUP_WINDOW_S
from laburnumswitch.process.dispatch.crashes import is_excusable
from laburnumswitch.process.dispatch.crashes import is_to_blame
from laburnumswitch.process.dispatch.crashes import SURVIVAL_S
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Crash
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.rows.table import Row
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.replay import Arrival
from tests.process.dispatch.replay import FleetReplay
from tests.process.dispatch.test_urgent_jobs import LASTING
from tests.process.dispatch.test_urgent_jobs import URGENT

STEP = Step(4, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)
ENDLESS_S = 1000.0


class TestBlame(TestCase):
    def test_the_last_started_task_is_given_up_after_two_crashes(self):
        self.assertThat(is_to_blame(1, True), Equals(False))
        self.assertThat(is_to_blame(2, True), Equals(True))

    def test_a_task_that_others_started_with_is_given_up_after_three(self):
        self.assertThat(is_to_blame(2, False), Equals(False))
        self.assertThat(is_to_blame(3, False), Equals(True))


class TestCrashWindow(TestCase):
    def test_many_workers_of_a_zone_at_a_time_have_a_common_cause(self):
        window = CrashWindow()
        for number in range(3):
            self.assertThat(window.is_group("a", 10), Equals(False))
            window.add("a", f"w{number}", 1.0)
        self.assertThat(window.is_group("a", 10), Equals(True))
        self.assertThat(window.is_group("a", 100), Equals(False))
        self.assertThat(window.is_group("b", 10), Equals(False))

    def test_crashes_one_after_the_other_do_not(self):
        window = CrashWindow()
        for number in range(5):
            window.add("a", f"w{number}", number * 1.1 * GROUP_WINDOW_S)
        self.assertThat(window.is_group("a", 10), Equals(False))


class TestExcusedRuns(TestCase):
    TASK = TaskKey("j1", 0, 0, 0)
    WORKERS = 34

    def _excused(self, may_be_excused, job_id_of_others):
        window = CrashWindow()
        window.add("a", "w0", 10.0, {(self.TASK, 1): may_be_excused})
        for number in range(1, 5):
            other = TaskKey(job_id_of_others, 0, 0, number)
            window.add("bcd"[number % 3], f"w{number}", 10.5, {(other, 1): False})
        return window.excused_runs(self.TASK, {1}, self.WORKERS)

    def test_crash_among_many_of_all_zones_is_excused(self):
        self.assertThat(self._excused(True, "j2"), Equals([1]))

    def test_crash_right_after_the_start_is_not(self):
        # Tasks that crash their workers did so beside crashes of other causes, and started on.
        self.assertThat(self._excused(False, "j2"), Equals([]))

    def test_crash_among_those_of_the_same_job_is_not(self):
        self.assertThat(self._excused(True, "j1"), Equals([]))

    def test_run_is_excusable_unless_its_worker_crashed_right_after_it_had_answered(self):
        run = ActiveRun(self.TASK, 1, STEP, 1, 10.0)
        self.assertThat(is_excusable(run, Crash(0.0, True)), Equals(True))
        run.confirmed_s = 10.01
        outcomes = [is_excusable(run, Crash(survived_s, True)) for survived_s in (0.0, 0.5)]
        self.assertThat(outcomes, Equals([False, True]))


class TestCountedCrashes(TestCase):
    def setUp(self):
        super().setUp()
        listings = [make_listing(number, vm_id=f"vm{number}") for number in range(1, 7)]
        self.fleet = FleetReplay(listings, [URGENT, LASTING])
        self.owner = self.fleet.owner

    def _submit(self, step=STEP, queue="check"):
        self.fleet.replay([Arrival(0.0, queue, (step,), (ENDLESS_S,))], 0.1)
        return list(self.owner.jobs_by_id.values())[-1]

    def _holder(self, job, index=0):
        task = job.occurrences[0].steps[0].tasks[index]
        return self.owner.workers_by_id[task.worker_id]

    def _crash(self, *workers):
        self.owner.note_crashes(workers)
        for worker in workers:
            self.owner.drop_worker(worker, "its VM is down")

    def _crash_counts(self, job):
        return [len(task.crashed_runs) for task in job.occurrences[0].steps[0].tasks]

    def test_runs_that_had_just_started_are_suspected(self):
        job = self._submit()
        self._crash(self._holder(job))
        self.assertThat(self._crash_counts(job), Equals([1, 1, 1, 1]))

    def test_run_that_its_worker_has_survived_is_not_suspected(self):
        job = self._submit()
        self.fleet.replay([], 1.1 * SURVIVAL_S)
        self._crash(self._holder(job))
        self.assertThat(self._crash_counts(job), Equals([0, 0, 0, 0]))

    def test_end_of_a_worker_that_announced_it_is_no_crash(self):
        job = self._submit()
        worker = self._holder(job)
        draining = worker.listing._replace(is_draining=True)
        worker.note_listing(draining, self.fleet.now_s, 2.0)
        self._crash(worker)
        self.assertThat(self._crash_counts(job), Equals([0, 0, 0, 0]))

    def test_loss_of_a_zone_is_not_held_against_tasks(self):
        wide = STEP._replace(count=20)
        job = self._submit(wide)
        self._crash(*list(self.owner.workers_by_id.values())[:5])
        self.assertThat(set(self._crash_counts(job)), Equals({0}))

    def test_suspected_tasks_start_on_different_workers(self):
        job = self._submit()
        self._crash(self._holder(job))
        self.fleet.replay([], 0.2)
        holders = {task.worker_id for task in job.active_tasks()}
        self.assertThat(holders, HasLength(4))

    def test_task_is_cleared_once_a_worker_has_survived_it(self):
        job = self._submit()
        self._crash(self._holder(job))
        self.fleet.replay([], 0.2)
        for seconds in (0.0, 1.1 * SURVIVAL_S):
            self.fleet.replay([], seconds)
            for task in job.active_tasks():
                run = self._holder(job, task.key.index).runs_by_task[task.key]
                report = RunReport(task.key, run.number, "", 1.0, 0.0)
                run.update(report, self.fleet.now_s, 1)
                self.owner.note_survival(job, task, run)
        self.assertThat(self._crash_counts(job), Equals([0, 0, 0, 0]))

    def test_long_running_task_is_given_up_too(self):
        job = self._submit(STEP._replace(count=1, long_running=True), "feed")
        for _ in range(2):
            self._crash(self._holder(job))
            self.fleet.replay([], 0.2)
        self.assertThat(job.state, Equals(JobState.FAILED))

    def test_crash_that_several_readings_show_is_one_crash(self):
        # A run whose end is not certain yet keeps its worker known for some readings.
        job = self._submit()
        worker = self._holder(job)
        self.owner.crash_window.add = lambda *arguments: added.append(arguments)
        added = []
        for _ in range(3):
            self.owner.note_crashes([worker])
        self.assertThat(added, HasLength(1))
        worker.note_answer(self.fleet.now_s + 1.0, self.fleet.now_s + 1.0)
        self.owner.note_crashes([worker])
        self.assertThat(added, HasLength(2))

    def test_repeated_knowledge_of_a_crash_counts_once(self):
        # A new owner adopts the run from the handover, and learns of the crash again.
        job = self._submit(STEP._replace(count=1))
        task = job.occurrences[0].steps[0].tasks[0]
        worker, number = self._holder(job), task.active_run
        self._crash(worker)
        self.owner.restore_crashes(CrashedTask(task.key, (number,)))
        self.assertThat(task.crashed_runs, Equals({number}))


class TestCrashesInAllZones(TestCase):
    """Workers of all availability zones crash at the same time, some of each zone."""

    ZONES = ("a", "b", "c", "d")
    WORKERS = 32
    # Each job has a task on a worker of its own.
    SPREAD = STEP._replace(count=1, cpu_millis=3000)

    def setUp(self):
        super().setUp()
        self.fleet = FleetReplay([], [URGENT, LASTING])
        self.owner = self.fleet.owner
        for number in range(1, self.WORKERS + 1):
            self._add_worker(number)
        self.number = self.WORKERS

    def _add_worker(self, number):
        zone = self.ZONES[number % len(self.ZONES)]
        self.fleet.add_worker(make_listing(number, availability_zone=zone, vm_id=f"vm{number}"))

    def _submit(self, *steps):
        arrivals = [Arrival(0.0, "check", (step,), (ENDLESS_S,)) for step in steps]
        self.fleet.replay(arrivals, 0.1)
        return list(self.owner.jobs_by_id.values())[-len(steps) :]

    def _crash_holders(self, jobs):
        """Crash the workers of jobs; the first crash is noticed earlier than the others."""
        holders = [
            self.owner.workers_by_id[task.worker_id] for job in jobs for task in job.active_tasks()
        ]
        holders = list(dict.fromkeys(holders))
        for crashed in (holders[:1], holders[1:]):
            self.owner.note_crashes(crashed)
            for worker in crashed:
                self.owner.drop_worker(worker, "its VM is down")
                self.number += 1
                self._add_worker(self.number)
            self.fleet.replay([], 0.7)

    def test_loss_of_workers_of_all_zones_is_not_held_against_their_tasks(self):
        jobs = self._submit(*[self.SPREAD] * 7)
        for _ in range(3):
            self._crash_holders(jobs)
            self.fleet.replay([], 0.2)
        self.assertThat({job.state for job in jobs}, Equals({JobState.RUNNING}))

    def test_job_whose_tasks_crash_their_workers_together_is_given_up_after_three_crashes(self):
        (job,) = self._submit(self.SPREAD._replace(count=7))
        for _ in range(3):
            self._crash_holders([job])
            self.fleet.replay([], 0.2)
        self.assertThat(job.state, Equals(JobState.FAILED))

    def test_jobs_that_crash_their_workers_at_the_same_time_are_given_up_within_the_limit(self):
        # Users allow two more starts after three workers have crashed under a task.
        jobs = self._submit(*[self.SPREAD] * 4)
        for _ in range(5):
            self._crash_holders(job for job in jobs if not job.is_final())
            self.fleet.replay([], 0.2)
        self.assertThat({job.state for job in jobs}, Equals({JobState.FAILED}))


class TestStoredCrashes(TestCase):
    def test_malformed_row_is_reported_and_left_out(self):
        malformed = []
        task = TaskKey("j1", 0, 0, 0)
        rows = [
            Row(crashes_key("j1"), 1, [[list(task), [3, 4]]]),
            Row("crashes/9", 2, [["j2"]]),
        ]
        crashed = collect_crashes(rows, malformed.append)
        self.assertThat(crashed, Equals([CrashedTask(task, (3, 4))]))
        self.assertThat([each.key for each in malformed], Equals(["crashes/9"]))

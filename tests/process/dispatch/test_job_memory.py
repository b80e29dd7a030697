"""Tests of what the owner holds of all jobs together."""

from time import time
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.admission import ADMISSION_S
from laburnumswitch.process.dispatch.admission import admit
from laburnumswitch.process.dispatch.down_tasks import find_down_tasks
from laburnumswitch.process.dispatch.job_memory import JobMemory
from laburnumswitch.process.dispatch.job_memory import LARGE_JOB_BYTES
from laburnumswitch.process.dispatch.job_memory import NO_MEMORY
from laburnumswitch.process.dispatch.job_memory import submission_bytes
from laburnumswitch.process.dispatch.job_size import MAX_TASKS
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.retention import compact_ended_jobs
from laburnumswitch.process.dispatch.retention import KEPT_STEPS_S
from laburnumswitch.process.leadership.messages import AdmissionRequest
from tests.process.dispatch.harness import DEPLOYMENT
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

MINUTES_OF_A_YEAR = 365 * 24 * 60
# Of the 300 MB of a VM, what jobs that wait may take in these tests.
MAX_BYTES = 20_000_000
TOO_LARGE = 1_000_000


class OwnerCase(TestCase):
    """Sets up an owner of a VM with the given memory."""

    memory_mb = DEPLOYMENT.memory_mb

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.harness.deployment = DEPLOYMENT._replace(memory_mb=self.memory_mb)
        self.owner = self.start_owner("vm-1")

    def start_owner(self, vm_id):
        owner = self.harness.start_owner(vm_id)
        self.addCleanup(owner.stop)
        wait_until(lambda: owner.settled and owner.is_loaded.is_set())
        return owner

    def submit(self, job_id, *steps, owner=None, **fields):
        owner = owner or self.owner
        self.harness.submit(make_submission(job_id, *steps, **fields), owner)

    def wait_for_state(self, job_id, state, owner=None):
        wait_until(lambda: (owner or self.owner).reported_state(job_id) is state)


class TestJobsThatWait(OwnerCase):
    def trace(self):
        start_tracing()
        self.addCleanup(stop_tracing)

    def test_schedule_of_a_year_does_not_end_the_owners(self):
        """Each owner kept all occurrences of the job, and exceeded the memory of its VM."""
        self.trace()
        schedule = {"first_due_s": time() + 60, "interval_s": 60.0}
        self.submit("year", occurrences=MINUTES_OF_A_YEAR, **schedule)
        self.submit("j1")
        self.wait_for_state("j1", JobState.COMPLETED)
        self.owner.stop()
        successor = self.start_owner("vm-2")
        self.assertThat(successor.reported_state("year"), Equals(JobState.QUEUED))
        self.submit("j2", owner=successor)
        self.wait_for_state("j2", JobState.COMPLETED, successor)
        self.assertThat(get_traced_memory()[1], LessThan(MAX_BYTES))

    def test_wide_jobs_that_wait_do_not_end_the_owners(self):
        """Thirteen jobs with the largest number of tasks exceeded the memory of their VMs."""
        self.trace()
        step = Step(MAX_TASKS, cpu_millis=TOO_LARGE)
        for number in range(20):
            self.submit(f"wide-{number}", step)
            self.submit(f"lasting-{number}", step._replace(long_running=True))
        self.submit("j1")
        self.wait_for_state("j1", JobState.COMPLETED)
        find_down_tasks(self.owner)
        self.assertThat(get_traced_memory()[1], LessThan(MAX_BYTES))

    def test_down_tasks_of_wide_jobs_are_all_counted(self):
        self.submit("lasting", Step(500, cpu_millis=TOO_LARGE, long_running=True))
        report = find_down_tasks(self.owner)
        counted = len(report.tasks) + sum(report.others_by_service.values())
        self.assertThat(counted, Equals(500))


class TestSchedule(OwnerCase):
    """Occurrences run when they come due, also under a successor."""

    def progress(self, job_id):
        return self.harness.table.peek(progress_key(job_id)).value

    def test_long_schedule_goes_on_under_a_successor(self):
        self.submit("long", occurrences=10**6, first_due_s=time(), interval_s=0.05)
        wait_until(lambda: self.harness.checker.start_count > 20)
        self.owner.stop()
        successor = self.start_owner("vm-2")
        started = self.harness.checker.start_count
        wait_until(lambda: self.harness.checker.start_count > started + 20)
        self.assertThat(self.harness.checker.violations, Equals([]))
        job = successor.jobs_by_id["long"]
        self.assertThat(job.occurrences.describe_made().below, GreaterThan(10))
        self.assertThat(len(str(self.progress("long"))), LessThan(5000))

    def test_short_schedule_is_stored_as_by_earlier_versions(self):
        # Their decoder refuses rows with more fields than they know.
        self.submit("short", occurrences=50, first_due_s=time(), interval_s=0.05)
        wait_until(lambda: self.harness.checker.start_count > 10)
        wait_until(lambda: self.progress("short") is not None)
        self.assertThat(len(self.progress("short")), Equals(3))
        self.owner.stop()
        successor = self.start_owner("vm-2")
        self.wait_for_state("short", JobState.COMPLETED, successor)
        self.assertThat(self.harness.checker.start_count, Equals(100))
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestParkedJobs(OwnerCase):
    """A job that was stored although the owner has no memory for it."""

    memory_mb = 1
    large = tuple(Step(1, estimate_ms=10) for _ in range(200))

    def setUp(self):
        super().setUp()
        self.submit("large", *self.large)

    def test_other_jobs_go_on(self):
        self.submit("j1")
        self.wait_for_state("j1", JobState.COMPLETED)
        self.assertThat(self.owner.reported_state("large"), Equals(JobState.QUEUED))
        self.assertThat(self.owner.pending_by_queue(), Equals({"orders": 1}))

    def test_it_can_be_cancelled(self):
        self.owner.cancel_job("large")
        self.assertThat(self.owner.reported_state("large"), Equals(JobState.CANCELLED))
        wait_until(lambda: self.harness.table.peek(progress_key("large")).value is not None)
        self.owner.stop()
        successor = self.start_owner("vm-2")
        self.wait_for_state("large", JobState.CANCELLED, successor)

    def test_it_runs_once_there_is_memory(self):
        self.owner.job_memory.limit_bytes = 10 * LARGE_JOB_BYTES
        self.wait_for_state("large", JobState.COMPLETED)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_runs_of_an_owner_with_more_memory_are_adopted(self):
        self.owner.stop()
        self.harness.deployment = DEPLOYMENT
        owner = self.start_owner("vm-2")
        self.submit("slow", *(Step(1, estimate_ms=3_000) for _ in range(200)), owner=owner)
        workers = self.harness.worker_by_id.values()
        wait_until(lambda: any(run.job_id == "slow" for each in workers for run in each.running()))
        owner.stop()
        self.harness.deployment = DEPLOYMENT._replace(memory_mb=self.memory_mb)
        successor = self.start_owner("vm-3")
        wait_until(lambda: "slow" in successor.jobs_by_id)
        sleep(0.2)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(successor.jobs_by_id["slow"].is_running(), Equals(True))


class TestAdmission(OwnerCase):
    memory_mb = 1

    def ask(self, job_id, job_bytes):
        return admit(self.owner, AdmissionRequest(job_id, "orders", 0, job_bytes=job_bytes))

    def test_job_without_memory_is_rejected_with_the_time_to_return(self):
        answer = self.ask("a", LARGE_JOB_BYTES * 10)
        self.assertThat(answer.reason, Equals(NO_MEMORY))
        self.assertThat(answer.retry_after_s, GreaterThan(0))

    def test_admitted_jobs_that_are_not_stored_yet_count(self):
        half = int(0.7 * self.owner.job_memory.limit_bytes)
        self.owner.job_memory.limit_bytes *= 2
        self.assertThat(self.ask("a", half).retry_after_s, Equals(0))
        self.assertThat(self.ask("a", half).retry_after_s, Equals(0))
        self.assertThat(self.ask("b", half).reason, Equals(NO_MEMORY))

    def test_memory_is_kept_for_an_admitted_job_for_a_while_only(self):
        memory = JobMemory(100)
        half = int(0.3 * memory.limit_bytes)
        self.assertThat(memory.reserve("a", half, 0.0, ADMISSION_S), Equals(0))
        self.assertThat(memory.reserve("b", half, 0.0, ADMISSION_S), GreaterThan(0))
        self.assertThat(memory.reserve("b", half, ADMISSION_S + 1, 2 * ADMISSION_S), Equals(0))

    def test_ended_job_gives_back_the_memory_of_its_steps(self):
        self.submit("j1", *(Step(1, estimate_ms=1) for _ in range(40)))
        self.wait_for_state("j1", JobState.COMPLETED)
        before = self.owner.job_memory.used_bytes
        compact_ended_jobs(self.owner)
        self.assertThat(self.owner.job_memory.used_bytes, Equals(before))
        self.owner.ended_s_by_id["j1"] -= KEPT_STEPS_S + 1
        compact_ended_jobs(self.owner)
        self.assertThat(self.owner.job_memory.used_bytes, LessThan(before))
        self.assertThat(self.owner.reported_state("j1"), Equals(JobState.COMPLETED))

    def test_large_job_leaves_room_for_small_ones(self):
        memory = JobMemory(10)
        self.assertThat(memory.admits(int(0.6 * memory.limit_bytes)), Equals(False))
        memory.note("a", int(0.6 * memory.limit_bytes))
        self.assertThat(memory.admits(LARGE_JOB_BYTES), Equals(True))
        self.assertThat(memory.admits(LARGE_JOB_BYTES + 1), Equals(False))

    def test_estimate_grows_with_steps_and_not_with_tasks(self):
        wide = make_submission("a", Step(MAX_TASKS))
        self.assertThat(submission_bytes(wide), LessThan(LARGE_JOB_BYTES))
        steps = make_submission("a", *(Step(1) for _ in range(100)))
        self.assertThat(submission_bytes(steps), GreaterThan(LARGE_JOB_BYTES))

"""Tests of errors in the data of one job, which must not end what serves the others."""

from time import time

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.json import decode
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from laburnumswitch.exceptions import CallerRefused
from laburnumswitch.platform.callers import decode_submission
from laburnumswitch.process.dispatch import planning_order
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.load_report import measure_commitments
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import StepProgress
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

FAULTS = ("dispatch_failed", "task_failed", "worker_failed", "job_set_aside")
ODD_ID = "odd"
AMOUNTS = st.sampled_from((0, 1, 500, 64_000, 10**9, 10**15))
# One in a hundred values is out of bounds, or of another type.
ODD_AMOUNTS = st.sampled_from((-1, 2**63, 1.5, 1e300, None, "1"))
ANY_AMOUNTS = st.integers(0, 99).flatmap(lambda n: AMOUNTS if n else ODD_AMOUNTS)
STEP_FIELDS = {
    "cpu": ANY_AMOUNTS,
    "memMb": ANY_AMOUNTS,
    "gpu": AMOUNTS,
    "estimateMs": ANY_AMOUNTS,
    "checkpoints": st.booleans(),
    "gang": st.booleans(),
    "sameRack": st.booleans(),
    "requires": st.sampled_from(("kind", "none", "")),
    "affinity": st.sampled_from(("r1", "r9", "")),
    "antiAffinity": AMOUNTS,
    "speculative": st.booleans(),
    "longRunning": st.booleans(),
    "image": st.sampled_from(("", "a", "b" * 300)),
    "targetMs": AMOUNTS,
    "fills": st.booleans(),
    "mayMiss": AMOUNTS,
}
SCHEDULES = st.fixed_dictionaries(
    {
        "times": st.sampled_from((1, 3, 525_600, 10**12)),
        "firstRunMs": ANY_AMOUNTS,
        "intervalMs": AMOUNTS,
    }
)


@st.composite
def bodies(draw):
    """Draw a submission, of which most are accepted."""
    steps = []
    for index in range(draw(st.integers(0, 4))):
        step = {"count": draw(st.sampled_from((1, 2, 3, 40, 8_000)))}
        for name in draw(st.lists(st.sampled_from(sorted(STEP_FIELDS)), max_size=4)):
            step[name] = draw(STEP_FIELDS[name])
        if index and draw(st.booleans()):
            step["after"] = draw(st.lists(st.integers(0, index - 1), max_size=3))
        steps.append(step)
    schedule = draw(SCHEDULES) if draw(st.booleans()) else {}
    return {"spec": draw(st.text(max_size=5)), "steps": steps, **schedule}


class FaultCase(TestCase):
    """Sets up an owner, and rows as earlier versions have left them."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.start_owner("vm-1")

    def start_owner(self, vm_id):
        owner = self.harness.start_owner(vm_id)
        self.addCleanup(owner.stop)
        wait_until(lambda: owner.settled and owner.is_loaded.is_set())
        return owner

    def put(self, key, value):
        self.harness.table.commit(Transaction((), (Put(key, value),)))

    def store(self, submission):
        self.put(submission_key(submission.job_id), submission)

    def faults(self):
        lines = [decode(line) for line in self.harness.log.take().splitlines()]
        return [line for line in lines if line["event"] in FAULTS]

    def assert_goes_on(self, owner, job_id):
        """Check that jobs of others run, under this owner and the next one."""
        self.harness.submit(make_submission(job_id), owner)
        wait_until(lambda: owner.reported_state(job_id) is JobState.COMPLETED)
        self.assertThat(owner.is_stopped(), Equals(False))
        self.assertThat(self.harness.checker.violations, Equals([]))


class TestJobWithoutSteps(FaultCase):
    def empty(self, **fields):
        return Submission(ODD_ID, "orders", "s", (), time(), **fields)

    def test_cancelled_one_does_not_end_the_term_of_each_owner(self):
        """Loading it failed under every owner, so that no job ran any more."""
        self.store(self.empty())
        self.put(cancellation_key(ODD_ID), time())
        self.owner.stop()
        successor = self.start_owner("vm-2")
        self.assert_goes_on(successor, "j1")
        state = successor.reported_state(ODD_ID)
        self.assertThat(state in (JobState.CANCELLED, JobState.COMPLETED), Equals(True))
        self.assertThat(self.faults(), Equals([]))

    def test_stored_one_is_completed(self):
        # All of its tasks are done.
        for fields in ({}, {"occurrences": 525_600, "first_due_s": 1.0, "interval_s": 60.0}):
            job = self.owner.add_job(self.empty(**fields)._replace(job_id=f"odd-{len(fields)}"))
            wait_until(lambda job=job: self.owner.reported_state(job.job_id) is not None)
            wait_until(lambda job=job: job.is_stored)
            self.assertThat(self.owner.reported_state(job.job_id), Equals(JobState.COMPLETED))
        self.assert_goes_on(self.owner, "j1")

    def test_it_can_be_cancelled_while_it_is_added(self):
        self.owner.cancel_job(ODD_ID)
        self.owner.add_job(self.empty())
        self.assertThat(self.owner.reported_state(ODD_ID), Equals(JobState.CANCELLED))
        self.assertThat(self.faults(), Equals([]))


class TestContainment(FaultCase):
    def test_job_whose_progress_does_not_fit_is_set_aside(self):
        """Which of its tasks are done is not known, so none may run again."""
        odd_rows = (
            ("orders", "running", [StepProgress(0, 0, "ff", {}, {})]),
            ("orders", "running", [StepProgress(3, 0, "1", {}, {})]),
            ("orders", "running", [StepProgress(0, 7, "1", {}, {})]),
            ("orders", "running", [StepProgress(0, 0, "x", {}, {})]),
            ("orders", "running", [StepProgress(0, 0, "0", {9: (1,)}, {})]),
            ("orders", "running", [], (7, (), ())),
            ("orders", "unknown", []),
            "text",
        )
        for number, value in enumerate(odd_rows):
            self.store(make_submission(f"odd-{number}"))
            self.put(progress_key(f"odd-{number}"), value)
        self.owner.stop()
        successor = self.start_owner("vm-2")
        self.assert_goes_on(successor, "j1")
        set_aside = {line["id"] for line in self.faults() if line["event"] == "job_set_aside"}
        self.assertThat(set_aside, Equals({f"odd-{number}" for number in range(len(odd_rows))}))
        self.assertThat(successor.job_faults.count, Equals(len(odd_rows)))
        # Their callers repeat the submissions.
        for number in range(len(odd_rows)):
            successor.add_job(make_submission(f"odd-{number}"))
        self.assert_goes_on(successor, "j2")
        self.assertThat(self.harness.checker.start_count, Equals(4))

    def test_job_that_can_be_neither_ordered_nor_placed_is_set_aside(self):
        order = planning_order.order_key

        def fail_on_odd(ready, *arguments):
            if ready.job.job_id == ODD_ID:
                raise ZeroDivisionError
            return order(ready, *arguments)

        self.addCleanup(setattr, planning_order, "order_key", order)
        planning_order.order_key = fail_on_odd
        self.harness.submit(make_submission(ODD_ID), self.owner)
        self.assert_goes_on(self.owner, "j1")
        self.assertThat(self.owner.reported_state(ODD_ID), Equals(JobState.QUEUED))
        self.assertThat([line["id"] for line in self.faults()], Equals([ODD_ID]))
        self.owner.cancel_job(ODD_ID)
        self.assertThat(self.owner.reported_state(ODD_ID), Equals(JobState.CANCELLED))

    def test_end_that_cannot_be_applied_is_not_acknowledged(self):
        """The worker would forget it, and the task would run again under the next owner."""
        mark_done = Job.mark_done

        def fail_on_odd(job, task):
            if job.job_id == ODD_ID:
                raise KeyError
            mark_done(job, task)

        self.addCleanup(setattr, Job, "mark_done", mark_done)
        Job.mark_done = fail_on_odd
        self.harness.submit(make_submission(ODD_ID, Step(1, estimate_ms=20)), self.owner)
        wait_until(lambda: self.owner.job_faults.holds(ODD_ID))
        self.assert_goes_on(self.owner, "j1")
        Job.mark_done = mark_done
        self.owner.stop()
        successor = self.start_owner("vm-2")
        wait_until(lambda: successor.reported_state(ODD_ID) is JobState.COMPLETED)
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_task_that_only_observes_begins_anew(self):
        calls = []

        def fail_once():
            calls.append(None)
            if len(calls) == 1:
                raise ValueError

        self.owner.spawn_restarted(fail_once)
        wait_until(lambda: len(calls) == 2)
        self.assertThat(self.owner.counters.failed_tasks, Equals(1))
        self.assertThat(self.owner.is_stopped(), Equals(False))


class TestDecodedShapes(TestCase):
    @settings(
        max_examples=8,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(bodies(), min_size=20, max_size=30))
    def test_each_accepted_job_goes_through_cancellation_and_takeover(self, drawn):
        """An odd job must end no term, whether it runs, is cancelled or is loaded."""
        harness = DispatchHarness()
        owner = harness.start_owner()
        wait_until(lambda: owner.settled and owner.is_loaded.is_set())
        accepted = []
        for number, body in enumerate(drawn):
            job_id = f"{number:016x}"
            submission = decode_submission(encode(body), job_id, "orders", time())
            if not isinstance(submission, CallerRefused):
                accepted.append(job_id)
                harness.submit(submission, owner if number % 2 else None)
        for job_id in accepted[::3]:
            harness.table.commit(Transaction((), (Put(cancellation_key(job_id), time()),)))
            owner.cancel_job(job_id)
        measure_commitments(owner)
        owner.stop()
        successor = harness.start_owner("vm-2")
        wait_until(lambda: successor.settled and successor.is_loaded.is_set())
        harness.submit(make_submission("last"), successor)
        wait_until(lambda: successor.has_planned.is_set())
        states = {job_id: successor.reported_state(job_id) for job_id in accepted}
        for job_id in accepted[1::3]:
            successor.cancel_job(job_id)
        wait_until(lambda: successor.may_act())
        successor.stop()
        lines = [decode(line) for line in harness.log.take().splitlines()]
        self.assertThat([line for line in lines if line["event"] in FAULTS], Equals([]))
        self.assertThat([job_id for job_id in states if states[job_id] is None], Equals([]))
        self.assertThat(len(lines), GreaterThan(len(accepted)))

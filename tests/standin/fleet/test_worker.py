"""Tests of the emulated worker: ends that take time, pauses, and the facts that it records."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import StartRefused
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import Acknowledged
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.worker import FleetWorker
from standin.fleet.worker import WorkerTiming

MAX_STOP_S = 0.4
MAX_GAP_S = 0.1
LISTING = WorkerListing("w1", "shop", "", "a", False, 1000, 1000, 0, (), "r1", 1)
STEP = Step(2, cpu_millis=600, memory_mb=100, estimate_ms=10_000)
SMALL_STEP = STEP._replace(cpu_millis=100)
TASK = TaskKey("j", 0, 0, 0)
OTHER_TASK = TaskKey("j", 0, 0, 1)


class TestEnds(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.facts = []
        checker = InvariantChecker()
        checker.record_submission(Submission("j", "q", "", (STEP,), 0.0))
        timing = WorkerTiming(MAX_STOP_S, MAX_GAP_S)
        self.worker = FleetWorker(
            LISTING, checker, lambda: self.now_s, Random(1), timing, self._record
        )

    def _record(self, fact, at_s, fields):
        self.facts.append((fact, round(at_s, 3), fields.get("run"), fields.get("how")))

    def _advance_to(self, at_s, tick_s=0.01):
        while self.now_s < at_s:
            self.now_s = min(at_s, self.now_s + tick_s)
            self.worker.advance()

    def _start(self, run=1, task=TASK, until_s=6.0, fence=1):
        return self.worker.start(StartCommand(task, run, "", until_s, fence, ""), 1.0)

    def _renew(self, until_s=None, acknowledged=0, fence=1):
        return self.worker.renew(Renewal(fence, acknowledged, until_s, 0.0), 1.0)

    def test_stopped_run_works_and_holds_its_room_until_its_end_is_listed(self):
        self._start()
        self.worker.stop(TASK, 1, 1, 1.0)
        report = self._renew()
        self.assertThat((len(report.running), len(report.ended)), Equals((1, 0)))
        refusal = self._start(task=OTHER_TASK)
        self.assertThat(refusal, Equals(StartRefused("w1", "room")))
        self._advance_to(100.0 + MAX_STOP_S)
        report = self._renew()
        self.assertThat((len(report.running), len(report.ended)), Equals((0, 1)))
        self.assertThat(self.facts[-1][0::3], Equals(("end", "stopped")))
        self.assertThat(self._start(task=OTHER_TASK), Equals(Acknowledged(self.now_s - 100.0)))

    def test_lapse_takes_time_and_a_renewal_does_not_save_the_run(self):
        self._start(until_s=3.0)
        self._advance_to(103.02)
        self.assertThat(self.facts[1][0], Equals("lapse"))
        self._renew(until_s=6.0)
        self._advance_to(103.02 + MAX_STOP_S)
        ((_, ended_s, _, how),) = [fact for fact in self.facts if fact[0] == "end"]
        self.assertThat(how, Equals("lapsed"))
        self.assertThat(103.0 < ended_s <= 103.02 + MAX_STOP_S, Equals(True))

    def test_lease_is_limited_whatever_the_order_says(self):
        self._start(until_s=500.0)
        self._advance_to(105.99)
        self.assertThat([fact[0] for fact in self.facts], Equals(["start"]))
        self._advance_to(106.02)
        self.assertThat([fact[0] for fact in self.facts][:2], Equals(["start", "lapse"]))

    def test_lapse_during_a_pause_ends_the_run_at_the_last_moment_before_it(self):
        self._start(until_s=3.0)
        self._advance_to(102.0)
        self.now_s = 109.0
        self._renew(until_s=12.0)
        expected = [("lapse", 102.0, None, None), ("end", 102.0, 1, "lapsed")]
        self.assertThat(self.facts[1:], Equals(expected))

    def test_pause_within_the_lease_does_no_work(self):
        self._start(until_s=6.0)
        self._advance_to(101.0)
        self.now_s = 105.0
        report = self._renew(until_s=11.0)
        self.assertThat(round(report.running[0].progress_percent), Equals(10))

    def test_run_that_is_done_during_the_last_tick_is_recorded_with_its_time(self):
        self._start(until_s=6.0)
        for second in range(1, 10):
            self._advance_to(100.0 + second)
            self._renew(until_s=second + 6.0)
        self._advance_to(110.05)
        self._renew(acknowledged=1)
        self.assertThat([fact[0] for fact in self.facts], Equals(["start", "end", "noted"]))
        self.assertThat(self.facts[1][3], Equals("done"))

    def test_lapse_without_runs_is_recorded_once(self):
        self._renew(until_s=2.0)
        self._advance_to(103.0)
        self.assertThat([fact[0] for fact in self.facts], Equals(["lapse"]))
        self._renew(until_s=5.0)
        self._advance_to(106.0)
        self.assertThat([fact[0] for fact in self.facts], Equals(["lapse", "lapse"]))

    def test_higher_run_is_started_beside_a_lower_one(self):
        self._start(run=1)
        self.worker.checker.submission_by_id["j"] = Submission("j", "q", "", (SMALL_STEP,), 0.0)
        self.assertThat(self._start(run=2), Equals(Acknowledged(0.0)))
        self.assertThat(self._start(run=1), Equals(Acknowledged(0.0)))
        self.assertThat([fact[::2] for fact in self.facts], Equals([("start", 1), ("start", 2)]))
        self.assertThat(
            [violation.guarantee for violation in self.worker.checker.violations], Equals(["twice"])
        )

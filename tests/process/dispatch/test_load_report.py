"""Tests of the report of the owner's own load."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.admission import measure_commitments
from laburnumswitch.process.dispatch.commitment import Commitment
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.load_report import INTERVAL_S
from laburnumswitch.process.dispatch.load_report import measure_load
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until


class TestLoadReport(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(lambda: len(self.owner.workers_by_id) == 2)

    def test_late_report_shows_an_exhausted_processor(self):
        load = measure_load(self.owner, INTERVAL_S + 0.5, 1.2)
        self.assertThat((load.cpu_share, load.lag_s), Equals((0.8, 0.5)))

    def test_oldest_answer_leaves_out_workers_that_are_not_reached(self):
        now_s = self.owner.context.clock()
        first, second = self.owner.workers_by_id.values()
        wait_until(lambda: first.is_reached and second.is_reached)
        first.is_reached = False
        first.last_answer_s = now_s - 60.0
        second.last_answer_s = now_s - 3.0
        self.assertThat(int(measure_load(self.owner, 1.0, 0.1).oldest_answer_s), Equals(3))

    def test_is_logged_while_the_term_lasts(self):
        wait_until(lambda: b'"event":"owner_load"' in self.harness.log.take())

    def test_what_long_running_jobs_reserve_is_logged(self):
        step = Step(3, cpu_millis=1500, memory_mb=10, long_running=True)
        self.harness.submit(make_submission("j1", step), self.owner)
        commitment = measure_commitments(self.owner)["shop"]
        self.assertThat(commitment, Equals(Commitment(8000, 4500, 0, 800)))
        wait_until(lambda: b'"committed_cpu_millis":4500' in self.harness.log.take())

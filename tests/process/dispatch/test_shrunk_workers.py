"""Tests of workers whose capacity shrinks while they run tasks."""

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.worker_session import SAMPLE_INTERVAL_S
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

SERVING = Step(
    1, cpu_millis=1000, memory_mb=100, image="web", tail_target_ms=100.0, long_running=True
)
FILLING = Step(1, cpu_millis=500, memory_mb=100, image="batch", estimate_ms=9e6, best_effort=True)


class TestShrunkWorker(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=1)
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        self.harness.submit(make_submission("j1", SERVING), self.owner)
        self.harness.submit(make_submission("j2", FILLING), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 2)

    def _list_capacity(self, cpu_millis, memory_mb):
        (worker,) = self.owner.workers_by_id.values()
        self.harness.list_worker(make_listing(1, cpu_millis=cpu_millis, memory_mb=memory_mb))
        wait_until(lambda: worker.listing.cpu_millis == cpu_millis)

    def test_owner_goes_on_while_a_worker_has_no_capacity(self):
        # Shares of its processors were computed by a division by zero, which ended the term.
        self._list_capacity(0, 0)
        self.harness.submit(make_submission("j3"), self.owner)
        sleep(3 * SAMPLE_INTERVAL_S)
        self.assertThat(self.owner.is_stopped(), Equals(False))
        self.assertThat(self.harness.checker.start_count, Equals(2))
        self._list_capacity(4000, 8000)
        wait_until(lambda: self.harness.checker.start_count == 4)

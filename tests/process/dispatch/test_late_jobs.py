"""Jobs that become known after the load while an earlier owner may still start them.

An owner that was cut off with its availability zone goes on starting what entries of its zone tell
it, on workers that its successor has not reached.
"""

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.rows.table import Changes
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until
from tests.process.dispatch.links import CutLink

# One task for each of the two workers.
WIDE = Step(2, cpu_millis=3000, memory_mb=100, estimate_ms=4000)
FEED_READ_S = 2.0


class LateJobCase(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.first = self.harness.start_owner("vm-1")
        self.addCleanup(self.first.stop)
        wait_until(lambda: len(usable_workers(self.first, "shop")) == 2)
        self.cut_link = CutLink(self.harness.worker_by_id["w1"])

    def link_to(self, listing):
        is_cut = listing.worker_id == "w1"
        return self.cut_link if is_cut else self.harness.worker_by_id[listing.worker_id]

    def start_successor(self, predecessor):
        """Start an owner that does not reach the worker ``w1``, while the first one goes on."""
        self.harness.make_link = self.link_to
        second = self.harness.start_owner("vm-2", predecessor)
        self.addCleanup(second.stop)
        wait_until(lambda: len(usable_workers(second, "shop")) == 1)
        return second

    def submit_to_first(self):
        """Submit a job that only the first owner is told of; the worker ``w1`` starts a task."""
        self.harness.submit(make_submission("j1", WIDE), self.first)
        wait_until(lambda: self.harness.checker.start_count == 1)

    def check_runs_once(self, second):
        sleep(FEED_READ_S)
        self.cut_link.is_cut = False
        wait_until(lambda: second.settled)
        wait_until(lambda: self.harness.checker.start_count >= 2)
        sleep(0.2)
        self.assertThat(self.harness.checker.violations, Equals([]))
        self.assertThat(self.harness.checker.start_count, Equals(2))


class TestJobStartedByAnOwnerTakenForLost(LateJobCase):
    def test_job_that_a_lagging_feed_lacks_is_not_started_twice(self):
        """Reading the feed once after the confirmation would miss it."""
        second = self.start_successor(PredecessorState.SILENT)
        version = self.harness.table.load("leadership").version
        follow = self.harness.table.follow
        self.harness.table.follow = lambda table, after, wait_s: Changes((), version, 0.0)
        self.submit_to_first()
        self.first.supersede()
        second.note_predecessor_ended()
        sleep(FEED_READ_S)
        self.harness.table.follow = follow
        self.check_runs_once(second)

    def test_job_read_after_the_predecessor_confirmed_its_end_is_not_started_twice(self):
        """It was stored and started before the confirmation, and read from the feed after it."""
        second = self.start_successor(PredecessorState.SILENT)
        self.submit_to_first()
        self.first.supersede()
        second.note_predecessor_ended()
        self.check_runs_once(second)

    def test_job_of_a_predecessor_that_refused_connections_is_not_started_twice(self):
        """A cut may refuse connections, and an owner reads new jobs from the feed as well."""
        second = self.start_successor(PredecessorState.REFUSING)
        self.submit_to_first()
        self.check_runs_once(second)


class TestNewJobBesideAnUnreachedWorker(LateJobCase):
    """A job that no earlier owner can have started does not wait for workers that do not answer."""

    def check_starts_at_once(self, second):
        narrow = WIDE._replace(count=1)
        self.harness.submit(make_submission("j2", narrow), second)
        wait_until(lambda: self.harness.checker.start_count == 1, limit_s=1.0)
        self.assertThat(second.settled, Equals(False))
        self.assertThat(self.harness.checker.violations, Equals([]))

    def test_starts_at_once_if_the_predecessor_ended_before_the_load(self):
        self.first.stop()
        self.check_starts_at_once(self.start_successor(PredecessorState.ENDED))

    def test_starts_at_once_once_the_jobs_of_a_confirmed_predecessor_are_read(self):
        second = self.start_successor(PredecessorState.SILENT)
        self.first.supersede()
        second.note_predecessor_ended()
        wait_until(lambda: not second.late_jobs.may_be_started, limit_s=1.0)
        self.check_starts_at_once(second)

    def test_starts_at_once_if_the_predecessor_confirmed_before_the_load(self):
        self.first.supersede()
        self.harness.make_link = self.link_to
        confirmed = self.harness.hold_loads()
        second = self.harness.start_owner("vm-2", PredecessorState.REFUSING)
        self.addCleanup(second.stop)
        second.note_predecessor_ended()
        confirmed.set()
        wait_until(lambda: len(usable_workers(second, "shop")) == 1)
        self.assertThat(second.late_jobs.may_be_started, Equals(False))
        self.check_starts_at_once(second)

"""Starts of an owner that cannot commit, so that another entry may have taken over."""

from time import monotonic

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.leadership.term import TAKEOVER_WAIT_S
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until
from tests.process.dispatch.links import CutLink

# Four tasks fill a worker.
TASKS = Step(8, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)


class _Link(CutLink):
    """Link that counts the renewals that are not held open, and may lose all answers."""

    def __init__(self, worker):
        super().__init__(worker, is_cut=False)
        self.asked = 0
        self.answers_none = False

    def renew(self, renewal, timeout_s):
        self.asked += renewal.wait_s == 0.0
        answer = super().renew(renewal, timeout_s)
        if self.answers_none:
            return AnswerLost(self.worker.listing.worker_id, "lost")
        return answer


class TestStartsWithoutCommits(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.link_by_id = {}
        self.harness.make_link = self.make_link
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(lambda: len(usable_workers(self.owner, "shop")) == 2)

    def make_link(self, listing):
        worker_id = listing.worker_id
        self.link_by_id[worker_id] = _Link(self.harness.worker_by_id[worker_id])
        return self.link_by_id[worker_id]

    def lose_store(self):
        self.harness.table.commit = lambda transaction: Unavailable("cut off")
        sleep(TAKEOVER_WAIT_S)
        # A worker that has just answered need not be asked.
        known = self.owner.workers_by_id.values()
        wait_until(lambda: all(worker.may_have_restarted(monotonic()) for worker in known))
        for link in self.link_by_id.values():
            link.asked = 0

    def add_job(self):
        submission = make_submission("j1", TASKS)
        self.harness.checker.record_submission(submission)
        self.owner.add_job(submission)

    def running(self, worker_id):
        return len(self.harness.worker_by_id[worker_id].running())

    def test_workers_are_not_asked_while_commits_succeed(self):
        for link in self.link_by_id.values():
            link.asked = 0
        self.owner.recorder.commit()
        self.add_job()
        wait_until(lambda: self.harness.checker.start_count == 8)
        self.assertThat([link.asked for link in self.link_by_id.values()], Equals([0, 0]))

    def test_each_worker_is_asked_once_before_its_starts(self):
        self.lose_store()
        self.add_job()
        wait_until(lambda: self.harness.checker.start_count == 8)
        self.assertThat([link.asked for link in self.link_by_id.values()], Equals([1, 1]))

    def test_worker_that_does_not_answer_gets_no_starts(self):
        self.lose_store()
        self.link_by_id["w1"].answers_none = True
        self.add_job()
        wait_until(lambda: self.running("w2") == 4)
        sleep(0.5)
        self.assertThat(self.running("w1"), Equals(0))
        self.link_by_id["w1"].answers_none = False
        wait_until(lambda: self.running("w1") == 4)
        self.assertThat(self.harness.checker.violations, Equals([]))

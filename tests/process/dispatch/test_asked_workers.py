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
LONG = TASKS._replace(count=1)


class _Link(CutLink):
    """Link that counts the renewals that are not held open, by which a worker is asked.

    Their answers may be lost or held up, or all answers be lost.
    """

    def __init__(self, worker):
        super().__init__(worker, is_cut=False)
        self.asked = 0
        self.answers_none = False
        self.answers_none_asked = False
        self.delay_answer = None

    def renew(self, renewal, timeout_s):
        is_asked = renewal.wait_s == 0.0
        self.asked += is_asked
        answer = super().renew(renewal, timeout_s)
        if is_asked and self.answers_none_asked:
            sleep(timeout_s)
        if self.answers_none or (is_asked and self.answers_none_asked):
            return AnswerLost(self.worker.listing.worker_id, "lost")
        if is_asked and self.delay_answer:
            self.delay_answer()
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

    def add_job(self, job_id="j1", step=TASKS):
        submission = make_submission(job_id, step)
        self.harness.checker.record_submission(submission)
        return self.owner.add_job(submission)

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

    def test_gang_is_not_started_in_part_if_one_of_its_workers_gives_no_answer(self):
        self.lose_store()
        self.link_by_id["w1"].answers_none_asked = True
        self.add_job("j1", LONG._replace(count=2, cpu_millis=3000, gang=True))
        sleep(1.0)
        self.assertThat(self.harness.checker.start_count, Equals(0))
        self.link_by_id["w1"].answers_none_asked = False
        wait_until(lambda: self.harness.checker.start_count == 2, limit_s=2.0)

    def test_start_is_sent_although_a_later_report_overtakes_the_answer(self):
        """A run ends while the answer is under way, which the renewal that is held open tells."""
        first = self.add_job("j1", LONG._replace(cpu_millis=3000))
        wait_until(lambda: self.harness.checker.start_count == 1)
        (task,) = first.active_tasks()
        holder = self.link_by_id[task.worker_id]
        other_id = next(each for each in self.link_by_id if each != task.worker_id)
        known = self.owner.workers_by_id[task.worker_id]
        wait_until(lambda: known.runs_by_task[task.key].incarnation)
        self.lose_store()
        self.owner.workers_by_id[other_id].blocked_until_s = float("inf")

        def end_run():
            holder.delay_answer = None
            holder.worker.stop(task.key, task.active_run, known.fence, 0.1)
            sleep(0.05)

        holder.delay_answer = end_run
        second = self.add_job("j2", LONG)
        wait_until(lambda: second.is_running() and second.has_begun)
        (started,) = second.active_tasks()
        self.assertThat(started.last_run, Equals(1))

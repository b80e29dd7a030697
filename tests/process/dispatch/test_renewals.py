"""Tests of lease renewals while the store or the link to a worker is slow or lossy."""

from time import monotonic

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.leadership.term import TERM_KEY
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

LONG = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=60_000)


class TestRenewals(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=1)
        self.worker = self.harness.worker_by_id["w1"]
        self.leases = []
        answer_renewal = self.worker.renew

        def renew(renewal, timeout_s):
            self.leases.append(renewal.until_s)
            sleep(0.001)
            return answer_renewal(renewal, timeout_s)

        self.worker.renew = renew
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        self.harness.submit(make_submission("j1", LONG), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.known = self.owner.workers_by_id["w1"]
        wait_until(lambda: any(run.progress_percent for run in self.known.runs_by_task.values()))

    def intercept_commits(self, before):
        """Call a function before each commit of the owner; a failure that it returns counts."""
        commit = self.harness.table.commit

        def commit_later(transaction):
            is_owners = any(put.key == TERM_KEY for put in transaction.puts)
            return (is_owners and before()) or commit(transaction)

        self.harness.table.commit = commit_later

    def check_long_job_went_on(self, starts):
        self.assertThat([task.job_id for task in self.worker.running()], Equals(["j1"]))
        self.assertThat(self.harness.checker.start_count, Equals(starts))

    def test_lease_is_renewed_while_the_end_of_another_run_cannot_be_stored(self):
        self.harness.submit(make_submission("j2", LONG._replace(estimate_ms=10)), self.owner)
        self.intercept_commits(lambda: Unavailable("down"))
        began_s = monotonic()
        wait_until(lambda: self.harness.checker.start_count == 2)
        sleep(began_s + BOUNDS.lease_s + 1.0 - monotonic())
        self.assertThat(self.owner.may_act(), Equals(True))
        self.check_long_job_went_on(starts=2)

    def test_ends_are_acknowledged_although_each_commit_takes_its_time(self):
        self.intercept_commits(lambda: sleep(0.15))
        short = LONG._replace(estimate_ms=100, count=200)
        self.harness.submit(make_submission("j2", short), self.owner)
        sleep(4.0)
        self.assertThat(self.known.acknowledged_end, GreaterThan(0.8 * self.known.last_end_number))
        self.assertThat(self.known.last_end_number, GreaterThan(0))

    def test_lease_does_not_lapse_although_every_second_renewal_is_lost(self):
        answer_renewal = self.worker.renew

        def renew(renewal, timeout_s):
            if len(self.leases) % 2:
                return answer_renewal(renewal, timeout_s)
            self.leases.append(renewal.until_s)
            sleep(0.05)
            return AnswerLost("w1", "lost")

        self.worker.renew = renew
        sleep(BOUNDS.lease_s + 2.0)
        self.check_long_job_went_on(starts=1)

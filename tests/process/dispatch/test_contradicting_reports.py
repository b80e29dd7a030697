"""Workers whose reports name different runs of one task, as they were made at different instants.

An owner that has not confirmed its end goes on until the last of its workers has heard of the next
one, which may have read reports by then that are out of date soon after.
"""

from time import monotonic

from gevent import sleep
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is

from laburnumswitch.exceptions import StartRefused
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.leadership.term import PredecessorState
from standin.fleet.worker import WorkerTiming
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until
from tests.process.dispatch.links import CutLink

# One task fills a worker.
LONG = Step(1, cpu_millis=3000, memory_mb=100, estimate_ms=60_000)
TASK = TaskKey("j1", 0, 0, 0)
# Within this time, in seconds, an owner renews leases and plans.
REACTION_S = 1.5


class GatedLink(CutLink):
    """Link over which reports come at once, and nothing passes while ``is_cut``."""

    def __init__(self, worker):
        super().__init__(worker, is_cut=False)

    def renew(self, renewal, timeout_s):
        sleep(0.01)
        return super().renew(renewal._replace(wait_s=0.0), timeout_s)


class SuccessorCase(TestCase):
    """An owner that has read that the worker ``holder`` runs the task, but not from ``other``.

    ``first_run`` is the number of that run; its starter has not confirmed its end.
    """

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness(workers=3)
        self.checker = self.harness.checker
        first = self.harness.start_owner()
        self.addCleanup(first.stop)
        self.harness.submit(make_submission("j1", LONG), first)
        wait_until(lambda: self.checker.start_count == 1)
        workers = list(self.harness.worker_by_id.values())
        self.holder = next(worker for worker in workers if worker.running())
        self.other = next(worker for worker in workers if not worker.running())
        self.first_run = first.jobs_by_id["j1"].task(TASK).active_run
        self.first_fence = self.holder.fence
        first.stop()
        for worker in workers:
            # Ending a run takes this time at most.
            worker._timing = WorkerTiming(max_stop_s=BOUNDS.stop_s)
        link_by_id = {worker.listing.worker_id: GatedLink(worker) for worker in workers}
        self.links = list(link_by_id.values())
        self.holder_link = link_by_id[self.holder.listing.worker_id]
        self.other_link = link_by_id[self.other.listing.worker_id]
        self.other_link.is_cut = True
        self.harness.make_link = lambda listing: link_by_id[listing.worker_id]
        self.owner = self.harness.start_owner("vm-2", PredecessorState.SILENT)
        self.addCleanup(self.owner.stop)
        wait_until(self.owner.is_loaded.is_set)
        self.task = self.owner.jobs_by_id["j1"].task(TASK)
        wait_until(lambda: self.task.active_run == self.first_run)

    def end_first_run(self, outcome=RunOutcome.FAILED):
        run = self.holder._run_by_number[TASK, self.first_run]
        self.holder._end(run, outcome, monotonic())

    def start_later_run(self):
        """Start the next run on the other worker, as the earlier owner."""
        lapses_s = self.other._now_s() + BOUNDS.lease_s
        command = StartCommand(TASK, self.first_run + 1, "spec", lapses_s, self.first_fence, "")
        self.assertThat(isinstance(self.other.start(command, 1.0), StartRefused), Is(False))

    def known(self, worker):
        return self.owner.workers_by_id[worker.listing.worker_id]

    def check_later_run_goes_on(self):
        wait_until(lambda: self.owner.settled)
        sleep(REACTION_S)
        self.assertThat(self.checker.violations, Equals([]))
        self.assertThat(self.checker.start_count, Equals(2))
        self.assertThat(self.other.running(), Equals((TASK,)))
        self.assertThat(self.task.active_run, Equals(self.first_run + 1))


class TestLaterRunReportedElsewhere(SuccessorCase):
    def test_later_run_is_kept_if_the_report_of_the_earlier_one_is_out_of_date(self):
        """The earlier owner reads the end of the run and starts the next one elsewhere."""
        self.holder_link.is_cut = True
        self.end_first_run()
        self.start_later_run()
        self.other_link.is_cut = False
        wait_until(lambda: self.known(self.other).is_reached)
        sleep(0.05)
        self.holder_link.is_cut = False
        self.check_later_run_goes_on()

    def test_end_of_the_earlier_run_that_is_read_last_ends_only_that(self):
        self.holder_link.is_cut = True
        self.end_first_run(RunOutcome.STOPPED)
        self.start_later_run()
        self.other_link.is_cut = False
        wait_until(lambda: self.known(self.other).is_reached)
        sleep(0.05)
        self.holder_link.is_cut = False
        wait_until(lambda: not self.known(self.holder).runs_by_task)
        self.check_later_run_goes_on()


class TestEndOfALaterRun(SuccessorCase):
    def report_end(self, outcome):
        self.other_link.is_cut = False
        wait_until(lambda: self.owner.settled)
        end = EndReport(100, TASK, self.first_run + 1, outcome, "")
        self.owner.report_end(self.known(self.other), end)

    def test_task_does_not_start_again_while_a_worker_reports_an_earlier_run(self):
        self.report_end(RunOutcome.FAILED)
        sleep(REACTION_S)
        self.assertThat(self.checker.violations, Equals([]))
        self.assertThat(self.checker.start_count, Equals(1))

    def test_earlier_run_is_stopped_once_the_task_is_done(self):
        self.checker.done.add(TASK)
        self.report_end(RunOutcome.DONE)
        wait_until(lambda: not self.holder.running(), REACTION_S)
        wait_until(lambda: not self.known(self.holder).runs_by_task, REACTION_S)
        self.assertThat(self.checker.start_count, Equals(1))


class TestReportedRunOfAWaitingTask(SuccessorCase):
    def test_run_that_goes_on_is_kept_although_a_start_after_it_was_refused(self):
        """The task would start again while a stop of the run is carried out."""
        self.other_link.is_cut = False
        wait_until(lambda: self.owner.settled)
        starts = [(link, link.start) for link in self.links if link is not self.holder_link]
        for link, _ in starts:
            link.start = lambda command, timeout_s: StartRefused("w", "room")
        self.holder_link.is_cut = True
        holder = self.known(self.holder)
        holder.blocked_until_s = float("inf")
        run = holder.runs_by_task[TASK]
        self.owner.release_run(holder, run, EndKind.LAPSE, "a conclusion that is not true")
        wait_until(lambda: self.task.last_run > self.first_run and not self.task.active_run)
        # No other start is on its way when the report arrives.
        others = [worker for worker in self.owner.workers_by_id.values() if worker is not holder]
        for worker in others:
            worker.blocked_until_s = float("inf")
        self.holder_link.is_cut = False
        wait_until(lambda: holder.last_answer_s > run.reported_s and holder.is_reached)
        for link, start in starts:
            link.start = start
        for worker in others:
            worker.blocked_until_s = 0.0
        self.owner.wake.set()
        sleep(REACTION_S)
        self.assertThat(self.checker.violations, Equals([]))
        self.assertThat(self.checker.start_count, Equals(1))
        self.assertThat(self.holder.running(), Equals((TASK,)))
        self.assertThat(self.task.active_run, Equals(self.first_run))

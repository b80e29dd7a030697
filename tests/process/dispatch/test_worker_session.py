"""Tests of the sessions with workers, on a clock that only the tests advance."""

from itertools import pairwise

from gevent import sleep
from testtools import TestCase
from testtools.matchers import AllMatch
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.process.dispatch.best_effort import MAX_PLACEMENT_WAIT_S
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.planner import plan
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.dispatch.recorder import RecorderContext
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.worker_protocol import Acknowledged
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.process.dispatch.worker_session import run_worker
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import VersionedTerm
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission

TARGET_MS = 100.0
SERVING = Step(1, 1000, 100, image="web", tail_target_ms=TARGET_MS, long_running=True)
FILLING = Step(4, 1600, 100, image="batch", best_effort=True, checkpoints=True)
SERVING_TASK = TaskKey("j1", 0, 0, 0)
# Longest interval, in seconds, between two samples for which the guard of the targets is designed.
LONGEST_SAMPLE_GAP_S = 1.1
ROUND_TRIP_S = 0.01


class ScriptedWorker:
    """A worker on a clock of its own.

    :ivar end_times_s: when runs end; a renewal that waits then returns at once.
    :ivar now_s: the clock, advanced by renewals.
    :ivar answer_times_s: when renewals were answered.
    """

    def __init__(self):
        self.now_s = 100.0
        self.ratio = 0.5
        self.end_times_s = []
        self.runs = {}
        self.answer_times_s = []
        self.throttles = []
        self.loses_throttle_answers = False
        self.use_by_task = {}
        self.stop_after_s = 0.0
        self._ends = 0
        self.dispatcher = None

    def renew(self, renewal, timeout_s):
        """Answer once a run ends, or after the wait."""
        sleep(0)
        if self.now_s > self.stop_after_s:
            self.dispatcher.stopped.set()
            return AnswerLost("w1", "the test is over")
        until_s = self.now_s + ROUND_TRIP_S + renewal.wait_s
        ended = ()
        if self.end_times_s and self.end_times_s[0] <= until_s:
            until_s = max(self.now_s + ROUND_TRIP_S, self.end_times_s.pop(0))
            self._ends += 1
            task = TaskKey("other", 0, 0, self._ends)
            ended = (EndReport(self._ends, task, 1, RunOutcome.DONE, ""),)
        self.now_s = until_s
        self.answer_times_s.append(self.now_s)
        running = tuple(
            RunReport(task, run.number, "", 100.0, self._measurement(run))
            for task, run in self.runs.items()
        )
        return WorkerReport(self.now_s, 1, running, ended)

    def _measurement(self, run):
        if run.step.tail_target_ms:
            return self.ratio * run.step.tail_target_ms
        return self.use_by_task.get(run.task, run.step.cpu_millis * run.speed_percent / 100.0)

    def start(self, command, timeout_s):
        """Start a run."""
        return Acknowledged(self.now_s)

    def throttle(self, task, run, percent, fence, timeout_s):
        """Record the throttle."""
        self.throttles.append((task, percent))
        if self.loses_throttle_answers:
            return AnswerLost("w1", "no answer")
        self.runs[task].speed_percent = percent
        return Acknowledged(self.now_s)

    def close(self):
        """Do nothing, as there are no connections."""


class SessionTestCase(TestCase):
    """One worker with a serving run, and an owner without greenlets of its own."""

    def setUp(self):
        super().setUp()
        self.link = ScriptedWorker()
        harness = DispatchHarness(workers=0)
        context = harness.context()._replace(
            clock=lambda: self.link.now_s,
            boot_clock=lambda: self.link.now_s,
            sleep=self._sleep,
            make_link=lambda listing: self.link,
        )
        recorder_context = RecorderContext(
            context.table, context.log, context.clock, context.boot_clock, context.sleep
        )
        term = Term(1, "vm-1", "vm-1-i", "10.0.0.9:1")
        recorder = Recorder(recorder_context, VersionedTerm(term, 1), self.link.now_s)
        # Nothing is committed here, and the clock stands still while a real wait would go on.
        recorder.wait_for = lambda batch, timeout_s: True
        self.dispatcher = self.link.dispatcher = Dispatcher(context, recorder)
        self.worker = self.dispatcher.add_worker(make_listing(1))
        self.job = self.dispatcher.add_job(make_submission("j1", SERVING, FILLING))

    def _sleep(self, duration_s):
        self.link.now_s += duration_s

    def begin_run(self, step, index=0):
        task = self.job.task(TaskKey("j1", 0, step, index))
        run = self.dispatcher.begin_run(self.job, task, self.worker)
        self.link.runs[task.key] = run
        return run

    def run_session(self, duration_s):
        self.link.stop_after_s = self.link.now_s + duration_s
        run_worker(self.dispatcher, self.worker)
        sleep(0)


class TestSampleInterval(SessionTestCase):
    """Runs end all the time, so that renewals are answered early."""

    def test_tail_latencies_are_sampled_each_second_although_runs_end(self):
        # An end just too early for a sample used to delay the next one to almost two seconds.
        self.begin_run(0)
        self.begin_run(1)
        sample_times_s = []
        self.link.end_times_s = [100.9 + 0.89 * n for n in range(20)]
        original = self.link.renew

        def renew(renewal, timeout_s):
            if self.worker.last_sample_s and self.worker.last_sample_s not in sample_times_s:
                sample_times_s.append(self.worker.last_sample_s)
            return original(renewal, timeout_s)

        self.link.renew = renew
        self.run_session(12.0)
        gaps_s = [later - earlier for earlier, later in pairwise(sample_times_s)]
        self.assertThat(gaps_s, AllMatch(LessThan(LONGEST_SAMPLE_GAP_S)))

    def test_sample_is_not_delayed_while_one_best_effort_run_follows_another(self):
        # A run that ended was the only one when the next renewal was sent.
        self.begin_run(0)
        self.begin_run(1)
        self.run_session(1.5)
        self.dispatcher.stopped.clear()
        sampled_s = self.worker.last_sample_s
        ended = self.worker.best_effort_runs()[0]
        del self.link.runs[ended.task]
        self.dispatcher.release_run(self.worker, ended, EndKind.UNREPORTED, "it ended")
        self.run_session(0.0)
        self.assertThat(self.worker.last_sample_s, GreaterThan(sampled_s))
        self.assertThat(self.worker.last_sample_s, LessThan(sampled_s + LONGEST_SAMPLE_GAP_S))

    def test_worker_without_best_effort_work_is_not_asked_more_often(self):
        self.begin_run(0)
        self.link.end_times_s = [100.9 + 0.89 * n for n in range(20)]
        self.run_session(12.0)
        self.assertThat(len(self.link.answer_times_s), LessThan(16))


class TestStartBesideTaskOverItsTarget(SessionTestCase):
    """A serving task has been over its target for so long that all best-effort work is stopped."""

    def test_new_run_is_throttled_at_once(self):
        # It used to run at full speed until the next sample.
        run = self.begin_run(0)
        self.run_session(1.0)
        self.dispatcher.stopped.clear()
        run.last_under_target_s = self.link.now_s - 3.0
        self.link.ratio = 1.2
        step = self.job.occurrences[0].steps[1]
        step.ready_since_s = self.link.now_s - MAX_PLACEMENT_WAIT_S
        self.worker.listed_in_batch = 0
        self.dispatcher.knows_listings = True
        # Without a recent commit the worker is asked before it gets the starts.
        self.dispatcher.recorder.last_commit_boot_s = self.link.now_s
        plan(self.dispatcher)
        sleep(0)
        sleep(0)
        started = {task for task in self.worker.runs_by_task if task.step == 1}
        self.assertThat(len(started), Equals(FILLING.count))
        self.assertThat(dict(self.link.throttles), Equals(dict.fromkeys(started, 0)))


class TestAdoptedRuns(SessionTestCase):
    """Runs of an earlier owner, which throttled some of them."""

    def setUp(self):
        super().setUp()
        self.predecessor_runs = {
            task: ActiveRun(task, 1, step, 1, 0.0)
            for step, task in (
                (SERVING, SERVING_TASK),
                (FILLING, TaskKey("j1", 0, 1, 0)),
                (FILLING, TaskKey("j1", 0, 1, 1)),
            )
        }
        self.link.runs = self.predecessor_runs
        self.throttled, self.unthrottled = list(self.predecessor_runs)[1:]

    def test_run_that_the_earlier_owner_had_stopped_works_again(self):
        # It was taken for a run at full speed, so it was never told to go on.
        self.predecessor_runs[self.throttled].speed_percent = 0
        self.run_session(0.5)
        self.assertThat(self.link.throttles, Equals([(self.throttled, 100)]))

    def test_all_best_effort_work_stops_beside_a_task_over_its_target(self):
        # For how long it has been over its target is not known: it may be nearly the limit.
        self.link.ratio = 1.2
        self.run_session(0.5)
        self.assertThat(
            sorted(self.link.throttles), Equals([(self.throttled, 0), (self.unthrottled, 0)])
        )


class TestLostThrottles(SessionTestCase):
    """A throttle whose answer is lost may take effect at once, later or not at all."""

    def setUp(self):
        super().setUp()
        self.serving = self.begin_run(0)
        self.filling = self.begin_run(1)
        self.link.ratio = 0.3
        self.run_session(5.0)
        self.dispatcher.stopped.clear()

    def _sample(self, ratio, over_s=0.0):
        self.link.ratio = ratio
        self.serving.last_under_target_s = self.link.now_s - over_s
        self.run_session(0.5)
        self.dispatcher.stopped.clear()

    def test_run_goes_on_although_the_answer_to_its_stop_was_lost(self):
        self.link.loses_throttle_answers = True
        self._sample(0.92, over_s=3.0)
        self.link.loses_throttle_answers = False
        self.link.use_by_task = {self.filling.task: 0.0}
        self._sample(0.3)
        self.assertThat(
            self.link.throttles, Equals([(self.filling.task, 0), (self.filling.task, 100)])
        )

    def test_late_throttle_that_lets_a_stopped_run_go_on_is_noticed(self):
        # A throttle without an answer may be carried out after a later one.
        self._sample(0.92, over_s=3.0)
        self.link.use_by_task = {self.filling.task: FILLING.cpu_millis}
        self._sample(0.92, over_s=3.0)
        self.assertThat(self.link.throttles, Equals([(self.filling.task, 0)] * 2))

    def test_late_throttle_that_stops_a_run_is_noticed(self):
        self.link.use_by_task = {self.filling.task: 0.0}
        self._sample(0.3)
        self.assertThat(self.link.throttles, Equals([(self.filling.task, 100)]))

    def test_effect_of_a_recent_throttle_is_awaited(self):
        self._sample(0.92, over_s=3.0)
        self.filling.throttled_s = self.link.now_s + 1.0
        self.link.use_by_task = {self.filling.task: FILLING.cpu_millis}
        self._sample(0.92, over_s=3.0)
        self.assertThat(self.link.throttles, Equals([(self.filling.task, 0)]))


class TestNoisySamples(SessionTestCase):
    """A tail latency is slightly over its target all the time, and its samples are noisy."""

    def test_one_sample_slightly_under_the_target_does_not_reset_the_guard(self):
        # One such sample in four seconds used to let best-effort work go on beyond the limit.
        self.begin_run(0)
        filling = self.begin_run(1)
        ratios = [0.5, 1.05, 0.88, 1.04, 1.02]
        original = self.link.renew

        def renew(renewal, timeout_s):
            if ratios:
                self.link.ratio = ratios.pop(0)
            return original(renewal, timeout_s)

        self.link.renew = renew
        self.run_session(3.0)
        self.assertThat(filling.speed_percent, Equals(0))

    def test_two_samples_slightly_under_the_target_reset_the_guard(self):
        self.link.ratio = 0.88
        serving = self.begin_run(0)
        self.begin_run(1)
        serving.last_under_target_s = self.link.now_s - 3.0
        self.run_session(1.5)
        self.assertThat(serving.last_under_target_s, Equals(self.worker.last_sample_s))

"""Tests of the stops on draining workers, under the load for which the rules exist."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.draining import Candidate
from laburnumswitch.process.dispatch.draining import choose_stops
from laburnumswitch.process.dispatch.draining import END_REPORT_MARGIN_S
from laburnumswitch.process.dispatch.draining import MOVE_S
from laburnumswitch.process.dispatch.draining import Room
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from tests.process.dispatch.harness import BOUNDS
from tests.process.dispatch.harness import make_listing

SERVING = Step(8, cpu_millis=1000, memory_mb=100, long_running=True)
BATCH = Step(1, cpu_millis=1000, memory_mb=100, estimate_ms=5000)
LAST_MOMENT_S = BOUNDS.stop_s + END_REPORT_MARGIN_S


def make_worker(number, leaves_s=None, **changes):
    worker = Worker(make_listing(number, **changes), None, 1)
    worker.leaves_s = leaves_s
    return worker


def add_run(worker, step, index=0, job_id="j", progress=100.0, started_s=0.0):
    run = ActiveRun(TaskKey(job_id, 0, 0, index), 1, step, 1, started_s)
    run.update(RunReport(run.task, 1, "", progress, 0.0), started_s)
    worker.add_run(run)
    return run


def candidates_of(*workers, unavailable=0, may_restart=True):
    return [
        Candidate(worker, run, unavailable, may_restart)
        for worker in workers
        for run in worker.runs_by_task.values()
        if not run.is_stopping
    ]


def stopped_runs(candidates, targets, now_s=0.0):
    return [stop.run for stop in choose_stops(candidates, Room(targets), BOUNDS, now_s)]


class TestLongRunning(TestCase):
    def setUp(self):
        super().setUp()
        self.leaving = make_worker(1, leaves_s=4.0, cpu_millis=8000)
        self.runs = [add_run(self.leaving, SERVING, index) for index in range(6)]
        self.targets = [make_worker(number) for number in (2, 3)]

    def _replay(self, step, end_s):
        """Move runs until ``end_s``; each is at work elsewhere after ``MOVE_S``.

        :return: the times of the stops, and the largest number of tasks away at once.
        """
        for run in self.runs:
            run.step = step
        stop_times_s, most_away = [], 0
        for tick in range(round(end_s * 10)):
            now_s = tick / 10
            away = sum(1 for stop_s in stop_times_s if now_s - stop_s < MOVE_S)
            candidates = candidates_of(self.leaving, unavailable=away)
            for run in stopped_runs(candidates, self.targets, now_s):
                run.is_stopping = True
                stop_times_s.append(now_s)
                away += 1
            most_away = max(most_away, away)
        return stop_times_s, most_away

    def test_tasks_of_a_step_move_a_few_at_a_time_before_their_worker_leaves(self):
        stop_times_s, most_away = self._replay(SERVING, 4.0)
        self.assertThat((len(stop_times_s), most_away), Equals((6, 2)))
        self.assertThat(stop_times_s[0], Equals(0.0))
        self.assertThat(stop_times_s[-1], LessThan(4.0 - LAST_MOMENT_S))

    def test_as_many_as_may_be_unavailable_move_at_once(self):
        _, most_away = self._replay(SERVING._replace(max_unavailable=3), 4.0)
        self.assertThat(most_away, Equals(3))

    def test_all_move_at_once_after_a_short_notice(self):
        self.leaving.leaves_s = 1.5
        runs = stopped_runs(candidates_of(self.leaving), self.targets)
        self.assertThat(runs, Equals(self.runs))

    def test_tasks_without_room_elsewhere_keep_running(self):
        full = make_worker(2, cpu_millis=2000)
        self.leaving.leaves_s = 1.0
        candidates = candidates_of(self.leaving)
        self.assertThat(stopped_runs(candidates, [full]), Equals(self.runs[:2]))
        self.assertThat(stopped_runs(candidates, []), Equals([]))

    def test_tasks_without_room_elsewhere_are_stopped_at_the_last_moment(self):
        """They would count as running for a lease although room becomes free meanwhile."""
        self.leaving.listing = make_listing(1, is_draining=True, remaining_s=LAST_MOMENT_S)
        candidates = candidates_of(self.leaving)
        last_moment_s = 4.0 - LAST_MOMENT_S
        self.assertThat(stopped_runs(candidates, [], last_moment_s - 0.1), Equals([]))
        self.assertThat(stopped_runs(candidates, [], last_moment_s), Equals(self.runs))

    def test_tasks_without_room_keep_running_while_the_last_moment_is_unknown(self):
        self.leaving.listing = make_listing(1, is_draining=True)
        candidates = candidates_of(self.leaving)
        self.assertThat(stopped_runs(candidates, [], 4.0), Equals([]))

    def test_limit_of_tasks_per_worker_counts_as_room(self):
        step = SERVING._replace(max_per_worker=2)
        for run in self.runs:
            run.step = step
        add_run(self.targets[0], step, 6)
        self.leaving.leaves_s = 1.0
        runs = stopped_runs(candidates_of(self.leaving), self.targets)
        self.assertThat(len(runs), Equals(3))

    def test_worker_without_the_required_label_is_no_room(self):
        step = SERVING._replace(required_label="ssd")
        for run in self.runs:
            run.step = step
        candidates = candidates_of(self.leaving)
        self.assertThat(stopped_runs(candidates, self.targets), Equals([]))

    def test_tasks_that_could_not_start_again_yet_keep_running(self):
        candidates = candidates_of(self.leaving, may_restart=False)
        self.assertThat(stopped_runs(candidates, self.targets, 3.5), Equals([]))

    def test_first_worker_to_leave_is_emptied_first(self):
        sooner = make_worker(4, leaves_s=1.0)
        run = add_run(sooner, SERVING, 7, job_id="other")
        full = make_worker(2, cpu_millis=1000)
        runs = stopped_runs(candidates_of(self.leaving, sooner), [full])
        self.assertThat(runs, Equals([run]))


class TestBatch(TestCase):
    def setUp(self):
        super().setUp()
        self.leaving = make_worker(1, leaves_s=4.0)
        self.targets = [make_worker(2)]

    def _stopped(self, now_s, **changes):
        return stopped_runs(candidates_of(self.leaving, **changes), self.targets, now_s)

    def test_run_that_ends_in_time_stays(self):
        add_run(self.leaving, BATCH._replace(checkpoints=True), progress=40.0)
        self.assertThat(self._stopped(4.0 - LAST_MOMENT_S), Equals([]))

    def test_run_with_checkpoints_is_stopped_at_the_last_moment(self):
        run = add_run(self.leaving, BATCH._replace(checkpoints=True), progress=0.0)
        self.assertThat(self._stopped(2.9), Equals([]))
        self.assertThat(self._stopped(4.0 - LAST_MOMENT_S), Equals([run]))

    def test_own_speed_of_a_run_counts_more_than_its_estimate(self):
        run = add_run(self.leaving, BATCH._replace(checkpoints=True), progress=40.0)
        run.update(RunReport(run.task, 1, "", 50.0, 0.0), 3.0)
        self.assertThat(self._stopped(4.0 - LAST_MOMENT_S), Equals([run]))

    def test_run_that_is_nearly_done_stays_at_the_last_moment(self):
        run = add_run(self.leaving, BATCH._replace(checkpoints=True), progress=0.0)
        run.update(RunReport(run.task, 1, "", 95.0, 0.0), 3.8)
        self.assertThat(self._stopped(3.8), Equals([]))

    def test_run_whose_work_would_be_lost_is_stopped_soon(self):
        hopeless = add_run(self.leaving, BATCH._replace(estimate_ms=20_000), progress=0.0)
        self.assertThat(self._stopped(0.1), Equals([hopeless]))

    def test_run_that_may_still_end_is_stopped_at_the_last_moment(self):
        run = add_run(self.leaving, BATCH, progress=0.0)
        self.assertThat(self._stopped(0.1), Equals([]))
        self.assertThat(self._stopped(4.0 - LAST_MOMENT_S), Equals([run]))

    def test_run_without_room_elsewhere_is_stopped_only_at_the_last_moment(self):
        run = add_run(self.leaving, BATCH._replace(estimate_ms=20_000), progress=0.0)
        self.targets = []
        self.assertThat(self._stopped(0.1), Equals([]))
        self.assertThat(self._stopped(4.0 - LAST_MOMENT_S), Equals([run]))


class TestGang(TestCase):
    def setUp(self):
        super().setUp()
        self.leaving = make_worker(1, leaves_s=4.0)
        self.remaining = make_worker(2, cpu_millis=2000)
        self.step = BATCH._replace(count=4, gang=True, estimate_ms=60_000)
        self.runs = [add_run(self.leaving, self.step, index, progress=0.0) for index in (0, 1)]
        for index in (2, 3):
            add_run(self.remaining, self.step, index, progress=0.0)

    def _stopped(self, *targets, now_s=0.1):
        return stopped_runs(candidates_of(self.leaving), [self.remaining, *targets], now_s)

    def test_members_on_the_draining_worker_are_stopped_together(self):
        # The other two end with them and fit where they are.
        self.assertThat(self._stopped(make_worker(3, cpu_millis=2000)), Equals(self.runs))

    def test_gang_that_does_not_fit_as_a_whole_runs_on(self):
        target = make_worker(3, cpu_millis=1000)
        self.assertThat(self._stopped(target), Equals([]))
        self.assertThat(self._stopped(target, now_s=3.9), Equals(self.runs))

    def test_gang_with_checkpoints_is_stopped_at_the_last_moment(self):
        for run in self.runs:
            run.step = self.step._replace(checkpoints=True)
        target = make_worker(3)
        self.assertThat(self._stopped(target), Equals([]))
        self.assertThat(self._stopped(target, now_s=4.0 - LAST_MOMENT_S), Equals(self.runs))


class TestNotice(TestCase):
    def setUp(self):
        super().setUp()
        self.worker = make_worker(1)

    def _note(self, now_s, **changes):
        self.worker.note_listing(make_listing(1, **changes), now_s, BOUNDS.drain_s)
        return self.worker.leaves_s

    def test_listing_that_arrives_late_does_not_postpone_the_end(self):
        self.assertThat(self._note(10.0, is_draining=True, remaining_s=4.0), Equals(14.0))
        self.assertThat(self._note(11.5, is_draining=True, remaining_s=4.0), Equals(14.0))
        self.assertThat(self._note(12.0, is_draining=True, remaining_s=1.0), Equals(13.0))

    def test_listing_without_remaining_time_leaves_the_minimum(self):
        self.assertThat(self._note(10.0, is_draining=True), Equals(10.0 + BOUNDS.drain_s))

    def test_worker_that_is_ready_again_does_not_leave(self):
        self._note(10.0, is_draining=True, remaining_s=1.0)
        self.assertThat(self._note(10.5), Is(None))
        self.assertThat(self._note(20.0, is_draining=True, remaining_s=4.0), Equals(24.0))

"""Tests of how long long-running tasks are down between two runs, and why."""

from math import inf

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.start_delays import StartDelays
from laburnumswitch.process.dispatch.start_delays import Wait
from laburnumswitch.process.dispatch.start_delays import WaitReason

LASTING = Step(2, cpu_millis=1000, long_running=True)
TASK = TaskKey("j1", 0, 0, 0)


def make_run(number, started_s, confirmed_s=None, reported_s=None, step=LASTING):
    run = ActiveRun(TASK, number, step, 1, started_s)
    run.confirmed_s = confirmed_s
    run.reported_s = started_s if reported_s is None else reported_s
    return run


class TestStartDelays(TestCase):
    def setUp(self):
        super().setUp()
        self.delays = StartDelays()

    def test_task_is_down_from_the_last_sign_of_its_run_over_several_waits(self):
        # Each of these waits is within its own bound.
        lost = make_run(1, 1.0, 1.1, reported_s=10.0)
        self.delays.find(TASK, 10.0).note_reason(WaitReason.SILENT, 12.0)
        self.delays.note_end(lost, 0.0, None)
        self.delays.find_waiting(TASK, 16.4).note_reason(WaitReason.KEPT, 17.0)
        self.delays.find_waiting(TASK, 16.4).note_reason(WaitReason.PIECES, 18.0)
        fields = self.delays.describe_start(make_run(2, 19.0), 16.4, 19.0, True)
        expected = {"down_s": 9.0, "longest_wait": WaitReason.SILENT, "longest_wait_s": 7.0}
        self.assertThat(fields, Equals(expected))

    def test_reported_end_is_the_end(self):
        self.delays.note_end(make_run(1, 1.0, 1.1, reported_s=9.0), 0.0, 9.7)
        fields = self.delays.describe_start(make_run(2, 10.0), 9.7, 10.0, True)
        self.assertThat((fields["down_s"], fields["longest_wait"]), Equals((0.3, "")))

    def test_refused_start_does_not_end_the_time(self):
        self.delays.note_end(make_run(1, 1.0, 1.1), 0.0, 5.0)
        refused = make_run(2, 6.0)
        self.delays.describe_start(refused, 5.0, 6.1, False)
        self.delays.note_end(refused, 5.0, None)
        fields = self.delays.describe_start(make_run(3, 8.0), 6.1, 8.0, True)
        self.assertThat(fields["down_s"], Equals(3.0))
        self.assertThat(self.delays.longest_down_s, Equals(3.0))

    def test_next_time_begins_with_the_next_end(self):
        self.delays.note_end(make_run(1, 1.0, 1.1), 0.0, 5.0)
        self.delays.describe_start(make_run(2, 7.0, 7.1), 5.0, 7.1, True)
        self.delays.note_end(make_run(2, 7.0, 7.1), 0.0, 20.0)
        fields = self.delays.describe_start(make_run(3, 20.5), 20.0, 20.5, True)
        self.assertThat(fields["down_s"], Equals(0.5))

    def test_reason_holds_since_it_was_first_seen(self):
        delay = self.delays.find_waiting(TASK, 2.0)
        for now_s, reason in ((3.0, "quota"), (4.0, "quota"), (5.0, "kept"), (6.0, "kept")):
            delay.note_reason(WaitReason(reason), now_s)
        self.assertThat(delay.wait, Equals(Wait(WaitReason.KEPT, 5.0)))
        self.assertThat(delay.longest_wait(6.5), Equals((WaitReason.QUOTA, 3.0)))

    def test_tasks_that_run_or_are_not_wanted_are_forgotten(self):
        self.delays.note_end(make_run(1, 1.0, 1.1), 0.0, 5.0)
        self.delays.forget_others((), lambda task: None)
        fields = self.delays.describe_start(make_run(2, 30.0), 29.0, 30.0, True)
        self.assertThat(fields["down_s"], Equals(1.0))

    def test_starts_are_counted_by_how_long_their_tasks_were_down(self):
        for number, (down_since_s, now_s) in enumerate(((0.0, 0.9), (5.0, 8.0), (20.0, 40.0))):
            run = make_run(number + 1, now_s)
            self.delays.describe_start(run, down_since_s, now_s, True)
        self.assertThat(self.delays.starts_by_bound_s, Equals({1.0: 1, 6.0: 1, inf: 1}))
        self.assertThat(self.delays.longest_down_s, Equals(20.0))

    def test_start_that_only_a_report_confirms_is_counted(self):
        # The answers of workers get lost just when tasks are down for long.
        self.delays.note_end(make_run(1, 1.0, 1.1), 0.0, 5.0)
        unanswered = make_run(2, 11.0, 12.5, reported_s=12.5)
        self.delays.forget_others((), lambda task: unanswered)
        self.assertThat(self.delays.starts_by_bound_s, Equals({9.0: 1}))
        self.assertThat(self.delays.longest_down_s, Equals(7.5))

    def test_adopted_run_is_no_start(self):
        self.delays.find_waiting(TASK, 3.0)
        self.delays.forget_others((), lambda task: make_run(1, 8.0, 8.0))
        self.assertThat(self.delays.starts_by_bound_s, Equals({}))

    def test_run_whose_worker_answers_again_is_no_start(self):
        run = make_run(1, 1.0, 1.1, reported_s=9.0)
        self.delays.find(TASK, 3.0)
        self.delays.forget_others((), lambda task: run)
        self.assertThat(self.delays.starts_by_bound_s, Equals({}))

    def test_other_tasks_have_no_fields(self):
        urgent = make_run(1, 1.0, step=Step(1, cpu_millis=1000))
        self.delays.note_end(urgent, 0.0, 2.0)
        self.assertThat(self.delays.describe_start(urgent, 0.0, 3.0, True), Equals({}))

"""Tests of the tasks of a step, which take memory only once they are used."""

from testtools import ExpectedException
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.down_time import by_down_time
from laburnumswitch.process.dispatch.down_time import update_ready_since
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.step_state import StepState


def make_step(count, **fields):
    return StepState(Step(count, **fields), "j1", 0, 0)


def indexes(tasks):
    return [task.key.index for task in tasks]


class TestTasks(TestCase):
    def test_tasks_that_wait_have_no_state(self):
        step = make_step(32_768)
        first = next(step.waiting())
        self.assertThat(first.key.index, Equals(0))
        self.assertThat(step.waiting_count(), Equals(32_768))
        self.assertThat(indexes(step.known_tasks()), Equals([0]))

    def test_done_tasks_have_no_state_but_are_known_to_be_done(self):
        step = make_step(4)
        step.mark_done(step.task(2))
        self.assertThat(indexes(step.known_tasks()), Equals([]))
        self.assertThat(step.task(2).is_done, Equals(True))
        self.assertThat(indexes(step.waiting()), Equals([0, 1, 3]))
        self.assertThat((step.done_count, step.done_bits()), Equals((1, 0b100)))

    def test_task_is_counted_as_done_once(self):
        step = make_step(2)
        step.mark_done(step.task(0))
        step.mark_done(step.task(0))
        self.assertThat((step.done_count, step.is_done()), Equals((1, False)))

    def test_gang_is_done_with_one_member(self):
        step = make_step(3, gang=True)
        step.task(0).active_run = step.task(1).active_run = 1
        step.task(0).active_run = 0
        step.mark_done(step.task(0))
        self.assertThat((step.is_done(), step.done_bits()), Equals((True, 0b111)))
        # The other one is still running.
        self.assertThat(indexes(step.known_tasks()), Equals([1]))

    def test_done_tasks_are_restored(self):
        step = make_step(10)
        step.restore_done(0b1000000101)
        self.assertThat(indexes(step.waiting()), Equals([1, 3, 4, 5, 6, 7, 8]))
        self.assertThat((step.done_count, step.done_bits()), Equals((3, 0b1000000101)))
        for bits in (-1, 1 << 10):
            with ExpectedException(ValueError):
                make_step(10).restore_done(bits)

    def test_tasks_that_start_while_they_are_listed_are_left_out(self):
        step = make_step(5)
        listed = []
        for task in step.waiting():
            listed.append(task.key.index)
            step.task(1).active_run = 1
            step.mark_done(step.task(3))
        self.assertThat(listed, Equals([0, 2, 4]))


class TestDownTime(TestCase):
    def setUp(self):
        super().setUp()
        self.step = make_step(6, long_running=True)
        self.step.first_ready_s = 10.0
        self.step.task(0).down_since_s = 30.0
        self.step.task(4).down_since_s = 5.0
        self.step.task(2).active_run = 1

    def test_task_that_is_down_longest_goes_first(self):
        self.assertThat(indexes(by_down_time(self.step)), Equals([4, 1, 3, 5, 0]))

    def test_step_waits_since_its_first_task_is_down(self):
        update_ready_since(self.step)
        self.assertThat(self.step.ready_since_s, Equals(5.0))
        self.step.task(4).active_run = 1
        self.step.active_count = 2
        update_ready_since(self.step)
        self.assertThat(self.step.ready_since_s, Equals(10.0))

    def test_tasks_to_explain_are_those_that_ran_and_the_first_others(self):
        self.assertThat(indexes(self.step.longest_waiting(3)), Equals([0, 4, 1]))
        self.assertThat(len(self.step.longest_waiting(100)), Equals(5))

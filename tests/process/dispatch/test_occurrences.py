"""Tests of the occurrences of schedules, which are made when they come due."""

from testtools import ExpectedException
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.due_jobs import DueJobs
from laburnumswitch.process.dispatch.due_jobs import NO_ROOM_RETRY_S
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.occurrences import MadeOccurrences
from laburnumswitch.process.dispatch.occurrences import MAX_LIVE_STEPS
from laburnumswitch.process.dispatch.occurrences import Occurrences

MINUTES_OF_A_YEAR = 365 * 24 * 60
STEP = Step(2, cpu_millis=1000)


def schedule(count, first_due_s=100.0, interval_s=60.0, steps=(STEP,)):
    return Submission("j1", "orders", "s", steps, 0.0, count, first_due_s, interval_s)


def numbers(occurrences):
    return [each.number for each in occurrences]


class TestOccurrences(TestCase):
    def setUp(self):
        super().setUp()
        self.job = Job(schedule(MINUTES_OF_A_YEAR))

    def finish(self, number):
        for index in range(STEP.count):
            task = self.job.task(TaskKey("j1", number, 0, index))
            self.job.begin_run(task, 1, "w1")
            self.job.end_run(task, None)
            self.job.mark_done(task)

    def make_due(self, wall_s, has_room=True):
        self.job.occurrences.make_due(wall_s, has_room)
        return numbers(self.job.occurrences)

    def test_only_those_that_are_due_exist(self):
        self.assertThat(self.make_due(99.9), Equals([]))
        self.assertThat(self.make_due(100.0), Equals([0]))
        self.assertThat(self.make_due(279.9), Equals([0, 1, 2]))

    def test_those_that_are_done_are_removed(self):
        self.make_due(280.0)
        self.finish(1)
        self.assertThat(numbers(self.job.occurrences.drop_done()), Equals([1]))
        self.assertThat(numbers(self.job.occurrences), Equals([0, 2, 3]))
        self.assertThat(self.job.task(TaskKey("j1", 1, 0, 0)), Equals(None))
        self.assertThat(self.job.state, Equals(JobState.RUNNING))

    def test_one_with_an_active_run_is_kept(self):
        gang = Step(2, gang=True)
        job = Job(schedule(5, steps=(gang,)))
        job.occurrences.make_due(100.0, True)
        first, second = (job.task(TaskKey("j1", 0, 0, index)) for index in range(2))
        job.begin_run(first, 1, "w1")
        job.begin_run(second, 1, "w1")
        job.end_run(first, None)
        job.mark_done(first)
        self.assertThat(job.occurrences.drop_done(), Equals([]))
        job.end_run(second, None)
        self.assertThat(numbers(job.occurrences.drop_done()), Equals([0]))

    def test_job_is_completed_with_its_last_occurrence(self):
        self.job = Job(schedule(3))
        self.make_due(1000.0)
        for number in (2, 0, 1):
            self.assertThat(self.job.state is JobState.COMPLETED, Equals(False))
            self.finish(number)
            self.job.occurrences.drop_done()
        self.assertThat(self.job.state, Equals(JobState.COMPLETED))

    def test_occurrences_that_are_overdue_are_made_as_earlier_ones_end(self):
        self.job = Job(schedule(10**9, 0.0, 0.0))
        self.assertThat(len(self.make_due(100.0)), Equals(MAX_LIVE_STEPS))
        self.finish(0)
        self.job.occurrences.drop_done()
        self.assertThat(self.make_due(100.0)[-1], Equals(MAX_LIVE_STEPS))

    def test_one_is_made_also_without_room_for_more(self):
        self.assertThat(self.make_due(1000.0, has_room=False), Equals([0]))

    def test_run_of_one_that_is_not_due_here_is_known(self):
        # An earlier owner with another clock may have started it.
        self.finish(7)
        self.job.occurrences.drop_done()
        self.assertThat(self.job.task(TaskKey("j1", 7, 0, 0)), Equals(None))
        self.assertThat(self.make_due(100.0 + 9 * 60.0), Equals([0, 1, 2, 3, 4, 5, 6, 8, 9]))

    def test_stored_state_does_not_grow_with_what_is_done(self):
        for number in range(1000):
            self.make_due(100.0 + number * 60.0)
            if number != 3:
                self.finish(number)
                self.job.occurrences.drop_done()
        self.finish(2000)
        self.job.occurrences.drop_done()
        made = self.job.occurrences.describe_made()
        self.assertThat(made, Equals(MadeOccurrences(1000, (3,), (2000,))))
        restored = Occurrences(self.job.submission)
        restored.restore_made(made)
        self.assertThat(numbers(restored), Equals([3]))
        self.assertThat(restored.find(999), Equals(None))
        self.assertThat(restored.find(2000), Equals(None))
        self.assertThat(restored.next_due_s(), Equals(100.0 + 1000 * 60.0))

    def test_stored_state_of_another_schedule_is_refused(self):
        for made in (MadeOccurrences(4), MadeOccurrences(1, (-1,)), MadeOccurrences(0, (), (3,))):
            with ExpectedException(ValueError):
                Occurrences(schedule(3)).restore_made(made)


class TestDueJobs(TestCase):
    def test_job_is_due_once_for_each_occurrence(self):
        due, job = DueJobs(), Job(schedule(MINUTES_OF_A_YEAR))
        for _ in range(3):
            due.make_due(job, 99.0, True)
        self.assertThat(due.take_due(99.9), Equals([]))
        self.assertThat(due.take_due(100.0), Equals(["j1"]))
        due.make_due(job, 100.0, True)
        self.assertThat(due.take_due(159.0), Equals([]))
        self.assertThat(due.take_due(160.0), Equals(["j1"]))

    def test_job_without_room_for_its_next_occurrence_is_tried_again(self):
        due, job = DueJobs(), Job(schedule(MINUTES_OF_A_YEAR))
        due.make_due(job, 1000.0, False)
        self.assertThat(due.take_due(1000.0), Equals([]))
        self.assertThat(due.take_due(1000.0 + NO_ROOM_RETRY_S), Equals(["j1"]))
        due.make_due(job, 1001.0, True)
        self.assertThat(len(job.occurrences), Equals(16))
        self.assertThat(len(due.take_due(1e12)), LessThan(2))

"""Tests of when the answers of a worker were made."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.answer_times import AnswerTimes
from laburnumswitch.process.dispatch.fleet import MIN_CLOCK_RATE
from laburnumswitch.process.dispatch.fleet import MIN_RESTART_S

# How long a renewal is held, in seconds, and the delay of a message to or from the worker.
HOLD_S = 1.0
DELAY_S = 0.002
ROUNDS = 100


class TestAnswerTimes(TestCase):
    def setUp(self):
        super().setUp()
        self.times = AnswerTimes(1.0 - MIN_CLOCK_RATE)
        self.now_s = 500.0
        self.worker_clock_s = 7.0

    def pass_time(self, passed_s, rate):
        self.now_s += passed_s
        self.worker_clock_s += passed_s * rate

    def answer(self, hold_s=HOLD_S, late_s=0.0, rate=1.0):
        """Return by how long before its arrival an answer was made, at most."""
        sent_s = self.now_s
        self.pass_time(DELAY_S + hold_s, rate)
        clock_s = self.worker_clock_s
        self.pass_time(DELAY_S + late_s, rate)
        return self.now_s - self.times.note(sent_s, self.now_s, clock_s)

    def reach(self, rate=1.0):
        self.answer(hold_s=0.0, rate=rate)

    def check_held_answers_are_new(self, rate=1.0):
        for _ in range(ROUNDS):
            self.assertThat(self.answer(rate=rate), LessThan(0.3 * MIN_RESTART_S))

    def test_first_answer_may_have_been_made_when_its_call_was_sent(self):
        self.assertThat(round(self.answer(), 6), Equals(HOLD_S + 2 * DELAY_S))

    def test_held_answers_are_made_when_they_arrive(self):
        self.reach()
        self.check_held_answers_are_new()

    def test_held_answers_of_the_slowest_clock_are_made_shortly_before_they_arrive(self):
        self.reach(MIN_CLOCK_RATE)
        self.check_held_answers_are_new(MIN_CLOCK_RATE)

    def test_late_answer_was_made_before_its_delay(self):
        for rate in (1.0, MIN_CLOCK_RATE):
            self.times = AnswerTimes(1.0 - MIN_CLOCK_RATE)
            self.reach(rate)
            self.check_held_answers_are_new(rate)
            late_s = 1.1 * MIN_RESTART_S
            age_s = self.answer(late_s=late_s, rate=rate)
            self.assertThat(age_s, GreaterThan(0.999 * late_s))

    def test_answers_in_a_row_are_late_by_their_own_delays(self):
        self.reach()
        for _ in range(5):
            self.assertThat(self.answer(late_s=0.4), GreaterThan(MIN_RESTART_S))
        self.assertThat(self.answer(), LessThan(0.3 * MIN_RESTART_S))

    def test_answer_to_a_call_that_was_just_sent_is_new(self):
        self.reach()
        self.pass_time(60.0, MIN_CLOCK_RATE)
        self.assertThat(self.answer(hold_s=0.0), LessThan(0.3 * MIN_RESTART_S))

    def test_lasting_delay_counts_as_the_least_one_after_a_time(self):
        """Ends of runs on a worker behind a slow link would never be acknowledged otherwise."""
        self.reach()
        ages_s = [self.answer(late_s=0.3) for _ in range(15)]
        self.assertThat(ages_s[0], GreaterThan(MIN_RESTART_S))
        self.assertThat(ages_s[-1], LessThan(MIN_RESTART_S))

    def test_answers_after_a_suspension_of_the_worker_are_new(self):
        """Its clock stands still for that time."""
        self.reach()
        self.pass_time(5.0, 0.0)
        self.answer(hold_s=0.0)
        self.check_held_answers_are_new()

    def test_answers_after_a_suspension_of_the_owner_are_new(self):
        """The owner's clock stands still for that time."""
        self.reach()
        self.worker_clock_s += 5.0
        self.check_held_answers_are_new()

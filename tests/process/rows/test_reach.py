"""Tests of whether a service counts as away."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.rows.reach import AWAY_AFTER_S
from laburnumswitch.process.rows.reach import Reach


class TestReach(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.reach = Reach(lambda: self.now_s)

    def test_service_without_answers_after_a_failure_is_away(self):
        self.reach.note_failure()
        self.assertThat(self.reach.is_away(), Equals(False))
        self.now_s = AWAY_AFTER_S + 0.1
        self.assertThat(self.reach.is_away(), Equals(True))
        self.reach.note_answer()
        self.assertThat(self.reach.is_away(), Equals(False))

    def test_process_that_was_paused_does_not_take_the_service_for_away(self):
        # The last answer is old after a pause, although every call was answered.
        self.now_s = 60.0
        self.assertThat(self.reach.is_away(), Equals(False))

    def test_single_failures_between_answers_do_not_count(self):
        for _ in range(10):
            self.now_s += 0.5
            self.reach.note_failure()
            self.reach.note_answer()
        self.assertThat(self.reach.is_away(), Equals(False))

from testtools import TestCase
from testtools.matchers import Contains

from scripts.interference_days import PolicyDays
from scripts.interference_days import render
from standin.fleet.interference_day import DayResult


class TestInterferenceDays(TestCase):
    def test_table_has_the_mean_of_each_policy(self):
        results = [DayResult(0.01, 0.9, 0.8, 6.0), DayResult(0.03, 0.7, 0.6, 8.0)]
        lines = render([PolicyDays("learned", results)])
        self.assertThat(lines, Contains("| learned | 2.0% | 80.0% | 70.0% | 7.0 s |"))

"""Tests of the emulated day with known interference."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from scripts.interference_days import POLICIES
from standin.fleet.interference_day import DayParameters
from standin.fleet.interference_day import InterferenceDay

# A short day in which every best-effort image harms every serving image.
HARMFUL_DAY = DayParameters(workers=8, harmful_share=1.0, jobs_per_s=0.8, duration_s=12.0)
HARMLESS_DAY = HARMFUL_DAY._replace(harmful_share=0.0)


def play(policy, parameters, seed=1, knows_coefficients=False):
    return InterferenceDay(parameters, seed, POLICIES[policy], knows_coefficients).run()


class TestInterferenceDay(TestCase):
    def test_days_of_one_seed_are_the_same(self):
        self.assertThat(play("learned", HARMFUL_DAY), Equals(play("learned", HARMFUL_DAY)))

    def test_throttling_and_placing_keep_tail_latencies_below_their_targets(self):
        anywhere = play("anywhere, never throttled", HARMFUL_DAY)
        learned = play("learned", HARMFUL_DAY)
        oracle = play("oracle", HARMFUL_DAY, knows_coefficients=True)
        self.assertThat(learned.over_share, LessThan(0.5 * anywhere.over_share))
        self.assertThat(oracle.over_share, LessThan(learned.over_share))

    def test_harmless_work_is_learned_to_be_harmless(self):
        anywhere = play("anywhere, never throttled", HARMLESS_DAY)
        learned = play("learned", HARMLESS_DAY)
        self.assertThat(learned.finished_share, GreaterThan(0.9 * anywhere.finished_share))

"""Tests that replay callers who ask for more long-running tasks than a fleet can hold."""

from random import Random

from testtools import TestCase
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from tests.process.dispatch.test_urgent_jobs import earned_share
from tests.process.dispatch.test_urgent_jobs import full_day
from tests.process.dispatch.test_urgent_jobs import LENGTH_S
from tests.process.dispatch.test_urgent_jobs import make_fleet
from tests.process.dispatch.test_urgent_jobs import TARGET_SHARE

# Days on which callers ask for 1.06 and 1.13 of all processors.
SEEDS = (4, 9)
# Users expect a task of an accepted long-running job to run again after this time, in seconds.
LONGEST_DOWN_S = 6.0


def long_running_waits_s(fleet):
    return [
        fleet.now_s - ready.step_state.ready_since_s
        for ready in fleet.owner.ready_step_by_key.values()
        if ready.step_state.step.long_running
    ]


class TestFleetIsNotOvercommitted(TestCase):
    def _replay(self, seed):
        fleet = make_fleet()
        finished = fleet.replay(full_day(Random(seed)), LENGTH_S)
        return fleet, finished

    def test_urgent_jobs_are_served_when_callers_ask_for_more_than_the_fleet(self):
        # Every long-running job was accepted, so what they had been promised left no room.
        for seed in SEEDS:
            _, finished = self._replay(seed)
            self.assertThat(earned_share(finished["check"]), GreaterThan(TARGET_SHARE), str(seed))

    def test_tasks_of_accepted_long_running_jobs_run(self):
        for seed in SEEDS:
            fleet, _ = self._replay(seed)
            longest_s = max(long_running_waits_s(fleet), default=0.0)
            self.assertThat(longest_s, LessThan(LONGEST_DOWN_S), str(seed))

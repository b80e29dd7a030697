"""Decisions on what may start within an organisation's limit."""

from hypothesis import given
from hypothesis.strategies import integers
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.quota import effective_limit
from laburnumswitch.process.dispatch.quota import HOLD_S
from laburnumswitch.process.dispatch.quota import holds_back_others
from laburnumswitch.process.dispatch.quota import never_fits
from laburnumswitch.process.dispatch.quota import NOTHING_RUNS
from laburnumswitch.process.dispatch.quota import OrganisationTotal
from laburnumswitch.process.dispatch.quota import startable_tasks
from laburnumswitch.size import count_fitting
from laburnumswitch.size import Size

TASK = Step(4, cpu_millis=1000, memory_mb=100)
LIMIT = effective_limit(Size(4000, 0, 0))
OVERAGE = 0.1


def startable(step, total, limit=LIMIT, count=4):
    return startable_tasks(step, count, total, limit, OVERAGE)


def running(cpu_millis, runs=1):
    return OrganisationTotal(Size(cpu_millis, 0, 0), runs)


class TestStartableTasks(TestCase):
    def test_as_many_as_fit(self):
        self.assertThat(startable(TASK, running(1500)), Equals(2))
        self.assertThat(startable(TASK, running(0), count=9), Equals(4))

    def test_each_resource_counts_and_0_is_unlimited(self):
        limit = effective_limit(Size(0, 250, 0))
        self.assertThat(startable(TASK, running(90_000), limit), Equals(2))
        self.assertThat(startable(TASK, OrganisationTotal(Size(0, 200, 0), 2), limit), Equals(0))

    def test_nothing_starts_above_a_lowered_limit(self):
        # Not even a task without processors, which would not raise the exceeded component.
        self.assertThat(startable(TASK._replace(cpu_millis=0), running(4001)), Equals(0))

    def test_task_above_the_limit_starts_alone(self):
        """It would wait for ever, although its job was accepted."""
        huge = TASK._replace(cpu_millis=9000)
        self.assertThat(startable(huge, NOTHING_RUNS), Equals(1))
        # A run without a size is a run, too.
        self.assertThat(startable(huge, running(0)), Equals(0))

    def test_gang_counts_as_a_whole(self):
        """Members that start one by one would bring the sum to the limit, and wait for the rest."""
        gang = TASK._replace(gang=True)
        self.assertThat(startable(gang, running(0)), Equals(4))
        self.assertThat(startable(gang, running(1)), Equals(0))
        # Alone, it may use the overage and one task.
        self.assertThat(startable(gang._replace(count=5), NOTHING_RUNS, count=5), Equals(5))
        self.assertThat(startable(gang._replace(count=6), NOTHING_RUNS, count=6), Equals(0))

    def test_gang_that_never_fits(self):
        gang = TASK._replace(gang=True)
        self.assertThat(never_fits(gang._replace(count=5), LIMIT, OVERAGE), Is(False))
        self.assertThat(never_fits(gang._replace(count=6), LIMIT, OVERAGE), Is(True))
        self.assertThat(never_fits(TASK._replace(count=100), LIMIT, OVERAGE), Is(False))
        gang = gang._replace(count=10**6)
        for unlimited in (Size(0, 0, 0), effective_limit(Size(0, 0, 0))):
            self.assertThat(never_fits(gang, unlimited, OVERAGE), Is(False))

    @given(integers(0, 5), integers(0, 30), integers(0, 30), integers(1, 9))
    def test_count_is_the_largest_that_fits(self, part, used, limit, count):
        size, used, limit = Size(part, 1), Size(used, 0), Size(limit, 99)
        expected = [n for n in range(1, count + 1) if used.plus(size.times(n)).fits(limit)]
        self.assertThat(count_fitting(size, used, limit, count), Equals(max(expected, default=0)))


class TestHold(TestCase):
    """Others wait for a step that is held back, for a time and if that can help."""

    LARGE = TASK._replace(cpu_millis=3000)

    def _holds(self, total, waited_s=0.5):
        return holds_back_others(self.LARGE, total, LIMIT, OVERAGE, waited_s)

    def test_only_for_a_time(self):
        self.assertThat(self._holds(running(2000, 2)), Is(True))
        self.assertThat(self._holds(running(2000, 2), HOLD_S + 0.5), Is(False))

    def test_not_if_long_running_tasks_use_the_limit(self):
        """Other tasks would wait in vain: what uses the limit does not end."""
        lasting = NOTHING_RUNS.plus_tasks(TASK._replace(long_running=True), 2)
        self.assertThat(self._holds(lasting), Is(False))

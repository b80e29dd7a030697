"""Tests of the bounds of the store's clock."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.rows.store_clock import MAX_RATE_DIFFERENCE
from laburnumswitch.process.rows.store_clock import StoreClock
from laburnumswitch.process.rows.store_clock import StoreTime
from standin.fleet.feed_table import FeedMemoryTable


class TestStoreClock(TestCase):
    def test_nothing_is_known_before_the_first_answer(self):
        clock = StoreClock()
        self.assertThat(clock.latest_s(1.0), Equals(None))
        self.assertThat(clock.earliest_s(1.0), Equals(None))
        self.assertThat(clock.local_after_s(1.0), Equals(None))

    def test_bounds_hold_for_clocks_that_drift_apart(self):
        for seed in range(200):
            random = Random(seed)
            rate = 1.0 + random.uniform(-MAX_RATE_DIFFERENCE, MAX_RATE_DIFFERENCE)
            begun_s = random.uniform(0.0, 1e6)
            clock = StoreClock()
            local_s = random.uniform(0.0, 1e5)
            for _ in range(random.randint(1, 20)):
                sent_s = local_s
                local_s += random.expovariate(2.0)
                read_s = random.uniform(sent_s, local_s)
                clock.note(sent_s, local_s, begun_s + read_s * rate)
                local_s += random.expovariate(0.2)
                for at_s in (local_s - 20.0, local_s, local_s + 20.0):
                    store_s = begun_s + at_s * rate
                    self.assertThat(clock.latest_s(at_s) + 1e-6 > store_s, Equals(True))
                    self.assertThat(clock.earliest_s(at_s) - 1e-6 < store_s, Equals(True))
                    self.assertThat(clock.local_after_s(store_s) + 1e-6 > at_s, Equals(True))

    def test_quick_answer_outweighs_a_long_poll(self):
        clock = StoreClock()
        clock.note(100.0, 100.01, 5000.0)
        clock.note(100.01, 101.51, 5001.5)
        self.assertThat(clock.latest_s(102.0) - clock.earliest_s(102.0), LessThan(0.02))

    def test_bounds_tighten_with_answers(self):
        clock = StoreClock()
        clock.note(0.0, 1.0, 500.0)
        before_s = clock.latest_s(2.0) - clock.earliest_s(2.0)
        clock.note(1.0, 1.01, 500.6)
        self.assertThat(before_s, GreaterThan(0.9))
        self.assertThat(clock.latest_s(2.0) - clock.earliest_s(2.0), LessThan(0.02))


class TestStoreTime(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.suspended_s = 0.0
        table = FeedMemoryTable(lambda: 7000.0 + self.now_s + self.suspended_s)
        self.time = StoreTime(
            table, lambda: self.now_s, lambda: 30.0 + self.now_s + self.suspended_s
        )
        self.time.load("fleet")

    def test_instant_is_the_same_on_both_clocks(self):
        self.now_s += 50.0
        store_s = self.time.to_store_s(152.0)
        self.assertThat(abs(store_s - 7152.0), LessThan(0.1))
        self.assertThat(abs(self.time.from_store_s(store_s) - 152.0), LessThan(0.2))

    def test_lease_granted_after_a_suspension_does_not_end_too_early(self):
        """The monotonic clock stands still while the VM is suspended, and the worker's does not."""
        self.suspended_s = 20.0
        self.now_s += 1.0
        self.assertThat(self.time.to_store_s(self.now_s + 6.0) >= 7127.0, Equals(True))
        self.assertThat(self.time.from_store_s(7127.0) >= self.now_s + 6.0, Equals(True))

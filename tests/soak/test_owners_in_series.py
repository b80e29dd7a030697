"""Tests of the series of owners, with entries and workers that only note what is done to them."""

import signal
from random import Random

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from soak.entries import EntryConfig
from soak.owners_in_series import draw_mix
from soak.owners_in_series import kill_owner
from soak.owners_in_series import Mix
from soak.owners_in_series import play_series
from soak.owners_in_series import Series
from soak.owners_in_series import stop_owner
from soak.owners_in_series import stop_owner_without_commit
from standin.fleet.feed_table import FeedMemoryTable

AT_ONCE = (0.0, 0.0)
SEEDS = range(200)


class FakeEntry:
    def __init__(self, vm_id):
        self.config = EntryConfig(vm_id, "", None, None, "", "")
        self.signals = []
        self.starts = 0

    def is_running(self):
        return not self.signals

    def signal(self, number):
        self.signals.append(number)

    def kill(self):
        if self.is_running():
            self.signals.append(signal.SIGKILL)

    def start(self):
        self.starts += 1


class FakeCluster:
    """Entries that take over one after the other as soon as the owner is told to stop."""

    def __init__(self, count):
        self.entries = [FakeEntry(f"front-{number}") for number in range(count)]
        self.table = FeedMemoryTable()

    def read_term(self):
        ended = sum(not entry.is_running() for entry in self.entries)
        owner = self.entries[ended].config.vm_id if ended < len(self.entries) else ""
        return Term(ended + 1, owner)

    def find_owner(self, term):
        return next((each for each in self.entries if each.config.vm_id == term.owner), None)


def play(cluster, *faults):
    series = Series(cluster, Random(1), [])
    mix = Mix(faults, AT_ONCE, False, False)

    def is_over():
        return not cluster.entries[-1].is_running()

    play_series(series, mix, is_over)
    return series


class TestSeries(TestCase):
    def test_each_owner_is_ended_once_after_the_one_before(self):
        cluster = FakeCluster(3)
        series = play(cluster, kill_owner)
        signals = [entry.signals for entry in cluster.entries]
        self.assertThat(signals, Equals([[signal.SIGKILL]] * 3))
        self.assertThat([entry.starts for entry in cluster.entries], Equals([1, 1, 1]))
        self.assertThat(
            [line.split()[1:] for line in series.injected],
            Equals([["kill_owner", f"front-{n}", "epoch", str(n + 1)] for n in range(3)]),
        )

    def test_kill_is_trouble_until_the_entry_is_started_again_and_a_stop_is_none(self):
        self.assertThat(len(play(FakeCluster(2), kill_owner).troubles), Equals(2))
        self.assertThat(play(FakeCluster(2), stop_owner).troubles, Equals([]))

    def test_only_the_commit_that_ends_a_term_is_lost(self):
        cluster = FakeCluster(1)
        series = Series(cluster, Random(1), [])
        stop_owner_without_commit(series, cluster.entries[0])
        kept = Transaction((), (Put(TERM_KEY, Term(1, "front-0")),))
        lost = Transaction((), (Put(TERM_KEY, Term(1, "")),))
        outcomes = [type(cluster.table.commit(each)) for each in (kept, lost)]
        self.assertThat(outcomes, Equals([Committed, OutcomeUnknown]))
        series.join()
        self.assertThat(len(series.troubles), Equals(1))
        self.assertThat(type(cluster.table.commit(lost)), Equals(Committed))


class TestMix(TestCase):
    def test_seed_draws_the_same_mix_again(self):
        mixes = [draw_mix(Random(seed)) for seed in SEEDS]
        self.assertThat([draw_mix(Random(seed)) for seed in SEEDS], Equals(mixes))

    def test_some_seeds_have_planned_work_only(self):
        planned = [mix for mix in map(draw_mix, map(Random, SEEDS)) if mix.faults == (stop_owner,)]
        self.assertThat({mix.loses_workers for mix in planned}, Equals({False}))
        self.assertThat({mix.releases_workers for mix in planned}, Equals({True}))

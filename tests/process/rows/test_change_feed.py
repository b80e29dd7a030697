"""Reads of a followed table after outages, lost history and outdated answers."""

from time import time

from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.change_feed import Feed
from laburnumswitch.process.rows.change_feed import follow_table
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import Row

DOWN = Unavailable("down")
INTERVAL_S = 0.5


def changes_of(*versions):
    """Return changes of one row."""
    return Changes(tuple(Row("op/config", version, {}) for version in versions), versions[-1], 0.0)


class ScriptedTable:
    """Table that returns scripted answers and records the requested versions."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requested_versions = []

    def load(self, name):
        self.requested_versions.append("all")
        return self.answers.pop(0)

    def follow(self, name, version, wait_s):
        self.requested_versions.append(version)
        return self.answers.pop(0)


class TestFollowTable(TestCase):
    def _follow(self, version, *answers, only_newest=False):
        self.table = ScriptedTable(*answers)
        self.log = DecisionLog("vm-1", time, 100)
        self.applied = []
        self.pauses_s = []
        follow_table(
            Feed(self.table, "jobs", 1.0, INTERVAL_S, only_newest),
            version,
            lambda changes, is_whole: self.applied.append((changes.version, is_whole)),
            self.log,
            self.pauses_s.append,
            # The last answer ends the script and is not applied.
            lambda: not self.table.answers,
        )
        return [decode(line)["event"] for line in self.log.take().splitlines()]

    def test_whole_table_is_read_first_and_changes_after_it(self):
        self._follow(None, Changes((), 5, 0.0), Changes((), 7, 0.0), DOWN)
        self.assertThat(self.applied, Equals([(5, True), (7, False)]))
        self.assertThat(self.table.requested_versions, Equals(["all", 5, 7]))

    def test_lost_history_reloads_the_whole_table(self):
        lost = HistoryLost("jobs", 3)
        events = self._follow(3, lost, Changes((), 9, 0.0), DOWN)
        self.assertThat(self.table.requested_versions, Equals([3, "all", 9]))
        self.assertThat(self.applied, Equals([(9, True)]))
        self.assertThat(events, Equals(["feed_history_lost"]))

    def test_outage_and_its_end_are_logged_once(self):
        events = self._follow(3, DOWN, DOWN, Changes((), 4, 0.0), DOWN)
        self.assertThat(events, Equals(["feed_lost", "feed_regained"]))
        self.assertThat(self.table.requested_versions, Equals([3, 3, 3, 4]))

    def test_answer_of_a_lagging_store_does_not_move_the_version_back(self):
        self._follow(8, Changes((), 6, 0.0), Changes((), 9, 0.0), DOWN)
        self.assertThat(self.table.requested_versions, Equals([8, 8, 9]))

    def test_rest_of_a_table_that_exceeds_one_answer_is_read_without_a_pause(self):
        # The store returns 500 rows at a time. With 3,000 workers that write each second, one such
        # answer every half a second fell behind, and draining workers got starts.
        self._follow(
            3,
            Changes((), 4, 0.0, has_more=True),
            Changes((), 5, 0.0, has_more=True),
            Changes((), 6, 0.0),
            Changes((), 7, 0.0),
            DOWN,
        )
        self.assertThat(self.table.requested_versions, Equals([3, 4, 5, 6, 7]))
        # Before the reads from the versions 3, 6 and 7.
        self.assertThat(self.pauses_s, Equals([INTERVAL_S] * 3))

    def test_changes_missed_during_an_outage_are_not_read_if_only_the_newest_rows_count(self):
        """All changes of a large row took longer to read than the next ones took to be made."""
        self._follow(3, DOWN, changes_of(9), changes_of(9), changes_of(10), DOWN, only_newest=True)
        self.assertThat(self.table.requested_versions, Equals([3, "all", "all", 9, 10]))
        self.assertThat(self.applied, Equals([(9, True), (9, True), (10, False)]))

    def test_newest_rows_are_read_again_while_they_change_during_the_read(self):
        answers = (changes_of(4, 5), changes_of(7), changes_of(9), changes_of(9))
        self._follow(3, *answers, DOWN, only_newest=True)
        self.assertThat(self.table.requested_versions, Equals([3, "all", "all", "all", 9]))

from time import time

from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.following import Feed
from laburnumswitch.process.rows.following import follow
from laburnumswitch.process.rows.table import Changes

DOWN = Unavailable("down")


class ScriptedTable:
    """Answers each read with the next entry of a script, and remembers the versions asked for."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    def load(self, name):
        self.asked.append("all")
        return self.answers.pop(0)

    def follow(self, name, version, wait_s):
        self.asked.append(version)
        return self.answers.pop(0)


class TestFollow(TestCase):
    def _follow(self, version, *answers):
        self.table = ScriptedTable(*answers)
        self.log = DecisionLog("vm-1", time, 100)
        self.applied = []
        follow(
            Feed(self.table, "jobs", wait_s=1.0),
            version,
            lambda changes, is_whole: self.applied.append((changes.version, is_whole)),
            self.log,
            lambda seconds: None,
            # The last entry ends the script and is not applied.
            lambda: not self.table.answers,
        )
        return [decode(line)["event"] for line in self.log.take().splitlines()]

    def test_whole_table_is_read_first_and_changes_after_it(self):
        self._follow(None, Changes((), 5, 0.0), Changes((), 7, 0.0), DOWN)
        self.assertThat(self.applied, Equals([(5, True), (7, False)]))
        self.assertThat(self.table.asked, Equals(["all", 5, 7]))

    def test_dropped_history_is_read_again_whole(self):
        lost = HistoryLost("jobs", 3)
        events = self._follow(3, lost, Changes((), 9, 0.0), DOWN)
        self.assertThat(self.table.asked, Equals([3, "all", 9]))
        self.assertThat(self.applied, Equals([(9, True)]))
        self.assertThat(events, Equals(["feed_history_lost"]))

    def test_outage_is_logged_once_with_its_end(self):
        events = self._follow(3, DOWN, DOWN, Changes((), 4, 0.0), DOWN)
        self.assertThat(events, Equals(["feed_lost", "feed_regained"]))
        self.assertThat(self.table.asked, Equals([3, 3, 3, 4]))

    def test_answer_from_a_store_that_is_behind_moves_nothing_back(self):
        self._follow(8, Changes((), 6, 0.0), Changes((), 9, 0.0), DOWN)
        self.assertThat(self.table.asked, Equals([8, 8, 9]))

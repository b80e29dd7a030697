"""Tests of the registration of worker processes."""

from base64 import b64encode

from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import FeedMemoryTable
from standin.fleet.registration import Registration
from standin.fleet.registration import SILENCE_S
from standin.server import Call


def heartbeat(seq, **fields):
    value = b64encode(encode({"seq": seq, **fields})).decode()
    row = {"table": "servers", "part": "", "key": "w1", "value": value}
    return Call("POST", "/v1/rows-tx", {}, {}, encode({"puts": [row]}))


class TestRegistration(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.table = FeedMemoryTable()
        self.registration = Registration(self.table, lambda: self.now_s)

    def _stored(self):
        return self.table.read(("servers/w1",))["servers/w1"].value

    def test_row_is_removed_after_three_missed_heartbeats_and_comes_back(self):
        self.registration.handle(heartbeat(1))
        self.now_s = SILENCE_S
        self.registration.remove_silent()
        self.assertThat(self._stored(), Equals({"seq": 1}))
        self.now_s = SILENCE_S + 0.1
        self.registration.remove_silent()
        self.assertThat(self._stored(), Equals(None))
        self.registration.handle(heartbeat(2))
        self.assertThat(self._stored(), Equals({"seq": 2}))

    def test_store_that_is_down_takes_no_heartbeat_and_removes_nothing(self):
        self.registration.handle(heartbeat(1))
        self.table.down = True
        self.assertThat(self.registration.handle(heartbeat(2)).status, Equals(503))
        self.now_s = SILENCE_S + 0.1
        self.registration.remove_silent()
        self.table.down = False
        self.assertThat(self._stored(), Equals({"seq": 1}))
        self.registration.remove_silent()
        self.assertThat(self._stored(), Equals(None))

    def test_heartbeat_leaves_the_faults_to_the_commits_of_entries(self):
        self.table.delayed_commits = self.table.lose_answers = 1
        self.assertThat(self.registration.handle(heartbeat(1)).status, Equals(200))
        self.assertThat(self._stored(), Equals({"seq": 1}))
        outcome = self.table.commit(Transaction((), (Put("rows/a", 1),)))
        self.assertThat(isinstance(outcome, OutcomeUnknown), Equals(True))
        self.assertThat(self.table.delayed_commits, Equals(0))

    def test_row_of_a_worker_that_has_left_is_removed_at_once_or_once_the_store_answers(self):
        self.registration.handle(heartbeat(1))
        self.registration.remove("servers/w1")
        self.assertThat(self._stored(), Equals(None))
        self.registration.handle(heartbeat(2))
        self.table.down = True
        self.registration.remove("servers/w1")
        self.table.down = False
        self.assertThat(self._stored(), Equals({"seq": 2}))
        self.registration.remove_silent()
        self.assertThat(self._stored(), Equals(None))

    def test_heartbeats_of_a_zone_that_is_cut_off_do_not_arrive(self):
        self.registration.handle(heartbeat(1, zone="a"))
        self.registration.cut_zones.add("a")
        self.assertThat(self.registration.handle(heartbeat(2, zone="a")).status, Equals(503))
        self.assertThat(self._stored(), Equals({"seq": 1, "zone": "a"}))
        self.assertThat(self.registration.handle(heartbeat(3, zone="b")).status, Equals(200))

"""Liveness of peers under late, missing and repeated heartbeats."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.peers.membership import HEARTBEAT_EXPIRY_S
from laburnumswitch.process.peers.membership import Membership


def make_heartbeat(vm_id: str, clock: int, **fields: object) -> Heartbeat:
    return Heartbeat(vm_id, "boot-1", "north", clock)._replace(**fields)


class TestMembership(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.membership = Membership("entry-1", lambda: self.now_s)

    def test_entry_itself_is_always_live(self):
        self.assertThat(self.membership.live_entries(), Equals(("entry-1",)))

    def test_silent_peer_is_no_longer_live(self):
        self.membership.record_heartbeat(make_heartbeat("entry-2", 1))
        self.assertThat(self.membership.live_entries(), Equals(("entry-1", "entry-2")))
        self.now_s += HEARTBEAT_EXPIRY_S + 0.01
        self.assertThat(self.membership.live_entries(), Equals(("entry-1",)))

    def test_leaving_peer_has_a_heartbeat_but_is_not_live(self):
        self.membership.record_heartbeat(make_heartbeat("entry-2", 1, leaving=True))
        self.assertThat(self.membership.has_recent_heartbeat("entry-2"), Equals(True))
        self.assertThat(self.membership.live_entries(), Equals(("entry-1",)))

    def test_late_heartbeat_does_not_replace_a_newer_one(self):
        self.membership.record_heartbeat(make_heartbeat("entry-2", 9, configuration_version=4))
        self.membership.record_heartbeat(make_heartbeat("entry-2", 5, configuration_version=3))
        self.assertThat(self.membership.heartbeats()[0].configuration_version, Equals(4))

    def test_restarted_peer_replaces_its_earlier_boot(self):
        self.membership.record_heartbeat(make_heartbeat("entry-2", 900))
        self.membership.record_heartbeat(make_heartbeat("entry-2", 1, boot="boot-2"))
        self.assertThat(self.membership.heartbeats()[0].boot, Equals("boot-2"))

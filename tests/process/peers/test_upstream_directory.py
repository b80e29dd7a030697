"""Known upstreams and zone states when messages arrive out of order."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.peers.heartbeat import ShardUpstreams
from laburnumswitch.process.peers.heartbeat import ZoneHint
from laburnumswitch.process.peers.upstream_directory import UpstreamDirectory
from laburnumswitch.upstream import Upstream


def make_upstream(upstream_id: str) -> Upstream:
    return Upstream(upstream_id, "orders", "127.0.0.1:9000", "north", "worker-1", 8)


class TestUpstreamDirectory(TestCase):
    def test_upstreams_of_several_shards_are_combined(self):
        directory = UpstreamDirectory()
        directory.apply(ShardUpstreams(0, 1, 1, (make_upstream("a.1"),)))
        directory.apply(ShardUpstreams(1, 1, 1, (make_upstream("b.1"),)))
        found = {upstream.upstream_id for upstream in directory.upstreams_of("orders")}
        self.assertThat(found, Equals({"a.1", "b.1"}))

    def test_older_epoch_never_replaces_a_newer_one(self):
        directory = UpstreamDirectory()
        directory.apply(ShardUpstreams(0, 2, 1, (make_upstream("a.2"),)))
        directory.apply(ShardUpstreams(0, 1, 99, (make_upstream("a.1"),)))
        found = [upstream.upstream_id for upstream in directory.upstreams_of("orders")]
        self.assertThat(found, Equals(["a.2"]))

    def test_unknown_revision_keeps_the_known_upstreams(self):
        directory = UpstreamDirectory()
        directory.apply(ShardUpstreams(0, 1, 4, (make_upstream("a.1"),)))
        directory.apply(ShardUpstreams(0, 2, 0, ()))
        self.assertThat(len(directory.upstreams_of("orders")), Equals(1))
        directory.apply(ShardUpstreams(0, 2, 1, ()))
        self.assertThat(directory.upstreams_of("orders"), Equals(()))

    def test_zone_state_follows_the_highest_version(self):
        directory = UpstreamDirectory()
        directory.apply_zones([ZoneHint("north", "out", 7)])
        directory.apply_zones([ZoneHint("north", "in", 5)])
        self.assertThat(directory.zone_is_out_of_service("north"), Equals(True))
        self.assertThat(directory.zone_is_out_of_service("south"), Equals(False))

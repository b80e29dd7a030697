"""Heartbeats between two entries: when a peer is called, and what is fetched from it."""

from gevent.queue import Queue
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.operating.admin import AdminContext
from laburnumswitch.process.operating.admin import make_admin_server
from laburnumswitch.process.operating.admin import TrafficCounter
from laburnumswitch.process.operating.entry_handlers import make_peer_sync_handler
from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.peers.heartbeat import merge_shard_hints
from laburnumswitch.process.peers.heartbeat import ShardUpstreams
from laburnumswitch.process.peers.heartbeat import TeamUsageReport
from laburnumswitch.process.peers.membership import Membership
from laburnumswitch.process.peers.peer_sync import PeerContext
from laburnumswitch.process.peers.peer_sync import PeerSync
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.shard_hint import TeamUsage
from laburnumswitch.process.peers.upstream_directory import UpstreamDirectory
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.size import Size
from laburnumswitch.upstream import Upstream

UPSTREAM = Upstream("orders:0.1", "orders", "127.0.0.1:9", "north", "worker-1", 8)
TEAM_USAGE = TeamUsage("shop", Size(2000, 100))


class EntryNode:
    """One entry that serves the endpoints for peers and calls its peers ``rounds`` times."""

    def __init__(self, vm_id: str, clock, hints: tuple[ShardHint, ...] = ()) -> None:
        self.vm_id = vm_id
        self.listed: tuple[Vm, ...] = ()
        self.sent = 0
        self.rounds = 0
        self.hints = hints
        timeline = Timeline(vm_id, "north", lambda: 0.0)
        self.context = PeerContext(
            vm_id,
            Membership(vm_id, clock),
            UpstreamDirectory(),
            timeline,
            lambda: self.listed,
            self.make_heartbeat,
            Client,
            clock,
            lambda seconds: None,
            self.is_stopping,
        )
        self.peers = PeerSync(self.context)
        self.woken = Queue()
        handler = make_peer_sync_handler(
            self.context,
            lambda version, digest: None,
            lambda: TeamUsageReport(vm_id, (TEAM_USAGE,)),
            lambda shard: self.woken.put(shard) or True,
        )
        admin = AdminContext({"peer": handler}, lambda key: True, TrafficCounter())
        self.server = make_admin_server("127.0.0.1:0", admin)
        self.server.start()

    @property
    def vm(self) -> Vm:
        address = f"127.0.0.1:{self.server.server_port}"
        return Vm(self.vm_id, "entry", address, "north", "live")

    def make_heartbeat(self) -> Heartbeat:
        self.sent += 1
        return Heartbeat(self.vm_id, "boot", "north", self.sent, shards=self.hints)

    def is_stopping(self) -> bool:
        self.rounds -= 1
        return self.rounds < 0

    def run_peer_once(self, vm: Vm) -> None:
        self.listed = (vm,)
        self.rounds = 1
        self.peers._sync_with_peer(vm)


class TestPeerSync(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.first = EntryNode("entry-1", lambda: self.now_s)
        self.second = EntryNode("entry-2", lambda: self.now_s, (ShardHint(3, 1, 1),))
        upstreams = ShardUpstreams(3, 1, 1, (UPSTREAM,))
        self.second.context.directory.apply(upstreams)
        for node in (self.first, self.second):
            self.addCleanup(node.server.stop)

    def test_one_exchange_updates_both_entries(self):
        self.first.run_peer_once(self.second.vm)
        self.assertThat(self.first.context.membership.has_recent_heartbeat("entry-2"), Equals(True))
        self.assertThat(
            self.second.context.membership.has_recent_heartbeat("entry-1"), Equals(True)
        )
        self.second.run_peer_once(self.first.vm)
        self.assertThat((self.first.sent, self.second.sent), Equals((1, 1)))

    def test_peer_without_a_recent_heartbeat_is_called(self):
        self.first.run_peer_once(self.second.vm)
        self.now_s += 1.0
        self.second.run_peer_once(self.first.vm)
        self.assertThat((self.first.sent, self.second.sent), Equals((2, 2)))

    def test_newer_upstreams_and_team_usage_are_fetched_whoever_called(self):
        self.second.run_peer_once(self.first.vm)
        self.first.run_peer_once(self.second.vm)
        found = self.first.context.directory.upstreams_of("orders")
        self.assertThat(found, Equals((UPSTREAM,)))
        self.assertThat(self.first.peers.team_usage_by_vm_id, Equals({"entry-2": (TEAM_USAGE,)}))

    def test_answer_of_another_vm_at_the_address_is_ignored(self):
        self.first.run_peer_once(self.second.vm._replace(vm_id="entry-3"))
        self.assertThat(
            self.first.context.membership.has_recent_heartbeat("entry-3"), Equals(False)
        )

    def test_only_the_owner_of_a_shard_is_woken(self):
        self.first.run_peer_once(self.second.vm)
        self.first.peers.wake_owner(8)
        self.first.peers.wake_owner(3)
        self.assertThat(self.second.woken.get(timeout=10), Equals(3))
        self.assertThat(self.second.woken.empty(), Equals(True))


class TestMergeShardHints(TestCase):
    def test_higher_epoch_wins_and_team_usage_counts_once(self):
        own = (ShardHint(1, 5, 1),)
        shards = (ShardHint(1, 4, 9), ShardHint(2, 1, 1), ShardHint(3, 1, 1))
        heartbeat = Heartbeat("entry-2", "boot", "north", 1, shards=shards)
        joined = merge_shard_hints(own, (heartbeat,), {"entry-2": (TEAM_USAGE,)})
        self.assertThat(joined[1].epoch, Equals(5))
        uses = [use for hint in joined.values() for use in hint.used_by_team]
        self.assertThat(uses, Equals([TEAM_USAGE]))

"""One greenlet per peer, which exchanges heartbeats and fetches what has changed at the peer."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from gevent import Greenlet
from gevent import spawn

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.peers.heartbeat import ShardUpstreams
from laburnumswitch.process.peers.heartbeat import TeamUsageReport
from laburnumswitch.process.peers.membership import Membership
from laburnumswitch.process.peers.shard_hint import TeamUsage
from laburnumswitch.process.peers.upstream_directory import UpstreamDirectory
from laburnumswitch.process.peers.vms import Vm

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 0.8
# A peer is not called if its last heartbeat is more recent than this, in seconds.
HEARTBEAT_DUE_AFTER_S = 0.7
TEAM_USAGE_INTERVAL_S = 5.0
STATUS_OK = 200


class PeerContext(NamedTuple):
    """Dependencies of ``PeerSync`` and of the endpoints for peers.

    ``listed_entries`` returns the entries of the platform's list, this one included.
    """

    vm_id: str
    membership: Membership
    directory: UpstreamDirectory
    timeline: Timeline
    listed_entries: Callable[[], tuple[Vm, ...]]
    make_heartbeat: Callable[[], Heartbeat]
    make_client: Callable[[str], Client]
    clock: Callable[[], float]
    sleep: Callable[[float], None]
    is_stopped: Callable[[], bool]


def receive_heartbeat(context: PeerContext, heartbeat: Heartbeat) -> None:
    """Process a peer's heartbeat, whether it was sent as request or as response."""
    context.timeline.observe(heartbeat.clock)
    context.membership.record_heartbeat(heartbeat)
    context.directory.apply_zones(heartbeat.zones)


class PeerSync:
    """Greenlets and clients of all peers, and the team usage that the peers reported."""

    def __init__(self, context: PeerContext) -> None:
        self.heartbeats_missed = 0
        self.team_usage_by_vm_id: dict[str, tuple[TeamUsage, ...]] = {}
        self._context = context
        self._greenlet_by_vm_id: dict[str, Greenlet] = {}
        self._client_by_address: dict[str, Client] = {}
        self._team_usage_due_by_vm_id: dict[str, float] = {}

    def run(self) -> None:
        """Keep one greenlet running for each listed peer until the process stops."""
        while not self._context.is_stopped():
            for vm in self._context.listed_entries():
                greenlet = self._greenlet_by_vm_id.get(vm.vm_id)
                if vm.vm_id != self._context.vm_id and (greenlet is None or greenlet.dead):
                    self._greenlet_by_vm_id[vm.vm_id] = spawn(self._sync_with_peer, vm)
            self._context.membership.forget_expired()
            self._context.sleep(HEARTBEAT_INTERVAL_S)

    def fetch_configuration(self, version: int, digest: str) -> bytes | Failure:
        """Return the document of a configuration version from any peer that announces it."""
        name = f"configuration/{version}-{digest}"
        for heartbeat in self._context.membership.heartbeats():
            if heartbeat.configuration_version != version:
                continue
            vm = self._find_listed(heartbeat.vm_id)
            if vm is None:
                continue
            response = self._client(vm.address).call("GET", f"/peer/{name}")
            if not isinstance(response, Failure) and response.status == STATUS_OK:
                return response.body
        return NotFound(name)

    def wake_owner(self, shard: int) -> None:
        """Notify the owner of a shard of a new inbox row, without waiting for the answer."""
        for heartbeat in self._context.membership.heartbeats():
            vm = self._find_listed(heartbeat.vm_id)
            if vm is not None and any(hint.shard == shard for hint in heartbeat.shards):
                spawn(self._client(vm.address).call, "POST", f"/peer/wake/{shard}")

    def clients(self) -> tuple[Client, ...]:
        """Return the clients of peers with a recent heartbeat."""
        live_ids = {heartbeat.vm_id for heartbeat in self._context.membership.heartbeats()}
        peers = [vm for vm in self._context.listed_entries() if vm.vm_id in live_ids]
        return tuple(self._client(vm.address) for vm in peers)

    def control_bytes(self) -> int:
        """Return the bytes sent to and received from the peers so far."""
        return sum(client.control_bytes() for client in self._client_by_address.values())

    def _sync_with_peer(self, vm: Vm) -> None:
        membership = self._context.membership
        while not self._context.is_stopped() and self._find_listed(vm.vm_id) == vm:
            # An exchange carries both heartbeats: no call is needed soon after one by the peer.
            if membership.seconds_since_heartbeat(vm.vm_id) >= HEARTBEAT_DUE_AFTER_S:
                self._exchange_heartbeats(vm)
            heartbeat = membership.latest_heartbeat(vm.vm_id)
            if heartbeat is not None:
                self._fetch_upstreams(vm, heartbeat)
                self._fetch_team_usage(vm)
            self._context.sleep(HEARTBEAT_INTERVAL_S)

    def _exchange_heartbeats(self, vm: Vm) -> None:
        answer = call_json(
            self._client(vm.address),
            "POST",
            "/peer/heartbeat",
            self._context.make_heartbeat(),
            Heartbeat,
            HEARTBEAT_TIMEOUT_S,
        )
        if isinstance(answer, Heartbeat) and answer.vm_id == vm.vm_id:
            receive_heartbeat(self._context, answer)
        else:
            self.heartbeats_missed += 1

    def _fetch_team_usage(self, vm: Vm) -> None:
        now_s = self._context.clock()
        if now_s < self._team_usage_due_by_vm_id.get(vm.vm_id, now_s):
            return
        self._team_usage_due_by_vm_id[vm.vm_id] = now_s + TEAM_USAGE_INTERVAL_S
        answer = call_json(self._client(vm.address), "GET", "/peer/teams", None, TeamUsageReport)
        if isinstance(answer, TeamUsageReport):
            self.team_usage_by_vm_id[vm.vm_id] = answer.used_by_team

    def _fetch_upstreams(self, vm: Vm, heartbeat: Heartbeat) -> None:
        directory = self._context.directory
        for hint in heartbeat.shards:
            if not directory.is_outdated(hint.shard, hint.epoch, hint.upstream_revision):
                continue
            answer = call_json(
                self._client(vm.address),
                "GET",
                f"/peer/shard/{hint.shard}",
                None,
                ShardUpstreams,
            )
            if isinstance(answer, ShardUpstreams):
                directory.apply(answer)

    def _client(self, address: str) -> Client:
        client = self._client_by_address.get(address)
        if client is None:
            client = self._client_by_address[address] = self._context.make_client(address)
        return client

    def _find_listed(self, vm_id: str) -> Vm | None:
        by_id: Mapping[str, Vm] = {vm.vm_id: vm for vm in self._context.listed_entries()}
        return by_id.get(vm_id)

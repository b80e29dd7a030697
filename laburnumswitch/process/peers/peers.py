"""One task for each peer, which sends heartbeats and fetches what this entry is behind on."""

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
from laburnumswitch.process.peers.directory import Directory
from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.peers.heartbeat import ShardUpstreams
from laburnumswitch.process.peers.heartbeat import TeamUses
from laburnumswitch.process.peers.hint import TeamUse
from laburnumswitch.process.peers.membership import Membership
from laburnumswitch.process.peers.vms import Vm

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 0.8
CALL_AFTER_SILENCE_S = 0.7
TEAM_USES_INTERVAL_S = 5.0
STATUS_OK = 200


class PeerContext(NamedTuple):
    """What the tasks of the peers work with."""

    vm_id: str
    membership: Membership
    directory: Directory
    timeline: Timeline
    entries: Callable[[], tuple[Vm, ...]]
    make_heartbeat: Callable[[], Heartbeat]
    make_client: Callable[[str], Client]
    clock: Callable[[], float]
    sleep: Callable[[float], None]
    stopping: Callable[[], bool]


def receive_heartbeat(context: PeerContext, heartbeat: Heartbeat) -> None:
    """Take in what a peer told, whichever side of the exchange it was on."""
    context.timeline.observe(heartbeat.clock)
    context.membership.hear(heartbeat)
    context.directory.hear_zones(heartbeat.zones)


class Peers:
    """The tasks, the clients and what teams use, by peer."""

    def __init__(self, context: PeerContext) -> None:
        self.heartbeats_missed = 0
        self.team_uses_by_id: dict[str, tuple[TeamUse, ...]] = {}
        self._context = context
        self._task_by_id: dict[str, Greenlet] = {}
        self._client_by_address: dict[str, Client] = {}
        self._team_uses_due_by_id: dict[str, float] = {}

    def run(self) -> None:
        """Keep one task running for each listed peer until the process stops."""
        while not self._context.stopping():
            for vm in self._context.entries():
                task = self._task_by_id.get(vm.vm_id)
                if vm.vm_id != self._context.vm_id and (task is None or task.dead):
                    self._task_by_id[vm.vm_id] = spawn(self._run_peer, vm)
            self._context.membership.forget_silent()
            self._context.sleep(HEARTBEAT_INTERVAL_S)

    def fetch_configuration(self, version: int, digest: str) -> bytes | Failure:
        """Return the document of a version from any peer that says it has it."""
        name = f"configuration/{version}-{digest}"
        for heartbeat in self._context.membership.heartbeats():
            if heartbeat.configuration_version != version:
                continue
            vm = self._listed(heartbeat.vm_id)
            if vm is None:
                continue
            response = self._client(vm.address).call("GET", f"/peer/{name}")
            if not isinstance(response, Failure) and response.status == STATUS_OK:
                return response.body
        return NotFound(name)

    def wake(self, shard: int) -> None:
        """Tell the owner of a shard that there is something in its inbox; returns at once."""
        for heartbeat in self._context.membership.heartbeats():
            vm = self._listed(heartbeat.vm_id)
            if vm is not None and any(hint.shard == shard for hint in heartbeat.shards):
                spawn(self._client(vm.address).call, "POST", f"/peer/wake/{shard}")

    def clients(self) -> tuple[Client, ...]:
        """Return the clients of the peers that are heard."""
        heard = {heartbeat.vm_id for heartbeat in self._context.membership.heartbeats()}
        peers = [vm for vm in self._context.entries() if vm.vm_id in heard]
        return tuple(self._client(vm.address) for vm in peers)

    def control_bytes(self) -> int:
        """Return the bytes sent to and received from the peers so far."""
        return sum(client.control_bytes() for client in self._client_by_address.values())

    def _run_peer(self, vm: Vm) -> None:
        membership = self._context.membership
        while not self._context.stopping() and self._listed(vm.vm_id) == vm:
            # An exchange informs both ends, so whoever was heard just now need not be called.
            if membership.silence_s(vm.vm_id) >= CALL_AFTER_SILENCE_S:
                self._exchange_heartbeats(vm)
            heartbeat = membership.newest(vm.vm_id)
            if heartbeat is not None:
                self._fetch_upstreams(vm, heartbeat)
                self._fetch_team_uses(vm)
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

    def _fetch_team_uses(self, vm: Vm) -> None:
        now_s = self._context.clock()
        if now_s < self._team_uses_due_by_id.get(vm.vm_id, now_s):
            return
        self._team_uses_due_by_id[vm.vm_id] = now_s + TEAM_USES_INTERVAL_S
        answer = call_json(self._client(vm.address), "GET", "/peer/teams", None, TeamUses)
        if isinstance(answer, TeamUses):
            self.team_uses_by_id[vm.vm_id] = answer.used_by_team

    def _fetch_upstreams(self, vm: Vm, heartbeat: Heartbeat) -> None:
        directory = self._context.directory
        for hint in heartbeat.shards:
            if not directory.is_behind(hint.shard, hint.epoch, hint.upstream_revision):
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

    def _listed(self, vm_id: str) -> Vm | None:
        by_id: Mapping[str, Vm] = {vm.vm_id: vm for vm in self._context.entries()}
        return by_id.get(vm_id)

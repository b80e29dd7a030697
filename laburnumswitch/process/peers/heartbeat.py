"""Messages between entries; they may be late or outdated, so no safety decision relies on them."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.shard_hint import TeamUsage
from laburnumswitch.upstream import Upstream

MESSAGE_FORMAT = 1


class ZoneHint(NamedTuple):
    """Last known state of an availability zone, and the version of its row in the table."""

    name: str
    state: str
    version: int


class Heartbeat(NamedTuple):
    """Message that entries exchange with each peer about once a second.

    ``boot`` identifies the start of the sender's process, and ``clock`` is the sender's logical
    clock. ``leaving`` is set while the sender drains. The shard hints omit team usage, which peers
    fetch less often as ``TeamUsageReport``.
    """

    vm_id: str
    boot: str
    availability_zone: str
    clock: int
    configuration_version: int = 0
    configuration_digest: str = ""
    leaving: bool = False
    zones: tuple[ZoneHint, ...] = ()
    shards: tuple[ShardHint, ...] = ()
    format: int = MESSAGE_FORMAT


class ShardUpstreams(NamedTuple):
    """The running replicas of one shard, with the epoch and revision they belong to."""

    shard: int
    epoch: int
    revision: int
    upstreams: tuple[Upstream, ...] = ()
    format: int = MESSAGE_FORMAT


class TeamUsageReport(NamedTuple):
    """Resources held by each team's batch tasks, summed over all shards of one entry."""

    vm_id: str
    used_by_team: tuple[TeamUsage, ...] = ()
    format: int = MESSAGE_FORMAT


def merge_shard_hints(
    own: Iterable[ShardHint],
    heartbeats: Iterable[Heartbeat],
    team_usage_by_vm_id: Mapping[str, tuple[TeamUsage, ...]],
) -> dict[int, ShardHint]:
    """Return the latest hint of every shard, by shard.

    A peer's team usage is a sum over its shards and is attached to the first of them only.
    """
    by_shard = {hint.shard: hint for hint in own}
    for heartbeat in heartbeats:
        team_usage = team_usage_by_vm_id.get(heartbeat.vm_id, ())
        for hint in heartbeat.shards:
            known = by_shard.get(hint.shard)
            if known is None or hint.epoch > known.epoch:
                by_shard[hint.shard] = hint._replace(used_by_team=team_usage)
                team_usage = ()
    return by_shard

"""Messages between entries. All of them are hints; none is binding."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.peers.hint import ShardHint
from laburnumswitch.process.peers.hint import TeamUse
from laburnumswitch.upstream import Upstream

FORMAT = 1


class ZoneHint(NamedTuple):
    """State of one availability zone with the version of its row."""

    name: str
    state: str
    version: int


class Heartbeat(NamedTuple):
    """What an entry tells each peer about once a second.

    The shards' hints leave out what teams use, which peers fetch less often as ``TeamUses``.
    ``clock`` is the sender's logical clock. ``leaving`` is set while the sender drains.
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
    format: int = FORMAT


class ShardUpstreams(NamedTuple):
    """The running replicas of one shard, with the epoch and revision they belong to."""

    shard: int
    epoch: int
    revision: int
    upstreams: tuple[Upstream, ...] = ()
    format: int = FORMAT


class TeamUses(NamedTuple):
    """What each team's batch tasks hold in all shards of one entry together."""

    vm_id: str
    used_by_team: tuple[TeamUse, ...] = ()
    format: int = FORMAT


def join_shard_hints(
    own: Iterable[ShardHint],
    heartbeats: Iterable[Heartbeat],
    team_uses_by_id: Mapping[str, tuple[TeamUse, ...]],
) -> dict[int, ShardHint]:
    """Return the newest hint of every shard, by shard.

    What a peer's teams use in all its shards is counted with the first of them.
    """
    by_shard = {hint.shard: hint for hint in own}
    for heartbeat in heartbeats:
        uses = team_uses_by_id.get(heartbeat.vm_id, ())
        for hint in heartbeat.shards:
            known = by_shard.get(hint.shard)
            if known is None or hint.epoch > known.epoch:
                by_shard[hint.shard] = hint._replace(used_by_team=uses)
                uses = ()
    return by_shard

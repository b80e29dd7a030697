"""Known upstreams of each service, from this entry's own shards and from its peers."""

from collections.abc import Iterable

from laburnumswitch.process.peers.heartbeat import ShardUpstreams
from laburnumswitch.process.peers.heartbeat import ZoneHint
from laburnumswitch.upstream import Upstream

# Revision that a new owner announces while it does not know its upstreams yet.
REVISION_UNKNOWN = 0


class UpstreamDirectory:
    """Latest known upstreams by shard and latest known state by availability zone.

    Both stay in use while the platform or a peer is unreachable.
    """

    def __init__(self) -> None:
        self._by_shard: dict[int, ShardUpstreams] = {}
        self._by_service: dict[str, tuple[Upstream, ...]] = {}
        self._zone_by_name: dict[str, ZoneHint] = {}

    def is_outdated(self, shard: int, epoch: int, revision: int) -> bool:
        """Return whether what is stored for ``shard`` is older than ``(epoch, revision)``.

        Nothing is older than ``REVISION_UNKNOWN``.
        """
        if revision == REVISION_UNKNOWN:
            return False
        known = self._by_shard.get(shard)
        return known is None or (epoch, revision) > (known.epoch, known.revision)

    def apply(self, upstreams: ShardUpstreams) -> None:
        """Store a shard's upstreams unless they are older than the stored ones."""
        if not self.is_outdated(upstreams.shard, upstreams.epoch, upstreams.revision):
            return
        self._by_shard[upstreams.shard] = upstreams
        by_service: dict[str, list[Upstream]] = {}
        for shard_upstreams in self._by_shard.values():
            for upstream in shard_upstreams.upstreams:
                by_service.setdefault(upstream.service, []).append(upstream)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}

    def upstreams_of(self, service: str) -> tuple[Upstream, ...]:
        """Return the known upstreams of ``service``."""
        return self._by_service.get(service, ())

    def all_upstreams(self) -> tuple[ShardUpstreams, ...]:
        """Return the known upstreams, grouped by shard."""
        return tuple(self._by_shard.values())

    def apply_zones(self, zones: Iterable[ZoneHint]) -> None:
        """Store zone states; an older version never replaces a newer one."""
        for zone in zones:
            known = self._zone_by_name.get(zone.name)
            if known is None or zone.version > known.version:
                self._zone_by_name[zone.name] = zone

    def zones(self) -> tuple[ZoneHint, ...]:
        """Return the latest known state of each availability zone with a row in the table."""
        return tuple(self._zone_by_name.values())

    def zone_is_out_of_service(self, name: str) -> bool:
        """Return whether ``name`` was taken out of service, as far as is known."""
        zone = self._zone_by_name.get(name)
        return zone is not None and zone.state == "out"

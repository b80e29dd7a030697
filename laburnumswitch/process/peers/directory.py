"""The upstreams of each service as far as this entry knows, from its own shards and its peers."""

from collections.abc import Iterable

from laburnumswitch.process.peers.heartbeat import ShardUpstreams
from laburnumswitch.process.peers.heartbeat import ZoneHint
from laburnumswitch.upstream import Upstream

UNKNOWN_REVISION = 0


class Directory:
    """Newest upstreams by shard and newest state by availability zone.

    Both stay in force while the platform or a peer cannot be reached.
    """

    def __init__(self) -> None:
        self._by_shard: dict[int, ShardUpstreams] = {}
        self._by_service: dict[str, tuple[Upstream, ...]] = {}
        self._zone_by_name: dict[str, ZoneHint] = {}

    def is_behind(self, shard: int, epoch: int, revision: int) -> bool:
        """Return whether ``(epoch, revision)`` is newer than what is held for ``shard``.

        Revision 0 says that an owner does not know its upstreams yet, just after a takeover.
        """
        if revision == UNKNOWN_REVISION:
            return False
        held = self._by_shard.get(shard)
        return held is None or (epoch, revision) > (held.epoch, held.revision)

    def apply(self, upstreams: ShardUpstreams) -> None:
        """Take in a shard's upstreams unless newer ones are held."""
        if not self.is_behind(upstreams.shard, upstreams.epoch, upstreams.revision):
            return
        self._by_shard[upstreams.shard] = upstreams
        by_service: dict[str, list[Upstream]] = {}
        for held in self._by_shard.values():
            for upstream in held.upstreams:
                by_service.setdefault(upstream.service, []).append(upstream)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}

    def upstreams_of(self, service: str) -> tuple[Upstream, ...]:
        """Return the known upstreams of ``service``."""
        return self._by_service.get(service, ())

    def held(self) -> tuple[ShardUpstreams, ...]:
        """Return the upstreams of every shard."""
        return tuple(self._by_shard.values())

    def hear_zones(self, zones: Iterable[ZoneHint]) -> None:
        """Take in zone states; an older version never replaces a newer one."""
        for zone in zones:
            held = self._zone_by_name.get(zone.name)
            if held is None or zone.version > held.version:
                self._zone_by_name[zone.name] = zone

    def zones(self) -> tuple[ZoneHint, ...]:
        """Return the newest known state of each availability zone that ever had a row."""
        return tuple(self._zone_by_name.values())

    def zone_is_out(self, name: str) -> bool:
        """Return whether ``name`` was taken out of service, as far as is known."""
        zone = self._zone_by_name.get(name)
        return zone is not None and zone.state == "out"

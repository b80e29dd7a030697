"""Rows that every shard of an entry needs, read once for all of them."""

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.operating.zones import PREFIX as ZONE_PREFIX
from laburnumswitch.process.operating.zones import read_zones
from laburnumswitch.process.operating.zones import zone_key
from laburnumswitch.process.operating.zones import ZoneState
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Table

CANCELLED_PREFIX = "cancelled/"
SERVICE_PREFIX = "service/"
ZONES_EVERY_S = 0.5
CANCELLED_EVERY_S = 1.0
SERVICES_EVERY_S = 3.0


class SharedRows:
    """Last known zone, cancellation and service rows; each may be a little old."""

    def __init__(self, table: Table) -> None:
        self.zones_known = False
        self.zone_by_name: dict[str, ZoneState] = {}
        self.cancelled: frozenset[str] = frozenset()
        self.replicas_by_job_id: dict[str, frozenset[int]] = {}
        self.services_read_s = float("-inf")
        self.revision = 0
        self._table = table
        self._due_by_prefix: dict[str, float] = {}

    def refresh(self, now_s: float) -> None:
        """Read what is due."""
        if self._is_due(ZONE_PREFIX, now_s, ZONES_EVERY_S):
            self.refresh_zones()
        if self._is_due(CANCELLED_PREFIX, now_s, CANCELLED_EVERY_S):
            self._refresh_cancelled()
        if self._is_due(SERVICE_PREFIX, now_s, SERVICES_EVERY_S):
            self._refresh_services(now_s)

    def refresh_zones(self) -> None:
        """Read the zone rows now, such as after a conflict on one of them."""
        zones = read_zones(self._table)
        if isinstance(zones, Failure):
            return
        if zones != self.zone_by_name or not self.zones_known:
            self.revision += 1
        self.zone_by_name = zones
        self.zones_known = True

    def zone_is_in(self, name: str) -> bool:
        """Return whether starts in a zone may be planned."""
        return self.zones_known and not self.zone_is_out(name)

    def zone_is_out(self, name: str) -> bool:
        """Return whether a zone is known to be out."""
        return self._zone(name).state == "out"

    def zone_condition(self, name: str) -> Condition:
        """Return the condition under which starts in a zone commit."""
        return Condition(zone_key(name), self._zone(name).version)

    def _zone(self, name: str) -> ZoneState:
        return self.zone_by_name.get(name, ZoneState(name))

    def _refresh_cancelled(self) -> None:
        rows = scan_all(self._table, CANCELLED_PREFIX)
        if not isinstance(rows, Failure):
            self.cancelled = frozenset(row.key.removeprefix(CANCELLED_PREFIX) for row in rows)

    def _refresh_services(self, now_s: float) -> None:
        rows = scan_all(self._table, SERVICE_PREFIX)
        if isinstance(rows, Failure):
            return
        self.replicas_by_job_id = {
            handed["job_id"]: frozenset(handed["indexes"])
            for row in rows
            for handed in row.value["handed"]
        }
        # The instant before the scan: what was committed earlier is certainly in it.
        self.services_read_s = now_s

    def _is_due(self, prefix: str, now_s: float, every_s: float) -> bool:
        if now_s < self._due_by_prefix.get(prefix, now_s):
            return False
        self._due_by_prefix[prefix] = now_s + every_s
        return True

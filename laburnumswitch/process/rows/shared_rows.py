"""Cache of table rows that all shards of an entry share."""

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
# Intervals between two reads, in seconds.
ZONES_INTERVAL_S = 0.5
CANCELLED_INTERVAL_S = 1.0
SERVICES_INTERVAL_S = 3.0


class SharedRows:
    """Last known zone, cancellation and service rows, which may be slightly outdated.

    ``replica_indexes_by_job_id`` holds the task indexes of the replicas that each service should
    have. ``zones_revision`` increases with every change of a zone row.
    """

    def __init__(self, table: Table) -> None:
        self.zones_known = False
        self.zone_by_name: dict[str, ZoneState] = {}
        self.cancelled_job_ids: frozenset[str] = frozenset()
        self.replica_indexes_by_job_id: dict[str, frozenset[int]] = {}
        self.services_read_s = float("-inf")
        self.zones_revision = 0
        self._table = table
        self._next_read_s_by_prefix: dict[str, float] = {}

    def refresh(self, now_s: float) -> None:
        """Read the rows whose refresh interval has passed."""
        if self._check_due(ZONE_PREFIX, now_s, ZONES_INTERVAL_S):
            self.refresh_zones()
        if self._check_due(CANCELLED_PREFIX, now_s, CANCELLED_INTERVAL_S):
            self._refresh_cancelled()
        if self._check_due(SERVICE_PREFIX, now_s, SERVICES_INTERVAL_S):
            self._refresh_services(now_s)

    def refresh_zones(self) -> None:
        """Read the zone rows now, for example after a conflict on one of them."""
        zones = read_zones(self._table)
        if isinstance(zones, Failure):
            return
        if zones != self.zone_by_name or not self.zones_known:
            self.zones_revision += 1
        self.zone_by_name = zones
        self.zones_known = True

    def zone_accepts_runs(self, name: str) -> bool:
        """Return whether runs may be placed in a zone."""
        return self.zones_known and not self.zone_is_out_of_service(name)

    def zone_is_out_of_service(self, name: str) -> bool:
        """Return whether a zone is known to be out of service."""
        return self._zone_state(name).state == "out"

    def zone_condition(self, name: str) -> Condition:
        """Return the condition that guards the commit of starts in a zone."""
        return Condition(zone_key(name), self._zone_state(name).version)

    def _zone_state(self, name: str) -> ZoneState:
        return self.zone_by_name.get(name, ZoneState(name))

    def _refresh_cancelled(self) -> None:
        rows = scan_all(self._table, CANCELLED_PREFIX)
        if not isinstance(rows, Failure):
            self.cancelled_job_ids = frozenset(
                row.key.removeprefix(CANCELLED_PREFIX) for row in rows
            )

    def _refresh_services(self, now_s: float) -> None:
        rows = scan_all(self._table, SERVICE_PREFIX)
        if isinstance(rows, Failure):
            return
        self.replica_indexes_by_job_id = {
            replica_set["job_id"]: frozenset(replica_set["indexes"])
            for row in rows
            for replica_set in row.value["handed"]
        }
        # ``now_s`` precedes the scan, so the scan includes everything committed before it.
        self.services_read_s = now_s

    def _check_due(self, prefix: str, now_s: float, interval_s: float) -> bool:
        """Return whether a read is due, and if so schedule the next one."""
        if now_s < self._next_read_s_by_prefix.get(prefix, now_s):
            return False
        self._next_read_s_by_prefix[prefix] = now_s + interval_s
        return True

"""What operators ask for now: the configuration, availability zones out, maintenance waves."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.work import Queue
from laburnumswitch.process.dispatch.work import QueueConfiguration
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Row

# A feed that has gone silent is noticed after this time, in seconds: a configuration has to be in
# force within two.
FEED_WAIT_S = 1.0
RETRY_S = 0.2


class MaintenanceWave(NamedTuple):
    """VMs that need maintenance within ``duration_s``, at most ``max_count`` at a time."""

    number: int
    vm_ids: tuple[str, ...]
    duration_s: float
    max_count: int


class ZoneOrder(NamedTuple):
    """An availability zone is out, or back in."""

    zone: str
    is_out: bool


Operation = QueueConfiguration | ZoneOrder | MaintenanceWave


class Operations:
    """The operators' newest wishes, as far as they are known here."""

    def __init__(self, log: DecisionLog) -> None:
        self.configuration: QueueConfiguration | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.waves_by_number: dict[int, MaintenanceWave] = {}
        self.heard_s = float("-inf")
        # Jobs outlive their queue's removal from the configuration.
        self._known_queues: dict[str, Queue] = {}
        self._log = log

    def queue(self, name: str) -> Queue | None:
        """Return a queue that is, or once was, configured."""
        return self._known_queues.get(name)

    def route(self, host: str, path: str) -> Queue | None:
        """Return the configured queue of the host with the longest prefix of the path."""
        if self.configuration is None:
            return None
        found = [
            queue
            for queue in self.configuration.queues_by_name.values()
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda queue: len(queue.path_prefix), default=None)

    def apply(self, operation: Operation | RowMalformed | None) -> None:
        """Adopt one wish; a lower version of the configuration changes nothing."""
        if isinstance(operation, QueueConfiguration):
            self._adopt(operation)
        elif isinstance(operation, ZoneOrder):
            changed = self.zones_out ^ {operation.zone}
            if (operation.zone in self.zones_out) != operation.is_out:
                self.zones_out = changed
                self._log.note("zone", operation.zone, out=operation.is_out)
        elif isinstance(operation, MaintenanceWave):
            self.waves_by_number[operation.number] = operation
        elif isinstance(operation, RowMalformed):
            self._log.note("operation_malformed", operation.key, reason=operation.reason)

    def replace_zones(self, names: frozenset[str]) -> None:
        """Take the zones that are out from a complete reading."""
        for zone in names ^ self.zones_out:
            self._log.note("zone", zone, out=zone in names)
        self.zones_out = names

    def _adopt(self, configuration: QueueConfiguration) -> None:
        if self.configuration and configuration.version <= self.configuration.version:
            return
        before = self.configuration.version if self.configuration else 0
        self.configuration = configuration
        self._known_queues.update(configuration.queues_by_name)
        self._log.note("configuration", str(configuration.version), before=before)


def follow_operations(
    operations: Operations,
    table: FeedTable,
    table_name: str,
    decode: Callable[[Row], Operation | RowMalformed | None],
    clock: Callable[[], float],
    sleep: Callable[[float], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Keep the operators' wishes up to date until the process stops."""
    version: int | None = None
    while not is_stopped():
        changes = _next_changes(operations, table, table_name, decode, version)
        if isinstance(changes, HistoryLost):
            version = None
            continue
        if isinstance(changes, Failure):
            sleep(RETRY_S)
            continue
        version = max(changes.version, version or 0)
        operations.heard_s = clock()


def _next_changes(
    operations: Operations,
    table: FeedTable,
    table_name: str,
    decode: Callable[[Row], Operation | RowMalformed | None],
    version: int | None,
) -> Changes | Failure:
    if version is not None:
        changes = table.follow(table_name, version, FEED_WAIT_S)
    else:
        changes = table.load(table_name)
    if isinstance(changes, Failure):
        return changes
    decoded = [decode(row) for row in changes.rows]
    if version is None:
        zones = frozenset(each.zone for each in decoded if isinstance(each, ZoneOrder))
        operations.replace_zones(zones)
    for operation in decoded:
        operations.apply(operation)
    return changes

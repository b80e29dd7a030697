"""What operators ask for now: the configuration, availability zones out, maintenance waves."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.change_feed import Feed
from laburnumswitch.process.rows.change_feed import follow_table
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import Row

# A feed that has gone silent is noticed after this time, in seconds: a configuration has to be in
# force within two.
FEED_WAIT_S = 1.0


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
        self.log = log

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
                self.log.note("zone", operation.zone, out=operation.is_out)
        elif isinstance(operation, MaintenanceWave):
            self.waves_by_number[operation.number] = operation
        elif isinstance(operation, RowMalformed):
            self.log.note("operation_malformed", operation.key, reason=operation.reason)

    def replace_zones(self, names: frozenset[str]) -> None:
        """Take the zones that are out from a complete reading."""
        for zone in names ^ self.zones_out:
            self.log.note("zone", zone, out=zone in names)
        self.zones_out = names

    def _adopt(self, configuration: QueueConfiguration) -> None:
        if self.configuration and configuration.version <= self.configuration.version:
            return
        before = self.configuration.version if self.configuration else 0
        self.configuration = configuration
        self._known_queues.update(configuration.queues_by_name)
        self.log.note("configuration", str(configuration.version), before=before)


def follow_operations(
    operations: Operations,
    feed: Feed,
    decode: Callable[[Row], Operation | RowMalformed | None],
    clock: Callable[[], float],
    sleep: Callable[[float], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Keep the operators' wishes up to date until the process stops."""

    def apply(changes: Changes, is_whole: bool) -> None:
        decoded = [decode(row) for row in changes.rows]
        if is_whole:
            zones = frozenset(each.zone for each in decoded if isinstance(each, ZoneOrder))
            operations.replace_zones(zones)
        for operation in decoded:
            operations.apply(operation)
        operations.heard_s = clock()

    follow_table(feed, None, apply, operations.log, sleep, is_stopped)

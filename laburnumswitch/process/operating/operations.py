"""Operators' current instructions: configuration, evacuated zones and maintenance waves.

Used by the dispatch daemon (``dispatch_entry.py``).
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

from gevent.event import Event

from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.change_feed import Feed
from laburnumswitch.process.rows.change_feed import follow_table
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row

# Longest wait of one feed read, in seconds. A feed that has gone silent is noticed after this time;
# a configuration has to be in force within 2 s.
FEED_WAIT_S = 1.0
# Where a version of the configuration came from, for the log.
FROM_STORE = "store"
FROM_PEER = "peer"

T = TypeVar("T")


class MaintenanceWave(NamedTuple):
    """VMs that need maintenance within ``duration_s``, at most ``max_count`` at a time."""

    number: int
    vm_ids: tuple[str, ...]
    duration_s: float
    max_count: int


class ZoneOrder(NamedTuple):
    """Order to evacuate an availability zone, or to return it to service."""

    zone: str
    is_evacuated: bool


Operation = QueueConfiguration | ZoneOrder | MaintenanceWave


class KnownQueue(NamedTuple):
    """A queue that is or was configured, and the latest known configuration that contains it."""

    queue: Queue
    version: int


class Operations:
    """Latest operators' instructions known to this entry.

    :ivar confirmed_s: latest instant, on a clock that includes suspensions, at which the store
        certainly held no newer configuration.
    :ivar knows_zones: whether the evacuated zones were read, which other entries do not send.
    :ivar read_fails: whether the last read of the instructions failed, as the store is away.
    :ivar adoptions_by_source: adopted versions by where they came from.
    :ivar adopted: set and replaced when a configuration is adopted.
    :ivar known_queue_by_name: includes removed queues, since their accepted jobs still run. Owners
        store it, see ``dispatch.queue_store``.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.configuration: QueueConfiguration | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self.knows_zones = False
        self.waves_by_number: dict[int, MaintenanceWave] = {}
        self.confirmed_s = float("-inf")
        self.read_fails = False
        self.adoptions_by_source: Counter[str] = Counter()
        self.adopted = Event()
        self.known_queue_by_name: dict[str, KnownQueue] = {}
        self.log = log

    @property
    def organisations_by_name(self) -> dict[str, Organisation]:
        """Return the organisations of the current configuration."""
        return self.configuration.organisations_by_name if self.configuration else {}

    def queue(self, name: str) -> Queue | None:
        """Return a queue that is or was configured."""
        known = self.known_queue_by_name.get(name)
        return known and known.queue

    def is_configured(self, name: str) -> bool:
        """Return whether the current configuration contains a queue."""
        return self.configuration is not None and name in self.configuration.queues_by_name

    def knows_service(self, name: str) -> bool:
        """Return whether a service is configured, or runs the tasks of a known queue."""
        configuration = self.configuration
        if configuration is not None and name in configuration.rejects_overload_by_service:
            return True
        return any(known.queue.service == name for known in self.known_queue_by_name.values())

    def remember_queue(self, known: KnownQueue) -> None:
        """Keep the settings of a queue, unless those of a later configuration are known."""
        name = known.queue.name
        current = self.known_queue_by_name.get(name)
        if current is None or current.version <= known.version:
            self.known_queue_by_name[name] = known

    def forget_queue(self, name: str) -> None:
        """Forget a removed queue that has no jobs left."""
        self.known_queue_by_name.pop(name, None)

    def route(self, host: str, path: str) -> Queue | None:
        """Return the configured queue of ``host`` with the longest matching path prefix."""
        if self.configuration is None:
            return None
        matching = [
            queue
            for queue in self.configuration.queues_by_name.values()
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)

    def version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def confirmed_age_s(self, now_s: float) -> float:
        """Return how long ago the configuration was certainly the newest, infinite if never."""
        return now_s - self.confirmed_s

    def note_confirmed(self, at_s: float) -> None:
        """Record that the store held no newer configuration at an instant."""
        self.confirmed_s = max(self.confirmed_s, at_s)

    def apply(self, operation: Operation | RowMalformed | None) -> None:
        """Apply one instruction; a configuration that is not newer is ignored."""
        if isinstance(operation, QueueConfiguration):
            self.adopt(operation, FROM_STORE)
            self.knows_zones = True
        elif isinstance(operation, ZoneOrder):
            toggled = self.evacuated_zones ^ {operation.zone}
            if (operation.zone in self.evacuated_zones) != operation.is_evacuated:
                self.evacuated_zones = toggled
                self.log.note("zone", operation.zone, out=operation.is_evacuated)
        elif isinstance(operation, MaintenanceWave):
            self.waves_by_number[operation.number] = operation
        elif isinstance(operation, RowMalformed):
            self.log.note("operation_malformed", operation.key, reason=operation.reason)

    def set_evacuated_zones(self, names: frozenset[str]) -> None:
        """Replace the evacuated zones with those of a complete read."""
        for zone in names ^ self.evacuated_zones:
            self.log.note("zone", zone, out=zone in names)
        self.evacuated_zones = names
        self.knows_zones = True

    def adopt(self, configuration: QueueConfiguration, source: str) -> None:
        """Put a configuration in force unless the one in force is as new.

        :param source: ``FROM_STORE`` or ``FROM_PEER``.
        """
        if self.configuration and configuration.version <= self.configuration.version:
            return
        before = self.configuration.version if self.configuration else 0
        self.configuration = configuration
        for queue in configuration.queues_by_name.values():
            self.remember_queue(KnownQueue(queue, configuration.version))
        self.adoptions_by_source[source] += 1
        self.log.note("configuration", str(configuration.version), before=before, source=source)
        adopted, self.adopted = self.adopted, Event()
        adopted.set()


class _ObservedReads:
    """Reads of a store, with the instant at which the last one was sent, and whether it failed.

    An answer may be processed long after it was given, by a process that was suspended meanwhile.
    """

    def __init__(
        self, store: FeedTable, clock: Callable[[], float], operations: Operations
    ) -> None:
        self.sent_s = float("-inf")
        self._store = store
        self._clock = clock
        self._operations = operations

    def load(self, table: str) -> Changes | ReadFailure:
        self.sent_s = self._clock()
        return self._observe(self._store.load(table))

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        self.sent_s = self._clock()
        return self._observe(self._store.follow(table, after, wait_s))

    def _observe(self, answer: T) -> T:
        self._operations.read_fails = not isinstance(answer, Changes | HistoryLost)
        return answer


def follow_operations(
    operations: Operations,
    feed: Feed,
    decode: Callable[[Row], Operation | RowMalformed | None],
    clock: Callable[[], float],
    sleep: Callable[[float], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Keep the operators' instructions up to date until the process stops.

    :param clock: includes suspensions.
    """
    reads = _ObservedReads(feed.store, clock, operations)
    newest_version = 0

    def apply(changes: Changes, is_whole: bool) -> None:
        nonlocal newest_version
        decoded = [decode(row) for row in changes.rows]
        # A store that lags behind answers with an earlier version than it did before.
        is_current = changes.version >= newest_version
        if is_whole and is_current:
            zones = frozenset(each.zone for each in decoded if isinstance(each, ZoneOrder))
            operations.set_evacuated_zones(zones)
        for operation in decoded:
            operations.apply(operation)
        if is_current and not changes.has_more:
            operations.note_confirmed(reads.sent_s)
        newest_version = max(newest_version, changes.version)

    follow_table(feed._replace(store=reads), None, apply, operations.log, sleep, is_stopped)

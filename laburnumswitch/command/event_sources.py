"""Sources of events for commands: the memory of live entries, and the object store."""

from collections import Counter
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import Target
from laburnumswitch.command.events import causal_order_of
from laburnumswitch.command.events import clock_of
from laburnumswitch.command.events import EventDict
from laburnumswitch.command.events import Filters
from laburnumswitch.command.events import identity_of
from laburnumswitch.command.operator_client import call_any_entry
from laburnumswitch.exceptions import EventsLost
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.process.daemon.settings import Platform
from laburnumswitch.process.observing.archive_index import ArchiveIndex
from laburnumswitch.process.observing.archive_index import read_batch
from laburnumswitch.process.observing.archive_index import read_indexes
from laburnumswitch.process.rows.object_store import ObjectStore

OVERLAP_READS = 10


class SourceEvents(NamedTuple):
    """Events from one source, with the failures that make them incomplete."""

    events: list[EventDict]
    problems: list[Failure]


class LiveEventReader:
    """Reads the events that the entries hold in memory and returns each one once.

    An entry may record an event whose clock is below the highest one read so far, but not below
    the clocks of a few heartbeats ago. So each read starts at the highest clock of
    ``OVERLAP_READS`` reads ago.
    """

    def __init__(self, access: Access, target: Target) -> None:
        self._access = access
        self._target = target
        self._highest_clocks: deque[int] = deque([0], maxlen=OVERLAP_READS)
        self._clock_by_identity: dict[str, int] = {}

    def read(self) -> list[EventDict] | Failure:
        """Return the events that are new since the last read, in causal order."""
        after = self._highest_clocks[0]
        response = call_any_entry(
            self._access, self._target, "GET", f"/operator/timeline?after={after}"
        )
        if isinstance(response, Failure):
            return response
        events_by_identity = {identity_of(event): event for event in response.rows}
        new = [
            event for key, event in events_by_identity.items() if key not in self._clock_by_identity
        ]
        self._clock_by_identity.update({identity_of(event): clock_of(event) for event in new})
        self._highest_clocks.append(max([self._highest_clocks[-1], *map(clock_of, new)]))
        self._drop_identities_through(self._highest_clocks[0])
        return sorted(new, key=causal_order_of)

    def read_losses(self) -> list[Failure]:
        """Return a failure for each live entry that dropped events before they were stored."""
        response = call_any_entry(self._access, self._target, "GET", "/operator/status")
        if isinstance(response, Failure):
            return [response]
        lost_by_vm = {str(row.get("vm", "")): row.get("events_lost", 0) for row in response.rows}
        return [
            EventsLost(process, number)
            for process, number in lost_by_vm.items()
            if isinstance(number, int) and number
        ]

    def _drop_identities_through(self, through_clock: int) -> None:
        kept = {
            key: clock for key, clock in self._clock_by_identity.items() if clock > through_clock
        }
        self._clock_by_identity = kept


def read_stored(access: Access, platform: Platform, filters: Filters) -> SourceEvents | Failure:
    """Return the stored events of all entries, dead ones included.

    Only the objects that overlap the time range of the filters are read; their events are not
    filtered further.
    """
    indexes = read_indexes(access.open_table(platform.table))
    if isinstance(indexes, Failure):
        return indexes
    objects = access.open_objects(platform.objects)
    events: list[EventDict] = []
    problems = [index for index in indexes if isinstance(index, Failure)]
    readable = [index for index in indexes if not isinstance(index, Failure)]
    for name in _object_names_in_range(readable, filters):
        batch = _read_stored_batch(objects, name, problems)
        events.extend(batch)
    return SourceEvents(events, [*problems, *_stored_losses(readable)])


def merge_events(*sources: Iterable[EventDict]) -> list[EventDict]:
    """Return the events of all sources without duplicates, in causal order."""
    events_by_identity = {identity_of(event): event for source in sources for event in source}
    return sorted(events_by_identity.values(), key=causal_order_of)


def _read_stored_batch(objects: ObjectStore, name: str, problems: list[Failure]) -> list[EventDict]:
    batch = read_batch(objects, name)
    if isinstance(batch, NotFound):
        # The object expired after its index was read.
        return []
    if isinstance(batch, Failure):
        problems.append(batch)
        return []
    return batch


def _object_names_in_range(indexes: Iterable[ArchiveIndex], filters: Filters) -> list[str]:
    return [
        stored["name"]
        for index in indexes
        for stored in index["objects"]
        if stored["last_s"] >= filters.since_s and stored["first_s"] <= filters.until_s
    ]


def _stored_losses(indexes: Iterable[ArchiveIndex]) -> list[Failure]:
    lost: Counter[str] = Counter()
    for index in indexes:
        lost[index["process"]] += index["lost"]
    return [EventsLost(process, number) for process, number in lost.items() if number]

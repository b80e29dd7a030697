"""Where commands read events: those that live entries hold, and those in the object store."""

from collections import Counter
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import Target
from laburnumswitch.command.events import clock_of
from laburnumswitch.command.events import Event
from laburnumswitch.command.events import Filters
from laburnumswitch.command.events import identity_of
from laburnumswitch.command.events import order_of
from laburnumswitch.command.operator_link import ask_any
from laburnumswitch.exceptions import EventsLost
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.process.daemon.settings import Platform
from laburnumswitch.process.observing.archive_index import ArchiveIndex
from laburnumswitch.process.observing.archive_index import read_batch
from laburnumswitch.process.observing.archive_index import read_indexes
from laburnumswitch.process.rows.object_store import ObjectStore

OVERLAP_READS = 10


class Found(NamedTuple):
    """Events from one source, and what is known to be missing from them."""

    events: list[Event]
    problems: list[Failure]


class LiveReader:
    """Reads the events that the entries hold in memory, each once.

    An entry may record an event with a clock below the highest one seen, though not one from
    before the last few heartbeats. So each read begins at what was highest ``OVERLAP_READS`` ago.
    """

    def __init__(self, access: Access, target: Target) -> None:
        self._access = access
        self._target = target
        self._highest: deque[int] = deque([0], maxlen=OVERLAP_READS)
        self._clock_by_key: dict[str, int] = {}

    def read(self) -> list[Event] | Failure:
        """Return the events that are new since the last read, causes before effects."""
        after = self._highest[0]
        answer = ask_any(self._access, self._target, "GET", f"/operator/timeline?after={after}")
        if isinstance(answer, Failure):
            return answer
        found = {identity_of(event): event for event in answer.rows}
        new = [event for key, event in found.items() if key not in self._clock_by_key]
        self._clock_by_key.update({identity_of(event): clock_of(event) for event in new})
        self._highest.append(max([self._highest[-1], *map(clock_of, new)]))
        self._forget(self._highest[0])
        return sorted(new, key=order_of)

    def read_losses(self) -> list[Failure]:
        """Return a failure for each live entry that dropped events before they were stored."""
        answer = ask_any(self._access, self._target, "GET", "/operator/status")
        if isinstance(answer, Failure):
            return [answer]
        numbers = {str(row.get("vm", "")): row.get("events_lost", 0) for row in answer.rows}
        return [
            EventsLost(process, number)
            for process, number in numbers.items()
            if isinstance(number, int) and number
        ]

    def _forget(self, after: int) -> None:
        kept = {key: clock for key, clock in self._clock_by_key.items() if clock > after}
        self._clock_by_key = kept


def read_stored(access: Access, platform: Platform, filters: Filters) -> Found | Failure:
    """Return the stored events of all entries, dead ones included, that may be asked for."""
    indexes = read_indexes(access.open_table(platform.table))
    if isinstance(indexes, Failure):
        return indexes
    objects = access.open_objects(platform.objects)
    events: list[Event] = []
    problems = [index for index in indexes if isinstance(index, Failure)]
    readable = [index for index in indexes if not isinstance(index, Failure)]
    for name in _names_between(readable, filters):
        batch = _read(objects, name, problems)
        events.extend(batch)
    return Found(events, [*problems, *_losses(readable)])


def merge(*sources: Iterable[Event]) -> list[Event]:
    """Return the events of all sources, each once, causes before effects."""
    found = {identity_of(event): event for source in sources for event in source}
    return sorted(found.values(), key=order_of)


def _read(objects: ObjectStore, name: str, problems: list[Failure]) -> list[Event]:
    batch = read_batch(objects, name)
    if isinstance(batch, NotFound):
        # The object has expired since its index was read.
        return []
    if isinstance(batch, Failure):
        problems.append(batch)
        return []
    return batch


def _names_between(indexes: Iterable[ArchiveIndex], filters: Filters) -> list[str]:
    return [
        stored["name"]
        for index in indexes
        for stored in index["objects"]
        if stored["last_s"] >= filters.since_s and stored["first_s"] <= filters.until_s
    ]


def _losses(indexes: Iterable[ArchiveIndex]) -> list[Failure]:
    lost: Counter[str] = Counter()
    for index in indexes:
        lost[index["process"]] += index["lost"]
    return [EventsLost(process, number) for process, number in lost.items() if number]

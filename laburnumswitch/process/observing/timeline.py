"""Timeline of one entry, whose logical clock orders causes before effects across entries."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

CAPACITY_EVENTS = 20_000


class Event(NamedTuple):
    """Timeline event. ``clock`` is a Lamport clock; ``wall_s`` is Unix time by the VM's own clock.

    ``subject`` identifies what the event concerns; ``event_kinds`` lists its type for each kind.
    """

    clock: int
    wall_s: float
    process: str
    availability_zone: str
    kind: str
    subject: str
    details: dict[str, str | int | float]


class Timeline:
    """Bounded in-memory buffer of events.

    ``stored_clock`` is the clock up to which events are in the object store. Events that are
    dropped before they are stored are counted in ``lost``.
    """

    def __init__(
        self,
        process: str,
        availability_zone: str,
        wall_clock: Callable[[], float],
        capacity: int = CAPACITY_EVENTS,
        count_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self.lost = 0
        self.clock = 0
        self.stored_clock = 0
        self._process = process
        self._availability_zone = availability_zone
        self._wall_clock = wall_clock
        self._count_event = count_event
        self._events: deque[Event] = deque(maxlen=capacity)

    def record(self, kind: str, subject: str, **details: str | int | float) -> None:
        """Append an event; the oldest one is dropped if the buffer is full."""
        self.clock += 1
        is_full = len(self._events) == self._events.maxlen
        if is_full and self._events[0].clock > self.stored_clock:
            self.lost += 1
        event = Event(
            self.clock,
            self._wall_clock(),
            self._process,
            self._availability_zone,
            kind,
            subject,
            details,
        )
        self._events.append(event)
        self._count_event(event)

    def observe(self, clock: int) -> None:
        """Advance the logical clock past that of a received message."""
        self.clock = max(self.clock, clock) + 1

    def after(self, clock: int) -> tuple[Event, ...]:
        """Return the buffered events with a logical clock above ``clock``."""
        return tuple(event for event in self._events if event.clock > clock)

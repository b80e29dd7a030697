"""Moves the time line's events to the object store in batches, since VMs keep nothing."""

from collections.abc import Callable

from absl import logging
from msgspec.json import encode

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.objects import Objects
from laburnumswitch.process.timeline import Event
from laburnumswitch.process.timeline import Timeline

SPILL_INTERVAL_S = 15.0
OBJECT_PREFIX = "timeline"


def run_spill(
    timeline: Timeline,
    objects: Objects,
    process: str,
    sleep: Callable[[float], None],
    stopping: Callable[[], bool],
) -> None:
    """Write one object every ``SPILL_INTERVAL_S`` while there are new events."""
    spilled = 0
    while not stopping():
        sleep(SPILL_INTERVAL_S)
        spilled = spill_once(timeline, objects, process, spilled)


def spill_once(timeline: Timeline, objects: Objects, process: str, after: int) -> int:
    """Write the events above clock ``after`` and return the clock up to which they are stored."""
    events = timeline.after(after)
    if not events:
        return after
    first, last = events[0].clock, events[-1].clock
    outcome = objects.put(f"{OBJECT_PREFIX}/{process}/{first:012d}", encode_events(events))
    if isinstance(outcome, Failure):
        logging.warning("event=timeline_spill_failed reason=%s", outcome.describe())
        return after
    return last


def encode_events(events: tuple[Event, ...]) -> bytes:
    """Return the events as JSON."""
    return encode(events)

"""Which events are causes of which others, as far as their subjects tell."""

from collections.abc import Iterable

from laburnumswitch.command.events import details_of
from laburnumswitch.command.events import Event
from laburnumswitch.command.events import kind_of
from laburnumswitch.command.events import subject_of
from laburnumswitch.process.observing.eventkinds import SUBJECT_BY_KIND

MAX_LINKS = 5_000
CLAIM = "claim"

Link = tuple[Event, Event]
Thread = tuple[str, str]


def find_links(events: Iterable[Event]) -> list[Link]:
    """Return pairs of a cause and its next effect, of events given causes before effects.

    Events of one subject follow from each other, and so do those of requests under one claim. The
    first event of a task follows from the last one of its job.
    """
    newest_by_thread: dict[Thread, Event] = {}
    links: list[Link] = []
    for event in events:
        threads = _threads(event)
        cause = newest_by_thread.get(threads[0]) or _newest_of_job(event, newest_by_thread)
        if cause is not None:
            links.append((cause, event))
        for thread in threads[1:]:
            earlier = newest_by_thread.get(thread)
            if earlier is not None and earlier is not cause:
                links.append((earlier, event))
        newest_by_thread.update(dict.fromkeys(threads, event))
    return links[-MAX_LINKS:]


def _threads(event: Event) -> tuple[Thread, ...]:
    own = (SUBJECT_BY_KIND.get(kind_of(event), kind_of(event)), subject_of(event))
    row = details_of(event).get("row")
    return (own, (CLAIM, row)) if isinstance(row, str) else (own,)


def _newest_of_job(event: Event, newest_by_thread: dict[Thread, Event]) -> Event | None:
    if SUBJECT_BY_KIND.get(kind_of(event)) != "task":
        return None
    return newest_by_thread.get(("job", subject_of(event).rpartition(":")[0]))

"""Events as commands handle them: order, identity, and which of them are asked for."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from msgspec.json import encode

from laburnumswitch.request.claim import claim_row_key

Event = dict[str, Any]

FOREVER_S = float("inf")


class Filters(NamedTuple):
    """What events are asked for; an empty text asks for all.

    ``request`` is a request id or an ``Idempotency-Key``. Times are Unix time.
    """

    job: str = ""
    worker: str = ""
    zone: str = ""
    request: str = ""
    since_s: float = 0.0
    until_s: float = FOREVER_S


class Selection:
    """Picks the events that are asked for, and remembers which requests came under a key."""

    def __init__(self, filters: Filters) -> None:
        self._filters = filters
        self._request_ids = {filters.request}
        self._row_end = claim_row_key("", filters.request).rpartition("/")[2]

    def pick(self, events: Iterable[Event]) -> list[Event]:
        """Return the events that are asked for, in the order given."""
        events = list(events)
        if self._filters.request:
            self._request_ids.update(
                subject_of(event) for event in events if self._is_under_key(event)
            )
        return [event for event in events if self._matches(event)]

    def _matches(self, event: Event) -> bool:
        filters = self._filters
        if not filters.since_s <= wall_s_of(event) <= filters.until_s:
            return False
        if filters.job and filters.job not in _names_of_job(event):
            return False
        if filters.worker and not _concerns(event, "worker", filters.worker):
            return False
        if filters.zone and not _is_in_zone(event, filters.zone):
            return False
        return not filters.request or subject_of(event) in self._request_ids

    def _is_under_key(self, event: Event) -> bool:
        row = str(details_of(event).get("row", ""))
        return row.rpartition("/")[2] == self._row_end


def order_of(event: Event) -> tuple[int, str]:
    """Return the sort key that puts causes before effects."""
    return (clock_of(event), process_of(event))


def identity_of(event: Event) -> str:
    """Return what two copies of one event have in common and no other event has."""
    return encode(event, order="sorted").decode()


def clock_of(event: Event) -> int:
    """Return the logical clock."""
    clock = event.get("clock")
    return clock if isinstance(clock, int) else 0


def wall_s_of(event: Event) -> float:
    """Return the Unix time by the clock of the VM that recorded the event."""
    wall_s = event.get("wall_s")
    return float(wall_s) if isinstance(wall_s, int | float) else 0.0


def process_of(event: Event) -> str:
    """Return the entry that recorded the event."""
    return str(event.get("process", ""))


def kind_of(event: Event) -> str:
    """Return the kind."""
    return str(event.get("kind", ""))


def subject_of(event: Event) -> str:
    """Return what the event concerns."""
    return str(event.get("subject", ""))


def details_of(event: Event) -> dict[str, Any]:
    """Return the details."""
    details = event.get("details")
    return details if isinstance(details, dict) else {}


def details_text(event: Event) -> str:
    """Return the details that are not empty as ``name=value`` pairs."""
    pairs = details_of(event).items()
    return " ".join(f"{name}={value}" for name, value in pairs if value != "")


def _concerns(event: Event, name: str, value: str) -> bool:
    return details_of(event).get(name) == value or subject_of(event) == value


def _is_in_zone(event: Event, zone: str) -> bool:
    return event.get("availability_zone") == zone or _concerns(event, "zone", zone)


def _names_of_job(event: Event) -> set[str]:
    """Return the names under which the job of a task, run or job event is known."""
    subject = subject_of(event)
    job_id = subject.partition(":")[0]
    return {subject, job_id, job_id.partition("@")[0], str(details_of(event).get("job", ""))}

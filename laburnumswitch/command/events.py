"""Events in their decoded JSON form: order, identity and filters."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from msgspec.json import encode

from laburnumswitch.request.claim import claim_row_key

EventDict = dict[str, Any]

NO_END_S = float("inf")


class Filters(NamedTuple):
    """Filters for events; an empty string matches all.

    ``request`` is a request id or an ``Idempotency-Key``. Times are Unix time.
    """

    job: str = ""
    worker: str = ""
    zone: str = ""
    request: str = ""
    since_s: float = 0.0
    until_s: float = NO_END_S


class EventSelector:
    """Selects events by filters and remembers which requests used the key that is asked for."""

    def __init__(self, filters: Filters) -> None:
        self._filters = filters
        self._request_ids = {filters.request}
        self._claim_row_suffix = claim_row_key("", filters.request).rpartition("/")[2]

    def select(self, events: Iterable[EventDict]) -> list[EventDict]:
        """Return the events that match the filters, in the given order."""
        events = list(events)
        if self._filters.request:
            self._request_ids.update(
                subject_of(event) for event in events if self._is_claim_of_key(event)
            )
        return [event for event in events if self._matches(event)]

    def _matches(self, event: EventDict) -> bool:
        filters = self._filters
        if not filters.since_s <= wall_s_of(event) <= filters.until_s:
            return False
        if filters.job and filters.job not in _job_names(event):
            return False
        if filters.worker and not _concerns(event, "worker", filters.worker):
            return False
        if filters.zone and not _is_in_zone(event, filters.zone):
            return False
        return not filters.request or subject_of(event) in self._request_ids

    def _is_claim_of_key(self, event: EventDict) -> bool:
        row = str(details_of(event).get("row", ""))
        return row.rpartition("/")[2] == self._claim_row_suffix


def causal_order_of(event: EventDict) -> tuple[int, str]:
    """Return the sort key of the causal order: logical clock, then process."""
    return (clock_of(event), process_of(event))


def identity_of(event: EventDict) -> str:
    """Return a key that is equal for copies of one event and differs between events."""
    return encode(event, order="sorted").decode()


def clock_of(event: EventDict) -> int:
    """Return the logical clock, or 0 if it is missing or malformed."""
    clock = event.get("clock")
    return clock if isinstance(clock, int) else 0


def wall_s_of(event: EventDict) -> float:
    """Return the Unix time at which the event was recorded, by that VM's clock."""
    wall_s = event.get("wall_s")
    return float(wall_s) if isinstance(wall_s, int | float) else 0.0


def process_of(event: EventDict) -> str:
    """Return the entry that recorded the event."""
    return str(event.get("process", ""))


def kind_of(event: EventDict) -> str:
    """Return the kind of the event."""
    return str(event.get("kind", ""))


def subject_of(event: EventDict) -> str:
    """Return the id of what the event concerns."""
    return str(event.get("subject", ""))


def details_of(event: EventDict) -> dict[str, Any]:
    """Return the details, empty if they are missing or malformed."""
    details = event.get("details")
    return details if isinstance(details, dict) else {}


def details_text(event: EventDict) -> str:
    """Return the non-empty details as ``name=value`` pairs."""
    pairs = details_of(event).items()
    return " ".join(f"{name}={value}" for name, value in pairs if value != "")


def _concerns(event: EventDict, name: str, value: str) -> bool:
    return details_of(event).get(name) == value or subject_of(event) == value


def _is_in_zone(event: EventDict, zone: str) -> bool:
    return event.get("availability_zone") == zone or _concerns(event, "zone", zone)


def _job_names(event: EventDict) -> set[str]:
    """Return the names that select a job, task or run event: subject, job id and job name."""
    subject = subject_of(event)
    job_id = subject.partition(":")[0]
    return {subject, job_id, job_id.partition("@")[0], str(details_of(event).get("job", ""))}

"""Where the time line's stored events are found: one index row for each boot of an entry."""

from typing import Any
from typing import TypedDict

from msgspec import convert
from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.exceptions import DocumentBroken
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import FormatUnknown
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.observing.timeline import Event
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Table

FORMAT = 1
INDEX_PREFIX = "timeline/"


class SpilledObject(TypedDict):
    """One object of events, with the first and last logical clock and Unix time in it."""

    name: str
    first: int
    last: int
    first_s: float
    last_s: float


class SpillIndex(TypedDict):
    """Value of an index row; ``lost`` counts events that were dropped before they were stored."""

    format: int
    process: str
    lost: int
    objects: list[SpilledObject]


class _Batch(TypedDict):
    format: int
    events: list[dict[str, Any]]


def index_key(process: str, boot: str) -> str:
    """Return the key of an index row."""
    return f"{INDEX_PREFIX}{process}-{boot}"


def describe_batch(prefix: str, events: tuple[Event, ...]) -> SpilledObject:
    """Return the index entry of a batch; its name is never used twice under ``prefix``."""
    first, last = events[0].clock, events[-1].clock
    instants = [event.wall_s for event in events]
    name = f"{prefix}/{first:012d}"
    return SpilledObject(
        name=name, first=first, last=last, first_s=min(instants), last_s=max(instants)
    )


def encode_batch(events: tuple[Event, ...]) -> bytes:
    """Return the content of an object."""
    return encode(_Batch(format=FORMAT, events=[event._asdict() for event in events]))


def read_indexes(table: Table) -> tuple[SpillIndex | Failure, ...] | ReadFailure:
    """Return every index row, or in its place why it cannot be read."""
    rows = scan_all(table, INDEX_PREFIX)
    if isinstance(rows, Failure):
        return rows
    return tuple(decode_index(row) for row in rows)


def decode_index(row: Row) -> SpillIndex | RowMalformed | FormatUnknown:
    """Decode one index row; unknown fields are ignored."""
    try:
        index = convert(row.value, SpillIndex)
    except ValidationError as error:
        return RowMalformed(row.key, str(error))
    if index["format"] > FORMAT:
        return FormatUnknown(row.key, index["format"])
    return index


def read_batch(
    objects: ObjectStore, name: str
) -> list[dict[str, Any]] | NotFound | Unavailable | DocumentBroken | FormatUnknown:
    """Return the events of one object, with fields that this version does not know."""
    content = objects.get(name)
    if isinstance(content, Failure):
        return content
    try:
        batch = decode(content, type=_Batch)
    except (DecodeError, ValidationError) as error:
        return DocumentBroken(0, f"{name}: {error}")
    if batch["format"] > FORMAT:
        return FormatUnknown(name, batch["format"])
    return batch["events"]

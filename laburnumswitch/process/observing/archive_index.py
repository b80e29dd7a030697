"""Index of the archived timeline events: one row for each boot of an entry.

A boot is one start of the entry's process.
"""

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

# Format that is written, and the newest one that can be read.
FORMAT = 1
INDEX_PREFIX = "timeline/"


class ArchivedBatch(TypedDict):
    """One stored object of events, with its range of logical clocks and of Unix times."""

    name: str
    first: int
    last: int
    first_s: float
    last_s: float


class ArchiveIndex(TypedDict):
    """Value of an index row; ``lost`` counts events dropped before they were stored."""

    format: int
    process: str
    lost: int
    objects: list[ArchivedBatch]


class _BatchContent(TypedDict):
    format: int
    events: list[dict[str, Any]]


def index_key(process: str, boot: str) -> str:
    """Return the key of the index row of one boot."""
    return f"{INDEX_PREFIX}{process}-{boot}"


def describe_batch(prefix: str, events: tuple[Event, ...]) -> ArchivedBatch:
    """Return the index item of a batch, with a name that is unique under ``prefix``."""
    first, last = events[0].clock, events[-1].clock
    wall_times = [event.wall_s for event in events]
    name = f"{prefix}/{first:012d}"
    return ArchivedBatch(
        name=name, first=first, last=last, first_s=min(wall_times), last_s=max(wall_times)
    )


def encode_batch(events: tuple[Event, ...]) -> bytes:
    """Return the content of the object that stores a batch."""
    return encode(_BatchContent(format=FORMAT, events=[event._asdict() for event in events]))


def read_indexes(table: Table) -> tuple[ArchiveIndex | Failure, ...] | ReadFailure:
    """Return every index row, or a failure in place of one that cannot be decoded."""
    rows = scan_all(table, INDEX_PREFIX)
    if isinstance(rows, Failure):
        return rows
    return tuple(decode_index(row) for row in rows)


def decode_index(row: Row) -> ArchiveIndex | RowMalformed | FormatUnknown:
    """Decode one index row; unknown fields are ignored."""
    try:
        index = convert(row.value, ArchiveIndex)
    except ValidationError as error:
        return RowMalformed(row.key, str(error))
    if index["format"] > FORMAT:
        return FormatUnknown(row.key, index["format"])
    return index


def read_batch(
    objects: ObjectStore, name: str
) -> list[dict[str, Any]] | NotFound | Unavailable | DocumentBroken | FormatUnknown:
    """Return the events of one object, including fields unknown to this version."""
    content = objects.get(name)
    if isinstance(content, Failure):
        return content
    try:
        batch = decode(content, type=_BatchContent)
    except (DecodeError, ValidationError) as error:
        return DocumentBroken(0, f"{name}: {error}")
    if batch["format"] > FORMAT:
        return FormatUnknown(name, batch["format"])
    return batch["events"]

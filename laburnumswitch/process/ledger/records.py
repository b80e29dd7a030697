"""Records of the journal.

Records are JSON arrays that begin with their tag. Tasks are named by the number of their group (all
tasks of one job in a shard) and their index in the job; workers by their number in the ledger.
Journal rows are never rewritten, so trailing fields that this version does not know stay there.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import Any

from msgspec import convert
from msgspec import Struct
from msgspec import ValidationError

from laburnumswitch.exceptions import FormatUnknown
from laburnumswitch.exceptions import JournalBroken
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.size import Size

FORMAT = 1
# Rows that hold a late end: readers that do not know it refuse them by their format.
LATE_FORMAT = 2


class How(IntEnum):
    """How a run ended."""

    FINISHED = 0
    FAILED = 1
    EVICTED = 2
    STOPPED = 3
    LAPSED = 4
    REFUSED = 5


class WorkerSeen(Struct, frozen=True, tag=1, array_like=True):
    """A worker was seen first, or its boot, capacity or place changed; it holds no run then."""

    worker_id: str
    boot: str
    availability_zone: str
    rack: str
    capacity: Size


class WorkerGone(Struct, frozen=True, tag=2, array_like=True):
    """A worker that holds no run left for good."""

    worker: int


class ChunkTaken(Struct, frozen=True, tag=3, array_like=True):
    """Tasks were taken in: ``count`` fresh ones from ``first``, and some that ran before.

    ``work`` is the JSON form of a ``TaskSpec``, kept with the fields that this version does not
    know.
    """

    chunk: str
    work: dict[str, Any]
    first: int
    count: int
    again: tuple[PendingTask, ...] = ()


class Started(Struct, frozen=True, tag=4, array_like=True):
    """Runs were started on a worker; empty ``runs`` means run 1 of each task.

    A start consumes the checkpoint of the task's last run.
    """

    worker: int
    group: int
    indexes: tuple[int, ...]
    runs: tuple[int, ...] = ()


class Ended(Struct, frozen=True, tag=5, array_like=True):
    """The present runs of tasks ended; ``EVICTED`` ones left a checkpoint."""

    how: How
    group: int
    indexes: tuple[int, ...]


class Cancelled(Struct, frozen=True, tag=6, array_like=True):
    """Jobs were cancelled: pending tasks are over, running ones do not run again."""

    groups: tuple[int, ...]


class GivenAway(Struct, frozen=True, tag=7, array_like=True):
    """Pending tasks went to another shard's inbox."""

    group: int
    first: int
    count: int
    again: tuple[int, ...] = ()


class Replaced(Struct, frozen=True, tag=8, array_like=True):
    """Replicas are to be replaced: each gets a successor and does not run again itself."""

    group: int
    indexes: tuple[int, ...]


class Retired(Struct, frozen=True, tag=9, array_like=True):
    """Tasks are not wanted any more: pending ones are over, running ones do not run again."""

    group: int
    indexes: tuple[int, ...]


class Forgotten(Struct, frozen=True, tag=10, array_like=True):
    """Groups with neither pending nor running tasks were removed."""

    groups: tuple[int, ...]


class LateFinished(Struct, frozen=True, tag=11, array_like=True):
    """A task is over: run ``run``, which was counted as lapsed, had finished.

    Holds only while the task is pending for the run after that one.
    """

    group: int
    index: int
    run: int


Record = (
    WorkerSeen
    | WorkerGone
    | ChunkTaken
    | Started
    | Ended
    | Cancelled
    | GivenAway
    | Replaced
    | Retired
    | Forgotten
    | LateFinished
)


class JournalRow(Struct, frozen=True):
    """Value of one row of a journal."""

    epoch: int
    batch: str
    records: tuple[Record, ...]
    format: int = FORMAT


def format_of(records: Iterable[Record]) -> int:
    """Return the lowest format whose readers know all of ``records``."""
    has_late = any(isinstance(record, LateFinished) for record in records)
    return LATE_FORMAT if has_late else FORMAT


def read_journal_row(key: str, value: Any) -> JournalRow | FormatUnknown | JournalBroken:
    """Decode the value of a journal row."""
    if not isinstance(value, dict):
        return JournalBroken(key, "no such row")
    if value.get("format", FORMAT) > LATE_FORMAT:
        return FormatUnknown(key, value["format"])
    try:
        return convert(value, JournalRow)
    except ValidationError as error:
        return JournalBroken(key, str(error))

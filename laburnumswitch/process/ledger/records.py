"""Journal records.

Records are encoded as JSON arrays that begin with their tag. A task is identified by the number of
its group (all tasks of one job in a shard) and its index in the job, a worker by its number in the
ledger. Journal rows are never rewritten, so trailing fields that this version does not know are
preserved.
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
# Format of rows with a ``LateFinished`` record, and the newest one that this version knows.
# Versions that cannot decode the record know only ``FORMAT`` and refuse the row.
LATE_FINISHED_FORMAT = 2


class RecordedOutcome(IntEnum):
    """How a run ended, as recorded in the journal.

    ``EVICTED`` runs were stopped with a checkpoint. ``STOPPED`` runs were stopped without one, or
    failed on a quarantined worker. ``LAPSED`` means that the lease ended or the worker lost the
    run, ``REFUSED`` that the worker did not start it.
    """

    FINISHED = 0
    FAILED = 1
    EVICTED = 2
    STOPPED = 3
    LAPSED = 4
    REFUSED = 5


class WorkerSeen(Struct, frozen=True, tag=1, array_like=True):
    """A worker is new or has changed.

    :ivar boot: id of the worker process's start. A new one is recorded only once the worker has no
        runs in the ledger.
    """

    worker_id: str
    boot: str
    availability_zone: str
    rack: str
    capacity: Size


class WorkerGone(Struct, frozen=True, tag=2, array_like=True):
    """A worker without runs was removed permanently."""

    worker: int


class ChunkTaken(Struct, frozen=True, tag=3, array_like=True):
    """Tasks were received from the inbox.

    :ivar work: JSON form of the tasks' ``TaskSpec``, including fields unknown to this version.
    :ivar first: index of the first of ``count`` tasks that have never run.
    :ivar again: tasks that have run before.
    """

    chunk: str
    work: dict[str, Any]
    first: int
    count: int
    again: tuple[PendingTask, ...] = ()


class Started(Struct, frozen=True, tag=4, array_like=True):
    """Runs were started on a worker.

    ``runs`` holds the run number of each task; empty means run 1 of all. A start consumes the
    checkpoint of the task's last run.
    """

    worker: int
    group: int
    indexes: tuple[int, ...]
    runs: tuple[int, ...] = ()


class Ended(Struct, frozen=True, tag=5, array_like=True):
    """The current runs of tasks ended. Only ``EVICTED`` runs left a checkpoint."""

    how: RecordedOutcome
    group: int
    indexes: tuple[int, ...]


class Cancelled(Struct, frozen=True, tag=6, array_like=True):
    """Jobs were cancelled: pending tasks end, running ones are not restarted."""

    groups: tuple[int, ...]


class GivenAway(Struct, frozen=True, tag=7, array_like=True):
    """Pending tasks were sent to another shard's inbox.

    :ivar first: index of the first of ``count`` tasks that have never run.
    :ivar again: indexes of tasks that have run before.
    """

    group: int
    first: int
    count: int
    again: tuple[int, ...] = ()


class Replaced(Struct, frozen=True, tag=8, array_like=True):
    """Running replicas are to be replaced: each gets a replacement and is not restarted."""

    group: int
    indexes: tuple[int, ...]


class Retired(Struct, frozen=True, tag=9, array_like=True):
    """Replicas are no longer declared: pending ones end, running ones are not restarted."""

    group: int
    indexes: tuple[int, ...]


class Forgotten(Struct, frozen=True, tag=10, array_like=True):
    """Groups without pending or running tasks were removed."""

    groups: tuple[int, ...]


class LateFinished(Struct, frozen=True, tag=11, array_like=True):
    """A task is complete: run ``run``, which had been recorded as lapsed, had finished.

    Applies only while the task is pending for the run after that one.
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


def required_format(records: Iterable[Record]) -> int:
    """Return the lowest format version that supports all ``records``."""
    has_late_finished = any(isinstance(record, LateFinished) for record in records)
    return LATE_FINISHED_FORMAT if has_late_finished else FORMAT


def read_journal_row(key: str, value: Any) -> JournalRow | FormatUnknown | JournalBroken:
    """Decode the value of a journal row."""
    if not isinstance(value, dict):
        return JournalBroken(key, "journal row is missing")
    if value.get("format", FORMAT) > LATE_FINISHED_FORMAT:
        return FormatUnknown(key, value["format"])
    try:
        return convert(value, JournalRow)
    except ValidationError as error:
        return JournalBroken(key, str(error))

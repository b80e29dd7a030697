"""Ledger snapshots in the object store, and trimming of the journal rows that they cover."""

from typing import Any

from msgspec import DecodeError
from msgspec import Struct
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import FormatUnknown
from laburnumswitch.exceptions import JournalBroken
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import journal_key
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.ledger.ledger import Run
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.ledger.records import FORMAT
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.workers.task_spec import decode_task_spec
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.size import Size

SNAPSHOT_EVERY_BATCHES = 200
# More than the one row that a batch adds, so that trimming catches up.
TRIM_ROWS_PER_BATCH = 3


class _FormatField(Struct):
    format: int = FORMAT


class _WorkerState(Struct, array_like=True):
    number: int
    worker_id: str
    boot: str
    availability_zone: str
    rack: str
    capacity: Size


class _RunState(Struct, array_like=True):
    index: int
    worker: int
    run: int
    failures: int = 0
    checkpoint_run: int = 0
    is_last_run: bool = False


class _GroupState(Struct, array_like=True):
    number: int
    raw_work: dict[str, Any]
    unstarted_ranges: list[list[int]]
    requeued: list[PendingTask]
    running: list[_RunState]
    finished: int
    failed: int
    cancelled: int
    is_cancelled: bool


class _LedgerState(Struct):
    seq: int
    next_worker: int
    next_group: int
    workers: list[_WorkerState]
    groups: list[_GroupState]
    format: int = FORMAT


def snapshot_name(shard: int, seq: int) -> str:
    """Return the name of a snapshot object."""
    return f"snapshot/{shard}/{seq:012d}"


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode the whole state of a ledger."""
    workers = [
        _WorkerState(
            worker.number,
            worker.worker_id,
            worker.boot,
            worker.availability_zone,
            worker.rack,
            worker.capacity,
        )
        for worker in ledger.worker_by_number.values()
    ]
    groups = [_encode_group(group) for group in ledger.group_by_number.values()]
    return encode(_LedgerState(ledger.seq, ledger.next_worker, ledger.next_group, workers, groups))


def decode_ledger(name: str, content: bytes) -> Ledger | FormatUnknown | JournalBroken:
    """Decode a ledger from the content of a snapshot."""
    try:
        stored_format = decode(content, type=_FormatField).format
        if stored_format > FORMAT:
            return FormatUnknown(name, stored_format)
        return _rebuild(decode(content, type=_LedgerState))
    except (DecodeError, ValidationError, KeyError) as error:
        return JournalBroken(name, str(error))


def load_ledger(
    objects: ObjectStore, head: Head
) -> Ledger | FormatUnknown | JournalBroken | Unavailable:
    """Load the snapshot that the head refers to, or return an empty ledger if there is none."""
    if not head.snapshot:
        return Ledger()
    name = snapshot_name(head.shard, head.snapshot)
    content = objects.get(name)
    if isinstance(content, NotFound):
        return JournalBroken(name, "snapshot is missing")
    if isinstance(content, Failure):
        return content
    return decode_ledger(name, content)


def store_ledger(objects: ObjectStore, shard: int, ledger: Ledger) -> int | Unavailable:
    """Store a snapshot and return its ``seq``, to be written into the head by a later commit."""
    stored = objects.put(snapshot_name(shard, ledger.seq), encode_ledger(ledger))
    if isinstance(stored, Unavailable):
        return stored
    return ledger.seq


def trimmed_keys(shard: int, trimmed_seq: int, snapshot_seq: int) -> tuple[str, ...]:
    """Return the keys of the journal rows that the next batch deletes.

    :param trimmed_seq: number of the last journal row that was already deleted.
    :param snapshot_seq: the ``seq`` that the head's snapshot covers.
    """
    last = min(snapshot_seq, trimmed_seq + TRIM_ROWS_PER_BATCH)
    return tuple(journal_key(shard, seq) for seq in range(trimmed_seq + 1, last + 1))


def _encode_group(group: TaskGroup) -> _GroupState:
    running = [
        _RunState(index, run.worker, run.run, run.failures, run.checkpoint_run, run.is_last_run)
        for index, run in group.running.items()
    ]
    return _GroupState(
        group.number,
        group.raw_task_spec,
        group.unstarted_ranges,
        list(group.requeued_by_index.values()),
        running,
        group.finished,
        group.failed,
        group.cancelled,
        group.is_cancelled,
    )


def _rebuild(state: _LedgerState) -> Ledger:
    ledger = Ledger()
    ledger.seq = state.seq
    ledger.next_worker = state.next_worker
    ledger.next_group = state.next_group
    for stored in state.workers:
        worker = LedgerWorker(
            stored.number,
            stored.worker_id,
            stored.boot,
            stored.availability_zone,
            stored.rack,
            stored.capacity,
        )
        ledger.worker_by_number[worker.number] = worker
        ledger.number_by_worker_id[worker.worker_id] = worker.number
    for stored in state.groups:
        _rebuild_group(ledger, stored)
    return ledger


def _rebuild_group(ledger: Ledger, stored: _GroupState) -> None:
    group = TaskGroup(
        stored.number,
        decode_task_spec(stored.raw_work),
        stored.raw_work,
        stored.unstarted_ranges,
        {again.index: again for again in stored.requeued},
        {},
        stored.finished,
        stored.failed,
        stored.cancelled,
        stored.is_cancelled,
    )
    ledger.group_by_number[group.number] = group
    ledger.number_by_job_id[group.task_spec.job_id] = group.number
    for run in stored.running:
        worker = ledger.worker_by_number[run.worker]
        group.running[run.index] = Run(
            run.worker, run.run, run.failures, run.checkpoint_run, run.is_last_run
        )
        worker.runs.add(LedgerTaskKey(group.number, run.index))
        worker.allocated = worker.allocated.plus(group.task_spec.size)

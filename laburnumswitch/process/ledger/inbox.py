"""Inbox rows, which carry tasks from admission or another shard into a shard."""

from collections.abc import Iterable
from typing import Any

from absl import logging
from msgspec import convert
from msgspec import Struct
from msgspec import ValidationError

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.ledger.records import ChunkTaken
from laburnumswitch.process.ledger.records import FORMAT
from laburnumswitch.process.ledger.records import GivenAway
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.size import Size

MAX_INBOX_ROWS_PER_BATCH = 50
MAX_HANDOVER_TASKS = 200


class Chunk(Struct, frozen=True):
    """Tasks of one job, as sent to a shard: the value of an inbox row.

    :ivar work: JSON form of the tasks' ``TaskSpec``.
    :ivar first: index of the first of ``count`` tasks that have never run.
    :ivar again: tasks that have run before.
    """

    work: dict[str, Any]
    first: int = 0
    count: int = 0
    again: tuple[PendingTask, ...] = ()
    format: int = FORMAT


def inbox_prefix(shard: int) -> str:
    """Return the prefix of the keys of a shard's inbox rows."""
    return f"inbox/{shard}/"


def inbox_put(shard: int, chunk_id: str, chunk: Chunk) -> Put:
    """Return the row write that sends a chunk to a shard.

    :param chunk_id: globally unique.
    """
    return Put(inbox_prefix(shard) + chunk_id, chunk)


def receive_chunks(batch: BatchBuilder, rows: Iterable[Row]) -> list[str]:
    """Add the tasks of inbox rows to a batch, and return the ids of their jobs.

    The same commit deletes the rows, on the condition that they have not changed since the read.
    """
    job_ids = []
    for row in tuple(rows)[:MAX_INBOX_ROWS_PER_BATCH]:
        chunk = _decode_chunk(row)
        if chunk is None:
            continue
        chunk_id = row.key.rpartition("/")[2]
        batch.records.append(
            ChunkTaken(chunk_id, chunk.work, chunk.first, chunk.count, chunk.again)
        )
        batch.add_condition(Condition(row.key, row.version))
        batch.add_deletes(row.key)
        batch.urgent = batch.urgent or bool(chunk.work.get("urgent") or chunk.work.get("service"))
        job_ids.append(chunk.work["job_id"])
    batch.received_job_ids.update(job_ids)
    return job_ids


def hand_over_tasks(
    batch: BatchBuilder, group: TaskGroup, target: int, chunk_id: str, max_tasks: int
) -> int:
    """Hand over up to ``max_tasks`` pending tasks to another shard, and return their number."""
    requeued = tuple(group.requeued_by_index.values())[:max_tasks]
    first, count = 0, 0
    if group.unstarted_ranges and len(requeued) < max_tasks:
        start, length = group.unstarted_ranges[-1]
        count = min(length, max_tasks - len(requeued))
        first = start + length - count
    if not (requeued or count):
        return 0
    indexes = tuple(task.index for task in requeued)
    batch.records.append(GivenAway(group.number, first, count, indexes))
    batch.unstartable_groups.add(group.number)
    batch.add_put(inbox_put(target, chunk_id, Chunk(group.raw_task_spec, first, count, requeued)))
    return count + len(requeued)


def choose_target(
    size: Size, hints: Iterable[ShardHint], fitting_shards: Iterable[int]
) -> ShardHint | None:
    """Return the hint of the shard with the most free CPU that can run a task of ``size`` now.

    Shards with pending tasks are not considered.

    :param fitting_shards: shards with a worker whose whole capacity suffices for the task.
    """
    fitting = set(fitting_shards)
    candidates = [
        hint
        for hint in hints
        if hint.shard in fitting and size.fits(hint.largest_free) and not hint.pending
    ]
    return max(candidates, key=lambda hint: (hint.free.cpu_millis, -hint.shard), default=None)


def count_fitting_tasks(size: Size, free: Size) -> int:
    """Return an upper bound for the number of tasks of ``size`` that fit into ``free``."""
    counts = [left // needed for needed, left in zip(size, free, strict=True) if needed > 0]
    return max(0, min(counts, default=MAX_HANDOVER_TASKS))


def _decode_chunk(row: Row) -> Chunk | None:
    try:
        chunk = convert(row.value, Chunk)
    except ValidationError as error:
        logging.error("cannot decode inbox row key=%s reason=%s", row.key, error)
        return None
    if chunk.format > FORMAT or "job_id" not in chunk.work:
        logging.error("unsupported inbox row key=%s format=%d", row.key, chunk.format)
        return None
    return chunk

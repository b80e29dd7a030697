"""Tasks on their way into a shard, from admission or from another shard."""

from collections.abc import Iterable
from typing import Any

from absl import logging
from msgspec import convert
from msgspec import Struct
from msgspec import ValidationError

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import Group
from laburnumswitch.process.ledger.records import ChunkTaken
from laburnumswitch.process.ledger.records import FORMAT
from laburnumswitch.process.ledger.records import GivenAway
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.size import Size

TAKE_IN_ROWS = 50
GIVE_AWAY_TASKS = 200


class Chunk(Struct, frozen=True):
    """Value of an inbox row: ``count`` fresh tasks from ``first``, and some that ran before.

    ``work`` is the JSON form of a ``TaskSpec``.
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
    """Return the write that hands a chunk to a shard.

    :param chunk_id: unique in the whole system.
    """
    return Put(inbox_prefix(shard) + chunk_id, chunk)


def take_in(batch: BatchBuilder, rows: Iterable[Row]) -> list[str]:
    """Add the taking in of inbox rows to a batch, and return the ids of their jobs.

    The rows are deleted by the same commit, on the condition that they are as they were read.
    """
    job_ids = []
    for row in tuple(rows)[:TAKE_IN_ROWS]:
        chunk = _read_chunk(row)
        if chunk is None:
            continue
        chunk_id = row.key.rpartition("/")[2]
        batch.records.append(
            ChunkTaken(chunk_id, chunk.work, chunk.first, chunk.count, chunk.again)
        )
        batch.condition(Condition(row.key, row.version))
        batch.delete(row.key)
        batch.urgent = batch.urgent or bool(chunk.work.get("urgent") or chunk.work.get("service"))
        job_ids.append(chunk.work["job_id"])
    batch.taken_job_ids.update(job_ids)
    return job_ids


def give_away(batch: BatchBuilder, group: Group, target: int, chunk_id: str, most: int) -> int:
    """Add the handing of up to ``most`` pending tasks to another shard, and return their number."""
    again = tuple(group.again.values())[:most]
    first, count = 0, 0
    if group.fresh and len(again) < most:
        start, length = group.fresh[-1]
        count = min(length, most - len(again))
        first = start + length - count
    if not (again or count):
        return 0
    indexes = tuple(task.index for task in again)
    batch.records.append(GivenAway(group.number, first, count, indexes))
    batch.settled_groups.add(group.number)
    batch.put(inbox_put(target, chunk_id, Chunk(group.raw_work, first, count, again)))
    return count + len(again)


def choose_target(
    size: Size, hints: Iterable[ShardHint], fitting_shards: Iterable[int]
) -> ShardHint | None:
    """Return the shard with most room among those that can hold a task of ``size`` now.

    :param fitting_shards: shards with a worker that holds such a task when empty.
    """
    fitting = set(fitting_shards)
    able = [
        hint
        for hint in hints
        if hint.shard in fitting and size.fits(hint.largest_free) and not hint.pending
    ]
    return max(able, key=lambda hint: (hint.free.cpu_millis, -hint.shard), default=None)


def tasks_that_fit(size: Size, free: Size) -> int:
    """Return how many tasks of ``size`` a shard's free room holds at most."""
    counts = [room // need for need, room in zip(size, free, strict=True) if need > 0]
    return max(0, min(counts, default=GIVE_AWAY_TASKS))


def _read_chunk(row: Row) -> Chunk | None:
    try:
        chunk = convert(row.value, Chunk)
    except ValidationError as error:
        logging.error("inbox row not read key=%s reason=%s", row.key, error)
        return None
    if chunk.format > FORMAT or "job_id" not in chunk.work:
        logging.error("inbox row of a newer format key=%s format=%d", row.key, chunk.format)
        return None
    return chunk

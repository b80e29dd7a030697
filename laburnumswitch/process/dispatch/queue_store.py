"""Stores the settings of the queues, so that a new owner knows those of removed queues.

Accepted jobs outlive the removal of their queue, and the configuration names only the current
queues. An entry that started after the removal would otherwise know neither the service on which
the jobs run nor how many runs of a task may fail.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from msgspec import convert
from msgspec import Struct
from msgspec import ValidationError
from xxhash import xxh32_intdigest

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.operating.operations import KnownQueue
from laburnumswitch.process.rows.table import Row

QUEUES_TABLE = "queues"
# Number of rows that store the queues: a row of the store holds 64 KiB, and a queue takes about 200
# bytes. Operators may add thousands of queues at once, and the store refuses a commit with a row
# that is too large.
QUEUE_PARTS = 64
# Maximum number of these rows that wait for a commit at a time. A transaction has room for them
# beside the jobs and the owner's other rows, see ``recorder.JOBS_PER_BATCH``.
MAX_QUEUED_PARTS = 8
# Interval in seconds at which changed settings are looked for. Until a new queue is stored, a
# successor knows it from the configuration, as operators do not remove it within this time.
STORE_INTERVAL_S = 0.5

KnownQueues = Mapping[str, KnownQueue]


class _StoredQueue(Struct):
    # The settings are stored by name, so that an earlier version can read rows with more of them.
    version: int
    settings: dict[str, Any]


def collect_queues(
    rows: Iterable[Row], report_malformed: Callable[[RowMalformed], None]
) -> dict[str, KnownQueue]:
    """Return the stored queues by name."""
    known_by_name: dict[str, KnownQueue] = {}
    for row in rows:
        try:
            stored = [_decode_queue(each) for each in convert(row.value, list[_StoredQueue])]
        except ValidationError as error:
            report_malformed(RowMalformed(row.key, str(error)))
            continue
        for known in stored:
            # Earlier versions distributed the queues over fewer rows, which may be left.
            other = known_by_name.get(known.queue.name)
            if other is None or other.version <= known.version:
                known_by_name[known.queue.name] = known
    return known_by_name


def store_queues(dispatcher: Dispatcher, stored: KnownQueues) -> KnownQueues:
    """Queue rows of which the known queues differ from ``stored``, and return what is stored then.

    After large changes, or while the store is away, some rows are left to later calls.
    """
    if dispatcher.is_stopped():
        # It may have stopped before it had read the stored queues.
        return stored
    known = dict(dispatcher.context.operations.known_queue_by_name)
    changed_parts = {
        _part(name) for name in known.keys() | stored.keys() if known.get(name) != stored.get(name)
    }
    room = MAX_QUEUED_PARTS - dispatcher.recorder.count_queued_rows(f"{QUEUES_TABLE}/")
    if not changed_parts or room <= 0:
        return stored
    parts = sorted(changed_parts)[:room]
    rows: dict[int, list[_StoredQueue]] = {part: [] for part in parts}
    new_stored: dict[str, KnownQueue] = {}
    for name, each in known.items():
        part = _part(name)
        if part in rows:
            rows[part].append(_encode_queue(each))
            new_stored[name] = each
    for part, row in rows.items():
        dispatcher.recorder.queue_row(f"{QUEUES_TABLE}/{part}", row)
    new_stored.update((name, each) for name, each in stored.items() if _part(name) not in rows)
    return new_stored


def run_queue_store(dispatcher: Dispatcher, stored: KnownQueues) -> None:
    """Store the settings of the queues whenever they have changed, until the term ends."""
    while not dispatcher.is_stopped():
        dispatcher.context.sleep(STORE_INTERVAL_S)
        stored = store_queues(dispatcher, stored)


def _encode_queue(known: KnownQueue) -> _StoredQueue:
    settings = {
        name: value
        for name, value in known.queue._asdict().items()
        if name not in Queue._field_defaults or value != Queue._field_defaults[name]
    }
    return _StoredQueue(known.version, settings)


def _decode_queue(stored: _StoredQueue) -> KnownQueue:
    fields = [stored.settings.get(name, Queue._field_defaults.get(name)) for name in Queue._fields]
    return KnownQueue(convert(fields, Queue), stored.version)


def _part(name: str) -> int:
    return xxh32_intdigest(name.encode()) % QUEUE_PARTS

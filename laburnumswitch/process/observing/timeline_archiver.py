"""Archives timeline events in the object store in batches, because VMs have no durable storage.

Each cycle stores at most one object and changes at most one row, so that the events of all entries
together use a small and known share of the platform's write budget.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.observing.archive_index import ArchivedBatch
from laburnumswitch.process.observing.archive_index import ArchiveIndex
from laburnumswitch.process.observing.archive_index import decode_index
from laburnumswitch.process.observing.archive_index import describe_batch
from laburnumswitch.process.observing.archive_index import encode_batch
from laburnumswitch.process.observing.archive_index import FORMAT
from laburnumswitch.process.observing.archive_index import index_key
from laburnumswitch.process.observing.archive_index import INDEX_PREFIX
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

ARCHIVE_INTERVAL_S = 15.0
# Objects kept for one boot; beyond this the oldest one is removed.
MAX_OBJECTS = 240
# Events in one object; the next cycle stores further ones.
MAX_BATCH_EVENTS = 5_000
# Cycles between two searches for a boot whose events have expired.
EXPIRY_INTERVAL_CYCLES = 40
# Age at which events expire, in seconds.
RETENTION_S = 24 * 3600.0
# Objects of an expired boot that one cycle removes.
MAX_REMOVALS_PER_CYCLE = 4


class _ExpiredIndex(NamedTuple):
    row: Row
    names: deque[str]


class TimelineArchiver:
    """Stores the events of one boot of an entry, and removes expired events of earlier boots.

    A boot is one start of the process. Its events are removed once all are older than
    ``RETENTION_S``.
    """

    def __init__(
        self,
        timeline: Timeline,
        objects: ObjectStore,
        table: Table,
        process: str,
        boot: str,
        wall_clock: Callable[[], float],
    ) -> None:
        self._timeline = timeline
        self._objects = objects
        self._table = table
        self._process = process
        self._key = index_key(process, boot)
        self._wall_clock = wall_clock
        self._stored: deque[ArchivedBatch] = deque()
        self._index_is_stale = False
        self._cycles = 0
        self._expired: _ExpiredIndex | None = None

    def run(self, sleep: Callable[[float], None], is_stopped: Callable[[], bool]) -> None:
        """Run a cycle every ``ARCHIVE_INTERVAL_S``, and archive the remaining events on a stop."""
        while not is_stopped():
            self.run_cycle()
            sleep(ARCHIVE_INTERVAL_S)
        self.archive_remaining()

    def run_cycle(self) -> None:
        """Store the new events, if any, then change at most one row."""
        self._cycles += 1
        self._store_events()
        if self._cycles % EXPIRY_INTERVAL_CYCLES == 0:
            self._find_expired()
        if not self._remove_expired():
            self._write_index()

    def archive_remaining(self) -> None:
        """Store up to ``MAX_BATCH_EVENTS`` remaining events and the index."""
        self._store_events()
        self._write_index()

    def _store_events(self) -> None:
        events = self._timeline.after(self._timeline.stored_clock)[:MAX_BATCH_EVENTS]
        if not events:
            return
        batch = describe_batch(self._key, events)
        outcome = self._objects.put(batch["name"], encode_batch(events))
        if isinstance(outcome, Failure):
            logging.warning("event=timeline_spill_failed reason=%s", outcome.describe())
            return
        self._timeline.stored_clock = batch["last"]
        self._stored.append(batch)
        self._index_is_stale = True
        if len(self._stored) > MAX_OBJECTS:
            self._objects.remove(self._stored.popleft()["name"])

    def _write_index(self) -> None:
        if not self._index_is_stale:
            return
        index = ArchiveIndex(
            format=FORMAT,
            process=self._process,
            lost=self._timeline.lost,
            objects=list(self._stored),
        )
        # Only this entry writes the row, so after a lost answer the next write makes it correct.
        outcome = self._table.commit(Transaction(puts=(Put(self._key, index),)))
        if isinstance(outcome, Failure):
            logging.warning("event=timeline_index_failed reason=%s", outcome.describe())
            return
        self._index_is_stale = False

    def _find_expired(self) -> None:
        rows = scan_all(self._table, INDEX_PREFIX)
        if isinstance(rows, Failure) or self._expired is not None:
            return
        cutoff_s = self._wall_clock() - RETENTION_S
        for row in rows:
            index = decode_index(row)
            if row.key == self._key or isinstance(index, Failure):
                continue
            if all(stored["last_s"] < cutoff_s for stored in index["objects"]):
                names = deque(stored["name"] for stored in index["objects"])
                self._expired = _ExpiredIndex(row, names)
                return

    def _remove_expired(self) -> bool:
        """Remove a few objects of an expired boot, and its index row after the last of them.

        :return: whether a row was changed.
        """
        if self._expired is None:
            return False
        row, names = self._expired
        for _ in range(min(MAX_REMOVALS_PER_CYCLE, len(names))):
            if isinstance(self._objects.remove(names[0]), Failure):
                return False
            names.popleft()
        if names:
            return False
        self._expired = None
        condition = Condition(row.key, row.version)
        self._table.commit(Transaction((condition,), deletes=(row.key,)))
        return True

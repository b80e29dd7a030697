"""Moves the time line's events to the object store in batches, since VMs keep nothing.

Each turn stores at most one object and changes at most one row, so that the events of all entries
together take a small and known share of the platform's write budget.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.observing.spill_index import decode_index
from laburnumswitch.process.observing.spill_index import describe_batch
from laburnumswitch.process.observing.spill_index import encode_batch
from laburnumswitch.process.observing.spill_index import FORMAT
from laburnumswitch.process.observing.spill_index import index_key
from laburnumswitch.process.observing.spill_index import INDEX_PREFIX
from laburnumswitch.process.observing.spill_index import SpilledObject
from laburnumswitch.process.observing.spill_index import SpillIndex
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

SPILL_INTERVAL_S = 15.0
MAX_OBJECTS = 240
MAX_BATCH_EVENTS = 5_000
EXPIRY_EVERY_TURNS = 40
KEEP_S = 24 * 3600.0
REMOVALS_PER_TURN = 4


class _Expired(NamedTuple):
    row: Row
    names: deque[str]


class Spill:
    """Stores the events of one boot of an entry, and removes those of boots long past."""

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
        self._stored: deque[SpilledObject] = deque()
        self._index_is_due = False
        self._turns = 0
        self._expired: _Expired | None = None

    def run(self, sleep: Callable[[float], None], stopping: Callable[[], bool]) -> None:
        """Take a turn every ``SPILL_INTERVAL_S``, and store the last events on a stop."""
        while not stopping():
            self.turn()
            sleep(SPILL_INTERVAL_S)
        self.finish()

    def turn(self) -> None:
        """Store the new events, if any; then change one row, if one is due."""
        self._turns += 1
        self._store_events()
        if self._turns % EXPIRY_EVERY_TURNS == 0:
            self._find_expired()
        if not self._remove_expired():
            self._write_index()

    def finish(self) -> None:
        """Store the last events."""
        self._store_events()
        self._write_index()

    def _store_events(self) -> None:
        events = self._timeline.after(self._timeline.stored)[:MAX_BATCH_EVENTS]
        if not events:
            return
        stored = describe_batch(self._key, events)
        outcome = self._objects.put(stored["name"], encode_batch(events))
        if isinstance(outcome, Failure):
            logging.warning("event=timeline_spill_failed reason=%s", outcome.describe())
            return
        self._timeline.stored = stored["last"]
        self._stored.append(stored)
        self._index_is_due = True
        if len(self._stored) > MAX_OBJECTS:
            self._objects.remove(self._stored.popleft()["name"])

    def _write_index(self) -> None:
        if not self._index_is_due:
            return
        index = SpillIndex(
            format=FORMAT,
            process=self._process,
            lost=self._timeline.lost,
            objects=list(self._stored),
        )
        # Nobody else writes this row, so an answer that was lost is settled by the next write.
        outcome = self._table.commit(Transaction(puts=(Put(self._key, index),)))
        if isinstance(outcome, Failure):
            logging.warning("event=timeline_index_failed reason=%s", outcome.describe())
            return
        self._index_is_due = False

    def _find_expired(self) -> None:
        rows = scan_all(self._table, INDEX_PREFIX)
        if isinstance(rows, Failure) or self._expired is not None:
            return
        oldest_s = self._wall_clock() - KEEP_S
        for row in rows:
            index = decode_index(row)
            if row.key == self._key or isinstance(index, Failure):
                continue
            if all(stored["last_s"] < oldest_s for stored in index["objects"]):
                names = deque(stored["name"] for stored in index["objects"])
                self._expired = _Expired(row, names)
                return

    def _remove_expired(self) -> bool:
        """Remove a few objects of an expired index, and at last its row.

        :return: whether a row was changed.
        """
        if self._expired is None:
            return False
        row, names = self._expired
        for _ in range(min(REMOVALS_PER_TURN, len(names))):
            if isinstance(self._objects.remove(names[0]), Failure):
                return False
            names.popleft()
        if names:
            return False
        self._expired = None
        condition = Condition(row.key, row.version)
        self._table.commit(Transaction((condition,), deletes=(row.key,)))
        return True

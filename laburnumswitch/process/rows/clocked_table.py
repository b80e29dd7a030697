"""Propagates the logical clock through table rows, so that effects sort after their causes.

Heartbeats carry the clock only once a second. Without this, an entry that acts on a row written a
moment ago by another entry could record its event with a clock below that of the cause.
"""

from typing import Any

from msgspec import to_builtins

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

CLOCK_FIELD = "_clock"
# Rows that other entries act on and record events about.
STAMPED_PREFIXES = ("claim/", "head/", "inbox/")
# Larger stamps are ignored as invalid.
MAX_CLOCK = 2**52
# Added to the clock in a stamp: the writer records the events of a commit only after its answer,
# and may record other events before.
CLOCK_MARGIN = 1_000


class ClockedTable:
    """Table that stamps rows with the clock on commit and removes the stamp on read."""

    def __init__(self, table: Table, timeline: Timeline) -> None:
        self._table = table
        self._timeline = timeline

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""
        rows = self._table.read(keys)
        if isinstance(rows, Failure):
            return rows
        return {key: self._observe_clock(row) for key, row in rows.items()}

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""
        rows = self._table.scan(prefix, after)
        if isinstance(rows, Failure):
            return rows
        return tuple(self._observe_clock(row) for row in rows)

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        clock = self._timeline.clock + CLOCK_MARGIN
        puts = tuple(_stamp(put, clock) for put in transaction.puts)
        return self._table.commit(transaction._replace(puts=puts))

    def _observe_clock(self, row: Row) -> Row:
        if not isinstance(row.value, dict) or CLOCK_FIELD not in row.value:
            return row
        value = dict(row.value)
        clock = value.pop(CLOCK_FIELD)
        if isinstance(clock, int) and self._timeline.clock < clock < MAX_CLOCK:
            self._timeline.observe(clock)
        return row._replace(value=value)


def _stamp(put: Put, clock: int) -> Put:
    if not put.key.startswith(STAMPED_PREFIXES):
        return put
    value: Any = to_builtins(put.value)
    if not isinstance(value, dict):
        return put
    return put._replace(value={**value, CLOCK_FIELD: clock})

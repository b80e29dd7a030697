"""The table as a process uses it, with each call counted by its outcome and timed."""

from collections.abc import Callable
from typing import TypeVar

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

T = TypeVar("T")

SUCCEEDED = "Succeeded"

NoteCall = Callable[[str, str, float], None]


class CountedTable:
    """Passes every call on, and notes its name, the tag of its outcome and its seconds."""

    def __init__(self, table: Table, note: NoteCall, clock: Callable[[], float]) -> None:
        self._table = table
        self._note = note
        self._clock = clock

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""
        return self._count("read", lambda: self._table.read(keys))

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""
        return self._count("scan", lambda: self._table.scan(prefix, after))

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        return self._count("commit", lambda: self._table.commit(transaction))

    def _count(self, call: str, run: Callable[[], T]) -> T:
        began_s = self._clock()
        outcome = run()
        tag = outcome.tag if isinstance(outcome, Failure) else SUCCEEDED
        self._note(call, tag, self._clock() - began_s)
        return outcome

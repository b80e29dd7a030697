"""Table wrapper that counts calls by outcome and measures their duration."""

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

RecordCall = Callable[[str, str, float], None]


class InstrumentedTable:
    """Forwards every call and records its name, the tag of its outcome and its duration."""

    def __init__(self, table: Table, record_call: RecordCall, clock: Callable[[], float]) -> None:
        self._table = table
        self._record_call = record_call
        self._clock = clock

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""
        return self._measure("read", lambda: self._table.read(keys))

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""
        return self._measure("scan", lambda: self._table.scan(prefix, after))

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        return self._measure("commit", lambda: self._table.commit(transaction))

    def _measure(self, call_name: str, call_table: Callable[[], T]) -> T:
        started_s = self._clock()
        outcome = call_table()
        tag = outcome.tag if isinstance(outcome, Failure) else SUCCEEDED
        self._record_call(call_name, tag, self._clock() - started_s)
        return outcome

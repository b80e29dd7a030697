"""Conditional write of one row, with retries that are safe after a lost answer."""

from collections.abc import Callable
from typing import Any

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Throttled
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.3
# Longest pause before a throttled call is sent again, in seconds, even if the store asks for more.
MAX_RETRY_AFTER_S = 2.0


def write_row(
    table: Table,
    key: str,
    expected_version: int,
    value: dict[str, Any],
    sleep: Callable[[float], object],
) -> Committed | CommitFailure:
    """Write ``value`` if the row still has ``expected_version``.

    The transaction may be sent several times: its condition lets it take effect at most once. A
    conflict after a lost answer may be due to this write itself, so the row is read to find out.

    :return: ``Conflict`` only if the row now has another value; ``OutcomeUnknown`` only if no
        answer showed whether the write took effect.
    """
    transaction = Transaction((Condition(key, expected_version),), (Put(key, value),))
    unknown_outcome: OutcomeUnknown | None = None
    for attempt in range(MAX_ATTEMPTS):
        outcome = table.commit(transaction)
        if isinstance(outcome, Committed):
            return outcome
        if isinstance(outcome, Conflict):
            return (
                _resolve_conflict(table, outcome, value, unknown_outcome)
                if unknown_outcome
                else outcome
            )
        if isinstance(outcome, OutcomeUnknown):
            unknown_outcome = outcome
        if attempt < MAX_ATTEMPTS - 1:
            sleep(_retry_delay_s(outcome))
    return unknown_outcome or outcome


def _resolve_conflict(
    table: Table, conflict: Conflict, value: dict[str, Any], unknown_outcome: OutcomeUnknown
) -> Committed | Conflict | OutcomeUnknown:
    rows = table.read((conflict.key,))
    if isinstance(rows, Failure):
        return unknown_outcome
    row = rows[conflict.key]
    return Committed(row.version) if row.value == value else conflict


def _retry_delay_s(outcome: CommitFailure) -> float:
    if isinstance(outcome, Throttled):
        return min(outcome.retry_after_s, MAX_RETRY_AFTER_S)
    return RETRY_DELAY_S

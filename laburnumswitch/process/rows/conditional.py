"""Conditional writes of one row whose answer may be lost."""

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

ATTEMPTS = 4
RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 2.0


def write_row(
    table: Table,
    key: str,
    expected_version: int,
    value: dict[str, Any],
    sleep: Callable[[float], object],
) -> Committed | CommitFailure:
    """Write ``value`` if the row still has ``expected_version``.

    The same transaction may be sent several times: its condition lets at most one take effect. A
    conflict after a lost answer is settled by reading the row, since the conflict may be with this
    write itself.

    :return: ``Conflict`` only where the row now holds something else; ``OutcomeUnknown`` only
        where no answer settled what became of the write.
    """
    transaction = Transaction((Condition(key, expected_version),), (Put(key, value),))
    lost: OutcomeUnknown | None = None
    for attempt in range(ATTEMPTS):
        outcome = table.commit(transaction)
        if isinstance(outcome, Committed):
            return outcome
        if isinstance(outcome, Conflict):
            return _settle(table, outcome, value, lost) if lost else outcome
        if isinstance(outcome, OutcomeUnknown):
            lost = outcome
        if attempt < ATTEMPTS - 1:
            sleep(_delay_s(outcome))
    return lost or outcome


def _settle(
    table: Table, conflict: Conflict, value: dict[str, Any], lost: OutcomeUnknown
) -> Committed | Conflict | OutcomeUnknown:
    rows = table.read((conflict.key,))
    if isinstance(rows, Failure):
        return lost
    row = rows[conflict.key]
    return Committed(row.version) if row.value == value else conflict


def _delay_s(outcome: CommitFailure) -> float:
    if isinstance(outcome, Throttled):
        return min(outcome.retry_after_s, MAX_RETRY_DELAY_S)
    return RETRY_DELAY_S

"""Commit of batches to a shard's journal, resolution of unknown outcomes, and replay."""

from typing import NamedTuple

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import FormatUnknown
from laburnumswitch.exceptions import JournalBroken
from laburnumswitch.exceptions import LedgerConflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import OwnershipLost
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import head_key
from laburnumswitch.process.ledger.head import journal_key
from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.records import JournalRow
from laburnumswitch.process.ledger.records import read_journal_row
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.ledger.records import required_format
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

REPLAY_ROWS_PER_READ = 200


class Batch(NamedTuple):
    """Contents of one commit.

    :ivar batch_id: unique within the shard, except that ``touch_head`` repeats the last batch's id.
    :ivar conditions: conditions besides the one on the head: on the rows of availability zones in
        which runs are started, and on received inbox rows.
    :ivar snapshot: ``seq`` of a newly stored snapshot to write into the head, 0 for none.
    """

    batch_id: str
    records: tuple[Record, ...] = ()
    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()
    snapshot: int = 0


class TookEffect(NamedTuple):
    """The batch was committed; ``head`` is the current head."""

    head: Head


class HadNoEffect(NamedTuple):
    """The batch was not committed and never can be; ``head`` is the current head."""

    head: Head


SettleResult = (
    TookEffect | HadNoEffect | OwnershipLost | ReadFailure | FormatUnknown | JournalBroken
)
ReplayFailure = ReadFailure | FormatUnknown | JournalBroken | LedgerConflict


def commit_batch(table: Table, head: Head, batch: Batch) -> Head | CommitFailure:
    """Commit a batch on the condition that ``head`` is current, and return the next head.

    A batch without records writes no journal row and leaves ``seq`` unchanged.
    """
    value = _next_value(head, batch)
    puts = [Put(head_key(head.shard), value)]
    if batch.records:
        row = JournalRow(head.epoch, batch.batch_id, batch.records, required_format(batch.records))
        puts.append(Put(journal_key(head.shard, head.seq + 1), row))
    outcome = table.commit(
        Transaction(
            (Condition(head_key(head.shard), head.version), *batch.conditions),
            (*puts, *batch.puts),
            batch.deletes,
        )
    )
    if isinstance(outcome, Committed):
        return head.after_write(outcome.version, value)
    return outcome


def touch_head(table: Table, head: Head) -> Head | CommitFailure:
    """Write the head unchanged, which shows that its owner is alive and can reach the table."""
    return commit_batch(table, head, Batch(head.batch))


def settle_batch(table: Table, head: Head, batch: Batch) -> SettleResult:
    """Determine whether a batch whose answer was lost has been committed.

    Reads the head and compares it with the one that the batch would have written. If the head is
    unchanged, the commit may still be in flight. The head is then written unchanged, so that its
    version changes and the batch can no longer be committed.

    :param head: the head that the batch was conditional on.
    """
    while True:
        current = read_head(table, head.shard)
        if isinstance(current, Failure):
            return current
        if current.version == head.version:
            touched = touch_head(table, head)
            if isinstance(touched, Head):
                return HadNoEffect(touched)
            if isinstance(touched, Conflict | OutcomeUnknown):
                continue
            return touched
        if current.epoch != head.epoch or current.owner != head.owner:
            return OwnershipLost(head.shard, current.owner, current.epoch)
        if current.value == _next_value(head, batch):
            return TookEffect(current)
        return HadNoEffect(current)


def replay_journal(table: Table, head: Head, ledger: Ledger) -> Ledger | ReplayFailure:
    """Apply the journal rows after ``ledger.seq`` up to ``head.seq``."""
    while ledger.seq < head.seq:
        last = min(head.seq, ledger.seq + REPLAY_ROWS_PER_READ)
        keys = tuple(journal_key(head.shard, seq) for seq in range(ledger.seq + 1, last + 1))
        rows = table.read(keys)
        if isinstance(rows, Failure):
            return rows
        for key in keys:
            row = read_journal_row(key, rows[key].value)
            if isinstance(row, Failure):
                return row
            conflict = ledger.apply_all(row.records)
            if conflict is not None:
                return conflict
            ledger.seq += 1
    return ledger


def _next_value(head: Head, batch: Batch) -> dict:
    changes: dict[str, int | str] = {"batch": batch.batch_id}
    if batch.records:
        changes["seq"] = head.seq + 1
    if batch.snapshot:
        changes["snapshot"] = batch.snapshot
    return head.updated_value(**changes)

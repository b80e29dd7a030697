"""Commits of batches to a shard's journal, and what became of one whose answer was lost."""

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
from laburnumswitch.process.ledger.records import format_of
from laburnumswitch.process.ledger.records import JournalRow
from laburnumswitch.process.ledger.records import read_journal_row
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

REPLAY_READ_ROWS = 200


class Batch(NamedTuple):
    """What one commit does. ``batch_id`` is unique in the whole system.

    ``conditions`` are those besides the head's: the zones that work is started in, and inbox rows.
    """

    batch_id: str
    records: tuple[Record, ...] = ()
    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()
    snapshot: int = 0


class TookEffect(NamedTuple):
    """A batch is in the journal; ``head`` is the head now."""

    head: Head


class HadNoEffect(NamedTuple):
    """A batch is not in the journal and can never be; ``head`` is the head now."""

    head: Head


Settled = TookEffect | HadNoEffect | OwnershipLost | ReadFailure | FormatUnknown | JournalBroken
ReplayFailure = ReadFailure | FormatUnknown | JournalBroken | LedgerConflict


def commit_batch(table: Table, head: Head, batch: Batch) -> Head | CommitFailure:
    """Write a batch on the condition that ``head`` is the newest, and return the next head.

    A batch without records writes no journal row and leaves ``seq`` as it is.
    """
    value = _next_value(head, batch)
    puts = [Put(head_key(head.shard), value)]
    if batch.records:
        row = JournalRow(head.epoch, batch.batch_id, batch.records, format_of(batch.records))
        puts.append(Put(journal_key(head.shard, head.seq + 1), row))
    outcome = table.commit(
        Transaction(
            (Condition(head_key(head.shard), head.version), *batch.conditions),
            (*puts, *batch.puts),
            batch.deletes,
        )
    )
    if isinstance(outcome, Committed):
        return head.after(outcome.version, value)
    return outcome


def touch_head(table: Table, head: Head) -> Head | CommitFailure:
    """Write the head unchanged, which shows that its owner lives and can reach the table."""
    return commit_batch(table, head, Batch(head.batch))


def settle_batch(table: Table, head: Head, batch: Batch) -> Settled:
    """Decide a batch whose answer was lost.

    Reads the head and the journal row that the batch would have written. Where the head has not
    changed, the commit may still be on its way, so the head is touched first: from then on the
    batch can no longer take effect.

    :param head: the head that the batch was conditional on.
    """
    while True:
        now = read_head(table, head.shard)
        if isinstance(now, Failure):
            return now
        if now.version == head.version:
            touched = touch_head(table, head)
            if isinstance(touched, Head):
                return HadNoEffect(touched)
            if isinstance(touched, Conflict | OutcomeUnknown):
                continue
            return touched
        if now.epoch != head.epoch or now.owner != head.owner:
            return OwnershipLost(head.shard, now.owner, now.epoch)
        if now.value == _next_value(head, batch):
            return TookEffect(now)
        return HadNoEffect(now)


def replay_journal(table: Table, head: Head, ledger: Ledger) -> Ledger | ReplayFailure:
    """Apply the journal rows after ``ledger.seq`` up to the head's."""
    while ledger.seq < head.seq:
        last = min(head.seq, ledger.seq + REPLAY_READ_ROWS)
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
    return head.change(**changes)

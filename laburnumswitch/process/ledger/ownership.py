"""Ownership of shards: preferred entries, takeover and release."""

from collections.abc import Iterable
from typing import NamedTuple

from xxhash import xxh64_intdigest

from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import head_key
from laburnumswitch.process.ledger.head import NO_OWNER
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.workers.lease import HEAD_STALE_AFTER_S


class ObservedHead(NamedTuple):
    """A head, and when this entry first saw its current version."""

    head: Head
    since_s: float


def shard_of_rack(rack: str, shard_count: int) -> int:
    """Return the shard that the workers of a rack belong to."""
    return xxh64_intdigest(rack.encode()) % shard_count


def rank_entries(name: str, entries: Iterable[str]) -> list[str]:
    """Return the entries ordered by rendezvous hashing for ``name``, preferred first."""
    return sorted(
        entries,
        key=lambda entry: (xxh64_intdigest(f"{name}/{entry}".encode()), entry),
        reverse=True,
    )


def preferred_entry(name: str, entries: Iterable[str]) -> str:
    """Return the entry that rendezvous hashing prefers for ``name``, empty without entries."""
    return next(iter(rank_entries(name, entries)), "")


def observe_head(head: Head, earlier: ObservedHead | None, now_s: float) -> ObservedHead:
    """Return ``earlier`` if the head's version is unchanged, else a new observation."""
    if earlier is not None and earlier.head.version == head.version:
        return earlier
    return ObservedHead(head, now_s)


def may_take_over(observed: ObservedHead, owner_is_live: bool, now_s: float) -> bool:
    """Return whether to attempt a takeover.

    A wrong answer is harmless, because the takeover is conditional on the head. The check only
    avoids unnecessary takeovers.
    """
    if observed.head.owner == NO_OWNER:
        return True
    return not owner_is_live and now_s - observed.since_s >= HEAD_STALE_AFTER_S


def take_over(table: Table, head: Head, vm_id: str) -> Head | CommitFailure:
    """Become the owner under the next epoch, on the condition that ``head`` is current."""
    return _write_owner(table, head, vm_id, head.epoch + 1)


def release_ownership(table: Table, head: Head) -> Head | CommitFailure:
    """Clear the owner, so that any entry may take over at once."""
    return _write_owner(table, head, NO_OWNER, head.epoch)


def _write_owner(table: Table, head: Head, owner: str, epoch: int) -> Head | CommitFailure:
    value = head.updated_value(owner=owner, epoch=epoch)
    key = head_key(head.shard)
    outcome = table.commit(Transaction((Condition(key, head.version),), (Put(key, value),)))
    if isinstance(outcome, Committed):
        return head.after_write(outcome.version, value)
    return outcome

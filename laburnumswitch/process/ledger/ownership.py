"""Who owns a shard: takeover of silent or empty heads, and release."""

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


class SeenHead(NamedTuple):
    """A head and the instant of this entry's clock at which this version of it was first seen."""

    head: Head
    since_s: float


def shard_of_rack(rack: str, shard_count: int) -> int:
    """Return the shard that the workers of a rack belong to."""
    return xxh64_intdigest(rack.encode()) % shard_count


def rank_entries(name: str, entries: Iterable[str]) -> list[str]:
    """Return entries in the order in which rendezvous hashing prefers them for ``name``."""
    return sorted(
        entries,
        key=lambda entry: (xxh64_intdigest(f"{name}/{entry}".encode()), entry),
        reverse=True,
    )


def preferred_entry(name: str, entries: Iterable[str]) -> str:
    """Return the entry that rendezvous hashing prefers for ``name``; empty without entries."""
    return next(iter(rank_entries(name, entries)), "")


def observe_head(head: Head, earlier: SeenHead | None, now_s: float) -> SeenHead:
    """Return ``earlier`` where the head has not changed since, and a new observation otherwise."""
    if earlier is not None and earlier.head.version == head.version:
        return earlier
    return SeenHead(head, now_s)


def may_take_over(seen: SeenHead, owner_is_heard: bool, now_s: float) -> bool:
    """Return whether a takeover may be tried.

    The condition on the head keeps a wrong answer harmless; this only avoids needless takeovers.
    """
    if seen.head.owner == NO_OWNER:
        return True
    return not owner_is_heard and now_s - seen.since_s >= HEAD_STALE_AFTER_S


def take_over(table: Table, head: Head, vm_id: str) -> Head | CommitFailure:
    """Raise the epoch and become the owner, on the condition that ``head`` is the newest."""
    return _write_owner(table, head, vm_id, head.epoch + 1)


def release(table: Table, head: Head) -> Head | CommitFailure:
    """Empty the owner, so that any entry may take over at once."""
    return _write_owner(table, head, NO_OWNER, head.epoch)


def _write_owner(table: Table, head: Head, owner: str, epoch: int) -> Head | CommitFailure:
    value = head.change(owner=owner, epoch=epoch)
    key = head_key(head.shard)
    outcome = table.commit(Transaction((Condition(key, head.version),), (Put(key, value),)))
    if isinstance(outcome, Committed):
        return head.after(outcome.version, value)
    return outcome

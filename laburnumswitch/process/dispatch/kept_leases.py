"""Stores whose leases owners have extended while they loaded, so that all others' ends hold.

Handles owners that follow one another quickly while some workers do not answer: one extended lease
would otherwise make all that an earlier owner has told of the ends of leases out of date, and each
later owner would wait for a whole lease from its own takeover on.

A worker is stored before its first lease is sent, so that one whose answer was lost counts as well.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError
from xxhash import xxh32_intdigest

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.rows.table import Row

KEPT_LEASES_TABLE = "kept-leases"
# A transaction holds 100 entries, so the workers share a few rows.
KEPT_LEASES_PARTS = 16
# A row of the platform's store holds 64 KiB; an id takes up to 50 bytes.
WORKERS_PER_ROW = 1000
# Epoch of a row that does not name all of its workers, and is never in force.
INCOMPLETE_EPOCH = 0


class KeptLeasesRow(NamedTuple):
    """Some of the workers whose leases may have been extended by owners that loaded.

    :ivar epoch: last term in which one of these owners may have extended any.
    :ivar since_epoch: the leases that owners after this term may have extended are named.
    """

    epoch: int
    since_epoch: int
    worker_ids: tuple[str, ...]


class KeptLeases:
    """The workers whose leases may have been extended since a term.

    :ivar since_epoch: last term whose owner granted leases, or told of all that were granted.
    :ivar worker_ids: the workers, ``None`` if these may be any.
    """

    def __init__(self, epoch: int, since_epoch: int, worker_ids: frozenset[str] | None) -> None:
        self.since_epoch = since_epoch
        self.worker_ids = worker_ids
        self._epoch = epoch
        self._has_queued_rows = False

    def may_be_kept(self, worker_id: str) -> bool:
        """Return whether the lease of a worker may have been extended."""
        return self.worker_ids is None or worker_id in self.worker_ids

    def queue_rows(self, worker_ids: Iterable[str], recorder: Recorder) -> None:
        """Queue the rows that name more workers.

        With the first ones all rows are written, as an owner's rows are in force only together.
        """
        if self.worker_ids is None:
            return
        added_ids = frozenset(worker_ids) - self.worker_ids
        self.worker_ids |= added_ids
        parts = {_part_of(worker_id) for worker_id in added_ids}
        if not self._has_queued_rows:
            parts = set(range(KEPT_LEASES_PARTS))
        self._has_queued_rows = True
        ids_by_part: dict[int, list[str]] = {part: [] for part in parts}
        for worker_id in self.worker_ids:
            if (part := _part_of(worker_id)) in parts:
                ids_by_part[part].append(worker_id)
        for part, ids in ids_by_part.items():
            row = KeptLeasesRow(self._epoch, self.since_epoch, tuple(ids))
            if len(ids) > WORKERS_PER_ROW:
                row = KeptLeasesRow(INCOMPLETE_EPOCH, self.since_epoch, ())
            recorder.queue_row(f"{KEPT_LEASES_TABLE}/{part}", row)


def collect_kept_leases(
    rows: Iterable[Row],
    kept_epoch: int,
    since_epoch: int,
    report_malformed: Callable[[RowMalformed], None],
) -> frozenset[str] | None:
    """Return the workers whose leases may have been extended, ``None`` if these may be any.

    :param kept_epoch: last term in which leases may have been extended while an owner loaded. An
        owner of an earlier version names no workers.
    :param since_epoch: last term whose owner granted leases, or told of all that were granted.
    """
    ids_by_key = {}
    for row in rows:
        try:
            stored = convert(row.value, KeptLeasesRow)
        except ValidationError as error:
            report_malformed(RowMalformed(row.key, str(error)))
            continue
        if stored.epoch == kept_epoch and stored.since_epoch <= since_epoch:
            ids_by_key[row.key] = stored.worker_ids
    if len(ids_by_key) < KEPT_LEASES_PARTS:
        return None
    return frozenset(worker_id for ids in ids_by_key.values() for worker_id in ids)


def _part_of(worker_id: str) -> int:
    return xxh32_intdigest(worker_id.encode()) % KEPT_LEASES_PARTS

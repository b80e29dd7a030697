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
# A row of the platform's store holds 64 KiB; a worker takes up to 60 bytes.
WORKERS_PER_ROW = 800
# Epoch of a row that does not name all of its workers, and is never in force.
INCOMPLETE_EPOCH = 0


class KeptLeasesRow(NamedTuple):
    """Some of the workers whose leases may have been extended by owners that loaded.

    :ivar epoch: last term in which one of these owners may have extended any.
    :ivar since_epoch: the leases that owners after this term may have extended are named.
    :ivar epoch_by_id: last term in which the lease of each worker may have been extended.
    """

    epoch: int
    since_epoch: int
    epoch_by_id: dict[str, int]


class KeptLeases:
    """The workers whose leases may have been extended since a term.

    :ivar since_epoch: last term whose owner granted leases, or told of all that were granted.
    """

    def __init__(
        self, epoch: int, since_epoch: int, kept_epoch: int, epoch_by_id: dict[str, int] | None
    ) -> None:
        """Begin with what earlier owners have stored.

        :param epoch: the term of this owner.
        :param kept_epoch: last earlier term in which leases may have been extended.
        :param epoch_by_id: last such term of each worker, ``None`` if these may be any.
        """
        self.since_epoch = since_epoch
        self._epoch = epoch
        self._kept_epoch = kept_epoch
        self._epoch_by_id = epoch_by_id
        self._has_queued_rows = False

    def last_epoch(self, worker_id: str) -> int:
        """Return the last term in which a worker's lease may have been extended."""
        if self._epoch_by_id is None:
            return max(self._kept_epoch, self.since_epoch)
        return self._epoch_by_id.get(worker_id, self.since_epoch)

    def last_epochs(self) -> frozenset[int]:
        """Return the last terms in which leases of workers may have been extended."""
        epochs = {self._kept_epoch} if self._epoch_by_id is None else self._epoch_by_id.values()
        return frozenset({self.since_epoch, *epochs})

    def queue_rows(self, worker_ids: Iterable[str], recorder: Recorder) -> None:
        """Queue the rows that name workers whose leases this owner is about to extend.

        With the first ones all rows are written, as an owner's rows are in force only together.
        """
        if self._epoch_by_id is None:
            return
        added = dict.fromkeys(worker_ids, self._epoch)
        self._epoch_by_id |= added
        parts = {_part_of(worker_id) for worker_id in added}
        if not self._has_queued_rows:
            parts = set(range(KEPT_LEASES_PARTS))
        self._has_queued_rows = True
        rows_by_part: dict[int, dict[str, int]] = {part: {} for part in parts}
        for worker_id, epoch in self._epoch_by_id.items():
            if (part := _part_of(worker_id)) in parts:
                rows_by_part[part][worker_id] = epoch
        for part, epoch_by_id in rows_by_part.items():
            row = KeptLeasesRow(self._epoch, self.since_epoch, epoch_by_id)
            if len(epoch_by_id) > WORKERS_PER_ROW:
                row = KeptLeasesRow(INCOMPLETE_EPOCH, self.since_epoch, {})
            recorder.queue_row(f"{KEPT_LEASES_TABLE}/{part}", row)


def collect_kept_leases(
    rows: Iterable[Row],
    kept_epoch: int,
    since_epoch: int,
    report_malformed: Callable[[RowMalformed], None],
) -> dict[str, int] | None:
    """Return when leases may have been extended last, ``None`` if these may be any.

    :param kept_epoch: last term in which leases may have been extended while an owner loaded. An
        owner of an earlier version names no workers.
    :param since_epoch: last term whose owner granted leases, or told of all that were granted.
    :return: the last such term of each worker.
    """
    stored_by_key = {}
    for row in rows:
        try:
            stored = convert(row.value, KeptLeasesRow)
        except ValidationError as error:
            report_malformed(RowMalformed(row.key, str(error)))
            continue
        if stored.epoch == kept_epoch and stored.since_epoch <= since_epoch:
            stored_by_key[row.key] = stored.epoch_by_id
    if len(stored_by_key) < KEPT_LEASES_PARTS:
        return None
    return {
        worker_id: epoch
        for epoch_by_id in stored_by_key.values()
        for worker_id, epoch in epoch_by_id.items()
    }


def _part_of(worker_id: str) -> int:
    return xxh32_intdigest(worker_id.encode()) % KEPT_LEASES_PARTS

"""Stores what an owner knows of workers that do not answer, for a successor that cannot ask them.

Handles owners that are lost while workers are: an owner that is killed hands nothing over, and its
successor would count a whole lease, from its own start on, for workers that were silent before.

A stored silence says that nothing was granted to the worker and nothing was started there since it
was described. To keep that true, the owner grants nothing to a silent worker, and to one that
answers again only once the removal of its silence is committed. A superseded owner cannot commit,
so it can grant nothing either. Rows are in force only if the last owner that may have sent commands
wrote them: a new owner writes all of them again with the announcement of its commands.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError
from xxhash import xxh32_intdigest

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.handover import HandedOverRun
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.rows.table import Row

SILENCES_TABLE = "silences"
# Many workers fall silent at a time when an availability zone is lost, and a transaction holds 100
# entries, so the workers share a few rows.
SILENCES_PARTS = 8
# A row of the platform's store holds 64 KiB; a run takes up to 60 bytes and a worker up to 150.
# Workers beyond these numbers are left out: a successor waits for their leases.
RUNS_PER_ROW = 600
WORKERS_PER_ROW = 100
# A change of the end of a lease by less than this, in seconds, is not worth a commit unless it is
# later.
LAPSE_TOLERANCE_S = 0.1


class Silence(NamedTuple):
    """What an owner knows of a worker that does not answer.

    :ivar incarnation: the worker's incarnation as far as known, 0 if it is not.
    :ivar vm_id: the VM that runs it, empty if unknown.
    :ivar quiet_since_s: instant from which on this incarnation has been known and was sent no start
        that may run, on the store's clock. What a later list of VMs says of it holds for its runs.
    :ivar lapses_s: when all its leases have certainly expired, and its runs have ended, on the
        store's clock.
    :ivar has_unknown_runs: see ``handover.WorkerHandover``.
    """

    worker_id: str
    incarnation: int
    vm_id: str
    quiet_since_s: float
    lapses_s: float
    has_unknown_runs: bool
    runs: tuple[HandedOverRun, ...]


class SilencesRow(NamedTuple):
    """Some of the silent workers; ``epoch`` is that of the owner that wrote the row."""

    epoch: int
    silences: tuple[Silence, ...]


class _Described(NamedTuple):
    """A silence, and the end of its leases on the monotonic clock.

    :ivar first_batch: the first batch that may have stored the worker as silent, 0 for one of an
        earlier owner.
    """

    silence: Silence
    lapse_bound_s: float
    first_batch: int


class Silences:
    """The silent workers as they are stored, and when those that answer again may get leases."""

    def __init__(self, epoch: int, recorder: Recorder) -> None:
        self._epoch = epoch
        self._recorder = recorder
        self._described_by_id: dict[str, _Described] = {}
        # Batch that removes the silence of each worker that has answered since.
        self._removal_by_id: dict[str, int] = {}

    def inherit(self, silence: Silence, lapse_bound_s: float) -> None:
        """Take over a silence that an earlier owner stored; ``announce`` writes it again."""
        self._described_by_id[silence.worker_id] = _Described(silence, lapse_bound_s, 0)

    def announce(self, stored_keys: Iterable[str]) -> None:
        """Queue all rows, to be committed together with the announcement of commands.

        :param stored_keys: keys of the rows that exist, also of those that are out of date.
        """
        parts = {silence_part(worker_id) for worker_id in self._described_by_id}
        for key in {*stored_keys, *map(_row_key, parts)}:
            self._queue_row(key)

    def record(self, silence: Silence, lapse_bound_s: float) -> bool:
        """Store what is known of a silent worker, and return whether that has changed.

        :param lapse_bound_s: ``silence.lapses_s`` on the monotonic clock.
        """
        known = self._described_by_id.get(silence.worker_id)
        if known is not None:
            later_s = lapse_bound_s - known.lapse_bound_s
            if _is_same(known.silence, silence) and -LAPSE_TOLERANCE_S < later_s <= 0.0:
                return False
        batch = self._recorder.next_batch if known is None else known.first_batch
        self._described_by_id[silence.worker_id] = _Described(silence, lapse_bound_s, batch)
        self._queue_row(_row_key(silence_part(silence.worker_id)))
        return True

    def remove(self, worker_id: str) -> int:
        """Remove the silence of a worker that answers or was dropped.

        :return: number of the batch that has to be committed before the worker gets leases or
            starts, 0 if the silence was never sent to the store.
        """
        known = self._described_by_id.pop(worker_id, None)
        if known is not None:
            batch = self._queue_row(_row_key(silence_part(worker_id)))
            if batch != known.first_batch:
                self._forget_committed_removals()
                self._removal_by_id[worker_id] = batch
        return self._removal_by_id.get(worker_id, 0)

    def may_grant(self, worker_id: str) -> bool:
        """Return whether a worker may get leases, as no silence of it can be stored."""
        if worker_id in self._described_by_id:
            return False
        return self._recorder.committed >= self._removal_by_id.get(worker_id, 0)

    def wait_for_removal(self, worker_id: str, timeout_s: float) -> bool:
        """Wait until a worker that has answered may get leases, and return whether it may."""
        batch = self._removal_by_id.get(worker_id, 0)
        return self.may_grant(worker_id) or self._recorder.wait_for(batch, timeout_s)

    def _forget_committed_removals(self) -> None:
        committed = self._recorder.committed
        self._removal_by_id = {
            worker_id: batch
            for worker_id, batch in self._removal_by_id.items()
            if batch > committed
        }

    def _queue_row(self, key: str) -> int:
        silences: list[Silence] = []
        room = RUNS_PER_ROW
        for worker_id, described in self._described_by_id.items():
            run_count = len(described.silence.runs)
            if _row_key(silence_part(worker_id)) == key and run_count <= room:
                silences.append(described.silence)
                room -= run_count
        row = SilencesRow(self._epoch, tuple(silences[:WORKERS_PER_ROW]))
        return self._recorder.queue_row(key, row)


def collect_silences(
    rows: Iterable[Row], acted_epoch: int, report_malformed: Callable[[RowMalformed], None]
) -> dict[str, Silence]:
    """Return the silences that are in force, by worker id.

    :param acted_epoch: last epoch in which commands may have been sent to workers.
    """
    silence_by_id = {}
    for row in rows:
        try:
            stored = convert(row.value, SilencesRow)
        except ValidationError as error:
            report_malformed(RowMalformed(row.key, str(error)))
            continue
        if stored.epoch == acted_epoch:
            silence_by_id.update((silence.worker_id, silence) for silence in stored.silences)
    return silence_by_id


def _is_same(one: Silence, other: Silence) -> bool:
    """Return whether two silences are equal but for instants, whose bounds vary a little."""
    return one == other._replace(lapses_s=one.lapses_s, quiet_since_s=one.quiet_since_s)


def silence_part(worker_id: str) -> int:
    """Return the number of the row that stores the silence of a worker."""
    return xxh32_intdigest(worker_id.encode()) % SILENCES_PARTS


def _row_key(part: int) -> str:
    return f"{SILENCES_TABLE}/{part}"

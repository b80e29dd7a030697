"""What a new owner does if the stored list of workers lacks some, or cannot be read as a whole.

Another version may have stored the rows. Workers in them may run tasks of earlier owners, and the
new owner learns of such a worker only if the platform lists it and it answers. So it does not know
the runs of all workers before every lease has lapsed. It stores that some rows were not read, as it
replaces them once it adds workers to them and its successors would take the list for a whole one,
and until when such runs may go on, so that the wait for them does not begin anew with each owner.

Workers that the list lacks and of which an earlier owner has told runs are added without an address
until the platform lists them, so that these runs count until the worker answers or they lapse.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TypedDict

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import fleet_key
from laburnumswitch.process.dispatch.dispatcher import FLEET_TABLE
from laburnumswitch.process.dispatch.handover import WorkerHandover
from laburnumswitch.process.dispatch.silences import Silence
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.rows.table import Row

# Not a list of workers, so owners of any version count it as a row that cannot be read.
UNREAD_KEY = f"{FLEET_TABLE}/unread"


class UnreadRow(TypedDict):
    """What an owner stores of the rows that it could not read.

    :ivar keys: keys of these rows, and ``UNREAD_KEY`` if an earlier owner had stored it.
    :ivar epoch: the owner's epoch.
    :ivar until_s: when the last lease ends that earlier owners may have granted to workers in these
        rows, on the store's clock; ``None`` if unknown. Leases of this owner may last longer, and
        are handed over if it leaves gracefully.
    """

    keys: tuple[str, ...]
    epoch: int
    until_s: float | None


class UnreadRows:
    """The rows that an owner could not read.

    :ivar keys: as in ``UnreadRow``.
    :param limit_s: when the leases of workers in them end by what an earlier owner has stored, on
        the monotonic clock; infinity if that is not known.
    """

    def __init__(
        self, dispatcher: Dispatcher, keys: tuple[str, ...], limit_s: float = float("inf")
    ) -> None:
        self.keys = keys
        self._dispatcher = dispatcher
        self._limit_s = limit_s
        self._stored_until_s = float("inf")

    def until_s(self) -> float:
        """Return until when workers in the rows may run tasks of earlier owners."""
        return min(self._limit_s, self._dispatcher.unknown_runs_until_s)

    def may_run(self) -> bool:
        """Return whether workers in the rows may still run tasks of earlier owners."""
        return bool(self.keys) and self._dispatcher.recorder.last_owned_s() <= self.until_s()

    def store(self) -> None:
        """Store that the rows were not read, no later than any of them is replaced.

        The row is stored again once the earlier owners are known to have ended sooner.
        """
        until_s = self.until_s()
        if not self.keys or until_s >= self._stored_until_s:
            return
        self._stored_until_s = until_s
        dispatcher = self._dispatcher
        store_s = dispatcher.store_time.to_store_s(until_s)
        row = UnreadRow(keys=self.keys, epoch=dispatcher.epoch, until_s=store_s)
        dispatcher.recorder.queue_row(UNREAD_KEY, row)

    def replace(self) -> None:
        """Store the workers of the rows, once all runs of earlier owners are known."""
        if not self.keys:
            return
        self._dispatcher.recorder.queue_removals(tuple({*self.keys, UNREAD_KEY}))
        for worker_id in self._dispatcher.workers_by_id:
            if fleet_key(worker_id) in self.keys:
                self._dispatcher.queue_fleet_row(worker_id)


def describe_unread(
    dispatcher: Dispatcher, rows: Iterable[Row], keys: tuple[str, ...], handover_epoch: int
) -> UnreadRows:
    """Return the rows that could not be read, with what an earlier owner has stored of them.

    That holds if its owner has sent no commands, or has handed over all workers that it may have
    sent any to, and no later owner has sent any.

    :param rows: the whole list of workers.
    :param keys: keys of the rows that could not be read.
    :param handover_epoch: epoch of the owner whose handover is in force, 0 for none.
    """
    value = next((row.value for row in rows if row.key == UNREAD_KEY), None)
    try:
        stored = convert(value, UnreadRow)
    except ValidationError:
        # There is none, or an earlier version has stored only its keys.
        return UnreadRows(dispatcher, keys)
    epoch, succession = stored["epoch"], dispatcher.succession
    has_handed_over = epoch == succession.acted_epoch == handover_epoch
    is_in_force = has_handed_over or epoch > succession.acted_epoch
    # A later owner may have read the rows, and have extended leases of workers in them.
    is_in_force = is_in_force and epoch >= succession.kept_epoch
    is_about_all = {*keys} <= {*stored["keys"], UNREAD_KEY}
    if stored["until_s"] is None or not (is_in_force and is_about_all):
        return UnreadRows(dispatcher, keys)
    limit_s = dispatcher.store_time.from_store_s(stored["until_s"])
    return UnreadRows(dispatcher, keys, float("inf") if limit_s is None else limit_s)


def missing_listings(
    dispatcher: Dispatcher,
    silence_by_id: Mapping[str, Silence],
    handover_by_id: Mapping[str, WorkerHandover],
) -> Iterator[WorkerListing]:
    """Return listings of the workers that may run tasks and that the list of workers lacks.

    :param silence_by_id: what an earlier owner has stored of workers that did not answer.
    :param handover_by_id: what an earlier owner has handed over.
    """
    for worker_id, known in {**silence_by_id, **handover_by_id}.items():
        if worker_id in dispatcher.workers_by_id or not (known.runs or known.has_unknown_runs):
            continue
        dispatcher.context.log.note("worker_missing", worker_id, runs=len(known.runs))
        silence = silence_by_id.get(worker_id)
        yield WorkerListing(
            worker_id,
            service="",
            address="",
            availability_zone="",
            is_draining=False,
            cpu_millis=0,
            memory_mb=0,
            accelerators=0,
            labels=(),
            rack="",
            incarnation=silence.incarnation if silence else 0,
        )

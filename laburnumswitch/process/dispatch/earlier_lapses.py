"""Stores until when runs of earlier owners may go on, for successors of an owner that does not act.

Handles owners that are killed one after the other, before they have sent a command, while workers
do not answer: each of them would count a whole lease from its own takeover on, although the last
owner that granted leases ended long before.

An owner that is about to act need not store it, as its successors count from its own end.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.leadership.term import TERM_TABLE
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Row

EARLIER_LAPSES_KEY = f"{TERM_TABLE}/earlier-lapses"
# Longest wait for the end of the earlier owners, in seconds, before the term is checked again.
CHECK_INTERVAL_S = 1.0


class EarlierLapse(NamedTuple):
    """When all leases that owners up to a term granted have certainly expired.

    :ivar lapses_s: on the store's clock; the runs have ended by then.
    """

    epoch: int
    lapses_s: float


def decode_earlier_lapses(row: Row) -> tuple[EarlierLapse, ...] | RowMalformed:
    """Decode what earlier owners have stored, nothing if there is no row."""
    if row.version == ABSENT_VERSION or row.value is None:
        return ()
    try:
        return convert(row.value, tuple[EarlierLapse, ...])
    except ValidationError as error:
        return RowMalformed(row.key, str(error))


def first_lapse_s(lapses: Iterable[EarlierLapse], epoch: int) -> float:
    """Return when leases that owners up to a term granted have expired, infinity if unknown."""
    return min((each.lapses_s for each in lapses if each.epoch >= epoch), default=float("inf"))


def choose_lapses(
    lapses: Iterable[EarlierLapse], epochs: Iterable[int]
) -> tuple[EarlierLapse, ...]:
    """Return the lapses from which successors learn the first ones for some terms."""
    by_time = sorted(lapses, key=lambda each: each.lapses_s)
    chosen = {
        next((each for each in by_time if each.epoch >= epoch), None): None for epoch in epochs
    }
    return tuple(each for each in chosen if each is not None)


def earlier_lapse_s(dispatcher: Dispatcher, lapses: tuple[EarlierLapse, ...], epoch: int) -> float:
    """Return the same as ``first_lapse_s``, on the owner's monotonic clock."""
    instant_s = dispatcher.store_time.from_store_s(first_lapse_s(lapses, epoch))
    return float("inf") if instant_s is None else instant_s


def limit_by_earlier_lapses(
    dispatcher: Dispatcher, lapses: tuple[EarlierLapse, ...], granted_epoch: int
) -> None:
    """Limit how much longer unknown runs may go on by what earlier owners have stored.

    :param granted_epoch: last term whose owner may have granted leases.
    """
    until_s = earlier_lapse_s(dispatcher, lapses, granted_epoch)
    if until_s < dispatcher.unknown_runs_until_s:
        dispatcher.limit_unknown_runs(until_s - dispatcher.context.clock())


def store_earlier_lapses(
    dispatcher: Dispatcher, lapses: tuple[EarlierLapse, ...], epochs: Iterable[int]
) -> None:
    """Store until when runs of earlier owners may go on, and again once these have ended.

    :param lapses: what earlier owners have stored.
    :param epochs: the terms as of which a successor may ask for it.
    """
    late_jobs = dispatcher.late_jobs
    has_ended = not late_jobs.may_be_started
    _queue_lapses(dispatcher, lapses, epochs)
    while not (has_ended or dispatcher.is_loaded.is_set() or dispatcher.is_stopped()):
        has_ended = late_jobs.predecessor_ended.wait(CHECK_INTERVAL_S)
        if has_ended and not dispatcher.is_loaded.is_set():
            _queue_lapses(dispatcher, lapses, epochs)


def _queue_lapses(
    dispatcher: Dispatcher, lapses: tuple[EarlierLapse, ...], epochs: Iterable[int]
) -> None:
    lapses_s = dispatcher.store_time.to_store_s(dispatcher.unknown_runs_until_s)
    if lapses_s is not None:
        own = EarlierLapse(dispatcher.epoch - 1, lapses_s)
        chosen = choose_lapses((*lapses, own), epochs)
        dispatcher.recorder.queue_row(EARLIER_LAPSES_KEY, chosen)

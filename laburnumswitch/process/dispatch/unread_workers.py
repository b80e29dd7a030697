"""What a new owner does if the stored list of workers lacks some, or cannot be read as a whole.

Another version may have stored the rows. Workers in them may run tasks of earlier owners, and the
new owner learns of such a worker only if the platform lists it and it answers. So it does not know
the runs of all workers before every lease has lapsed. It stores that some rows were not read, as it
replaces them once it adds workers to them and its successors would take the list for a whole one.

Workers that the list lacks and of which an earlier owner has told runs are added without an address
until the platform lists them, so that these runs count until the worker answers or they lapse.
"""

from collections.abc import Iterator
from collections.abc import Mapping

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import fleet_key
from laburnumswitch.process.dispatch.dispatcher import FLEET_TABLE
from laburnumswitch.process.dispatch.handover import WorkerHandover
from laburnumswitch.process.dispatch.silences import Silence
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing

# Not a list of workers, so owners of any version count it as a row that cannot be read.
UNREAD_KEY = f"{FLEET_TABLE}/unread"


def store_unread(dispatcher: Dispatcher, keys: tuple[str, ...]) -> None:
    """Store that some rows were not read, no later than any of them is replaced."""
    if keys:
        dispatcher.recorder.queue_row(UNREAD_KEY, {"keys": keys})


def may_run_unread(dispatcher: Dispatcher, keys: tuple[str, ...]) -> bool:
    """Return whether workers in rows that were not read may still run tasks of earlier owners."""
    return bool(keys) and dispatcher.recorder.last_owned_s() <= dispatcher.unknown_runs_until_s


def replace_unread(dispatcher: Dispatcher, keys: tuple[str, ...]) -> None:
    """Store the workers of rows that were not read, once all runs of earlier owners are known."""
    if not keys:
        return
    dispatcher.recorder.queue_removals(tuple({*keys, UNREAD_KEY}))
    for worker_id in dispatcher.workers_by_id:
        if fleet_key(worker_id) in keys:
            dispatcher.queue_fleet_row(worker_id)


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

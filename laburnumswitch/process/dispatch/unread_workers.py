"""What a new owner does if parts of the stored list of workers cannot be read.

Another version may have stored these rows. Workers in them may run tasks of earlier owners, and the
new owner learns of such a worker only if the platform lists it and it answers. So it does not know
the runs of all workers before every lease has lapsed. It stores that some rows were not read, as it
replaces them once it adds workers to them and its successors would take the list for a whole one.
"""

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import fleet_key
from laburnumswitch.process.dispatch.dispatcher import FLEET_TABLE

# Not a list of workers, so owners of any version count it as a row that cannot be read.
UNREAD_KEY = f"{FLEET_TABLE}/unread"


def store_unread(dispatcher: Dispatcher, keys: tuple[str, ...]) -> None:
    """Store that some rows were not read, no later than any of them is replaced."""
    if keys:
        dispatcher.recorder.queue_row(UNREAD_KEY, {"keys": keys})


def may_run_unread(dispatcher: Dispatcher, keys: tuple[str, ...]) -> bool:
    """Return whether workers in rows that were not read may still run tasks of earlier owners."""
    until_s = dispatcher.unknown_runs_until_s
    # A successor may have extended leases unless this owner has committed since.
    has_lapsed = dispatcher.context.clock() > until_s and dispatcher.recorder.was_owner_at(until_s)
    return bool(keys) and not has_lapsed


def replace_unread(dispatcher: Dispatcher, keys: tuple[str, ...]) -> None:
    """Store the workers of rows that were not read, once all runs of earlier owners are known."""
    if not keys:
        return
    dispatcher.recorder.queue_removals(tuple({*keys, UNREAD_KEY}))
    for worker_id in dispatcher.workers_by_id:
        if fleet_key(worker_id) in keys:
            dispatcher.queue_fleet_row(worker_id)

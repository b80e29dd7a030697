"""Which workers may get starts."""

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import MAX_SILENCE_S
from laburnumswitch.process.dispatch.fleet import Worker


def usable_workers(dispatcher: Dispatcher, service: str) -> list[Worker]:
    """Return the workers of a service that may get starts now."""
    return [
        worker
        for worker in dispatcher.workers_by_id.values()
        if worker.listing.service == service and is_usable(dispatcher, worker)
    ]


def is_usable(dispatcher: Dispatcher, worker: Worker) -> bool:
    """Return whether a worker may get starts now."""
    operations = dispatcher.context.operations
    now_s = dispatcher.context.clock()
    return (
        dispatcher.knows_listings
        and operations.knows_zones
        and worker.is_reached
        and not worker.is_silent
        and not worker.is_voiding_starts
        and not worker.has_unreserved_runs
        and worker.is_listed(now_s)
        and dispatcher.recorder.committed >= worker.listed_in_batch
        and not worker.listing.is_draining
        and worker.listing.availability_zone not in operations.evacuated_zones
        and now_s >= worker.blocked_until_s
        and now_s - worker.last_answer_s < MAX_SILENCE_S
        and not dispatcher.quarantine.is_quarantined(worker.worker_id, now_s)
    )

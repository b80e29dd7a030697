"""Removes the rows of jobs that ended long ago.

A repeated submission finds the row of its job until then, and remains one job.
"""

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.rows.table import Transaction

# Callers may ask for a job's state for two minutes after its end; five times that is kept.
RETENTION_S = 600.0
INTERVAL_S = 10.0
# Jobs removed in one pass: the largest deployment ends some 17 a second, and a pass that removes
# fewer than came since the last one would fall behind for good.
JOBS_PER_PASS = 300


def run_retention(dispatcher: Dispatcher) -> None:
    """Remove old rows until the ownership ends."""
    while not dispatcher.is_stopped():
        dispatcher.context.sleep(INTERVAL_S)
        if dispatcher.may_act():
            remove_old_jobs(dispatcher)
            forget_unknown_jobs(dispatcher)


def remove_old_jobs(dispatcher: Dispatcher) -> int:
    """Remove the rows of some jobs whose time is over, and return of how many."""
    limit_s = dispatcher.context.clock() - RETENTION_S
    old = [job_id for job_id, ended_s in dispatcher.ended_s_by_id.items() if ended_s < limit_s]
    removed = 0
    for job_id in old[:JOBS_PER_PASS]:
        # The submission goes first: without it a new owner takes the progress for a job's end.
        keys = (submission_key(job_id), cancellation_key(job_id))
        outcome = dispatcher.context.table.commit(Transaction((), (), keys))
        if isinstance(outcome, Failure):
            dispatcher.context.log.note("removal_failed", job_id, reason=outcome.describe())
            continue
        dispatcher.recorder.note_removals((progress_key(job_id),))
        dispatcher.jobs_by_id.pop(job_id, None)
        dispatcher.final_by_id.pop(job_id, None)
        dispatcher.ended_s_by_id.pop(job_id, None)
        removed += 1
    return removed


def forget_unknown_jobs(dispatcher: Dispatcher) -> None:
    """Forget cancellations and runs of jobs that never came."""
    limit_s = dispatcher.context.clock() - RETENTION_S
    cancelled = dispatcher.cancelled_s_by_id
    for job_id in [job_id for job_id, at_s in cancelled.items() if at_s < limit_s]:
        del cancelled[job_id]
    strays = dispatcher.stray_by_task
    for task in [task for task, stray in strays.items() if stray.seen_s < limit_s]:
        del strays[task]

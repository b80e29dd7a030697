"""Loads the jobs for which the owner had no memory, once there is some.

They are stored already, so that they are answered as queued and can be cancelled meanwhile.
"""

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.jobs import JobSource
from laburnumswitch.process.dispatch.progress import decode_progress
from laburnumswitch.process.dispatch.progress import decode_stored_submission
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import submission_key

# Interval in seconds at which to check whether there is memory for more jobs.
CHECK_INTERVAL_S = 0.5


def load_parked_jobs(dispatcher: Dispatcher) -> None:
    """Load parked jobs as memory becomes free, until the term ends.

    None is loaded before all runs of earlier owners are known: the placements of its tasks were not
    restored with those of the other jobs.
    """
    while not dispatcher.is_stopped():
        dispatcher.context.sleep(CHECK_INTERVAL_S)
        while dispatcher.settled and dispatcher.may_act():
            job_id = dispatcher.parked_jobs.next_to_load()
            if job_id is None or not load_parked_job(dispatcher, job_id):
                break


def load_parked_job(dispatcher: Dispatcher, job_id: str) -> bool:
    """Read a parked job and add it, and return whether the store has answered."""
    keys = submission_key(job_id), progress_key(job_id)
    rows = dispatcher.context.table.read(keys)
    if isinstance(rows, Failure):
        dispatcher.context.log.note("load_failed", keys[0], reason=rows.describe())
        return False
    if dispatcher.parked_jobs.remove(job_id) is None:
        # It was cancelled meanwhile.
        return True
    submission = decode_stored_submission(keys[0], rows[keys[0]].value)
    if isinstance(submission, RowMalformed):
        dispatcher.context.log.note("submission_malformed", keys[0], reason=submission.reason)
        return True
    progress = None
    if rows[keys[1]].value is not None:
        progress = decode_progress(keys[1], rows[keys[1]].value)
        if isinstance(progress, RowMalformed):
            dispatcher.context.log.note("progress_malformed", job_id, reason=progress.reason)
            dispatcher.job_faults.set_aside(job_id, "reading its progress")
            return True
    dispatcher.add_job(submission, JobSource.PARKED, progress)
    return True

"""Removes the rows of finished jobs after a retention period, and forgets unused queues.

Until then a repeated submission finds the row of its job and does not create a second one.
"""

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.job_memory import submission_bytes
from laburnumswitch.process.dispatch.progress import cancellation_key
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import submission_key
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Transaction

# How long rows are kept after the end of a job, in seconds: five times the two minutes for which
# callers may query it.
RETENTION_S = 600.0
# How long the cancellation of a job that was never stored is kept, in seconds, by the clock of an
# owner that has read it: four times as long as an entry tries to store a submission, see
# ``job_api.MAX_SUBMISSION_AGE_S``. The store may carry out what it was sent seconds later.
WITHDRAWAL_S = 120.0
# How long the steps of an ended job are kept, in seconds. Late reports of its runs name them.
KEPT_STEPS_S = 60.0
# Interval between two passes, in seconds.
REMOVAL_INTERVAL_S = 10.0
# Maximum number of jobs removed in one pass. The largest deployment finishes about 17 jobs per
# second, and rows would accumulate if a pass removed fewer jobs than finish during an interval.
JOBS_PER_PASS = 300


def run_retention(dispatcher: Dispatcher) -> None:
    """Remove old rows periodically, until the term ends."""
    unused_since_s: dict[str, float] = {}
    while not dispatcher.is_stopped():
        dispatcher.context.sleep(REMOVAL_INTERVAL_S)
        if dispatcher.may_act():
            compact_ended_jobs(dispatcher)
            remove_old_jobs(dispatcher)
            dispatcher.removed_jobs.forget(dispatcher.submissions_read_s)
            forget_unknown_jobs(dispatcher)
            forget_unused_queues(dispatcher, unused_since_s)


def compact_ended_jobs(dispatcher: Dispatcher) -> None:
    """Free the memory of the steps of jobs that have ended, whose states are kept."""
    now_s = dispatcher.context.clock()
    freed = dispatcher.job_memory.used_bytes
    for job_id, ended_s in dispatcher.ended_s_by_id.items():
        job = dispatcher.jobs_by_id.get(job_id)
        if job is None or not job.submission.steps or ended_s > now_s - KEPT_STEPS_S:
            continue
        if job.is_final() and job.is_stored and not job.is_running():
            job.drop_steps()
            dispatcher.job_memory.note(job_id, submission_bytes(job.submission))
    freed -= dispatcher.job_memory.used_bytes
    if freed > 0:
        dispatcher.job_memory.note_freed(freed, now_s)


def remove_old_jobs(dispatcher: Dispatcher) -> int:
    """Remove the rows of jobs past their retention period, and return the number of jobs."""
    limit_s = dispatcher.context.clock() - RETENTION_S
    expired = [job_id for job_id, ended_s in dispatcher.ended_s_by_id.items() if ended_s < limit_s]
    removed = 0
    for job_id in expired[:JOBS_PER_PASS]:
        # The submission is removed first: a new owner reads a final progress row without a
        # submission as a finished job, but a submission without progress as a new one.
        keys = (submission_key(job_id), cancellation_key(job_id))
        outcome = dispatcher.context.table.commit(Transaction((), (), keys))
        if isinstance(outcome, Failure):
            dispatcher.context.log.note("removal_failed", job_id, reason=outcome.describe())
            continue
        dispatcher.recorder.queue_removals((progress_key(job_id),))
        dispatcher.job_memory.forget(job_id)
        dispatcher.job_faults.forget(job_id)
        dispatcher.removed_jobs.add(job_id, outcome.version, dispatcher.context.clock())
        dispatcher.jobs_by_id.pop(job_id, None)
        dispatcher.final_by_id.pop(job_id, None)
        dispatcher.ended_s_by_id.pop(job_id, None)
        removed += 1
    return removed


def forget_unknown_jobs(dispatcher: Dispatcher) -> None:
    """Forget cancellations and runs of jobs whose submissions never arrived."""
    remove_withdrawals(dispatcher)
    limit_s = dispatcher.context.clock() - RETENTION_S
    orphans = dispatcher.orphan_by_task
    for task in [task for task, orphan in orphans.items() if orphan.seen_s < limit_s]:
        del orphans[task]


def remove_withdrawals(dispatcher: Dispatcher) -> None:
    """Remove the cancellations of jobs that were never stored, see ``withdraw_submission``."""
    context, cancelled = dispatcher.context, dispatcher.cancelled_s_by_id
    now_s = context.clock()
    expired = [(job_id, at_s) for job_id, at_s in cancelled.items() if at_s < now_s - WITHDRAWAL_S]
    for job_id, at_s in expired[:JOBS_PER_PASS]:
        condition = Condition(submission_key(job_id), ABSENT_VERSION)
        outcome = context.table.commit(Transaction((condition,), (), (cancellation_key(job_id),)))
        # An entry of an earlier version may have stored the job all the same, and this owner may
        # not have read it yet.
        is_stored = isinstance(outcome, Conflict)
        if isinstance(outcome, Committed) or (is_stored and at_s < now_s - RETENTION_S):
            cancelled.pop(job_id, None)
        elif not is_stored:
            context.log.note("removal_failed", job_id, reason=outcome.describe())


def forget_unused_queues(dispatcher: Dispatcher, unused_since_s: dict[str, float]) -> None:
    """Forget removed queues that have had no jobs for the retention period.

    A job of such a queue may become known late, so a queue without known jobs is kept for a time.

    :param unused_since_s: since when queues have been unused, on the monotonic clock; updated.
    """
    operations = dispatcher.context.operations
    used = {job.submission.queue for job in dispatcher.jobs_by_id.values()}
    now_s = dispatcher.context.clock()
    for name in list(operations.known_queue_by_name):
        if operations.is_configured(name) or name in used:
            unused_since_s.pop(name, None)
        elif now_s - unused_since_s.setdefault(name, now_s) > RETENTION_S:
            operations.forget_queue(name)
            del unused_since_s[name]

"""Follows what others write for the owner: workers' entries, submitted jobs and cancellations."""

from collections.abc import Callable

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.progress import CANCELLATIONS_TABLE
from laburnumswitch.process.dispatch.progress import decode_stored_submission
from laburnumswitch.process.dispatch.progress import SUBMISSIONS_TABLE
from laburnumswitch.process.dispatch.reports import WorkerEntry
from laburnumswitch.process.dispatch.worker_task import run_worker
from laburnumswitch.process.rows.change_feed import Feed
from laburnumswitch.process.rows.change_feed import follow_table
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import Row

# Workers write every second, so a long poll would return at once: the pause between two reads, in
# seconds, well under the two in which a leaving worker has to get no more starts.
WORKERS_INTERVAL_S = 0.5
# Submissions are told to the owner directly; the feed finds those whose message was lost.
SUBMISSIONS_INTERVAL_S = 0.6
FEED_WAIT_S = 1.0
# A worker whose answer is this old, in seconds, is believed less than its entry: it has missed two
# renewals.
HEARD_LATELY_S = 2.2


def follow_workers(dispatcher: Dispatcher) -> None:
    """Keep the workers up to date until the ownership ends."""
    context = dispatcher.context

    def apply(changes: Changes, is_whole: bool) -> None:
        if is_whole:
            _mark_missing(dispatcher, {row.key.partition("/")[2] for row in changes.rows})
        for row in changes.rows:
            apply_worker_row(dispatcher, row)

    feed = Feed(context.table, context.workers_table, FEED_WAIT_S, WORKERS_INTERVAL_S)
    follow_table(feed, None, apply, context.log, context.sleep, dispatcher.is_stopped)


def apply_worker_row(dispatcher: Dispatcher, row: Row) -> None:
    """Take over one entry, or its removal."""
    worker_id = row.key.partition("/")[2]
    worker = dispatcher.workers_by_id.get(worker_id)
    if row.value is None:
        if worker is not None:
            _mark_unlisted(dispatcher, worker)
        return
    entry = dispatcher.context.decode_worker(row.key, row.value)
    if isinstance(entry, RowMalformed):
        # Such an entry names no worker to use; one that is known holds on to its last good entry.
        dispatcher.context.log.note("worker_malformed", worker_id, reason=entry.reason)
        return
    if worker is None:
        dispatcher.spawn(run_worker, dispatcher, dispatcher.add_worker(entry))
    elif _is_other_incarnation(worker, entry, dispatcher.context.clock()):
        dispatcher.drop_worker(worker, "listed as another incarnation")
        dispatcher.spawn(run_worker, dispatcher, dispatcher.add_worker(entry, worker.fence))
    else:
        if entry.is_draining and not worker.entry.is_draining:
            dispatcher.context.log.note("worker_draining", worker_id)
        worker.entry = entry
        worker.unlisted_since_s = None


def _is_other_incarnation(worker: Worker, entry: WorkerEntry, now_s: float) -> bool:
    known = worker.incarnation or worker.entry.incarnation
    if entry.address != worker.entry.address:
        return True
    if entry.incarnation == known or not entry.incarnation or not known:
        return False
    # Entries lag behind what the worker itself answers. A later incarnation has a later start,
    # but where the worker's time of day was set back meanwhile.
    return entry.incarnation > known or now_s - worker.heard_s > HEARD_LATELY_S


def _mark_missing(dispatcher: Dispatcher, listed: set[str]) -> None:
    for worker in dispatcher.workers_by_id.values():
        if worker.worker_id not in listed:
            _mark_unlisted(dispatcher, worker)


def _mark_unlisted(dispatcher: Dispatcher, worker: Worker) -> None:
    if worker.unlisted_since_s is None:
        worker.unlisted_since_s = dispatcher.context.clock()
        dispatcher.context.log.note("worker_unlisted", worker.worker_id)


def follow_submissions(dispatcher: Dispatcher, version: int) -> None:
    """Take in jobs that callers submitted at other entries, until the ownership ends.

    :param version: version of the store up to which all jobs are known.
    """
    _follow_rows(dispatcher, SUBMISSIONS_TABLE, version, apply_submission_row)


def follow_cancellations(dispatcher: Dispatcher, version: int) -> None:
    """Cancel jobs as callers asked at other entries, until the ownership ends."""
    _follow_rows(dispatcher, CANCELLATIONS_TABLE, version, apply_cancellation_row)


def apply_submission_row(dispatcher: Dispatcher, row: Row, may_run_unseen: bool = False) -> None:
    """Take in the job of a row."""
    if row.value is None:
        return
    submission = decode_stored_submission(row.key, row.value)
    if isinstance(submission, RowMalformed):
        dispatcher.context.log.note("submission_malformed", row.key, reason=submission.reason)
        return
    dispatcher.add_job(submission, may_run_unseen)


def apply_cancellation_row(dispatcher: Dispatcher, row: Row) -> None:
    """Cancel the job of a row."""
    job_id = row.key.partition("/")[2]
    if row.value is not None and job_id not in dispatcher.final_by_id:
        dispatcher.cancel_job(job_id)


def _follow_rows(
    dispatcher: Dispatcher,
    table: str,
    version: int,
    apply_row: Callable[[Dispatcher, Row], None],
) -> None:
    context = dispatcher.context

    def apply(changes: Changes, is_whole: bool) -> None:
        for row in changes.rows:
            apply_row(dispatcher, row)

    feed = Feed(context.table, table, FEED_WAIT_S, SUBMISSIONS_INTERVAL_S)
    follow_table(feed, version, apply, context.log, context.sleep, dispatcher.is_stopped)

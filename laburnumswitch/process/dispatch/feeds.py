"""Follows the store's feeds of workers, submissions and cancellations."""

from collections.abc import Callable
from typing import Any

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.evacuator import start_evacuation
from laburnumswitch.process.dispatch.fleet import MAX_LEASE_S
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.jobs import JobSource
from laburnumswitch.process.dispatch.progress import CANCELLATIONS_TABLE
from laburnumswitch.process.dispatch.progress import decode_stored_submission
from laburnumswitch.process.dispatch.progress import Progress
from laburnumswitch.process.dispatch.progress import SUBMISSIONS_TABLE
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.dispatch.worker_session import run_worker
from laburnumswitch.process.leadership.term import TERM_TABLE
from laburnumswitch.process.rows.change_feed import Feed
from laburnumswitch.process.rows.change_feed import follow_table
from laburnumswitch.process.rows.change_feed import TimedSource
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import Row

# Pause between two reads of the workers, in seconds. Workers write every second, so a long poll
# would return immediately. A draining worker must get no more starts after two seconds, so the
# pause is well below that.
WORKERS_INTERVAL_S = 0.5
# Pause between two reads of the submissions or cancellations, in seconds. They are also sent to the
# owner directly, so the feed only has to find those whose message was lost.
SUBMISSIONS_INTERVAL_S = 0.6
# Pause in seconds before a failed read is repeated.
RETRY_S = 0.1
# Interval, in seconds, at which to check whether the end of the earlier owners still matters.
ENDED_CHECK_INTERVAL_S = 0.5
# How long the store holds a read of a feed open for changes, in seconds.
FEED_WAIT_S = 1.0


def follow_workers(dispatcher: Dispatcher) -> None:
    """Keep the list of workers up to date until the term ends."""
    context = dispatcher.context
    # Rows that may be of an earlier incarnation, until that is known.
    deferred_by_key: dict[str, Row] = {}

    def apply(changes: Changes, is_whole: bool) -> None:
        if is_whole:
            _mark_missing(dispatcher, {row.key.partition("/")[2] for row in changes.rows})
        deferred_by_key.update((row.key, row) for row in changes.rows)
        for key, row in list(deferred_by_key.items()):
            if apply_worker_row(dispatcher, row):
                del deferred_by_key[key]
        if not dispatcher.knows_listings:
            dispatcher.knows_listings = True
            dispatcher.wake.set()

    feed = Feed(dispatcher.store_time, context.workers_table, FEED_WAIT_S, WORKERS_INTERVAL_S)
    follow_table(feed, None, apply, context.log, context.sleep, dispatcher.is_stopped)


def apply_worker_row(dispatcher: Dispatcher, row: Row) -> bool:
    """Apply a row of the list of workers: a new, changed or removed worker.

    An entry that other programs wrote, or that cannot be read, names no worker to use.

    :return: ``False`` if the row has to be applied again, as its incarnation may be the next one,
        or its service may be configured soon.
    """
    worker_id = row.key.partition("/")[2]
    worker = dispatcher.workers_by_id.get(worker_id)
    if row.value is None:
        dispatcher.ignored_entry_by_id.pop(worker_id, None)
        if worker is not None:
            _mark_unlisted(dispatcher, worker)
        return True
    listing = dispatcher.context.decode_worker(row.key, row.value)
    if isinstance(listing, RowMalformed):
        _ignore_entry(dispatcher, worker_id, listing.reason)
        return True
    if not dispatcher.context.operations.knows_service(listing.service):
        _ignore_entry(dispatcher, worker_id, f"service {listing.service!r} is not configured")
        return False
    dispatcher.ignored_entry_by_id.pop(worker_id, None)
    if worker is None:
        worker = dispatcher.add_worker(listing)
        _count_earlier_leases(dispatcher, worker)
        dispatcher.spawn(run_worker, dispatcher, worker)
    else:
        if _is_outdated(dispatcher, worker, listing):
            worker.unlisted_since_s = None
            return False
        if worker.is_other_incarnation(listing.incarnation):
            dispatcher.note_restart(worker, listing.incarnation, "listed as another incarnation")
        if listing.is_draining and not worker.listing.is_draining:
            dispatcher.context.log.note(
                "worker_draining", worker_id, remaining_s=listing.remaining_s
            )
        if listing.address != worker.listing.address:
            dispatcher.move_worker(worker, listing)
        is_new_incarnation = listing.incarnation != worker.listing.incarnation
        drain_s = dispatcher.context.deployment.bounds.drain_s
        worker.note_listing(listing, dispatcher.context.clock(), drain_s)
        if is_new_incarnation:
            dispatcher.queue_fleet_row(worker_id)
    if worker.leaves_s is not None:
        start_evacuation(dispatcher)
    return True


def _ignore_entry(dispatcher: Dispatcher, worker_id: str, reason: str) -> None:
    """Ignore an entry; a known worker keeps its last valid listing.

    Entries are written every second, so each reason is logged once.
    """
    if dispatcher.ignored_entry_by_id.get(worker_id) == reason:
        return
    dispatcher.ignored_entry_by_id[worker_id] = reason
    dispatcher.context.log.note("worker_malformed", worker_id, reason=reason)


def _count_earlier_leases(dispatcher: Dispatcher, worker: Worker) -> None:
    """Count the leases that an earlier owner may still extend on a worker that was dropped.

    It does so by the clock before the restart: the worker takes their end for an instant in the far
    future, and grants its longest lease.
    """
    was_dropped = worker.worker_id in dispatcher.fence_by_dropped_id
    if was_dropped and dispatcher.late_jobs.may_be_started and worker.max_lease_s > MAX_LEASE_S:
        worker.lapse_bound_s = dispatcher.unknown_runs_until_s


def _is_outdated(dispatcher: Dispatcher, worker: Worker, listing: WorkerListing) -> bool:
    """Return whether a listing is of an earlier incarnation, since listings lag behind answers.

    Incarnation numbers rise with the time of the start, unless the worker's wall clock was set
    back. So one that is lower, and is not known to have ended, counts once the leases have lapsed.
    """
    if listing.incarnation in worker.ended_incarnations:
        return True
    is_lower = 0 < listing.incarnation < worker.known_incarnation()
    return is_lower and not dispatcher.has_lapsed(worker)


def _mark_missing(dispatcher: Dispatcher, listed: set[str]) -> None:
    for worker in dispatcher.workers_by_id.values():
        if worker.worker_id not in listed:
            _mark_unlisted(dispatcher, worker)


def _mark_unlisted(dispatcher: Dispatcher, worker: Worker) -> None:
    if worker.unlisted_since_s is None:
        worker.unlisted_since_s = dispatcher.context.clock()
        dispatcher.context.log.note("worker_unlisted", worker.worker_id)


def follow_submissions(dispatcher: Dispatcher, version: int) -> None:
    """Add jobs that callers submitted to other entries, until the term ends.

    :param version: version of the store up to which all jobs are known.
    """
    _follow_rows(dispatcher, SUBMISSIONS_TABLE, version, apply_submission_row)


def follow_cancellations(dispatcher: Dispatcher, version: int) -> None:
    """Cancel jobs whose cancellation other entries stored, until the term ends."""
    _follow_rows(dispatcher, CANCELLATIONS_TABLE, version, apply_cancellation_row)


def read_late_jobs(dispatcher: Dispatcher, version: int) -> None:
    """Read all jobs that were stored before the earlier owners ended, once they have.

    Ends before that once all runs are known, as earlier owners cannot start any more then.

    :param version: version of the store up to which all jobs are known.
    """
    late_jobs = dispatcher.late_jobs
    while not late_jobs.predecessor_ended.wait(ENDED_CHECK_INTERVAL_S):
        if dispatcher.is_stopped() or dispatcher.settled:
            return
    # The feed may lag behind the rows of the store.
    table = dispatcher.context.table
    current = read_until_success(dispatcher, TERM_TABLE, table.load, TERM_TABLE)
    while not dispatcher.is_stopped() and version < current.version:
        changes = read_until_success(
            dispatcher, SUBMISSIONS_TABLE, _read_jobs_after, dispatcher, version
        )
        for row in changes.rows:
            apply_submission_row(dispatcher, row)
        if changes.version <= version:
            dispatcher.context.sleep(RETRY_S)
        version = max(version, changes.version)
    late_jobs.may_be_started = False
    dispatcher.context.log.note("late_jobs_read", str(dispatcher.epoch), version=version)


def _read_jobs_after(dispatcher: Dispatcher, version: int) -> Changes | Failure:
    table = dispatcher.context.table
    changes = table.follow(SUBMISSIONS_TABLE, version, 0.0)
    return table.load(SUBMISSIONS_TABLE) if isinstance(changes, HistoryLost) else changes


def read_until_success(
    dispatcher: Dispatcher, name: str, read: Callable[..., Changes | Failure], *arguments: Any
) -> Changes:
    """Repeat a read until it succeeds; returns no rows, of version 0, if the term ends before."""
    while not dispatcher.is_stopped():
        changes = read(*arguments)
        if isinstance(changes, Changes):
            return changes
        dispatcher.context.log.note("load_failed", name, reason=changes.describe())
        dispatcher.context.sleep(RETRY_S)
    return Changes((), 0, 0.0)


def apply_submission_row(
    dispatcher: Dispatcher,
    row: Row,
    source: JobSource = JobSource.FEED,
    progress: Progress | None = None,
) -> None:
    """Add the job in a row of the submissions.

    :param progress: what is stored of its progress, if anything.
    """
    if row.value is None:
        return
    submission = decode_stored_submission(row.key, row.value)
    if isinstance(submission, RowMalformed):
        dispatcher.context.log.note("submission_malformed", row.key, reason=submission.reason)
        return
    dispatcher.removed_jobs.note_submission(submission.job_id, row.version)
    job = dispatcher.add_job(submission, source, progress)
    if job is None and source is JobSource.LOADED:
        dispatcher.organisation_usage.note_ended(submission)


def apply_cancellation_row(dispatcher: Dispatcher, row: Row) -> None:
    """Cancel the job that a row of the cancellations names."""
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
        if table == SUBMISSIONS_TABLE and not changes.has_more:
            dispatcher.submissions_read_s = source.sent_s

    source = TimedSource(context.table, context.clock)
    feed = Feed(source, table, FEED_WAIT_S, SUBMISSIONS_INTERVAL_S)
    follow_table(feed, version, apply, context.log, context.sleep, dispatcher.is_stopped)

"""Completes jobs whose tasks have all ended, and deletes their progress rows."""

from collections.abc import Iterable

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.admission.job_row import ended_key
from laburnumswitch.process.admission.job_row import ended_row_move
from laburnumswitch.process.admission.job_row import FINAL_STATES
from laburnumswitch.process.admission.job_row import StoredJob
from laburnumswitch.process.ledger.progress import EndedTaskCounts
from laburnumswitch.process.rows.shared_rows import CANCELLED_PREFIX
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.sharding.context import SchedulerContext

PROGRESS_PREFIX = "progress/"
MAX_DELETES_PER_PASS = 50
MAX_LOOKUPS_PER_PASS = 200


def complete_jobs(context: SchedulerContext, stored: Iterable[StoredJob]) -> None:
    """Complete every job whose tasks have all ended, and delete obsolete progress rows."""
    rows = scan_all(context.table, PROGRESS_PREFIX)
    if isinstance(rows, Failure):
        return
    rows_by_job_id: dict[str, list[Row]] = {}
    for row in rows:
        rows_by_job_id.setdefault(row.key.split("/")[1], []).append(row)
    stored_by_job_id = {item.job.job_id: item for item in stored}
    obsolete_rows: list[Row] = []
    unknown_job_ids: list[str] = []
    for job_id, progress_rows in rows_by_job_id.items():
        item = stored_by_job_id.get(job_id)
        if item is None:
            unknown_job_ids.append(job_id)
        elif item.job.state in FINAL_STATES:
            obsolete_rows.extend(progress_rows)
        else:
            _complete_if_ended(context, item, progress_rows)
    for job_id in _find_ended(context, unknown_job_ids):
        obsolete_rows.extend(rows_by_job_id[job_id])
    # After a takeover the new owner writes progress rows of idle groups again, also of ended jobs.
    keys = tuple(row.key for row in obsolete_rows[:MAX_DELETES_PER_PASS])
    if keys:
        context.table.commit(Transaction((), (), keys))


def _find_ended(context: SchedulerContext, job_ids: list[str]) -> list[str]:
    # The sample is random, so that rows of unknown jobs cannot keep others from being looked up.
    sampled_ids = context.random.sample(job_ids, min(len(job_ids), MAX_LOOKUPS_PER_PASS))
    if not sampled_ids:
        return []
    rows = context.table.read(tuple(ended_key(job_id) for job_id in sampled_ids))
    if isinstance(rows, Failure):
        return []
    return [job_id for job_id in sampled_ids if rows[ended_key(job_id)].version]


def sum_progress(rows: Iterable[Row]) -> EndedTaskCounts | None:
    """Return the sum of progress rows, or ``None`` if one of them cannot be decoded."""
    finished = failed = cancelled = 0
    for row in rows:
        try:
            progress = convert(row.value, EndedTaskCounts)
        except ValidationError:
            return None
        finished += progress.finished
        failed += progress.failed
        cancelled += progress.cancelled
    return EndedTaskCounts(finished, failed, cancelled)


def _complete_if_ended(context: SchedulerContext, item: StoredJob, rows: list[Row]) -> None:
    total = sum_progress(rows)
    if total is None or total.finished + total.failed + total.cancelled < item.job.tasks:
        return
    state = _final_state(total)
    value = item.changed_value(
        state=state,
        finished=total.finished,
        failed=total.failed,
        cancelled=total.cancelled,
        ended_s=context.wall_clock(),
    )
    put, moved_key = ended_row_move(item, value)
    outcome = context.table.commit(
        Transaction(
            (Condition(item.row.key, item.row.version),),
            (put,),
            (moved_key, *(row.key for row in rows), CANCELLED_PREFIX + item.job.job_id),
        )
    )
    if isinstance(outcome, Committed):
        context.timeline.record("job_" + state, item.job.job_id, finished=total.finished)


def _final_state(total: EndedTaskCounts) -> str:
    if total.cancelled:
        return "cancelled"
    return "failed" if total.failed else "finished"

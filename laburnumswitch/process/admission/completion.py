"""Finds jobs of which every task has ended, and clears what they leave behind."""

from collections.abc import Iterable

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.admission.job_row import ended_key
from laburnumswitch.process.admission.job_row import FINAL_STATES
from laburnumswitch.process.admission.job_row import move_to_ended
from laburnumswitch.process.admission.job_row import StoredJob
from laburnumswitch.process.ledger.progress import Progress
from laburnumswitch.process.rows.shared_rows import CANCELLED_PREFIX
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.sharding.context import SchedulerContext

PROGRESS_PREFIX = "progress/"
DELETES_PER_PASS = 50
LOOKUPS_PER_PASS = 200


def complete_jobs(context: SchedulerContext, stored: Iterable[StoredJob]) -> None:
    """Write the end of every job whose ended tasks add up, and delete left-over progress rows."""
    rows = scan_all(context.table, PROGRESS_PREFIX)
    if isinstance(rows, Failure):
        return
    rows_by_job_id: dict[str, list[Row]] = {}
    for row in rows:
        rows_by_job_id.setdefault(row.key.split("/")[1], []).append(row)
    stored_by_job_id = {item.job.job_id: item for item in stored}
    left_over: list[Row] = []
    absent_ids: list[str] = []
    for job_id, progress_rows in rows_by_job_id.items():
        item = stored_by_job_id.get(job_id)
        if item is None:
            absent_ids.append(job_id)
        elif item.job.state in FINAL_STATES:
            left_over.extend(progress_rows)
        else:
            _complete(context, item, progress_rows)
    for job_id in _find_ended(context, absent_ids):
        left_over.extend(rows_by_job_id[job_id])
    # An owner that took over writes the counts of idle groups again, also of jobs that have ended.
    keys = tuple(row.key for row in left_over[:DELETES_PER_PASS])
    if keys:
        context.table.commit(Transaction((), (), keys))


def _find_ended(context: SchedulerContext, job_ids: list[str]) -> list[str]:
    # Drawn at random, so that rows of which no job is known cannot keep the others from a look.
    drawn = context.random.sample(job_ids, min(len(job_ids), LOOKUPS_PER_PASS))
    if not drawn:
        return []
    rows = context.table.read(tuple(ended_key(job_id) for job_id in drawn))
    if isinstance(rows, Failure):
        return []
    return [job_id for job_id in drawn if rows[ended_key(job_id)].version]


def sum_progress(rows: Iterable[Row]) -> Progress | None:
    """Return the sum of progress rows, or ``None`` where one cannot be read."""
    finished = failed = cancelled = 0
    for row in rows:
        try:
            progress = convert(row.value, Progress)
        except ValidationError:
            return None
        finished += progress.finished
        failed += progress.failed
        cancelled += progress.cancelled
    return Progress(finished, failed, cancelled)


def _complete(context: SchedulerContext, item: StoredJob, rows: list[Row]) -> None:
    total = sum_progress(rows)
    if total is None or total.finished + total.failed + total.cancelled < item.job.tasks:
        return
    state = _final_state(total)
    value = item.change(
        state=state,
        finished=total.finished,
        failed=total.failed,
        cancelled=total.cancelled,
        ended_s=context.wall_clock(),
    )
    put, moved_key = move_to_ended(item, value)
    outcome = context.table.commit(
        Transaction(
            (Condition(item.row.key, item.row.version),),
            (put,),
            (moved_key, *(row.key for row in rows), CANCELLED_PREFIX + item.job.job_id),
        )
    )
    if isinstance(outcome, Committed):
        context.timeline.record("job_" + state, item.job.job_id, finished=total.finished)


def _final_state(total: Progress) -> str:
    if total.cancelled:
        return "cancelled"
    return "failed" if total.failed else "finished"

"""Rows of admitted jobs, and their cancellation."""

from collections.abc import Iterable
from typing import Any
from typing import Literal
from typing import NamedTuple

from absl import logging
from msgspec import convert
from msgspec import Struct
from msgspec import ValidationError

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.process.ledger.records import FORMAT
from laburnumswitch.process.rows.shared_rows import CANCELLED_PREFIX
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

JOB_PREFIX = "job/"
ENDED_PREFIX = "ended/"
JobState = Literal[
    "waiting", "impossible", "admitted", "cancelling", "cancelled", "finished", "failed"
]
FINAL_STATES = frozenset({"cancelled", "finished", "failed"})
UNADMITTED_STATES = frozenset({"waiting", "impossible"})


class JobRow(Struct, frozen=True, kw_only=True):
    """Value of a job's row. ``reason`` is the tag and text of a failure, empty without one.

    ``work`` is the JSON form of a ``TaskSpec``. The counts of ended tasks are set at completion.
    """

    job_id: str
    name: str
    team: str
    tasks: int
    state: JobState
    created_s: float
    work: dict[str, Any]
    after: tuple[str, ...] = ()
    reason: str = ""
    finished: int = 0
    failed: int = 0
    cancelled: int = 0
    ended_s: float = 0.0
    format: int = FORMAT


class StoredJob(NamedTuple):
    """A job with the row it was read from, whose value preserves unknown fields."""

    row: Row
    job: JobRow

    def changed_value(self, **changes: Any) -> dict[str, Any]:
        """Return the row's value with ``changes`` applied."""
        return {**self.row.value, **changes}


def job_key(job_id: str) -> str:
    """Return the key of a job's row."""
    return JOB_PREFIX + job_id


def ended_key(job_id: str) -> str:
    """Return the key of a job's row once the job is in a final state."""
    return ENDED_PREFIX + job_id


def ended_row_move(stored: StoredJob, value: dict[str, Any]) -> tuple[Put, str]:
    """Return the put of an ended job's row and the key to delete in the same transaction."""
    return Put(ended_key(stored.job.job_id), value), stored.row.key


def read_jobs(rows: Iterable[Row]) -> tuple[StoredJob, ...]:
    """Decode job rows, skipping newer formats and, with a log line, rows that cannot be decoded."""
    stored = []
    for row in rows:
        try:
            job = convert(row.value, JobRow)
        except ValidationError as error:
            logging.error("cannot decode job row key=%s reason=%s", row.key, error)
            continue
        if job.format <= FORMAT:
            stored.append(StoredJob(row, job))
    return tuple(stored)


def cancel_jobs_by_id(
    table: Table, job_ids: Iterable[str], now_s: float
) -> Committed | CommitFailure | ReadFailure | NotFound:
    """Cancel jobs in one transaction, skipping those that have already ended.

    Cancellation is idempotent. Running tasks are stopped; a task that ends by itself before that is
    counted by its own outcome.
    """
    job_ids = tuple(job_ids)
    keys = tuple(key(job_id) for job_id in job_ids for key in (job_key, ended_key))
    rows = table.read(keys)
    if isinstance(rows, Failure):
        return rows
    conditions: list[Condition] = []
    puts: list[Put] = []
    deletes: list[str] = []
    for job_id in job_ids:
        row = rows[job_key(job_id)]
        if row.value is None:
            if rows[ended_key(job_id)].value is None:
                return NotFound(job_id)
            continue
        for stored in read_jobs((row,)):
            if stored.job.state in FINAL_STATES or stored.job.state == "cancelling":
                continue
            conditions.append(Condition(row.key, row.version))
            if stored.job.state in UNADMITTED_STATES:
                put, moved_key = ended_row_move(stored, _cancelled_value(stored, now_s))
                puts.append(put)
                deletes.append(moved_key)
            else:
                puts.extend(_cancellation_puts(stored, now_s))
    return table.commit(Transaction(tuple(conditions), tuple(puts), tuple(deletes)))


def _cancelled_value(stored: StoredJob, now_s: float) -> dict[str, Any]:
    return stored.changed_value(state="cancelled", cancelled=stored.job.tasks, ended_s=now_s)


def _cancellation_puts(stored: StoredJob, now_s: float) -> list[Put]:
    return [
        Put(stored.row.key, stored.changed_value(state="cancelling")),
        Put(CANCELLED_PREFIX + stored.job.job_id, {"format": FORMAT, "cancelled_s": now_s}),
    ]

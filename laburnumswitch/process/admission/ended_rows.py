"""Rows of ended jobs, looked up by key so that admission need not scan them in each pass."""

from collections.abc import Iterable

from laburnumswitch.declaration import Configuration
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.admission.job_row import ended_key
from laburnumswitch.process.admission.job_row import ENDED_PREFIX
from laburnumswitch.process.admission.job_row import ended_row_move
from laburnumswitch.process.admission.job_row import FINAL_STATES
from laburnumswitch.process.admission.job_row import read_jobs
from laburnumswitch.process.admission.job_row import StoredJob
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import SCAN_LIMIT_ROWS
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.sharding.context import SchedulerContext

RETENTION_S = 7 * 86_400.0
PRUNE_INTERVAL_S = 60.0
DELETES_PER_PRUNE = 50
MOVES_PER_PASS = 50
KEYS_PER_READ = 200


class EndedRows:
    """Access to the rows of ended jobs, and their pruning page by page."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context
        self._ended_ids: set[str] = set()
        self._newest_by_name: dict[str, StoredJob | None] = {}
        self._prune_cursor = ""
        self._prune_due_s = float("-inf")

    def begin_pass(self) -> None:
        """Clear the cache of newest jobs, but not of ended ids: an ended job never restarts."""
        self._newest_by_name.clear()

    def select_not_ended(self, job_ids: Iterable[str]) -> tuple[str, ...] | ReadFailure:
        """Return those of ``job_ids`` that have not ended.

        :param job_ids: ids of jobs without a row under their job key.
        """
        job_ids = tuple(job_ids)
        self._ended_ids.intersection_update(job_ids)
        unknown = [job_id for job_id in job_ids if job_id not in self._ended_ids]
        for first in range(0, len(unknown), KEYS_PER_READ):
            keys = tuple(ended_key(job_id) for job_id in unknown[first : first + KEYS_PER_READ])
            rows = self._context.table.read(keys)
            if isinstance(rows, Failure):
                return rows
            self._ended_ids.update(
                key.removeprefix(ENDED_PREFIX) for key, row in rows.items() if row.version
            )
        return tuple(job_id for job_id in unknown if job_id not in self._ended_ids)

    def newest_by_name(self, name: str) -> StoredJob | None | ReadFailure:
        """Return the newest ended job of a name, or ``None``; it is read at most once per pass."""
        if name not in self._newest_by_name:
            rows = scan_all(self._context.table, ended_key(f"{name}@"))
            if isinstance(rows, Failure):
                return rows
            ended = read_jobs(rows)
            self._newest_by_name[name] = max(ended, key=_created_s, default=None)
        return self._newest_by_name[name]

    def move_misplaced(self, stored: Iterable[StoredJob]) -> None:
        """Move rows of ended jobs that an older version left under job keys, a few per pass."""
        misplaced = [item for item in stored if item.job.state in FINAL_STATES]
        for item in misplaced[:MOVES_PER_PASS]:
            put, key = ended_row_move(item, item.row.value)
            condition = Condition(key, item.row.version)
            self._context.table.commit(Transaction((condition,), (put,), (key,)))

    def prune(self, configuration: Configuration) -> None:
        """Delete some expired rows from the next page, at most once per ``PRUNE_INTERVAL_S``.

        The newest row of each declared job and the row of each declared generation are kept:
        without them the job would be admitted again.
        """
        if self._context.clock() < self._prune_due_s:
            return
        self._prune_due_s = self._context.clock() + PRUNE_INTERVAL_S
        rows = self._context.table.scan(ENDED_PREFIX, self._prune_cursor)
        if isinstance(rows, Failure):
            return
        self._prune_cursor = rows[-1].key if len(rows) == SCAN_LIMIT_ROWS else ""
        ended = read_jobs(rows)
        kept_ids = _kept_ids(configuration, ended)
        expired_before_s = self._context.wall_clock() - RETENTION_S
        expired = [
            item.row
            for item in ended
            if item.job.ended_s < expired_before_s and item.job.job_id not in kept_ids
        ][:DELETES_PER_PRUNE]
        if expired:
            conditions = tuple(Condition(row.key, row.version) for row in expired)
            self._context.table.commit(
                Transaction(conditions, (), tuple(row.key for row in expired))
            )


def _kept_ids(configuration: Configuration, ended: tuple[StoredJob, ...]) -> set[str]:
    # A page may contain only some rows of a name, in which case one row too many is kept.
    newest_by_name = {item.job.name: item.job.job_id for item in sorted(ended, key=_created_s)}
    kept = {f"{job.name}@{job.generation}" for job in configuration.jobs}
    return kept | {newest_by_name.get(job.name, "") for job in configuration.jobs}


def _created_s(item: StoredJob) -> float:
    return item.job.created_s

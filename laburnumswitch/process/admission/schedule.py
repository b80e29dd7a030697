"""Firings of scheduled jobs.

Rows ``fired/<job>/<instant>`` are written in order, so the last one determines the next firing. A
firing is conditional on the last row as it was read and on the absence of its own row: two entries
cannot fire the same instant, and a paused entry cannot repeat an old one.
"""

from datetime import datetime
from datetime import UTC
from typing import NamedTuple
from zoneinfo import ZoneInfo
from zoneinfo import ZoneInfoNotFoundError

from cronsim import CronSim
from cronsim import CronSimError

from laburnumswitch.declaration import Job
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import ScheduleInvalid
from laburnumswitch.process.ledger.records import FORMAT
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Table

FIRINGS_PER_PASS = 5
FIRED_ROWS_KEPT = 48
INSTANT_FORMAT = "%Y%m%dT%H%M%SZ"


class Firing(NamedTuple):
    """One due firing: its instant and the parts of its transaction."""

    instant: str
    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...]


class FiredRows(NamedTuple):
    """The last fired row of a job, and the keys of old rows to delete."""

    last_key: str
    last_version: int
    old_keys: tuple[str, ...]


def fired_prefix(job: str) -> str:
    """Return the key prefix of a job's fired rows."""
    return f"fired/{job}/"


def read_fired(table: Table, job: str) -> FiredRows | None | ReadFailure:
    """Read a job's fired rows; ``None`` if there are none yet."""
    rows = scan_all(table, fired_prefix(job))
    if isinstance(rows, Failure):
        return rows
    if not rows:
        return None
    old_keys = tuple(row.key for row in rows[:-FIRED_ROWS_KEPT])
    return FiredRows(rows[-1].key, rows[-1].version, old_keys)


def schedule_activation(job: str, now_s: float) -> Firing:
    """Return the write that activates a schedule from ``now_s`` on, without firing it."""
    key = fired_prefix(job) + _format_instant(now_s)
    value = {"format": FORMAT, "fired": False}
    return Firing("", (Condition(key, ABSENT_VERSION),), (Put(key, value),), ())


def next_instant(job: Job, fired: FiredRows) -> float | ScheduleInvalid:
    """Return the Unix time of the first scheduled instant after the last firing."""
    last_s = _parse_instant(fired.last_key.rpartition("/")[2])
    try:
        zone = ZoneInfo(job.time_zone)
        instant = next(CronSim(job.schedule, datetime.fromtimestamp(last_s, zone)))
    except (CronSimError, ZoneInfoNotFoundError, ValueError, StopIteration) as error:
        return ScheduleInvalid(job.name, str(error) or type(error).__name__)
    return instant.timestamp()


def next_firing(job: Job, fired: FiredRows, now_s: float) -> Firing | None | ScheduleInvalid:
    """Return the next firing, or ``None`` if it is not due yet."""
    instant_s = next_instant(job, fired)
    if isinstance(instant_s, Failure):
        return instant_s
    if instant_s > now_s:
        return None
    instant = _format_instant(instant_s)
    key = fired_prefix(job.name) + instant
    conditions = (
        Condition(fired.last_key, fired.last_version),
        Condition(key, ABSENT_VERSION),
    )
    return Firing(
        instant, conditions, (Put(key, {"format": FORMAT, "fired": True}),), fired.old_keys
    )


def _format_instant(instant_s: float) -> str:
    return datetime.fromtimestamp(instant_s, UTC).strftime(INSTANT_FORMAT)


def _parse_instant(name: str) -> float:
    return datetime.strptime(name, INSTANT_FORMAT).replace(tzinfo=UTC).timestamp()

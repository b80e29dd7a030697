"""States of availability zones in the platform's table. A zone without a row is in service."""

from collections.abc import Callable
from time import time
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

from gevent import sleep as gevent_sleep
from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.exceptions import ZoneChanged
from laburnumswitch.process.rows.conditional import write_row
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import Table

PREFIX = "zone/"
FORMAT = 1

ZoneStatus = Literal["in", "out"]


class ZoneRow(TypedDict):
    """Value of a row ``zone/<name>``; ``changed_s`` is Unix time by the operator's clock."""

    format: int
    state: ZoneStatus
    actor: str
    changed_s: float


class ZoneState(NamedTuple):
    """State of one zone and the version of its row, which is a condition of task starts."""

    name: str
    state: ZoneStatus = "in"
    version: int = ABSENT_VERSION


ZoneFailure = ZoneChanged | OutcomeUnknown | Unavailable | Throttled | RowMalformed


def zone_key(name: str) -> str:
    """Return the key of a zone's row."""
    return PREFIX + name


def read_zones(table: Table) -> dict[str, ZoneState] | ReadFailure | RowMalformed:
    """Return the zones that have a row, by name; every other zone is in service."""
    rows = scan_all(table, PREFIX)
    if isinstance(rows, Failure):
        return rows
    by_name = {}
    for row in rows:
        zone = decode_zone(row)
        if isinstance(zone, Failure):
            return zone
        by_name[zone.name] = zone
    return by_name


def decode_zone(row: Row) -> ZoneState | RowMalformed:
    """Decode a zone's row; an absent row means that the zone is in service."""
    name = row.key.removeprefix(PREFIX)
    if row.version == ABSENT_VERSION:
        return ZoneState(name)
    try:
        value = convert(row.value, ZoneRow)
    except ValidationError as error:
        return RowMalformed(row.key, str(error))
    return ZoneState(name, value["state"], row.version)


def set_zone(
    table: Table,
    name: str,
    state: ZoneStatus,
    actor: str,
    clock: Callable[[], float] = time,
    sleep: Callable[[float], object] = gevent_sleep,
) -> ZoneState | ZoneFailure:
    """Take a zone out of service or return it. The call is idempotent.

    While the store is down nothing changes and the result is ``Unavailable``. No task can start
    anywhere meanwhile, because starts cannot be committed either.

    :param actor: who requests the change; stored in the row and reported to an operator who
        concurrently requests the opposite.
    """
    rows = table.read((zone_key(name),))
    if isinstance(rows, Failure):
        return rows
    row = rows[zone_key(name)]
    current = decode_zone(row)
    if isinstance(current, Failure) or current.state == state:
        return current
    new_value = ZoneRow(format=FORMAT, state=state, actor=actor, changed_s=clock())
    outcome = write_row(table, row.key, row.version, {**(row.value or {}), **new_value}, sleep)
    if isinstance(outcome, Conflict):
        return _resolve_conflict(table, name, state)
    if isinstance(outcome, Failure):
        return outcome
    return ZoneState(name, state, outcome.version)


def _resolve_conflict(table: Table, name: str, state: ZoneStatus) -> ZoneState | ZoneFailure:
    rows = table.read((zone_key(name),))
    if isinstance(rows, Failure):
        return rows
    row = rows[zone_key(name)]
    current = decode_zone(row)
    if isinstance(current, Failure) or current.state == state:
        return current
    return ZoneChanged(name, current.state, str((row.value or {}).get("actor", "")))

"""The number of shards, which is fixed for the lifetime of the platform's table."""

from typing import TypedDict

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.rows.table import Transaction

LAYOUT_KEY = "layout"
LAYOUT_FORMAT = 1


class Layout(TypedDict):
    """Value of the ``layout`` row."""

    format: int
    shard_count: int


def read_or_create_layout(table: Table, shard_count: int) -> int | Failure:
    """Return the stored number of shards.

    :param shard_count: the number to store if the row does not exist yet.
    """
    rows = table.read((LAYOUT_KEY,))
    if isinstance(rows, Failure):
        return rows
    row = rows[LAYOUT_KEY]
    if row.version != ABSENT_VERSION:
        try:
            return convert(row.value, Layout)["shard_count"]
        except ValidationError as error:
            return RowMalformed(LAYOUT_KEY, str(error))
    create = Transaction(
        (Condition(LAYOUT_KEY, ABSENT_VERSION),),
        (Put(LAYOUT_KEY, Layout(format=LAYOUT_FORMAT, shard_count=shard_count)),),
    )
    outcome = table.commit(create)
    if isinstance(outcome, Conflict):
        return read_or_create_layout(table, shard_count)
    return outcome if isinstance(outcome, Failure) else shard_count

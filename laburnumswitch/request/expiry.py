"""Deletes claims that are too old for a repeat, a few at a time."""

from gevent import sleep

from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import SCAN_LIMIT_ROWS
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.request.context import RequestContext

PREFIX = "claim/"
RETENTION_S = 86_400.0
INTERVAL_S = 60.0
DELETED_ROWS = 50


def expire_claims_forever(context: RequestContext) -> None:
    """Run ``expire_some`` again and again, as a task."""
    after = ""
    while True:
        # Entries spread out, so that they seldom read the same page.
        sleep(INTERVAL_S * (0.5 + context.random.random()))
        after = expire_some(context, after)


def expire_some(context: RequestContext, after: str) -> str:
    """Delete old claims among the rows of one scan.

    :param after: key of the last row that was looked at; empty starts over.
    :return: the same for the next call.
    """
    table = context.claims.table
    rows = table.scan(PREFIX, after)
    if isinstance(rows, Unavailable | Throttled):
        return after
    limit_s = context.wall_clock() - RETENTION_S
    old = [row for row in rows if row.value["until_s"] < limit_s][:DELETED_ROWS]
    if old:
        _delete(context, old)
    return rows[-1].key if len(rows) == SCAN_LIMIT_ROWS else ""


def _delete(context: RequestContext, old: list[Row]) -> None:
    # The row goes first: an object without a row costs room, a row without its object an answer.
    transaction = Transaction(
        tuple(Condition(row.key, row.version) for row in old), (), tuple(row.key for row in old)
    )
    context.claims.table.commit(transaction)
    for row in old:
        if "object" in row.value:
            context.objects.remove(row.value["object"])

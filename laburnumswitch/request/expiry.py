"""Deletes claims whose retention period has passed, a few at a time."""

from gevent import sleep

from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import SCAN_LIMIT_ROWS
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.request.context import RequestContext

CLAIM_PREFIX = "claim/"
RETENTION_S = 86_400.0
SCAN_INTERVAL_S = 60.0
# Largest number of rows deleted after one scan.
MAX_DELETED_ROWS = 50


def expire_claims_forever(context: RequestContext) -> None:
    """Run ``expire_claims_page`` periodically; meant to run in its own greenlet."""
    after = ""
    while True:
        # Jitter keeps entries from reading the same page at the same time.
        sleep(SCAN_INTERVAL_S * (0.5 + context.random.random()))
        after = expire_claims_page(context, after)


def expire_claims_page(context: RequestContext, after: str) -> str:
    """Delete expired claims among the rows of one scan.

    :param after: key of the last row of the previous page; empty to start from the beginning.
    :return: the value of ``after`` for the next call.
    """
    table = context.claims.table
    rows = table.scan(CLAIM_PREFIX, after)
    if isinstance(rows, Unavailable | Throttled):
        return after
    cutoff_s = context.wall_clock() - RETENTION_S
    expired = [row for row in rows if row.value["until_s"] < cutoff_s][:MAX_DELETED_ROWS]
    if expired:
        _delete_claims(context, expired)
    return rows[-1].key if len(rows) == SCAN_LIMIT_ROWS else ""


def _delete_claims(context: RequestContext, expired: list[Row]) -> None:
    # The row is deleted first: an object without a row only wastes space, but a row without its
    # object loses an answer.
    transaction = Transaction(
        tuple(Condition(row.key, row.version) for row in expired),
        (),
        tuple(row.key for row in expired),
    )
    context.claims.table.commit(transaction)
    for row in expired:
        if "object" in row.value:
            context.objects.remove(row.value["object"])

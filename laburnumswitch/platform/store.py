"""Client of the platform's transactional store, which implements ``FeedTable``.

Row keys have the form ``<table>/<key in the store>``. Rows of operators, workers and status reports
are in the unnamed partition, where the platform expects them. A partition executes its transactions
one after the other, so submissions and cancellations are distributed over several partitions. All
other rows share one partition, because a transaction cannot span several of them.
"""

from base64 import b64decode
from base64 import b64encode
from typing import Any
from urllib.parse import urlencode

from gevent.pool import Pool
from msgspec import DecodeError
from msgspec import Struct
from msgspec.json import decode
from msgspec.json import encode
from xxhash import xxh32_intdigest

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import POOL_SIZE
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.progress import CANCELLATIONS_TABLE
from laburnumswitch.process.dispatch.progress import SUBMISSIONS_TABLE
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import is_certainly_not_applied
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import SCAN_LIMIT_ROWS
from laburnumswitch.process.rows.table import to_read_failure
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.units import MS_PER_S

OWN_PARTITION = "laburnumswitch"
UNPARTITIONED_TABLES = frozenset({"op", "servers", "status"})
HASH_PARTITIONED_TABLES = frozenset({SUBMISSIONS_TABLE, CANCELLATIONS_TABLE})
# A partition executes 200 transactions per second, and only 4 while the store is 50 times slower
# than normal.
HASH_PARTITION_COUNT = 16
# Number of partitions of a table that are read at a time, so that a new owner does not wait for
# each answer before it asks for the next. The client keeps as many connections.
LOAD_CONCURRENCY = POOL_SIZE
# Timeouts of a commit, and of a read until its answer begins, in seconds. A healthy store answers
# within 9 ms, but a partition queues up to one second of transactions.
READ_TIMEOUT_S = 1.0
COMMIT_TIMEOUT_S = 2.0
# Time in seconds beyond the requested wait after which a long poll counts as lost.
POLL_SLACK_S = 0.7
# Time in seconds that the rows of an answer may take beyond these limits while they arrive. They
# grow with the installation, and links may be narrow.
READ_TRANSFER_S = 10.0
STATUS_HISTORY_GONE = 410
STATUS_CONDITION_FAILED = 412


class _Row(Struct):
    table: str
    key: str
    # Version of the row's last change.
    ver: int = ABSENT_VERSION
    value: str = ""
    part: str = ""
    tombstone: bool = False


class _Rows(Struct, rename={"has_more": "hasMore", "now_ms": "nowMs"}):
    # ``ver`` is the latest version of the whole store, ``nowMs`` the store's monotonic clock.
    rows: list[_Row] = []
    ver: int = 0
    now_ms: float = 0.0
    has_more: bool = False


class StoreClient:
    """Accesses rows over HTTP without retries.

    :ivar calls: number of calls to the store.
    """

    def __init__(self, client: Client) -> None:
        self._client = client
        self.calls = 0

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, including absent ones."""
        row_by_key = {}
        for key in keys:
            table, name = _split_key(key)
            page = self._get(table, _partition_of(table, name), name, name + "\0", 1)
            if not isinstance(page, _Rows):
                return to_read_failure(page)
            rows = [row for row in _decode_rows(page.rows) if row.key == key]
            row_by_key[key] = rows[0] if rows else Row(key, ABSENT_VERSION, None)
        return row_by_key

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``.

        Only tables that are stored in one partition can be scanned.
        """
        table, name = _split_key(prefix)
        first = _split_key(after)[1] + "\0" if after else name
        page = self._get(table, _partition_of(table, name), first, "", SCAN_LIMIT_ROWS)
        if not isinstance(page, _Rows):
            return to_read_failure(page)
        return tuple(row for row in _decode_rows(page.rows) if row.key.startswith(prefix))

    def load(self, table: str) -> Changes | ReadFailure:
        """Return all rows of a table, and the version from which to follow its changes."""
        failures: list[ReadFailure] = []

        def load(partition: str) -> Changes | ReadFailure:
            # A store that does not answer is noticed after one call, not after all of them.
            outcome = failures[0] if failures else self._load_partition(table, partition)
            if not isinstance(outcome, Changes):
                failures.append(outcome)
            return outcome

        loaded = Pool(LOAD_CONCURRENCY).map(load, _partitions_of(table))
        if failures:
            return failures[0]
        rows = tuple(row for changes in loaded for row in changes.rows)
        # The feed repeats what has changed since the earliest of them was read.
        version = min(changes.version for changes in loaded)
        return Changes(rows, version, max(changes.now_s for changes in loaded))

    def _load_partition(self, table: str, partition: str) -> Changes | ReadFailure:
        rows: list[Row] = []
        version = 0
        first = ""
        while True:
            page = self._get(table, partition, first, "", SCAN_LIMIT_ROWS)
            if not isinstance(page, _Rows):
                return to_read_failure(page)
            # The feed starts at the first page's version, so it repeats later changes.
            version = version or page.ver
            rows.extend(_decode_rows(page.rows))
            if not page.has_more or not page.rows:
                return Changes(tuple(rows), version, page.now_ms / MS_PER_S)
            first = page.rows[-1].key + "\0"

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        """Return a table's rows changed after a version, waiting up to ``wait_s`` for the first."""
        query = urlencode({"table": table, "after": after, "waitMs": int(wait_s * MS_PER_S)})
        answer = self._read(f"/v1/rows-feed?{query}", wait_s + POLL_SLACK_S)
        if isinstance(answer, _Rows):
            rows = _decode_rows(answer.rows)
            # The feed does not say whether a full answer holds all changes.
            has_more = answer.has_more or len(answer.rows) >= SCAN_LIMIT_ROWS
            return Changes(rows, answer.ver, answer.now_ms / MS_PER_S, has_more)
        if isinstance(answer, Refused) and answer.status == STATUS_HISTORY_GONE:
            return HistoryLost(table, after)
        return to_read_failure(answer)

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply a transaction if all its conditions hold."""
        body = {
            "expectedRev": [
                {**_row_address(condition.key), "ver": condition.version}
                for condition in transaction.conditions
            ],
            "puts": [
                {**_row_address(put.key), "value": b64encode(encode(put.value)).decode()}
                for put in transaction.puts
            ],
            "remove": [_row_address(key) for key in transaction.deletes],
        }
        self.calls += 1
        answer = call_json(self._client, "POST", "/v1/rows-tx", body, _Rows, COMMIT_TIMEOUT_S)
        if isinstance(answer, _Rows):
            return Committed(answer.ver)
        if isinstance(answer, Throttled):
            return answer
        if isinstance(answer, Refused) and answer.status == STATUS_CONDITION_FAILED:
            return _conflict(transaction, answer)
        if is_certainly_not_applied(answer):
            return Unavailable(answer.describe())
        return OutcomeUnknown(answer.describe())

    def _get(self, table: str, partition: str, first: str, end: str, limit: int) -> _Rows | Failure:
        fields = {"table": table, "part": partition, "limit": limit}
        if first:
            fields["from"] = first
        if end:
            # ``target`` is the exclusive end of the range.
            fields["target"] = end
        return self._read(f"/v1/rows-get?{urlencode(fields)}", READ_TIMEOUT_S)

    def _read(self, target: str, timeout_s: float) -> _Rows | ConnectFailed | Failure:
        self.calls += 1
        return call_json(self._client, "GET", target, None, _Rows, timeout_s, READ_TRANSFER_S)


def _conflict(transaction: Transaction, refusal: Refused) -> Conflict | OutcomeUnknown:
    try:
        found = decode(refusal.reason, type=_Rows)
    except DecodeError as error:
        return OutcomeUnknown(AnswerMalformed(refusal.address, str(error)).describe())
    version_by_key = {f"{row.table}/{row.key}": row.ver for row in found.rows if not row.tombstone}
    for condition in transaction.conditions:
        actual = version_by_key.get(condition.key, ABSENT_VERSION)
        if actual != condition.version:
            return Conflict(condition.key, condition.version, actual)
    first = transaction.conditions[0]
    return Conflict(first.key, first.version, ABSENT_VERSION)


def _decode_rows(rows: list[_Row]) -> tuple[Row, ...]:
    return tuple(
        Row(f"{row.table}/{row.key}", row.ver, None if row.tombstone else _decode_value(row.value))
        for row in rows
        if row.part == _partition_of(row.table, row.key)
    )


def _decode_value(value: str) -> Any:
    # Rows of other writers may hold any value, so readers validate the result.
    try:
        return decode(b64decode(value))
    except (ValueError, RecursionError):
        return {}


def _partition_of(table: str, name: str) -> str:
    if table in UNPARTITIONED_TABLES:
        return ""
    if table in HASH_PARTITIONED_TABLES:
        return f"{OWN_PARTITION}-{xxh32_intdigest(name.encode()) % HASH_PARTITION_COUNT}"
    return OWN_PARTITION


def _partitions_of(table: str) -> list[str]:
    if table in HASH_PARTITIONED_TABLES:
        return [f"{OWN_PARTITION}-{number}" for number in range(HASH_PARTITION_COUNT)]
    return [_partition_of(table, "")]


def _split_key(key: str) -> tuple[str, str]:
    table, _, name = key.partition("/")
    return table, name


def _row_address(key: str) -> dict[str, str]:
    table, name = _split_key(key)
    return {"table": table, "part": _partition_of(table, name), "key": name}

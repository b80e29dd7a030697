"""Client of the platform's transactional table.

A row has a key, a JSON value and a version. Versions are unique over the life of the table,
increase with every change of a row, and are 0 for a row that does not exist.
"""

from typing import Any
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable

ABSENT_VERSION = 0
# Largest number of rows that one scan returns.
SCAN_LIMIT_ROWS = 500
STATUS_BAD_REQUEST = 400
STATUS_INTERNAL_ERROR = 500
STATUS_UNAVAILABLE = 503


class Row(NamedTuple):
    """One row; ``value`` is ``None`` and ``version`` is 0 if it does not exist."""

    key: str
    version: int
    value: Any


class Condition(NamedTuple):
    """Requires that the row ``key`` has exactly ``version``."""

    key: str
    version: int


class Put(NamedTuple):
    """Write of a whole row."""

    key: str
    value: Any


class Transaction(NamedTuple):
    """Writes that are applied atomically if all conditions hold."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Committed(NamedTuple):
    """A transaction was applied; every row that it put now has ``version``."""

    version: int


class Changes(NamedTuple):
    """Changed rows up to ``version``; removed ones have no value.

    ``now_s`` is the store's monotonic clock in seconds. With ``has_more``, the store may have
    further changes that exceed one answer.
    """

    rows: tuple[Row, ...]
    version: int
    now_s: float
    has_more: bool = False


class _Rows(NamedTuple):
    rows: list[Row]


class _CommitAnswer(NamedTuple):
    committed: bool
    version: int = ABSENT_VERSION
    key: str = ""
    expected_version: int = ABSENT_VERSION


ReadFailure = Unavailable | Throttled
CommitFailure = Conflict | OutcomeUnknown | Unavailable | Throttled


class Table(Protocol):
    """Interface of the platform's transactional table."""

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""


class ChangeSource(Protocol):
    """Interface of a store whose changes can be followed; ``table`` names a part of its rows."""

    def load(self, table: str) -> Changes | ReadFailure:
        """Return every row whose key starts with ``table`` and a slash."""

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        """Return the changes after a version, waiting up to ``wait_s`` for the first."""


class FeedTable(Table, ChangeSource, Protocol):
    """Interface of a transactional table whose changes can be followed."""


class TableClient:
    """``Table`` over HTTP with JSON."""

    def __init__(self, client: Client, timeout_s: float = 2.0) -> None:
        self._client = client
        self._timeout_s = timeout_s

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""
        answer = self._call("/table/read", {"keys": keys}, _Rows)
        if isinstance(answer, _Rows):
            return {row.key: row for row in answer.rows}
        return to_read_failure(answer)

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""
        body = {"prefix": prefix, "after": after, "limit": SCAN_LIMIT_ROWS}
        answer = self._call("/table/scan", body, _Rows)
        if isinstance(answer, _Rows):
            return tuple(answer.rows)
        return to_read_failure(answer)

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        answer = self._call("/table/commit", transaction._asdict(), _CommitAnswer)
        if isinstance(answer, _CommitAnswer):
            if answer.committed:
                return Committed(answer.version)
            return Conflict(answer.key, answer.expected_version, answer.version)
        if isinstance(answer, Throttled):
            return answer
        if is_certainly_not_applied(answer):
            return Unavailable(answer.describe())
        return OutcomeUnknown(answer.describe())

    def _call(self, target: str, body: object, answer_type: type) -> Any:
        return call_json(self._client, "POST", target, body, answer_type, self._timeout_s)


def scan_all(table: Table, prefix: str) -> tuple[Row, ...] | ReadFailure:
    """Return every row under ``prefix``, with as many scans as needed."""
    rows: list[Row] = []
    after = ""
    while True:
        page = table.scan(prefix, after)
        if not isinstance(page, tuple) or isinstance(page, Row):
            return page
        rows.extend(page)
        if len(page) < SCAN_LIMIT_ROWS:
            return tuple(rows)
        after = page[-1].key


def is_certainly_not_applied(failure: Failure) -> bool:
    """Return whether a failed transaction was certainly not applied."""
    if isinstance(failure, ConnectFailed):
        return True
    # Any other status may come from an intermediary after the table received the call.
    return isinstance(failure, Refused) and (
        failure.status == STATUS_UNAVAILABLE
        or STATUS_BAD_REQUEST <= failure.status < STATUS_INTERNAL_ERROR
    )


def to_read_failure(
    answer: ConnectFailed | AnswerLost | AnswerMalformed | Refused | Throttled,
) -> ReadFailure:
    """Convert a failed call into one of the declared read failures."""
    if isinstance(answer, Throttled):
        return answer
    return Unavailable(answer.describe())

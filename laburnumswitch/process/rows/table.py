"""Access to the platform's transactional table.

A row has a key, a JSON value and a version. Versions are unique over the life of the table, rise
with every change of a row, and are 0 for a row that does not exist.
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
SCAN_LIMIT_ROWS = 500
STATUS_BAD_REQUEST = 400
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503


class Row(NamedTuple):
    """One row; ``value`` is ``None`` and ``version`` 0 where it does not exist."""

    key: str
    version: int
    value: Any


class Condition(NamedTuple):
    """Holds while the row ``key`` has exactly ``version``."""

    key: str
    version: int


class Put(NamedTuple):
    """Write of one whole row."""

    key: str
    value: Any


class Transaction(NamedTuple):
    """Conditions and effects that take place together or not at all."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Committed(NamedTuple):
    """A transaction took effect; every row it put now has ``version``."""

    version: int


class Changes(NamedTuple):
    """Rows as of ``version``; a removed one has no value. ``now_s`` is the store's steady clock."""

    rows: tuple[Row, ...]
    version: int
    now_s: float


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
    """What the scheduler needs of the table; the client and the fakes provide it."""

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""


class FeedTable(Table, Protocol):
    """A table whose changes can be followed."""

    def load(self, table: str) -> Changes | ReadFailure:
        """Return every row whose key starts with ``table`` and a slash."""

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        """Return what changed after a version, as soon as there is something."""


class TableClient:
    """The table over HTTP with JSON."""

    def __init__(self, client: Client, timeout_s: float = 2.0) -> None:
        self._client = client
        self._timeout_s = timeout_s

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, absent ones included."""
        answer = self._call("/table/read", {"keys": keys}, _Rows)
        if isinstance(answer, _Rows):
            return {row.key: row for row in answer.rows}
        return read_failure(answer)

    def scan(self, prefix: str, after: str = "") -> tuple[Row, ...] | ReadFailure:
        """Return up to ``SCAN_LIMIT_ROWS`` rows under ``prefix`` with keys above ``after``."""
        body = {"prefix": prefix, "after": after, "limit": SCAN_LIMIT_ROWS}
        answer = self._call("/table/scan", body, _Rows)
        if isinstance(answer, _Rows):
            return tuple(answer.rows)
        return read_failure(answer)

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        answer = self._call("/table/commit", transaction._asdict(), _CommitAnswer)
        if isinstance(answer, _CommitAnswer):
            if answer.committed:
                return Committed(answer.version)
            return Conflict(answer.key, answer.expected_version, answer.version)
        if isinstance(answer, Throttled):
            return answer
        if had_no_effect(answer):
            return Unavailable(answer.describe())
        return OutcomeUnknown(answer.describe())

    def _call(self, target: str, body: object, answer_type: type) -> Any:
        return call_json(self._client, "POST", target, body, answer_type, self._timeout_s)


def scan_all(table: Table, prefix: str) -> tuple[Row, ...] | ReadFailure:
    """Return every row under ``prefix``, in as many scans as that takes."""
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


def had_no_effect(failure: Failure) -> bool:
    """Return whether a failed transaction certainly did nothing."""
    if isinstance(failure, ConnectFailed):
        return True
    # Any other status may come from something on the way after the table took the call.
    return isinstance(failure, Refused) and (
        failure.status == STATUS_UNAVAILABLE
        or STATUS_BAD_REQUEST <= failure.status < STATUS_SERVER_ERROR
    )


def read_failure(
    answer: ConnectFailed | AnswerLost | AnswerMalformed | Refused | Throttled,
) -> ReadFailure:
    """Return the failure of a read as the callers of the table know it."""
    if isinstance(answer, Throttled):
        return answer
    return Unavailable(answer.describe())

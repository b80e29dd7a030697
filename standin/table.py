"""In-memory stand-in of the platform's transactional table, with rate budgets and faults."""

from bisect import bisect_left
from bisect import bisect_right
from collections.abc import Callable
from time import monotonic

from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import SCAN_LIMIT_ROWS
from laburnumswitch.process.rows.table import Transaction

UNLIMITED = float("inf")


class TokenBucket:
    """Token bucket that holds the tokens of one second, with counts of its use."""

    def __init__(self, per_second: float, clock: Callable[[], float] = monotonic) -> None:
        self.per_second = per_second
        self.spent = 0
        self.peak_per_s = 0
        self.refused = 0
        self._clock = clock
        self._tokens = per_second
        self._refilled_s = clock()
        self._second = 0
        self._spent_in_second = 0

    def spend(self, amount: int) -> bool:
        """Take ``amount`` tokens; take none and return ``False`` if there are too few."""
        now_s = self._clock()
        self._tokens = min(
            self.per_second, self._tokens + (now_s - self._refilled_s) * self.per_second
        )
        self._refilled_s = now_s
        if self.per_second != UNLIMITED and self._tokens < amount:
            self.refused += 1
            return False
        self._tokens -= amount
        self._count(amount, int(now_s))
        return True

    def _count(self, amount: int, second: int) -> None:
        if second != self._second:
            self._second = second
            self._spent_in_second = 0
        self._spent_in_second += amount
        self.spent += amount
        self.peak_per_s = max(self.peak_per_s, self._spent_in_second)


class MemoryTable:
    """The rows, and the fault switches ``down`` and ``lose_answers``.

    The next ``lose_answers`` successful commits take effect but report ``OutcomeUnknown``.
    """

    def __init__(
        self,
        writes_per_s: float = UNLIMITED,
        reads_per_s: float = UNLIMITED,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.down = False
        self.lose_answers = 0
        self.write_budget = TokenBucket(writes_per_s, clock)
        self.read_budget = TokenBucket(reads_per_s, clock)
        self.commits = 0
        self._version = ABSENT_VERSION
        self._stored_by_key: dict[str, tuple[int, bytes]] = {}
        self._sorted_keys: list[str] | None = []

    def read(self, keys: tuple[str, ...]) -> dict[str, Row] | ReadFailure:
        """Return the rows by key, including absent ones."""
        refusal = self._refuse(self.read_budget, len(keys))
        return refusal or {key: self._row(key) for key in keys}

    def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT_ROWS
    ) -> tuple[Row, ...] | ReadFailure:
        """Return up to ``limit`` rows under ``prefix`` with keys greater than ``after``."""
        refusal = self._refuse(self.read_budget, 1)
        if refusal:
            return refusal
        if self._sorted_keys is None:
            self._sorted_keys = sorted(self._stored_by_key)
        keys = self._sorted_keys
        found = []
        index = max(bisect_left(keys, prefix), bisect_right(keys, after))
        while index < len(keys) and keys[index].startswith(prefix) and len(found) < limit:
            found.append(self._row(keys[index]))
            index += 1
        return tuple(found)

    def commit(self, transaction: Transaction) -> Committed | CommitFailure:
        """Apply ``transaction`` if all its conditions hold."""
        effects = len(transaction.puts) + len(transaction.deletes)
        refusal = self._refuse(self.write_budget, effects)
        if refusal:
            return refusal
        for condition in transaction.conditions:
            actual = self._stored_by_key.get(condition.key, (ABSENT_VERSION, b""))[0]
            if actual != condition.version:
                return Conflict(condition.key, condition.version, actual)
        self._apply(transaction)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return OutcomeUnknown("answer lost")
        return Committed(self._version)

    def _apply(self, transaction: Transaction) -> None:
        self.commits += 1
        self._version += 1
        for put in transaction.puts:
            if put.key not in self._stored_by_key:
                self._sorted_keys = None
            self._stored_by_key[put.key] = (self._version, encode(put.value))
        for key in transaction.deletes:
            if self._stored_by_key.pop(key, None) is not None:
                self._sorted_keys = None

    def _refuse(self, budget: TokenBucket, amount: int) -> Unavailable | Throttled | None:
        if self.down:
            return Unavailable("the table is down")
        if not budget.spend(amount):
            return Throttled(1.0)
        return None

    def _row(self, key: str) -> Row:
        stored = self._stored_by_key.get(key)
        if stored is None:
            return Row(key, ABSENT_VERSION, None)
        return Row(key, stored[0], decode(stored[1]))

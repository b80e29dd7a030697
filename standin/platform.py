"""Stand-in of the platform: table, object store and list of VMs, served from one address."""

from collections.abc import Callable
from time import monotonic
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from gevent import sleep
from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import CommitFailure
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction
from standin.records import discard
from standin.records import Record
from standin.records import RowPut
from standin.server import AnswerDroppedError
from standin.server import Call
from standin.server import json_reply
from standin.server import NOT_FOUND
from standin.server import Reply
from standin.server import throttled_reply
from standin.server import UNAVAILABLE
from standin.table import MemoryTable
from standin.vms import MemoryVmList

OBJECTS_PREFIX = "/objects/"
RECORDED_PREFIXES = ("zone/", "configuration", "progress/")


class PlatformFaults(TypedDict, total=False):
    """Body of ``POST /faults``: absent switches stay unchanged.

    Half of ``delay_s`` passes before a call takes effect and half after it.
    """

    down: bool
    delay_s: float
    lose_answers: int
    list_lag_s: float


class ReadRequest(TypedDict):
    """Body of ``POST /table/read``."""

    keys: tuple[str, ...]


class ScanRequest(TypedDict):
    """Body of ``POST /table/scan``."""

    prefix: str
    after: str
    limit: int


class RowsAnswer(NamedTuple):
    """Answer to a read or a scan."""

    rows: tuple[Row, ...]


class CommitAnswer(NamedTuple):
    """Answer to a commit; ``key`` and ``expected_version`` identify the condition that failed."""

    committed: bool
    version: int = ABSENT_VERSION
    key: str = ""
    expected_version: int = ABSENT_VERSION


class BudgetUse(NamedTuple):
    """Use of a rate budget: in total, in the busiest second, and the number of refusals."""

    total: int
    peak_per_s: int
    refused: int


class PlatformUse(TypedDict):
    """Answer to ``GET /use``."""

    writes: BudgetUse
    reads: BudgetUse
    commits: int


class Platform:
    """State and fault switches of the platform."""

    def __init__(
        self,
        table: MemoryTable,
        vms: MemoryVmList,
        record: Callable[[Record], None] = discard,
        clock: Callable[[], float] = monotonic,
        pause: Callable[[float], None] = sleep,
    ) -> None:
        self.table = table
        self.vms = vms
        self.delay_s = 0.0
        self._record = record
        self._clock = clock
        self._pause = pause
        self._content_by_name: dict[str, bytes] = {}
        self._handler_by_path: dict[str, Callable[[bytes], Reply]] = {
            "/table/read": self._read,
            "/table/scan": self._scan,
            "/table/commit": self._commit,
        }

    def handle(self, call: Call) -> Reply:
        """Answer one call; the control endpoints also work during an injected outage."""
        control_reply = self._handle_control(call)
        if control_reply is not None:
            return control_reply
        self._pause(self.delay_s / 2)
        reply = UNAVAILABLE if self.table.down else self._answer(call)
        self._pause(self.delay_s / 2)
        return reply

    def _handle_control(self, call: Call) -> Reply | None:
        if call.method == "POST" and call.path == "/faults":
            self._set_faults(decode(call.body, type=PlatformFaults))
            return json_reply(True)
        if call.method == "POST" and call.path == "/vms":
            self.vms.put(decode(call.body, type=Vm))
            return json_reply(True)
        if call.path == "/use":
            return json_reply(self._budget_use())
        return None

    def _set_faults(self, faults: PlatformFaults) -> None:
        self.table.down = faults.get("down", self.table.down)
        self.table.lose_answers = faults.get("lose_answers", self.table.lose_answers)
        self.delay_s = faults.get("delay_s", self.delay_s)
        self.vms.lag_s = faults.get("list_lag_s", self.vms.lag_s)

    def _budget_use(self) -> PlatformUse:
        writes = self.table.write_budget
        reads = self.table.read_budget
        return {
            "writes": BudgetUse(writes.spent, writes.peak_per_s, writes.refused),
            "reads": BudgetUse(reads.spent, reads.peak_per_s, reads.refused),
            "commits": self.table.commits,
        }

    def _answer(self, call: Call) -> Reply:
        handler = self._handler_by_path.get(call.path)
        if handler is not None:
            return handler(call.body)
        if call.path.startswith(OBJECTS_PREFIX):
            return self._handle_object(call.method, call.path[len(OBJECTS_PREFIX) :], call.body)
        if call.path == "/vms":
            return json_reply(self.vms.changes_after(int(call.query.get("after", "0"))))
        return NOT_FOUND

    def _read(self, body: bytes) -> Reply:
        found = self.table.read(decode(body, type=ReadRequest)["keys"])
        if isinstance(found, Unavailable | Throttled):
            return _refusal_reply(found)
        return json_reply(RowsAnswer(tuple(found.values())))

    def _scan(self, body: bytes) -> Reply:
        scan = decode(body, type=ScanRequest)
        found = self.table.scan(scan["prefix"], scan["after"], scan["limit"])
        if isinstance(found, Unavailable | Throttled):
            return _refusal_reply(found)
        return json_reply(RowsAnswer(found))

    def _commit(self, body: bytes) -> Reply:
        transaction = _parse_transaction(decode(body))
        outcome = self.table.commit(transaction)
        if isinstance(outcome, Committed | OutcomeUnknown):
            self._record_puts(transaction)
        return _commit_reply(outcome)

    def _record_puts(self, transaction: Transaction) -> None:
        for put in transaction.puts:
            if put.key.startswith(RECORDED_PREFIXES):
                self._record(RowPut(self._clock(), put.key, encode(put.value).decode()))

    def _handle_object(self, method: str, name: str, body: bytes) -> Reply:
        if method == "PUT":
            self._content_by_name[name] = body
            return json_reply(True)
        if method == "DELETE":
            self._content_by_name.pop(name, None)
            return json_reply(True)
        content = self._content_by_name.get(name)
        if content is None:
            return NOT_FOUND
        return Reply(200, content, content_type="application/octet-stream")


def _parse_transaction(body: dict[str, Any]) -> Transaction:
    return convert([body["conditions"], body["puts"], body["deletes"]], Transaction)


def _commit_reply(outcome: Committed | CommitFailure) -> Reply:
    if isinstance(outcome, OutcomeUnknown):
        raise AnswerDroppedError
    if isinstance(outcome, Conflict):
        answer = CommitAnswer(False, outcome.actual_version, outcome.key, outcome.expected_version)
        return json_reply(answer)
    if isinstance(outcome, Committed):
        return json_reply(CommitAnswer(True, outcome.version))
    return _refusal_reply(outcome)


def _refusal_reply(failure: Unavailable | Throttled) -> Reply:
    if isinstance(failure, Throttled):
        return throttled_reply(failure.retry_after_s)
    return UNAVAILABLE

"""HTTP interface of the emulated store and workers, as ``dispatch_entry.py`` expects it."""

from base64 import b64decode
from base64 import b64encode
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from gevent import sleep
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.platform.workers import format_task_id
from laburnumswitch.platform.workers import parse_task_id
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import FeedMemoryTable
from standin.fleet.worker import FleetWorker
from standin.server import AnswerDroppedError
from standin.server import Call
from standin.server import json_reply
from standin.server import NOT_FOUND
from standin.server import Reply
from standin.server import UNAVAILABLE

PAGE_ROWS = 500


class StoreApi:
    """HTTP interface of the store; every answer is delayed by ``delay_s``."""

    def __init__(self, table: FeedMemoryTable) -> None:
        self.table = table
        self.delay_s = 0.0
        self.call_count = 0
        # Partition of each row: the one that a commit named last.
        self._partition_by_key: dict[str, str] = {}

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        self.call_count += 1
        if self.delay_s:
            sleep(self.delay_s)
        handler = {
            "/v1/rows-tx": self._commit,
            "/v1/rows-get": self._read,
            "/v1/rows-feed": self._follow,
        }.get(call.path)
        return handler(call) if handler else NOT_FOUND

    def _commit(self, call: Call) -> Reply:
        body = decode(call.body)
        transaction = Transaction(
            tuple(Condition(_key(row), row["ver"]) for row in body.get("expectedRev", ())),
            tuple(Put(_key(row), decode(b64decode(row["value"]))) for row in body.get("puts", ())),
            tuple(_key(row) for row in body.get("remove", ())),
        )
        named_rows = [row for rows in body.values() for row in rows]
        if len({row["part"] for row in named_rows}) > 1:
            return Reply(400, b"several partitions")
        self._partition_by_key.update({_key(row): row["part"] for row in named_rows})
        outcome = self.table.commit(transaction)
        if isinstance(outcome, OutcomeUnknown):
            raise AnswerDroppedError
        if isinstance(outcome, Conflict):
            rows = self.table.read(tuple(each.key for each in transaction.conditions))
            found = [self._encode_row(row) for row in rows.values() if row.version]
            return Reply(412, encode({"rows": found, "ver": 0, "nowMs": 0}))
        if isinstance(outcome, Failure):
            return UNAVAILABLE
        return json_reply({"ver": outcome.version, "nowMs": 0})

    def _read(self, call: Call) -> Reply:
        changes = self.table.load(call.query["table"])
        if isinstance(changes, Failure):
            return UNAVAILABLE
        partition = call.query.get("part", "")
        first = call.query.get("from", "")
        end = call.query.get("target")
        limit = min(PAGE_ROWS, int(call.query.get("limit", PAGE_ROWS)))
        named_rows = [
            (row.key.partition("/")[2], row)
            for row in changes.rows
            if self._partition_by_key.get(row.key, "") == partition
        ]
        rows = [row for name, row in named_rows if name >= first and (end is None or name < end)]
        return self._rows_reply(rows[:limit], changes.version, changes.now_s, len(rows) > limit)

    def _follow(self, call: Call) -> Reply:
        wait_s = int(call.query.get("waitMs", 0)) / 1000.0
        changes = self.table.follow(call.query["table"], int(call.query["after"]), wait_s)
        if isinstance(changes, HistoryLost):
            return Reply(410, b"{}")
        if isinstance(changes, Failure):
            return UNAVAILABLE
        rows = list(changes.rows)
        page = rows[:PAGE_ROWS]
        # The rows of one transaction have the same version and are not divided.
        while len(page) < len(rows) and page[-1].version == rows[len(page)].version:
            page.pop()
        has_more = len(page) < len(rows)
        version = page[-1].version if has_more else changes.version
        return self._rows_reply(page, version, changes.now_s, has_more)

    def _rows_reply(self, rows: list[Row], version: int, now_s: float, has_more: bool) -> Reply:
        return json_reply(
            {
                "rows": [self._encode_row(row) for row in rows],
                "ver": version,
                "nowMs": int(now_s * 1000),
                "hasMore": has_more,
            }
        )

    def _encode_row(self, row: Row) -> dict[str, Any]:
        table, _, name = row.key.partition("/")
        partition = self._partition_by_key.get(row.key, "")
        encoded = {"table": table, "part": partition, "key": name, "ver": row.version}
        if row.value is None:
            return {**encoded, "tombstone": True}
        return {**encoded, "value": b64encode(encode(row.value)).decode()}


class ListedWorker(Protocol):
    """What the list of VMs shows of a worker, which may be an emulated one or a process."""

    listing: WorkerListing
    is_crashed: bool


class VmListApi:
    """HTTP interface of the list of VMs, one for each worker.

    ``page_rows`` is the size of a page, ``is_down`` makes it refuse every call. Once ``record`` is
    called regularly, answers show the VMs as they were ``delay_s`` ago.
    """

    def __init__(
        self, workers: Sequence[ListedWorker], page_rows: int = 200, delay_s: float = 0.0
    ) -> None:
        self.workers = workers
        self.page_rows = page_rows
        self.delay_s = delay_s
        self.is_down = False
        self.call_count = 0
        self._recorded: deque[tuple[float, list[dict[str, Any]]]] = deque()

    def record(self, now_s: float) -> None:
        """Record the VMs as they are, for answers that are behind them."""
        self._recorded.append((now_s, self._encode_vms()))
        while len(self._recorded) > 1 and now_s - self._recorded[1][0] >= self.delay_s:
            self._recorded.popleft()

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        self.call_count += 1
        if self.is_down:
            return UNAVAILABLE
        if call.path != "/v1/machines":
            return NOT_FOUND
        first = int(call.query.get("pageToken", 0))
        end = first + self.page_rows
        vms = self._recorded[0][1] if self._recorded else self._encode_vms()
        rows = vms[first:end]
        next_token = str(end) if end < len(self.workers) else None
        return json_reply({"machines": rows, "nextToken": next_token})

    def _encode_vms(self) -> list[dict[str, Any]]:
        return [self._encode_vm(worker) for worker in self.workers]

    def _encode_vm(self, worker: ListedWorker) -> dict[str, Any]:
        listing = worker.listing
        return {
            "machine": listing.vm_id,
            "pool": listing.service,
            "state": "down" if worker.is_crashed else "up",
            "zone": listing.availability_zone,
            "labels": listing.labels,
            "capacity": {"cpu": listing.cpu_millis, "memMb": listing.memory_mb, "gpu": 0},
            "id": "" if worker.is_crashed else listing.worker_id,
        }


def make_worker_handler(worker: FleetWorker) -> Callable[[Call], Reply]:
    """Return the handler of the calls to one worker."""

    def handle(call: Call) -> Reply:
        if (
            call.headers.get("x-expect-instance", worker.listing.worker_id)
            != worker.listing.worker_id
        ):
            return Reply(421, b"{}")
        body = decode(call.body)
        answer = {
            "/v1/hold": _hold,
            "/v1/run-start": _start,
            "/v1/run-stop": _stop,
            "/v1/pace": _pace,
        }[call.path](worker, body)
        if isinstance(answer, StartRefused):
            return Reply(409, encode({"clockMs": worker.clock_ms(), "reason": answer.reason}))
        if isinstance(answer, Failure):
            raise AnswerDroppedError
        if isinstance(answer, WorkerReport):
            return json_reply(_encode_report(answer))
        return json_reply({"clockMs": int(answer.clock_s * 1000)})

    return handle


def _hold(worker: FleetWorker, body: dict[str, Any]) -> Any:
    until_s = body["untilMs"] / 1000.0 if "untilMs" in body else None
    wait_s = body.get("waitMs", 0) / 1000.0
    return worker.renew(Renewal(body["fence"], body["lastSeen"], until_s, wait_s), 5.0)


def _start(worker: FleetWorker, body: dict[str, Any]) -> Any:
    command = StartCommand(
        parse_task_id(body["task"]),
        body["run"],
        body["spec"],
        body["untilMs"] / 1000.0,
        body["fence"],
        body.get("lastCheckpoint", ""),
    )
    return worker.start(command, 5.0)


def _stop(worker: FleetWorker, body: dict[str, Any]) -> Any:
    return worker.stop(parse_task_id(body["task"]), body["run"], body["fence"], 5.0)


def _pace(worker: FleetWorker, body: dict[str, Any]) -> Any:
    task = parse_task_id(body["task"])
    return worker.throttle(task, body["run"], body["percent"], body["fence"], 5.0)


def _encode_report(report: WorkerReport) -> dict[str, Any]:
    return {
        "clockMs": int(report.clock_s * 1000),
        "born": report.incarnation,
        "running": [
            [
                format_task_id(row.task),
                row.run,
                row.checkpoint,
                row.progress_percent,
                row.measurement,
            ]
            for row in report.running
        ],
        "ended": [
            [end.number, format_task_id(end.task), end.run, end.outcome, end.checkpoint]
            for end in report.ended
        ],
    }


def _key(row: dict[str, Any]) -> str:
    return f"{row['table']}/{row['key']}"

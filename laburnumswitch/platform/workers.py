"""HTTP calls to workers: lease renewals, starts, stops and throttles."""

from collections.abc import Callable
from time import monotonic
from typing import Any

from gevent.lock import Semaphore
from msgspec import DecodeError
from msgspec import Struct
from msgspec import ValidationError
from msgspec.json import Decoder
from msgspec.json import encode

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.connection_limit import ConnectionLimit
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.exceptions import WorkerReplaced
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import Acknowledged
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import HELD_UP_REASON
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import StartCommand
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.units import MS_PER_S

# Commands sent to one worker at the same time. With a single one, a command that is not answered
# would hold up all others.
MAX_PARALLEL_COMMANDS = 2
# Idle connections kept per worker: one for its renewals and the rest for commands.
POOL_SIZE = 1 + MAX_PARALLEL_COMMANDS
# Number of ended runs that a worker lists at a time.
MAX_LISTED_ENDS = 500
# How much of the body of an unexpected answer is logged, in bytes.
MAX_REASON_BYTES = 200
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OTHER_WORKER = 421
STATUS_THROTTLED = 429
STATUS_UNAVAILABLE = 503


class _RunRow(Struct, array_like=True):
    task: str
    run: int
    checkpoint: str | None
    percent: float
    measurement: float | None = 0.0


class _EndRow(Struct, array_like=True):
    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str | None


class _Answer(Struct, rename={"clock_ms": "clockMs"}):
    clock_ms: float = 0.0
    reason: str = ""
    born: int = 0
    running: list[_RunRow] = []
    ended: list[_EndRow] = []


_ANSWER_DECODER = Decoder(_Answer)


class HttpWorkerLink:
    """Calls a worker by its id, without retries; it may have restarted under its id.

    At most ``MAX_PARALLEL_COMMANDS`` commands are sent at the same time. Others wait, within their
    own time limits: a burst would otherwise open a connection for each command, and an owner of
    many workers would run out of descriptors. ``limit`` bounds the connections to all workers.
    """

    def __init__(self, listing: WorkerListing, limit: ConnectionLimit | None = None) -> None:
        self._worker_id = listing.worker_id
        headers = {"X-Expect-Instance": listing.worker_id}
        self._client = Client(listing.address, lambda: headers, pool_size=POOL_SIZE, limit=limit)
        self._is_closed = False
        self._command_slots = Semaphore(MAX_PARALLEL_COMMANDS)
        # Parsed ids of the tasks in the last report; most of them are in the next one too.
        self._task_by_id: dict[str, TaskKey] = {}

    def renew(self, renewal: Renewal, timeout_s: float) -> WorkerReport | Failure:
        """Renew the lease and return the worker's current and ended runs."""
        body: dict[str, Any] = {"fence": renewal.fence, "lastSeen": renewal.acknowledged}
        if renewal.until_s is not None:
            body["untilMs"] = int(renewal.until_s * MS_PER_S)
        if renewal.wait_s:
            body["waitMs"] = int(renewal.wait_s * MS_PER_S)
        answer = self._call("/v1/hold", body, timeout_s)
        if isinstance(answer, Failure):
            return answer
        try:
            running = self._decode_running(answer.running)
            ended = tuple(_decode_end(row) for row in answer.ended)
        except ValueError as error:
            return AnswerMalformed(self._client.address, str(error))
        may_have_more_ends = len(ended) >= MAX_LISTED_ENDS
        return WorkerReport(
            answer.clock_ms / MS_PER_S, answer.born, running, ended, may_have_more_ends
        )

    def start(self, command: StartCommand, timeout_s: float) -> Acknowledged | Failure:
        """Start a run."""
        body: dict[str, Any] = {
            "task": format_task_id(command.task),
            "run": command.run,
            "spec": command.spec,
            "untilMs": int(command.until_s * MS_PER_S),
            "fence": command.fence,
        }
        if command.checkpoint:
            body["lastCheckpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        return self._acknowledge("/v1/run-start", body, timeout_s, command.may_be_sent)

    def stop(self, task: TaskKey, run: int, fence: int, timeout_s: float) -> Acknowledged | Failure:
        """Stop a run."""
        body = {"task": format_task_id(task), "run": run, "fence": fence}
        return self._acknowledge("/v1/run-stop", body, timeout_s)

    def throttle(
        self, task: TaskKey, run: int, percent: int, fence: int, timeout_s: float
    ) -> Acknowledged | Failure:
        """Limit a run to ``percent`` of its speed."""
        body = {"task": format_task_id(task), "run": run, "percent": percent, "fence": fence}
        return self._acknowledge("/v1/pace", body, timeout_s)

    def close(self) -> None:
        """Close all connections; commands that wait are not sent any more."""
        self._is_closed = True
        self._client.close()

    def _decode_running(self, rows: list[_RunRow]) -> tuple[RunReport, ...]:
        known = self._task_by_id
        task_by_id = {row.task: known.get(row.task) or parse_task_id(row.task) for row in rows}
        self._task_by_id = task_by_id
        return tuple(
            RunReport(
                task_by_id[row.task],
                row.run,
                row.checkpoint or "",
                row.percent,
                row.measurement or 0.0,
            )
            for row in rows
        )

    def _acknowledge(
        self,
        path: str,
        body: dict,
        timeout_s: float,
        may_be_sent: Callable[[], bool] = lambda: True,
    ) -> Acknowledged | Failure:
        began_s = monotonic()
        if not self._command_slots.acquire(timeout=timeout_s):
            return ConnectFailed(self._client.address, "other commands are not answered")
        try:
            if self._is_closed:
                return ConnectFailed(self._client.address, "the link is closed")
            if not may_be_sent():
                return ConnectFailed(self._client.address, HELD_UP_REASON)
            remaining_s = max(0.0, timeout_s - (monotonic() - began_s))
            answer = self._call(path, body, remaining_s)
        finally:
            self._command_slots.release()
        return answer if isinstance(answer, Failure) else Acknowledged(answer.clock_ms / MS_PER_S)

    def _call(self, path: str, body: dict, timeout_s: float) -> _Answer | Failure:
        response = self._client.call("POST", path, encode(body), timeout_s)
        if isinstance(response, ConnectFailed | AnswerLost):
            return response
        if response.status == STATUS_OTHER_WORKER:
            return WorkerReplaced(self._worker_id)
        if response.status == STATUS_THROTTLED:
            return Throttled(1.0)
        if response.status == STATUS_UNAVAILABLE:
            return Unavailable(f"{self._worker_id} is unhealthy")
        if response.status not in (STATUS_OK, STATUS_CONFLICT):
            return Refused(self._client.address, response.status, _reason(response.body))
        try:
            answer = _ANSWER_DECODER.decode(response.body)
        except (DecodeError, ValidationError, RecursionError) as error:
            return AnswerMalformed(self._client.address, str(error))
        if response.status == STATUS_CONFLICT:
            return StartRefused(self._worker_id, answer.reason)
        return answer


def _reason(body: bytes) -> str:
    return body[:MAX_REASON_BYTES].decode("utf-8", "replace")


def format_task_id(task: TaskKey) -> str:
    """Return a task's id in the platform's format."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_id(task_id: str) -> TaskKey:
    """Parse a task's id in the platform's format."""
    job_id, occurrence, step, index = task_id.split(".")
    return TaskKey(job_id, int(occurrence), int(step), int(index))


def _decode_end(row: _EndRow) -> EndReport:
    return EndReport(
        row.number, parse_task_id(row.task), row.run, row.outcome, row.checkpoint or ""
    )

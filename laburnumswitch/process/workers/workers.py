"""Access to the platform's workers.

Grants name instants of the worker's own clock, taken from its last report, so that a message that
is delayed on its way can never extend a lease. A worker refuses messages for another boot of it and
for an epoch below the highest it has seen, and stops every run whose lease has lapsed.

One call serves any number of workers behind one address, such as those of one rack.
"""

from typing import Literal
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.size import Size

NO_GRANT = 0.0


class StartOrder(NamedTuple):
    """Start run ``run`` of task ``task_id``, unless the worker has seen this or a later run.

    ``until`` is the lease's end by the worker's clock in seconds; ``checkpoint`` names the state to
    resume from, and is empty for a first run. ``service`` is empty for a batch task.
    """

    task_id: str
    run: int
    until: float
    size: Size
    command: tuple[str, ...]
    run_time_s: float
    checkpoint: str = ""
    service: str = ""
    slots: int = 0


class StopOrder(NamedTuple):
    """End a run: ``drain`` ends a service replica after the exchanges in flight,
    ``checkpoint`` saves the state under the name ``task_id.run`` first, ``kill`` does neither."""

    task_id: str
    run: int
    how: Literal["drain", "checkpoint", "kill"]


class ThrottleOrder(NamedTuple):
    """Limit a run to ``percent`` of its processors; 100 lifts the limit."""

    task_id: str
    run: int
    percent: int


class WorkerOrders(NamedTuple):
    """All orders of one call for one worker.

    ``renew_until`` extends every lease of the worker to that instant of its clock, except those of
    runs listed in ``lapse``; ``NO_GRANT`` renews nothing. ``acknowledged`` is the number of the
    last event that is safely in the ledger. ``full`` asks for all runs in the report.
    """

    boot: str
    epoch: int
    renew_until: float = NO_GRANT
    acknowledged: int = 0
    full: bool = False
    lapse: tuple[str, ...] = ()
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    throttles: tuple[ThrottleOrder, ...] = ()


class RunEvent(NamedTuple):
    """One event of a run, kept by the worker until it is acknowledged.

    ``checkpoint`` names the saved state of an ``evicted`` run, empty where none was saved.
    """

    number: int
    kind: Literal["started", "finished", "failed", "evicted", "killed", "lapsed", "refused"]
    task_id: str
    run: int
    port: int = 0
    checkpoint: str = ""


class RunReport(NamedTuple):
    """One run that the worker holds now."""

    task_id: str
    run: int
    port: int = 0


class Usage(NamedTuple):
    """Measured use of one run, a few seconds old.

    ``slowdown`` is the run's progress rate when alone over its present rate, at least 1.0.
    """

    task_id: str
    cpu_millis: int
    memory_mb: int
    slowdown: float = 1.0


class WorkerReport(NamedTuple):
    """One worker's answer. ``clock`` is its monotonic clock in seconds."""

    boot: str
    clock: float
    epoch: int = 0
    events: tuple[RunEvent, ...] = ()
    runs: tuple[RunReport, ...] | None = None
    usage: tuple[Usage, ...] = ()


class _Batch(NamedTuple):
    by_worker: dict[str, WorkerReport]


class Workers(Protocol):
    """What the scheduler needs of the workers."""

    def exchange(
        self, address: str, by_worker: dict[str, WorkerOrders]
    ) -> dict[str, WorkerReport] | Unavailable:
        """Deliver orders and return the reports of the same workers.

        A failure says nothing about whether the orders arrived; all of them are idempotent.
        """


class WorkersClient:
    """The workers over HTTP with JSON, with one pooled client per address."""

    def __init__(self, timeout_s: float = 2.0) -> None:
        self._timeout_s = timeout_s
        self._by_address: dict[str, Client] = {}

    def exchange(
        self, address: str, by_worker: dict[str, WorkerOrders]
    ) -> dict[str, WorkerReport] | Unavailable:
        """Deliver orders and return the reports of the same workers."""
        client = self._by_address.get(address)
        if client is None:
            client = self._by_address[address] = Client(address)
        body = {"by_worker": by_worker}
        answer = call_json(client, "POST", "/workers", body, _Batch, self._timeout_s)
        if isinstance(answer, Failure):
            return Unavailable(answer.describe())
        return answer.by_worker

    def control_bytes(self) -> int:
        """Return the bytes sent to and received from the workers so far."""
        return sum(client.control_bytes() for client in self._by_address.values())

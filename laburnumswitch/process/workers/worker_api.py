"""Messages between owners and workers, and the client that exchanges them.

Lease ends are instants of the worker's own clock, based on its last report, so a delayed message
can never extend a lease. A worker's ``boot`` is the id of the start of its process. A worker
refuses messages for another boot and for an epoch below the highest it has seen, and stops every
run whose lease has lapsed.

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

# Lease end, by the worker's clock in seconds, that grants no lease.
NO_GRANT = 0.0


class StartOrder(NamedTuple):
    """Start run ``run`` of task ``task_id``, unless the worker has seen this or a later run.

    ``until`` is the end of the lease by the worker's clock in seconds. ``checkpoint`` names the
    state to resume from, empty if there is none. ``service`` is empty for a batch task.
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
    """Stop a run.

    ``drain`` lets a service replica finish the requests in flight, ``checkpoint`` first saves the
    state as ``task_id.run``, ``kill`` does neither.
    """

    task_id: str
    run: int
    how: Literal["drain", "checkpoint", "kill"]


class ThrottleOrder(NamedTuple):
    """Limit a run to ``percent`` of its CPUs; 100 removes the limit."""

    task_id: str
    run: int
    percent: int


class WorkerOrders(NamedTuple):
    """All orders of one call for one worker.

    ``renew_until`` extends every lease to that instant of the worker's clock; ``NO_GRANT`` renews
    nothing. ``lapse`` lists the tasks whose leases are not renewed. ``acknowledged`` is the number
    of the last event that is durably in the ledger. ``full`` requests a report of all runs.
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
    """Event of a run, kept by the worker until it is acknowledged.

    ``checkpoint`` names the saved state of an ``evicted`` run, empty if none was saved.
    """

    number: int
    kind: Literal["started", "finished", "failed", "evicted", "killed", "lapsed", "refused"]
    task_id: str
    run: int
    port: int = 0
    checkpoint: str = ""


class ReportedRun(NamedTuple):
    """A run that is currently on the worker."""

    task_id: str
    run: int
    port: int = 0


class Usage(NamedTuple):
    """Measured resource usage of one run, a few seconds old.

    ``slowdown`` is the run's rate of progress when alone divided by its current rate, at least 1.0.
    """

    task_id: str
    cpu_millis: int
    memory_mb: int
    slowdown: float = 1.0


class WorkerReply(NamedTuple):
    """Report of one worker, in reply to orders.

    ``clock`` is its monotonic clock in seconds, ``epoch`` the highest that it has seen. ``runs`` is
    ``None`` unless the orders requested a report of all runs.
    """

    boot: str
    clock: float
    epoch: int = 0
    events: tuple[RunEvent, ...] = ()
    runs: tuple[ReportedRun, ...] | None = None
    usage: tuple[Usage, ...] = ()


class _ReplyBatch(NamedTuple):
    by_worker: dict[str, WorkerReply]


class WorkerApi(Protocol):
    """Interface between the scheduler and the workers."""

    def exchange(
        self, address: str, by_worker: dict[str, WorkerOrders]
    ) -> dict[str, WorkerReply] | Unavailable:
        """Deliver orders and return the reports of the same workers.

        After a failure the orders may or may not have arrived; all of them are idempotent.
        """


class WorkerApiClient:
    """``WorkerApi`` over HTTP with JSON, with one pooled client per address."""

    def __init__(self, timeout_s: float = 2.0) -> None:
        self._timeout_s = timeout_s
        self._by_address: dict[str, Client] = {}

    def exchange(
        self, address: str, by_worker: dict[str, WorkerOrders]
    ) -> dict[str, WorkerReply] | Unavailable:
        """Deliver orders and return the reports of the same workers."""
        client = self._by_address.get(address)
        if client is None:
            client = self._by_address[address] = Client(address)
        body = {"by_worker": by_worker}
        answer = call_json(client, "POST", "/workers", body, _ReplyBatch, self._timeout_s)
        if isinstance(answer, Failure):
            return Unavailable(answer.describe())
        return answer.by_worker

    def control_bytes(self) -> int:
        """Return the bytes sent to and received from the workers so far."""
        return sum(client.control_bytes() for client in self._by_address.values())

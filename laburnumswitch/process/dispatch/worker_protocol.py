"""Messages that the dispatch daemon exchanges with workers.

Each run ends with a report that the worker repeats until it is acknowledged. Those of one
incarnation of the worker are numbered.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.job_spec import TaskKey


class WorkerListing(NamedTuple):
    """A worker as listed by the platform.

    :ivar incarnation: identifies one start of the worker's process, 0 if unknown.
    :ivar is_cold: whether the worker has started recently and runs tasks more slowly.
    :ivar remaining_s: minimum time until a draining worker leaves, in seconds; ``None`` if unknown.
        It is not stored, see ``Dispatcher.queue_fleet_row``.
    :ivar vm_id: the VM that runs the worker, empty if unknown.
    """

    worker_id: str
    service: str
    address: str
    availability_zone: str
    is_draining: bool
    cpu_millis: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    rack: str
    incarnation: int
    is_cold: bool = False
    remaining_s: float | None = None
    vm_id: str = ""


class RunOutcome(StrEnum):
    """How a run ended.

    ``LAPSED``: the lease expired. ``BROKEN``: another member of the gang ended. ``ALONE``: the
    other members of the gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(NamedTuple):
    """A run that exists on a worker.

    :ivar progress_percent: part of the work that is done.
    :ivar measurement: over the last half second, the tail latency in milliseconds for a serving
        task, or the processor use in thousandths of a core for any other.
    """

    task: TaskKey
    run: int
    checkpoint: str
    progress_percent: float
    measurement: float


class EndReport(NamedTuple):
    """A run that ended.

    :ivar number: sequence number of the report within one incarnation of the worker.
    """

    number: int
    task: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str


class WorkerReport(NamedTuple):
    """Answer of a worker to a lease renewal.

    :ivar clock_s: the worker's monotonic clock.
    :ivar ended: reports of ended runs that are not acknowledged yet, the earliest first.
    :ivar may_have_more_ends: whether later ones may be left out.
    """

    clock_s: float
    incarnation: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    may_have_more_ends: bool = False


class Renewal(NamedTuple):
    """Request that extends the lease of all runs of a worker and acknowledges ended runs.

    :ivar fence: fencing token; the worker refuses lower ones from then on.
    :ivar acknowledged: the worker forgets the reports of ended runs up to this number.
    :ivar until_s: end of the lease on the worker's clock; ``None`` leaves it unchanged.
    :ivar wait_s: how long the worker holds the request open until a run ends.
    """

    fence: int
    acknowledged: int
    until_s: float | None
    wait_s: float


# Why a start was not sent that had waited for too long.
HELD_UP_REASON = "held up until another entry may have taken over"


class StartCommand(NamedTuple):
    """Command to start one run, under a lease until ``until_s`` on the worker's clock.

    :ivar may_be_sent: asked right before it is sent, as it may wait for other commands or for the
        process; if not, it is refused with ``ConnectFailed``.
    """

    task: TaskKey
    run: int
    spec: str
    until_s: float
    fence: int
    checkpoint: str
    ticket: str = ""
    may_be_sent: Callable[[], bool] = lambda: True


class Acknowledged(NamedTuple):
    """Answer of a worker that carried out a command; ``clock_s`` is its monotonic clock."""

    clock_s: float


class WorkerLink(Protocol):
    """Client for the worker of an id, which may have restarted; every call is sent once."""

    def renew(self, renewal: Renewal, timeout_s: float) -> WorkerReport | Failure:
        """Renew the lease and return the current and the ended runs."""

    def start(self, command: StartCommand, timeout_s: float) -> Acknowledged | Failure:
        """Start a run."""

    def stop(self, task: TaskKey, run: int, fence: int, timeout_s: float) -> Acknowledged | Failure:
        """Stop a run."""

    def throttle(
        self, task: TaskKey, run: int, percent: int, fence: int, timeout_s: float
    ) -> Acknowledged | Failure:
        """Limit a run to a percentage of its full speed."""

    def close(self) -> None:
        """Close the connections."""

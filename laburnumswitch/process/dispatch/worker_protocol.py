"""Messages exchanged with workers."""

from enum import StrEnum
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.job_spec import TaskKey


class WorkerListing(NamedTuple):
    """A worker as listed by the platform; ``incarnation`` changes with every restart."""

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


class RunOutcome(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(NamedTuple):
    """A run that a worker holds; ``progress_percent`` is the part of its work that is done.

    ``measurement`` covers the last half second: the tail latency in milliseconds for a serving
    task, the processor use in thousandths of a core for any other.
    """

    task: TaskKey
    run: int
    checkpoint: str
    progress_percent: float
    measurement: float


class EndReport(NamedTuple):
    """A run that ended; ``number`` counts the ends of one incarnation of the worker."""

    number: int
    task: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str


class WorkerReport(NamedTuple):
    """Answer of a worker to a lease renewal; ``clock_s`` is the worker's monotonic clock."""

    clock_s: float
    incarnation: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


class Renewal(NamedTuple):
    """Request that extends the lease of all runs of a worker and acknowledges ends.

    :ivar fence: fencing token; the worker refuses lower ones from then on.
    :ivar acknowledged: the worker forgets ends up to this number.
    :ivar until_s: end of the lease on the worker's clock; ``None`` leaves it unchanged.
    :ivar wait_s: how long the worker holds the request open for an end.
    """

    fence: int
    acknowledged: int
    until_s: float | None
    wait_s: float


class StartCommand(NamedTuple):
    """Command to start one run, under a lease until ``until_s`` on the worker's clock."""

    task: TaskKey
    run: int
    spec: str
    until_s: float
    fence: int
    checkpoint: str
    ticket: str = ""


class Acknowledged(NamedTuple):
    """Answer of a worker that carried out a command; ``clock_s`` is its monotonic clock."""

    clock_s: float


class WorkerLink(Protocol):
    """Client for one incarnation of a worker; every call is sent once."""

    def renew(self, renewal: Renewal, timeout_s: float) -> WorkerReport | Failure:
        """Renew the lease and return the runs and ends."""

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

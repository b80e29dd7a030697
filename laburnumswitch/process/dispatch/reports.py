"""What workers say of themselves and of their runs, and what they are told."""

from enum import StrEnum
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.work import TaskKey


class WorkerEntry(NamedTuple):
    """A worker as listed by the platform; ``incarnation`` changes when it starts again."""

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


class How(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(NamedTuple):
    """A run that a worker holds.

    ``measure`` covers the last half second: for a serving task the tail of its response times in
    milliseconds, for any other the processors that it used in thousandths of a core.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: float
    measure: float


class EndReport(NamedTuple):
    """A run that ended; ``number`` counts the ends of one incarnation of the worker."""

    number: int
    task: TaskKey
    run: int
    how: How
    checkpoint: str


class WorkerReport(NamedTuple):
    """Answer of a worker to a lease renewal; ``clock_s`` is its own steady clock."""

    clock_s: float
    incarnation: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


class Renewal(NamedTuple):
    """Extends the lease of all runs of a worker, and acknowledges its ends.

    :ivar fence: fencing token; the worker refuses lower ones from then on.
    :ivar acknowledged: ends up to this number are forgotten by the worker.
    :ivar until_s: end of the lease on the worker's clock; ``None`` leaves it as it is.
    :ivar wait_s: the answer waits so long for an end.
    """

    fence: int
    acknowledged: int
    until_s: float | None
    wait_s: float


class StartOrder(NamedTuple):
    """Start of one run, under a lease until ``until_s`` on the worker's clock."""

    task: TaskKey
    run: int
    spec: str
    until_s: float
    fence: int
    checkpoint: str
    ticket: str = ""


class Acknowledged(NamedTuple):
    """A worker did what it was told; ``clock_s`` is its own steady clock."""

    clock_s: float


class WorkerLink(Protocol):
    """Calls of one incarnation of a worker, each sent once."""

    def renew(self, renewal: Renewal, timeout_s: float) -> WorkerReport | Failure:
        """Renew the lease and return the runs and ends."""

    def start(self, order: StartOrder, timeout_s: float) -> Acknowledged | Failure:
        """Start a run."""

    def stop(self, task: TaskKey, run: int, fence: int, timeout_s: float) -> Acknowledged | Failure:
        """Stop a run."""

    def throttle(
        self, task: TaskKey, run: int, percent: int, fence: int, timeout_s: float
    ) -> Acknowledged | Failure:
        """Limit a run to a share of its speed."""

    def close(self) -> None:
        """Close the connections."""

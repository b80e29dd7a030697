"""One run on a worker: its lease, progress and actual resource use."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from laburnumswitch.process.workers.worker_api import StartOrder
from standin.interference import TaskLoad

FAIL_AFTER_WORK_S = 0.1
FAILING_COMMAND = "fail"
RUN_TIME_FACTOR_RANGE = (0.5, 1.6)
USE_SHARE_RANGE = (0.3, 1.1)


class Replica(Protocol):
    """The worker's interface to the server of a service's replica."""

    port: int

    def drain(self) -> None:
        """Start to refuse new requests."""

    def drained(self) -> bool:
        """Return whether draining is complete."""

    def busy_share(self) -> float:
        """Return the share of slots in use."""

    def stop(self, kind: str) -> None:
        """Close every connection, including those with requests in flight."""


StartReplica = Callable[[StartOrder, Callable[[], bool]], Replica]


class Run:
    """State of one run. ``work_s`` is its run time in seconds when it is alone on a worker."""

    def __init__(self, order: StartOrder, seed: int, speed: float, fails: bool) -> None:
        random = Random(f"{seed}/{order.task_id}")
        self.order = order
        self.lease_until = order.until
        self.throttle_percent = 100
        self.slowdown = 1.0
        self.work_done_s = 0.0
        self.work_s = order.run_time_s * random.uniform(*RUN_TIME_FACTOR_RANGE) / speed
        self.fails = fails or FAILING_COMMAND in order.command
        self.use_share = random.uniform(*USE_SHARE_RANGE)
        self.stop_how = ""
        self.evict_at = float("inf")
        self.replica: Replica | None = None

    @property
    def program(self) -> str:
        """Return the name of the program, by which interference is modelled."""
        return self.order.service or (self.order.command[0] if self.order.command else "task")

    @property
    def port(self) -> int:
        """Return the port of the replica's server, or 0 for a batch task."""
        return self.replica.port if self.replica else 0

    def load(self) -> TaskLoad:
        """Return the current CPU use."""
        share = self.use_share
        if self.replica is not None:
            share = min(self.use_share, 0.1 + self.replica.busy_share())
        return TaskLoad(
            self.program, int(self.order.size.cpu_millis * share * self.throttle_percent / 100)
        )

    def progress(self, elapsed_s: float) -> None:
        """Add the work done in ``elapsed_s`` seconds of the worker's clock."""
        self.work_done_s += elapsed_s * self.throttle_percent / 100 / self.slowdown

    def end_kind(self, now: float) -> str:
        """Return the kind of event that ends the run at ``now``, or an empty string."""
        if self.fails and self.work_done_s >= FAIL_AFTER_WORK_S:
            return "failed"
        if self.order.service:
            drained = self.replica is not None and self.replica.drained()
            return "finished" if drained else ""
        if now >= self.evict_at:
            return "evicted"
        return "finished" if self.work_done_s >= self.work_s else ""

"""One run on a worker: its lease, its progress and what it really uses."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from laburnumswitch.process.workers.worker_api import StartOrder
from standin.interference import Load

FAIL_AFTER_S = 0.1
FAILING_COMMAND = "fail"
FACTOR_RANGE = (0.5, 1.6)
USE_RANGE = (0.3, 1.1)


class Replica(Protocol):
    """The server of a service's replica, as the worker sees it."""

    port: int

    def drain(self) -> None:
        """Refuse new requests."""

    def drained(self) -> bool:
        """Return whether the server drains and has nothing left to do."""

    def busy_share(self) -> float:
        """Return the share of the slots that are in use."""

    def stop(self, kind: str) -> None:
        """Close every connection, cutting what is in flight."""


StartReplica = Callable[[StartOrder, Callable[[], bool]], Replica]


class Run:
    """State of one run. ``work_s`` is what it needs in seconds alone on a worker."""

    def __init__(self, order: StartOrder, seed: int, speed: float, fails: bool) -> None:
        random = Random(f"{seed}/{order.task_id}")
        self.order = order
        self.until = order.until
        self.percent = 100
        self.slowdown = 1.0
        self.done_s = 0.0
        self.work_s = order.run_time_s * random.uniform(*FACTOR_RANGE) / speed
        self.fails = fails or FAILING_COMMAND in order.command
        self.use = random.uniform(*USE_RANGE)
        self.stop_how = ""
        self.stop_at = float("inf")
        self.replica: Replica | None = None

    @property
    def kind(self) -> str:
        """Return the name of the program, for interference."""
        return self.order.service or (self.order.command[0] if self.order.command else "task")

    @property
    def port(self) -> int:
        """Return the port of the replica's server; 0 for a batch task."""
        return self.replica.port if self.replica else 0

    def load(self) -> Load:
        """Return what the run uses now."""
        share = self.use
        if self.replica is not None:
            share = min(self.use, 0.1 + self.replica.busy_share())
        return Load(self.kind, int(self.order.size.cpu_millis * share * self.percent / 100))

    def progress(self, elapsed_s: float) -> None:
        """Execute for ``elapsed_s`` seconds of the worker's clock."""
        self.done_s += elapsed_s * self.percent / 100 / self.slowdown

    def ended_kind(self, now: float) -> str:
        """Return the kind of event that ends the run at ``now``, or an empty string."""
        if self.fails and self.done_s >= FAIL_AFTER_S:
            return "failed"
        if self.order.service:
            drained = self.replica is not None and self.replica.drained()
            return "finished" if drained else ""
        if now >= self.stop_at:
            return "evicted"
        return "finished" if self.done_s >= self.work_s else ""

"""One worker: executes runs under leases by its own clock, takes orders and sends reports."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.process.workers.worker_api import NO_GRANT
from laburnumswitch.process.workers.worker_api import ReportedRun
from laburnumswitch.process.workers.worker_api import RunEvent
from laburnumswitch.process.workers.worker_api import StartOrder
from laburnumswitch.process.workers.worker_api import StopOrder
from laburnumswitch.process.workers.worker_api import ThrottleOrder
from laburnumswitch.process.workers.worker_api import Usage
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.process.workers.worker_api import WorkerReply
from laburnumswitch.size import Size
from standin.interference import Coefficient
from standin.interference import slowdowns
from standin.records import EndAcknowledged
from standin.records import Record
from standin.records import RunEnded
from standin.records import RunStarted
from standin.records import WorkerUp
from standin.run import Run
from standin.run import StartReplica

CHECKPOINT_DURATION_S = 0.3
SAMPLE_INTERVAL_S = 0.5
MAX_REPORTED_EVENTS = 400


class WorkerSettings(NamedTuple):
    """Settings of a worker.

    Its clock advances ``clock_rate`` seconds per second and starts at ``clock_origin``. Batch tasks
    run ``speed`` times faster than declared.
    """

    worker_id: str
    boot: str
    availability_zone: str
    capacity: Size
    rack: str = ""
    clock_rate: float = 1.0
    clock_origin: float = 0.0
    seed: int = 1
    speed: float = 1.0
    usage_lag_s: float = 2.0


class Checkpoints(Protocol):
    """Storage of checkpoints, shared by all workers."""

    def save(self, name: str, done_s: float) -> None:
        """Save the progress of a run."""

    def load(self, name: str) -> float:
        """Return the progress that was saved under ``name``."""


class _Sample(NamedTuple):
    at: float
    usage: tuple[Usage, ...]


class Worker:
    """State of one worker; its rack has to call ``advance`` regularly.

    Instants named ``*_s`` are on the machine's clock. Others, such as ``now``, ``ended_at`` and
    ``lease_until``, are on the worker's own clock.
    """

    def __init__(
        self,
        settings: WorkerSettings,
        coefficient: Coefficient,
        checkpoints: Checkpoints,
        start_replica: StartReplica,
        record: Callable[[Record], None],
        machine_clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.fails_everything = False
        self.epoch = 0
        self.run_by_task: dict[str, Run] = {}
        self._coefficient = coefficient
        self._checkpoints = checkpoints
        self._start_replica = start_replica
        self._record = record
        self._machine_clock = machine_clock
        self._advanced_at = self.clock()
        self._highest_run_by_task: dict[str, int] = {}
        self._events: list[RunEvent] = []
        self._last_event_number = 0
        self._lease_end_by_event: dict[int, float] = {}
        self._samples: list[_Sample] = []
        record(
            WorkerUp(
                machine_clock(),
                settings.worker_id,
                settings.boot,
                settings.availability_zone,
                settings.capacity,
                settings.rack,
            )
        )

    def clock(self) -> float:
        """Return the time of the worker's own clock in seconds."""
        return self.settings.clock_origin + self._machine_clock() * self.settings.clock_rate

    def exchange(self, orders: WorkerOrders) -> WorkerReply:
        """Carry out orders and return a report; ignore those of another boot or a lower epoch."""
        self.advance()
        if orders.boot != self.settings.boot or orders.epoch < self.epoch:
            return self._report(full=True)
        self.epoch = orders.epoch
        self._acknowledge(orders.acknowledged)
        self._renew(orders)
        for start in orders.starts:
            self._start(start)
        for stop in orders.stops:
            self._stop(stop)
        for throttle in orders.throttles:
            self._throttle(throttle)
        return self._report(orders.full)

    def advance(self) -> None:
        """Advance every run to the current time, and end those that are complete or lapsed.

        A run does no work after the end of its lease, however late this is called.
        """
        now = self.clock()
        since = self._advanced_at
        self._advanced_at = now
        for run in list(self.run_by_task.values()):
            run.progress(max(0.0, min(now, run.lease_until) - since))
            if now >= run.lease_until:
                self._end(run, "lapsed", ended_at=run.lease_until)
                continue
            kind = run.end_kind(now)
            if kind:
                self._end(run, kind)
        self._sample(now)

    def is_executing(self, run: Run) -> bool:
        """Return whether ``run`` is still executing, after ending the runs that lapsed."""
        self.advance()
        return self.run_by_task.get(run.order.task_id) is run

    def _acknowledge(self, number: int) -> None:
        while self._events and self._events[0].number <= number:
            event = self._events.pop(0)
            if event.number in self._lease_end_by_event:
                self._record_acknowledgement(event)

    def _record_acknowledgement(self, event: RunEvent) -> None:
        within_lease = self.clock() < self._lease_end_by_event.pop(event.number)
        worker_id = self.settings.worker_id
        now_s = self._machine_clock()
        self._record(EndAcknowledged(now_s, worker_id, event.task_id, event.run, within_lease))

    def _renew(self, orders: WorkerOrders) -> None:
        if orders.renew_until == NO_GRANT:
            return
        # ``lapse`` lists tasks, or single runs as ``task.run``, whose leases must not be renewed.
        for task_id, run in self.run_by_task.items():
            if task_id not in orders.lapse and f"{task_id}.{run.order.run}" not in orders.lapse:
                run.lease_until = max(run.lease_until, orders.renew_until)

    def _start(self, order: StartOrder) -> None:
        if self._highest_run_by_task.get(order.task_id, 0) >= order.run:
            return
        self._highest_run_by_task[order.task_id] = order.run
        if order.until <= self.clock() or order.task_id in self.run_by_task:
            self._add_event("refused", order.task_id, order.run)
            return
        run = Run(order, self.settings.seed, self.settings.speed, self.fails_everything)
        if order.checkpoint:
            run.work_done_s = self._checkpoints.load(order.checkpoint)
        if order.service:
            run.replica = self._start_replica(order, lambda: self.is_executing(run))
        self.run_by_task[order.task_id] = run
        self._add_event("started", order.task_id, order.run, port=run.port)
        self._record(
            RunStarted(
                self._machine_clock(),
                self.settings.worker_id,
                order.task_id,
                order.run,
                order.size,
                order.service,
                order.checkpoint,
            )
        )

    def _stop(self, order: StopOrder) -> None:
        run = self.run_by_task.get(order.task_id)
        if run is None or run.order.run != order.run:
            self._fence(order)
            return
        if order.how == "drain" and run.replica is not None:
            run.replica.drain()
        elif order.how == "checkpoint" and not run.order.service:
            run.evict_at = min(run.evict_at, self.clock() + CHECKPOINT_DURATION_S)
        else:
            self._end(run, "killed")

    def _fence(self, order: StopOrder) -> None:
        # A start order that arrives after the stop order of the same run must not take effect.
        if self._highest_run_by_task.get(order.task_id, 0) < order.run:
            self._highest_run_by_task[order.task_id] = order.run
            self._add_event("killed", order.task_id, order.run)

    def _throttle(self, order: ThrottleOrder) -> None:
        run = self.run_by_task.get(order.task_id)
        if run is not None and run.order.run == order.run:
            run.throttle_percent = min(100, max(1, order.percent))

    def _end(self, run: Run, kind: str, ended_at: float | None = None) -> None:
        order = run.order
        del self.run_by_task[order.task_id]
        overdue_s = 0.0
        if ended_at is not None:
            overdue_s = (self.clock() - ended_at) / self.settings.clock_rate
        ended_s = self._machine_clock() - overdue_s
        if run.replica is not None:
            run.replica.stop(kind)
        checkpoint = ""
        if kind == "evicted":
            checkpoint = f"{order.task_id}.{order.run}"
            self._checkpoints.save(checkpoint, run.work_done_s)
        self._record(RunEnded(ended_s, self.settings.worker_id, order.task_id, order.run, kind))
        self._add_event(kind, order.task_id, order.run, checkpoint=checkpoint)
        self._lease_end_by_event[self._last_event_number] = run.lease_until

    def _add_event(
        self, kind: str, task_id: str, run: int, port: int = 0, checkpoint: str = ""
    ) -> None:
        self._last_event_number += 1
        self._events.append(RunEvent(self._last_event_number, kind, task_id, run, port, checkpoint))

    def _sample(self, now: float) -> None:
        if self._samples and now - self._samples[-1].at < SAMPLE_INTERVAL_S:
            return
        runs = list(self.run_by_task.values())
        loads = [run.load() for run in runs]
        factors = slowdowns(loads, self.settings.capacity.cpu_millis, self._coefficient)
        usage = []
        for run, load, factor in zip(runs, loads, factors, strict=True):
            run.slowdown = factor
            memory_mb = int(run.order.size.memory_mb * min(1.0, run.use_share))
            usage.append(Usage(run.order.task_id, load.cpu_millis, memory_mb, factor))
        self._samples.append(_Sample(now, tuple(usage)))

    def _lagging_usage(self) -> tuple[Usage, ...]:
        shown_until = self.clock() - self.settings.usage_lag_s
        while len(self._samples) > 1 and self._samples[1].at <= shown_until:
            del self._samples[0]
        if not self._samples or self._samples[0].at > shown_until:
            return ()
        return self._samples[0].usage

    def _report(self, full: bool) -> WorkerReply:
        runs = None
        if full:
            runs = tuple(
                ReportedRun(run.order.task_id, run.order.run, run.port)
                for run in self.run_by_task.values()
            )
        return WorkerReply(
            self.settings.boot,
            self.clock(),
            self.epoch,
            tuple(self._events[:MAX_REPORTED_EVENTS]),
            runs,
            self._lagging_usage(),
        )

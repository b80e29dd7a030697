"""In-memory fakes of the clock, the workers, the object store and a faulty table."""

from random import Random

from laburnumswitch.declaration import Configuration
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.rows.object_store import WriteApplied
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.worker_api import NO_GRANT
from laburnumswitch.process.workers.worker_api import ReportedRun
from laburnumswitch.process.workers.worker_api import RunEvent
from laburnumswitch.process.workers.worker_api import StartOrder
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.process.workers.worker_api import WorkerReply
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class FakeClock:
    def __init__(self, now_s: float = 1000.0) -> None:
        self.now_s = now_s

    def __call__(self) -> float:
        return self.now_s

    def sleep(self, seconds: float) -> None:
        self.now_s += seconds


class FakeObjects:
    def __init__(self) -> None:
        self.by_name: dict[str, bytes] = {}

    def put(self, name, content):
        self.by_name[name] = content
        return WriteApplied()

    def get(self, name):
        return self.by_name.get(name) or NotFound(name)

    def remove(self, name):
        self.by_name.pop(name, None)
        return WriteApplied()


class FakeWorker:
    """A worker with its own clock, whose runs stop when their leases lapse."""

    def __init__(self, worker_id: str, clock, history: list, uptime_s: float = 500.0) -> None:
        self.worker_id = worker_id
        self.boots = 1
        self.clock_rate = 1.0
        self.reachable = True
        self.responses_to_drop = 0
        self.fails_everything = False
        self.run_by_task: dict[str, StartOrder] = {}
        self.until_by_task: dict[str, float] = {}
        self.usage: tuple = ()
        self.percent_by_task: dict[str, int] = {}
        self._clock = clock
        self._history = history
        self._started_s = clock() - uptime_s
        self._epoch = 0
        self._seen_run_by_task: dict[str, int] = {}
        self._events: list[RunEvent] = []
        self._event_number = 0

    @property
    def boot(self) -> str:
        return f"{self.worker_id}-boot{self.boots}"

    def own_clock(self) -> float:
        return (self._clock() - self._started_s) * self.clock_rate

    def used(self) -> Size:
        total = ZERO
        for start in self.run_by_task.values():
            total = total.plus(start.size)
        return total

    def reboot(self) -> None:
        for task_id in tuple(self.run_by_task):
            self._remove(task_id, "rebooted")
        self.boots += 1
        self._epoch = 0
        self._seen_run_by_task.clear()
        self._events.clear()
        self._event_number = 0

    def end(self, task_id: str, kind: str = "finished", checkpoint: str = "") -> None:
        run = self.run_by_task[task_id].run
        self._remove(task_id, kind)
        self._emit(kind, task_id, run, checkpoint=checkpoint)

    def expire(self) -> None:
        for task_id, until in tuple(self.until_by_task.items()):
            if self.own_clock() >= until:
                self.end(task_id, "lapsed")

    def exchange(self, orders: WorkerOrders) -> WorkerReply:
        self.expire()
        if orders.boot == self.boot and orders.epoch >= self._epoch:
            self._epoch = orders.epoch
            self._apply_orders(orders)
        runs = tuple(ReportedRun(task, run.run, 8000) for task, run in self.run_by_task.items())
        return WorkerReply(
            self.boot,
            self.own_clock(),
            self._epoch,
            tuple(self._events),
            runs if orders.full else None,
            self.usage,
        )

    def _apply_orders(self, orders: WorkerOrders) -> None:
        self._events = [event for event in self._events if event.number > orders.acknowledged]
        if orders.renew_until != NO_GRANT:
            for task_id in set(self.until_by_task) - set(orders.lapse):
                self.until_by_task[task_id] = max(self.until_by_task[task_id], orders.renew_until)
        for stop in orders.stops:
            held = self.run_by_task.get(stop.task_id)
            if held is None or held.run != stop.run:
                self._fence(stop)
                continue
            saved = f"{stop.task_id}.{stop.run}" if stop.how == "checkpoint" else ""
            self.end(stop.task_id, "evicted" if saved else "killed", saved)
        for throttle in orders.throttles:
            self.percent_by_task[throttle.task_id] = throttle.percent
        for start in orders.starts:
            self._start(start)

    def _start(self, start: StartOrder) -> None:
        if start.run <= self._seen_run_by_task.get(start.task_id, 0):
            return
        self._seen_run_by_task[start.task_id] = start.run
        if start.until <= self.own_clock():
            self._emit("refused", start.task_id, start.run)
            return
        self.run_by_task[start.task_id] = start
        self.until_by_task[start.task_id] = start.until
        self._history.append((self._clock(), "start", self.worker_id, start.task_id, start.run))
        self._emit("started", start.task_id, start.run)
        if self.fails_everything:
            self.end(start.task_id, "failed")

    def _fence(self, stop) -> None:
        # A start order that arrives after the stop order of its run must not start the run.
        if self._seen_run_by_task.get(stop.task_id, 0) < stop.run:
            self._seen_run_by_task[stop.task_id] = stop.run
            self._emit("killed", stop.task_id, stop.run)

    def _remove(self, task_id: str, kind: str) -> None:
        start = self.run_by_task.pop(task_id)
        del self.until_by_task[task_id]
        self._history.append((self._clock(), kind, self.worker_id, task_id, start.run))

    def _emit(self, kind: str, task_id: str, run: int, checkpoint: str = "") -> None:
        self._event_number += 1
        port = 8000 if kind == "started" else 0
        self._events.append(RunEvent(self._event_number, kind, task_id, run, port, checkpoint))


class FakeWorkers:
    """All workers; the address of each equals its ID."""

    def __init__(self, clock) -> None:
        self.history: list[tuple] = []
        self.by_id: dict[str, FakeWorker] = {}
        self.capacity_by_id: dict[str, Size] = {}
        self._clock = clock

    def add(self, vm: Vm) -> FakeWorker:
        worker = self.by_id[vm.vm_id] = FakeWorker(vm.vm_id, self._clock, self.history)
        self.capacity_by_id[vm.vm_id] = vm.capacity
        return worker

    def exchange(self, address, by_worker):
        worker = self.by_id[address]
        if not worker.reachable:
            return Unavailable("the worker does not respond")
        report = worker.exchange(by_worker[address])
        if worker.responses_to_drop:
            worker.responses_to_drop -= 1
            return Unavailable("the response was lost")
        return {address: report}

    def with_unreachable(self, unreachable: set[str]) -> "PartitionedWorkers":
        return PartitionedWorkers(self, unreachable)

    def expire(self) -> None:
        for worker in self.by_id.values():
            worker.expire()

    def running(self) -> dict[str, list[str]]:
        """Return the workers that currently run each task."""
        workers_by_task: dict[str, list[str]] = {}
        for worker in self.by_id.values():
            for task_id in worker.run_by_task:
                workers_by_task.setdefault(task_id, []).append(worker.worker_id)
        return workers_by_task

    def overcommitted(self) -> list[str]:
        return [
            worker.worker_id
            for worker in self.by_id.values()
            if not worker.used().fits(self.capacity_by_id[worker.worker_id])
        ]

    def runs_of(self, task_id: str) -> list[int]:
        return [
            run for _, kind, _, task, run in self.history if kind == "start" and task == task_id
        ]


class PartitionedWorkers:
    """The workers as seen by an entry that cannot reach those in ``unreachable``."""

    def __init__(self, workers: FakeWorkers, unreachable: set[str]) -> None:
        self._workers = workers
        self._unreachable = unreachable

    def exchange(self, address, by_worker):
        if address in self._unreachable:
            return Unavailable("the worker is unreachable")
        return self._workers.exchange(address, by_worker)


class FaultyTable:
    """A table that delays its next commits or makes an interfering call before the next one.

    The caller of a delayed commit gets ``OutcomeUnknown``; a test can commit the transaction later.
    """

    def __init__(self, table) -> None:
        self.table = table
        self.commits_to_delay = 0
        self.delayed_transactions: list = []
        self.before_commit = None

    def read(self, keys):
        return self.table.read(keys)

    def scan(self, prefix, after=""):
        return self.table.scan(prefix, after)

    def commit(self, transaction):
        if self.before_commit is not None:
            interfering_call, self.before_commit = self.before_commit, None
            interfering_call()
        if self.commits_to_delay:
            self.commits_to_delay -= 1
            self.delayed_transactions.append(transaction)
            return OutcomeUnknown("delayed in transit")
        return self.table.commit(transaction)


def make_vm(number: int, zone: str = "a", rack: str = "r0", capacity=None, state="live") -> Vm:
    worker_id = f"w{number}"
    capacity = capacity or Size(8_000, 16_000)
    return Vm(worker_id, "worker", worker_id, zone, state, rack, capacity)


def make_context(table, clock, workers, vms, vm_id="e1", objects=None, **changes):
    """Return the scheduler context of one entry; ``vms`` is a tuple of worker VMs or a function."""
    fields = {
        "vm_id": vm_id,
        "table": table,
        "objects": objects or FakeObjects(),
        "workers": workers,
        "configuration": Configuration,
        "vms": vms if callable(vms) else lambda: vms,
        "live_entries": lambda: (vm_id,),
        "has_recent_heartbeat": lambda entry: False,
        "shard_hints": dict,
        "shard_count": 1,
        "timeline": Timeline(vm_id, "a", clock),
        "clock": clock,
        "wall_clock": clock,
        "sleep": clock.sleep,
        "random": Random(1),
    }
    fields.update(changes)
    fields.setdefault("wait", lambda event, seconds: fields["sleep"](seconds))
    return SchedulerContext(**fields)

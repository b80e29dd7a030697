"""What an owner knows of one worker besides the ledger: reports, events, and orders to send."""

from typing import Literal
from typing import NamedTuple

from xxhash import xxh64_intdigest

from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Run
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.workers.lease import LEASE_S
from laburnumswitch.process.workers.work import name_run
from laburnumswitch.process.workers.work import split_task
from laburnumswitch.process.workers.work import TaskKey
from laburnumswitch.process.workers.workers import NO_GRANT
from laburnumswitch.process.workers.workers import RunEvent
from laburnumswitch.process.workers.workers import RunReport
from laburnumswitch.process.workers.workers import StartOrder
from laburnumswitch.process.workers.workers import StopOrder
from laburnumswitch.process.workers.workers import ThrottleOrder
from laburnumswitch.process.workers.workers import Usage
from laburnumswitch.process.workers.workers import WorkerOrders
from laburnumswitch.process.workers.workers import WorkerReport

NEVER_S = float("-inf")
FULL_EVERY_S = 30.0
STOP_LIMIT_S = 15.0

StopHow = Literal["drain", "checkpoint", "kill"]


class Unconfirmed(NamedTuple):
    """A start whose effect no report has shown yet.

    ``until`` is the latest grant sent with it, 0 for none. ``may_be_sent`` is false only where it
    is certain that no start order of this run can be under way.
    """

    run: int
    until: float
    may_be_sent: bool


class WantedStop(NamedTuple):
    """A stop that is sent until the end of the run is reported."""

    run: int
    how: StopHow
    since_s: float


class WorkerState:
    """One worker as its shard's owner sees it."""

    def __init__(self, worker_id: str, address: str, owner_epoch: int, boot: str = "") -> None:
        self.worker_id = worker_id
        self.address = address
        self.owner_epoch = owner_epoch
        self.boot = boot
        self.clock = 0.0
        self.reported_s = NEVER_S
        self.epoch = 0
        self.needs_full = True
        self.has_news = True
        self._ask_again = False
        self.unconfirmed: dict[TaskKey, Unconfirmed] = {}
        self.port_by_key: dict[TaskKey, int] = {}
        self.stop_by_key: dict[TaskKey, WantedStop] = {}
        self.percent_by_key: dict[TaskKey, int] = {}
        self.usage_by_key: dict[TaskKey, Usage] = {}
        self.usage_is_new = False
        self.events: list[RunEvent] = []
        self.old_boot = ""
        self.old_events: list[RunEvent] = []
        self.last_number = 0
        self.acknowledged = 0
        self.orphans: tuple[RunReport, ...] = ()
        self.vanished: set[TaskKey] = set()
        self._full_s = NEVER_S
        self._phase_s = xxh64_intdigest(worker_id.encode()) / 2**64 * FULL_EVERY_S

    def expect_runs(self, ledger: Ledger, may_be_sent: bool) -> None:
        """Treat every run of the ledger on this worker as not confirmed, as after a takeover."""
        worker = ledger.find_worker(self.worker_id)
        for key in worker.runs if worker else ():
            run = ledger.find_run(key)
            self.unconfirmed[key] = Unconfirmed(run.run, NO_GRANT, may_be_sent)

    def expect_run(self, key: TaskKey, run: int) -> None:
        """Send the start of a run that was just committed."""
        self.unconfirmed[key] = Unconfirmed(run, NO_GRANT, False)
        self.has_news = True

    def forget_run(self, key: TaskKey) -> None:
        """Drop everything about a run that has ended."""
        for by_key in (
            self.unconfirmed,
            self.port_by_key,
            self.stop_by_key,
            self.percent_by_key,
            self.usage_by_key,
        ):
            by_key.pop(key, None)
        self.vanished.discard(key)

    def want_stop(self, key: TaskKey, run: int, how: StopHow, now_s: float) -> None:
        """Stop a run; a harsher manner replaces a softer one."""
        earlier = self.stop_by_key.get(key)
        if earlier is not None and (earlier.how == how or earlier.how == "kill"):
            return
        self.stop_by_key[key] = WantedStop(run, how, earlier.since_s if earlier else now_s)
        self.has_news = True

    def make_orders(
        self,
        ledger: Ledger,
        until: float,
        service_until: float,
        ending: set[TaskKey] | None,
        now_s: float,
    ) -> WorkerOrders:
        """Return all orders for one exchange.

        :param until: the grant for every run, ``NO_GRANT`` where none may be given.
        :param service_until: the grant for replicas of services.
        :param ending: runs that must not be started any more; ``None`` where none may be.
        """
        self.has_news = False
        self.needs_full = self.needs_full or now_s - self._full_s >= FULL_EVERY_S
        worker = ledger.find_worker(self.worker_id)
        if worker is None or worker.boot != self.boot or self.reported_s == NEVER_S:
            return WorkerOrders(self.boot, self.owner_epoch, full=self.needs_full)
        lapse = self._overdue(ledger, now_s)
        lapse.extend(held.task_id for held in self.orphans)
        if until == NO_GRANT and service_until != NO_GRANT:
            lapse.extend(_batch_tasks(ledger, worker.runs))
        starts = []
        if ending is not None:
            starts = self._make_starts(ledger, until, service_until, ending)
        return WorkerOrders(
            self.boot,
            self.owner_epoch,
            max(until, service_until),
            self.acknowledged,
            self.needs_full,
            tuple(lapse),
            tuple(starts),
            self._make_stops(ledger),
            self._make_throttles(ledger),
        )

    def take_report(self, ledger: Ledger, report: WorkerReport, now_s: float) -> None:
        """Take one answer in. Events wait in ``events`` until a batch holds them.

        A worker that has seen a higher epoch obeys another owner; its answer is left alone.
        """
        if report.epoch > self.owner_epoch:
            return
        if report.boot != self.boot:
            self._begin_boot(report.boot)
        self.clock = report.clock
        self.reported_s = now_s
        self.epoch = report.epoch
        for event in report.events:
            if event.number > self.last_number:
                self.last_number = event.number
                self.events.append(event)
                self._note_started(ledger, event)
        for usage in report.usage:
            key = find_key(ledger, usage.task_id)
            if key is not None and ledger.find_run(key) is not None:
                self.usage_by_key[key] = usage
                self.usage_is_new = True
        if report.runs is not None:
            self._ask_again = False
            self._compare_runs(ledger, report)
            self.needs_full = self._ask_again
            # The first interval differs by worker, so that full reports do not come all at once.
            phase_s = self._phase_s if self._full_s == NEVER_S else 0.0
            self._full_s = now_s - phase_s

    def fail_exchange(self) -> None:
        """Note that the orders of the last exchange may or may not have arrived."""
        self.needs_full = True
        self.has_news = True

    def _begin_boot(self, boot: str) -> None:
        # What the earlier boot reported still counts, though the worker has forgotten it.
        if self.events:
            self.old_boot = self.boot
            self.old_events = self.events
        self.boot = boot
        self.events = []
        self.last_number = 0
        self.acknowledged = 0
        self.usage_by_key.clear()
        self.orphans = ()
        self.needs_full = True

    def _note_started(self, ledger: Ledger, event: RunEvent) -> None:
        key = find_key(ledger, event.task_id)
        run = ledger.find_run(key) if key else None
        if event.kind == "started" and run is not None and run.run == event.run:
            self._confirm(key, event.port)

    def _confirm(self, key: TaskKey, port: int) -> None:
        self.unconfirmed.pop(key, None)
        self.vanished.discard(key)
        self.port_by_key[key] = port

    def _compare_runs(self, ledger: Ledger, report: WorkerReport) -> None:
        worker = ledger.find_worker(self.worker_id)
        if worker is None or worker.boot != report.boot:
            return
        orphans = []
        seen: set[TaskKey] = set()
        for held in report.runs:
            key = find_key(ledger, held.task_id)
            run = ledger.find_run(key) if key else None
            if run is None or run.run != held.run or run.worker != worker.number:
                orphans.append(held)
                continue
            seen.add(key)
            self._confirm(key, held.port)
        self.orphans = tuple(orphans)
        missing = worker.runs - seen
        if missing and report.events:
            # The end of a missing run may be among events that this report had no place for.
            self.has_news = True
            self._ask_again = True
            return
        for key in missing:
            self._note_missing(key, report.clock)

    def _note_missing(self, key: TaskKey, clock: float) -> None:
        start = self.unconfirmed.get(key)
        if start is None:
            self.vanished.add(key)
        elif start.until == NO_GRANT and self.epoch == self.owner_epoch:
            self.unconfirmed[key] = start._replace(may_be_sent=False)
        elif start.until != NO_GRANT and clock > start.until:
            self.vanished.add(key)

    def _make_starts(
        self, ledger: Ledger, until: float, service_until: float, ending: set[TaskKey]
    ) -> list[StartOrder]:
        orders = []
        for key, start in self.unconfirmed.items():
            run = ledger.find_run(key)
            group = ledger.group_by_number.get(key.group)
            if run is None or key in self.stop_by_key or key in ending:
                continue
            grant = service_until if group.work.service else until
            if grant == NO_GRANT:
                continue
            self.unconfirmed[key] = Unconfirmed(run.run, max(grant, start.until), True)
            orders.append(_start_order(group, key.index, run, grant))
        return orders

    def _make_stops(self, ledger: Ledger) -> tuple[StopOrder, ...]:
        stops = [
            StopOrder(ledger.group_by_number[key.group].task_id(key.index), stop.run, stop.how)
            for key, stop in self.stop_by_key.items()
            if ledger.find_run(key) is not None
        ]
        stops.extend(StopOrder(held.task_id, held.run, "kill") for held in self.orphans)
        return tuple(stops)

    def _make_throttles(self, ledger: Ledger) -> tuple[ThrottleOrder, ...]:
        throttles = []
        for key, percent in self.percent_by_key.items():
            run = ledger.find_run(key)
            if run is not None:
                task_id = ledger.group_by_number[key.group].task_id(key.index)
                throttles.append(ThrottleOrder(task_id, run.run, percent))
        return tuple(throttles)

    def _overdue(self, ledger: Ledger, now_s: float) -> list[str]:
        return [
            ledger.group_by_number[key.group].task_id(key.index)
            for key, stop in self.stop_by_key.items()
            if now_s - stop.since_s > STOP_LIMIT_S and ledger.find_run(key) is not None
        ]


def find_key(ledger: Ledger, task_id: str) -> TaskKey | None:
    """Return the key of a task by its name, if its group is known here."""
    job_id, index = split_task(task_id)
    number = ledger.number_by_job_id.get(job_id)
    return None if number is None else TaskKey(number, index)


def lease_end(clock: float) -> float:
    """Return the end of a grant by a worker's clock."""
    return clock + LEASE_S


def _batch_tasks(ledger: Ledger, keys: set[TaskKey]) -> list[str]:
    names = []
    for key in keys:
        group = ledger.group_by_number[key.group]
        if not group.work.service:
            names.append(group.task_id(key.index))
    return names


def _start_order(group: TaskGroup, index: int, run: Run, until: float) -> StartOrder:
    task_id = group.task_id(index)
    checkpoint = name_run(task_id, run.checkpoint_run) if run.checkpoint_run else ""
    work = group.work
    return StartOrder(
        task_id,
        run.run,
        until,
        work.size,
        work.command,
        work.run_time_s,
        checkpoint,
        work.service,
        work.slots,
    )

"""What an owner knows of one worker besides the ledger: reports, events and orders to send."""

from typing import Literal
from typing import NamedTuple

from xxhash import xxh64_intdigest

from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Run
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.workers.lease import LEASE_S
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.task_spec import make_run_id
from laburnumswitch.process.workers.task_spec import parse_task_id
from laburnumswitch.process.workers.worker_api import NO_GRANT
from laburnumswitch.process.workers.worker_api import ReportedRun
from laburnumswitch.process.workers.worker_api import RunEvent
from laburnumswitch.process.workers.worker_api import StartOrder
from laburnumswitch.process.workers.worker_api import StopOrder
from laburnumswitch.process.workers.worker_api import ThrottleOrder
from laburnumswitch.process.workers.worker_api import Usage
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.process.workers.worker_api import WorkerReply

# Time of the last report of a worker that has not reported yet.
NEVER_S = float("-inf")
FULL_REPORT_INTERVAL_S = 30.0
# After this time, the lease of a run that was to be stopped is no longer renewed.
STOP_TIMEOUT_S = 15.0

StopMode = Literal["drain", "checkpoint", "kill"]


class UnconfirmedStart(NamedTuple):
    """A start that no report has confirmed yet.

    ``lease_until`` is the latest lease end sent with it, ``NO_GRANT`` for none.
    ``may_be_in_flight`` is false only if certainly no start order of this run is in flight.
    """

    run: int
    lease_until: float
    may_be_in_flight: bool


class RequestedStop(NamedTuple):
    """A stop that is sent in every exchange until the worker reports the end of the run."""

    run: int
    mode: StopMode
    requested_s: float


class WorkerState:
    """Last known state of one worker, and the orders to send to it.

    :ivar boot: id of the start of the worker's process, of the last report or of the ledger.
    :ivar reported_clock: the worker's clock in seconds in the last report.
    :ivar epoch: epoch in the last report, the highest that the worker has seen.
    :ivar events: reported events that are not yet in a committed batch.
    :ivar orphaned_runs: reported runs that the ledger does not have on this worker.
    :ivar lost_tasks: tasks whose run the ledger has on this worker but the worker does not.
    """

    def __init__(self, worker_id: str, address: str, owner_epoch: int, boot: str = "") -> None:
        self.worker_id = worker_id
        self.address = address
        self.owner_epoch = owner_epoch
        self.boot = boot
        self.reported_clock = 0.0
        self.reported_s = NEVER_S
        self.epoch = 0
        self.needs_full_report = True
        self.has_new_orders = True
        # Whether a run was missing from the last full report whose end may be in a later report.
        self._repeat_full_report = False
        self.unconfirmed_start_by_key: dict[LedgerTaskKey, UnconfirmedStart] = {}
        self.port_by_key: dict[LedgerTaskKey, int] = {}
        self.stop_by_key: dict[LedgerTaskKey, RequestedStop] = {}
        self.throttle_percent_by_key: dict[LedgerTaskKey, int] = {}
        self.usage_by_key: dict[LedgerTaskKey, Usage] = {}
        self.has_new_usage = False
        self.events: list[RunEvent] = []
        self.previous_boot = ""
        self.previous_boot_events: list[RunEvent] = []
        self.last_event_number = 0
        self.acknowledged_event_number = 0
        self.orphaned_runs: tuple[ReportedRun, ...] = ()
        self.lost_tasks: set[LedgerTaskKey] = set()
        self._full_report_s = NEVER_S
        self._full_report_offset_s = (
            xxh64_intdigest(worker_id.encode()) / 2**64 * FULL_REPORT_INTERVAL_S
        )

    def mark_all_unconfirmed(self, ledger: Ledger, may_be_in_flight: bool) -> None:
        """Treat every run of the ledger on this worker as unconfirmed, as after a takeover."""
        worker = ledger.find_worker(self.worker_id)
        for key in worker.runs if worker else ():
            run = ledger.find_run(key)
            self.unconfirmed_start_by_key[key] = UnconfirmedStart(
                run.run, NO_GRANT, may_be_in_flight
            )

    def queue_start(self, key: LedgerTaskKey, run: int) -> None:
        """Queue the start order of a run that was just committed."""
        self.unconfirmed_start_by_key[key] = UnconfirmedStart(run, NO_GRANT, False)
        self.has_new_orders = True

    def forget_run(self, key: LedgerTaskKey) -> None:
        """Drop all state of a run that has ended."""
        for by_key in (
            self.unconfirmed_start_by_key,
            self.port_by_key,
            self.stop_by_key,
            self.throttle_percent_by_key,
            self.usage_by_key,
        ):
            by_key.pop(key, None)
        self.lost_tasks.discard(key)

    def request_stop(self, key: LedgerTaskKey, run: int, mode: StopMode, now_s: float) -> None:
        """Request a stop; a second request may change the mode, except from ``kill``."""
        previous = self.stop_by_key.get(key)
        if previous is not None and (previous.mode == mode or previous.mode == "kill"):
            return
        self.stop_by_key[key] = RequestedStop(
            run, mode, previous.requested_s if previous else now_s
        )
        self.has_new_orders = True

    def make_orders(
        self,
        ledger: Ledger,
        lease_until: float,
        service_lease_until: float,
        blocked_starts: set[LedgerTaskKey] | None,
        now_s: float,
    ) -> WorkerOrders:
        """Return all orders for one exchange, and note the starts among them as sent.

        :param lease_until: lease end of batch runs, ``NO_GRANT`` if none may be granted.
        :param service_lease_until: lease end of replicas of services.
        :param blocked_starts: tasks that must not be started; ``None`` blocks every start.
        """
        self.has_new_orders = False
        self.needs_full_report = (
            self.needs_full_report or now_s - self._full_report_s >= FULL_REPORT_INTERVAL_S
        )
        worker = ledger.find_worker(self.worker_id)
        if worker is None or worker.boot != self.boot or self.reported_s == NEVER_S:
            return WorkerOrders(self.boot, self.owner_epoch, full=self.needs_full_report)
        lapse = self._overdue_stops(ledger, now_s)
        lapse.extend(orphan.task_id for orphan in self.orphaned_runs)
        if lease_until == NO_GRANT and service_lease_until != NO_GRANT:
            lapse.extend(_batch_task_ids(ledger, worker.runs))
        starts = []
        if blocked_starts is not None:
            starts = self._make_starts(ledger, lease_until, service_lease_until, blocked_starts)
        return WorkerOrders(
            self.boot,
            self.owner_epoch,
            max(lease_until, service_lease_until),
            self.acknowledged_event_number,
            self.needs_full_report,
            tuple(lapse),
            tuple(starts),
            self._make_stops(ledger),
            self._make_throttles(ledger),
        )

    def apply_report(self, ledger: Ledger, report: WorkerReply, now_s: float) -> None:
        """Apply one report. Events stay in ``events`` until a batch contains them.

        A report with a higher epoch is ignored: the worker obeys another owner.
        """
        if report.epoch > self.owner_epoch:
            return
        if report.boot != self.boot:
            self._reset_for_boot(report.boot)
        self.reported_clock = report.clock
        self.reported_s = now_s
        self.epoch = report.epoch
        for event in report.events:
            if event.number > self.last_event_number:
                self.last_event_number = event.number
                self.events.append(event)
                self._note_started(ledger, event)
        for usage in report.usage:
            key = find_task_key(ledger, usage.task_id)
            if key is not None and ledger.find_run(key) is not None:
                self.usage_by_key[key] = usage
                self.has_new_usage = True
        if report.runs is not None:
            self._repeat_full_report = False
            self._compare_runs(ledger, report)
            self.needs_full_report = self._repeat_full_report
            # The first interval differs by worker, which spreads full reports over time.
            offset_s = self._full_report_offset_s if self._full_report_s == NEVER_S else 0.0
            self._full_report_s = now_s - offset_s

    def note_failed_exchange(self) -> None:
        """Handle a failed exchange, whose orders may or may not have arrived."""
        self.needs_full_report = True
        self.has_new_orders = True

    def _reset_for_boot(self, boot: str) -> None:
        # Events of the previous boot still count, although the worker no longer reports them.
        if self.events:
            self.previous_boot = self.boot
            self.previous_boot_events = self.events
        self.boot = boot
        self.events = []
        self.last_event_number = 0
        self.acknowledged_event_number = 0
        self.usage_by_key.clear()
        self.orphaned_runs = ()
        self.needs_full_report = True

    def _note_started(self, ledger: Ledger, event: RunEvent) -> None:
        key = find_task_key(ledger, event.task_id)
        run = ledger.find_run(key) if key else None
        if event.kind == "started" and run is not None and run.run == event.run:
            self._confirm(key, event.port)

    def _confirm(self, key: LedgerTaskKey, port: int) -> None:
        self.unconfirmed_start_by_key.pop(key, None)
        self.lost_tasks.discard(key)
        self.port_by_key[key] = port

    def _compare_runs(self, ledger: Ledger, report: WorkerReply) -> None:
        worker = ledger.find_worker(self.worker_id)
        if worker is None or worker.boot != report.boot:
            return
        orphaned = []
        seen: set[LedgerTaskKey] = set()
        for reported in report.runs:
            key = find_task_key(ledger, reported.task_id)
            run = ledger.find_run(key) if key else None
            if run is None or run.run != reported.run or run.worker != worker.number:
                orphaned.append(reported)
                continue
            seen.add(key)
            self._confirm(key, reported.port)
        self.orphaned_runs = tuple(orphaned)
        missing = worker.runs - seen
        if missing and report.events:
            # The number of events in a report is limited, so the end of a missing run may be in a
            # later one.
            self.has_new_orders = True
            self._repeat_full_report = True
            return
        for key in missing:
            self._note_missing(key, report.clock)

    def _note_missing(self, key: LedgerTaskKey, clock: float) -> None:
        start = self.unconfirmed_start_by_key.get(key)
        if start is None:
            # The worker had confirmed the run.
            self.lost_tasks.add(key)
        elif start.lease_until == NO_GRANT and self.epoch == self.owner_epoch:
            # This owner has not sent the start, and the worker, which has seen this owner's epoch,
            # refuses an order of an earlier owner.
            self.unconfirmed_start_by_key[key] = start._replace(may_be_in_flight=False)
        elif start.lease_until != NO_GRANT and clock > start.lease_until:
            # The lease sent with the start has ended, so the run can no longer start.
            self.lost_tasks.add(key)

    def _make_starts(
        self,
        ledger: Ledger,
        lease_until: float,
        service_lease_until: float,
        blocked_starts: set[LedgerTaskKey],
    ) -> list[StartOrder]:
        orders = []
        for key, start in self.unconfirmed_start_by_key.items():
            run = ledger.find_run(key)
            group = ledger.group_by_number.get(key.group)
            if run is None or key in self.stop_by_key or key in blocked_starts:
                continue
            start_lease_until = service_lease_until if group.task_spec.service else lease_until
            if start_lease_until == NO_GRANT:
                continue
            self.unconfirmed_start_by_key[key] = UnconfirmedStart(
                run.run, max(start_lease_until, start.lease_until), True
            )
            orders.append(_make_start_order(group, key.index, run, start_lease_until))
        return orders

    def _make_stops(self, ledger: Ledger) -> tuple[StopOrder, ...]:
        stops = [
            StopOrder(ledger.group_by_number[key.group].task_id(key.index), stop.run, stop.mode)
            for key, stop in self.stop_by_key.items()
            if ledger.find_run(key) is not None
        ]
        stops.extend(StopOrder(orphan.task_id, orphan.run, "kill") for orphan in self.orphaned_runs)
        return tuple(stops)

    def _make_throttles(self, ledger: Ledger) -> tuple[ThrottleOrder, ...]:
        throttles = []
        for key, percent in self.throttle_percent_by_key.items():
            run = ledger.find_run(key)
            if run is not None:
                task_id = ledger.group_by_number[key.group].task_id(key.index)
                throttles.append(ThrottleOrder(task_id, run.run, percent))
        return tuple(throttles)

    def _overdue_stops(self, ledger: Ledger, now_s: float) -> list[str]:
        return [
            ledger.group_by_number[key.group].task_id(key.index)
            for key, stop in self.stop_by_key.items()
            if now_s - stop.requested_s > STOP_TIMEOUT_S and ledger.find_run(key) is not None
        ]


def find_task_key(ledger: Ledger, task_id: str) -> LedgerTaskKey | None:
    """Return the key of a task, or ``None`` if its job is unknown in this shard."""
    job_id, index = parse_task_id(task_id)
    number = ledger.number_by_job_id.get(job_id)
    return None if number is None else LedgerTaskKey(number, index)


def lease_end_by_worker_clock(clock: float) -> float:
    """Return the end of a lease granted now, given the worker's clock in its last report."""
    return clock + LEASE_S


def _batch_task_ids(ledger: Ledger, keys: set[LedgerTaskKey]) -> list[str]:
    task_ids = []
    for key in keys:
        group = ledger.group_by_number[key.group]
        if not group.task_spec.service:
            task_ids.append(group.task_id(key.index))
    return task_ids


def _make_start_order(group: TaskGroup, index: int, run: Run, lease_until: float) -> StartOrder:
    task_id = group.task_id(index)
    checkpoint = make_run_id(task_id, run.checkpoint_run) if run.checkpoint_run else ""
    task_spec = group.task_spec
    return StartOrder(
        task_id,
        run.run,
        lease_until,
        task_spec.size,
        task_spec.command,
        task_spec.run_time_s,
        checkpoint,
        task_spec.service,
        task_spec.slots,
    )

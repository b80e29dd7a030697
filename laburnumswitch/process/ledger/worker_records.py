"""Batch records that follow from worker reports, from missing reports and from the VM list."""

from collections.abc import Callable
from collections.abc import Iterable

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.ledger.records import RecordedOutcome
from laburnumswitch.process.ledger.records import WorkerGone
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.workers.lease import certainly_lapsed
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.worker_api import RunEvent
from laburnumswitch.process.workers.worker_state import find_task_key
from laburnumswitch.process.workers.worker_state import NEVER_S
from laburnumswitch.process.workers.worker_state import WorkerState

EndCallback = Callable[[LedgerTaskKey, str, RecordedOutcome], RecordedOutcome]


def add_run_ends(
    batch: BatchBuilder, ledger: Ledger, states: Iterable[WorkerState], on_end: EndCallback
) -> None:
    """Record the runs that workers reported as ended, and those that a worker has lost.

    The reported events are acknowledged after the commit.

    :param on_end: called for each ended run with the worker's id; returns the outcome to record,
        which is ignored for a lost run.
    """
    for state in states:
        worker = ledger.find_worker(state.worker_id)
        if worker is None:
            continue
        if state.previous_boot_events and worker.boot == state.previous_boot:
            for event in state.previous_boot_events:
                _add_run_end(batch, ledger, worker, event, on_end)
        if worker.boot != state.boot:
            continue
        state.previous_boot_events = []
        for event in state.events:
            _add_run_end(batch, ledger, worker, event, on_end)
        for key in state.lost_tasks & worker.runs:
            if batch.record_run_end(key, RecordedOutcome.LAPSED):
                on_end(key, worker.worker_id, RecordedOutcome.LAPSED)
        if state.events:
            batch.on_commit.append(_make_acknowledge(state, state.events[-1].number))


def add_lapses(
    batch: BatchBuilder,
    ledger: Ledger,
    state_by_worker_id: dict[str, WorkerState],
    taken_over_s: float,
    now_s: float,
) -> None:
    """Record every run as lapsed that is on a worker whose leases have certainly ended.

    :param taken_over_s: when this owner learned that its takeover had committed.
    """
    for worker in ledger.worker_by_number.values():
        state = state_by_worker_id.get(worker.worker_id)
        reported_s = state.reported_s if state else NEVER_S
        if worker.runs and certainly_lapsed(reported_s, taken_over_s, now_s):
            _end_all_runs(batch, worker, RecordedOutcome.LAPSED)


def add_withdrawals(
    batch: BatchBuilder,
    ledger: Ledger,
    states: Iterable[WorkerState],
    must_evacuate: Callable[[LedgerWorker], bool],
) -> None:
    """Withdraw the unwanted runs whose start was committed but never sent: record them as stopped.

    :param must_evacuate: returns whether all runs must be moved off a worker.
    """
    for state in states:
        worker = ledger.find_worker(state.worker_id)
        if worker is None:
            continue
        evacuates = must_evacuate(worker)
        for key, start in state.unconfirmed_start_by_key.items():
            if key not in worker.runs or start.may_be_in_flight:
                continue
            if (evacuates or key in state.stop_by_key) and not batch.ends_run(key):
                batch.record_run_end(key, RecordedOutcome.STOPPED)


def add_worker_changes(
    batch: BatchBuilder,
    ledger: Ledger,
    vms: Iterable[Vm],
    state_by_worker_id: dict[str, WorkerState],
) -> None:
    """Record new, rebooted, changed and removed workers."""
    vm_ids = set()
    for vm in vms:
        if vm.state == "gone":
            continue
        vm_ids.add(vm.vm_id)
        state = state_by_worker_id.get(vm.vm_id)
        if state is not None and state.reported_s != NEVER_S:
            _add_worker_change(batch, ledger, vm, state.boot)
    # An empty list means that the platform's list has not been read yet.
    if not vm_ids:
        return
    for worker in ledger.worker_by_number.values():
        if worker.worker_id not in vm_ids and not worker.runs:
            batch.records.append(WorkerGone(worker.number))


def _add_worker_change(batch: BatchBuilder, ledger: Ledger, vm: Vm, boot: str) -> None:
    reported = WorkerSeen(vm.vm_id, boot, vm.availability_zone, vm.rack, vm.capacity)
    worker = ledger.find_worker(vm.vm_id)
    if worker is None:
        batch.records.append(reported)
        return
    if worker.boot != boot and worker.runs:
        # The ledger accepts a new boot only for a worker without runs, so a later batch records it.
        _end_all_runs(batch, worker, RecordedOutcome.LAPSED)
        return
    recorded = WorkerSeen(
        worker.worker_id, worker.boot, worker.availability_zone, worker.rack, worker.capacity
    )
    if recorded != reported:
        batch.records.append(reported)


def _add_run_end(
    batch: BatchBuilder, ledger: Ledger, worker: LedgerWorker, event: RunEvent, on_end: EndCallback
) -> None:
    key = find_task_key(ledger, event.task_id)
    if key is None:
        return
    if event.kind == "finished" and ledger.is_pending_retry_of(key, event.run):
        batch.record_late_finish(key, event.run)
        return
    run = ledger.find_run(key)
    if run is None or run.run != event.run or run.worker != worker.number:
        return
    outcome = _run_outcome(event)
    if outcome is not None and not batch.ends_run(key):
        batch.record_run_end(key, on_end(key, worker.worker_id, outcome))


def _run_outcome(event: RunEvent) -> RecordedOutcome | None:
    if event.kind == "evicted":
        # Without a checkpoint the task starts over, as after a stop.
        return RecordedOutcome.EVICTED if event.checkpoint else RecordedOutcome.STOPPED
    return _OUTCOME_BY_KIND.get(event.kind)


def _end_all_runs(batch: BatchBuilder, worker: LedgerWorker, outcome: RecordedOutcome) -> None:
    for key in worker.runs:
        batch.record_run_end(key, outcome)


def _make_acknowledge(state: WorkerState, number: int) -> Callable[[], None]:
    boot = state.boot

    def acknowledge() -> None:
        if state.boot == boot:
            state.acknowledged_event_number = max(state.acknowledged_event_number, number)
            state.events = [event for event in state.events if event.number > number]

    return acknowledge


_OUTCOME_BY_KIND = {
    "finished": RecordedOutcome.FINISHED,
    "failed": RecordedOutcome.FAILED,
    "killed": RecordedOutcome.STOPPED,
    "lapsed": RecordedOutcome.LAPSED,
    "refused": RecordedOutcome.REFUSED,
}

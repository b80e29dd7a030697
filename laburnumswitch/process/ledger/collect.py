"""Conversion of worker reports, and of missing reports, into batch records."""

from collections.abc import Callable
from collections.abc import Iterable

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.ledger.records import RunOutcome
from laburnumswitch.process.ledger.records import WorkerGone
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.workers.lease import certainly_lapsed
from laburnumswitch.process.workers.task_spec import TaskKey
from laburnumswitch.process.workers.worker_api import RunEvent
from laburnumswitch.process.workers.worker_state import find_task_key
from laburnumswitch.process.workers.worker_state import NEVER_S
from laburnumswitch.process.workers.worker_state import WorkerState

EndCallback = Callable[[TaskKey, str, RunOutcome], RunOutcome]


def collect_events(
    batch: BatchBuilder, ledger: Ledger, states: Iterable[WorkerState], on_end: EndCallback
) -> None:
    """Record the run ends that workers reported, and acknowledge them after the commit.

    :param on_end: called for each end with the worker's id; returns the outcome to record.
    """
    for state in states:
        worker = ledger.find_worker(state.worker_id)
        if worker is None:
            continue
        if state.previous_boot_events and worker.boot == state.previous_boot:
            for event in state.previous_boot_events:
                _collect_event(batch, ledger, worker, event, on_end)
        if worker.boot != state.boot:
            continue
        state.previous_boot_events = []
        for event in state.events:
            _collect_event(batch, ledger, worker, event, on_end)
        for key in state.lost_tasks & worker.runs:
            if batch.record_run_end(key, RunOutcome.LAPSED):
                on_end(key, worker.worker_id, RunOutcome.LAPSED)
        if state.events:
            batch.on_commit.append(_make_acknowledge(state, state.events[-1].number))


def collect_lapses(
    batch: BatchBuilder,
    ledger: Ledger,
    state_by_worker_id: dict[str, WorkerState],
    taken_over_s: float,
    now_s: float,
) -> None:
    """Record the end of every run on workers that have been silent for longer than any lease."""
    for worker in ledger.worker_by_number.values():
        state = state_by_worker_id.get(worker.worker_id)
        reported_s = state.reported_s if state else NEVER_S
        if worker.runs and certainly_lapsed(reported_s, taken_over_s, now_s):
            _record_ends(batch, worker, RunOutcome.LAPSED)


def collect_withdrawals(
    batch: BatchBuilder,
    ledger: Ledger,
    states: Iterable[WorkerState],
    must_evacuate: Callable[[LedgerWorker], bool],
) -> None:
    """Record the end of unwanted runs whose start was committed but never sent to the worker."""
    for state in states:
        worker = ledger.find_worker(state.worker_id)
        if worker is None:
            continue
        evacuates = must_evacuate(worker)
        for key, start in state.unconfirmed_start_by_key.items():
            if key not in worker.runs or start.may_be_in_flight:
                continue
            if (evacuates or key in state.stop_by_key) and not batch.has_end(key):
                batch.record_run_end(key, RunOutcome.STOPPED)


def collect_workers(
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
            _collect_worker(batch, ledger, vm, state.boot)
    if not vm_ids:
        return
    for worker in ledger.worker_by_number.values():
        if worker.worker_id not in vm_ids and not worker.runs:
            batch.records.append(WorkerGone(worker.number))


def _collect_worker(batch: BatchBuilder, ledger: Ledger, vm: Vm, boot: str) -> None:
    reported = WorkerSeen(vm.vm_id, boot, vm.availability_zone, vm.rack, vm.capacity)
    worker = ledger.find_worker(vm.vm_id)
    if worker is None:
        batch.records.append(reported)
        return
    if worker.boot != boot and worker.runs:
        # The new boot is recorded by a later batch, after these ends have been applied.
        _record_ends(batch, worker, RunOutcome.LAPSED)
        return
    recorded = WorkerSeen(
        worker.worker_id, worker.boot, worker.availability_zone, worker.rack, worker.capacity
    )
    if recorded != reported:
        batch.records.append(reported)


def _collect_event(
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
    if outcome is not None and not batch.has_end(key):
        batch.record_run_end(key, on_end(key, worker.worker_id, outcome))


def _run_outcome(event: RunEvent) -> RunOutcome | None:
    if event.kind == "evicted":
        return RunOutcome.EVICTED if event.checkpoint else RunOutcome.STOPPED
    return _OUTCOME_BY_KIND.get(event.kind)


def _record_ends(batch: BatchBuilder, worker: LedgerWorker, outcome: RunOutcome) -> None:
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
    "finished": RunOutcome.FINISHED,
    "failed": RunOutcome.FAILED,
    "killed": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    "refused": RunOutcome.REFUSED,
}

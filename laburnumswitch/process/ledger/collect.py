"""Turns what workers reported, or failed to report, into records of a batch."""

from collections.abc import Callable
from collections.abc import Iterable

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Worker
from laburnumswitch.process.ledger.records import How
from laburnumswitch.process.ledger.records import WorkerGone
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.workers.lease import certainly_lapsed
from laburnumswitch.process.workers.task_spec import TaskKey
from laburnumswitch.process.workers.worker_api import RunEvent
from laburnumswitch.process.workers.worker_state import find_task_key
from laburnumswitch.process.workers.worker_state import NEVER_S
from laburnumswitch.process.workers.worker_state import WorkerState

OnEnd = Callable[[TaskKey, str, How], How]


def collect_events(
    batch: BatchBuilder, ledger: Ledger, states: Iterable[WorkerState], on_end: OnEnd
) -> None:
    """Record the ends that workers reported, and acknowledge them once they are committed.

    :param on_end: is told each end with its worker's id, and returns how the ledger counts it.
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
            if batch.end(key, How.LAPSED):
                on_end(key, worker.worker_id, How.LAPSED)
        if state.events:
            batch.on_commit.append(_acknowledgement(state, state.events[-1].number))


def collect_lapses(
    batch: BatchBuilder,
    ledger: Ledger,
    state_by_worker_id: dict[str, WorkerState],
    taken_over_s: float,
    now_s: float,
) -> None:
    """Record the end of every run on workers that are silent for longer than any lease."""
    for worker in ledger.worker_by_number.values():
        state = state_by_worker_id.get(worker.worker_id)
        reported_s = state.reported_s if state else NEVER_S
        if worker.runs and certainly_lapsed(reported_s, taken_over_s, now_s):
            _end_all(batch, worker, How.LAPSED)


def collect_withdrawals(
    batch: BatchBuilder,
    ledger: Ledger,
    states: Iterable[WorkerState],
    must_withdraw: Callable[[Worker], bool],
) -> None:
    """Record the end of runs that were committed and certainly never sent to their worker."""
    for state in states:
        worker = ledger.find_worker(state.worker_id)
        if worker is None:
            continue
        leaves = must_withdraw(worker)
        for key, start in state.unconfirmed_start_by_key.items():
            if key not in worker.runs or start.may_be_in_flight:
                continue
            if (leaves or key in state.stop_by_key) and not batch.ends(key):
                batch.end(key, How.STOPPED)


def collect_workers(
    batch: BatchBuilder,
    ledger: Ledger,
    vms: Iterable[Vm],
    state_by_worker_id: dict[str, WorkerState],
) -> None:
    """Record new workers, new boots and changed capacities, and workers that left for good."""
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
    seen = WorkerSeen(vm.vm_id, boot, vm.availability_zone, vm.rack, vm.capacity)
    worker = ledger.find_worker(vm.vm_id)
    if worker is None:
        batch.records.append(seen)
        return
    if worker.boot != boot and worker.runs:
        # The new boot is recorded by the next batch, once the ledger holds these ends.
        _end_all(batch, worker, How.LAPSED)
        return
    known = WorkerSeen(
        worker.worker_id, worker.boot, worker.availability_zone, worker.rack, worker.capacity
    )
    if known != seen:
        batch.records.append(seen)


def _collect_event(
    batch: BatchBuilder, ledger: Ledger, worker: Worker, event: RunEvent, on_end: OnEnd
) -> None:
    key = find_task_key(ledger, event.task_id)
    if key is None:
        return
    if event.kind == "finished" and ledger.ended_too_early(key, event.run):
        batch.end_late(key, event.run)
        return
    run = ledger.find_run(key)
    if run is None or run.run != event.run or run.worker != worker.number:
        return
    how = _how_ended(event)
    if how is not None and not batch.ends(key):
        batch.end(key, on_end(key, worker.worker_id, how))


def _how_ended(event: RunEvent) -> How | None:
    if event.kind == "evicted":
        return How.EVICTED if event.checkpoint else How.STOPPED
    return _HOW_BY_KIND.get(event.kind)


def _end_all(batch: BatchBuilder, worker: Worker, how: How) -> None:
    for key in worker.runs:
        batch.end(key, how)


def _acknowledgement(state: WorkerState, number: int) -> Callable[[], None]:
    boot = state.boot

    def acknowledge() -> None:
        if state.boot == boot:
            state.acknowledged_event_number = max(state.acknowledged_event_number, number)
            state.events = [event for event in state.events if event.number > number]

    return acknowledge


_HOW_BY_KIND = {
    "finished": How.FINISHED,
    "failed": How.FAILED,
    "killed": How.STOPPED,
    "lapsed": How.LAPSED,
    "refused": How.REFUSED,
}

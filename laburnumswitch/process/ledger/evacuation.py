"""Evacuation of workers and availability zones, and removal of unwanted tasks."""

from collections.abc import Callable
from collections.abc import Mapping

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import LedgerWorker
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.ledger.records import Cancelled
from laburnumswitch.process.ledger.records import Replaced
from laburnumswitch.process.ledger.records import Retired
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.workers.task_spec import declared_replica
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.task_spec import REPLACEMENT_STRIDE
from laburnumswitch.process.workers.worker_state import WorkerState

# How long the drain of a replica waits for its replacement to run.
REPLACEMENT_TIMEOUT_S = 8.0
# Time between the announcement of a leaving replica to entries and the order to drain it.
LEAVING_NOTICE_S = 1.5


class Evacuation:
    """Moves runs off workers that must be evacuated.

    :ivar leaving_since_by_key: when each leaving replica was first announced to entries.
    """

    def __init__(self) -> None:
        self.leaving_since_by_key: dict[LedgerTaskKey, float] = {}
        self._last_run_since_by_key: dict[LedgerTaskKey, float] = {}

    def evacuate_workers(
        self,
        batch: BatchBuilder,
        ledger: Ledger,
        state_by_worker_id: Mapping[str, WorkerState],
        must_evacuate: Callable[[LedgerWorker], bool],
        is_unresponsive: Callable[[LedgerWorker], bool],
        now_s: float,
    ) -> None:
        """Stop batch runs and replace replicas on workers that must be evacuated.

        Replicas on unresponsive workers are replaced too, before their leases lapse.
        """
        for worker in ledger.worker_by_number.values():
            evacuates = must_evacuate(worker)
            unresponsive = is_unresponsive(worker)
            if not worker.runs or not (evacuates or unresponsive):
                continue
            state = state_by_worker_id.get(worker.worker_id)
            replaced: dict[int, list[int]] = {}
            for key in worker.runs:
                group = ledger.group_by_number[key.group]
                if batch.ends_run(key):
                    continue
                if not group.task_spec.service:
                    if evacuates and state is not None:
                        _stop_batch_run(state, group, key, now_s)
                    continue
                if _needs_replacement(group, key):
                    replaced.setdefault(key.group, []).append(key.index)
            for number, indexes in replaced.items():
                batch.records.append(Replaced(number, tuple(indexes)))
                batch.urgent = True

    def drain_last_runs(
        self,
        ledger: Ledger,
        state_by_worker_id: Mapping[str, WorkerState],
        must_evacuate: Callable[[LedgerWorker], bool],
        now_s: float,
    ) -> None:
        """Drain replicas that are not to be restarted.

        A replica with a replacement is drained once the replacement runs. It is drained without
        that after ``REPLACEMENT_TIMEOUT_S``, except while the replacement is pending and the
        replica's worker need not be evacuated.
        """
        for group in ledger.group_by_number.values():
            if not group.task_spec.service:
                continue
            for index, run in group.running.items():
                if run.is_last_run:
                    key = LedgerTaskKey(group.number, index)
                    self._drain(ledger, group, key, state_by_worker_id, must_evacuate, now_s)

    def forget_run(self, key: LedgerTaskKey) -> None:
        """Discard the state of a run that has ended."""
        self._last_run_since_by_key.pop(key, None)
        self.leaving_since_by_key.pop(key, None)

    def _drain(
        self,
        ledger: Ledger,
        group: TaskGroup,
        key: LedgerTaskKey,
        state_by_worker_id: Mapping[str, WorkerState],
        must_evacuate: Callable[[LedgerWorker], bool],
        now_s: float,
    ) -> None:
        worker = ledger.worker_by_number[group.running[key.index].worker]
        state = state_by_worker_id.get(worker.worker_id)
        if state is None:
            return
        since_s = self._last_run_since_by_key.setdefault(key, now_s)
        replacement = key.index + REPLACEMENT_STRIDE
        if group.find_pending(replacement) is not None and not must_evacuate(worker):
            return
        if not _has_confirmed_start(ledger, group, replacement, state_by_worker_id):
            has_replacement = replacement in group.running or group.find_pending(replacement)
            if has_replacement and now_s - since_s < REPLACEMENT_TIMEOUT_S:
                return
            if (
                not has_replacement
                and must_evacuate(worker)
                and now_s - since_s < REPLACEMENT_TIMEOUT_S
            ):
                # The replacement was handed over to another shard, which alone knows its state.
                return
        # Entries must learn that the upstream is leaving before the worker is ordered to drain it.
        leaving_since_s = self.leaving_since_by_key.setdefault(key, now_s)
        if now_s - leaving_since_s >= LEAVING_NOTICE_S:
            state.request_stop(key, group.running[key.index].run, "drain", now_s)


def cancel_jobs(
    batch: BatchBuilder,
    ledger: Ledger,
    cancelled: frozenset[str],
    state_by_worker_id: Mapping[str, WorkerState],
    now_s: float,
) -> None:
    """Record the cancellation of jobs, and stop their runs."""
    numbers = []
    for job_id in cancelled:
        group = ledger.find_group(job_id)
        if group is None:
            continue
        batch.unstartable_groups.add(group.number)
        if not group.is_cancelled:
            numbers.append(group.number)
        for index, run in group.running.items():
            state = state_by_worker_id.get(ledger.worker_by_number[run.worker].worker_id)
            if state is not None:
                state.request_stop(LedgerTaskKey(group.number, index), run.run, "kill", now_s)
    if numbers:
        batch.records.append(Cancelled(tuple(sorted(numbers))))


def retire_replicas(
    batch: BatchBuilder,
    ledger: Ledger,
    shared: SharedRows,
    received_s_by_group: Mapping[int, float],
    taken_over_s: float,
) -> None:
    """Retire replicas that the service rows no longer list.

    Service rows that were read before the group last received tasks may not list these tasks yet,
    so they are not used.
    """
    for group in ledger.group_by_number.values():
        if not group.task_spec.service:
            continue
        if shared.services_read_s <= received_s_by_group.get(group.number, taken_over_s):
            continue
        wanted = shared.replica_indexes_by_job_id.get(group.task_spec.job_id, frozenset())
        unwanted = [
            index
            for index, run in group.running.items()
            if not run.is_last_run and declared_replica(index) not in wanted
        ]
        unwanted.extend(
            task.index
            for task in group.iter_pending()
            if declared_replica(task.index) not in wanted
        )
        if unwanted:
            batch.records.append(Retired(group.number, tuple(unwanted)))
            batch.unstartable_groups.add(group.number)


def _stop_batch_run(state: WorkerState, group: TaskGroup, key: LedgerTaskKey, now_s: float) -> None:
    mode = "checkpoint" if group.task_spec.checkpointable else "kill"
    state.request_stop(key, group.running[key.index].run, mode, now_s)


def _needs_replacement(group: TaskGroup, key: LedgerTaskKey) -> bool:
    return not group.is_cancelled and not group.running[key.index].is_last_run


def _has_confirmed_start(
    ledger: Ledger, group: TaskGroup, index: int, state_by_worker_id: Mapping[str, WorkerState]
) -> bool:
    run = group.running.get(index)
    if run is None:
        return False
    state = state_by_worker_id.get(ledger.worker_by_number[run.worker].worker_id)
    return state is not None and LedgerTaskKey(group.number, index) in state.port_by_key

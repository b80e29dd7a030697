"""Moves work off zones and workers that leave, and ends what is not wanted any more."""

from collections.abc import Callable
from collections.abc import Mapping

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.ledger import Group
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Worker
from laburnumswitch.process.ledger.records import Cancelled
from laburnumswitch.process.ledger.records import Replaced
from laburnumswitch.process.ledger.records import Retired
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.workers.task_spec import declared_replica
from laburnumswitch.process.workers.task_spec import REPLACEMENT_STRIDE
from laburnumswitch.process.workers.task_spec import TaskKey
from laburnumswitch.process.workers.worker_state import WorkerState

REPLACE_LIMIT_S = 8.0
LEAVING_NOTICE_S = 1.5


class Moves:
    """Since when replicas wait for their successors, and since when they are said to leave."""

    def __init__(self) -> None:
        self.leaving_since_by_key: dict[TaskKey, float] = {}
        self._final_since_by_key: dict[TaskKey, float] = {}

    def leave_workers(
        self,
        batch: BatchBuilder,
        ledger: Ledger,
        state_by_worker_id: Mapping[str, WorkerState],
        must_leave: Callable[[Worker], bool],
        is_silent: Callable[[Worker], bool],
        now_s: float,
    ) -> None:
        """Stop batch runs on workers that must be left, and replace replicas there.

        A replica on a silent worker is replaced too, before its lease has lapsed.
        """
        for worker in ledger.worker_by_number.values():
            leaves = must_leave(worker)
            silent = is_silent(worker)
            if not worker.runs or not (leaves or silent):
                continue
            state = state_by_worker_id.get(worker.worker_id)
            replaced: dict[int, list[int]] = {}
            for key in worker.runs:
                group = ledger.group_by_number[key.group]
                if batch.ends(key):
                    continue
                if not group.work.service:
                    if leaves and state is not None:
                        _stop_batch_run(state, group, key, now_s)
                    continue
                if _is_wanted(group, key):
                    replaced.setdefault(key.group, []).append(key.index)
            for number, indexes in replaced.items():
                batch.records.append(Replaced(number, tuple(indexes)))
                batch.urgent = True

    def drain_final(
        self,
        ledger: Ledger,
        state_by_worker_id: Mapping[str, WorkerState],
        must_leave: Callable[[Worker], bool],
        now_s: float,
    ) -> None:
        """Drain replicas that do not run again, once their successors run or a limit has passed."""
        for group in ledger.group_by_number.values():
            if not group.work.service:
                continue
            for index, run in group.running.items():
                if run.final:
                    key = TaskKey(group.number, index)
                    self._drain(ledger, group, key, state_by_worker_id, must_leave, now_s)

    def forget_run(self, key: TaskKey) -> None:
        """Drop what is known of a run that has ended."""
        self._final_since_by_key.pop(key, None)
        self.leaving_since_by_key.pop(key, None)

    def _drain(
        self,
        ledger: Ledger,
        group: Group,
        key: TaskKey,
        state_by_worker_id: Mapping[str, WorkerState],
        must_leave: Callable[[Worker], bool],
        now_s: float,
    ) -> None:
        worker = ledger.worker_by_number[group.running[key.index].worker]
        state = state_by_worker_id.get(worker.worker_id)
        if state is None:
            return
        since_s = self._final_since_by_key.setdefault(key, now_s)
        successor = key.index + REPLACEMENT_STRIDE
        if group.find_pending(successor) is not None and not must_leave(worker):
            return
        if not _runs_already(ledger, group, successor, state_by_worker_id):
            has_successor = successor in group.running or group.find_pending(successor)
            if has_successor and now_s - since_s < REPLACE_LIMIT_S:
                return
            if not has_successor and must_leave(worker) and now_s - since_s < REPLACE_LIMIT_S:
                # The successor was given to another shard, whose progress is not seen here.
                return
        # Entries are told that the upstream is leaving before it is told to drain.
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
    """Record all cancellations at once, and stop the runs of cancelled jobs."""
    numbers = []
    for job_id in cancelled:
        group = ledger.find_group(job_id)
        if group is None:
            continue
        batch.settled_groups.add(group.number)
        if not group.is_cancelled:
            numbers.append(group.number)
        for index, run in group.running.items():
            state = state_by_worker_id.get(ledger.worker_by_number[run.worker].worker_id)
            if state is not None:
                state.request_stop(TaskKey(group.number, index), run.run, "kill", now_s)
    if numbers:
        batch.records.append(Cancelled(tuple(sorted(numbers))))


def retire_replicas(
    batch: BatchBuilder,
    ledger: Ledger,
    shared: SharedRows,
    taken_s_by_group: Mapping[int, float],
    taken_over_s: float,
) -> None:
    """Record the end of replicas that the service rows do not list any more.

    Only rows that were read after the group was last handed work can say so.
    """
    for group in ledger.group_by_number.values():
        if not group.work.service:
            continue
        if shared.services_read_s <= taken_s_by_group.get(group.number, taken_over_s):
            continue
        wanted = shared.replicas_by_job_id.get(group.work.job_id, frozenset())
        unwanted = [
            index
            for index, run in group.running.items()
            if not run.final and declared_replica(index) not in wanted
        ]
        unwanted.extend(
            task.index for task in group.pending() if declared_replica(task.index) not in wanted
        )
        if unwanted:
            batch.records.append(Retired(group.number, tuple(unwanted)))
            batch.settled_groups.add(group.number)


def _stop_batch_run(state: WorkerState, group: Group, key: TaskKey, now_s: float) -> None:
    how = "checkpoint" if group.work.checkpointable else "kill"
    state.request_stop(key, group.running[key.index].run, how, now_s)


def _is_wanted(group: Group, key: TaskKey) -> bool:
    return not group.is_cancelled and not group.running[key.index].final


def _runs_already(
    ledger: Ledger, group: Group, index: int, state_by_worker_id: Mapping[str, WorkerState]
) -> bool:
    run = group.running.get(index)
    if run is None:
        return False
    state = state_by_worker_id.get(ledger.worker_by_number[run.worker].worker_id)
    return state is not None and TaskKey(group.number, index) in state.port_by_key

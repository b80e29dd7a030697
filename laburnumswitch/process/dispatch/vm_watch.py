"""Drops silent workers that have certainly ended, so that their tasks restart at once.

The owner alone cannot tell a worker that has crashed from one behind a partition, so the runs of a
silent worker count as running until its leases have lapsed.
"""

from typing import NamedTuple

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Throttled
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import RunsKnownBy
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.run_ends import Evidence
from laburnumswitch.process.dispatch.run_ends import has_ended
from laburnumswitch.process.dispatch.vm_list import find_ended_workers
from laburnumswitch.process.dispatch.vm_list import ListVms
from laburnumswitch.process.dispatch.vm_list import SilentWorker
from laburnumswitch.process.dispatch.vm_list import VmList

# A worker counts as silent after this time without an answer, in seconds: it answers a renewal
# within a second.
SILENCE_S = 1.25
# Interval, in seconds, at which the owner looks for silent workers.
CHECK_INTERVAL_S = 0.2
# Time, in seconds, after which the silence of a worker is checked again. After a stall of this
# process, answers that have arrived are applied by then.
CONFIRMATION_DELAY_S = 0.02
# Shortest interval between two readings of the list, in seconds.
READ_INTERVAL_S = 0.5
# Time limit of a page in seconds. A slow platform takes half a second for each.
READ_TIMEOUT_S = 1.5


class _Incarnation(NamedTuple):
    """An incarnation of a worker, 0 if unknown, and since when it has been known."""

    number: int
    known_since_s: float


def watch_vms(dispatcher: Dispatcher, list_vms: ListVms) -> None:
    """Drop silent workers that have certainly ended, until the term ends.

    The list is read only while a silent worker may have runs.
    """
    context = dispatcher.context
    incarnation_by_worker: dict[Worker, _Incarnation] = {}
    silent: set[Worker] = set()
    silent_before: set[Worker] = set()
    earlier: VmList | None = None
    next_reading_s = 0.0
    is_failing = False
    while not dispatcher.is_stopped():
        context.sleep(CONFIRMATION_DELAY_S if silent - silent_before else CHECK_INTERVAL_S)
        now_s = context.clock()
        incarnation_by_worker = {
            worker: _Incarnation(worker.incarnation, worker.known_since_s)
            for worker in dispatcher.workers_by_id.values()
        }
        silent_before = silent
        silent = {
            worker
            for worker, incarnation in incarnation_by_worker.items()
            if _may_have_unreachable_runs(worker, incarnation, now_s)
        }
        if not silent:
            earlier = None
        if now_s < next_reading_s or not silent & silent_before:
            continue
        next_reading_s = now_s + READ_INTERVAL_S
        dispatcher.counters.vm_list_readings += 1
        rows = dispatcher.call_remote("vm_list", list_vms, READ_TIMEOUT_S)
        if isinstance(rows, Failure):
            if not is_failing:
                context.log.note("vm_list_failed", str(dispatcher.epoch), reason=rows.describe())
            is_failing = True
            if isinstance(rows, Throttled):
                next_reading_s = context.clock() + rows.retry_after_s
            continue
        is_failing = False
        vm_list = VmList(now_s, {row.vm_id: row for row in rows})
        if not dispatcher.is_stopped():
            _drop_ended_workers(dispatcher, incarnation_by_worker, vm_list, earlier)
        earlier = vm_list


def _may_have_unreachable_runs(worker: Worker, incarnation: _Incarnation, now_s: float) -> bool:
    if now_s - max(worker.last_answer_s, incarnation.known_since_s) < SILENCE_S:
        return False
    if not (worker.last_answer_s or worker.is_silent):
        # This owner has not called it yet, or waits for its first answer.
        return False
    if worker.runs_by_task:
        return True
    # An earlier owner may have started runs.
    return worker.has_unknown_runs and not worker.has_certainly_lapsed(now_s)


def _drop_ended_workers(
    dispatcher: Dispatcher,
    incarnation_by_worker: dict[Worker, _Incarnation],
    vm_list: VmList,
    earlier: VmList | None,
) -> None:
    now_s = dispatcher.context.clock()
    worker_by_id = {
        worker.worker_id: worker
        for worker, incarnation in incarnation_by_worker.items()
        # A worker may have answered, restarted or been dropped during the reading.
        if not worker.is_dropped
        and worker.incarnation == incarnation.number
        and _may_have_unreachable_runs(worker, incarnation, now_s)
    }
    silent = [
        SilentWorker(
            worker_id,
            worker.vm_id(),
            incarnation_by_worker[worker].known_since_s,
            worker.last_sign_s(),
        )
        for worker_id, worker in worker_by_id.items()
    ]
    evidence_by_id = find_ended_workers(silent, vm_list, earlier)
    dispatcher.note_crashes(
        worker_by_id[worker_id]
        for worker_id, evidence in evidence_by_id.items()
        if evidence.is_crash
    )
    for worker_id, evidence in evidence_by_id.items():
        worker = worker_by_id[worker_id]
        heard_s = worker.last_sign_s() or incarnation_by_worker[worker].known_since_s
        reason = (
            f"{evidence.reason} (read {now_s - vm_list.sent_s:.2f} s ago,"
            f" last answer {now_s - heard_s:.2f} s ago)"
        )
        _end_worker(dispatcher, worker, vm_list, reason)


def _end_worker(dispatcher: Dispatcher, worker: Worker, vm_list: VmList, reason: str) -> None:
    """Release the runs of the incarnation that has ended, and drop the worker if none remain.

    It may have started again under its id since the list was made.
    """
    evidence = Evidence(
        EndKind.VM_LIST, incarnation=worker.incarnation, instant_s=vm_list.as_of_s()
    )
    runs = list(worker.runs_by_task.values())
    ended = [run for run in runs if has_ended(run, evidence)]
    if len(ended) == len(runs):
        dispatcher.drop_worker(worker, reason, EndKind.VM_LIST)
        return
    worker.note_runs_known(RunsKnownBy.VM_LIST)
    for run in ended:
        dispatcher.release_run(worker, run, EndKind.VM_LIST, reason)

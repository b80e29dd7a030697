"""Extends the leases of workers while a new owner still loads what their reports refer to.

This handles owners that follow one another quickly, or that load slowly: each of them would let a
part of every lease pass before its first renewal, until healthy workers end all of their runs.

Reports are not applied and no ends are acknowledged, so the workers repeat them, and what earlier
owners have stored of the runs stays in force. What they have stored of the ends of leases does not,
except for workers that are known to be silent: these get no longer ones.
"""

from laburnumswitch.process.dispatch.dispatcher import COMMAND_TIMEOUT_S
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.placement_recovery import store_succession
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.process.leadership.succession import may_extend_leases

# Leases are kept once loading has taken this long, in seconds; most owners load faster.
KEEP_AFTER_S = 0.75
# Interval, in seconds, at which a lease is extended.
KEEP_INTERVAL_S = 1.5


def run_lease_keeping(dispatcher: Dispatcher) -> None:
    """Keep the leases of all workers until this owner has loaded, if that takes long.

    Leases whose last owner did not extend them either are kept at once.
    """
    succession = dispatcher.succession
    left_s = dispatcher.began_s + KEEP_AFTER_S - dispatcher.context.clock()
    if max(succession.acted_epoch, succession.kept_epoch) < succession.epoch - 1:
        left_s = 0.0
    if dispatcher.is_loaded.wait(max(0.0, left_s)) or dispatcher.is_stopped():
        return
    if not store_succession(dispatcher, may_extend_leases(dispatcher.succession)):
        return
    workers = [
        worker
        for worker in dispatcher.workers_by_id.values()
        if dispatcher.silences.may_grant(worker.worker_id)
    ]
    dispatcher.context.log.note("leases_kept", str(dispatcher.epoch), workers=len(workers))
    for worker in workers:
        dispatcher.spawn(keep_lease, dispatcher, worker)


def keep_lease(dispatcher: Dispatcher, worker: Worker) -> None:
    """Extend the lease of one worker until this owner has loaded, or the worker does not answer."""
    while not (dispatcher.is_loaded.is_set() or dispatcher.is_stopped()):
        has_answered = bool(worker.last_answer_s)
        if not _extend_lease(dispatcher, worker):
            return
        # The first answer tells only the clock on which the lease is to end.
        if has_answered:
            dispatcher.is_loaded.wait(KEEP_INTERVAL_S)


def _extend_lease(dispatcher: Dispatcher, worker: Worker) -> bool:
    """Extend a lease, if the worker's clock is known, and return whether it has answered."""
    context = dispatcher.context
    now_s = context.clock()
    until_s = None
    if worker.may_extend_lease(now_s) and dispatcher.may_act():
        until_s = worker.extend_grant(dispatcher.granted_lease_s())
        worker.note_lease_sent(now_s)
    renewal = Renewal(worker.fence, 0, until_s, 0.0)
    answer = dispatcher.call_remote(worker.worker_id, worker.link.renew, renewal, COMMAND_TIMEOUT_S)
    if not isinstance(answer, WorkerReport):
        return False
    if worker.is_restart(answer):
        if worker.last_answer_s:
            return False
        # The worker was stored as an earlier incarnation. A list of VMs that is as old as that one
        # says nothing of this one.
        worker.note_incarnation(answer.incarnation, context.clock())
    worker.note_answer(context.clock(), answer.clock_s, now_s)
    return True

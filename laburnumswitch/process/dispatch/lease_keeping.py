"""Extends the leases of workers while a new owner still loads what their reports refer to.

This handles owners that follow one another quickly, or that load slowly: each of them would let a
part of every lease pass before its first renewal, until healthy workers end all of their runs.

Reports are not applied and no ends are acknowledged, so the workers repeat them, and what earlier
owners have stored of the runs stays in force. What they have stored of the ends of leases does too,
except for the workers that have answered, see ``kept_leases``. Those that are known to be silent
get no longer leases.
"""

from laburnumswitch.process.dispatch.dispatcher import COMMAND_TIMEOUT_S
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.kept_leases import KeptLeases
from laburnumswitch.process.dispatch.placement_recovery import store_succession
from laburnumswitch.process.dispatch.worker_protocol import Renewal
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport
from laburnumswitch.process.leadership.succession import may_extend_leases

# Leases are kept once loading has taken this long, in seconds; most owners load faster.
KEEP_AFTER_S = 0.75
# Interval, in seconds, at which a lease is extended.
KEEP_INTERVAL_S = 1.5
# Workers that first answer within this time, in seconds, are stored in one commit.
GATHER_S = 0.03


def run_lease_keeping(dispatcher: Dispatcher, kept: KeptLeases) -> None:
    """Keep the leases of all workers until this owner has loaded, if that takes long.

    Leases whose last owner did not extend them either are kept at once.
    """
    succession = dispatcher.succession
    left_s = dispatcher.began_s + KEEP_AFTER_S - dispatcher.context.clock()
    if max(succession.acted_epoch, succession.kept_epoch) < succession.epoch - 1:
        left_s = 0.0
    if dispatcher.is_loaded.wait(max(0.0, left_s)) or dispatcher.is_stopped():
        return
    workers = [
        worker
        for worker in dispatcher.workers_by_id.values()
        if dispatcher.silences.may_grant(worker.worker_id)
    ]
    dispatcher.context.log.note("leases_kept", str(dispatcher.epoch), workers=len(workers))
    answered: list[Worker] = []
    for worker in workers:
        dispatcher.spawn(_ask, dispatcher, worker, answered)
    while not (dispatcher.is_loaded.wait(GATHER_S) or dispatcher.is_stopped()):
        if not answered:
            continue
        begun = answered.copy()
        answered.clear()
        kept.queue_rows((worker.worker_id for worker in begun), dispatcher.recorder)
        if not store_succession(dispatcher, may_extend_leases(dispatcher.succession)):
            return
        for worker in begun:
            dispatcher.spawn(_keep_lease, dispatcher, worker)


def _ask(dispatcher: Dispatcher, worker: Worker, answered: list[Worker]) -> None:
    """Ask a worker for its clock, on which its lease is to end."""
    if _renew(dispatcher, worker):
        answered.append(worker)


def _keep_lease(dispatcher: Dispatcher, worker: Worker) -> None:
    """Extend the lease of one worker until this owner has loaded, or the worker does not answer."""
    while not (dispatcher.is_loaded.is_set() or dispatcher.is_stopped()):
        may_extend = worker.may_extend_lease(dispatcher.context.clock())
        if not _renew(dispatcher, worker, may_extend):
            return
        # If the worker's clock was read too long ago, only this answer tells it.
        if may_extend:
            dispatcher.is_loaded.wait(KEEP_INTERVAL_S)


def _renew(dispatcher: Dispatcher, worker: Worker, may_extend: bool = False) -> bool:
    """Renew once, with a longer lease if allowed, and return whether the worker has answered."""
    context = dispatcher.context
    sent_s = context.clock()
    until_s = None
    if may_extend and dispatcher.may_act():
        until_s = worker.extend_grant(dispatcher.granted_lease_s())
        worker.note_lease_sent(sent_s)
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
    worker.note_answer(context.clock(), answer.clock_s, sent_s)
    return True

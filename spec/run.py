"""One task from its first run to its end: starts, late and repeated orders, evictions, reboots.

Time is abstracted: an owner commits a lapse only where no lease and no grant is left, which the
model of a lease shows. The second worker is faultless, so that a run there doubles whatever still
runs on the first one.
"""

from collections.abc import Iterator

from spec.model import Action
from spec.model import Guards
from spec.model import Model
from spec.model import Mutation
from spec.model import PROGRESS
from spec.run_worker import deliver
from spec.run_worker import deliver_and_repeat
from spec.run_worker import die
from spec.run_worker import Event
from spec.run_worker import expire
from spec.run_worker import finish
from spec.run_worker import FIRST
from spec.run_worker import lapse
from spec.run_worker import Ledger
from spec.run_worker import lose_order
from spec.run_worker import Order
from spec.run_worker import Owner
from spec.run_worker import reboot
from spec.run_worker import SECOND
from spec.run_worker import SECOND_EPOCH
from spec.run_worker import send
from spec.run_worker import State
from spec.run_worker import with_owner

PROCESS = "laburnumswitch.process."
MAX_STOPS = 1
MAX_RUN = 2


def _take_over(state: State, guards: Guards) -> Iterator[State]:
    if state.epoch < SECOND_EPOCH:
        owner = Owner(SECOND_EPOCH, state.ledger, boot=state.worker.boot)
        first = state.owners[0]._replace(event=None, sent=False)
        yield state._replace(epoch=SECOND_EPOCH, owners=(first, owner))


def _hold_ends(state: State, guards: Guards) -> Iterator[State]:
    owner = state.owners[0]
    if owner.epoch < state.epoch and owner.hold:
        yield with_owner(state, owner._replace(hold=False))


def _report(state: State, guards: Guards) -> Iterator[State]:
    worker = state.worker
    if worker.gone:
        return
    event = worker.events[0] if worker.events else None
    owner = state.owners[-1]
    read = owner._replace(boot=worker.boot, event=event)
    heard = worker._replace(epoch=owner.epoch)
    if read == owner and heard == worker:
        return
    state = state._replace(worker=heard)
    if event is None or "acknowledged_after_commit" in guards:
        yield with_owner(state, read)
    else:
        yield _drop_event(with_owner(state, read), event)


def _acknowledge(state: State, guards: Guards) -> Iterator[State]:
    if not state.worker.events:
        return
    event = state.worker.events[0]
    known = state.owners[-1].ledger
    if event.run < known.run or (event.run == known.run and not known.running):
        yield _drop_event(state, event)


def _drop_event(state: State, event: Event) -> State:
    worker = state.worker._replace(events=state.worker.events[1:])
    lost = event.run == state.ledger.run and state.ledger.running
    return state._replace(worker=worker, lost_end=state.lost_end or lost)


def _order_start(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        known = owner.ledger
        if known.running and known.place == FIRST and owner.hold:
            order = Order("start", known.run, owner.epoch, known.boot)
            yield from send(with_owner(state, owner._replace(sent=True)), order)


def _order_stop(state: State, guards: Guards) -> Iterator[State]:
    if state.stops >= MAX_STOPS or state.worker.boot:
        return
    for owner in state.owners:
        known = owner.ledger
        if known.running and known.place == FIRST:
            order = Order("stop", known.run, owner.epoch, known.boot)
            yield from send(state._replace(stops=state.stops + 1), order)


def _commits(state: State, owner: Owner, guards: Guards) -> bool:
    if "head_condition" not in guards:
        return True
    return owner.epoch == state.epoch and owner.ledger == state.ledger


def _commit_start_first(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        if _may_start(state, owner, guards):
            yield _start(state, owner, FIRST, owner.boot, guards)


def _commit_start_second(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        if _may_start(state, owner, guards):
            after = _start(state, owner, SECOND, 0, guards)
            yield after._replace(second=after.ledger.run)


def _may_start(state: State, owner: Owner, guards: Guards) -> bool:
    known = owner.ledger
    if known.finished or known.run >= MAX_RUN or not _commits(state, owner, guards):
        return False
    return not known.running or "end_before_next_run" not in guards


def _start(state: State, owner: Owner, place: int, boot: int, guards: Guards) -> State:
    known = owner.ledger
    kept = 0 if "eviction_consumed_with_start" in guards else known.checkpoint
    resumed = (*state.resumed, known.checkpoint) if known.checkpoint else state.resumed
    ledger = Ledger(known.run + 1, True, place, boot, kept)
    changed = owner._replace(ledger=ledger, event=None, sent=False)
    return with_owner(state, changed, ledger=ledger, resumed=resumed)


def _commit_end(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        event, known = owner.event, owner.ledger
        if event is None or not known.running or not _commits(state, owner, guards):
            continue
        if event.run != known.run and "late_report_ignored" in guards:
            continue
        checkpoint = event.run if event.kind == "evicted" else known.checkpoint
        finished = event.kind == "finished"
        yield _end(state, owner, known._replace(checkpoint=checkpoint, finished=finished))


def _commit_reboot(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        known = owner.ledger
        rebooted = known.running and known.place == FIRST and owner.boot != known.boot
        if rebooted and _commits(state, owner, guards):
            yield _end(state, owner, known)


def _commit_lapse(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        known = owner.ledger
        if not (known.running and known.place == FIRST) or not _commits(state, owner, guards):
            continue
        if "lapse_is_certain" not in guards or _certainly_lapsed(state, owner):
            yield _end(state, owner, known)


def _commit_withdrawal(state: State, guards: Guards) -> Iterator[State]:
    # No start is sent between the report and the commit, which the code makes sure of.
    owner, worker = state.owners[-1], state.worker
    known = owner.ledger
    told = {each.run for each in worker.events} | {worker.running}
    heard = not worker.gone and worker.epoch == owner.epoch and worker.boot == known.boot
    if not (heard and known.running and known.place == FIRST) or known.run in told:
        return
    if not (owner.sent and "unsent_is_certain" in guards) and _commits(state, owner, guards):
        yield _end(state, owner, known)


def _certainly_lapsed(state: State, owner: Owner) -> bool:
    run = owner.ledger.run
    other_may_grant = any(
        each.hold and each.ledger.run == run and each.ledger.running
        for each in state.owners
        if each.epoch != owner.epoch
    )
    fresh_order = any(
        order.kind == "start" and order.run == run and not order.late
        for order in state.orders
        if order.boot == state.worker.boot
    )
    return not (other_may_grant or fresh_order or state.worker.running == run)


def _commit_second_finished(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        known = owner.ledger
        runs = state.second and known.running and known.place == SECOND
        if runs and _commits(state, owner, guards):
            yield _end(state, owner, known._replace(finished=True))._replace(second=0)


def _end(state: State, owner: Owner, ledger: Ledger) -> State:
    ended = ledger._replace(running=False)
    return with_owner(state, owner._replace(ledger=ended, event=None), ledger=ended)


def _finishes_once(state: State) -> bool:
    return not state.ledger.finished or not (state.worker.running or state.second)


def _resumes_once(state: State) -> bool:
    offered_again = state.ledger.checkpoint in state.resumed
    return not offered_again and len(state.resumed) == len(set(state.resumed))


RUN = Model(
    name="run",
    initial=State(),
    actions=(
        Action("take_over", _take_over, PROCESS + "ledger.ownership.take_over"),
        Action("hold_ends", _hold_ends),
        Action("report", _report),
        Action("acknowledge", _acknowledge),
        Action("order_start", _order_start, PROCESS + "workers.lease.grant_until"),
        Action("order_stop", _order_stop, fault=True),
        Action("commit_start_first", _commit_start_first, PROCESS + "ledger.journal.commit_batch"),
        Action(
            "commit_start_second", _commit_start_second, PROCESS + "ledger.journal.commit_batch"
        ),
        Action("commit_end", _commit_end, PROCESS + "ledger.journal.commit_batch"),
        Action("commit_reboot", _commit_reboot, PROCESS + "ledger.journal.commit_batch"),
        Action(
            "commit_withdrawal",
            _commit_withdrawal,
            PROCESS + "ledger.worker_records.add_withdrawals",
        ),
        Action("commit_lapse", _commit_lapse, PROCESS + "workers.lease.certainly_lapsed"),
        Action(
            "commit_second_finished",
            _commit_second_finished,
            PROCESS + "ledger.journal.commit_batch",
        ),
        Action("order_arrives", deliver),
        Action("order_arrives_twice", deliver_and_repeat, fault=True),
        Action("order_lost", lose_order, fault=True),
        Action("grant_expires", expire),
        Action("lease_lapses", lapse),
        Action("run_finishes", finish),
        Action("worker_reboots", reboot, fault=True),
        Action("worker_dies", die, fault=True),
    ),
    invariants={
        "never_two_places": lambda state: not (state.worker.running and state.second),
        "finishes_once": _finishes_once,
        "resumes_once": _resumes_once,
        "acknowledged_end_is_kept": lambda state: not state.lost_end,
    },
    goal=lambda state: state.ledger.finished or state.ledger.run == MAX_RUN,
    mutations=(
        Mutation("boot_compared", "never_two_places"),
        Mutation("epoch_compared", "never_two_places"),
        Mutation("unsent_is_certain", "never_two_places"),
        Mutation("run_number_compared", "never_two_places"),
        Mutation("refusal_is_final", "never_two_places"),
        Mutation("stop_is_final", "never_two_places"),
        Mutation("lapse_is_certain", "never_two_places"),
        Mutation("late_report_ignored", "finishes_once"),
        Mutation("head_condition", "never_two_places"),
        Mutation("head_condition", "finishes_once"),
        Mutation("end_before_next_run", "never_two_places"),
        Mutation("acknowledged_after_commit", "acknowledged_end_is_kept"),
        Mutation("eviction_consumed_with_start", "resumes_once"),
        Mutation("commit_lapse", PROGRESS),
    ),
)

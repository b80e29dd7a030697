"""Model of the runs of one task: starts, late and duplicate commands, evictions and reboots.

Time is abstracted: an owner commits a lapse only if no lease and no grant is left, which the lease
model shows to be sound. The second worker never fails, so a run there is concurrent with any that
still runs on the first one.
"""

from collections.abc import Iterator

from spec.model import Action
from spec.model import Guards
from spec.model import Model
from spec.model import Mutation
from spec.model import PROGRESS
from spec.run_worker import Command
from spec.run_worker import deliver_command
from spec.run_worker import deliver_duplicate
from spec.run_worker import Event
from spec.run_worker import expire_grant
from spec.run_worker import fail_worker
from spec.run_worker import finish_run
from spec.run_worker import FIRST_WORKER
from spec.run_worker import lapse_lease
from spec.run_worker import Ledger
from spec.run_worker import lose_command
from spec.run_worker import Owner
from spec.run_worker import reboot_worker
from spec.run_worker import SECOND_EPOCH
from spec.run_worker import SECOND_WORKER
from spec.run_worker import send_command
from spec.run_worker import State
from spec.run_worker import with_owner

PROCESS_PACKAGE = "laburnumswitch.process."
MAX_STOPS = 1
MAX_RUN = 2


def _take_over(state: State, guards: Guards) -> Iterator[State]:
    if state.epoch < SECOND_EPOCH:
        second = Owner(SECOND_EPOCH, state.ledger, boot=state.worker.boot)
        first = state.owners[0]._replace(event=None, start_sent=False)
        yield state._replace(epoch=SECOND_EPOCH, owners=(first, second))


def _grant_window_ends(state: State, guards: Guards) -> Iterator[State]:
    owner = state.owners[0]
    if owner.epoch < state.epoch and owner.may_grant:
        yield with_owner(state, owner._replace(may_grant=False))


def _report(state: State, guards: Guards) -> Iterator[State]:
    worker = state.worker
    if worker.is_dead:
        return
    event = worker.events[0] if worker.events else None
    owner = state.owners[-1]
    reported = owner._replace(boot=worker.boot, event=event)
    contacted = worker._replace(epoch=owner.epoch)
    if reported == owner and contacted == worker:
        return
    state = state._replace(worker=contacted)
    if event is None or "acknowledged_after_commit" in guards:
        yield with_owner(state, reported)
    else:
        yield _drop_event(with_owner(state, reported), event)


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


def _send_start(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        known = owner.ledger
        if known.running and known.worker == FIRST_WORKER and owner.may_grant:
            command = Command("start", known.run, owner.epoch, known.boot)
            yield from send_command(with_owner(state, owner._replace(start_sent=True)), command)


def _send_stop(state: State, guards: Guards) -> Iterator[State]:
    if state.stop_count >= MAX_STOPS or state.worker.boot:
        return
    for owner in state.owners:
        known = owner.ledger
        if known.running and known.worker == FIRST_WORKER:
            command = Command("stop", known.run, owner.epoch, known.boot)
            yield from send_command(state._replace(stop_count=state.stop_count + 1), command)


def _commit_succeeds(state: State, owner: Owner, guards: Guards) -> bool:
    if "head_condition" not in guards:
        return True
    return owner.epoch == state.epoch and owner.ledger == state.ledger


def _commit_start_first(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        if _may_start(state, owner, guards):
            yield _start(state, owner, FIRST_WORKER, owner.boot, guards)


def _commit_start_second(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        if _may_start(state, owner, guards):
            after = _start(state, owner, SECOND_WORKER, 0, guards)
            yield after._replace(second_run=after.ledger.run)


def _may_start(state: State, owner: Owner, guards: Guards) -> bool:
    known = owner.ledger
    if known.finished or known.run >= MAX_RUN or not _commit_succeeds(state, owner, guards):
        return False
    return not known.running or "end_before_next_run" not in guards


def _start(state: State, owner: Owner, worker: int, boot: int, guards: Guards) -> State:
    known = owner.ledger
    checkpoint = 0 if "eviction_consumed_with_start" in guards else known.checkpoint
    resumed = (*state.resumed, known.checkpoint) if known.checkpoint else state.resumed
    ledger = Ledger(known.run + 1, True, worker, boot, checkpoint)
    changed = owner._replace(ledger=ledger, event=None, start_sent=False)
    return with_owner(state, changed, ledger=ledger, resumed=resumed)


def _commit_end(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        event, known = owner.event, owner.ledger
        if event is None or not known.running or not _commit_succeeds(state, owner, guards):
            continue
        if event.run != known.run and "late_report_ignored" in guards:
            continue
        checkpoint = event.run if event.kind == "evicted" else known.checkpoint
        finished = event.kind == "finished"
        yield _commit_run_end(
            state, owner, known._replace(checkpoint=checkpoint, finished=finished)
        )


def _commit_reboot(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        known = owner.ledger
        rebooted = known.running and known.worker == FIRST_WORKER and owner.boot != known.boot
        if rebooted and _commit_succeeds(state, owner, guards):
            yield _commit_run_end(state, owner, known)


def _commit_lapse(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        known = owner.ledger
        if not (known.running and known.worker == FIRST_WORKER) or not _commit_succeeds(
            state, owner, guards
        ):
            continue
        if "lapse_is_certain" not in guards or _certainly_lapsed(state, owner):
            yield _commit_run_end(state, owner, known)


def _commit_withdrawal(state: State, guards: Guards) -> Iterator[State]:
    # The implementation ensures that no start is sent between the report and the commit.
    owner, worker = state.owners[-1], state.worker
    known = owner.ledger
    known_to_worker = {each.run for each in worker.events} | {worker.running}
    has_reported = not worker.is_dead and worker.epoch == owner.epoch and worker.boot == known.boot
    if (
        not (has_reported and known.running and known.worker == FIRST_WORKER)
        or known.run in known_to_worker
    ):
        return
    if not (owner.start_sent and "unsent_is_certain" in guards) and _commit_succeeds(
        state, owner, guards
    ):
        yield _commit_run_end(state, owner, known)


def _certainly_lapsed(state: State, owner: Owner) -> bool:
    run = owner.ledger.run
    other_may_grant = any(
        each.may_grant and each.ledger.run == run and each.ledger.running
        for each in state.owners
        if each.epoch != owner.epoch
    )
    has_fresh_start = any(
        command.kind == "start" and command.run == run and not command.is_expired
        for command in state.commands
        if command.boot == state.worker.boot
    )
    return not (other_may_grant or has_fresh_start or state.worker.running == run)


def _commit_second_finished(state: State, guards: Guards) -> Iterator[State]:
    for owner in state.owners:
        known = owner.ledger
        runs_on_second = state.second_run and known.running and known.worker == SECOND_WORKER
        if runs_on_second and _commit_succeeds(state, owner, guards):
            yield _commit_run_end(state, owner, known._replace(finished=True))._replace(
                second_run=0
            )


def _commit_run_end(state: State, owner: Owner, ledger: Ledger) -> State:
    ended_ledger = ledger._replace(running=False)
    return with_owner(state, owner._replace(ledger=ended_ledger, event=None), ledger=ended_ledger)


def _finishes_once(state: State) -> bool:
    return not state.ledger.finished or not (state.worker.running or state.second_run)


def _resumes_once(state: State) -> bool:
    offered_again = state.ledger.checkpoint in state.resumed
    return not offered_again and len(state.resumed) == len(set(state.resumed))


RUN = Model(
    name="run",
    initial=State(),
    actions=(
        Action("take_over", _take_over, PROCESS_PACKAGE + "ledger.ownership.take_over"),
        Action("hold_ends", _grant_window_ends),
        Action("report", _report),
        Action("acknowledge", _acknowledge),
        Action("order_start", _send_start, PROCESS_PACKAGE + "workers.lease.grant_until"),
        Action("order_stop", _send_stop, fault=True),
        Action(
            "commit_start_first",
            _commit_start_first,
            PROCESS_PACKAGE + "ledger.journal.commit_batch",
        ),
        Action(
            "commit_start_second",
            _commit_start_second,
            PROCESS_PACKAGE + "ledger.journal.commit_batch",
        ),
        Action("commit_end", _commit_end, PROCESS_PACKAGE + "ledger.journal.commit_batch"),
        Action("commit_reboot", _commit_reboot, PROCESS_PACKAGE + "ledger.journal.commit_batch"),
        Action(
            "commit_withdrawal",
            _commit_withdrawal,
            PROCESS_PACKAGE + "ledger.worker_records.add_withdrawals",
        ),
        Action("commit_lapse", _commit_lapse, PROCESS_PACKAGE + "workers.lease.certainly_lapsed"),
        Action(
            "commit_second_finished",
            _commit_second_finished,
            PROCESS_PACKAGE + "ledger.journal.commit_batch",
        ),
        Action("order_arrives", deliver_command),
        Action("order_arrives_twice", deliver_duplicate, fault=True),
        Action("order_lost", lose_command, fault=True),
        Action("grant_expires", expire_grant),
        Action("lease_lapses", lapse_lease),
        Action("run_finishes", finish_run),
        Action("worker_reboots", reboot_worker, fault=True),
        Action("worker_dies", fail_worker, fault=True),
    ),
    invariants={
        "never_two_places": lambda state: not (state.worker.running and state.second_run),
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

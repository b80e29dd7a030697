"""Model of the lease of one run, whose owner may be paused and replaced.

Instants are stored as the number of ticks until them, so that the state space stays finite. Values
measured by the worker's clock do not advance in a tick that the slower worker clock skips. The
second worker never fails, so a run there is concurrent with any that still runs on the first one.
"""

from collections.abc import Iterator
from typing import Literal
from typing import NamedTuple

from spec.model import Action
from spec.model import Guards
from spec.model import Model
from spec.model import Mutation
from spec.model import PROGRESS

LEASE_TICKS = 2
GRANT_WINDOW_TICKS = 2
RATE_MARGIN_TICKS = 1
MAX_COMMANDS = 2
MAX_SKIPPED_TICKS = 1
REPORT_EXPIRED = LEASE_TICKS
NOT_REPLACED = -1
NOT_SENT = -1
PROCESS_PACKAGE = "laburnumswitch.process."


class Command(NamedTuple):
    """A grant in flight; ``remaining`` is the time until it expires, by the worker's clock."""

    kind: Literal["start", "renew"]
    remaining: int


class Owner(NamedTuple):
    """The first owner.

    :ivar report_age: time since the worker's last report, by the worker's clock.
    :ivar grant_window: remaining time in which the owner may grant.
    :ivar lapse_wait: remaining time until the owner's own grants have lapsed.
    :ivar touch_age: time since the owner sent its commit on the head.
    :ivar touch_landed: that commit has taken effect.
    :ivar window_checked: the grant window was checked before the grant was fixed; only happens
        without the guard ``grant_fixed_before_hold_check``.
    """

    report_age: int = REPORT_EXPIRED
    grant_window: int = GRANT_WINDOW_TICKS
    lapse_wait: int = 0
    touch_age: int = NOT_SENT
    touch_landed: bool = False
    window_checked: bool = False


class State(NamedTuple):
    """State of the first owner, its successor, the commands in flight and the run.

    :ivar successor_wait: remaining time that the second owner has to wait.
    :ivar lease_left: remaining lease of the run on the first worker, 0 if it does not run.
    :ivar runs_on_second: the next run was started on the second worker.
    """

    owner: Owner = Owner()
    successor_wait: int = NOT_REPLACED
    commands: frozenset[Command] = frozenset()
    start_received: bool = False
    lease_left: int = 0
    runs_on_second: bool = False
    skipped_ticks: int = 0


def _rate_margin(guards: Guards) -> int:
    return RATE_MARGIN_TICKS if "clock_rate_margin" in guards else 0


def _take_over(state: State, guards: Guards) -> Iterator[State]:
    if state.successor_wait == NOT_REPLACED and not state.runs_on_second:
        grant_window = GRANT_WINDOW_TICKS if "take_over_waits_for_hold" in guards else 0
        yield state._replace(successor_wait=grant_window + LEASE_TICKS + _rate_margin(guards))


def _send_touch(state: State, guards: Guards) -> Iterator[State]:
    if state.owner.touch_age == NOT_SENT:
        yield state._replace(owner=state.owner._replace(touch_age=0, touch_landed=False))


def _touch_lands(state: State, guards: Guards) -> Iterator[State]:
    owner = state.owner
    if (
        owner.touch_age != NOT_SENT
        and not owner.touch_landed
        and state.successor_wait == NOT_REPLACED
    ):
        yield state._replace(owner=owner._replace(touch_landed=True))


def _touch_answered(state: State, guards: Guards) -> Iterator[State]:
    owner = state.owner
    if not owner.touch_landed:
        return
    elapsed = owner.touch_age if "hold_counts_from_sending" in guards else 0
    grant_window = max(owner.grant_window, GRANT_WINDOW_TICKS - elapsed)
    yield state._replace(
        owner=owner._replace(touch_age=NOT_SENT, touch_landed=False, grant_window=grant_window)
    )


def _read_clock(state: State, guards: Guards) -> Iterator[State]:
    yield state._replace(owner=state.owner._replace(report_age=0))


def _check_grant_window(state: State, guards: Guards) -> Iterator[State]:
    if "grant_fixed_before_hold_check" not in guards and state.owner.grant_window:
        yield state._replace(owner=state.owner._replace(window_checked=True))


def _grant(state: State, guards: Guards) -> Iterator[State]:
    owner = state.owner
    may_grant = owner.grant_window or owner.window_checked or "hold_limits_grants" not in guards
    lapse_committed = state.runs_on_second and state.successor_wait == NOT_REPLACED
    if owner.report_age >= REPORT_EXPIRED or not may_grant or lapse_committed:
        return
    lapse_wait = LEASE_TICKS + _rate_margin(guards) if "lapse_waits_for_own_grants" in guards else 0
    granted = owner._replace(lapse_wait=lapse_wait, window_checked=False)
    for kind in ("start", "renew"):
        command = Command(kind, LEASE_TICKS - owner.report_age)
        if command not in state.commands and len(state.commands) < MAX_COMMANDS:
            yield state._replace(owner=granted, commands=state.commands | {command})


def _commit_lapse(state: State, guards: Guards) -> Iterator[State]:
    remaining_wait = (
        state.owner.lapse_wait if state.successor_wait == NOT_REPLACED else state.successor_wait
    )
    if not remaining_wait and not state.runs_on_second:
        yield state._replace(runs_on_second=True)


def _deliver_command(state: State, guards: Guards) -> Iterator[State]:
    for command in state.commands:
        after = state._replace(commands=state.commands - {command})
        lease_left = command.remaining if "absolute_grant" in guards else LEASE_TICKS
        if command.kind == "renew":
            yield (
                after._replace(lease_left=max(state.lease_left, lease_left))
                if state.lease_left
                else after
            )
        elif state.start_received:
            yield after
        else:
            min_lease = 0 if "late_start_refused" in guards else 1
            yield after._replace(start_received=True, lease_left=max(lease_left, min_lease))


def _lose_command(state: State, guards: Guards) -> Iterator[State]:
    for command in state.commands:
        yield state._replace(commands=state.commands - {command})


def _tick(state: State, guards: Guards) -> Iterator[State]:
    yield _advance_time(state, 1)


def _skip_tick(state: State, guards: Guards) -> Iterator[State]:
    if state.skipped_ticks < MAX_SKIPPED_TICKS:
        yield _advance_time(state, 0)._replace(skipped_ticks=state.skipped_ticks + 1)


def _advance_time(state: State, worker_ticks: int) -> State:
    commands = (
        each._replace(remaining=max(0, each.remaining - worker_ticks)) for each in state.commands
    )
    owner = state.owner
    owner = owner._replace(
        report_age=min(REPORT_EXPIRED, owner.report_age + worker_ticks),
        grant_window=max(0, owner.grant_window - 1),
        lapse_wait=max(0, owner.lapse_wait - 1),
        touch_age=(
            owner.touch_age
            if owner.touch_age == NOT_SENT
            else min(GRANT_WINDOW_TICKS, owner.touch_age + 1)
        ),
    )
    return state._replace(
        commands=frozenset(commands),
        owner=owner,
        lease_left=max(0, state.lease_left - worker_ticks),
        successor_wait=(
            state.successor_wait
            if state.successor_wait == NOT_REPLACED
            else max(0, state.successor_wait - 1)
        ),
    )


LEASE = Model(
    name="lease",
    initial=State(),
    actions=(
        Action("take_over", _take_over, PROCESS_PACKAGE + "ledger.ownership.take_over"),
        Action("send_touch", _send_touch, PROCESS_PACKAGE + "ledger.journal.touch_head"),
        Action("touch_lands", _touch_lands, PROCESS_PACKAGE + "ledger.journal.touch_head"),
        Action("touch_answered", _touch_answered, PROCESS_PACKAGE + "ledger.journal.touch_head"),
        Action("check_hold", _check_grant_window, PROCESS_PACKAGE + "workers.lease.grant_until"),
        Action("read_clock", _read_clock, PROCESS_PACKAGE + "workers.lease.grant_until"),
        Action("grant", _grant, PROCESS_PACKAGE + "workers.lease.grant_until"),
        Action("commit_lapse", _commit_lapse, PROCESS_PACKAGE + "workers.lease.certainly_lapsed"),
        Action("order_arrives", _deliver_command),
        Action("order_lost", _lose_command, fault=True),
        Action("time_passes", _tick),
        Action("worker_clock_slow", _skip_tick, fault=True),
    ),
    invariants={"never_two_places": lambda state: not (state.lease_left and state.runs_on_second)},
    goal=lambda state: state.runs_on_second,
    mutations=(
        Mutation("late_start_refused", "never_two_places"),
        Mutation("absolute_grant", "never_two_places"),
        Mutation("hold_limits_grants", "never_two_places"),
        Mutation("hold_counts_from_sending", "never_two_places"),
        Mutation("grant_fixed_before_hold_check", "never_two_places"),
        Mutation("take_over_waits_for_hold", "never_two_places"),
        Mutation("lapse_waits_for_own_grants", "never_two_places"),
        Mutation("clock_rate_margin", "never_two_places"),
        Mutation("commit_lapse", PROGRESS),
    ),
)

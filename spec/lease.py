"""One run whose owner may be paused and replaced, and the wait until its lease has lapsed.

Instants are kept as the ticks that are left until them, so that time has no end. What is measured
by the worker's clock stands still in a tick that the worker's slower clock skips. The second worker
is faultless, so that a run there doubles whatever still runs on the first one.
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
HOLD_TICKS = 2
RATE_MARGIN_TICKS = 1
MAX_ORDERS = 2
MAX_SKIPPED_TICKS = 1
NO_REPORT = LEASE_TICKS
NOT_REPLACED = -1
NOT_SENT = -1
PROCESS = "laburnumswitch.process."


class Order(NamedTuple):
    """A grant on its way; ``left`` is its instant less the worker's clock."""

    kind: Literal["start", "renew"]
    left: int


class Owner(NamedTuple):
    """The first owner.

    ``age`` is the time since the worker gave its last report, by the worker's clock; ``hold`` what
    is left of the right to grant; ``wait`` what is left until its own grants have lapsed.
    ``touch`` is the time since a commit on the head was sent and ``touched`` whether it landed.
    """

    age: int = NO_REPORT
    hold: int = HOLD_TICKS
    wait: int = 0
    touch: int = NOT_SENT
    touched: bool = False
    checked: bool = False


class State(NamedTuple):
    """``left`` is the lease of the run on the first worker, 0 where it does not run.

    ``wait`` is what the second owner has left to wait. ``second`` is whether the next run was
    started on the second worker.
    """

    owner: Owner = Owner()
    wait: int = NOT_REPLACED
    orders: frozenset[Order] = frozenset()
    seen: bool = False
    left: int = 0
    second: bool = False
    skipped: int = 0


def _margin(guards: Guards) -> int:
    return RATE_MARGIN_TICKS if "clock_rate_margin" in guards else 0


def _take_over(state: State, guards: Guards) -> Iterator[State]:
    if state.wait == NOT_REPLACED and not state.second:
        hold = HOLD_TICKS if "take_over_waits_for_hold" in guards else 0
        yield state._replace(wait=hold + LEASE_TICKS + _margin(guards))


def _send_touch(state: State, guards: Guards) -> Iterator[State]:
    if state.owner.touch == NOT_SENT:
        yield state._replace(owner=state.owner._replace(touch=0, touched=False))


def _touch_lands(state: State, guards: Guards) -> Iterator[State]:
    owner = state.owner
    if owner.touch != NOT_SENT and not owner.touched and state.wait == NOT_REPLACED:
        yield state._replace(owner=owner._replace(touched=True))


def _touch_answered(state: State, guards: Guards) -> Iterator[State]:
    owner = state.owner
    if not owner.touched:
        return
    since = owner.touch if "hold_counts_from_sending" in guards else 0
    hold = max(owner.hold, HOLD_TICKS - since)
    yield state._replace(owner=owner._replace(touch=NOT_SENT, touched=False, hold=hold))


def _read_clock(state: State, guards: Guards) -> Iterator[State]:
    yield state._replace(owner=state.owner._replace(age=0))


def _check_hold(state: State, guards: Guards) -> Iterator[State]:
    if "grant_fixed_before_hold_check" not in guards and state.owner.hold:
        yield state._replace(owner=state.owner._replace(checked=True))


def _grant(state: State, guards: Guards) -> Iterator[State]:
    owner = state.owner
    may_grant = owner.hold or owner.checked or "hold_limits_grants" not in guards
    lapsed = state.second and state.wait == NOT_REPLACED
    if owner.age >= NO_REPORT or not may_grant or lapsed:
        return
    wait = LEASE_TICKS + _margin(guards) if "lapse_waits_for_own_grants" in guards else 0
    granted = owner._replace(wait=wait, checked=False)
    for kind in ("start", "renew"):
        order = Order(kind, LEASE_TICKS - owner.age)
        if order not in state.orders and len(state.orders) < MAX_ORDERS:
            yield state._replace(owner=granted, orders=state.orders | {order})


def _commit_lapse(state: State, guards: Guards) -> Iterator[State]:
    wait = state.owner.wait if state.wait == NOT_REPLACED else state.wait
    if not wait and not state.second:
        yield state._replace(second=True)


def _deliver(state: State, guards: Guards) -> Iterator[State]:
    for order in state.orders:
        after = state._replace(orders=state.orders - {order})
        left = order.left if "absolute_grant" in guards else LEASE_TICKS
        if order.kind == "renew":
            yield after._replace(left=max(state.left, left)) if state.left else after
        elif state.seen:
            yield after
        else:
            late = 0 if "late_start_refused" in guards else 1
            yield after._replace(seen=True, left=max(left, late))


def _lose_order(state: State, guards: Guards) -> Iterator[State]:
    for order in state.orders:
        yield state._replace(orders=state.orders - {order})


def _tick(state: State, guards: Guards) -> Iterator[State]:
    yield _pass_time(state, 1)


def _skip_tick(state: State, guards: Guards) -> Iterator[State]:
    if state.skipped < MAX_SKIPPED_TICKS:
        yield _pass_time(state, 0)._replace(skipped=state.skipped + 1)


def _pass_time(state: State, by_worker_clock: int) -> State:
    orders = (each._replace(left=max(0, each.left - by_worker_clock)) for each in state.orders)
    owner = state.owner
    owner = owner._replace(
        age=min(NO_REPORT, owner.age + by_worker_clock),
        hold=max(0, owner.hold - 1),
        wait=max(0, owner.wait - 1),
        touch=owner.touch if owner.touch == NOT_SENT else min(HOLD_TICKS, owner.touch + 1),
    )
    return state._replace(
        orders=frozenset(orders),
        owner=owner,
        left=max(0, state.left - by_worker_clock),
        wait=state.wait if state.wait == NOT_REPLACED else max(0, state.wait - 1),
    )


LEASE = Model(
    name="lease",
    initial=State(),
    actions=(
        Action("take_over", _take_over, PROCESS + "ledger.ownership.take_over"),
        Action("send_touch", _send_touch, PROCESS + "ledger.journal.touch_head"),
        Action("touch_lands", _touch_lands, PROCESS + "ledger.journal.touch_head"),
        Action("touch_answered", _touch_answered, PROCESS + "ledger.journal.touch_head"),
        Action("check_hold", _check_hold, PROCESS + "workers.lease.grant_until"),
        Action("read_clock", _read_clock, PROCESS + "workers.lease.grant_until"),
        Action("grant", _grant, PROCESS + "workers.lease.grant_until"),
        Action("commit_lapse", _commit_lapse, PROCESS + "workers.lease.certainly_lapsed"),
        Action("order_arrives", _deliver),
        Action("order_lost", _lose_order, fault=True),
        Action("time_passes", _tick),
        Action("worker_clock_slow", _skip_tick, fault=True),
    ),
    invariants={"never_two_places": lambda state: not (state.left and state.second)},
    goal=lambda state: state.second,
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

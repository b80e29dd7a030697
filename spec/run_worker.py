"""State of the model of a run, and the steps of its worker and its messages."""

from collections.abc import Iterator
from typing import Any
from typing import Literal
from typing import NamedTuple

from spec.model import Guards

MAX_ORDERS = 2
MAX_REBOOTS = 1
FIRST_EPOCH = 1
SECOND_EPOCH = 2
FIRST = 1
SECOND = 2

EventKind = Literal["finished", "evicted", "killed", "lapsed", "refused"]


class Event(NamedTuple):
    """What became of a run, kept by the worker until it is acknowledged."""

    kind: EventKind
    run: int


class Order(NamedTuple):
    """An order on its way. ``late`` tells that the instant of its grant has passed."""

    kind: Literal["start", "stop"]
    run: int
    epoch: int
    boot: int
    late: bool = False


class Worker(NamedTuple):
    """The first worker; ``seen`` is the highest run number that it was told of."""

    boot: int = 0
    epoch: int = FIRST_EPOCH
    running: int = 0
    seen: int = 0
    events: tuple[Event, ...] = ()
    gone: bool = False


class Ledger(NamedTuple):
    """The committed record of the task. ``checkpoint`` is the run that left one to resume from."""

    run: int = 0
    running: bool = False
    place: int = 0
    boot: int = 0
    checkpoint: int = 0
    finished: bool = False


class Owner(NamedTuple):
    """What one entry believes, and whether it may still grant leases.

    ``sent`` tells that it sent a start of the present run.
    """

    epoch: int
    ledger: Ledger = Ledger()
    boot: int = 0
    event: Event | None = None
    hold: bool = True
    sent: bool = False


class State(NamedTuple):
    """Everything. ``second`` is the run on the second worker, which never fails.

    ``resumed`` holds the checkpoint of every start that had one; ``lost_end`` tells that the worker
    dropped the end of a run that the ledger does not hold.
    """

    epoch: int = FIRST_EPOCH
    ledger: Ledger = Ledger()
    worker: Worker = Worker()
    second: int = 0
    orders: frozenset[Order] = frozenset()
    owners: tuple[Owner, ...] = (Owner(FIRST_EPOCH),)
    resumed: tuple[int, ...] = ()
    lost_end: bool = False
    stops: int = 0


def with_owner(state: State, owner: Owner, **changes: Any) -> State:
    """Return ``state`` with the owner of that epoch replaced."""
    owners = tuple(owner if each.epoch == owner.epoch else each for each in state.owners)
    return state._replace(owners=owners, **changes)


def finish(state: State, guards: Guards) -> Iterator[State]:
    """End the run on the first worker by itself."""
    if state.worker.running:
        yield state._replace(worker=_end_run(state.worker, "finished"))


def lapse(state: State, guards: Guards) -> Iterator[State]:
    """End the run on the first worker because its lease is over."""
    if state.worker.running:
        yield state._replace(worker=_end_run(state.worker, "lapsed"))


def reboot(state: State, guards: Guards) -> Iterator[State]:
    """Restart the first worker: it forgets all, and its clock makes old grants look fresh.

    A reboot and a stop are not combined, which keeps the search short.
    """
    if state.worker.boot < MAX_REBOOTS and not (state.worker.gone or state.stops):
        orders = frozenset(order._replace(late=False) for order in state.orders)
        yield state._replace(worker=Worker(boot=state.worker.boot + 1), orders=orders)


def die(state: State, guards: Guards) -> Iterator[State]:
    """End the first worker for good, unless it has been restarted before."""
    if not state.worker.gone and not state.worker.boot:
        yield state._replace(worker=Worker(boot=state.worker.boot, gone=True))


def expire(state: State, guards: Guards) -> Iterator[State]:
    """Let the instant of a grant pass while the order is on its way."""
    for order in state.orders:
        if order.kind == "start" and not order.late and order.boot == state.worker.boot:
            late = order._replace(late=True)
            yield state._replace(orders=state.orders - {order} | {late})


def deliver(state: State, guards: Guards) -> Iterator[State]:
    """Deliver one order."""
    for order in state.orders:
        worker = _obey(state.worker, order, guards)
        yield state._replace(worker=worker, orders=state.orders - {order})


def deliver_and_repeat(state: State, guards: Guards) -> Iterator[State]:
    """Deliver one order that will arrive again."""
    for order in state.orders:
        worker = _obey(state.worker, order, guards)
        if worker != state.worker:
            yield state._replace(worker=worker)


def lose_order(state: State, guards: Guards) -> Iterator[State]:
    """Lose one order."""
    for order in state.orders:
        yield state._replace(orders=state.orders - {order})


def send(state: State, order: Order) -> Iterator[State]:
    """Put one order on its way."""
    if order not in state.orders and len(state.orders) < MAX_ORDERS:
        yield state._replace(orders=state.orders | {order})


def _end_run(worker: Worker, kind: EventKind) -> Worker:
    events = (*worker.events, Event(kind, worker.running))
    return worker._replace(running=0, events=events)


def _obey(worker: Worker, order: Order, guards: Guards) -> Worker:
    if worker.gone or ("boot_compared" in guards and order.boot != worker.boot):
        return worker
    if "epoch_compared" in guards and order.epoch < worker.epoch:
        return worker
    worker = worker._replace(epoch=max(order.epoch, worker.epoch))
    if order.kind == "stop":
        return _obey_stop(worker, order, guards)
    if worker.running or ("run_number_compared" in guards and order.run <= worker.seen):
        return worker
    if not order.late:
        return worker._replace(running=order.run, seen=order.run)
    seen = order.run if "refusal_is_final" in guards else worker.seen
    return worker._replace(seen=seen, events=(*worker.events, Event("refused", order.run)))


def _obey_stop(worker: Worker, order: Order, guards: Guards) -> Worker:
    if worker.running == order.run:
        return _end_run(worker, "evicted")
    if worker.running or order.run <= worker.seen:
        return worker
    seen = order.run if "stop_is_final" in guards else worker.seen
    return worker._replace(seen=seen, events=(*worker.events, Event("killed", order.run)))

"""State of the run model, and the steps of its worker and of the commands sent to it."""

from collections.abc import Iterator
from typing import Any
from typing import Literal
from typing import NamedTuple

from spec.model import Guards

MAX_COMMANDS = 2
MAX_REBOOTS = 1
FIRST_EPOCH = 1
SECOND_EPOCH = 2
FIRST_WORKER = 1
SECOND_WORKER = 2

EventKind = Literal["finished", "evicted", "killed", "lapsed", "refused"]


class Event(NamedTuple):
    """The end of a run, kept by the worker until it is acknowledged."""

    kind: EventKind
    run: int


class Command(NamedTuple):
    """A command in flight; ``is_expired`` is whether its grant has expired."""

    kind: Literal["start", "stop"]
    run: int
    epoch: int
    boot: int
    is_expired: bool = False


class Worker(NamedTuple):
    """The first worker; ``highest_run`` is the highest run number that it has seen."""

    boot: int = 0
    epoch: int = FIRST_EPOCH
    running: int = 0
    highest_run: int = 0
    events: tuple[Event, ...] = ()
    is_dead: bool = False


class Ledger(NamedTuple):
    """The committed record of the task; ``checkpoint`` is the run that left a checkpoint."""

    run: int = 0
    running: bool = False
    worker: int = 0
    boot: int = 0
    checkpoint: int = 0
    finished: bool = False


class Owner(NamedTuple):
    """Local state of one entry; ``start_sent`` is whether it sent a start of the current run."""

    epoch: int
    ledger: Ledger = Ledger()
    boot: int = 0
    event: Event | None = None
    may_grant: bool = True
    start_sent: bool = False


class State(NamedTuple):
    """State of the ledger, both workers, the owners and the commands in flight.

    :ivar second_run: the run on the second worker, which never fails; 0 if there is none.
    :ivar resumed: the checkpoint of every start that had one.
    :ivar lost_end: the worker dropped the end of a run that the ledger does not contain.
    """

    epoch: int = FIRST_EPOCH
    ledger: Ledger = Ledger()
    worker: Worker = Worker()
    second_run: int = 0
    commands: frozenset[Command] = frozenset()
    owners: tuple[Owner, ...] = (Owner(FIRST_EPOCH),)
    resumed: tuple[int, ...] = ()
    lost_end: bool = False
    stop_count: int = 0


def with_owner(state: State, owner: Owner, **changes: Any) -> State:
    """Return ``state`` with the owner of the same epoch replaced by ``owner``."""
    owners = tuple(owner if each.epoch == owner.epoch else each for each in state.owners)
    return state._replace(owners=owners, **changes)


def finish_run(state: State, guards: Guards) -> Iterator[State]:
    """Finish the run on the first worker."""
    if state.worker.running:
        yield state._replace(worker=_end_run(state.worker, "finished"))


def lapse_lease(state: State, guards: Guards) -> Iterator[State]:
    """End the run on the first worker because its lease has lapsed."""
    if state.worker.running:
        yield state._replace(worker=_end_run(state.worker, "lapsed"))


def reboot_worker(state: State, guards: Guards) -> Iterator[State]:
    """Restart the first worker: it loses its state, and its new clock makes old grants valid again.

    Reboots and stops are not combined, which keeps the state space small.
    """
    if state.worker.boot < MAX_REBOOTS and not (state.worker.is_dead or state.stop_count):
        commands = frozenset(command._replace(is_expired=False) for command in state.commands)
        yield state._replace(worker=Worker(boot=state.worker.boot + 1), commands=commands)


def fail_worker(state: State, guards: Guards) -> Iterator[State]:
    """Make the first worker fail permanently, unless it was rebooted before."""
    if not state.worker.is_dead and not state.worker.boot:
        yield state._replace(worker=Worker(boot=state.worker.boot, is_dead=True))


def expire_grant(state: State, guards: Guards) -> Iterator[State]:
    """Expire the grant of a start command that is in flight."""
    for command in state.commands:
        if command.kind == "start" and not command.is_expired and command.boot == state.worker.boot:
            expired = command._replace(is_expired=True)
            yield state._replace(commands=state.commands - {command} | {expired})


def deliver_command(state: State, guards: Guards) -> Iterator[State]:
    """Deliver one command."""
    for command in state.commands:
        worker = _handle_command(state.worker, command, guards)
        yield state._replace(worker=worker, commands=state.commands - {command})


def deliver_duplicate(state: State, guards: Guards) -> Iterator[State]:
    """Deliver one command that will be delivered again."""
    for command in state.commands:
        worker = _handle_command(state.worker, command, guards)
        if worker != state.worker:
            yield state._replace(worker=worker)


def lose_command(state: State, guards: Guards) -> Iterator[State]:
    """Drop one command."""
    for command in state.commands:
        yield state._replace(commands=state.commands - {command})


def send_command(state: State, command: Command) -> Iterator[State]:
    """Add one command to those in flight."""
    if command not in state.commands and len(state.commands) < MAX_COMMANDS:
        yield state._replace(commands=state.commands | {command})


def _end_run(worker: Worker, kind: EventKind) -> Worker:
    events = (*worker.events, Event(kind, worker.running))
    return worker._replace(running=0, events=events)


def _handle_command(worker: Worker, command: Command, guards: Guards) -> Worker:
    if worker.is_dead or ("boot_compared" in guards and command.boot != worker.boot):
        return worker
    if "epoch_compared" in guards and command.epoch < worker.epoch:
        return worker
    worker = worker._replace(epoch=max(command.epoch, worker.epoch))
    if command.kind == "stop":
        return _handle_stop(worker, command, guards)
    if worker.running or ("run_number_compared" in guards and command.run <= worker.highest_run):
        return worker
    if not command.is_expired:
        return worker._replace(running=command.run, highest_run=command.run)
    highest_run = command.run if "refusal_is_final" in guards else worker.highest_run
    return worker._replace(
        highest_run=highest_run, events=(*worker.events, Event("refused", command.run))
    )


def _handle_stop(worker: Worker, command: Command, guards: Guards) -> Worker:
    if worker.running == command.run:
        return _end_run(worker, "evicted")
    if worker.running or command.run <= worker.highest_run:
        return worker
    highest_run = command.run if "stop_is_final" in guards else worker.highest_run
    return worker._replace(
        highest_run=highest_run, events=(*worker.events, Event("killed", command.run))
    )

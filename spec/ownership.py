"""Two entries race for one shard whose worker has room for one of two tasks.

Commits travel: one may land late, after its sender gave up on the answer, or never.
"""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from spec.model import Action
from spec.model import Guards
from spec.model import Model
from spec.model import Mutation
from spec.model import PROGRESS

SIZE_BY_TASK = {0: 1, 1: 2}
ROOM = 2
MAX_EPOCH = 2
MAX_EPOCH_AFTER_FAULTS = 4
MAX_CRASHES = 1
MAX_LOST = 1
TAKE_OVER = -1
NOBODY = -1
IN = 1
OUT = 2
OWNERSHIP_MODULE = "laburnumswitch.process.ledger.ownership."
JOURNAL_MODULE = "laburnumswitch.process.ledger.journal."


class Head(NamedTuple):
    """The head row; ``version`` is the table's row version."""

    version: int
    epoch: int
    owner: int
    seq: int


class Batch(NamedTuple):
    """A commit on its way, or a journal row. ``task`` is ``TAKE_OVER`` where nothing is started."""

    entry: int
    version: int
    seq: int
    epoch: int
    task: int
    zone: int


class Entry(NamedTuple):
    """What one entry believes. ``batch`` is the commit that it waits for."""

    owner: bool = False
    version: int = 0
    epoch: int = 0
    seq: int = 0
    started: frozenset[int] = frozenset()
    batch: Batch | None = None
    unknown: bool = False


class State(NamedTuple):
    """The table, the commits on their way and both entries.

    ``zone`` is the row version of the zone, 2 once it is out. ``acknowledged`` holds what an entry
    has acted on as committed. ``late`` tells that a start landed after the zone was out.
    """

    head: Head = Head(1, 0, NOBODY, 0)
    zone: int = IN
    journal: tuple[Batch, ...] = ()
    wire: frozenset[Batch] = frozenset()
    entries: tuple[Entry, Entry] = (Entry(), Entry())
    acknowledged: frozenset[Batch] = frozenset()
    late: bool = False
    crashes: int = 0
    lost: int = 0


def _with_entry(state: State, index: int, entry: Entry, **changes: Any) -> State:
    entries = (entry, state.entries[1]) if index == 0 else (state.entries[0], entry)
    return state._replace(entries=entries, **changes)


def _loaded(state: State) -> Entry:
    head = state.head
    started = frozenset(row.task for row in state.journal)
    return Entry(True, head.version, head.epoch, head.seq, started)


def _rival_takes_over(state: State, guards: Guards) -> Iterator[State]:
    if state.head.epoch < MAX_EPOCH:
        for index, entry in enumerate(state.entries):
            yield from _take_over(state, index, entry)


def _silent_owner_replaced(state: State, guards: Guards) -> Iterator[State]:
    head = state.head
    owner_lives = head.owner != NOBODY and state.entries[head.owner].owner
    if owner_lives or head.epoch >= MAX_EPOCH_AFTER_FAULTS:
        return
    for index, entry in enumerate(state.entries):
        yield from _take_over(state, index, entry)


def _take_over(state: State, index: int, entry: Entry) -> Iterator[State]:
    if entry.owner or entry.batch:
        return
    head = state.head
    batch = Batch(index, head.version, head.seq, head.epoch + 1, TAKE_OVER, 0)
    waiting = entry._replace(batch=batch)
    yield _with_entry(state, index, waiting, wire=state.wire | {batch})


def _send_start(state: State, guards: Guards) -> Iterator[State]:
    if state.zone != IN:
        return
    for index, entry in enumerate(state.entries):
        if not entry.owner or entry.batch:
            continue
        used = sum(SIZE_BY_TASK[task] for task in entry.started)
        for task, size in SIZE_BY_TASK.items():
            if "room_in_ledger" in guards and used + size > ROOM:
                continue
            if "start_unless_in_ledger" in guards and task in entry.started:
                continue
            batch = Batch(index, entry.version, entry.seq, entry.epoch, task, state.zone)
            waiting = entry._replace(batch=batch)
            yield _with_entry(state, index, waiting, wire=state.wire | {batch})


def _commits(state: State, batch: Batch, guards: Guards) -> bool:
    if "head_condition" in guards and state.head.version != batch.version:
        return False
    starts = batch.task != TAKE_OVER
    return not (starts and "zone_condition" in guards and state.zone != batch.zone)


def _apply(state: State, batch: Batch) -> State:
    version = state.head.version + 1
    if batch.task == TAKE_OVER:
        return state._replace(head=Head(version, batch.epoch, batch.entry, batch.seq))
    head = Head(version, batch.epoch, batch.entry, batch.seq + 1)
    journal = state.journal[: batch.seq] + (batch,) + state.journal[batch.seq + 1 :]
    late = state.late or state.zone != IN
    return state._replace(head=head, journal=journal, late=late)


def _land(state: State, guards: Guards) -> Iterator[State]:
    for batch in state.wire:
        after = state._replace(wire=state.wire - {batch})
        committed = _commits(state, batch, guards)
        if committed:
            after = _apply(after, batch)
        entry = after.entries[batch.entry]
        if entry.batch != batch or entry.unknown:
            yield after
        elif committed:
            yield _acknowledge(after, batch)
        else:
            yield _with_entry(after, batch.entry, Entry())


def _acknowledge(state: State, batch: Batch) -> State:
    entry = state.entries[batch.entry]
    if batch.task == TAKE_OVER:
        return _with_entry(state, batch.entry, _loaded(state))
    known = entry._replace(
        version=state.head.version,
        seq=batch.seq + 1,
        started=entry.started | {batch.task},
        batch=None,
        unknown=False,
    )
    acknowledged = state.acknowledged | {batch}
    return _with_entry(state, batch.entry, known, acknowledged=acknowledged)


def _lose_answer(state: State, guards: Guards) -> Iterator[State]:
    if state.lost >= MAX_LOST:
        return
    for batch in state.wire:
        entry = state.entries[batch.entry]
        if entry.batch != batch or entry.unknown:
            continue
        unknown = entry._replace(unknown=True)
        yield _with_entry(state, batch.entry, unknown, lost=state.lost + 1)


def _lose_commit(state: State, guards: Guards) -> Iterator[State]:
    for batch in state.wire:
        entry = state.entries[batch.entry]
        if entry.batch != batch or entry.unknown:
            yield state._replace(wire=state.wire - {batch})


def _refuse(state: State, guards: Guards) -> Iterator[State]:
    if state.lost >= MAX_LOST:
        return
    for batch in state.wire:
        entry = state.entries[batch.entry]
        if entry.batch == batch and not entry.unknown:
            idle = entry._replace(batch=None)
            wire = state.wire - {batch}
            yield _with_entry(state, batch.entry, idle, wire=wire, lost=state.lost + 1)


def _settle(state: State, guards: Guards) -> Iterator[State]:
    for index, entry in enumerate(state.entries):
        batch = entry.batch
        if batch is None or not entry.unknown:
            continue
        head = state.head
        if "settle_reads_journal" not in guards:
            again = entry._replace(version=head.version, seq=head.seq, batch=None, unknown=False)
            yield _with_entry(state, index, again)
        elif head.version == batch.version:
            yield _fence(state, index, entry)
        elif _landed(state, batch, guards):
            yield _settle_landed(state, index, batch)
        else:
            yield _with_entry(state, index, Entry())


def _fence(state: State, index: int, entry: Entry) -> State:
    settled = entry._replace(batch=None, unknown=False)
    if entry.batch.task == TAKE_OVER:
        return _with_entry(state, index, settled)
    # The owner touches the head, so that the batch can no longer take effect.
    head = state.head._replace(version=state.head.version + 1)
    return _with_entry(state, index, settled._replace(version=head.version), head=head)


def _landed(state: State, batch: Batch, guards: Guards) -> bool:
    if batch.task == TAKE_OVER:
        return (state.head.epoch, state.head.owner) == (batch.epoch, batch.entry)
    if batch.seq >= len(state.journal):
        return False
    return "batch_id_compared" not in guards or state.journal[batch.seq] == batch


def _settle_landed(state: State, index: int, batch: Batch) -> State:
    still_owner = (state.head.epoch, state.head.owner) == (batch.epoch, index)
    entry = _loaded(state) if still_owner else Entry()
    acknowledged = state.acknowledged if batch.task == TAKE_OVER else state.acknowledged | {batch}
    return _with_entry(state, index, entry, acknowledged=acknowledged)


def _crash(state: State, guards: Guards) -> Iterator[State]:
    if state.crashes >= MAX_CRASHES:
        return
    for index in (0, 1):
        yield _with_entry(state, index, Entry(), crashes=state.crashes + 1)


def _zone_out(state: State, guards: Guards) -> Iterator[State]:
    if state.zone == IN:
        yield state._replace(zone=OUT)


def _started(state: State) -> list[int]:
    # A start that was acknowledged is on its worker, whatever became of its journal row.
    return [batch.task for batch in state.acknowledged.union(state.journal)]


def _never_two_places(state: State) -> bool:
    tasks = _started(state)
    return len(tasks) == len(set(tasks))


def _used(state: State) -> int:
    return sum(SIZE_BY_TASK[task] for task in _started(state))


OWNERSHIP = Model(
    name="ownership",
    initial=State(),
    actions=(
        Action("rival_takes_over", _rival_takes_over, OWNERSHIP_MODULE + "take_over", fault=True),
        Action("silent_owner_replaced", _silent_owner_replaced, OWNERSHIP_MODULE + "take_over"),
        Action("send_start", _send_start, JOURNAL_MODULE + "commit_batch"),
        Action("commit_lands", _land, JOURNAL_MODULE + "commit_batch"),
        Action("settle", _settle, JOURNAL_MODULE + "settle_batch"),
        Action("store_refuses", _refuse, fault=True),
        Action("answer_lost", _lose_answer, fault=True),
        Action("commit_lost", _lose_commit, fault=True),
        Action("entry_crashes", _crash, fault=True),
        Action(
            "zone_out", _zone_out, "laburnumswitch.process.operating.zones.set_zone", fault=True
        ),
    ),
    invariants={
        "never_two_places": _never_two_places,
        "capacity_never_passed": lambda state: _used(state) <= ROOM,
        "no_start_after_zone_out": lambda state: not state.late,
        "acknowledged_is_kept": lambda state: state.acknowledged <= set(state.journal),
    },
    goal=lambda state: state.zone != IN or len(state.journal) > 0,
    mutations=(
        Mutation("head_condition", "never_two_places"),
        Mutation("head_condition", "acknowledged_is_kept"),
        Mutation("zone_condition", "no_start_after_zone_out"),
        Mutation("settle_reads_journal", "never_two_places"),
        Mutation("settle_reads_journal", "capacity_never_passed"),
        Mutation("batch_id_compared", "acknowledged_is_kept"),
        Mutation("start_unless_in_ledger", "never_two_places"),
        Mutation("room_in_ledger", "capacity_never_passed"),
        Mutation("silent_owner_replaced", PROGRESS),
        Mutation("settle", PROGRESS),
    ),
)

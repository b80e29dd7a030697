"""Model of shard ownership.

Two entries compete for one shard whose worker has capacity for only one of two tasks. A commit may
take effect late, after its sender gave up on the answer, or never.
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
WORKER_CAPACITY = 2
MAX_EPOCH = 2
MAX_EPOCH_AFTER_FAULTS = 4
MAX_CRASHES = 1
MAX_LOSSES = 1
TAKE_OVER = -1
NO_OWNER = -1
ZONE_IN = 1
ZONE_OUT = 2
OWNERSHIP_MODULE = "laburnumswitch.process.ledger.ownership."
JOURNAL_MODULE = "laburnumswitch.process.ledger.journal."


class Head(NamedTuple):
    """The head row; ``version`` is its row version in the table."""

    version: int
    epoch: int
    owner: int
    seq: int


class Batch(NamedTuple):
    """A commit in flight or a journal row; ``task`` is ``TAKE_OVER`` if it starts no task."""

    entry: int
    version: int
    seq: int
    epoch: int
    task: int
    zone: int


class Entry(NamedTuple):
    """Local state of one entry; ``batch`` is the commit whose answer it waits for."""

    is_owner: bool = False
    version: int = 0
    epoch: int = 0
    seq: int = 0
    started: frozenset[int] = frozenset()
    batch: Batch | None = None
    outcome_unknown: bool = False


class State(NamedTuple):
    """State of the table, the commits in flight and both entries.

    :ivar zone: row version of the zone, 2 once it is out of service.
    :ivar acknowledged: batches that an entry has treated as committed.
    :ivar started_late: a start took effect after the zone went out of service.
    """

    head: Head = Head(1, 0, NO_OWNER, 0)
    zone: int = ZONE_IN
    journal: tuple[Batch, ...] = ()
    in_flight: frozenset[Batch] = frozenset()
    entries: tuple[Entry, Entry] = (Entry(), Entry())
    acknowledged: frozenset[Batch] = frozenset()
    started_late: bool = False
    crashes: int = 0
    losses: int = 0


def _with_entry(state: State, index: int, entry: Entry, **changes: Any) -> State:
    entries = (entry, state.entries[1]) if index == 0 else (state.entries[0], entry)
    return state._replace(entries=entries, **changes)


def _load_owner(state: State) -> Entry:
    head = state.head
    started = frozenset(row.task for row in state.journal)
    return Entry(True, head.version, head.epoch, head.seq, started)


def _competing_take_over(state: State, guards: Guards) -> Iterator[State]:
    if state.head.epoch < MAX_EPOCH:
        for index, entry in enumerate(state.entries):
            yield from _take_over(state, index, entry)


def _replace_failed_owner(state: State, guards: Guards) -> Iterator[State]:
    head = state.head
    owner_lives = head.owner != NO_OWNER and state.entries[head.owner].is_owner
    if owner_lives or head.epoch >= MAX_EPOCH_AFTER_FAULTS:
        return
    for index, entry in enumerate(state.entries):
        yield from _take_over(state, index, entry)


def _take_over(state: State, index: int, entry: Entry) -> Iterator[State]:
    if entry.is_owner or entry.batch:
        return
    head = state.head
    batch = Batch(index, head.version, head.seq, head.epoch + 1, TAKE_OVER, 0)
    waiting = entry._replace(batch=batch)
    yield _with_entry(state, index, waiting, in_flight=state.in_flight | {batch})


def _send_start(state: State, guards: Guards) -> Iterator[State]:
    if state.zone != ZONE_IN:
        return
    for index, entry in enumerate(state.entries):
        if not entry.is_owner or entry.batch:
            continue
        used_capacity = sum(SIZE_BY_TASK[task] for task in entry.started)
        for task, size in SIZE_BY_TASK.items():
            if "room_in_ledger" in guards and used_capacity + size > WORKER_CAPACITY:
                continue
            if "start_unless_in_ledger" in guards and task in entry.started:
                continue
            batch = Batch(index, entry.version, entry.seq, entry.epoch, task, state.zone)
            waiting = entry._replace(batch=batch)
            yield _with_entry(state, index, waiting, in_flight=state.in_flight | {batch})


def _commit_succeeds(state: State, batch: Batch, guards: Guards) -> bool:
    if "head_condition" in guards and state.head.version != batch.version:
        return False
    starts = batch.task != TAKE_OVER
    return not (starts and "zone_condition" in guards and state.zone != batch.zone)


def _apply_batch(state: State, batch: Batch) -> State:
    version = state.head.version + 1
    if batch.task == TAKE_OVER:
        return state._replace(head=Head(version, batch.epoch, batch.entry, batch.seq))
    head = Head(version, batch.epoch, batch.entry, batch.seq + 1)
    journal = state.journal[: batch.seq] + (batch,) + state.journal[batch.seq + 1 :]
    started_late = state.started_late or state.zone != ZONE_IN
    return state._replace(head=head, journal=journal, started_late=started_late)


def _deliver_commit(state: State, guards: Guards) -> Iterator[State]:
    for batch in state.in_flight:
        after = state._replace(in_flight=state.in_flight - {batch})
        committed = _commit_succeeds(state, batch, guards)
        if committed:
            after = _apply_batch(after, batch)
        entry = after.entries[batch.entry]
        if entry.batch != batch or entry.outcome_unknown:
            yield after
        elif committed:
            yield _acknowledge(after, batch)
        else:
            yield _with_entry(after, batch.entry, Entry())


def _acknowledge(state: State, batch: Batch) -> State:
    entry = state.entries[batch.entry]
    if batch.task == TAKE_OVER:
        return _with_entry(state, batch.entry, _load_owner(state))
    known = entry._replace(
        version=state.head.version,
        seq=batch.seq + 1,
        started=entry.started | {batch.task},
        batch=None,
        outcome_unknown=False,
    )
    acknowledged = state.acknowledged | {batch}
    return _with_entry(state, batch.entry, known, acknowledged=acknowledged)


def _lose_answer(state: State, guards: Guards) -> Iterator[State]:
    if state.losses >= MAX_LOSSES:
        return
    for batch in state.in_flight:
        entry = state.entries[batch.entry]
        if entry.batch != batch or entry.outcome_unknown:
            continue
        unknown = entry._replace(outcome_unknown=True)
        yield _with_entry(state, batch.entry, unknown, losses=state.losses + 1)


def _lose_commit(state: State, guards: Guards) -> Iterator[State]:
    for batch in state.in_flight:
        entry = state.entries[batch.entry]
        if entry.batch != batch or entry.outcome_unknown:
            yield state._replace(in_flight=state.in_flight - {batch})


def _refuse_commit(state: State, guards: Guards) -> Iterator[State]:
    if state.losses >= MAX_LOSSES:
        return
    for batch in state.in_flight:
        entry = state.entries[batch.entry]
        if entry.batch == batch and not entry.outcome_unknown:
            idle = entry._replace(batch=None)
            in_flight = state.in_flight - {batch}
            yield _with_entry(
                state, batch.entry, idle, in_flight=in_flight, losses=state.losses + 1
            )


def _settle(state: State, guards: Guards) -> Iterator[State]:
    for index, entry in enumerate(state.entries):
        batch = entry.batch
        if batch is None or not entry.outcome_unknown:
            continue
        head = state.head
        if "settle_reads_journal" not in guards:
            again = entry._replace(
                version=head.version, seq=head.seq, batch=None, outcome_unknown=False
            )
            yield _with_entry(state, index, again)
        elif head.version == batch.version:
            yield _fence(state, index, entry)
        elif _took_effect(state, batch, guards):
            yield _settle_committed(state, index, batch)
        else:
            yield _with_entry(state, index, Entry())


def _fence(state: State, index: int, entry: Entry) -> State:
    settled = entry._replace(batch=None, outcome_unknown=False)
    if entry.batch.task == TAKE_OVER:
        return _with_entry(state, index, settled)
    # Writing the head row changes its version, so that the batch can no longer take effect.
    head = state.head._replace(version=state.head.version + 1)
    return _with_entry(state, index, settled._replace(version=head.version), head=head)


def _took_effect(state: State, batch: Batch, guards: Guards) -> bool:
    if batch.task == TAKE_OVER:
        return (state.head.epoch, state.head.owner) == (batch.epoch, batch.entry)
    if batch.seq >= len(state.journal):
        return False
    return "batch_id_compared" not in guards or state.journal[batch.seq] == batch


def _settle_committed(state: State, index: int, batch: Batch) -> State:
    still_owner = (state.head.epoch, state.head.owner) == (batch.epoch, index)
    entry = _load_owner(state) if still_owner else Entry()
    acknowledged = state.acknowledged if batch.task == TAKE_OVER else state.acknowledged | {batch}
    return _with_entry(state, index, entry, acknowledged=acknowledged)


def _crash(state: State, guards: Guards) -> Iterator[State]:
    if state.crashes >= MAX_CRASHES:
        return
    for index in (0, 1):
        yield _with_entry(state, index, Entry(), crashes=state.crashes + 1)


def _zone_out(state: State, guards: Guards) -> Iterator[State]:
    if state.zone == ZONE_IN:
        yield state._replace(zone=ZONE_OUT)


def _started_tasks(state: State) -> list[int]:
    # An acknowledged start runs on its worker even if its journal row was overwritten.
    return [batch.task for batch in state.acknowledged.union(state.journal)]


def _never_two_places(state: State) -> bool:
    tasks = _started_tasks(state)
    return len(tasks) == len(set(tasks))


def _used_capacity(state: State) -> int:
    return sum(SIZE_BY_TASK[task] for task in _started_tasks(state))


OWNERSHIP = Model(
    name="ownership",
    initial=State(),
    actions=(
        Action(
            "rival_takes_over", _competing_take_over, OWNERSHIP_MODULE + "take_over", fault=True
        ),
        Action("silent_owner_replaced", _replace_failed_owner, OWNERSHIP_MODULE + "take_over"),
        Action("send_start", _send_start, JOURNAL_MODULE + "commit_batch"),
        Action("commit_lands", _deliver_commit, JOURNAL_MODULE + "commit_batch"),
        Action("settle", _settle, JOURNAL_MODULE + "settle_batch"),
        Action("store_refuses", _refuse_commit, fault=True),
        Action("answer_lost", _lose_answer, fault=True),
        Action("commit_lost", _lose_commit, fault=True),
        Action("entry_crashes", _crash, fault=True),
        Action(
            "zone_out", _zone_out, "laburnumswitch.process.operating.zones.set_zone", fault=True
        ),
    ),
    invariants={
        "never_two_places": _never_two_places,
        "capacity_never_passed": lambda state: _used_capacity(state) <= WORKER_CAPACITY,
        "no_start_after_zone_out": lambda state: not state.started_late,
        "acknowledged_is_kept": lambda state: state.acknowledged <= set(state.journal),
    },
    goal=lambda state: state.zone != ZONE_IN or len(state.journal) > 0,
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

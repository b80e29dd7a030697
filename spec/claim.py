"""One order that is not idempotent, sent under one key through several entries.

Every write of the claim's row travels: it may land late, after its sender gave up, or never. The
last attempt stands for a caller who repeats an order once faults have stopped.
"""

from collections.abc import Iterator
from typing import Any
from typing import Literal
from typing import NamedTuple

from spec.model import Action
from spec.model import Guards
from spec.model import Model
from spec.model import Mutation
from spec.model import PROGRESS

ATTEMPTS = 3
MAX_WRITES = 2
MAX_LOST = 1
ABSENT = 0
NOBODY = -1
MODULE = "laburnumswitch.request.claim."

RowState = Literal["absent", "claimed", "answered", "unknown", "released"]
Phase = Literal["idle", "claiming", "unsettled", "held", "sent", "crashed"]
Told = Literal["", "answer", "not_run", "unknown", "in_progress"]


class Row(NamedTuple):
    """The claim's row."""

    version: int = ABSENT
    state: RowState = "absent"
    attempt: int = NOBODY


class Write(NamedTuple):
    """A conditional write of the row on its way; ``number`` tells repeats apart."""

    attempt: int
    state: RowState
    version: int
    number: int = 0


class Attempt(NamedTuple):
    """One attempt, in an entry of its own. ``finish`` is the write that it still owes.

    ``version`` is that of the row which the attempt holds, or which its claim is conditional on.
    """

    phase: Phase = "idle"
    version: int = ABSENT
    writes: int = 0
    finish: RowState | None = None
    told: Told = ""
    ran: bool = False


class State(NamedTuple):
    """``versions`` is the highest row version so far, since versions are never used again.

    ``calm`` tells that faults are over and the caller repeats the order.
    """

    row: Row = Row()
    versions: int = ABSENT
    wire: frozenset[Write] = frozenset()
    attempts: tuple[Attempt, ...] = (Attempt(),) * ATTEMPTS
    down: bool = False
    lost: int = 0
    crashes: int = 0
    calm: bool = False


def _with(state: State, index: int, attempt: Attempt, **changes: Any) -> State:
    attempts = (*state.attempts[:index], attempt, *state.attempts[index + 1 :])
    return state._replace(attempts=attempts, **changes)


def _first_attempts(state: State, guards: Guards) -> Iterator[State]:
    for index in range(0 if state.calm else ATTEMPTS - 1):
        yield from _begin(state, index, guards)


def _last_attempt(state: State, guards: Guards) -> Iterator[State]:
    if state.calm:
        last = ATTEMPTS - 1
        attempt = state.attempts[last]
        on_its_way = any(write.attempt == last for write in state.wire)
        if attempt.told and not (attempt.ran or attempt.finish or on_its_way):
            yield _with(state, last, Attempt())
        yield from _begin(state, last, guards)
    elif not state.down:
        yield state._replace(calm=True)


def _begin(state: State, index: int, guards: Guards) -> Iterator[State]:
    attempt = state.attempts[index]
    if attempt.phase != "idle" or attempt.told:
        return
    if not state.down:
        yield from _send_claim(state, index, ABSENT)
    elif "claimed_before_dispatch" in guards:
        yield _with(state, index, attempt._replace(told="not_run"))
    else:
        yield _with(state, index, attempt._replace(phase="held"))


def _send_claim(state: State, index: int, version: int) -> Iterator[State]:
    attempt = state.attempts[index]
    write = Write(index, "claimed", version, attempt.writes)
    claiming = attempt._replace(phase="claiming", version=version, writes=attempt.writes + 1)
    yield _with(state, index, claiming, wire=state.wire | {write})


def _land(state: State, guards: Guards) -> Iterator[State]:
    for write in () if state.down else state.wire:
        yield from _apply(state, write, guards)


def _apply(state: State, write: Write, guards: Guards) -> Iterator[State]:
    after = state._replace(wire=state.wire - {write})
    attempt = state.attempts[write.attempt]
    claims = write.state == "claimed"
    guard = "claim_is_conditional" if claims else "release_is_conditional"
    if state.row.version == write.version or guard not in guards:
        version = state.versions + 1
        row = Row(version, write.state, write.attempt)
        if write.state == "absent":
            row = Row()
        after = after._replace(row=row, versions=version)
        if claims and _waits_for(attempt, write):
            after = _with(after, write.attempt, attempt._replace(phase="held", version=version))
        yield after
    elif claims and _waits_for(attempt, write):
        yield from _judge(after, write.attempt, guards)
    else:
        yield after


def _waits_for(attempt: Attempt, write: Write) -> bool:
    return attempt.phase == "claiming" and write.number == attempt.writes - 1


def _judge(state: State, index: int, guards: Guards) -> Iterator[State]:
    attempt, row = state.attempts[index], state.row
    idle = attempt._replace(phase="idle")
    if row.state in ("absent", "released"):
        if attempt.writes < MAX_WRITES:
            yield from _send_claim(state, index, row.version)
        finish = "released" if "released_row_stays" in guards else None
        yield _with(state, index, idle._replace(told="not_run", finish=finish))
    elif row.attempt == index or "attempt_id_compared" not in guards:
        yield _with(state, index, attempt._replace(phase="held", version=row.version))
    elif row.state == "answered":
        yield _with(state, index, idle._replace(told="answer"))
    elif row.state == "unknown":
        yield _with(state, index, idle._replace(told="unknown"))
    else:
        yield _with(state, index, idle._replace(told="in_progress"))


def _lose_answer(state: State, guards: Guards) -> Iterator[State]:
    if state.calm or state.lost >= MAX_LOST:
        return
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "claiming":
            unsettled = attempt._replace(phase="unsettled")
            yield _with(state, index, unsettled, lost=state.lost + 1)


def _lose_write(state: State, guards: Guards) -> Iterator[State]:
    for write in state.wire:
        if not _waits_for(state.attempts[write.attempt], write):
            yield state._replace(wire=state.wire - {write})


def _settle(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "unsettled" and not state.down:
            yield from _judge(state, index, guards)


def _connect_fails(state: State, guards: Guards) -> Iterator[State]:
    if state.calm:
        return
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "held":
            yield _with(state, index, _not_run(attempt, guards))


def _not_run(attempt: Attempt, guards: Guards) -> Attempt:
    finish = "released" if "released_row_stays" in guards else "absent"
    return attempt._replace(phase="idle", told="not_run", finish=finish)


def _dispatch(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "held":
            yield _with(state, index, attempt._replace(phase="sent"))


def _run(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "sent":
            done = attempt._replace(phase="idle", ran=True, told="answer", finish="answered")
            yield _with(state, index, done)


def _exchange_fails(state: State, guards: Guards) -> Iterator[State]:
    if state.calm or state.lost >= MAX_LOST:
        return
    for index, attempt in enumerate(state.attempts):
        if attempt.phase != "sent":
            continue
        for ran in (False, True):
            after = attempt._replace(ran=ran, phase="idle", told="unknown", finish="unknown")
            if "not_run_only_before_first_byte" not in guards:
                after = after._replace(told="not_run")
            if "released_only_before_first_byte" not in guards:
                after = after._replace(finish="released")
            if "never_sent_again" not in guards:
                after = after._replace(phase="held", told="", finish=None)
            yield _with(state, index, after, lost=state.lost + 1)


def _finish(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.finish is None:
            continue
        write = Write(index, attempt.finish, attempt.version)
        if write not in state.wire and not state.down:
            yield _with(state, index, attempt, wire=state.wire | {write})


def _finish_known(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.finish is not None and state.row.version != attempt.version and not state.down:
            yield from _settle_finish(state, index, attempt)


def _settle_finish(state: State, index: int, attempt: Attempt) -> Iterator[State]:
    # A claim that landed after its attempt gave up is withdrawn on the version that it got.
    late = state.row.state == "claimed" and state.row.attempt == index
    if late and attempt.finish == "released":
        yield _with(state, index, attempt._replace(version=state.row.version))
    else:
        yield _with(state, index, attempt._replace(finish=None))


def _crash(state: State, guards: Guards) -> Iterator[State]:
    if state.calm or state.crashes:
        return
    for index, attempt in enumerate(state.attempts):
        if attempt.phase != "idle" or attempt.finish:
            crashed = attempt._replace(phase="crashed", finish=None)
            yield _with(state, index, crashed, crashes=1)


def _store_down(state: State, guards: Guards) -> Iterator[State]:
    if not (state.down or state.calm):
        yield state._replace(down=True)


def _store_up(state: State, guards: Guards) -> Iterator[State]:
    if state.down:
        yield state._replace(down=False)


def _at_most_once(state: State) -> bool:
    return sum(attempt.ran for attempt in state.attempts) <= 1


def _not_run_means_not_run(state: State) -> bool:
    return not any(attempt.told == "not_run" and attempt.ran for attempt in state.attempts)


def _settled(state: State) -> bool:
    # An exchange that broke off and an entry that died are the two accepted causes of "unknown".
    broke_off = any(attempt.told == "unknown" for attempt in state.attempts)
    return broke_off or state.crashes > 0 or any(attempt.ran for attempt in state.attempts)


CLAIM = Model(
    name="claim",
    initial=State(),
    actions=(
        Action("begin", _first_attempts, MODULE + "acquire_claim"),
        Action("repeat", _last_attempt, MODULE + "acquire_claim"),
        Action("write_lands", _land),
        Action("settle", _settle, MODULE + "settle_claim"),
        Action("connect_fails", _connect_fails, MODULE + "release_claim", fault=True),
        Action("dispatch", _dispatch, "laburnumswitch.request.idempotency.deliver_once"),
        Action("upstream_runs", _run, MODULE + "record_answer"),
        Action("exchange_fails", _exchange_fails, MODULE + "record_state", fault=True),
        Action("finish", _finish, MODULE + "release_claim"),
        Action("finish_known", _finish_known, MODULE + "release_claim"),
        Action("answer_lost", _lose_answer, fault=True),
        Action("write_lost", _lose_write, fault=True),
        Action("entry_crashes", _crash, fault=True),
        Action("store_down", _store_down, fault=True),
        Action("store_up", _store_up),
    ),
    invariants={
        "at_most_once": _at_most_once,
        "not_run_means_not_run": _not_run_means_not_run,
    },
    goal=_settled,
    mutations=(
        Mutation("claimed_before_dispatch", "at_most_once"),
        Mutation("claim_is_conditional", "at_most_once"),
        Mutation("release_is_conditional", "at_most_once"),
        Mutation("attempt_id_compared", "at_most_once"),
        Mutation("never_sent_again", "at_most_once"),
        Mutation("released_only_before_first_byte", "at_most_once"),
        Mutation("not_run_only_before_first_byte", "not_run_means_not_run"),
        Mutation("released_row_stays", PROGRESS),
    ),
)

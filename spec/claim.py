"""Model of claims: a request that is not idempotent, sent under one key through several entries.

Each write of the claim row may be applied late, after its sender gave up, or never. The last
attempt represents a caller that repeats the request after all faults have ended.
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
MAX_LOSSES = 1
ABSENT = 0
NO_ATTEMPT = -1
CLAIM_MODULE = "laburnumswitch.request.claim."

RowState = Literal["absent", "claimed", "answered", "unknown", "released"]
Phase = Literal["idle", "claiming", "unsettled", "held", "sent", "crashed"]
Outcome = Literal["", "answer", "not_run", "unknown", "in_progress"]


class Row(NamedTuple):
    """The claim row in the store."""

    version: int = ABSENT
    state: RowState = "absent"
    attempt: int = NO_ATTEMPT


class Write(NamedTuple):
    """A conditional write of the claim row in flight; ``number`` distinguishes retries."""

    attempt: int
    state: RowState
    version: int
    number: int = 0


class Attempt(NamedTuple):
    """One attempt of the request; each runs in a different entry.

    :ivar version: version of the row that the attempt holds or that its claim is conditional on.
    :ivar pending_write: the row state that the attempt still has to write.
    """

    phase: Phase = "idle"
    version: int = ABSENT
    writes: int = 0
    pending_write: RowState | None = None
    outcome: Outcome = ""
    ran: bool = False


class State(NamedTuple):
    """State of the claim row, the writes in flight and the attempts.

    :ivar last_version: highest row version so far; versions are never reused.
    :ivar faults_ended: faults have ended and the caller repeats the request.
    """

    row: Row = Row()
    last_version: int = ABSENT
    in_flight: frozenset[Write] = frozenset()
    attempts: tuple[Attempt, ...] = (Attempt(),) * ATTEMPTS
    store_is_down: bool = False
    losses: int = 0
    crashes: int = 0
    faults_ended: bool = False


def _with_attempt(state: State, index: int, attempt: Attempt, **changes: Any) -> State:
    attempts = (*state.attempts[:index], attempt, *state.attempts[index + 1 :])
    return state._replace(attempts=attempts, **changes)


def _begin_first_attempts(state: State, guards: Guards) -> Iterator[State]:
    for index in range(0 if state.faults_ended else ATTEMPTS - 1):
        yield from _begin(state, index, guards)


def _repeat_last_attempt(state: State, guards: Guards) -> Iterator[State]:
    if state.faults_ended:
        last = ATTEMPTS - 1
        attempt = state.attempts[last]
        has_write_in_flight = any(write.attempt == last for write in state.in_flight)
        if attempt.outcome and not (attempt.ran or attempt.pending_write or has_write_in_flight):
            yield _with_attempt(state, last, Attempt())
        yield from _begin(state, last, guards)
    elif not state.store_is_down:
        yield state._replace(faults_ended=True)


def _begin(state: State, index: int, guards: Guards) -> Iterator[State]:
    attempt = state.attempts[index]
    if attempt.phase != "idle" or attempt.outcome:
        return
    if not state.store_is_down:
        yield from _send_claim(state, index, ABSENT)
    elif "claimed_before_dispatch" in guards:
        yield _with_attempt(state, index, attempt._replace(outcome="not_run"))
    else:
        yield _with_attempt(state, index, attempt._replace(phase="held"))


def _send_claim(state: State, index: int, version: int) -> Iterator[State]:
    attempt = state.attempts[index]
    write = Write(index, "claimed", version, attempt.writes)
    claiming = attempt._replace(phase="claiming", version=version, writes=attempt.writes + 1)
    yield _with_attempt(state, index, claiming, in_flight=state.in_flight | {write})


def _deliver_write(state: State, guards: Guards) -> Iterator[State]:
    for write in () if state.store_is_down else state.in_flight:
        yield from _apply_write(state, write, guards)


def _apply_write(state: State, write: Write, guards: Guards) -> Iterator[State]:
    after = state._replace(in_flight=state.in_flight - {write})
    attempt = state.attempts[write.attempt]
    is_claim = write.state == "claimed"
    guard = "claim_is_conditional" if is_claim else "release_is_conditional"
    if state.row.version == write.version or guard not in guards:
        version = state.last_version + 1
        row = Row(version, write.state, write.attempt)
        if write.state == "absent":
            row = Row()
        after = after._replace(row=row, last_version=version)
        if is_claim and _awaits(attempt, write):
            after = _with_attempt(
                after, write.attempt, attempt._replace(phase="held", version=version)
            )
        yield after
    elif is_claim and _awaits(attempt, write):
        yield from _resolve_claim(after, write.attempt, guards)
    else:
        yield after


def _awaits(attempt: Attempt, write: Write) -> bool:
    return attempt.phase == "claiming" and write.number == attempt.writes - 1


def _resolve_claim(state: State, index: int, guards: Guards) -> Iterator[State]:
    attempt, row = state.attempts[index], state.row
    idle = attempt._replace(phase="idle")
    if row.state in ("absent", "released"):
        if attempt.writes < MAX_WRITES:
            yield from _send_claim(state, index, row.version)
        pending_write = "released" if "released_row_stays" in guards else None
        yield _with_attempt(
            state, index, idle._replace(outcome="not_run", pending_write=pending_write)
        )
    elif row.attempt == index or "attempt_id_compared" not in guards:
        yield _with_attempt(state, index, attempt._replace(phase="held", version=row.version))
    elif row.state == "answered":
        yield _with_attempt(state, index, idle._replace(outcome="answer"))
    elif row.state == "unknown":
        yield _with_attempt(state, index, idle._replace(outcome="unknown"))
    else:
        yield _with_attempt(state, index, idle._replace(outcome="in_progress"))


def _lose_answer(state: State, guards: Guards) -> Iterator[State]:
    if state.faults_ended or state.losses >= MAX_LOSSES:
        return
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "claiming":
            unsettled = attempt._replace(phase="unsettled")
            yield _with_attempt(state, index, unsettled, losses=state.losses + 1)


def _lose_write(state: State, guards: Guards) -> Iterator[State]:
    for write in state.in_flight:
        if not _awaits(state.attempts[write.attempt], write):
            yield state._replace(in_flight=state.in_flight - {write})


def _settle(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "unsettled" and not state.store_is_down:
            yield from _resolve_claim(state, index, guards)


def _connect_fails(state: State, guards: Guards) -> Iterator[State]:
    if state.faults_ended:
        return
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "held":
            yield _with_attempt(state, index, _with_not_run(attempt, guards))


def _with_not_run(attempt: Attempt, guards: Guards) -> Attempt:
    pending_write = "released" if "released_row_stays" in guards else "absent"
    return attempt._replace(phase="idle", outcome="not_run", pending_write=pending_write)


def _dispatch(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "held":
            yield _with_attempt(state, index, attempt._replace(phase="sent"))


def _upstream_runs(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == "sent":
            done = attempt._replace(
                phase="idle", ran=True, outcome="answer", pending_write="answered"
            )
            yield _with_attempt(state, index, done)


def _exchange_fails(state: State, guards: Guards) -> Iterator[State]:
    if state.faults_ended or state.losses >= MAX_LOSSES:
        return
    for index, attempt in enumerate(state.attempts):
        if attempt.phase != "sent":
            continue
        for ran in (False, True):
            after = attempt._replace(
                ran=ran, phase="idle", outcome="unknown", pending_write="unknown"
            )
            if "not_run_only_before_first_byte" not in guards:
                after = after._replace(outcome="not_run")
            if "released_only_before_first_byte" not in guards:
                after = after._replace(pending_write="released")
            if "never_sent_again" not in guards:
                after = after._replace(phase="held", outcome="", pending_write=None)
            yield _with_attempt(state, index, after, losses=state.losses + 1)


def _send_pending_write(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if attempt.pending_write is None:
            continue
        write = Write(index, attempt.pending_write, attempt.version)
        if write not in state.in_flight and not state.store_is_down:
            yield _with_attempt(state, index, attempt, in_flight=state.in_flight | {write})


def _confirm_pending_write(state: State, guards: Guards) -> Iterator[State]:
    for index, attempt in enumerate(state.attempts):
        if (
            attempt.pending_write is not None
            and state.row.version != attempt.version
            and not state.store_is_down
        ):
            yield from _resolve_pending_write(state, index, attempt)


def _resolve_pending_write(state: State, index: int, attempt: Attempt) -> Iterator[State]:
    # A claim that was applied after its attempt gave up is released at the version it received.
    is_late_claim = state.row.state == "claimed" and state.row.attempt == index
    if is_late_claim and attempt.pending_write == "released":
        yield _with_attempt(state, index, attempt._replace(version=state.row.version))
    else:
        yield _with_attempt(state, index, attempt._replace(pending_write=None))


def _crash(state: State, guards: Guards) -> Iterator[State]:
    if state.faults_ended or state.crashes:
        return
    for index, attempt in enumerate(state.attempts):
        if attempt.phase != "idle" or attempt.pending_write:
            crashed = attempt._replace(phase="crashed", pending_write=None)
            yield _with_attempt(state, index, crashed, crashes=1)


def _store_down(state: State, guards: Guards) -> Iterator[State]:
    if not (state.store_is_down or state.faults_ended):
        yield state._replace(store_is_down=True)


def _store_up(state: State, guards: Guards) -> Iterator[State]:
    if state.store_is_down:
        yield state._replace(store_is_down=False)


def _at_most_once(state: State) -> bool:
    return sum(attempt.ran for attempt in state.attempts) <= 1


def _not_run_means_not_run(state: State) -> bool:
    return not any(attempt.outcome == "not_run" and attempt.ran for attempt in state.attempts)


def _goal_reached(state: State) -> bool:
    # An interrupted exchange and a crashed entry are the two accepted causes of "unknown".
    broke_off = any(attempt.outcome == "unknown" for attempt in state.attempts)
    return broke_off or state.crashes > 0 or any(attempt.ran for attempt in state.attempts)


CLAIM = Model(
    name="claim",
    initial=State(),
    actions=(
        Action("begin", _begin_first_attempts, CLAIM_MODULE + "acquire_claim"),
        Action("repeat", _repeat_last_attempt, CLAIM_MODULE + "acquire_claim"),
        Action("write_lands", _deliver_write),
        Action("settle", _settle, CLAIM_MODULE + "settle_claim"),
        Action("connect_fails", _connect_fails, CLAIM_MODULE + "release_claim", fault=True),
        Action("dispatch", _dispatch, "laburnumswitch.request.idempotency.deliver_once"),
        Action("upstream_runs", _upstream_runs, CLAIM_MODULE + "record_answer"),
        Action("exchange_fails", _exchange_fails, CLAIM_MODULE + "record_state", fault=True),
        Action("finish", _send_pending_write, CLAIM_MODULE + "release_claim"),
        Action("finish_known", _confirm_pending_write, CLAIM_MODULE + "release_claim"),
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
    goal=_goal_reached,
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

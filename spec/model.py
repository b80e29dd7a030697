"""Describes protocols as guarded actions and checks them exhaustively within bounds.

A state is a ``NamedTuple`` of hashable values. Each guard of a protocol has a name. A model is
checked once with all guards and once without each of them; each removal must violate a property.
"""

from collections.abc import Callable
from collections.abc import Iterable
from functools import cache
from typing import Any
from typing import NamedTuple

from minicheck import check_liveness
from minicheck import check_safety
from minicheck import Protocol
from minicheck._core import SearchIncomplete

MAX_STATES = 1_000_000
PROGRESS = "progress"
UNDETERMINED = "undetermined"

Guards = frozenset[str]
Successors = Callable[[Any, Guards], Iterable[Any]]


class Action(NamedTuple):
    """One kind of step.

    :ivar function: dotted name of the implementation, empty for steps of the environment.
    :ivar fault: whether the step no longer occurs once faults have ended.
    """

    name: str
    successors: Successors
    function: str = ""
    fault: bool = False


class Mutation(NamedTuple):
    """The removal of a guard or action, and the property that it must violate."""

    removed: str
    refutes: str


class Model(NamedTuple):
    """One protocol with its properties.

    :ivar goal: must be reachable without further faults from every reachable state.
    :ivar goal_is_stable: the goal, once reached, holds permanently, even under faults; the progress
        check does not search beyond it.
    """

    name: str
    initial: Any
    actions: tuple[Action, ...]
    invariants: dict[str, Callable[[Any], bool]]
    goal: Callable[[Any], bool]
    mutations: tuple[Mutation, ...]
    goal_is_stable: bool = True

    @property
    def guards(self) -> Guards:
        """Return the names of all guards, without those of removable actions."""
        names = {action.name for action in self.actions}
        return frozenset(each.removed for each in self.mutations) - names


class Step(NamedTuple):
    """One step of a trace and the state that it leads to."""

    action: str
    state: Any


class Finding(NamedTuple):
    """Result of one check; ``trace`` is the shortest counterexample of the broken property."""

    model: str
    removed: str
    states: int
    exhaustive: bool
    broken: str
    trace: tuple[Step, ...]


class _PropertyRefuted(SearchIncomplete):
    """Stops the search once the property is refuted."""


def check(model: Model, max_states: int = MAX_STATES) -> Finding:
    """Check every invariant, then progress, with all guards and actions."""
    protocol = _build_protocol(model, model.actions, model.guards, model.invariants)
    safety = check_safety(protocol, max_states=max_states)
    for name, result in safety["properties"].items():
        if result["holds"] is False:
            trace = _extract_trace(model, result["counterexample"])
            return Finding(model.name, "", safety["reachable_states"], True, name, trace)
    if not safety["exhaustive"]:
        return Finding(model.name, "", safety["reachable_states"], False, UNDETERMINED, ())
    progress = _check_progress(model, model.actions, model.guards)
    return progress._replace(states=safety["reachable_states"])


def refute(model: Model, mutation: Mutation) -> Finding:
    """Check the protocol without one guard or action until the expected property is violated."""
    actions = tuple(each for each in model.actions if each.name != mutation.removed)
    guards = model.guards - {mutation.removed}
    if mutation.refutes == PROGRESS:
        return _check_progress(model, actions, guards)._replace(removed=mutation.removed)
    broken: list[bool] = []
    invariant = model.invariants[mutation.refutes]

    def observed(state: Any) -> bool:
        holds = invariant(state)
        if not holds:
            broken.append(True)
        return holds

    protocol = _build_protocol(
        model, actions, guards, {mutation.refutes: observed}, lambda: bool(broken)
    )
    safety = check_safety(protocol, max_states=MAX_STATES)
    result = safety["properties"][mutation.refutes]
    name = mutation.refutes if result["holds"] is False else ""
    trace = _extract_trace(model, result["counterexample"])
    states = safety["reachable_states"]
    return Finding(model.name, mutation.removed, states, safety["exhaustive"], name, trace)


def _build_protocol(
    model: Model,
    actions: tuple[Action, ...],
    guards: Guards,
    invariants: dict[str, Callable[[Any], bool]],
    done: Callable[[], bool] = lambda: False,
) -> Protocol:
    steps = tuple((action.name, action.successors) for action in actions)

    def transitions(wrapped: tuple[Any]) -> list[tuple[str, tuple[Any]]]:
        if done():
            raise _PropertyRefuted("the property is refuted")
        return [
            (name, (successor,))
            for name, successors in steps
            for successor in successors(wrapped[0], guards)
        ]

    predicates = {name: _on_state(predicate) for name, predicate in invariants.items()}
    return Protocol(model.name, False, ("state",), (model.initial,), transitions, predicates)


def _check_progress(model: Model, actions: tuple[Action, ...], guards: Guards) -> Finding:
    all_steps = tuple((action.name, action.successors) for action in actions)
    fault_free_steps = tuple((each.name, each.successors) for each in actions if not each.fault)

    # The liveness check asks for the successors of every state twice.
    @cache
    def transitions(wrapped: tuple[Any, bool]) -> list[tuple[str, tuple[Any, bool]]]:
        state, faults = wrapped
        if model.goal(state) and (model.goal_is_stable or not faults):
            return []
        found = [
            (name, (successor, faults))
            for name, successors in (all_steps if faults else fault_free_steps)
            for successor in successors(state, guards)
        ]
        if faults:
            found.append(("faults_stop", (state, False)))
        return found

    protocol = Protocol(
        model.name,
        False,
        ("state", "faults"),
        (model.initial, True),
        transitions,
        {},
        lambda values: model.goal(values["state"])
        and (model.goal_is_stable or not values["faults"]),
    )
    result = check_liveness(protocol)
    holds = result["holds"]
    trace = _extract_trace(model, result.get("counterexample"))
    states = result.get("reachable_states", 0)
    broken = {True: "", False: PROGRESS, None: UNDETERMINED}[holds]
    return Finding(model.name, "", states, holds is not None, broken, trace)


def _on_state(predicate: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
    return lambda values: predicate(values["state"])


def _extract_trace(model: Model, counterexample: list[dict[str, Any]] | None) -> tuple[Step, ...]:
    steps = counterexample or []
    return tuple(Step(step["label"] or "start", step["state"]["state"]) for step in steps)

"""Walks through a model: random ones of the whole protocol, and the traces of its mutations."""

from random import Random

from spec.model import Model
from spec.model import refute
from spec.model import Step

RARE_SHARE = 0.05


def random_walk(
    model: Model, random: Random, length: int, rare: frozenset[str] = frozenset()
) -> tuple[Step, ...]:
    """Return a walk of at most ``length`` steps with all guards in force.

    :param rare: actions that are left out of most choices, since they end what is interesting.
    """
    state = model.initial
    steps = [Step("start", state)]
    for _ in range(length):
        successors = [
            Step(action.name, successor)
            for action in model.actions
            if action.name not in rare or random.random() < RARE_SHARE
            for successor in action.successors(state, model.guards)
        ]
        if not successors:
            break
        steps.append(random.choice(successors))
        state = steps[-1].state
    return tuple(steps)


def mutant_traces(model: Model) -> dict[str, tuple[Step, ...]]:
    """Return the shortest trace of each removed guard that breaks an invariant."""
    return {
        mutation.removed: refute(model, mutation).trace
        for mutation in model.mutations
        if mutation.refutes in model.invariants
    }

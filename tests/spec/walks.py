"""Traces of a model: random walks of the whole protocol, and counterexamples of its mutations."""

from random import Random

from spec.model import Model
from spec.model import refute
from spec.model import Step

RARE_PROBABILITY = 0.05


def random_walk(
    model: Model, random: Random, length: int, rare: frozenset[str] = frozenset()
) -> tuple[Step, ...]:
    """Return a random walk of at most ``length`` steps with all guards in force.

    :param rare: actions that are left out of most choices, since few other steps can follow them.
    """
    state = model.initial
    steps = [Step("start", state)]
    for _ in range(length):
        successors = [
            Step(action.name, successor)
            for action in model.actions
            if action.name not in rare or random.random() < RARE_PROBABILITY
            for successor in action.successors(state, model.guards)
        ]
        if not successors:
            break
        steps.append(random.choice(successors))
        state = steps[-1].state
    return tuple(steps)


def mutant_traces(model: Model) -> dict[str, tuple[Step, ...]]:
    """Return the shortest counterexample of each mutation that violates an invariant."""
    return {
        mutation.removed: refute(model, mutation).trace
        for mutation in model.mutations
        if mutation.refutes in model.invariants
    }

"""How much the tasks on one worker slow each other down.

Every pair of kinds has its own coefficient, drawn once from the seed, so that a scheduler has to
learn it. A task's slowdown grows with the share of the processors that each kind beside it uses.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

MILD_COEFFICIENT = 0.2
HARSH_COEFFICIENT = 2.0
HARSH_PROBABILITY = 0.2


class Load(NamedTuple):
    """What one task uses now; ``kind`` names its program."""

    kind: str
    cpu_millis: int


Coefficient = Callable[[str, str], float]


def draw_coefficients(seed: int) -> Coefficient:
    """Return the coefficient by victim's kind and neighbour's kind; the same for the same seed."""

    def coefficient(victim: str, neighbour: str) -> float:
        random = Random(f"{seed}/{victim}/{neighbour}")
        if random.random() < HARSH_PROBABILITY:
            return HARSH_COEFFICIENT * random.uniform(0.7, 1.3)
        return MILD_COEFFICIENT * random.uniform(0.2, 1.8)

    by_pair: dict[tuple[str, str], float] = {}

    def remembered(victim: str, neighbour: str) -> float:
        pair = (victim, neighbour)
        if pair not in by_pair:
            by_pair[pair] = coefficient(victim, neighbour)
        return by_pair[pair]

    return remembered


def slowdowns(loads: list[Load], cpu_millis: int, coefficient: Coefficient) -> list[float]:
    """Return the slowdown of each load beside the others on a worker of ``cpu_millis``."""
    use_by_kind: dict[str, int] = {}
    for load in loads:
        use_by_kind[load.kind] = use_by_kind.get(load.kind, 0) + load.cpu_millis
    overload = max(1.0, sum(use_by_kind.values()) / cpu_millis)
    return [_slowdown(load, use_by_kind, cpu_millis, coefficient) * overload for load in loads]


def _slowdown(
    load: Load, use_by_kind: dict[str, int], cpu_millis: int, coefficient: Coefficient
) -> float:
    pressure = 0.0
    for kind, use in use_by_kind.items():
        beside = use - load.cpu_millis if kind == load.kind else use
        pressure += coefficient(load.kind, kind) * beside / cpu_millis
    return 1.0 + pressure

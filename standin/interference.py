"""Model of the interference between tasks on one worker.

Every pair of programs has its own coefficient, drawn from the seed, which a scheduler has to learn.
A task's slowdown grows with the share of the worker's CPU that each neighbouring program uses. If
the tasks together use more CPU than the worker has, all of them also slow down by that ratio.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

MILD_COEFFICIENT = 0.2
HARSH_COEFFICIENT = 2.0
HARSH_PROBABILITY = 0.2


class TaskLoad(NamedTuple):
    """Current CPU use of one task; ``program`` is the program's name."""

    program: str
    cpu_millis: int


Coefficient = Callable[[str, str], float]


def draw_coefficients(seed: int) -> Coefficient:
    """Return a function from the victim's and the neighbour's program to the coefficient.

    The same seed gives the same coefficients.
    """

    def coefficient(victim: str, neighbour: str) -> float:
        random = Random(f"{seed}/{victim}/{neighbour}")
        if random.random() < HARSH_PROBABILITY:
            return HARSH_COEFFICIENT * random.uniform(0.7, 1.3)
        return MILD_COEFFICIENT * random.uniform(0.2, 1.8)

    coefficient_by_pair: dict[tuple[str, str], float] = {}

    def cached(victim: str, neighbour: str) -> float:
        pair = (victim, neighbour)
        if pair not in coefficient_by_pair:
            coefficient_by_pair[pair] = coefficient(victim, neighbour)
        return coefficient_by_pair[pair]

    return cached


def slowdowns(loads: list[TaskLoad], cpu_millis: int, coefficient: Coefficient) -> list[float]:
    """Return the slowdown of each load by the others on a worker of ``cpu_millis``."""
    cpu_by_program: dict[str, int] = {}
    for load in loads:
        cpu_by_program[load.program] = cpu_by_program.get(load.program, 0) + load.cpu_millis
    overload = max(1.0, sum(cpu_by_program.values()) / cpu_millis)
    return [_slowdown(load, cpu_by_program, cpu_millis, coefficient) * overload for load in loads]


def _slowdown(
    load: TaskLoad, cpu_by_program: dict[str, int], cpu_millis: int, coefficient: Coefficient
) -> float:
    pressure = 0.0
    for program, cpu_millis_in_use in cpu_by_program.items():
        neighbour_cpu_millis = (
            cpu_millis_in_use - load.cpu_millis if program == load.program else cpu_millis_in_use
        )
        pressure += coefficient(load.program, program) * neighbour_cpu_millis / cpu_millis
    return 1.0 + pressure

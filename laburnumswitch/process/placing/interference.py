"""Learned slowdown of one class of work by another on the same worker.

A class is the name of a job or service. The model is linear: the slowdown of a victim is 1 plus the
sum over the classes beside it of a coefficient times their share of the worker's processors.
Coefficients are learned from lagging reports and shrink to what the aggressor did to other victims,
and that to a prior.
"""

from collections.abc import Mapping

from msgspec import Struct

PRIOR = 0.4
PRIOR_WEIGHT = 4.0
LEARNING_RATE = 0.25
GENERAL_RATE = 0.1
MAX_COEFFICIENT = 8.0
MIN_SHARE = 0.01


class _Coefficient(Struct):
    value: float
    observations: float = 0.0


class Interference:
    """Coefficients by victim and aggressor."""

    def __init__(self) -> None:
        self._by_pair: dict[tuple[str, str], _Coefficient] = {}
        self._by_aggressor: dict[str, _Coefficient] = {}
        # Shrunk values, as of the last time that the pair or the aggressor was observed: placement
        # reads many coefficients for each one that is learned.
        self._value_by_pair: dict[tuple[str, str], float] = {}
        self._value_by_aggressor: dict[str, float] = {}

    def coefficient(self, victim: str, aggressor: str) -> float:
        """Return the expected slowdown of ``victim`` beside a whole worker of ``aggressor``."""
        value = self._value_by_pair.get((victim, aggressor))
        if value is not None:
            return value
        return self._value_by_aggressor.get(aggressor, PRIOR)

    def slowdown(self, victim: str, share_by_class: Mapping[str, float]) -> float:
        """Return the expected slowdown of a victim, at least 1.

        :param share_by_class: share of the worker's processors of each class beside the victim.
        """
        parts = (self.coefficient(victim, name) * share for name, share in share_by_class.items())
        return 1.0 + sum(parts)

    def observe(self, victim: str, slowdown: float, share_by_class: Mapping[str, float]) -> None:
        """Learn from one measured slowdown, which is distributed by share."""
        norm = sum(share * share for share in share_by_class.values())
        if norm < MIN_SHARE * MIN_SHARE:
            return
        error = slowdown - self.slowdown(victim, share_by_class)
        for aggressor, share in share_by_class.items():
            if not share:
                continue
            step = LEARNING_RATE * error * share / norm
            prior = self._value_by_aggressor.get(aggressor, PRIOR)
            pair = (victim, aggressor)
            learned = _learn(self._by_pair, pair, prior, step)
            self._value_by_pair[pair] = _shrink(learned, prior)
            self._generalise(aggressor, learned.value)

    def _generalise(self, aggressor: str, value: float) -> None:
        known = self._by_aggressor.get(aggressor)
        step = GENERAL_RATE * (value - (known.value if known else PRIOR))
        general = _learn(self._by_aggressor, aggressor, PRIOR, step)
        self._value_by_aggressor[aggressor] = _shrink(general, PRIOR)

    def pairs(self) -> dict[tuple[str, str], float]:
        """Return every learned coefficient, for operators."""
        return {pair: self.coefficient(*pair) for pair in self._by_pair}


def _shrink(learned: _Coefficient, prior: float) -> float:
    weight = learned.observations / (learned.observations + PRIOR_WEIGHT)
    return weight * learned.value + (1.0 - weight) * prior


def _learn(by_key: dict, key: object, prior: float, step: float) -> _Coefficient:
    learned = by_key.get(key)
    if learned is None:
        learned = by_key[key] = _Coefficient(prior)
    learned.value = min(MAX_COEFFICIENT, max(0.0, learned.value + step))
    learned.observations += 1.0
    return learned

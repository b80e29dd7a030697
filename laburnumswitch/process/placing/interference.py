"""Learned slowdown of one class of work by another on the same worker.

A class is the name of a job or service. The model is linear: the slowdown of a victim is 1 plus the
sum, over the classes that run beside it, of a coefficient times their share of the worker's CPU.
Coefficients are learned from delayed usage reports. With few observations, the coefficient of a
pair shrinks towards the mean of the aggressor over all victims, which itself shrinks towards a
fixed prior.
"""

from collections.abc import Mapping

from msgspec import Struct

# Coefficient of a pair about which nothing is known.
PRIOR_COEFFICIENT = 0.4
# The prior weighs as much as this many observations.
PRIOR_WEIGHT = 4.0
LEARNING_RATE = 0.25
AGGRESSOR_LEARNING_RATE = 0.1
MAX_COEFFICIENT = 8.0
# Nothing is learned if the Euclidean norm of the shares of the other classes is smaller.
MIN_SHARE_NORM = 0.01


class _Coefficient(Struct):
    value: float
    observations: float = 0.0


class Interference:
    """Coefficients by victim and aggressor."""

    def __init__(self) -> None:
        self._learned_by_pair: dict[tuple[str, str], _Coefficient] = {}
        self._learned_by_aggressor: dict[str, _Coefficient] = {}
        # Shrunk values, computed when the pair or the aggressor is observed, because placement
        # reads coefficients far more often than they change.
        self._value_by_pair: dict[tuple[str, str], float] = {}
        self._value_by_aggressor: dict[str, float] = {}

    def coefficient(self, victim: str, aggressor: str) -> float:
        """Return the slowdown added to ``victim`` if ``aggressor`` had a whole worker's CPU."""
        value = self._value_by_pair.get((victim, aggressor))
        if value is not None:
            return value
        return self._value_by_aggressor.get(aggressor, PRIOR_COEFFICIENT)

    def slowdown(self, victim: str, share_by_class: Mapping[str, float]) -> float:
        """Return the expected slowdown of a victim, at least 1.

        :param share_by_class: share of the worker's CPU that each class beside the victim has.
        """
        contributions = (
            self.coefficient(victim, name) * share for name, share in share_by_class.items()
        )
        return 1.0 + sum(contributions)

    def observe(self, victim: str, slowdown: float, share_by_class: Mapping[str, float]) -> None:
        """Learn from one measured slowdown; its error is attributed to the classes by share."""
        squared_norm = sum(share * share for share in share_by_class.values())
        if squared_norm < MIN_SHARE_NORM * MIN_SHARE_NORM:
            return
        error = slowdown - self.slowdown(victim, share_by_class)
        for aggressor, share in share_by_class.items():
            if not share:
                continue
            step = LEARNING_RATE * error * share / squared_norm
            prior = self._value_by_aggressor.get(aggressor, PRIOR_COEFFICIENT)
            pair = (victim, aggressor)
            learned = _learn(self._learned_by_pair, pair, prior, step)
            self._value_by_pair[pair] = _shrink(learned, prior)
            self._update_aggressor(aggressor, learned.value)

    def _update_aggressor(self, aggressor: str, value: float) -> None:
        known = self._learned_by_aggressor.get(aggressor)
        step = AGGRESSOR_LEARNING_RATE * (value - (known.value if known else PRIOR_COEFFICIENT))
        general = _learn(self._learned_by_aggressor, aggressor, PRIOR_COEFFICIENT, step)
        self._value_by_aggressor[aggressor] = _shrink(general, PRIOR_COEFFICIENT)

    def pairs(self) -> dict[tuple[str, str], float]:
        """Return all learned coefficients, for operators."""
        return {pair: self.coefficient(*pair) for pair in self._learned_by_pair}


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

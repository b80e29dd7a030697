"""Baseline routing policies behind the same function type as the product's policy.

None of them limits what an upstream has outstanding, so none of them ever makes a request wait.
"""

from collections.abc import Callable
from itertools import count
from random import Random

from laburnumswitch.declaration import Service
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from laburnumswitch.request.routing import ChooseUpstream
from laburnumswitch.upstream import Upstream

PolicyFactory = Callable[[UpstreamStateRegistry, Random], ChooseUpstream]


def at_random(_states: UpstreamStateRegistry, random: Random) -> ChooseUpstream:
    """Return the policy that takes any upstream."""

    def choose(
        _service: Service, upstreams: tuple[Upstream, ...], tried: frozenset[str]
    ) -> Upstream | None:
        left = _untried(upstreams, tried)
        return random.choice(left) if left else None

    return choose


def round_robin(_states: UpstreamStateRegistry, random: Random) -> ChooseUpstream:
    """Return the policy that takes the upstreams in turn."""
    turns = count(random.randrange(1_000))

    def choose(
        _service: Service, upstreams: tuple[Upstream, ...], tried: frozenset[str]
    ) -> Upstream | None:
        left = _untried(upstreams, tried)
        return left[next(turns) % len(left)] if left else None

    return choose


def least_outstanding(states: UpstreamStateRegistry, random: Random) -> ChooseUpstream:
    """Return the policy that takes an upstream with the fewest requests outstanding."""

    def choose(
        _service: Service, upstreams: tuple[Upstream, ...], tried: frozenset[str]
    ) -> Upstream | None:
        left = _untried(upstreams, tried)
        if not left:
            return None
        return min(left, key=lambda each: (states.of(each).outstanding, random.random()))

    return choose


BASELINES: dict[str, PolicyFactory] = {
    "random": at_random,
    "round_robin": round_robin,
    "least_outstanding": least_outstanding,
}


def _untried(upstreams: tuple[Upstream, ...], tried: frozenset[str]) -> list[Upstream]:
    return [each for each in upstreams if not each.leaving and each.upstream_id not in tried]

"""Baseline routing policies with the interface of the product's policy.

None of them limits the outstanding requests per upstream, so requests never wait in a queue.
"""

from collections.abc import Callable
from itertools import count
from random import Random

from laburnumswitch.declaration import Service
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from laburnumswitch.request.routing import ChooseUpstream
from laburnumswitch.upstream import Upstream

PolicyFactory = Callable[[UpstreamStateRegistry, Random], ChooseUpstream]


def random_choice(_states: UpstreamStateRegistry, random: Random) -> ChooseUpstream:
    """Return a policy that chooses an upstream at random."""

    def choose(
        _service: Service, upstreams: tuple[Upstream, ...], tried: frozenset[str]
    ) -> Upstream | None:
        candidates = _untried(upstreams, tried)
        return random.choice(candidates) if candidates else None

    return choose


def round_robin(_states: UpstreamStateRegistry, random: Random) -> ChooseUpstream:
    """Return a policy that chooses the upstreams by round robin."""
    turns = count(random.randrange(1_000))

    def choose(
        _service: Service, upstreams: tuple[Upstream, ...], tried: frozenset[str]
    ) -> Upstream | None:
        candidates = _untried(upstreams, tried)
        return candidates[next(turns) % len(candidates)] if candidates else None

    return choose


def least_outstanding(states: UpstreamStateRegistry, random: Random) -> ChooseUpstream:
    """Return a policy that chooses an upstream with the fewest outstanding requests."""

    def choose(
        _service: Service, upstreams: tuple[Upstream, ...], tried: frozenset[str]
    ) -> Upstream | None:
        candidates = _untried(upstreams, tried)
        if not candidates:
            return None
        return min(candidates, key=lambda each: (states.of(each).outstanding, random.random()))

    return choose


ROUTING_BASELINES: dict[str, PolicyFactory] = {
    "random": random_choice,
    "round_robin": round_robin,
    "least_outstanding": least_outstanding,
}


def _untried(upstreams: tuple[Upstream, ...], tried: frozenset[str]) -> list[Upstream]:
    return [each for each in upstreams if not each.leaving and each.upstream_id not in tried]

"""Chooses the upstream of a request."""

from collections.abc import Callable
from random import Random

from laburnumswitch.declaration import Service
from laburnumswitch.process.workers.upstream_state import SLOW_START_S
from laburnumswitch.process.workers.upstream_state import UpstreamState
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from laburnumswitch.upstream import Upstream

# Returns an upstream with room, or ``None``. The third argument holds the ids of upstreams that
# the request has tried already.
ChooseUpstream = Callable[[Service, tuple[Upstream, ...], frozenset[str]], Upstream | None]

SAMPLES = 2
TRIES = 6
OWN_ZONE_MAX_USE = 0.75
ERROR_PENALTY = 10.0
LOAD_PENALTY = 1.0
SLOW_START_MIN = 0.1


class _Fleet:
    """The upstreams of one service, split by zone; rebuilt whenever they change."""

    def __init__(
        self, upstreams: tuple[Upstream, ...], states: UpstreamStateRegistry, availability_zone: str
    ) -> None:
        self.upstreams = upstreams
        self.all = [states.of(upstream) for upstream in upstreams if not upstream.leaving]
        self.near = [
            state for state in self.all if state.upstream.availability_zone == availability_zone
        ]


def two_choices(
    states: UpstreamStateRegistry,
    availability_zone: str,
    zone_is_out: Callable[[str], bool],
    clock: Callable[[], float],
    random: Random,
) -> ChooseUpstream:
    """Return the policy: the better of two random upstreams with room, those of the own zone first.

    The better one has the lower product of use and smoothed latency.
    """
    fleet_by_service: dict[str, _Fleet] = {}

    def choose(
        service: Service, upstreams: tuple[Upstream, ...], tried: frozenset[str]
    ) -> Upstream | None:
        fleet = fleet_by_service.get(service.name)
        if fleet is None or fleet.upstreams is not upstreams:
            fleet = _Fleet(upstreams, states, availability_zone)
            fleet_by_service[service.name] = fleet
        now_s = clock()

        def usable(state: UpstreamState) -> bool:
            return _is_usable(state, now_s, tried, zone_is_out)

        def ready(state: UpstreamState) -> bool:
            return usable(state) and _says_ready(state, now_s)

        def lightly_used(state: UpstreamState) -> bool:
            return state.outstanding < state.concurrency_limit * OWN_ZONE_MAX_USE and ready(state)

        state = _better_of_two(fleet.near, lightly_used, now_s, random)
        if state is None:
            state = _better_of_two(fleet.all, ready, now_s, random)
        if state is None and not any(_says_ready(each, now_s) for each in fleet.all):
            # Reports that leave a service without any upstream are not believed.
            state = _better_of_two(fleet.all, usable, now_s, random)
        return None if state is None else state.upstream

    return choose


def _better_of_two(
    states: list[UpstreamState],
    usable: Callable[[UpstreamState], bool],
    now_s: float,
    random: Random,
) -> UpstreamState | None:
    if not states:
        return None
    found: list[UpstreamState] = []
    for _ in range(TRIES):
        state = states[int(random.random() * len(states))]
        if state not in found and usable(state):
            found.append(state)
            if len(found) == SAMPLES:
                break
    if not found:
        found = [state for state in states if usable(state)]
    if len(found) < SAMPLES:
        return found[0] if found else None
    return min(found, key=lambda state: _score(state, now_s))


def _is_usable(
    state: UpstreamState,
    now_s: float,
    tried: frozenset[str],
    zone_is_out: Callable[[str], bool],
) -> bool:
    if state.outstanding >= int(state.concurrency_limit) or now_s < state.ejected_until_s:
        return False
    if state.is_withheld(now_s):
        return False
    upstream = state.upstream
    if upstream.upstream_id in tried or state.leaving:
        return False
    return not zone_is_out(upstream.availability_zone)


def _says_ready(state: UpstreamState, now_s: float) -> bool:
    reported = state.valid_report(now_s)
    return reported is None or reported.ready


def _score(state: UpstreamState, now_s: float) -> float:
    score = (state.outstanding + 1) / state.concurrency_limit * state.latency_s
    score *= 1.0 + ERROR_PENALTY * state.error_rate
    reported = state.valid_report(now_s)
    if reported is not None and reported.load is not None:
        # A report may only make an upstream less attractive than its measurements.
        score *= 1.0 + LOAD_PENALTY * reported.load
    age_s = now_s - state.slow_start_since_s
    if age_s < SLOW_START_S:
        score /= max(SLOW_START_MIN, age_s / SLOW_START_S)
    return score

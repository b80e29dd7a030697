"""Load balancing: chooses the upstream for a request."""

from collections.abc import Callable
from random import Random

from laburnumswitch.declaration import Service
from laburnumswitch.process.workers.upstream_state import SLOW_START_S
from laburnumswitch.process.workers.upstream_state import UpstreamState
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from laburnumswitch.upstream import Upstream

# Returns an upstream with a free slot, or ``None``. The third argument holds the ids of upstreams
# not to use, such as those that the request has tried already.
ChooseUpstream = Callable[[Service, tuple[Upstream, ...], frozenset[str]], Upstream | None]

CHOICES = 2
# Random draws to find that many usable upstreams, before all are checked.
SAMPLE_TRIES = 6
# Utilization of the own zone's upstreams up to which they are preferred.
SAME_ZONE_MAX_UTILIZATION = 0.75
# Weights of the error rate and of a reported load, both fractions, in the score.
ERROR_PENALTY = 10.0
LOAD_PENALTY = 1.0
# Smallest divisor of the score of a new upstream, during slow start.
SLOW_START_MIN = 0.1


class _ServiceUpstreams:
    """Upstreams of one service, in total and in this entry's zone; rebuilt when they change."""

    def __init__(
        self, upstreams: tuple[Upstream, ...], states: UpstreamStateRegistry, availability_zone: str
    ) -> None:
        self.upstreams = upstreams
        self.all = [states.of(upstream) for upstream in upstreams if not upstream.leaving]
        self.same_zone = [
            state for state in self.all if state.upstream.availability_zone == availability_zone
        ]


def power_of_two_choices(
    states: UpstreamStateRegistry,
    availability_zone: str,
    zone_is_out_of_service: Callable[[str], bool],
    clock: Callable[[], float],
    random: Random,
) -> ChooseUpstream:
    """Return a policy that picks the better of two random upstreams, the own zone first.

    The better one has the lower product of utilization and smoothed latency, raised by errors, by
    the load that it reports and during slow start.
    """
    candidates_by_service: dict[str, _ServiceUpstreams] = {}

    def choose(
        service: Service, upstreams: tuple[Upstream, ...], excluded_ids: frozenset[str]
    ) -> Upstream | None:
        candidates = candidates_by_service.get(service.name)
        if candidates is None or candidates.upstreams is not upstreams:
            candidates = _ServiceUpstreams(upstreams, states, availability_zone)
            candidates_by_service[service.name] = candidates
        now_s = clock()

        def usable(state: UpstreamState) -> bool:
            return _is_usable(state, now_s, excluded_ids, zone_is_out_of_service)

        def ready(state: UpstreamState) -> bool:
            return usable(state) and _reports_ready(state, now_s)

        def has_headroom(state: UpstreamState) -> bool:
            return (
                state.outstanding < state.concurrency_limit * SAME_ZONE_MAX_UTILIZATION
                and ready(state)
            )

        state = _better_of_two(candidates.same_zone, has_headroom, now_s, random)
        if state is None:
            state = _better_of_two(candidates.all, ready, now_s, random)
        if state is None and not any(_reports_ready(each, now_s) for each in candidates.all):
            # Reports are ignored if they would leave the service without any upstream.
            state = _better_of_two(candidates.all, usable, now_s, random)
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
    for _ in range(SAMPLE_TRIES):
        state = states[int(random.random() * len(states))]
        if state not in found and usable(state):
            found.append(state)
            if len(found) == CHOICES:
                break
    if not found:
        found = [state for state in states if usable(state)]
    if len(found) < CHOICES:
        return found[0] if found else None
    return min(found, key=lambda state: _score(state, now_s))


def _is_usable(
    state: UpstreamState,
    now_s: float,
    excluded_ids: frozenset[str],
    zone_is_out_of_service: Callable[[str], bool],
) -> bool:
    if state.outstanding >= int(state.concurrency_limit) or now_s < state.ejected_until_s:
        return False
    if state.is_withheld(now_s):
        return False
    upstream = state.upstream
    if upstream.upstream_id in excluded_ids or state.leaving:
        return False
    return not zone_is_out_of_service(upstream.availability_zone)


def _reports_ready(state: UpstreamState, now_s: float) -> bool:
    reported = state.valid_report(now_s)
    return reported is None or reported.ready


def _score(state: UpstreamState, now_s: float) -> float:
    score = (state.outstanding + 1) / state.concurrency_limit * state.latency_s
    score *= 1.0 + ERROR_PENALTY * state.error_rate
    reported = state.valid_report(now_s)
    if reported is not None and reported.load is not None:
        # A reported load may only worsen the score given by the measurements.
        score *= 1.0 + LOAD_PENALTY * reported.load
    age_s = now_s - state.slow_start_since_s
    if age_s < SLOW_START_S:
        score /= max(SLOW_START_MIN, age_s / SLOW_START_S)
    return score

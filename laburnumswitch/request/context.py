"""What the request path needs of the process it runs in."""

from collections.abc import Callable
from random import Random
from time import monotonic
from time import time
from typing import NamedTuple

from laburnumswitch.connection.upstream_pool import UpstreamPool
from laburnumswitch.declaration import Service
from laburnumswitch.process.admission.claims import ClaimCommitter
from laburnumswitch.process.observing.latency import QuantileEstimate
from laburnumswitch.process.observing.request_counts import RequestCounts
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.placing.budget import RetryBudget
from laburnumswitch.process.placing.queue import MAX_WAIT_S
from laburnumswitch.process.placing.queue import ServiceQueue
from laburnumswitch.process.rows.objects import Objects
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.workers.upstreams import FIRST_LATENCY_S
from laburnumswitch.process.workers.upstreams import UpstreamStates
from laburnumswitch.request.routing import ChooseUpstream
from laburnumswitch.request.routing import two_choices
from laburnumswitch.upstream import Upstream

SHED_EVENT_INTERVAL_S = 1.0
LATENCY_WEIGHT = 0.05


class ServiceState:
    """What the process keeps for one service."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.queue = ServiceQueue(clock)
        self.latency = QuantileEstimate()
        self.mean_latency_s = FIRST_LATENCY_S
        self.in_flight = 0
        # Deadlines of the requests that wait for a token to leave a silent upstream, in order.
        self.moving: list[float] = []
        self.shed_unreported = 0
        self.shed_reported_s = -SHED_EVENT_INTERVAL_S

    def add_latency(self, latency_s: float) -> None:
        """Count one answered request."""
        self.latency.add(latency_s)
        self.mean_latency_s += (latency_s - self.mean_latency_s) * LATENCY_WEIGHT

    def queue_capacity(self) -> int:
        """Return how many requests are likely to get a slot within the longest wait."""
        return int(MAX_WAIT_S * self.in_flight / self.mean_latency_s)


class RequestContext(NamedTuple):
    """Plain callables and states that outlive a request; made by ``make_context``."""

    service_by_host: Callable[[str], Service | None]
    upstreams_of: Callable[[str], tuple[Upstream, ...]]
    zone_is_out: Callable[[str], bool]
    has_configuration: Callable[[], bool]
    timeline: Timeline
    availability_zone: str
    vm_id: str
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    random: Random
    pool: UpstreamPool
    states: UpstreamStates
    budget: RetryBudget
    claims: ClaimCommitter
    objects: Objects
    counts: RequestCounts
    choose: ChooseUpstream
    state_by_service: dict[str, ServiceState]

    def service_state(self, service: Service) -> ServiceState:
        """Return the state of ``service``, made at its first use."""
        state = self.state_by_service.get(service.name)
        if state is None:
            state = ServiceState(self.clock)
            self.state_by_service[service.name] = state
        return state


def make_context(
    *,
    service_by_host: Callable[[str], Service | None],
    upstreams_of: Callable[[str], tuple[Upstream, ...]],
    zone_is_out: Callable[[str], bool],
    has_configuration: Callable[[], bool],
    table: Table,
    objects: Objects,
    timeline: Timeline,
    availability_zone: str,
    vm_id: str,
    random: Random,
    clock: Callable[[], float] = monotonic,
    wall_clock: Callable[[], float] = time,
    pool: UpstreamPool | None = None,
    choose: ChooseUpstream | None = None,
) -> RequestContext:
    """Return the context of a process.

    :param upstreams_of: has to return the same tuple object while nothing changed.
    :param choose: the routing policy; that of the product by default.
    """
    states = UpstreamStates(clock, timeline)
    if choose is None:
        # Choices are many and need no secrecy, unlike the ids that are drawn from ``random``.
        quick_random = Random(random.getrandbits(64))
        choose = two_choices(states, availability_zone, zone_is_out, clock, quick_random)
    return RequestContext(
        service_by_host,
        upstreams_of,
        zone_is_out,
        has_configuration,
        timeline,
        availability_zone,
        vm_id,
        clock,
        wall_clock,
        random,
        pool or UpstreamPool(clock),
        states,
        RetryBudget(),
        ClaimCommitter(table),
        objects,
        RequestCounts(),
        choose,
        {},
    )

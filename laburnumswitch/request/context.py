"""Process-wide state and dependencies of the request path."""

from collections.abc import Callable
from random import Random
from time import monotonic
from time import time
from typing import NamedTuple

from laburnumswitch.connection.upstream_pool import UpstreamPool
from laburnumswitch.declaration import Service
from laburnumswitch.process.admission.claim_committer import ClaimCommitter
from laburnumswitch.process.observing.latency import QuantileEstimate
from laburnumswitch.process.observing.request_counts import RequestCounts
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.placing.retry_budget import RetryBudget
from laburnumswitch.process.placing.service_queue import MAX_WAIT_S
from laburnumswitch.process.placing.service_queue import ServiceQueue
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.workers.upstream_state import INITIAL_LATENCY_S
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from laburnumswitch.request.routing import ChooseUpstream
from laburnumswitch.request.routing import power_of_two_choices
from laburnumswitch.upstream import Upstream

# Shortest time between two ``shed`` events of one service, in seconds.
SHED_EVENT_INTERVAL_S = 1.0
# Weight of a new sample in the mean latency.
LATENCY_WEIGHT = 0.05


class ServiceState:
    """Queue, latency and load-shedding state of one service."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.queue = ServiceQueue(clock)
        self.latency = QuantileEstimate()
        self.mean_latency_s = INITIAL_LATENCY_S
        self.in_flight = 0
        # Sorted deadlines of the requests that wait for a retry token to fail over from a silent
        # upstream.
        self.failover_deadlines_s: list[float] = []
        self.unreported_shed_count = 0
        self.last_shed_event_s = -SHED_EVENT_INTERVAL_S

    def add_latency(self, latency_s: float) -> None:
        """Record the latency of one answered request."""
        self.latency.add(latency_s)
        self.mean_latency_s += (latency_s - self.mean_latency_s) * LATENCY_WEIGHT

    def queue_capacity(self) -> int:
        """Return how many queued requests are likely to get a slot within ``MAX_WAIT_S``."""
        return int(MAX_WAIT_S * self.in_flight / self.mean_latency_s)


class RequestContext(NamedTuple):
    """Callables and state that outlive a request; created by ``make_context``."""

    service_by_host: Callable[[str], Service | None]
    upstreams_of: Callable[[str], tuple[Upstream, ...]]
    zone_is_out_of_service: Callable[[str], bool]
    has_configuration: Callable[[], bool]
    timeline: Timeline
    availability_zone: str
    vm_id: str
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    random: Random
    pool: UpstreamPool
    upstream_states: UpstreamStateRegistry
    retry_budget: RetryBudget
    claims: ClaimCommitter
    objects: ObjectStore
    counts: RequestCounts
    choose: ChooseUpstream
    state_by_service: dict[str, ServiceState]

    def service_state(self, service: Service) -> ServiceState:
        """Return the state of ``service``, created on first use."""
        state = self.state_by_service.get(service.name)
        if state is None:
            state = ServiceState(self.clock)
            self.state_by_service[service.name] = state
        return state


def make_context(
    *,
    service_by_host: Callable[[str], Service | None],
    upstreams_of: Callable[[str], tuple[Upstream, ...]],
    zone_is_out_of_service: Callable[[str], bool],
    has_configuration: Callable[[], bool],
    table: Table,
    objects: ObjectStore,
    timeline: Timeline,
    availability_zone: str,
    vm_id: str,
    random: Random,
    clock: Callable[[], float] = monotonic,
    wall_clock: Callable[[], float] = time,
    pool: UpstreamPool | None = None,
    choose: ChooseUpstream | None = None,
) -> RequestContext:
    """Return the request context of a process.

    :param upstreams_of: must return the same tuple object until the upstreams change, since
        routing compares by identity.
    :param choose: the routing policy; ``power_of_two_choices`` by default.
    """
    states = UpstreamStateRegistry(clock, timeline)
    if choose is None:
        # Routing draws often and needs no secrecy, unlike the ids that are drawn from ``random``.
        routing_random = Random(random.getrandbits(64))
        choose = power_of_two_choices(
            states, availability_zone, zone_is_out_of_service, clock, routing_random
        )
    return RequestContext(
        service_by_host,
        upstreams_of,
        zone_is_out_of_service,
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

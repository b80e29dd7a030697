"""Admission control of requests: finds an upstream with a free slot, queues briefly, or sheds.

The package ``process/admission`` admits jobs and services.
"""

from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import NotRun
from laburnumswitch.process.placing.service_queue import MAX_WAIT_S
from laburnumswitch.process.placing.service_queue import WaitOutcome
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.context import ServiceState
from laburnumswitch.request.context import SHED_EVENT_INTERVAL_S
from laburnumswitch.upstream import Upstream

RANK_BY_PRIORITY = {"high": 0, "normal": 1, "low": 2}


def admit(
    context: RequestContext,
    service: Service,
    rank: int,
    deadline_s: float,
    excluded_ids: frozenset[str] = frozenset(),
) -> Upstream | NotRun:
    """Return an upstream with a free slot, waiting for one if necessary.

    :param rank: priority rank; 0 is served first and shed last.
    :param excluded_ids: ids of upstreams not to use.
    """
    upstreams = context.upstreams_of(service.name)
    if not upstreams:
        return NotRun("no upstream")
    state = context.service_state(service)
    if state.queue.would_be_first(rank):
        upstream = context.choose(service, upstreams, excluded_ids)
        if upstream is not None:
            return upstream
    return _wait_for_slot(context, service, state, rank, deadline_s, excluded_ids)


def _wait_for_slot(
    context: RequestContext,
    service: Service,
    state: ServiceState,
    rank: int,
    deadline_s: float,
    excluded_ids: frozenset[str],
) -> Upstream | NotRun:
    arrival_number = state.queue.next_arrival_number()
    wait_until_s = min(context.clock() + MAX_WAIT_S, deadline_s)
    while True:
        wait_outcome = state.queue.wait(rank, arrival_number, wait_until_s, state.queue_capacity())
        if wait_outcome is not WaitOutcome.TURN:
            return _shed(context, service, state, wait_outcome)
        upstream = context.choose(service, context.upstreams_of(service.name), excluded_ids)
        if upstream is not None:
            return upstream


def _shed(
    context: RequestContext, service: Service, state: ServiceState, wait_outcome: WaitOutcome
) -> NotRun:
    context.counts.shed += 1
    state.unreported_shed_count += 1
    now_s = context.clock()
    if now_s - state.last_shed_event_s >= SHED_EVENT_INTERVAL_S:
        context.timeline.record(
            "shed", service.name, count=state.unreported_shed_count, reason=wait_outcome.value
        )
        state.unreported_shed_count = 0
        state.last_shed_event_s = now_s
    return NotRun("overloaded")

"""Admits a request to an upstream with room, after a short wait if need be, or sheds it."""

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
    tried: frozenset[str] = frozenset(),
) -> Upstream | NotRun:
    """Return an upstream with room.

    :param rank: 0 goes first and is shed last.
    :param tried: ids of upstreams that are not to be used again.
    """
    upstreams = context.upstreams_of(service.name)
    if not upstreams:
        return NotRun("no upstream")
    state = context.service_state(service)
    if state.queue.would_be_first(rank):
        upstream = context.choose(service, upstreams, tried)
        if upstream is not None:
            return upstream
    return _wait(context, service, state, rank, deadline_s, tried)


def _wait(
    context: RequestContext,
    service: Service,
    state: ServiceState,
    rank: int,
    deadline_s: float,
    tried: frozenset[str],
) -> Upstream | NotRun:
    number = state.queue.next_arrival_number()
    until_s = min(context.clock() + MAX_WAIT_S, deadline_s)
    while True:
        verdict = state.queue.wait(rank, number, until_s, state.queue_capacity())
        if verdict is not WaitOutcome.TURN:
            return _shed(context, service, state, verdict)
        upstream = context.choose(service, context.upstreams_of(service.name), tried)
        if upstream is not None:
            return upstream


def _shed(
    context: RequestContext, service: Service, state: ServiceState, verdict: WaitOutcome
) -> NotRun:
    context.counts.shed += 1
    state.shed_unreported += 1
    now_s = context.clock()
    if now_s - state.shed_reported_s >= SHED_EVENT_INTERVAL_S:
        context.timeline.record(
            "shed", service.name, count=state.shed_unreported, reason=verdict.value
        )
        state.shed_unreported = 0
        state.shed_reported_s = now_s
    return NotRun("overloaded")

"""Background greenlets: state polling, closing of idle connections, expiry of claims."""

from collections.abc import Callable

from gevent import Greenlet
from gevent import sleep
from gevent import spawn

from laburnumswitch.connection.client import Client
from laburnumswitch.declaration import Service
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import ReportUnreadable
from laburnumswitch.process.workers.upstream_reports import parse_body
from laburnumswitch.process.workers.upstream_reports import ReportedState
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.expiry import expire_claims_forever
from laburnumswitch.upstream import Upstream

SUPERVISE_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 1.0
# Services declare how their upstreams report state; ``headers`` reports come with the answers.
POLLED_MANNERS = frozenset(("json", "metrics"))
MIN_SERVER_ERROR_STATUS = 500

Services = Callable[[], tuple[Service, ...]]


def start_background_greenlets(context: RequestContext, services: Services) -> list[Greenlet]:
    """Start the background greenlets; they run until killed."""
    return [
        spawn(context.pool.reap_forever),
        spawn(expire_claims_forever, context),
        spawn(supervise_polling, context, services),
    ]


def supervise_polling(
    context: RequestContext, services: Services, interval_s: float = SUPERVISE_INTERVAL_S
) -> None:
    """Run one greenlet per polled upstream, and drop the state of removed upstreams."""
    greenlet_by_id: dict[str, Greenlet] = {}
    try:
        while True:
            _supervise_once(context, services, greenlet_by_id)
            sleep(interval_s)
    finally:
        for greenlet in greenlet_by_id.values():
            greenlet.kill()


def poll_upstream(context: RequestContext, service: Service, upstream: Upstream) -> None:
    """Poll the state of one upstream periodically; meant to run in its own greenlet."""
    client = Client(upstream.address)
    interval_s = service.state.interval_s
    try:
        sleep(interval_s * context.random.random())
        while True:
            reported = fetch_report(client, service)
            if isinstance(reported, ReportedState):
                context.upstream_states.apply_report(upstream, reported, interval_s)
            sleep(interval_s)
    finally:
        client.close()


def fetch_report(client: Client, service: Service) -> ReportedState | Failure:
    """Fetch one state report.

    A 5xx status means not ready, even if the page is unreadable or says otherwise.
    """
    response = client.call("GET", service.state.path, timeout_s=REPORT_TIMEOUT_S)
    if isinstance(response, Failure):
        return response
    report = parse_body(service.state, response.body)
    if response.status < MIN_SERVER_ERROR_STATUS:
        return report
    if isinstance(report, ReportUnreadable):
        return ReportedState(False, None, None)
    return report._replace(ready=False)


def _supervise_once(
    context: RequestContext, services: Services, greenlet_by_id: dict[str, Greenlet]
) -> None:
    present = set()
    for service in services():
        for upstream in context.upstreams_of(service.name):
            present.add(upstream.upstream_id)
            if (
                service.state.manner in POLLED_MANNERS
                and upstream.upstream_id not in greenlet_by_id
            ):
                greenlet = spawn(poll_upstream, context, service, upstream)
                greenlet_by_id[upstream.upstream_id] = greenlet
    for upstream_id in list(greenlet_by_id):
        if upstream_id not in present:
            greenlet_by_id.pop(upstream_id).kill()
    context.upstream_states.keep_only(present)

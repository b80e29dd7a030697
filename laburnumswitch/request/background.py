"""Background tasks: state polling, closing of idle connections, expiry of claims."""

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
POLLED_MANNERS = frozenset(("json", "metrics"))
MIN_SERVER_ERROR_STATUS = 500

Services = Callable[[], tuple[Service, ...]]


def start_background_tasks(context: RequestContext, services: Services) -> list[Greenlet]:
    """Start the background tasks; they run until killed."""
    return [
        spawn(context.pool.reap_forever),
        spawn(expire_claims_forever, context),
        spawn(supervise_polling, context, services),
    ]


def supervise_polling(
    context: RequestContext, services: Services, interval_s: float = SUPERVISE_INTERVAL_S
) -> None:
    """Run one polling task per polled upstream, and drop the state of removed upstreams."""
    task_by_id: dict[str, Greenlet] = {}
    try:
        while True:
            _supervise_once(context, services, task_by_id)
            sleep(interval_s)
    finally:
        for task in task_by_id.values():
            task.kill()


def poll_upstream(context: RequestContext, service: Service, upstream: Upstream) -> None:
    """Poll the state of one upstream periodically; meant to run as a task."""
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
    context: RequestContext, services: Services, task_by_id: dict[str, Greenlet]
) -> None:
    present = set()
    for service in services():
        for upstream in context.upstreams_of(service.name):
            present.add(upstream.upstream_id)
            if service.state.manner in POLLED_MANNERS and upstream.upstream_id not in task_by_id:
                task = spawn(poll_upstream, context, service, upstream)
                task_by_id[upstream.upstream_id] = task
    for upstream_id in list(task_by_id):
        if upstream_id not in present:
            task_by_id.pop(upstream_id).kill()
    context.upstream_states.keep_only(present)

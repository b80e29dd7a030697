"""Tasks that run beside the requests: state reports, idle connections, expired claims."""

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
PAGE_MANNERS = frozenset(("json", "metrics"))
FIRST_FAILED_STATUS = 500

Services = Callable[[], tuple[Service, ...]]


def start_background(context: RequestContext, services: Services) -> list[Greenlet]:
    """Start the tasks beside the requests; killing them ends them."""
    return [
        spawn(context.pool.reap_forever),
        spawn(expire_claims_forever, context),
        spawn(supervise_reports, context, services),
    ]


def supervise_reports(
    context: RequestContext, services: Services, interval_s: float = SUPERVISE_INTERVAL_S
) -> None:
    """Keep one task for each upstream whose reports are asked for, and forget gone upstreams."""
    task_by_id: dict[str, Greenlet] = {}
    try:
        while True:
            _supervise_once(context, services, task_by_id)
            sleep(interval_s)
    finally:
        for task in task_by_id.values():
            task.kill()


def watch_upstream(context: RequestContext, service: Service, upstream: Upstream) -> None:
    """Ask one upstream for its state again and again, as a task."""
    client = Client(upstream.address)
    interval_s = service.state.interval_s
    try:
        sleep(interval_s * context.random.random())
        while True:
            reported = ask_state(client, service)
            if isinstance(reported, ReportedState):
                context.states.apply_report(upstream, reported, interval_s)
            sleep(interval_s)
    finally:
        client.close()


def ask_state(client: Client, service: Service) -> ReportedState | Failure:
    """Ask for one report.

    An error status without a readable page is a report of not being ready.
    """
    response = client.call("GET", service.state.path, timeout_s=REPORT_TIMEOUT_S)
    if isinstance(response, Failure):
        return response
    reported = parse_body(service.state, response.body)
    if response.status < FIRST_FAILED_STATUS:
        return reported
    if isinstance(reported, ReportUnreadable):
        return ReportedState(False, None, None)
    return reported._replace(ready=False)


def _supervise_once(
    context: RequestContext, services: Services, task_by_id: dict[str, Greenlet]
) -> None:
    present = set()
    for service in services():
        for upstream in context.upstreams_of(service.name):
            present.add(upstream.upstream_id)
            if service.state.manner in PAGE_MANNERS and upstream.upstream_id not in task_by_id:
                task = spawn(watch_upstream, context, service, upstream)
                task_by_id[upstream.upstream_id] = task
    for upstream_id in list(task_by_id):
        if upstream_id not in present:
            task_by_id.pop(upstream_id).kill()
    context.states.keep_only(present)

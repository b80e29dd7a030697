"""Operator endpoints of the admin port.

A list is either gathered from the state of all entries that answer, or read from the platform's
table by the entry that is asked. ``local=1`` in the query restricts a gathered list to that entry.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from gevent import joinall
from gevent import spawn

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.observing.timeline import Event
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.operating.admin import AdminReply
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.admin import Handler
from laburnumswitch.process.operating.admin import reject
from laburnumswitch.process.operating.admin import reply_json
from laburnumswitch.process.peers.upstream_directory import UpstreamDirectory

GATHER_TIMEOUT_S = 1.5
MAX_EVENT_ROWS = 2_000


class StatusRow(TypedDict):
    """Row of the list of entries: the status that one entry reports of itself."""

    vm: str
    availability_zone: str
    ready: bool
    configuration: int
    shards: int
    live_entries: int
    events_lost: int


class ZoneStatusRow(TypedDict):
    """Row of the list of availability zones."""

    zone: str
    state: str
    version: int


class EventRow(TypedDict):
    """Row of the list of timeline events."""

    clock: int
    wall_s: float
    process: str
    availability_zone: str
    kind: str
    subject: str
    details: dict[str, str | int | float]


class RowList(TypedDict):
    """Response body of every list."""

    rows: list[dict[str, Any]]


RowSource = Callable[[AdminRequest], Iterable[Mapping[str, Any]] | Failure]


class OperatorContext(NamedTuple):
    """Sources of the lists by name, the clients of live peers, and the cancellation of a job.

    ``gathered_by_name`` holds the lists gathered from all entries, ``shared_by_name`` those read
    from the platform's table.
    """

    gathered_by_name: Mapping[str, RowSource]
    shared_by_name: Mapping[str, RowSource]
    peer_clients: Callable[[], tuple[Client, ...]]
    cancel_job: Callable[[str], object | Failure]


def make_operator_handler(context: OperatorContext) -> Handler:
    """Return the handler of all paths below ``/operator``."""

    def handle(request: AdminRequest) -> AdminReply:
        match request.method, request.path_parts:
            case "GET", (name,) if name in context.gathered_by_name:
                return _reply_gathered(context, name, request)
            case "GET", (name,) if name in context.shared_by_name:
                return _reply_rows(context.shared_by_name[name](request))
            case "GET", ("jobs", job_id):
                return _reply_job(context, job_id, request)
            case "POST", ("jobs", job_id, "cancel"):
                return _cancel_job(context, job_id)
        return reject(404, "NotFound")

    return handle


def make_event_rows(timeline: Timeline) -> RowSource:
    """Return the source of the newest events above the clock in the query's ``after``.

    The number of rows is limited, because a longer answer would delay callers' requests. Older
    events are in the object store.
    """

    def rows(request: AdminRequest) -> Iterable[EventRow]:
        after = request.query.get("after", "0")
        events = timeline.after(int(after) if after.isdigit() else 0)[-MAX_EVENT_ROWS:]
        return [_event_row(event) for event in events]

    return rows


def zone_rows(directory: UpstreamDirectory) -> list[ZoneStatusRow]:
    """Return a list row for each availability zone whose state is stored in the table."""
    return [
        ZoneStatusRow(zone=zone.name, state=zone.state, version=zone.version)
        for zone in directory.zones()
    ]


def _event_row(event: Event) -> EventRow:
    return EventRow(**event._asdict())


def _reply_gathered(context: OperatorContext, name: str, request: AdminRequest) -> AdminReply:
    local = context.gathered_by_name[name](request)
    if isinstance(local, Failure) or request.query.get("local") == "1":
        return _reply_rows(local)
    return _reply_rows([*local, *_gather(context.peer_clients(), name, request.query)])


def _reply_rows(rows: Iterable[Mapping[str, Any]] | Failure) -> AdminReply:
    if isinstance(rows, Failure):
        return reject(503, rows.describe())
    return reply_json(RowList(rows=[dict(row) for row in rows]))


def _gather(
    clients: tuple[Client, ...], name: str, query: Mapping[str, str]
) -> list[dict[str, Any]]:
    after = query.get("after", "0")
    target = f"/operator/{name}?local=1&after={after if after.isdigit() else 0}"
    greenlets = [
        spawn(call_json, client, "GET", target, None, RowList, GATHER_TIMEOUT_S)
        for client in clients
    ]
    joinall(greenlets)
    answers = [greenlet.value for greenlet in greenlets if isinstance(greenlet.value, dict)]
    return [row for answer in answers for row in answer["rows"]]


def _reply_job(context: OperatorContext, job_id: str, request: AdminRequest) -> AdminReply:
    rows = context.shared_by_name["jobs"](request)
    if isinstance(rows, Failure):
        return reject(503, rows.describe())
    for row in rows:
        if row.get("job_id") == job_id:
            return _reply_rows([row])
    return reject(404, "JobNotFound")


def _cancel_job(context: OperatorContext, job_id: str) -> AdminReply:
    outcome = context.cancel_job(job_id)
    if not isinstance(outcome, Failure):
        return reply_json(RowList(rows=[]))
    status = 404 if outcome.tag == "NotFound" else 503
    return reject(status, outcome.describe())

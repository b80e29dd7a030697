"""Schemas of declaration files, and the declarations built from them."""

from typing import Annotated
from typing import Literal
from typing import NamedTuple

from msgspec import Meta

from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Priority
from laburnumswitch.declaration import Service
from laburnumswitch.declaration import StateReport
from laburnumswitch.declaration import Team
from laburnumswitch.size import Size
from laburnumswitch.units import CpuMillis
from laburnumswitch.units import Megabytes
from laburnumswitch.units import Seconds

MAX_REPLICAS = 100_000
MAX_TASKS = 1_000_000
MAX_RETRIES = 1_000
MAX_SLOTS = 1_000
MAX_ACCELERATORS = 1_000

_LABEL = r"[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
_NAME = Meta(
    pattern=r"\A[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z",
    description="at most 63 lower-case letters, digits and inner hyphens",
)
_HOST = Meta(
    pattern=rf"\A(?=.{{1,253}}\Z){_LABEL}(\.{_LABEL})*\Z",
    description="a host name without a port, such as orders.example",
)
_METHOD = Meta(pattern=r"\A[A-Z]{1,20}\Z", description="an HTTP method in upper case")
_URL_PATH = Meta(
    pattern=r"\A/[\x21-\x7e]{0,500}\Z",
    description="a path of visible ASCII characters that begins with a slash",
)

Name = Annotated[str, _NAME]
Host = Annotated[str, _HOST]
Method = Annotated[str, _METHOD]
UrlPath = Annotated[str, _URL_PATH]
CommandArgument = Annotated[str, Meta(min_length=1, max_length=4_000)]
ShortString = Annotated[str, Meta(max_length=200)]
Command = tuple[CommandArgument, ...]


class StateFields(NamedTuple):
    """How the upstreams of a service report their state."""

    manner: Annotated[
        Literal["json", "headers", "metrics", "none"],
        Meta(description="`json` and `metrics` poll a page, `headers` reads every response"),
    ] = "none"
    path: Annotated[UrlPath, Meta(description="path of the polled page")] = "/health"
    interval: Annotated[Seconds, Meta(description="polling interval")] = Seconds(2.0)
    ready_field: Annotated[
        ShortString, Meta(description="field that reports readiness; empty: not reported")
    ] = ""
    ready_values: Annotated[
        tuple[ShortString, ...], Meta(description="values of `ready_field` that mean ready")
    ] = StateReport().ready_values
    leaving_field: Annotated[
        ShortString, Meta(description="field that reports leaving; empty: not reported")
    ] = ""
    load_field: Annotated[
        ShortString, Meta(description="field that reports the load; empty: not reported")
    ] = ""
    load_scale: Annotated[
        float,
        Meta(gt=0, description="factor that converts the load to a fraction; 0.01 for percentages"),
    ] = 1.0
    refused_header: Annotated[
        ShortString, Meta(description="header that marks a 503 as refused before any processing")
    ] = ""


class ServiceFields(NamedTuple):
    """A latency-critical service."""

    kind: Annotated[Literal["service"], Meta(description="always `service`")]
    name: Annotated[Name, Meta(description="unique among services and jobs")]
    team: Annotated[Name, Meta(description="a declared team")]
    hosts: Annotated[
        tuple[Host, ...],
        Meta(min_length=1, description="values of the `Host` header that it serves"),
    ]
    replicas: Annotated[
        int, Meta(ge=1, le=MAX_REPLICAS, description="number of replicas to keep running")
    ]
    cpu: Annotated[CpuMillis, Meta(description="cores of one replica, such as 0.5")]
    memory: Annotated[Megabytes, Meta(description="memory of one replica, such as 2GB")]
    accelerators: Annotated[
        int, Meta(ge=0, le=MAX_ACCELERATORS, description="accelerators of one replica")
    ] = 0
    command: Annotated[Command, Meta(description="program and arguments of one replica")] = ()
    slots: Annotated[
        int,
        Meta(ge=1, le=MAX_SLOTS, description="maximum number of concurrent requests per replica"),
    ] = 8
    timeout: Annotated[Seconds, Meta(description="deadline of a request")] = Seconds(5.0)
    idempotent_methods: Annotated[
        tuple[Method, ...], Meta(description="methods that may be retried")
    ] = Service._field_defaults["idempotent_methods"]
    idempotent_paths: Annotated[
        tuple[UrlPath, ...], Meta(description="paths under which any method may be retried")
    ] = ()
    priority: Annotated[
        Priority, Meta(description="`low` is shed first under overload, `high` last")
    ] = "normal"
    standing: Annotated[bool, Meta(description="never evicted to relieve a worker")] = False
    state: Annotated[StateFields, Meta(description="how its upstreams report their state")] = (
        StateFields()
    )


class JobFields(NamedTuple):
    """A batch job of one or more tasks."""

    kind: Annotated[Literal["job"], Meta(description="always `job`")]
    name: Annotated[Name, Meta(description="unique among services and jobs")]
    team: Annotated[Name, Meta(description="a declared team, whose quota it uses")]
    command: Annotated[Command, Meta(min_length=1, description="program and arguments of a task")]
    cpu: Annotated[CpuMillis, Meta(description="cores of one task, such as 0.5")]
    memory: Annotated[Megabytes, Meta(description="memory of one task, such as 2GB")]
    accelerators: Annotated[
        int, Meta(ge=0, le=MAX_ACCELERATORS, description="accelerators of one task")
    ] = 0
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS, description="number of tasks")] = 1
    run_time: Annotated[Seconds, Meta(description="expected run time of one task")] = Seconds(60.0)
    schedule: Annotated[
        str, Meta(max_length=200, description="five cron fields; empty: run once per `generation`")
    ] = ""
    time_zone: Annotated[str, Meta(description="time zone of the schedule")] = "UTC"
    urgent: Annotated[bool, Meta(description="placed before jobs that are not urgent")] = False
    checkpointable: Annotated[bool, Meta(description="can resume from a checkpoint")] = False
    retries: Annotated[
        int, Meta(ge=0, le=MAX_RETRIES, description="further runs of a failed task")
    ] = 2
    after: Annotated[tuple[Name, ...], Meta(description="jobs that must end before it starts")] = ()
    generation: Annotated[
        int, Meta(ge=1, description="increase it to rerun a job without a schedule")
    ] = 1


class QuotaFields(NamedTuple):
    """Upper limits of the resources that a team's batch tasks hold at a time."""

    cpu: Annotated[CpuMillis, Meta(description="cores")]
    memory: Annotated[Megabytes, Meta(description="memory, such as 800GB")]
    accelerators: Annotated[int, Meta(ge=0, description="accelerators")] = 0


class TeamFields(NamedTuple):
    """A team, which owns services and jobs."""

    kind: Annotated[Literal["team"], Meta(description="always `team`")]
    name: Annotated[Name, Meta(description="unique among teams")]
    quota: Annotated[
        QuotaFields, Meta(description="limits of the resources that its batch tasks hold")
    ]


FIELDS_BY_KIND = {"service": ServiceFields, "job": JobFields, "team": TeamFields}


def build_service(fields: ServiceFields) -> Service:
    """Build a service from its fields, with hosts in lower case."""
    state = fields.state
    return Service(
        name=fields.name,
        team=fields.team,
        hosts=tuple(host.lower() for host in fields.hosts),
        replicas=fields.replicas,
        size=_size(fields),
        command=fields.command,
        slots=fields.slots,
        timeout_s=float(fields.timeout),
        idempotent_methods=fields.idempotent_methods,
        idempotent_paths=fields.idempotent_paths,
        priority=fields.priority,
        standing=fields.standing,
        state=StateReport(
            manner=state.manner,
            path=state.path,
            interval_s=float(state.interval),
            ready_field=state.ready_field,
            ready_values=state.ready_values,
            leaving_field=state.leaving_field,
            load_field=state.load_field,
            load_scale=state.load_scale,
            refused_header=state.refused_header,
        ),
    )


def build_job(fields: JobFields) -> Job:
    """Build a job from its fields."""
    return Job(
        name=fields.name,
        team=fields.team,
        command=fields.command,
        size=_size(fields),
        tasks=fields.tasks,
        run_time_s=float(fields.run_time),
        schedule=" ".join(fields.schedule.split()),
        time_zone=fields.time_zone,
        urgent=fields.urgent,
        checkpointable=fields.checkpointable,
        retries=fields.retries,
        after=fields.after,
        generation=fields.generation,
    )


def build_team(fields: TeamFields) -> Team:
    """Build a team from its fields."""
    return Team(fields.name, _size(fields.quota))


def _size(fields: ServiceFields | JobFields | QuotaFields) -> Size:
    return Size(int(fields.cpu), int(fields.memory), fields.accelerators)

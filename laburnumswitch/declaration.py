"""Validated declarations of teams, services and jobs, as written by operators."""

from typing import Literal
from typing import NamedTuple

from laburnumswitch.size import Size

Priority = Literal["high", "normal", "low"]


class StateReport(NamedTuple):
    """How an upstream reports its state and how to parse the report.

    ``manner`` is ``json`` (GET ``path`` and read fields by dotted names), ``metrics`` (GET ``path``
    and read Prometheus samples by name) or ``headers`` (read the headers of every response). The
    ``*_field`` attributes name the field, sample or header that holds a value; an empty name means
    that the upstream does not report it.

    ``load_scale`` times the reported load is a fraction of the upstream's capacity: 0.01 for a
    percentage. ``ready_values`` are the values of ``ready_field`` that mean ready.

    ``refused_header`` names a header that the upstream adds to a 503 only if it refused the request
    before processing any of it; a 503 without the header is an ordinary response.
    """

    manner: Literal["json", "headers", "metrics", "none"] = "none"
    path: str = "/health"
    interval_s: float = 2.0
    ready_field: str = ""
    ready_values: tuple[str, ...] = ("true", "1", "ok", "up", "ready")
    leaving_field: str = ""
    load_field: str = ""
    load_scale: float = 1.0
    refused_header: str = ""


class Service(NamedTuple):
    """A latency-critical service. ``size`` and ``slots`` apply to one replica.

    ``hosts`` are the values of the ``Host`` header that the service answers, ``slots`` the maximum
    number of concurrent requests. Replicas of a ``standing`` service are never evicted to reduce
    the load of a worker. Under overload, requests with ``priority`` ``low`` are rejected first.
    """

    name: str
    team: str
    hosts: tuple[str, ...]
    replicas: int
    size: Size
    command: tuple[str, ...] = ()
    slots: int = 8
    timeout_s: float = 5.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
    idempotent_paths: tuple[str, ...] = ()
    priority: Priority = "normal"
    standing: bool = False
    state: StateReport = StateReport()


class Job(NamedTuple):
    """A batch job of ``tasks`` tasks. ``size`` applies to one task.

    ``schedule`` is a cron expression in ``time_zone``; if it is empty, the job runs once for each
    change of its ``generation``. It starts after the jobs named in ``after`` have ended. Tasks of
    ``urgent`` jobs are placed before others. ``retries`` is the number of failed runs of a task
    that are allowed beyond the first.
    """

    name: str
    team: str
    command: tuple[str, ...]
    size: Size
    tasks: int = 1
    run_time_s: float = 60.0
    schedule: str = ""
    time_zone: str = "UTC"
    urgent: bool = False
    checkpointable: bool = False
    retries: int = 2
    after: tuple[str, ...] = ()
    generation: int = 1


class Team(NamedTuple):
    """A team and the quota of resources that its batch tasks can hold at a time."""

    name: str
    quota: Size


class Configuration(NamedTuple):
    """An immutable version of all declarations."""

    version: int = 0
    digest: str = ""
    services: tuple[Service, ...] = ()
    jobs: tuple[Job, ...] = ()
    teams: tuple[Team, ...] = ()
    format: int = 1


NO_CONFIGURATION = Configuration()

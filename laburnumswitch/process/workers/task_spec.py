"""Specifications of tasks in a shard, and the ids of tasks and runs."""

from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec import Struct
from msgspec import to_builtins

from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.size import Size

RANK_BY_PRIORITY = {"high": 0, "normal": 1, "low": 2}
# The index of a replacement is that of the replaced replica plus this stride.
REPLACEMENT_STRIDE = 65_536


class TaskSpec(Struct, frozen=True, omit_defaults=True):
    """Specification shared by all tasks of one job.

    ``name`` is the class of the tasks: the name of the job or service. ``service`` is empty for
    batch tasks. ``run_time_s`` is the declared estimate of a task's duration, 0 if unknown.
    ``retries`` is the number of failed runs of a task that are allowed beyond the first. ``slots``
    is the number of requests that a replica serves at a time. ``standing`` tasks are never evicted.
    ``rank`` is the priority of a service, 0 the highest.
    """

    job_id: str
    name: str
    team: str
    command: tuple[str, ...]
    size: Size
    run_time_s: float = 0.0
    urgent: bool = False
    checkpointable: bool = False
    retries: int = 2
    service: str = ""
    slots: int = 0
    standing: bool = False
    rank: int = 1


class PendingTask(NamedTuple):
    """A task to be started as run ``next_run``.

    ``checkpoint_run`` is the run whose checkpoint it starts from, 0 for none. ``failures`` counts
    the runs that failed.
    """

    index: int
    next_run: int
    checkpoint_run: int
    failures: int


class LedgerTaskKey(NamedTuple):
    """Key of a task within one shard's ledger: the number of its ``TaskGroup`` and its index."""

    group: int
    index: int


def job_task_spec(job: Job, job_id: str) -> TaskSpec:
    """Return the specification of the tasks of ``job``, admitted as ``job_id``."""
    return TaskSpec(
        job_id=job_id,
        name=job.name,
        team=job.team,
        command=job.command,
        size=job.size,
        run_time_s=job.run_time_s,
        urgent=job.urgent,
        checkpointable=job.checkpointable,
        retries=job.retries,
    )


def replica_task_spec(service: Service, job_id: str) -> TaskSpec:
    """Return the specification of the replicas of ``service``, admitted as ``job_id``."""
    return TaskSpec(
        job_id=job_id,
        name=service.name,
        team=service.team,
        command=service.command,
        size=service.size,
        service=service.name,
        slots=service.slots,
        standing=service.standing,
        rank=RANK_BY_PRIORITY[service.priority],
    )


def decode_task_spec(raw: dict[str, Any]) -> TaskSpec:
    """Decode the JSON form of a specification, ignoring unknown fields."""
    return convert(raw, TaskSpec)


def encode_task_spec(task_spec: TaskSpec) -> dict[str, Any]:
    """Return the JSON form of a specification."""
    return to_builtins(task_spec)


def make_task_id(job_id: str, index: int) -> str:
    """Return the id of task ``index`` of a job, unique in the whole system."""
    return f"{job_id}:{index}"


def make_run_id(task_id: str, run: int) -> str:
    """Return the id of a run, which also names its checkpoint."""
    return f"{task_id}.{run}"


def parse_task_id(task_id: str) -> tuple[str, int]:
    """Return the job id and the index of a task; the index is -1 if the id has none."""
    job_id, _, index = task_id.rpartition(":")
    return job_id, int(index) if index.isdigit() else -1


def declared_replica(index: int) -> int:
    """Return the index of the declared replica that ``index`` denotes or replaces."""
    return index % REPLACEMENT_STRIDE

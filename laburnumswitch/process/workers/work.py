"""Descriptions of tasks as shards hold them, and the names of tasks."""

from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec import Struct
from msgspec import to_builtins

from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.size import Size

RANK_BY_PRIORITY = {"high": 0, "normal": 1, "low": 2}
REPLACEMENT_STRIDE = 65_536


class Work(Struct, frozen=True, omit_defaults=True):
    """What all tasks of one job have in common.

    ``name`` is the class of the tasks: the name of the job or service. ``service`` is empty for
    batch work. ``rank`` orders services, 0 first.
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


class Again(NamedTuple):
    """A pending task that ran before; ``checkpoint_run`` is 0 where no state was saved."""

    index: int
    next_run: int
    checkpoint_run: int
    failures: int


class TaskKey(NamedTuple):
    """A task within one shard's ledger."""

    group: int
    index: int


def work_of_job(job: Job, job_id: str) -> Work:
    """Return the description of the tasks of ``job`` admitted as ``job_id``."""
    return Work(
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


def work_of_service(service: Service, job_id: str) -> Work:
    """Return the description of the replicas of ``service`` handed out as ``job_id``."""
    return Work(
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


def read_work(raw: dict[str, Any]) -> Work:
    """Decode the JSON form of a description; unknown fields are ignored here."""
    return convert(raw, Work)


def write_work(work: Work) -> dict[str, Any]:
    """Return the JSON form of a description."""
    return to_builtins(work)


def name_task(job_id: str, index: int) -> str:
    """Return the name of task ``index`` of a job, unique in the whole system."""
    return f"{job_id}:{index}"


def name_run(task_id: str, run: int) -> str:
    """Return the name of a run, which is also the name of its checkpoint."""
    return f"{task_id}.{run}"


def split_task(task_id: str) -> tuple[str, int]:
    """Return the job id and the index of a task's name; the index is -1 where it has none."""
    job_id, _, index = task_id.rpartition(":")
    return job_id, int(index) if index.isdigit() else -1


def replica_of(index: int) -> int:
    """Return the declared replica of which ``index`` is a successor, or which it is itself."""
    return index % REPLACEMENT_STRIDE

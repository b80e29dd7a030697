"""Specification of submitted jobs, their steps and tasks, and the configuration of queues."""

from hashlib import sha256
from typing import NamedTuple

from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class Step(NamedTuple):
    """A set of identical tasks of a job.

    :ivar count: number of tasks.
    :ivar cpu_millis: processors of one task, in thousandths of a core.
    :ivar estimate_ms: estimated duration of one task, 0 if unknown.
    :ivar after: indexes of the steps that must be done first.
    :ivar checkpoints: whether a run resumes from the last checkpoint of an earlier run.
    :ivar gang: all tasks start together and make progress only while all of them run; the first one
        that completes completes the step.
    :ivar same_rack: whether a gang is placed in one rack if possible.
    :ivar required_label: label that a worker must have.
    :ivar data_rack: rack that holds the data; other racks are used only if necessary.
    :ivar max_per_worker: largest number of the tasks on one worker, 0 for no limit.
    :ivar speculative: accepted from callers, but not used in scheduling.
    :ivar long_running: the tasks run until the job is cancelled.
    :ivar image: kind of the task, by which its interference with others is learned.
    :ivar tail_target_ms: target of the tail latency if the tasks serve requests, else 0.
    :ivar best_effort: the tasks reserve no processors and use those that others leave idle.
    :ivar max_unavailable: number of the tasks that may be unavailable at a time; not used in
        scheduling.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    best_effort: bool = False
    max_unavailable: int = 0

    @property
    def is_urgent(self) -> bool:
        """Return whether the tasks are neither long-running nor best-effort."""
        return not self.long_running and not self.best_effort


class Submission(NamedTuple):
    """An accepted job.

    :ivar spec: command text for the workers, not interpreted by the scheduler.
    :ivar submitted_s: Unix time of the submission.
    :ivar occurrences: how often the steps are executed; 0 for once, immediately.
    :ivar first_due_s: Unix time of the first occurrence.
    :ivar interval_s: time between two occurrences.
    :ivar organisation: name of the organisation that submitted the job, empty if its queue requires
        no API key.
    """

    job_id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    submitted_s: float
    occurrences: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0
    organisation: str = ""


class TaskKey(NamedTuple):
    """Identifier of one task in the dispatch daemon; ``step`` and ``index`` count from 0."""

    job_id: str
    occurrence: int
    step: int
    index: int


class Queue(NamedTuple):
    """Settings of one queue.

    Requests for ``host`` and ``path_prefix`` submit jobs to the queue, and its tasks run on the
    workers of ``service``. With ``needs_advice``, an external service decides which workers may run
    a step. One call to it takes ``advice_base_s`` plus ``advice_per_worker_s`` for each worker.

    :ivar priority: a lower number goes first.
    :ivar max_attempts: number of failed runs of a task after which its job fails.
    :ivar stretch: factor of a job's critical path in the target of its duration.
    :ivar objective_s: constant part of the target of a job's duration.
    :ivar advice_valid_s: how long tickets are valid if the service's answer does not say.
    :ivar requires_key: whether callers need an API key of an organisation.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_s: float = 1.0
    timeout_s: float = 3.0
    needs_advice: bool = False
    advice_base_s: float = 0.0
    advice_per_worker_s: float = 0.0
    advice_valid_s: float = 0.0
    requires_key: bool = False


class Limits(NamedTuple):
    """Limits of callers' connections: sizes of a body and a head, idle time, time for a head."""

    body_bytes: int = 262_144
    idle_s: float = 15.0
    head_bytes: int = 16_384
    head_s: float = 3.0


class Organisation(NamedTuple):
    """Settings of one organisation.

    :ivar weight: its share while work waits, and the number of jobs per second that it is owed.
    :ivar limit: resources that its running tasks may use; a component of 0 is unlimited.
    :ivar key_digests: SHA-256 digests of its API keys, in hexadecimal. The keys themselves are not
        kept.
    """

    name: str
    weight: float = 1.0
    limit: Size = ZERO
    key_digests: tuple[str, ...] = ()


class QueueConfiguration(NamedTuple):
    """One version of the operators' configuration.

    :ivar rejects_overload_by_service: whether the workers of a service refuse work beyond their
        capacity.
    :ivar organisations_by_name: empty where callers need no API keys.
    """

    version: int
    queues_by_name: dict[str, Queue]
    rejects_overload_by_service: dict[str, bool]
    limits: Limits = Limits()
    organisations_by_name: dict[str, Organisation] = {}


def key_digest(key: bytes) -> str:
    """Return the digest under which an API key is known."""
    return sha256(key).hexdigest()


def may_access_job(organisation: str, job_organisation: str) -> bool:
    """Return whether a caller may read, cancel or repeat a job.

    A job without an organisation was submitted without a key, so it belongs to no one.

    :param organisation: that of the caller, empty if the caller's queue requires no key.
    """
    return job_organisation in ("", organisation)

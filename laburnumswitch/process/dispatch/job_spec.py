"""Specification of submitted jobs, their steps and tasks, and the configuration of queues."""

from typing import NamedTuple


class Step(NamedTuple):
    """A set of identical tasks of a job.

    ``cpu_millis`` are thousandths of a core; ``after`` holds the indexes of the steps that must be
    done first. ``best_effort`` tasks reserve no processors and use those that others leave idle.
    ``long_running`` tasks run until the job is cancelled; with ``tail_target_ms`` they serve
    requests, and this is the target of their tail latency. At most ``max_unavailable`` of them may
    be stopped by the scheduler at a time.
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
        """Return whether the tasks are short and need reserved processors."""
        return not self.long_running and not self.best_effort


class Submission(NamedTuple):
    """An accepted job; ``submitted_s`` is Unix time.

    With ``occurrences`` 0 the job runs once, immediately.
    """

    job_id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    submitted_s: float
    occurrences: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0


class TaskKey(NamedTuple):
    """Identifier of one task."""

    job_id: str
    occurrence: int
    step: int
    index: int


class Queue(NamedTuple):
    """Settings of one queue; a lower ``priority`` goes first.

    The objective for a job's duration is ``stretch`` times its critical path plus ``objective_s``.
    With ``needs_advice``, an external service decides which workers may run a step. One call to it
    takes ``advice_base_s`` plus ``advice_per_worker_s`` for each worker, and its tickets are valid
    for ``advice_valid_s``.
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


class Limits(NamedTuple):
    """Limits of caller connections."""

    body_bytes: int = 262_144
    idle_s: float = 15.0


class QueueConfiguration(NamedTuple):
    """One version of the operators' configuration.

    ``rejects_overload_by_service`` tells for each service whether its workers reject overload.
    """

    version: int
    queues_by_name: dict[str, Queue]
    rejects_overload_by_service: dict[str, bool]
    limits: Limits = Limits()

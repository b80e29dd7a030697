"""Submitted jobs, their steps and the names of their tasks."""

from typing import NamedTuple


class Step(NamedTuple):
    """Tasks of a job that are alike.

    ``cpu_millis`` are thousandths of a core; ``after`` are indexes of steps to be done first.
    ``filling`` tasks use processors that others leave idle. ``lasting`` ones run until the job is
    cancelled, and with ``tail_target_ms`` serve users of their own. ``max_unavailable`` of them may
    be away at a time by our doing.
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
    lasting: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    filling: bool = False
    max_unavailable: int = 0

    @property
    def is_urgent(self) -> bool:
        """Return whether its tasks are short and need room of their own."""
        return not self.lasting and not self.filling


class Submission(NamedTuple):
    """A job as accepted. ``submitted_s`` is Unix time; with ``occurrences`` 0 it runs once, now."""

    job_id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    submitted_s: float
    occurrences: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0


class TaskKey(NamedTuple):
    """Name of one task."""

    job_id: str
    occurrence: int
    step: int
    index: int


class Queue(NamedTuple):
    """How the jobs of one queue are treated; lower ``priority`` first.

    A job's objective is ``stretch`` times its longest chain of work plus ``objective_s``. Where
    ``needs_advice``, an outside service tells which workers may run a step; one call takes
    ``advice_base_s`` and ``advice_each_s`` a worker, and its tickets last ``advice_valid_s``.
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
    advice_each_s: float = 0.0
    advice_valid_s: float = 0.0


class Limits(NamedTuple):
    """Limits of callers' connections."""

    body_bytes: int = 262_144
    idle_s: float = 15.0


class QueueConfiguration(NamedTuple):
    """One version of the operators' configuration, by the names of queues and services."""

    version: int
    queues_by_name: dict[str, Queue]
    guarded_by_service: dict[str, bool]
    limits: Limits = Limits()

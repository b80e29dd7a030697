"""Bodies that callers send to submit a job, and the answers that they get."""

from msgspec import DecodeError
from msgspec import Struct
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.exceptions import CallerRefused
from laburnumswitch.process.dispatch.work import Step
from laburnumswitch.process.dispatch.work import Submission

MS_PER_S = 1000.0
# Header in which callers say how long they wait, in milliseconds.
PATIENCE_HEADER = "HTTP_X_DEADLINE_MS"


class _Step(
    Struct,
    rename={
        "memory_mb": "memMb",
        "accelerators": "gpu",
        "estimate_ms": "estimateMs",
        "same_rack": "sameRack",
        "required_label": "requires",
        "data_rack": "affinity",
        "max_per_worker": "antiAffinity",
        "lasting": "longRunning",
        "tail_target_ms": "targetMs",
        "filling": "fills",
        "max_unavailable": "mayMiss",
        "cpu_millis": "cpu",
    },
):
    # The names of the fields are those of ``Step``; ``affinity`` names the rack of the data.
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


class _Job(Struct, rename={"first_run_ms": "firstRunMs", "interval_ms": "intervalMs"}):
    spec: str
    steps: tuple[_Step, ...]
    times: int = 0
    first_run_ms: float = 0.0
    interval_ms: float = 0.0


def decode_submission(
    body: bytes, job_id: str, queue: str, now_s: float
) -> Submission | CallerRefused:
    """Return the job that a body describes.

    :param now_s: Unix time of the submission in seconds.
    """
    try:
        job = decode(body, type=_Job)
    except (DecodeError, ValidationError) as error:
        return CallerRefused(400, str(error))
    steps = tuple(Step(*(getattr(step, name) for name in Step._fields)) for step in job.steps)
    for index, step in enumerate(steps):
        if step.count < 1 or any(not 0 <= earlier < index for earlier in step.after):
            return CallerRefused(400, f"step {index} is empty or comes after a later one")
    return Submission(
        job_id,
        queue,
        job.spec,
        steps,
        now_s,
        job.times,
        job.first_run_ms / MS_PER_S,
        job.interval_ms / MS_PER_S,
    )


def encode_state(state: str) -> bytes:
    """Return the body that tells a job's state."""
    return encode({"state": state})


def encode_pending(count: int) -> bytes:
    """Return the body that tells how many jobs of a queue have not begun."""
    return encode({"pending": count})

"""Decoding of job submissions, and encoding of the answers to callers."""

from typing import Any

from msgspec import convert
from msgspec import DecodeError
from msgspec import Raw
from msgspec import Struct
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.exceptions import CallerRefused
from laburnumswitch.process.dispatch.job_checks import find_defect
from laburnumswitch.process.dispatch.job_checks import find_odd_value
from laburnumswitch.process.dispatch.job_size import find_excess
from laburnumswitch.process.dispatch.job_size import find_row_excess
from laburnumswitch.process.dispatch.job_size import MAX_STEPS
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.units import MS_PER_S

# Header with the time in milliseconds that a caller waits for the answer.
DEADLINE_HEADER = "HTTP_X_DEADLINE_MS"


# Fields of ``Step`` by their names in the platform's messages. ``affinity`` is the rack that holds
# the data, ``targetMs`` the target of the tail latency of a long-running task, and ``mayMiss`` the
# number of its tasks that may be unavailable at a time.
STEP_FIELD_BY_NAME = {
    "count": "count",
    "cpu": "cpu_millis",
    "memMb": "memory_mb",
    "gpu": "accelerators",
    "estimateMs": "estimate_ms",
    "after": "after",
    "checkpoints": "checkpoints",
    "gang": "gang",
    "sameRack": "same_rack",
    "requires": "required_label",
    "affinity": "data_rack",
    "antiAffinity": "max_per_worker",
    "speculative": "speculative",
    "longRunning": "long_running",
    "image": "image",
    "targetMs": "tail_target_ms",
    "fills": "best_effort",
    "mayMiss": "max_unavailable",
}


class _Job(Struct, rename={"first_run_ms": "firstRunMs", "interval_ms": "intervalMs"}):
    spec: str
    # Decoded one by one, and only if there are not too many: decoded steps take tens of times the
    # bytes of the message.
    steps: list[Raw]
    times: int = 0
    first_run_ms: float = 0.0
    interval_ms: float = 0.0


def decode_submission(
    body: bytes, job_id: str, queue: str, now_s: float
) -> Submission | CallerRefused:
    """Decode a submitted job.

    :param now_s: Unix time of the submission, in seconds.
    """
    try:
        job = decode(body, type=_Job)
        if len(job.steps) > MAX_STEPS:
            return CallerRefused(400, f"more than {MAX_STEPS} steps")
        steps = tuple(_decode_step(decode(step, type=dict[str, Any])) for step in job.steps)
    except (DecodeError, ValidationError, RecursionError) as error:
        return CallerRefused(400, str(error))
    submission = Submission(
        job_id,
        queue,
        job.spec,
        steps,
        now_s,
        job.times,
        job.first_run_ms / MS_PER_S,
        job.interval_ms / MS_PER_S,
    )
    defect = (
        find_defect(submission)
        or find_odd_value(submission)
        or find_excess(steps)
        or find_row_excess(submission)
    )
    return submission if defect is None else CallerRefused(400, defect)


def _decode_step(fields: dict[str, Any]) -> Step:
    known = {
        STEP_FIELD_BY_NAME[name]: fields[name] for name in fields if name in STEP_FIELD_BY_NAME
    }
    # A missing count becomes 0; ``decode_submission`` refuses steps without tasks.
    return convert(list(Step(**{"count": 0, **known})), Step)


def encode_state(state: str) -> bytes:
    """Return the answer body with a job's state."""
    return encode({"state": state})


def encode_pending(count: int) -> bytes:
    """Return the answer body with the number of a queue's jobs that have not started."""
    return encode({"pending": count})

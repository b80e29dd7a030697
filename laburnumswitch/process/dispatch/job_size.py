"""Bounds on the size of a job.

Load pattern: a submission of a few bytes asks for a million tasks, or one of legal size lists tens
of thousands of steps. The owner keeps an object for each step and task, so that either takes
hundreds of MB.
"""

from collections.abc import Sequence

from msgspec.json import encode

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission

# Both are well over what queues use, which is tens of steps and thousands of tasks. A task takes
# about 300 bytes on the owner.
MAX_STEPS = 1_024
MAX_TASKS = 32_768
# Size of a row of the platform's store, which holds a submission as JSON.
MAX_ROW_BYTES = 65_536


def find_excess(steps: Sequence[Step]) -> str | None:
    """Return why a job with these steps is too large, ``None`` if it is not."""
    if len(steps) > MAX_STEPS:
        return f"more than {MAX_STEPS} steps"
    if sum(step.count for step in steps) > MAX_TASKS:
        return f"more than {MAX_TASKS} tasks"
    if any(len(step.after) > index for index, step in enumerate(steps)):
        return "a step comes after more steps than there are"
    return None


def find_row_excess(submission: Submission) -> str | None:
    """Return why a job can never be stored, ``None`` if it can."""
    row_bytes = len(encode(submission))
    return f"more than {MAX_ROW_BYTES} bytes to store" if row_bytes > MAX_ROW_BYTES else None

"""Checks of submitted jobs, beside those of their size."""

from math import isfinite

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission

# Fields of a step that hold amounts or times, none of which can be negative.
AMOUNTS = (
    "cpu_millis",
    "memory_mb",
    "accelerators",
    "estimate_ms",
    "max_per_worker",
    "tail_target_ms",
    "max_unavailable",
)
# Upper bound of amounts and times: sums and products of larger ones may be infinite.
MAX_AMOUNT = 1e15


def find_defect(submission: Submission) -> str | None:
    """Return why a job can never be scheduled, ``None`` if it can."""
    if not submission.steps:
        return "no steps"
    return find_broken_step(submission)


def find_broken_step(submission: Submission) -> str | None:
    """Return which step has no tasks, or comes after one that is not before it."""
    for index, step in enumerate(submission.steps):
        if step.count < 1 or any(not 0 <= earlier < index for earlier in step.after):
            return f"step {index} is empty or comes after a later one"
    return None


def find_odd_value(submission: Submission) -> str | None:
    """Return which value of a job is out of all bounds, ``None`` if none is."""
    if submission.occurrences < 0 or not _is_amount(submission.interval_s):
        return "the times of the occurrences are not in order"
    if not isfinite(submission.first_due_s):
        return "the time of the first occurrence is not a time"
    for index, step in enumerate(submission.steps):
        if not _has_amounts(step):
            return f"an amount of step {index} is negative or too large"
    return None


def _has_amounts(step: Step) -> bool:
    return all(_is_amount(getattr(step, name)) for name in AMOUNTS)


def _is_amount(value: float) -> bool:
    return 0 <= value <= MAX_AMOUNT

"""Checks the recorded facts of worker processes against the guarantees to callers."""

from collections import defaultdict
from collections.abc import Iterable
from itertools import combinations
from pathlib import Path
from typing import Any
from typing import NamedTuple

from msgspec.json import decode

from laburnumswitch.platform.workers import format_task_id
from laburnumswitch.platform.workers import parse_task_id
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from standin.fleet.invariant_checker import Violation
from standin.fleet.worker import spec_checksum

# A start by an entry that could have known of the completion of the job is a violation after it.
COMPLETION_SLACK_S = 1.0
NEVER = float("inf")

Fact = dict[str, Any]


class Span(NamedTuple):
    """A time span, in seconds of ``CLOCK_MONOTONIC``."""

    start_s: float
    end_s: float


class RecordedRun(NamedTuple):
    """One run of a task on a worker, in seconds of ``CLOCK_MONOTONIC``.

    :ivar incarnation: Unix millisecond of the start of the worker's process.
    :ivar spec: checksum of the spec in the start.
    :ivar checkpoint: the one from which the run was resumed, or empty.
    :ivar is_late: whether the worker carried out the start late.
    :ivar end_s: when the run worked for the last time; infinite if it has not ended.
    :ivar outcome: how it ended, ``gone`` if its process was killed, empty if it has not ended.
    :ivar noted_s: when an entry acknowledged the end; ``None`` if none did.
    :ivar is_noted_after_lapse: whether the worker's lease expired between the end and that.
    :ivar pauses: spans in which the worker was paused.
    """

    task: TaskKey
    run: int
    worker_id: str
    incarnation: int
    fence: int
    spec: int
    checkpoint: str
    is_late: bool
    start_s: float
    end_s: float = NEVER
    outcome: str = ""
    noted_s: float | None = None
    is_noted_after_lapse: bool = False
    pauses: tuple[Span, ...] = ()

    def __str__(self) -> str:
        late = ", carried out late" if self.is_late else ""
        noted = f", noted {self.noted_s:.3f}" if self.noted_s is not None else ""
        return (
            f"run {self.run} on {self.worker_id} born {self.incarnation} fence {self.fence}{late}, "
            f"{self.start_s:.3f} to {self.end_s:.3f} {self.outcome or 'not ended'}{noted}"
        )


def read_facts(path: Path) -> list[Fact]:
    """Return the facts in the record file of a worker."""
    return [decode(line) for line in path.read_bytes().splitlines()]


def collect_runs(facts: Iterable[Fact]) -> list[RecordedRun]:
    """Return the runs of one worker from its facts, in the order in which they were recorded."""
    collected: list[RecordedRun] = []
    incarnation_facts: list[Fact] = []
    for fact in facts:
        if fact["fact"] == "boot":
            collected += _runs_of_incarnation(incarnation_facts)
            incarnation_facts = []
        incarnation_facts.append(fact)
    return collected + _runs_of_incarnation(incarnation_facts)


def find_violations(
    runs: list[RecordedRun],
    submission_by_id: dict[str, Submission],
    completed_s_by_id: dict[str, float],
) -> list[Violation]:
    """Check the runs of all workers; jobs were shown as completed at the given times."""
    runs_by_task: dict[TaskKey, list[RecordedRun]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.start_s):
        runs_by_task[run.task].append(run)
    done_s_by_task = {
        task: min(run.end_s for run in task_runs if run.outcome == RunOutcome.DONE)
        for task, task_runs in runs_by_task.items()
        if any(run.outcome == RunOutcome.DONE for run in task_runs)
    }
    violations = []
    for task, task_runs in runs_by_task.items():
        submission = submission_by_id.get(task.job_id)
        if submission is None:
            violations += [_violation("unasked", run) for run in task_runs]
            continue
        violations += _find_altered(task_runs, submission)
        violations += _find_twice(task_runs, completed_s_by_id.get(task.job_id, NEVER))
        violations += _find_early(task_runs, submission, done_s_by_task)
    for job_id, at_s in completed_s_by_id.items():
        violations += _find_premature(submission_by_id[job_id], at_s, done_s_by_task)
    return sorted(violations)


def _runs_of_incarnation(facts: list[Fact]) -> list[RecordedRun]:
    """Return the runs of one process start, whose first fact is its boot."""
    late_numbers: set[tuple[str, int]] = set()
    run_by_number: dict[tuple[str, int], RecordedRun] = {}
    pauses: list[Span] = []
    lapses_s: list[float] = []
    boot = facts[0] if facts else {}
    for fact in facts:
        number = (fact.get("task", ""), fact.get("run", 0))
        match fact["fact"]:
            case "late":
                late_numbers.add(number)
            case "start":
                run_by_number[number] = RecordedRun(
                    parse_task_id(fact["task"]),
                    fact["run"],
                    boot["worker"],
                    boot["born"],
                    fact["fence"],
                    fact["spec"],
                    fact["checkpoint"],
                    number in late_numbers,
                    fact["at"],
                )
            case "end":
                run_by_number[number] = run_by_number[number]._replace(
                    end_s=fact["at"], outcome=fact["how"]
                )
            case "noted":
                run = run_by_number[number]
                run_by_number[number] = run._replace(
                    noted_s=fact["at"],
                    is_noted_after_lapse=any(at_s >= run.end_s for at_s in lapses_s),
                )
            case "lapse":
                lapses_s.append(fact["at"])
            case "paused":
                pauses.append(Span(fact["at"], NEVER))
            case "resumed":
                pauses[-1] = pauses[-1]._replace(end_s=fact["at"])
            case "gone":
                for key, run in run_by_number.items():
                    if not run.outcome:
                        run_by_number[key] = run._replace(end_s=fact["at"], outcome="gone")
    return [run._replace(pauses=tuple(pauses)) for run in run_by_number.values()]


def _find_altered(task_runs: list[RecordedRun], submission: Submission) -> list[Violation]:
    """Return the starts with another spec, or with a checkpoint of another task."""
    checksum = spec_checksum(submission.spec)
    violations = [
        _violation("unasked", run, "another spec") for run in task_runs if run.spec != checksum
    ]
    for run in task_runs:
        if run.checkpoint and run.checkpoint.partition("-")[0] != str(run.task.index):
            violations.append(_violation("unasked", run, f"checkpoint {run.checkpoint}"))
    return violations


def _find_twice(task_runs: list[RecordedRun], completed_s: float) -> list[Violation]:
    violations = []
    for first, second in combinations(task_runs, 2):
        if _work_together(first, second):
            violations.append(_violation("twice", second, f"at the same time as {first}"))
        is_noted = first.noted_s is not None and not first.is_noted_after_lapse
        if first.outcome == RunOutcome.DONE and is_noted and second.start_s >= first.end_s:
            violations.append(_violation("twice", second, f"after the end of {first}"))
    for run in task_runs:
        if not run.is_late and run.start_s > completed_s + COMPLETION_SLACK_S:
            details = f"after its job was shown as completed at {completed_s:.3f}"
            violations.append(_violation("twice", run, details))
    return violations


def _work_together(first: RecordedRun, second: RecordedRun) -> bool:
    """Return whether both run at one time at which both workers are up."""
    start_s = max(first.start_s, second.start_s)
    end_s = min(first.end_s, second.end_s)
    for pause in sorted(first.pauses + second.pauses):
        if pause.start_s > start_s:
            break
        start_s = max(start_s, pause.end_s)
    return start_s < end_s


def _find_early(
    task_runs: list[RecordedRun], submission: Submission, done_s_by_task: dict[TaskKey, float]
) -> list[Violation]:
    task = task_runs[0].task
    violations = []
    for step in submission.steps[task.step].after:
        for index in range(submission.steps[step].count):
            earlier = task._replace(step=step, index=index)
            done_s = done_s_by_task.get(earlier, NEVER)
            violations += [
                _violation("order", run, f"before {format_task_id(earlier)}, done {done_s:.3f}")
                for run in task_runs
                if run.start_s < done_s
            ]
    return violations


def _find_premature(
    submission: Submission, completed_s: float, done_s_by_task: dict[TaskKey, float]
) -> list[Violation]:
    tasks = [
        TaskKey(submission.job_id, 0, number, index)
        for number, step in enumerate(submission.steps)
        for index in range(step.count)
    ]
    return [
        Violation(completed_s, "completed", submission.job_id, f"{format_task_id(task)} not done")
        for task in tasks
        if done_s_by_task.get(task, NEVER) > completed_s
    ]


def _violation(guarantee: str, run: RecordedRun, details: str = "") -> Violation:
    return Violation(run.start_s, guarantee, format_task_id(run.task), f"{run}; {details}")

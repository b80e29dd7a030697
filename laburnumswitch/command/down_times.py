"""The ``downtimes`` command: how long tasks were down, from the logs of several entries.

Each owner knows only its own part of such a time. The lines of all entries give the whole of it,
and the waits that it consists of. Their clocks may differ.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple
from typing import TextIO

import click

from laburnumswitch.command.access import json_option
from laburnumswitch.command.explain import DecisionLine
from laburnumswitch.command.explain import parse_decision_lines
from laburnumswitch.command.output import format_time
from laburnumswitch.command.output import print_rows

# Lines that only an owner writes.
OWNER_EVENTS = frozenset(
    {
        "commitment",
        "handover",
        "job_taken",
        "owner_load",
        "ownership_released",
        "run_adopted",
        "run_ended",
        "run_released",
        "run_start",
        "superseded",
        "task_down",
        "tasks_waiting",
    }
)
CONTACT_EVENTS = frozenset({"worker_silent", "worker_reached"})
# Causes of parts of a gap, beside the reasons of ``task_down``.
NO_OWNER = "no_owner"
UNSEEN = "unseen"


class Gap(NamedTuple):
    """Time from the end of a run of a task to its next start.

    :ivar ended_s: when an entry logged the end, as Unix time in seconds. If none did, when the
        worker last answered before it was silent, or since when the owner that started the next run
        took the task to be down, whichever is earlier.
    :ivar unheard_s: for how long the worker had been silent when the end was logged, in seconds:
        the run may have ended by as much earlier. 0 if the worker reported the end.
    :ivar started_s: when the next start was confirmed, or, if it never was, when the run was
        reported to have ended; ``None`` if no line says so.
    :ivar owners: VMs that took over in between, in order.
    :ivar waited_s_by_cause: seconds by reason of ``task_down`` or, without such a line, of
        ``run_start``, ``NO_OWNER`` from the last line of an owner to the next takeover, and
        ``UNSEEN`` for the rest.
    """

    task: str
    ended_s: float
    unheard_s: float
    started_s: float | None
    owners: tuple[str, ...]
    waited_s_by_cause: dict[str, float]

    def duration_s(self, now_s: float) -> float:
        """Return the length of the gap in seconds, up to now if it goes on."""
        return (now_s if self.started_s is None else self.started_s) - self.ended_s


class _Interval(NamedTuple):
    cause: str
    began_s: float
    ended_s: float


class _Context(NamedTuple):
    """What happened to all tasks: takeovers, the silence of workers, and the end of the logs."""

    owner_changes: list[tuple[str, _Interval]]
    contacts_by_worker: dict[str, list[DecisionLine]]
    last_s: float


def find_gaps(lines: Iterable[DecisionLine]) -> list[Gap]:
    """Return the gaps of all long-running tasks in the order of their ends.

    A task is known to be long-running by the fields of its starts, or a ``task_down`` line. Gaps
    after the end of a job are left out, and so are first starts.
    """
    ordered = sorted(lines, key=lambda line: line.at_s)
    long_running = {
        line.subject for line in ordered if line.event == "task_down" or "down_s" in line.details
    }
    final_ids = {line.subject for line in ordered if line.event == "job_final"}
    lines_by_task: dict[str, list[DecisionLine]] = {task: [] for task in long_running}
    for line in ordered:
        if line.subject in lines_by_task:
            lines_by_task[line.subject].append(line)
    contacts_by_worker: dict[str, list[DecisionLine]] = {}
    for line in ordered:
        if line.event in CONTACT_EVENTS:
            contacts_by_worker.setdefault(line.subject, []).append(line)
    last_s = ordered[-1].at_s if ordered else 0.0
    context = _Context(_find_owner_changes(ordered), contacts_by_worker, last_s)
    gaps = []
    for task, task_lines in lines_by_task.items():
        found = _find_task_gaps(task, task_lines, context)
        is_final = task.partition(".")[0] in final_ids
        gaps += [gap for gap in found if gap.started_s is not None or not is_final]
    return sorted(gaps, key=lambda gap: gap.ended_s)


def _find_owner_changes(ordered: list[DecisionLine]) -> list[tuple[str, _Interval]]:
    """Return the new owner of each takeover, and the time without an owner before it.

    An owner logs its load once a second, so its last line tells roughly when it was lost.
    """
    changes = []
    owner = ""
    last_sign_s = 0.0
    for line in ordered:
        if line.event == "takeover" and line.details.get("outcome") == "taken":
            began_s = last_sign_s if owner else line.at_s
            changes.append((line.vm, _Interval(NO_OWNER, began_s, line.at_s)))
            owner, last_sign_s = line.vm, line.at_s
        elif line.event in OWNER_EVENTS and owner in ("", line.vm):
            owner, last_sign_s = line.vm, line.at_s
    return changes


def _find_task_gaps(task: str, lines: list[DecisionLine], context: _Context) -> list[Gap]:
    gaps = []
    # The last run's first line, and that of its end once there is one.
    begin: DecisionLine | None = None
    end: DecisionLine | None = None
    last_run = 0
    for line in lines:
        run = line.details.get("run", 0)
        if run > last_run and (_is_start(line) or _is_end(line)):
            if end is not None:
                gaps.append(_describe_gap(task, lines, _logged_end(end), line, context))
            elif begin is not None and "down_s" in line.details:
                gaps.append(
                    _describe_gap(task, lines, _find_end(begin, line, context), line, context)
                )
            last_run, begin, end = run, line, None
        if run == last_run and end is None and _is_end(line):
            end = line
    if end is not None:
        gaps.append(_describe_gap(task, lines, _logged_end(end), None, context))
    return gaps


def _logged_end(end: DecisionLine) -> tuple[float, float]:
    """Return when a run ended, and for how long its worker had been silent."""
    is_reported = end.event == "run_ended"
    return end.at_s, 0.0 if is_reported else end.details.get("answered_s_ago") or 0.0


def _find_end(begin: DecisionLine, start: DecisionLine, context: _Context) -> tuple[float, float]:
    """Return the same of a run whose end no owner logged, from the silence of its worker."""
    ended_s = start.at_s - start.details["down_s"]
    silent_since_s = inf
    for line in context.contacts_by_worker.get(begin.details.get("worker", ""), ()):
        if not begin.at_s <= line.at_s <= start.at_s:
            continue
        answered_s_ago = line.details.get("answered_s_ago")
        if line.event == "worker_reached":
            silent_since_s = inf
        elif answered_s_ago is not None:
            silent_since_s = min(silent_since_s, line.at_s - answered_s_ago)
    return min(ended_s, silent_since_s), 0.0


def _is_start(line: DecisionLine) -> bool:
    if line.event == "run_start":
        return line.details.get("outcome") == "started"
    return line.event == "run_adopted"


def _is_end(line: DecisionLine) -> bool:
    """Return whether a run ended; one that is released without a confirmed start never began."""
    if line.event == "run_released":
        return line.details.get("confirmed_s_ago") is not None
    return line.event == "run_ended"


def _describe_gap(
    task: str,
    lines: list[DecisionLine],
    end: tuple[float, float],
    start: DecisionLine | None,
    context: _Context,
) -> Gap:
    ended_s, unheard_s = end
    started_s = None if start is None else start.at_s
    until_s = context.last_s if started_s is None else started_s
    changes = [change for change in context.owner_changes if ended_s < change[1].ended_s <= until_s]
    down_lines = [
        line for line in lines if line.event == "task_down" and ended_s < line.at_s <= until_s
    ]
    intervals = [interval for _, interval in changes]
    intervals += [
        _Interval(line.details["reason"], line.at_s - line.details["reason_for_s"], line.at_s)
        for line in down_lines
    ]
    intervals += _last_interval(down_lines, start)
    waited_s_by_cause = _measure(intervals, ended_s, until_s)
    owners = tuple(vm for vm, _ in changes)
    return Gap(task, ended_s, unheard_s, started_s, owners, waited_s_by_cause)


def _last_interval(down_lines: list[DecisionLine], start: DecisionLine | None) -> list[_Interval]:
    """Return the interval up to the start of which no ``task_down`` line tells any more."""
    if start is None or start.event != "run_start":
        return []
    last = down_lines[-1] if down_lines else None
    if last is not None and last.vm == start.vm:
        return [_Interval(last.details["reason"], last.at_s, start.at_s)]
    waited_s = start.details.get("longest_wait_s", 0.0)
    reason = start.details.get("longest_wait", "")
    return [_Interval(reason, start.at_s - waited_s, start.at_s)] if reason else []


def _measure(intervals: list[_Interval], began_s: float, until_s: float) -> dict[str, float]:
    """Return the seconds by cause; where intervals overlap, the one that ended first counts."""
    waited_s: dict[str, float] = {}
    covered_s = began_s
    for interval in sorted(intervals, key=lambda each: each.ended_s):
        end_s = min(interval.ended_s, until_s)
        if end_s <= covered_s:
            continue
        begin_s = max(interval.began_s, covered_s)
        if begin_s > covered_s:
            waited_s[UNSEEN] = waited_s.get(UNSEEN, 0.0) + begin_s - covered_s
        waited_s[interval.cause] = waited_s.get(interval.cause, 0.0) + end_s - begin_s
        covered_s = end_s
    if until_s > covered_s:
        waited_s[UNSEEN] = waited_s.get(UNSEEN, 0.0) + until_s - covered_s
    return {cause: round(seconds, 3) for cause, seconds in waited_s.items()}


@click.command()
@click.argument("logs", nargs=-1, type=click.File("r"), required=True)
@click.option("--over", "over_s", default=3.0, metavar="SECONDS", help="Leave out shorter times.")
@json_option
def downtimes(logs: tuple[TextIO, ...], over_s: float, as_json: bool) -> None:
    """Show how long long-running tasks were down, and why, from entries' logs.

    \b
    Example:
      laburnumswitch downtimes entry-1.log entry-2.log --over 6
    """
    lines = [line for log in logs for line in parse_decision_lines(log)]
    now_s = max((line.at_s for line in lines), default=0.0)
    rows = [
        {
            "task": gap.task,
            "ended": format_time(gap.ended_s),
            "started": format_time(gap.started_s or 0.0),
            "down_s": round(gap.duration_s(now_s), 3),
            "unheard_s": round(gap.unheard_s, 3),
            "owners": ", ".join(gap.owners),
            "waited_s": gap.waited_s_by_cause,
        }
        for gap in find_gaps(lines)
        if gap.duration_s(now_s) >= over_s
    ]
    print_rows(rows, as_json)

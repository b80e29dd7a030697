"""How long long-running tasks were down between two runs, from the logs of several entries.

Each owner knows only its own part of such a time. The lines of all entries give the whole of it,
and the waits that it consists of. Their clocks may differ.
"""

from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.command.explain import DecisionLine

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
# Causes of parts of a gap, beside the reasons of ``task_down``.
NO_OWNER = "no_owner"
UNSEEN = "unseen"


class Gap(NamedTuple):
    """Time from the end of a run of a task to its next start.

    :ivar ended_s: when an entry logged the end, as Unix time in seconds; if none did, since when
        the owner that started the next run took the task to be down.
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
    owner_changes = _find_owner_changes(ordered)
    last_s = ordered[-1].at_s if ordered else 0.0
    gaps = []
    for task, task_lines in lines_by_task.items():
        found = _find_task_gaps(task, task_lines, owner_changes, last_s)
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


def _find_task_gaps(
    task: str,
    lines: list[DecisionLine],
    owner_changes: list[tuple[str, _Interval]],
    last_s: float,
) -> list[Gap]:
    gaps = []
    end: DecisionLine | None = None
    last_run = 0
    for line in lines:
        run = line.details.get("run", 0)
        if run > last_run and (_is_start(line) or _is_end(line)):
            if end is not None or (last_run and "down_s" in line.details):
                gaps.append(_describe_gap(task, lines, end, line, owner_changes, last_s))
            last_run, end = run, None
        if run == last_run and end is None and _is_end(line):
            end = line
    if end is not None:
        gaps.append(_describe_gap(task, lines, end, None, owner_changes, last_s))
    return gaps


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
    end: DecisionLine | None,
    start: DecisionLine | None,
    owner_changes: list[tuple[str, _Interval]],
    last_s: float,
) -> Gap:
    started_s = None if start is None else start.at_s
    until_s = last_s if started_s is None else started_s
    unheard_s = 0.0
    if end is not None:
        ended_s = end.at_s
        if end.event == "run_released":
            unheard_s = end.details.get("answered_s_ago") or 0.0
    else:
        ended_s = until_s - start.details["down_s"]
    changes = [change for change in owner_changes if ended_s < change[1].ended_s <= until_s]
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

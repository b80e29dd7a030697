"""Since when long-running tasks have been down, and which waits that time consists of, for the log.

Users count from the end of a task's last run. Several waits follow each other until its next start,
and each is short enough by itself; the log has to name the one that took most of the time.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Container
from enum import StrEnum
from math import inf
from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.job_spec import TaskKey

# Bounds, in seconds, by which starts are counted by how long their tasks were down. Users look for
# the first run after three seconds, and for each later one after six, and nine at the latest.
DOWN_BOUNDS_S = (1.0, 3.0, 6.0, 9.0)


class WaitReason(StrEnum):
    """Why a task does not run, in the order of the waits between two of its runs.

    Of the owner: ``LOADING``: it has not loaded the stored state. ``UNCONFIRMED``: it may have been
    replaced, as its last commit is too old. ``QUEUE``: the job's queue is not configured.

    Of runs that may exist: ``UNKNOWN_RUNS``: an earlier owner may have started it on a worker that
    has not answered. ``SILENT``: its last run may go on, on a worker that does not answer.
    ``STOPPING``: its last run was stopped and has not ended. ``STARTING``: its start was not
    answered yet, or has to be voided.

    Of its job: ``CRASHES``: workers crashed under it, which is not stored yet. ``QUOTA``: its
    organisation is at its limit. ``RETRY``: no worker was suitable, and it is tried again shortly.
    ``ADVICE``: no worker with room is permitted. ``PLACE``: it waits for a preferred rack.
    ``GANG``: not all members fit at once, or some still run. ``SPREAD``: each worker with room has
    as many tasks of the step as it may have. ``SUSPECTS``: workers with room run other tasks that
    may crash them. ``KEPT``: what is free is kept for urgent tasks.

    Of the workers: ``LISTINGS``: the owner has not read which of them leave. ``PLANNING``: a usable
    worker has room for it. ``UNUSABLE``: only workers that get no starts at present have room.
    ``MEMORY``: workers have the processors, but not the memory. ``PIECES``: the free processors of
    all usable workers suffice, but no worker has enough. ``PROCESSORS``: the free processors of all
    usable workers do not suffice. ``SIZE``: no worker is large enough, or has the required label.

    ``OTHER``: not looked at, because many tasks have waited for longer.
    """

    LOADING = "loading"
    UNCONFIRMED = "unconfirmed"
    QUEUE = "queue"
    UNKNOWN_RUNS = "unknown_runs"
    SILENT = "silent"
    STOPPING = "stopping"
    STARTING = "starting"
    CRASHES = "crashes"
    QUOTA = "quota"
    RETRY = "retry"
    ADVICE = "advice"
    PLACE = "place"
    GANG = "gang"
    SPREAD = "spread"
    SUSPECTS = "suspects"
    KEPT = "kept"
    LISTINGS = "listings"
    PLANNING = "planning"
    UNUSABLE = "unusable"
    MEMORY = "memory"
    PIECES = "pieces"
    PROCESSORS = "processors"
    SIZE = "size"
    OTHER = "other"


class Wait(NamedTuple):
    """The wait that keeps a task from running.

    :ivar began_s: since when it has been the reason, on the owner's clock.
    """

    reason: WaitReason
    began_s: float


class StartDelay:
    """Time from the end of a task's last run to its next start.

    :ivar down_since_s: when the last run was last known to exist, or since when the step has been
        ready if this owner knows of none; on the owner's clock.
    :ivar wait: what the task waits for, as last seen; ``None`` before.
    """

    __slots__ = ("down_since_s", "wait", "_seen_s", "_waited_s_by_reason")

    def __init__(self, down_since_s: float) -> None:
        self.down_since_s = down_since_s
        self.wait: Wait | None = None
        self._seen_s = down_since_s
        self._waited_s_by_reason: dict[WaitReason, float] = {}

    def note_reason(self, reason: WaitReason, now_s: float) -> None:
        """Record what the task waits for now; the time before counts for what was seen before."""
        self._pass_time(reason if self.wait is None else self.wait.reason, now_s)
        if self.wait is None:
            self.wait = Wait(reason, self.down_since_s)
        elif self.wait.reason is not reason:
            self.wait = Wait(reason, now_s)

    def longest_wait(self, now_s: float) -> tuple[str, float]:
        """Return the reason that held for the longest time, and for how long, in seconds.

        The reason is empty if none was seen.
        """
        if self.wait is None:
            return "", 0.0
        self._pass_time(self.wait.reason, now_s)
        reason = max(self._waited_s_by_reason, key=self._waited_s_by_reason.__getitem__)
        return reason, self._waited_s_by_reason[reason]

    def _pass_time(self, reason: WaitReason, now_s: float) -> None:
        waited_s = self._waited_s_by_reason.get(reason, 0.0)
        self._waited_s_by_reason[reason] = waited_s + max(0.0, now_s - self._seen_s)
        self._seen_s = now_s


class DownCount(NamedTuple):
    """Number of tasks that are down for one reason, and for how long the first of them, in seconds.

    Tasks that were not looked at count with 0 seconds, as others have been down for longer.
    """

    tasks: int
    longest_s: float


class StartDelays:
    """Long-running tasks that do not run, as far as the owner knows.

    :ivar down_by_reason: those of the last look, for the metrics.
    :ivar starts_by_bound_s: number of starts of this owner by the first of ``DOWN_BOUNDS_S`` that
        their tasks were not down for, infinity if none.
    :ivar longest_down_s: longest time that a task was down before a start of this owner.
    """

    def __init__(self) -> None:
        self.down_by_reason: dict[WaitReason, DownCount] = {}
        self.starts_by_bound_s: Counter[float] = Counter()
        self.longest_down_s = 0.0
        self._delay_by_task: dict[TaskKey, StartDelay] = {}

    def note_end(self, run: ActiveRun, ready_since_s: float, ended_s: float | None) -> None:
        """Record that a run has ended.

        After a start that was not confirmed, the task has been down for as long as before it.

        :param ready_since_s: since when the step has been ready, for a task without earlier runs.
        :param ended_s: when it was reported to have ended; ``None`` if it was not, so that it may
            have ended right after the last sign of it.
        """
        if not run.step.long_running:
            return
        if run.confirmed_s is None and ended_s is None:
            self._delay_by_task.setdefault(run.task, StartDelay(ready_since_s))
        else:
            self.find(run.task, last_sign_s(run) if ended_s is None else ended_s)

    def find(self, task: TaskKey, down_since_s: float) -> StartDelay:
        """Return the delay of a task that has been down since an instant."""
        known = self._delay_by_task.get(task)
        if known is None or known.down_since_s != down_since_s:
            known = self._delay_by_task[task] = StartDelay(down_since_s)
        return known

    def find_waiting(self, task: TaskKey, ready_since_s: float) -> StartDelay:
        """Return the delay of a waiting task.

        :param ready_since_s: since when the step has been ready, for a task without earlier runs.
        """
        known = self._delay_by_task.get(task)
        return self.find(task, ready_since_s) if known is None else known

    def describe_start(
        self, run: ActiveRun, ready_since_s: float, now_s: float, is_started: bool
    ) -> dict[str, float | str]:
        """Return for the log how long a long-running task was down, and why for the most part.

        :param is_started: whether the worker has confirmed the start, which ends the delay.
        """
        if not run.step.long_running:
            return {}
        delay = self.find_waiting(run.task, ready_since_s)
        reason, waited_s = delay.longest_wait(now_s)
        down_s = max(0.0, now_s - delay.down_since_s)
        if is_started:
            self._count_start(down_s)
            del self._delay_by_task[run.task]
        return {
            "down_s": round(down_s, 3),
            "longest_wait": reason,
            "longest_wait_s": round(waited_s, 3),
        }

    def _count_start(self, down_s: float) -> None:
        bound_s = next((bound for bound in DOWN_BOUNDS_S if down_s < bound), inf)
        self.starts_by_bound_s[bound_s] += 1
        self.longest_down_s = max(down_s, self.longest_down_s)

    def forget_others(
        self, down: Container[TaskKey], find_run: Callable[[TaskKey], ActiveRun | None]
    ) -> None:
        """Forget all tasks but those that are down: the others run, or are not wanted any more.

        :param find_run: returns the run of a task that is not down, ``None`` if it has none.
        """
        for task in [task for task in self._delay_by_task if task not in down]:
            down_since_s = self._delay_by_task.pop(task).down_since_s
            run = find_run(task)
            if run and _was_confirmed_late(run) and run.started_s >= down_since_s:
                self._count_start(run.confirmed_s - down_since_s)


def _was_confirmed_late(run: ActiveRun) -> bool:
    """Return whether a report confirmed a start; an adopted run is confirmed from the beginning."""
    return run.confirmed_s is not None and run.confirmed_s > run.started_s


def last_sign_s(run: ActiveRun) -> float:
    """Return when a run was last known to exist, on the owner's clock."""
    return max(run.reported_s, run.confirmed_s or 0.0)

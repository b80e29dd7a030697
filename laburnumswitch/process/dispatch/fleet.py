"""State of the workers that one owner holds: room, runs, leases and fencing tokens."""

from typing import NamedTuple

from laburnumswitch.process.dispatch.reports import RunReport
from laburnumswitch.process.dispatch.reports import WorkerEntry
from laburnumswitch.process.dispatch.reports import WorkerLink
from laburnumswitch.process.dispatch.work import Step
from laburnumswitch.process.dispatch.work import TaskKey

# A worker's clock runs at least at this rate: the platform allows 2% slow clocks.
SLOWEST_CLOCK = 0.98
# Fencing tokens of one epoch: the owner raises its own to void starts that were not answered.
FENCES_PER_EPOCH = 100_000
# Workers whose entries lapsed with the store are listed again within this time, in seconds.
RELIST_S = 2.2
# A filling run at this share of its speed, in percent, or less is better off elsewhere.
SLOWED_PERCENT = 30
# Share of its reservation that a serving task uses, for want of a report: the users' mean load.
SERVING_USE = 0.6


class Outlook(NamedTuple):
    """What is expected of a serving run.

    :ivar expected: logarithm of its tail over its target.
    :ivar over: probability that the tail exceeds the target.
    :ivar unthrottled: ``expected``, if no filling run beside it were throttled.
    :ivar highest_rise: what the filling run that hurts it most adds to ``unthrottled``.
    :ivar stays_over: whether it has been over its target for a while.
    """

    image: str
    expected: float
    over: float
    unthrottled: float
    highest_rise: float
    stays_over: bool


class ActiveRun:
    """One run that may exist on a worker.

    :ivar confirmed_s: when the worker was known to hold it; ``None`` while the start is in flight.
    :ivar is_uncertain: the start was not answered, and a fence has not voided it yet.
    :ivar is_stopping: it has to end; its room is free once the worker lists the end.
    :ivar under_s: when its tail was last known to be under its target.
    :ivar slowed_s: since when it has been throttled to a small share, ``None`` where it is not.
    """

    __slots__ = (
        "task",
        "run",
        "step",
        "fence",
        "stop_sent_s",
        "confirmed_s",
        "is_uncertain",
        "is_stopping",
        "started_s",
        "percent",
        "measure",
        "throttle",
        "under_s",
        "slowed_s",
    )

    def __init__(self, task: TaskKey, run: int, step: Step, fence: int, now_s: float) -> None:
        self.task = task
        self.run = run
        self.step = step
        self.fence = fence
        self.stop_sent_s = float("-inf")
        self.confirmed_s: float | None = None
        self.is_uncertain = False
        self.is_stopping = False
        self.started_s = now_s
        self.percent = 0.0
        self.measure = 0.0
        self.throttle = 100
        self.under_s = now_s
        self.slowed_s: float | None = None

    def update(self, row: RunReport, now_s: float) -> None:
        """Take over what the worker reports of the run."""
        if self.confirmed_s is None:
            self.confirmed_s = now_s
        self.is_uncertain = False
        self.percent = row.percent
        self.measure = row.measure

    @property
    def is_serving(self) -> bool:
        """Return whether the run's measure is the tail of its users' response times."""
        return self.step.tail_target_ms > 0


class Worker:
    """One incarnation of a worker, as its owner knows it."""

    def __init__(self, entry: WorkerEntry, link: WorkerLink, fence: int) -> None:
        self.entry = entry
        self.link = link
        self.fence = fence
        self.incarnation = 0
        self.is_gone = False
        self.is_voiding = False
        self.unlisted_since_s: float | None = None
        # Starts wait until the owner's list of workers with this one is stored.
        self.listed_by_batch = 0
        # The first answer to this owner's fence has not come yet.
        self.is_reached = False
        self.runs_by_task: dict[TaskKey, ActiveRun] = {}
        self.acknowledged = 0
        self.seen_end = 0
        # Ends that may be acknowledged once the commit of that number has succeeded.
        self.ends_by_commit: list[tuple[int, int]] = []
        self.heard_s = 0.0
        self.clock_s = 0.0
        self.granted_until_s = 0.0
        self.lapse_bound_s = 0.0
        self.blocked_until_s = 0.0
        self.looked_s = 0.0
        self.used_cpu_millis = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        self.filling_cpu_millis = 0
        self.lasting_cpu_millis = 0
        self.urgent_cpu_millis = 0
        # Expected tails of the serving runs, by the placement's model; ``None`` once out of date.
        self.outlook: list[Outlook] | None = None

    @property
    def worker_id(self) -> str:
        """Return the id in the platform's list."""
        return self.entry.worker_id

    def is_listed(self, now_s: float) -> bool:
        """Return whether the platform lists the worker, or did until a moment ago.

        Entries that lapsed while the store was away come back soon after its return.
        """
        return self.unlisted_since_s is None or now_s - self.unlisted_since_s < RELIST_S

    def add_run(self, run: ActiveRun) -> None:
        """Reserve the room of a run."""
        self.runs_by_task[run.task] = run
        self._reserve(run.step, 1)

    def remove_run(self, task: TaskKey) -> ActiveRun | None:
        """Free the room of a run that certainly does not run any more."""
        run = self.runs_by_task.pop(task, None)
        if run is not None:
            self._reserve(run.step, -1)
        return run

    def _reserve(self, step: Step, sign: int) -> None:
        self.outlook = None
        if step.filling:
            self.filling_cpu_millis += sign * step.cpu_millis
        else:
            self.used_cpu_millis += sign * step.cpu_millis
        if step.lasting:
            self.lasting_cpu_millis += sign * step.cpu_millis
        if step.is_urgent:
            self.urgent_cpu_millis += sign * step.cpu_millis
        self.used_memory_mb += sign * step.memory_mb
        self.used_accelerators += sign * step.accelerators

    def fits(self, step: Step) -> bool:
        """Return whether there is room for one more task of a step."""
        entry = self.entry
        return (
            (step.filling or self.used_cpu_millis + step.cpu_millis <= entry.cpu_millis)
            and self.used_memory_mb + step.memory_mb <= entry.memory_mb
            and self.used_accelerators + step.accelerators <= entry.accelerators
        )

    def idle_cpu_millis(self) -> float:
        """Return an estimate of the processors that nothing uses, for filling tasks."""
        used = self.used_cpu_millis - self.lasting_cpu_millis * (1.0 - SERVING_USE)
        return self.entry.cpu_millis - used - self.filling_cpu_millis

    def note_heard(self, now_s: float, clock_s: float) -> None:
        """Note an answer, unless one with a later clock of the worker has overtaken it."""
        if clock_s <= self.clock_s and self.heard_s:
            return
        self.heard_s = now_s
        self.clock_s = clock_s

    def grant_until_s(self, lease_s: float) -> float:
        """Return the end of a lease to grant now, on the worker's clock, and remember the grant.

        It counts from the clock of the last answer, so that a late message extends nothing beyond
        what the owner expects.
        """
        until_s = self.clock_s + lease_s
        if until_s > self.granted_until_s:
            self.granted_until_s = until_s
            self.lapse_bound_s = self.heard_s + lease_s / SLOWEST_CLOCK
        return self.granted_until_s

    def has_certainly_lapsed(self, now_s: float) -> bool:
        """Return whether every lease granted to this incarnation is over."""
        return now_s > self.lapse_bound_s

    def take_acknowledgeable(self, committed: int) -> int:
        """Return the highest end that may be acknowledged after a commit."""
        while self.ends_by_commit and self.ends_by_commit[0][0] <= committed:
            self.acknowledged = max(self.acknowledged, self.ends_by_commit.pop(0)[1])
        return self.acknowledged

    def serving_runs(self) -> list[ActiveRun]:
        """Return the runs that serve users of their own."""
        return [run for run in self.runs_by_task.values() if run.is_serving]

    def filling_runs(self) -> list[ActiveRun]:
        """Return the runs that use idle processors."""
        return [run for run in self.runs_by_task.values() if run.step.filling]

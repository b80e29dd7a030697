"""State of the workers: capacity, runs, leases and fencing tokens."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any
from typing import NamedTuple

from laburnumswitch.process.dispatch.answer_times import AnswerTimes
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import WorkerLink
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.dispatch.worker_protocol import WorkerReport

# Lowest rate of a worker's clock: the platform allows clocks to be 2% slow.
MIN_CLOCK_RATE = 0.98
# Longest lease that an owner grants, in seconds. Leases have to outlast the replacement of a silent
# owner, which takes about five seconds; tasks of a lost worker wait until its lease has expired.
MAX_LEASE_S = 6.0
# A worker whose last answer was made less than this ago, in seconds, is taken not to have restarted
# since.
MIN_RESTART_S = 0.1
# A worker that has not answered for this long, in seconds, gets no starts, and its leases are not
# extended: it has missed two renewals.
MAX_SILENCE_S = 2.2
# A command is delivered within this time, in seconds, unless its answer is lost.
DELIVERY_S = 0.5
# Timers of workers fire late by less than this, in seconds.
TIMER_SLACK_S = 0.05
# Number of fencing tokens per epoch: the owner raises a worker's token to void unanswered starts.
FENCES_PER_EPOCH = 100_000
# Workers whose listings expired during an outage of the store are listed again within this time, in
# seconds.
RELIST_GRACE_S = 2.2
# Speeds are multiples of this many percent, so that small changes cause no call to the worker.
SPEED_GRANULARITY_PERCENT = 10
# A best-effort run that is limited to this percentage of its speed or less counts as heavily
# throttled and may be moved to another worker.
HEAVY_THROTTLE_PERCENT = 30
# Assumed mean share of its reservation that a long-running task uses, since workers do not report
# the processor use of serving tasks.
DEFAULT_SERVING_UTILISATION = 0.6


class RunsKnownBy(StrEnum):
    """What tells an owner which runs of earlier owners exist on a worker.

    ``SILENCE`` and ``HANDOVER`` were stored by an earlier owner, ``REPORT`` is the worker's own
    under this owner's fencing token, ``LAPSE`` the end of all leases, and ``VM_LIST`` the list of
    VMs, by which the incarnation has ended.
    """

    SILENCE = "silence"
    HANDOVER = "handover"
    REPORT = "report"
    LAPSE = "lapse"
    VM_LIST = "vm_list"


class TailPrediction(NamedTuple):
    """Predicted tail latency of a serving run.

    :ivar image: image of the serving run.
    :ivar utilisation: expected utilisation, see ``tails``.
    :ivar exceedance: probability that the tail latency exceeds the target.
    :ivar unthrottled_utilisation: ``utilisation`` if no best-effort run beside it were throttled.
    :ivar max_increase: largest contribution of a single best-effort run to
        ``unthrottled_utilisation``.
    :ivar is_persistently_over: whether the tail latency has been over its target for longer than
        ``placing.PERSISTENTLY_OVER_S``.
    """

    image: str
    utilisation: float
    exceedance: float
    unthrottled_utilisation: float
    max_increase: float
    is_persistently_over: bool


class Crash(NamedTuple):
    """What is known of a run whose worker crashed.

    :ivar survived_s: how long after its start was confirmed the worker gave its last sign of life,
        in seconds.
    :ivar was_last_started: whether all other runs of the worker had started before it.
    """

    survived_s: float
    was_last_started: bool


class ActiveRun:
    """A run that may exist on a worker.

    :ivar number: run number, which increases with each run of the task.
    :ivar incarnation: the worker's incarnation that has reported the run; 0 if none has. The answer
        to a start does not name one, and a worker may restart before it receives the start.
    :ivar is_serving: whether it serves requests and its measurement is a tail latency.
    :ivar confirmed_s: when the worker first confirmed it; ``None`` while the start is in flight.
    :ivar is_inherited: whether only an earlier owner has told of it, and no report since.
    :ivar is_uncertain: whether its start was not answered and is not yet voided by a fencing token.
    :ivar is_stopping: whether a stop was sent; its resources are freed once the worker reports that
        it has ended.
    :ivar progress_percent: part of the work that is done.
    :ivar reported_s: when the worker last reported it; at first, when it was started.
    :ivar first_reported_s: when the worker first reported it, then with ``first_progress_percent``
        of its work done; ``None`` before that.
    :ivar measurement: tail latency or processor use, see ``RunReport``.
    :ivar speed_percent: limit of the speed, 100 when the run is not throttled.
    :ivar throttled_s: when the last throttle was sent.
    :ivar is_speed_uncertain: whether the last throttle was not answered.
    :ivar last_under_target_s: when its tail latency was last known to be below its target;
        minus infinity if that was not seen since the run was adopted.
    :ivar was_under_target: whether the last sample was clearly below its target.
    :ivar throttled_since_s: since when it has been heavily throttled; ``None`` if it is not.
    :ivar crash: set if its worker crashed shortly after its start, and it ended with it unless a
        later report lists it.
    :ivar is_suspect: whether workers crashed under its task before, and it has not shown yet that
        it does no harm.
    """

    __slots__ = (
        "task",
        "number",
        "incarnation",
        "step",
        "is_serving",
        "fence",
        "stop_sent_s",
        "confirmed_s",
        "is_inherited",
        "is_uncertain",
        "is_stopping",
        "started_s",
        "progress_percent",
        "reported_s",
        "first_reported_s",
        "first_progress_percent",
        "measurement",
        "speed_percent",
        "throttled_s",
        "is_speed_uncertain",
        "last_under_target_s",
        "was_under_target",
        "throttled_since_s",
        "crash",
        "is_suspect",
    )

    def __init__(self, task: TaskKey, number: int, step: Step, fence: int, now_s: float) -> None:
        self.task = task
        self.number = number
        self.incarnation = 0
        self.step = step
        self.is_serving = step.tail_target_ms > 0
        self.fence = fence
        self.stop_sent_s = float("-inf")
        self.confirmed_s: float | None = None
        self.is_inherited = False
        self.is_uncertain = False
        self.is_stopping = False
        self.started_s = now_s
        self.progress_percent = 0.0
        self.reported_s = now_s
        self.first_reported_s: float | None = None
        self.first_progress_percent = 0.0
        self.measurement = 0.0
        self.speed_percent = 100
        self.throttled_s = float("-inf")
        self.is_speed_uncertain = False
        self.last_under_target_s = now_s
        self.was_under_target = False
        self.throttled_since_s: float | None = None
        self.crash: Crash | None = None
        self.is_suspect = False

    def update(self, report: RunReport, now_s: float, incarnation: int = 0) -> None:
        """Update the run from a report by an incarnation of the worker, 0 if unknown."""
        self.incarnation = incarnation
        if self.confirmed_s is None:
            self.confirmed_s = now_s
        if self.first_reported_s is None:
            self.first_reported_s = now_s
            self.first_progress_percent = report.progress_percent
        self.is_inherited = self.is_uncertain = False
        self.crash = None
        self.reported_s = now_s
        self.progress_percent = report.progress_percent
        self.measurement = report.measurement

    def measured_speed_percent(self) -> int:
        """Estimate the limit of the speed of a best-effort run from its processor use.

        Workers do not report throttles. A run that has to share its processors is taken for a
        throttled one, which costs one call to the worker.
        """
        if not (self.step.best_effort and self.step.cpu_millis):
            return 100
        share = min(1.0, self.measurement / self.step.cpu_millis)
        return round(share * 100 / SPEED_GRANULARITY_PERCENT) * SPEED_GRANULARITY_PERCENT


class Worker:
    """State of a worker, which may restart under its id.

    Times are on the owner's clock, except for ``clock_s`` and ``granted_until_s``.

    :ivar fence: fencing token of the commands to the worker.
    :ivar incarnation: as last reported by the worker or listed after a restart, 0 if unknown.
    :ivar known_since_s: an instant from which on the worker has been known in this incarnation.
    :ivar incarnation_since_s: when this incarnation became known.
    :ivar ended_incarnations: those before the known one, whose listings may still arrive.
    :ivar is_voiding_starts: whether the fencing token is being raised because starts were not
        answered.
    :ivar leaves_s: earliest time at which it may leave; ``None`` unless it drains.
    :ivar unlisted_since_s: since when the platform has not listed the worker.
    :ivar acknowledged_end: number up to which ended runs may be acknowledged to the worker.
    :ivar last_end_number: highest number of an ended run that was applied.
    :ivar last_answer_s: when the worker's last answer arrived.
    :ivar answer_made_s: when that answer was made, at the earliest.
    :ivar clock_s: the worker's clock in its last answer.
    :ivar granted_until_s: end of the lease on the worker's clock.
    :ivar max_lease_s: longest lease that it grants, in seconds.
    :ivar ending_s: longest time that ending its runs takes, in seconds, also after a lapse.
    :ivar lapse_bound_s: when all leases granted by the known incarnation have certainly expired,
        and their runs have ended.
    :ivar restart_lapse_bound_s: the same for a later incarnation that is not known yet. Its clock
        begins anew, anywhere, so it may take the end of a lease for an instant in the far future,
        and grant the longest lease from the arrival of the command on.
    :ivar has_unknown_runs: whether runs of earlier owners may exist that this owner does not know.
    :ivar runs_known_by: what told that there are no such runs, for the log.
    :ivar has_unreserved_runs: whether it last reported runs that this owner has not adopted, whose
        capacity is not reserved.
    :ivar held_starts: closures that wait for its answer to send starts, see ``asked_workers``.
    :ivar has_failed: whether its last report could not be applied. It gets no starts then, and its
        leases are not extended, so that its tasks can run elsewhere.
    :ivar blocked_until_s: the worker gets no starts before this time.
    :ivar last_sample_s: when its measurements were last used.
    :ivar had_best_effort: whether best-effort tasks ran on it then.
    """

    def __init__(
        self,
        listing: WorkerListing,
        link: WorkerLink,
        fence: int,
        max_lease_s: float = MAX_LEASE_S,
        ending_s: float = 0.0,
    ) -> None:
        self.listing = listing
        self.max_lease_s = max_lease_s
        self.ending_s = ending_s
        self.link = link
        self.fence = fence
        self.incarnation = 0
        self.known_since_s = 0.0
        self.incarnation_since_s = 0.0
        self.ended_incarnations: set[int] = set()
        self.is_dropped = False
        self.is_voiding_starts = False
        self.leaves_s: float | None = None
        self.unlisted_since_s: float | None = None
        # Number of the last batch that has to be committed before anything is started.
        self.listed_in_batch = 0
        # Whether the worker has answered this owner, and has not lapsed since.
        self.is_reached = False
        # Whether a renewal has failed since the worker's last answer.
        self.is_silent = False
        self.runs_by_task: dict[TaskKey, ActiveRun] = {}
        self.held_starts: list[Callable[[bool], None]] = []
        self.acknowledged_end = 0
        self.last_end_number = 0
        # Pairs of a batch and the number of the end report to acknowledge after its commit.
        self.pending_acknowledgements: list[tuple[int, int]] = []
        self.pending_starts: set[ActiveRun] = set()
        self.last_answer_s = 0.0
        self.answer_made_s = 0.0
        self._answer_times = AnswerTimes(1.0 - MIN_CLOCK_RATE)
        self.clock_s = 0.0
        self.granted_until_s = 0.0
        self.lapse_bound_s = 0.0
        self.restart_lapse_bound_s = 0.0
        self.has_unknown_runs = False
        self.runs_known_by: RunsKnownBy | None = None
        self.has_unreserved_runs = False
        self.has_failed = False
        self.blocked_until_s = 0.0
        self.last_sample_s = 0.0
        self.had_best_effort = False
        # Whether its crash has been noted since its last answer.
        self.is_known_crashed = False
        self.used_cpu_millis = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        self.best_effort_cpu_millis = 0
        self.long_running_cpu_millis = 0
        self.urgent_cpu_millis = 0
        # Cached predictions for the serving runs; ``None`` when out of date.
        self.tail_predictions: list[TailPrediction] | None = None
        # Cached lists of runs, replaced when runs are added or removed.
        self._serving_runs: list[ActiveRun] | None = None
        self._best_effort_runs: list[ActiveRun] | None = None

    @property
    def worker_id(self) -> str:
        """Return the id under which the platform lists the worker."""
        return self.listing.worker_id

    def note_runs_known(self, source: RunsKnownBy) -> None:
        """Record that no runs of earlier owners exist that this owner does not know."""
        if self.has_unknown_runs or self.runs_known_by is None:
            self.runs_known_by = source
        self.has_unknown_runs = False

    def await_batch(self, batch: int) -> None:
        """Have nothing started before a batch is committed that tells successors of the worker."""
        self.listed_in_batch = max(self.listed_in_batch, batch)

    def last_sign_s(self) -> float:
        """Return when the worker last answered a renewal or a start, 0 if never."""
        confirmed_s = [run.confirmed_s or 0.0 for run in self.runs_by_task.values()]
        return max([self.last_answer_s, *confirmed_s])

    def has_suspect(self) -> bool:
        """Return whether a run is there whose task may crash the worker."""
        return any(run.is_suspect for run in self.runs_by_task.values())

    def is_listed(self, now_s: float) -> bool:
        """Return whether the platform lists the worker or did so until recently.

        Listings that expired during an outage of the store reappear soon after it.
        """
        return self.unlisted_since_s is None or now_s - self.unlisted_since_s < RELIST_GRACE_S

    def is_listing_current(self) -> bool:
        """Return whether the listing is of the incarnation that answers, as far as that is known.

        A worker may start again as another kind, with other labels and another capacity.
        """
        known = (self.listing.incarnation, self.incarnation)
        return 0 in known or known[0] == known[1]

    def known_incarnation(self) -> int:
        """Return the incarnation that commands are meant for, 0 if unknown."""
        return self.incarnation or self.listing.incarnation

    def vm_id(self) -> str:
        """Return the VM that runs the worker, empty if unknown."""
        # The listing of another incarnation may name another VM.
        is_current = not self.incarnation or self.listing.incarnation == self.incarnation
        return self.listing.vm_id if is_current else ""

    def note_incarnation(self, incarnation: int, now_s: float) -> None:
        """Record the incarnation that a report names, 0 if it names none."""
        if incarnation and incarnation != self.incarnation:
            self.incarnation = incarnation
            self.known_since_s = now_s

    def quiet_since_s(self) -> float:
        """Return an instant after which the known incarnation was sent no start that may run."""
        started_s = [run.started_s for run in self.runs_by_task.values()]
        return max([self.known_since_s, *started_s])

    def begin_incarnation(self, incarnation: int, now_s: float) -> None:
        """Forget what only the earlier incarnation counted: its clock, leases and ended runs."""
        self.ended_incarnations.add(self.known_incarnation())
        self.ended_incarnations.discard(incarnation)
        self.incarnation = incarnation
        self.known_since_s = self.incarnation_since_s = now_s
        self.is_reached = False
        self.is_known_crashed = False
        self.leaves_s = None
        self.last_end_number = self.acknowledged_end = 0
        self.pending_acknowledgements.clear()
        self.last_answer_s = self.clock_s = self.granted_until_s = 0.0
        self.answer_made_s = 0.0
        self._answer_times = AnswerTimes(1.0 - MIN_CLOCK_RATE)
        self.lapse_bound_s = max(self.lapse_bound_s, self.restart_lapse_bound_s)
        # The first renewal voids starts that were sent before.
        self.fence += 1

    def note_listing(self, listing: WorkerListing, now_s: float, drain_s: float) -> None:
        """Record what the platform lists now.

        :param drain_s: minimum time for which a worker drains if its listing does not say how much
            is left.
        """
        self.listing = listing
        self.unlisted_since_s = None
        if not listing.is_draining:
            self.leaves_s = None
            return
        remaining_s = drain_s if listing.remaining_s is None else listing.remaining_s
        leaves_s = now_s + remaining_s
        # A listing that arrives late would give a time that is too late.
        self.leaves_s = leaves_s if self.leaves_s is None else min(leaves_s, self.leaves_s)

    def add_run(self, run: ActiveRun) -> None:
        """Add a run and reserve its resources, instead of those of an earlier run of its task."""
        self.remove_run(run.task)
        self.runs_by_task[run.task] = run
        self._reserve(run.step, 1)

    def remove_run(self, task: TaskKey) -> ActiveRun | None:
        """Remove a run that has certainly ended and free its resources."""
        run = self.runs_by_task.pop(task, None)
        if run is not None:
            self.pending_starts.discard(run)
            self._reserve(run.step, -1)
        return run

    def _reserve(self, step: Step, sign: int) -> None:
        self.tail_predictions = self._serving_runs = self._best_effort_runs = None
        if step.best_effort:
            self.best_effort_cpu_millis += sign * step.cpu_millis
        else:
            self.used_cpu_millis += sign * step.cpu_millis
        if step.long_running:
            self.long_running_cpu_millis += sign * step.cpu_millis
        if step.is_urgent:
            self.urgent_cpu_millis += sign * step.cpu_millis
        self.used_memory_mb += sign * step.memory_mb
        self.used_accelerators += sign * step.accelerators

    def count_runs(self, task: TaskKey) -> int:
        """Return the number of runs of a task's step on the worker."""
        return sum(1 for each in self.runs_by_task if each[:3] == task[:3])

    def can_run(self, step: Step) -> bool:
        """Return whether the worker is of the kind and size for tasks of a step, when idle."""
        listing = self.listing
        return (
            (not step.required_label or step.required_label in listing.labels)
            and (step.best_effort or step.cpu_millis <= listing.cpu_millis)
            and step.memory_mb <= listing.memory_mb
            and step.accelerators <= listing.accelerators
        )

    def fits(self, step: Step) -> bool:
        """Return whether the worker has capacity for one more task of a step."""
        listing = self.listing
        return (
            (step.best_effort or self.used_cpu_millis + step.cpu_millis <= listing.cpu_millis)
            and self.used_memory_mb + step.memory_mb <= listing.memory_mb
            and self.used_accelerators + step.accelerators <= listing.accelerators
        )

    def free_slots(self, step: Step) -> int:
        """Return for how many tasks of a step there is room, ``step.count`` at most."""
        used = (self.used_cpu_millis, self.used_memory_mb, self.used_accelerators)
        return self.slots_beside(step, *used)

    def slots_when_idle(self, step: Step) -> int:
        """Return for how many tasks of a step there is room when nothing else runs."""
        slots = self.slots_beside(step, 0, 0, 0)
        return min(slots, step.max_per_worker) if step.max_per_worker else slots

    def slots_beside(self, step: Step, cpu_millis: int, memory_mb: int, accelerators: int) -> int:
        """Return for how many tasks of a step there is room beside some use of the worker.

        The result is ``step.count`` at most.
        """
        limits = [step.count]
        if step.cpu_millis and not step.best_effort:
            limits.append((self.listing.cpu_millis - cpu_millis) // step.cpu_millis)
        if step.memory_mb:
            limits.append((self.listing.memory_mb - memory_mb) // step.memory_mb)
        if step.accelerators:
            limits.append((self.listing.accelerators - accelerators) // step.accelerators)
        return max(0, min(limits))

    def cpu_share(self, cpu_millis: float) -> float:
        """Return processors, in thousandths of a core, as a share of the worker's.

        The capacity of a worker may shrink to nothing while it runs tasks.
        """
        return cpu_millis / max(1, self.listing.cpu_millis)

    def idle_cpu_millis(self) -> float:
        """Return an estimate of the idle processors available to best-effort tasks."""
        used = self.used_cpu_millis - self.long_running_cpu_millis * (
            1.0 - DEFAULT_SERVING_UTILISATION
        )
        return self.listing.cpu_millis - used - self.best_effort_cpu_millis

    def is_other_incarnation(self, incarnation: int) -> bool:
        """Return whether an incarnation is not the known one; an unknown one, 0, never is."""
        return bool(incarnation) and self.known_incarnation() not in (0, incarnation)

    def is_restart(self, report: WorkerReport) -> bool:
        """Return whether a report is of another incarnation than the known one."""
        if not report.incarnation:
            return report.clock_s < self.clock_s
        return self.is_other_incarnation(report.incarnation)

    def is_outdated(self, report: WorkerReport, sent_s: float) -> bool:
        """Return whether a later report, or listing, of the worker has already been applied.

        :param sent_s: when the renewal was sent that the report answers.
        """
        if self.is_restart(report):
            return sent_s < max(self.incarnation_since_s, self.last_answer_s)
        return report.clock_s < self.clock_s and sent_s < self.last_answer_s

    def note_answer(self, now_s: float, clock_s: float, sent_s: float = float("-inf")) -> None:
        """Record the latest answer.

        :param sent_s: when the call was sent that it answers, if known.
        """
        if clock_s <= self.clock_s and self.last_answer_s:
            return
        made_s = self._answer_times.note(sent_s, now_s, clock_s)
        self.answer_made_s = max(self.answer_made_s, made_s)
        self.last_answer_s = now_s
        self.clock_s = clock_s
        self.is_known_crashed = False

    def extend_grant(self, lease_s: float) -> float:
        """Extend the granted lease and return its end on the worker's clock.

        The lease counts from the clock in the last answer, so that a message that is delivered late
        cannot extend it beyond what the owner expects.
        """
        until_s = self.clock_s + lease_s
        if until_s > self.granted_until_s:
            self.granted_until_s = until_s
            # A longer lease that an earlier owner granted stays in force.
            lapse_bound_s = self.last_answer_s + lapse_s(lease_s, self.ending_s)
            self.lapse_bound_s = max(self.lapse_bound_s, lapse_bound_s)
        return self.granted_until_s

    def note_lease_sent(self, now_s: float) -> None:
        """Record that a command with the end of a lease is sent."""
        self.restart_lapse_bound_s = now_s + DELIVERY_S + lapse_s(self.max_lease_s, self.ending_s)

    def may_extend_lease(self, now_s: float) -> bool:
        """Return whether the end of a lease may be sent although the worker may have restarted.

        A silent worker with unreported or unknown runs gets none: each one sent would move the time
        at which these have certainly ended, also in a later incarnation.
        """
        if self.has_failed:
            return False
        if self.is_silent and (
            self.has_unknown_runs or any(not run.incarnation for run in self.runs_by_task.values())
        ):
            return False
        return bool(self.last_answer_s) and now_s - self.last_answer_s < MAX_SILENCE_S

    def may_have_restarted(self, now_s: float) -> bool:
        """Return whether another incarnation may have replaced the one that answered last."""
        return self.is_silent or now_s - self.answer_made_s > MIN_RESTART_S

    def has_certainly_lapsed(self, now_s: float) -> bool:
        """Return whether the runs of the known incarnation have certainly ended by a lapse."""
        return now_s > self.lapse_bound_s

    def run_lapse_bound_s(self, run: ActiveRun) -> float:
        """Return when a run has certainly ended by the lapse of its lease."""
        return self.lapse_bound_s if run.incarnation else self.unreported_lapse_bound_s()

    def unreported_lapse_bound_s(self) -> float:
        """Return when runs that no incarnation has reported have certainly ended by a lapse."""
        return max(self.lapse_bound_s, self.restart_lapse_bound_s)

    def next_lapse_s(self, now_s: float) -> float:
        """Return when the next of the leases certainly expires, infinity if all have."""
        bounds_s = (self.lapse_bound_s, self.unreported_lapse_bound_s())
        return min((bound_s for bound_s in bounds_s if bound_s >= now_s), default=float("inf"))

    def last_lapse_bound_s(self) -> float:
        """Return when all runs have certainly ended by the lapse of their leases."""
        if self.has_unknown_runs:
            return self.unreported_lapse_bound_s()
        bounds_s = [self.run_lapse_bound_s(run) for run in self.runs_by_task.values()]
        return max(bounds_s, default=self.lapse_bound_s)

    def take_acknowledgeable(self, committed: int) -> int:
        """Return up to which number ended runs may be acknowledged.

        :param committed: number of the last committed batch.
        """
        while self.pending_acknowledgements and self.pending_acknowledgements[0][0] <= committed:
            self.acknowledged_end = max(
                self.acknowledged_end, self.pending_acknowledgements.pop(0)[1]
            )
        return self.acknowledged_end

    def serving_runs(self) -> list[ActiveRun]:
        """Return the runs that serve requests and have a tail latency target."""
        if self._serving_runs is None:
            self._serving_runs = [run for run in self.runs_by_task.values() if run.is_serving]
        return self._serving_runs

    def best_effort_runs(self) -> list[ActiveRun]:
        """Return the runs of best-effort tasks."""
        if self._best_effort_runs is None:
            self._best_effort_runs = [
                run for run in self.runs_by_task.values() if run.step.best_effort
            ]
        return self._best_effort_runs


def find_run(
    workers_by_id: dict[str, Worker], worker_id: str, task: TaskKey
) -> tuple[Worker | None, ActiveRun | None]:
    """Return a worker and the run of a task on it, ``None`` for what does not exist."""
    worker = workers_by_id.get(worker_id)
    return worker, worker and worker.runs_by_task.get(task)


def describe_run(worker: Worker, run: ActiveRun, now_s: float) -> dict[str, Any]:
    """Return what is known of a run on a worker, for the log."""
    return {
        "run": run.number,
        "worker": worker.worker_id,
        "incarnation": worker.incarnation,
        "run_incarnation": run.incarnation,
        "started_s_ago": round(now_s - run.started_s, 3),
        "confirmed_s_ago": None if run.confirmed_s is None else round(now_s - run.confirmed_s, 3),
        "answered_s_ago": round(now_s - worker.last_answer_s, 3) if worker.last_answer_s else None,
    }


def lapse_s(lease_s: float, ending_s: float) -> float:
    """Return how long runs may go on, at most, after a lease was granted.

    :param lease_s: length of the lease on the worker's clock.
    :param ending_s: longest time that ending the runs takes.
    """
    return lease_s / MIN_CLOCK_RATE + TIMER_SLACK_S + ending_s

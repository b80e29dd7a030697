"""Quotas of organisations as the planner asks for them, with the log of their effect."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.organisation_usage import OrganisationUsage
from laburnumswitch.process.dispatch.quota import effective_limit
from laburnumswitch.process.dispatch.quota import holds_back_others
from laburnumswitch.process.dispatch.quota import NOTHING_RUNS
from laburnumswitch.process.dispatch.quota import OrganisationTotal
from laburnumswitch.process.dispatch.quota import startable_tasks
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.size import count_fitting
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO

# An organisation counts as within its limit again once no step has been held back for this long, in
# seconds. Each end of a run makes room for the next one, which would give two log lines a task.
QUOTA_FREE_S = 1.0


class _HeldStep(NamedTuple):
    """A step that is held back; ``order`` is its queue's priority, and since when it is ready."""

    order: tuple[int, float]
    step_state: StepState


class QuotaGate:
    """Decides which steps may start, by the limits of the newest configuration.

    An organisation that the newest configuration does not name has no limit: its jobs were accepted
    and go on, and a later owner could not know an earlier limit.

    :ivar unknown_by_organisation: what may run without being known yet, as of the planning pass.
    """

    def __init__(
        self,
        usage: OrganisationUsage,
        configuration: Callable[[], QueueConfiguration | None],
        overage: float,
        log: DecisionLog,
    ) -> None:
        self.unknown_by_organisation: Mapping[str, OrganisationTotal] = {}
        self._usage = usage
        self._configuration = configuration
        self._overage = overage
        self._log = log
        self._now_s = float("-inf")
        # By organisation, the step that was held back in this pass and waits for the longest time,
        # of those with the first priority, and the same of the pass before.
        self._held_by_organisation: dict[str, _HeldStep] = {}
        self._head_by_organisation: dict[str, _HeldStep] = {}
        self._waiting_for_head: set[str] = set()
        self._held_s_by_organisation: dict[str, float] = {}
        self._limit_by_organisation: dict[str, Size] = {}
        self._limits_of: QueueConfiguration | None = None

    def begin_pass(self, now_s: float, unknown: Mapping[str, OrganisationTotal]) -> None:
        """Begin a planning pass.

        :param unknown: what may run without being known yet, by organisation.
        """
        self.unknown_by_organisation = unknown
        self._now_s = now_s
        self._head_by_organisation = self._held_by_organisation
        self._held_by_organisation = {}
        self._waiting_for_head.clear()
        for organisation, held_s in list(self._held_s_by_organisation.items()):
            if now_s - held_s >= QUOTA_FREE_S:
                del self._held_s_by_organisation[organisation]
                self._note("quota_free", organisation)

    def admits(self, ready: ReadyStep) -> bool:
        """Return whether any tasks of a step may start now, and note a step that is held back."""
        if self.startable(ready) or not ready.step_state.has_waiting():
            return True
        organisation = ready.job.submission.organisation
        if organisation not in self._held_s_by_organisation:
            self._note("quota_reached", organisation)
        self._held_s_by_organisation[organisation] = self._now_s
        return False

    def selects(self, ready: ReadyStep, priority: int) -> bool:
        """Return whether a pass considers a step: one that may start, or that others wait for.

        Only one of the steps of an organisation that are held back is considered, since there may
        be thousands.

        :param priority: of its queue, a lower number goes first.
        """
        if self.admits(ready):
            return True
        organisation, step_state = ready.job.submission.organisation, ready.step_state
        if not step_state.active_count:
            first = self._held_by_organisation.get(organisation)
            order = (priority, step_state.ready_since_s)
            if first is None or order < first.order:
                self._held_by_organisation[organisation] = _HeldStep(order, step_state)
        return self._is_head(organisation, step_state)

    def admits_in_order(self, ready: ReadyStep) -> bool:
        """Return whether any tasks of a step may start, after those that go before it.

        If not, and it is the one that waits for the longest time, the steps that follow may have to
        wait for it, see ``holds_back_others``.
        """
        if self.admits(ready):
            return True
        organisation, step_state = ready.job.submission.organisation, ready.step_state
        if self._is_head(organisation, step_state):
            since_s = max(step_state.ready_since_s, step_state.last_start_s or 0.0)
            total, limit = self._total(organisation), self._limit(organisation)
            waited_s = self._now_s - since_s
            if holds_back_others(step_state.step, total, limit, self._overage, waited_s):
                self._waiting_for_head.add(organisation)
        return False

    def startable(self, ready: ReadyStep, taken: OrganisationTotal = NOTHING_RUNS) -> int:
        """Return how many of a step's waiting tasks may start now.

        :param taken: what counts in addition to what runs.
        """
        count = ready.step_state.waiting_count()
        organisation = ready.job.submission.organisation
        limit = self._limit(organisation)
        if limit is None:
            return count
        if organisation in self._waiting_for_head:
            return 0
        total = self._total(organisation)
        if taken is not NOTHING_RUNS:
            total = total.plus(*taken)
        return startable_tasks(ready.step_state.step, count, total, limit, self._overage)

    def may_restart(self, organisation: str) -> bool:
        """Return whether a task of an organisation could start again after a stop."""
        limit = self._limit(organisation)
        if limit is None:
            return True
        total = self._total(organisation)
        return total.runs <= 1 or count_fitting(ZERO, total.size, limit, 1) == 1

    def _is_head(self, organisation: str, step_state: StepState) -> bool:
        head = self._head_by_organisation.get(organisation)
        return head is not None and head.step_state is step_state

    def _total(self, organisation: str) -> OrganisationTotal:
        total = self._usage.total_by_organisation.get(organisation, NOTHING_RUNS)
        unknown = self.unknown_by_organisation.get(organisation)
        return total if unknown is None else total.plus(*unknown)

    def _limit(self, organisation: str) -> Size | None:
        """Return an organisation's limit, or ``None`` if it has none."""
        configuration = self._configuration()
        if configuration is not self._limits_of:
            self._limits_of = configuration
            self._limit_by_organisation = {
                each.name: effective_limit(each.limit)
                for each in (configuration.organisations_by_name.values() if configuration else ())
                if each.name and any(each.limit)
            }
        return self._limit_by_organisation.get(organisation)

    def _note(self, event: str, organisation: str) -> None:
        total = self._usage.total_by_organisation.get(organisation, NOTHING_RUNS)
        unknown = self.unknown_by_organisation.get(organisation, NOTHING_RUNS)
        configuration = self._configuration()
        known = configuration and configuration.organisations_by_name.get(organisation)
        self._log.note(
            event,
            organisation,
            running=total.size._asdict(),
            runs=total.runs,
            unknown=unknown.size._asdict() if unknown.runs else None,
            limit=known.limit._asdict() if known else None,
            configuration=configuration.version if configuration else 0,
        )


class QuotaBudget:
    """Divides what may still start over waiting steps, without starting them."""

    def __init__(self, gate: QuotaGate) -> None:
        self._gate = gate
        self._taken_by_organisation: dict[str, OrganisationTotal] = {}

    def take(self, ready: ReadyStep) -> int:
        """Return how many of a step's waiting tasks may start beside those taken before."""
        organisation = ready.job.submission.organisation
        taken = self._taken_by_organisation.get(organisation, NOTHING_RUNS)
        count = self._gate.startable(ready, taken)
        if organisation and count:
            taken = taken.plus_tasks(ready.step_state.step, count)
            self._taken_by_organisation[organisation] = taken
        return count

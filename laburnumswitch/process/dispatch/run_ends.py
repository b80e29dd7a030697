"""Decides whether a run has certainly ended, or never began, although its end was not reported.

Handles workers that restart, move or fall silent, and owners that follow one another, while reports
and commands are delayed: what is told of one start of a worker, one fencing token or one instant
must not be taken for another. ``docs/developers/decisions.md`` says what makes each kind of
evidence certain, and what could overrule it.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import StartRefused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.exceptions import WorkerReplaced
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunOutcome
from laburnumswitch.process.rows.table import STATUS_BAD_REQUEST


class EndKind(StrEnum):
    """What shows that a run no longer exists.

    ``NOT_SENT``: its start was not sent. ``REFUSED``: the worker refused the start, or nothing was
    sent. ``UNREPORTED``: the worker reports without it after it was confirmed. ``VOIDED``: the
    worker reports without it under a higher fencing token than its start's. ``RESTART``: the worker
    answers, or is listed, as another incarnation. ``LAPSE``: its lease has expired. ``VM_LIST``:
    its VM does not run the worker. ``REPLACED``: another worker answers at the address of this one.
    ``LATER_RUN``: another worker reports a later run of its task. ``LATER_PLACEMENT``: the store
    places a later run of it.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    UNREPORTED = "unreported"
    VOIDED = "voided"
    RESTART = "restart"
    LAPSE = "lapse"
    VM_LIST = "vm_list"
    REPLACED = "replaced"
    LATER_RUN = "later_run"
    LATER_PLACEMENT = "later_placement"


class KnownRun(Protocol):
    """What an owner knows of a run, see ``fleet.ActiveRun``."""

    number: int
    fence: int
    incarnation: int
    started_s: float
    confirmed_s: float | None
    is_inherited: bool


class Evidence(NamedTuple):
    """Evidence that may show that runs on a worker have ended.

    :ivar run: number of the later run, for the kinds that name one.
    :ivar fence: fencing token under which the worker has answered.
    :ivar incarnation: incarnation of the worker that it is about; the new one for ``RESTART``. 0 if
        unknown.
    :ivar instant_s: it shows the state at this instant or later, on the owner's clock.
    :ivar lapses_s: when the run's lease has certainly expired, on the owner's clock.
    """

    kind: EndKind
    run: int = 0
    fence: int = 0
    incarnation: int = 0
    instant_s: float = float("-inf")
    lapses_s: float = float("inf")


def has_ended(run: KnownRun, evidence: Evidence) -> bool:
    """Return whether a run has certainly ended, or never began, by the evidence.

    Of a start that was not sent, or was refused (``refuses_start``), there is no run, and none is
    left of a worker whose address another one has taken; these kinds have no rule.
    """
    return _RULES[evidence.kind](run, evidence)


def find_end(run: KnownRun, sent_s: float, fence: int) -> EndKind | None:
    """Return what a complete report without a run shows, ``None`` if the run may exist.

    :param sent_s: when the renewal was sent that the report answers.
    :param fence: fencing token of the renewal.
    """
    for kind in (EndKind.UNREPORTED, EndKind.VOIDED):
        if has_ended(run, Evidence(kind, fence=fence, instant_s=sent_s)):
            return kind
    return None


def refuses_start(outcome: Failure) -> bool:
    """Return whether the outcome of a start shows that it was not and will not be carried out."""
    if isinstance(outcome, Refused):
        # Other statuses may come from an intermediary, after the worker has carried out the start.
        return outcome.status == STATUS_BAD_REQUEST
    refusals = ConnectFailed | StartRefused | WorkerReplaced | Throttled | Unavailable
    return isinstance(outcome, refusals)


def may_adopt(run: int, last_run: int, is_reported: bool, is_gang: bool) -> bool:
    """Return whether a run of a waiting task may be one that goes on.

    One that its worker reports does so whatever was concluded or refused since. A gang, whose
    members have one number, waits for its last start only.

    :param last_run: highest number of the task's runs.
    :param is_reported: whether its worker has just reported it, not an earlier owner.
    """
    return run >= last_run or (is_reported and not is_gang)


def accepts_end(
    end: EndReport, active: KnownRun | None, active_run: int, last_run: int, is_done: bool
) -> bool:
    """Return whether the reported end of a run decides what becomes of its task.

    The end of a run before the active one does not: that one was known to have ended. The end of
    one after it shows the same of the active one if that is inherited. If a worker has reported it,
    its next report tells whether it goes on, and the task starts again only after that.

    :param active: the active run, ``None`` if there is none or it is not known.
    :param active_run: number of the task's active run, 0 for none.
    :param last_run: highest number of the task's runs.
    :param is_done: whether the task is done already.
    """
    if is_done:
        return False
    if end.run > active_run > 0:
        is_over = active is None or has_ended(active, Evidence(EndKind.LATER_RUN, run=end.run))
        return is_over or end.outcome is RunOutcome.DONE
    if active_run:
        return end.run == active_run
    return end.run > last_run or end.outcome is RunOutcome.DONE


def _is_unreported(run: KnownRun, evidence: Evidence) -> bool:
    return run.confirmed_s is not None and run.confirmed_s < evidence.instant_s


def _is_voided(run: KnownRun, evidence: Evidence) -> bool:
    return run.confirmed_s is None and run.fence < evidence.fence


def _is_of_earlier_incarnation(run: KnownRun, evidence: Evidence) -> bool:
    # Any other start may have reached the new incarnation.
    return run.incarnation not in (0, evidence.incarnation)


def _has_lapsed(run: KnownRun, evidence: Evidence) -> bool:
    return evidence.lapses_s < evidence.instant_s


def _ended_with_vm(run: KnownRun, evidence: Evidence) -> bool:
    # A run that was not reported may have been started in a later incarnation under the same id.
    was_reported = run.incarnation != 0 and run.incarnation == evidence.incarnation
    return was_reported or run.started_s < evidence.instant_s


def _was_ended_by_starter(run: KnownRun, evidence: Evidence) -> bool:
    # The owner that started the later run knew that this one had ended.
    return run.is_inherited and run.number < evidence.run


def _was_placed_before(run: KnownRun, evidence: Evidence) -> bool:
    # A placement is replaced only once its run has certainly ended.
    return run.number < evidence.run


_RULES: dict[EndKind, Callable[[KnownRun, Evidence], bool]] = {
    EndKind.UNREPORTED: _is_unreported,
    EndKind.VOIDED: _is_voided,
    EndKind.RESTART: _is_of_earlier_incarnation,
    EndKind.LAPSE: _has_lapsed,
    EndKind.VM_LIST: _ended_with_vm,
    EndKind.LATER_RUN: _was_ended_by_starter,
    EndKind.LATER_PLACEMENT: _was_placed_before,
}

"""Leases of runs: what an owner may grant, and when a lease has lapsed whatever was delayed."""

from laburnumswitch.process.workers.workers import NO_GRANT

LEASE_S = 6.0
HOLD_S = 1.5
SILENT_HEAD_S = 1.5
HEAD_TOUCH_S = 0.5
CLOCK_RATE_BOUND = 1.01


def may_grant(commit_sent_s: float, now_s: float) -> bool:
    """Return whether an owner may still grant.

    :param commit_sent_s: when the last commit on the head that succeeded was sent.
    """
    return now_s < commit_sent_s + HOLD_S


def grant_until(worker_clock_s: float, commit_sent_s: float, now_s: float) -> float:
    """Return the end of a lease by the worker's clock, or ``NO_GRANT``.

    :param worker_clock_s: the clock in the worker's last report.
    :param commit_sent_s: when the last commit on the head that succeeded was sent.
    """
    if not may_grant(commit_sent_s, now_s):
        return NO_GRANT
    return worker_clock_s + LEASE_S


def certainly_lapsed(reported_s: float, taken_over_s: float, now_s: float) -> bool:
    """Return whether every lease on a worker that does not answer has lapsed at the worker.

    Grants of this owner name the clock of the last report, so they end ``LEASE_S`` after it was
    received. Grants of earlier owners ended ``HOLD_S + LEASE_S`` after the takeover.

    :param reported_s: when this owner received the worker's last report; minus infinity for never.
    :param taken_over_s: when this owner's takeover was known to have committed.
    """
    own_s = reported_s + LEASE_S * CLOCK_RATE_BOUND
    earlier_s = taken_over_s + (HOLD_S + LEASE_S) * CLOCK_RATE_BOUND
    return now_s >= max(own_s, earlier_s)

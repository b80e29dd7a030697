"""Leases of runs: when an owner may grant them, and when they have lapsed at the latest.

The rules hold however long a message is delayed.
"""

from laburnumswitch.process.workers.worker_api import NO_GRANT

# Length of a lease, from the worker's last report on.
LEASE_S = 6.0
# An owner grants leases for this long after sending its last successful commit on the head.
GRANT_WINDOW_S = 1.5
# A shard may be taken over once its head has not changed for this long.
HEAD_STALE_AFTER_S = 1.5
# A head that no batch changes is written unchanged at this interval.
HEAD_REFRESH_INTERVAL_S = 0.5
# A worker's clock is at most this factor slower than an owner's.
CLOCK_RATE_BOUND = 1.01


def may_grant(commit_sent_s: float, now_s: float) -> bool:
    """Return whether an owner may still grant leases.

    :param commit_sent_s: when the last successful commit on the head was sent.
    """
    return now_s < commit_sent_s + GRANT_WINDOW_S


def grant_until(worker_clock_s: float, commit_sent_s: float, now_s: float) -> float:
    """Return the end of a lease by the worker's clock, or ``NO_GRANT``.

    :param worker_clock_s: the worker's clock in its last report.
    :param commit_sent_s: when the last successful commit on the head was sent.
    """
    if not may_grant(commit_sent_s, now_s):
        return NO_GRANT
    return worker_clock_s + LEASE_S


def certainly_lapsed(reported_s: float, taken_over_s: float, now_s: float) -> bool:
    """Return whether every lease on an unreachable worker has lapsed.

    This owner's grants are relative to the worker's clock in its last report, so they end at most
    ``LEASE_S`` after that report was received. Grants of earlier owners end at most
    ``GRANT_WINDOW_S + LEASE_S`` after the takeover.

    :param reported_s: when this owner received the worker's last report; minus infinity for never.
    :param taken_over_s: when this owner learned that its takeover had committed.
    """
    own_grants_end_s = reported_s + LEASE_S * CLOCK_RATE_BOUND
    earlier_grants_end_s = taken_over_s + (GRANT_WINDOW_S + LEASE_S) * CLOCK_RATE_BOUND
    return now_s >= max(own_grants_end_s, earlier_grants_end_s)

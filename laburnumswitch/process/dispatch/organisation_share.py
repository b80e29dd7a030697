"""Weighted fair sharing of the capacity between organisations.

This handles an organisation that sends many times its usual rate for some seconds, while all others
send theirs. Jobs beyond the rate that its weight stands for are not owed to it, and go after the
owed jobs of all organisations. Among these, an organisation that has used more than its weighted
share of the processors lately goes after the others. The classes are coarse: within a class, the
order of ``ordering`` decides, which maximises what is served.
"""

from collections.abc import Mapping
from enum import IntEnum
from math import exp
from math import sqrt

from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import ReadyStep

# Owed at once after a pause are one job and two standard deviations of the number of jobs that a
# random sender submits in this time, in seconds. Of a random sender at 80% of a weight of 1,
# 2% of the jobs exceed that.
BURST_WINDOW_S = 5.0
BURST_DEVIATIONS = 2.0
# Time constant of the decay of used core-seconds, in seconds: the window of the quotas.
USAGE_WINDOW_S = 5.0
# An organisation goes after others once it has used its share and the work of this many jobs. Most
# organisations have one or two jobs at a time, so one job alone exceeds their share.
ALLOWED_EXCESS_JOBS = 2.0
# Weight of a new job in the moving average of the work of all organisations' jobs.
MEAN_WORK_WEIGHT = 0.05
# Core-seconds below which usage counts as none.
MIN_USAGE = 1e-3
# Guards against a division by zero.
MIN_WEIGHT = 1e-9


class ShareClass(IntEnum):
    """Place of a step's organisation in the order of one priority, lower first."""

    WITHIN_SHARE = 0
    OVER_SHARE = 1
    NOT_OWED = 2


class ArrivalBucket:
    """Token bucket of one organisation: a token for each job that is owed to it."""

    __slots__ = ("_tokens", "_filled_s")

    def __init__(self, weight: float, now_s: float) -> None:
        self._tokens = burst_jobs(weight)
        self._filled_s = now_s

    def take(self, weight: float, at_s: float) -> bool:
        """Take a token for a job that was submitted at ``at_s``, and return whether there was one.

        Jobs may become known out of order; an earlier time adds nothing.
        """
        earned = max(0.0, at_s - self._filled_s) * weight
        self._tokens = min(burst_jobs(weight), self._tokens + earned)
        self._filled_s = max(self._filled_s, at_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class OrganisationShares:
    """What each organisation has sent and used lately.

    :ivar over_share: organisations that have used clearly more than their share.
    """

    def __init__(self) -> None:
        self.over_share: frozenset[str] = frozenset()
        self._is_active = False
        self._bucket_by_name: dict[str, ArrivalBucket] = {}
        self._used_by_name: dict[str, float] = {}
        self._measured_s: float | None = None
        self._mean_work: float | None = None

    def note_arrival(
        self, job: Job, organisations: Mapping[str, Organisation], now_s: float
    ) -> None:
        """Decide whether a job that has become known is owed to its organisation.

        :param now_s: Unix time in seconds; a submission that an entry with a fast clock dated later
            counts as made now.
        """
        organisation = organisations.get(job.submission.organisation)
        if organisation is None or not _ends(job.submission):
            return
        self._is_active = True
        mean_work = job.work if self._mean_work is None else self._mean_work
        self._mean_work = mean_work + MEAN_WORK_WEIGHT * (job.work - mean_work)
        at_s = min(job.submission.submitted_s, now_s)
        bucket = self._bucket_by_name.get(organisation.name)
        if bucket is None:
            bucket = ArrivalBucket(organisation.weight, at_s)
            self._bucket_by_name[organisation.name] = bucket
        job.is_owed = bucket.take(organisation.weight, at_s)

    def update(
        self,
        cores_by_name: Mapping[str, float],
        organisations: Mapping[str, Organisation],
        now_s: float,
    ) -> None:
        """Add what ran since the last update, and find the organisations over their shares.

        :param cores_by_name: cores in use by each organisation with unfinished jobs.
        """
        elapsed_s = 0.0 if self._measured_s is None else now_s - self._measured_s
        self._measured_s = now_s
        self._is_active = bool(organisations)
        decay = exp(-elapsed_s / USAGE_WINDOW_S)
        used_by_name = {name: used * decay for name, used in self._used_by_name.items()}
        for name, cores in cores_by_name.items():
            used_by_name[name] = used_by_name.get(name, 0.0) + cores * elapsed_s
        self._used_by_name = {
            name: used
            for name, used in used_by_name.items()
            if name in organisations and (used > MIN_USAGE or name in cores_by_name)
        }
        self.over_share = find_over_share(
            self._used_by_name,
            {name: each.weight for name, each in organisations.items()},
            ALLOWED_EXCESS_JOBS * (self._mean_work or 0.0),
        )
        for name in [name for name in self._bucket_by_name if name not in organisations]:
            del self._bucket_by_name[name]

    def share_class(self, ready: ReadyStep) -> ShareClass:
        """Return the class of a ready step; public and long-running ones are never put back."""
        organisation = ready.job.submission.organisation
        if not (organisation and self._is_active) or ready.step_state.step.long_running:
            return ShareClass.WITHIN_SHARE
        if not ready.job.is_owed:
            return ShareClass.NOT_OWED
        if organisation in self.over_share:
            return ShareClass.OVER_SHARE
        return ShareClass.WITHIN_SHARE


def burst_jobs(weight: float) -> float:
    """Return how many jobs are owed to an organisation at once after a pause."""
    return 1.0 + BURST_DEVIATIONS * sqrt(max(0.0, weight) * BURST_WINDOW_S)


def find_over_share(
    used_by_name: Mapping[str, float], weight_by_name: Mapping[str, float], allowed_excess: float
) -> frozenset[str]:
    """Return the organisations that used more than their share and what is allowed beyond it.

    :param used_by_name: core-seconds of the organisations that use or wait for something.
    :param allowed_excess: in core-seconds.
    """
    total_used = sum(used_by_name.values())
    total_weight = max(sum(weight_by_name[name] for name in used_by_name), MIN_WEIGHT)
    return frozenset(
        name
        for name, used in used_by_name.items()
        if used > weight_by_name[name] / total_weight * total_used + allowed_excess
    )


def _ends(submission: Submission) -> bool:
    return any(not step.long_running for step in submission.steps)

"""Reports of runs whose jobs the owner does not know yet."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunReport


class OrphanRun(NamedTuple):
    """A reported run whose job is not known yet, and when it was first seen."""

    worker: Worker
    report: RunReport
    seen_s: float


class OrphanEnd(NamedTuple):
    """An ended run whose job is not known yet, and when it was first reported."""

    worker: Worker
    report: EndReport
    seen_s: float


def choose_orphan(known: OrphanRun | None, reported: OrphanRun) -> OrphanRun:
    """Return which of two reported runs of a task to keep: the later one, whose starter knew both.

    The wait for the job goes on, as it is not known since the first report.
    """
    if known is None:
        return reported
    if known.worker.is_dropped or reported.report.run > known.report.run:
        return reported._replace(seen_s=known.seen_s)
    return known


def forget_worker(
    worker: Worker,
    orphan_by_task: dict[TaskKey, OrphanRun],
    ends_by_job_id: dict[str, list[OrphanEnd]],
) -> None:
    """Remove what an incarnation of a worker that has ended has reported."""
    for key, orphan in list(orphan_by_task.items()):
        if orphan.worker is worker:
            del orphan_by_task[key]
    for job_id, ends in list(ends_by_job_id.items()):
        ends_by_job_id[job_id] = [end for end in ends if end.worker is not worker]
        if not ends_by_job_id[job_id]:
            del ends_by_job_id[job_id]


def take_expired_ends(
    ends_by_job_id: dict[str, list[OrphanEnd]],
    limit_s: float,
    is_awaited: Callable[[str], bool] = lambda job_id: False,
) -> list[tuple[str, list[OrphanEnd]]]:
    """Remove and return the ends, by job, that were all first reported before an instant.

    :param is_awaited: whether a job is known to be stored, so that its ends are kept.
    """
    expired = [
        (job_id, ends)
        for job_id, ends in ends_by_job_id.items()
        if all(end.seen_s < limit_s for end in ends) and not is_awaited(job_id)
    ]
    for job_id, _ in expired:
        del ends_by_job_id[job_id]
    return expired

"""Messages between the owner and the other entries, encoded as JSON arrays."""

from typing import NamedTuple


class WatchAnswer(NamedTuple):
    """Answer to an entry that watches the owner.

    :ivar epoch: epoch of the term, 0 if the answering entry is not the owner.
    :ivar incarnation: identifies one start of the answering process.
    :ivar candidates: the watching entries in the order in which they take over, largest first.
    :ivar store_silent_s: time since the owner's last successful commit.
    :ivar knows_jobs: whether the owner has read all stored jobs. Until then ``pending_by_queue`` is
        empty and says nothing. Earlier versions do not send it.
    """

    epoch: int
    incarnation: str
    is_owner: bool
    candidates: tuple[str, ...]
    pending_by_queue: dict[str, int]
    store_silent_s: float
    knows_jobs: bool = True


class JobStateAnswer(NamedTuple):
    """The state of a job.

    :ivar state: empty if the owner does not know the job.
    :ivar is_loaded: whether the owner has read all stored jobs.
    """

    state: str
    is_loaded: bool


class AdmissionRequest(NamedTuple):
    """A job that reserves processors for as long as it lasts.

    :ivar cpu_millis: these processors, in thousandths of a core.
    """

    job_id: str
    queue: str
    cpu_millis: int


class AdmissionAnswer(NamedTuple):
    """Whether the owner admits a job.

    :ivar retry_after_s: 0 if it does; else after how many whole seconds there is probably room.
    """

    retry_after_s: int

"""Messages between the owner and the other entries, as JSON arrays."""

from typing import NamedTuple


class WatchAnswer(NamedTuple):
    """The owner's answer to an entry that watches it.

    :ivar candidates: the watching entries in the order in which they take over, largest first.
    :ivar store_silent_s: time since the owner's last successful commit.
    """

    epoch: int
    incarnation: str
    is_owner: bool
    candidates: tuple[str, ...]
    pending_by_queue: dict[str, int]
    store_silent_s: float


class JobStateAnswer(NamedTuple):
    """The state of a job.

    :ivar state: empty if the owner does not know the job.
    :ivar is_loaded: whether the owner has read all stored jobs.
    """

    state: str
    is_loaded: bool

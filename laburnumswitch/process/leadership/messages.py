"""Messages between the owner and the other entries, as JSON arrays."""

from typing import NamedTuple


class WatchAnswer(NamedTuple):
    """The owner's answer to an entry that watches it.

    :ivar candidates: entries that watch, the largest first: the order in which they take over.
    :ivar store_silent_s: time since the owner's last successful commit.
    """

    epoch: int
    incarnation: str
    is_owner: bool
    candidates: tuple[str, ...]
    pending_by_queue: dict[str, int]
    store_silent_s: float


class JobStateAnswer(NamedTuple):
    """The state of a job, empty where the owner does not know it."""

    state: str
    is_loaded: bool

"""Follows the changes of one table until it is told to stop."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import FeedTable

# Pause after a failed read, in seconds: fifty times what the store takes for an answer.
RETRY_S = 0.2


class Feed(NamedTuple):
    """What to follow.

    :ivar name: the table's name.
    :ivar wait_s: how long a read waits at the store for a change, in seconds.
    :ivar interval_s: pause before each read, in seconds, where changes come all the time.
    """

    table: FeedTable
    name: str
    wait_s: float
    interval_s: float = 0.0


def follow(
    feed: Feed,
    version: int | None,
    apply: Callable[[Changes, bool], None],
    log: DecisionLog,
    sleep: Callable[[float], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Apply a table's changes as they come.

    :param version: version up to which the table is known; ``None`` reads the whole table first,
        and so does a history that the store has dropped.
    :param apply: takes changes, and whether they are the whole table.
    """
    is_lost = False
    while not is_stopped():
        if version is not None and feed.interval_s:
            sleep(feed.interval_s)
        if version is None:
            changes = feed.table.load(feed.name)
        else:
            changes = feed.table.follow(feed.name, version, feed.wait_s)
        if is_stopped():
            return
        if isinstance(changes, HistoryLost):
            log.note("feed_history_lost", feed.name, version=version)
            version = None
        elif isinstance(changes, Failure):
            if not is_lost:
                log.note("feed_lost", feed.name, version=version, reason=changes.describe())
            is_lost = True
            sleep(RETRY_S)
        else:
            if is_lost:
                log.note("feed_regained", feed.name, version=changes.version)
            is_lost = False
            apply(changes, version is None)
            # A store that is behind after an outage may answer with an earlier version.
            version = max(changes.version, version or 0)

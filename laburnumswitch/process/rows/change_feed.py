"""Follows the changes of one table of the platform's store, by long polling.

Handles entries behind narrow links that were cut off while a large row changed often: the changes
that they missed may take longer to arrive than new ones take to be made.
"""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import ChangeSource
from laburnumswitch.process.rows.table import ReadFailure

# Pause after a failed read, in seconds; long against the response time of the store.
RETRY_DELAY_S = 0.2
# Every this many failed reads in a row are logged.
LOGGED_FAILURES = 10


class Feed(NamedTuple):
    """A table to follow, and how to poll it.

    :ivar store: reads the platform's store, which holds several tables.
    :ivar table_name: name of the table, the first part of its rows' keys.
    :ivar wait_s: how long a read waits at the store for a change, in seconds.
    :ivar interval_s: pause before each read, in seconds. Without it, reads of a table that changes
        all the time would return at once, each with few changes. There is none if the last answer
        did not hold all changes.
    """

    store: ChangeSource
    table_name: str
    wait_s: float
    interval_s: float = 0.0
    only_newest: bool = False


class TimedSource:
    """Forwards reads of a store.

    :ivar sent_s: when the last one was sent, on the given clock; negative infinity if none was.
    """

    def __init__(self, store: ChangeSource, clock: Callable[[], float]) -> None:
        self.sent_s = float("-inf")
        self._store = store
        self._clock = clock

    def load(self, table: str) -> Changes | ReadFailure:
        """Return every row whose key starts with ``table`` and a slash."""
        self.sent_s = self._clock()
        return self._store.load(table)

    def follow(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost | ReadFailure:
        """Return the changes after a version, waiting up to ``wait_s`` for the first."""
        self.sent_s = self._clock()
        return self._store.follow(table, after, wait_s)


def follow_table(
    feed: Feed,
    version: int | None,
    apply: Callable[[Changes, bool], None],
    log: DecisionLog,
    sleep: Callable[[float], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Apply the changes of a table as they occur, until ``is_stopped``.

    :param version: version up to which the table is known; ``None`` loads the whole table first,
        which is also done when the store has discarded the history after this version.
    :param apply: called with the changes and with whether they are the whole table.
    """
    failures = 0
    has_more = is_behind = False
    while not is_stopped():
        if version is not None and feed.interval_s and not has_more:
            sleep(feed.interval_s)
        has_more = False
        is_whole = version is None or is_behind
        if is_whole:
            changes = feed.store.load(feed.table_name)
        else:
            # A read that is not held ends sooner if it is lost as well, so that the return of the
            # store is noticed sooner.
            wait_s = 0.0 if failures else feed.wait_s
            changes = feed.store.follow(feed.table_name, version, wait_s)
        if is_stopped():
            return
        if isinstance(changes, HistoryLost):
            log.note("feed_history_lost", feed.table_name, version=version)
            version = None
        elif isinstance(changes, Failure):
            failures += 1
            is_behind = feed.only_newest
            if failures == 1 or failures % LOGGED_FAILURES == 0:
                log.note(
                    "feed_lost",
                    feed.table_name,
                    version=version,
                    failures=failures,
                    reason=changes.describe(),
                )
            sleep(RETRY_DELAY_S)
        else:
            if failures:
                log.note(
                    "feed_regained", feed.table_name, version=changes.version, failures=failures
                )
            failures = 0
            apply(changes, is_whole)
            if feed.only_newest:
                # The newest rows are read again as long as they change during the reads.
                has_news = any(row.version > (version or 0) for row in changes.rows)
                is_behind = has_news if is_behind else _repeats_rows(changes)
            # After an outage a lagging store may answer with an earlier version.
            version = max(changes.version, version or 0)
            has_more = changes.has_more


def _repeats_rows(changes: Changes) -> bool:
    return len({row.key for row in changes.rows}) < len(changes.rows)

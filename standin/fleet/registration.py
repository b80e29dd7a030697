"""Registration of worker processes in the emulated store, and removal of silent ones."""

from base64 import b64decode
from collections.abc import Callable
from time import monotonic

from msgspec.json import decode

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import FeedMemoryTable
from standin.server import Call
from standin.server import json_reply
from standin.server import Reply
from standin.server import UNAVAILABLE

# A row is removed after this time without a heartbeat, which is three of them.
SILENCE_S = 3.0


class Registration:
    """Takes the heartbeats of the workers.

    The injected faults of commits are left to those of the entries, but a store that is down takes
    no heartbeat either.
    """

    def __init__(self, table: FeedMemoryTable, clock: Callable[[], float] = monotonic) -> None:
        self._table = table
        self._clock = clock
        self._heartbeat_s_by_key: dict[str, float] = {}
        # The heartbeats of workers there do not arrive.
        self.cut_zones: set[str] = set()

    def handle(self, call: Call) -> Reply:
        """Store the rows of one call."""
        puts = tuple(
            Put(f"{row['table']}/{row['key']}", decode(b64decode(row["value"])))
            for row in decode(call.body)["puts"]
        )
        if any(put.value.get("zone") in self.cut_zones for put in puts):
            return UNAVAILABLE
        outcome = self._table.commit_unharmed(Transaction((), puts))
        if isinstance(outcome, Failure):
            return UNAVAILABLE
        self._heartbeat_s_by_key.update({put.key: self._clock() for put in puts})
        return json_reply({"ver": outcome.version, "nowMs": 0})

    def remove(self, key: str) -> None:
        """Remove the row of a worker that has left, now or once the store answers."""
        self._heartbeat_s_by_key[key] = float("-inf")
        self.remove_silent()

    def remove_silent(self) -> None:
        """Remove the rows of workers that have sent no heartbeat for a while."""
        last_s = self._clock() - SILENCE_S
        keys = tuple(key for key, at_s in self._heartbeat_s_by_key.items() if at_s < last_s)
        if keys and not isinstance(self._table.commit_unharmed(Transaction((), (), keys)), Failure):
            for key in keys:
                del self._heartbeat_s_by_key[key]

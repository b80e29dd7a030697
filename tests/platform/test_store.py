"""Tests of the store client, with an emulated store over HTTP."""

from base64 import b64encode
from time import monotonic

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import HistoryLost
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.platform.store import HASH_PARTITION_COUNT
from laburnumswitch.platform.store import StoreClient
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.api import StoreApi
from standin.fleet.feed_table import FeedMemoryTable
from standin.server import bound_address
from standin.server import json_reply
from standin.server import start_server
from standin.server import UNAVAILABLE


def answer_rows(values):
    """Return a handler that answers every read with rows of these bytes."""
    rows = [
        {"table": "servers", "key": f"w{number}", "ver": 1, "value": b64encode(value).decode()}
        for number, value in enumerate(values)
    ]
    return lambda call: json_reply({"rows": rows, "ver": 1, "nowMs": 1.0})


class TestStoreClient(TestCase):
    def setUp(self):
        super().setUp()
        self.table = FeedMemoryTable()
        self.api = StoreApi(self.table)
        self.server = start_server("127.0.0.1:0", self.api.handle)
        self.addCleanup(self.server.stop, 0)
        self.store = StoreClient(Client(bound_address(self.server)))

    def _put(self, key, value, version=0):
        return self.store.commit(Transaction((Condition(key, version),), (Put(key, value),)))

    def test_written_rows_are_read_back(self):
        committed = self._put("progress/a", {"n": 1})
        self.assertThat(committed, IsInstance(Committed))
        rows = self.store.read(("progress/a", "progress/b"))
        self.assertThat(rows["progress/a"].value, Equals({"n": 1}))
        self.assertThat(rows["progress/a"].version, Equals(committed.version))
        self.assertThat(rows["progress/b"].version, Equals(0))

    def test_failed_condition_names_the_row_and_its_version(self):
        first = self._put("progress/a", 1)
        outcome = self._put("progress/a", 2)
        self.assertThat(outcome, Equals(Conflict("progress/a", 0, first.version)))

    def test_condition_on_an_absent_row_that_is_expected(self):
        outcome = self._put("progress/a", 1, version=7)
        self.assertThat(outcome, Equals(Conflict("progress/a", 7, 0)))

    def test_lost_answer_is_an_unknown_outcome(self):
        self.table.lose_answers = 1
        self.assertThat(self._put("progress/a", 1), IsInstance(OutcomeUnknown))
        self.assertThat(self.store.read(("progress/a",))["progress/a"].value, Equals(1))

    def test_commit_to_an_unavailable_store_had_no_effect(self):
        self.table.down = True
        self.assertThat(self._put("progress/a", 1), IsInstance(Unavailable))

    def test_load_reads_every_page(self):
        for first in range(0, 1203, 100):
            numbers = range(first, min(1203, first + 100))
            puts = tuple(Put(f"progress/{number:04}", number) for number in numbers)
            self.store.commit(Transaction((), puts))
        changes = self.store.load("progress")
        self.assertThat([row.value for row in changes.rows], Equals(list(range(1203))))

    def test_load_reads_every_partition(self):
        for number in range(40):
            self._put(f"submissions/{number:02}", number)
        changes = self.store.load("submissions")
        self.assertThat(sorted(row.value for row in changes.rows), Equals(list(range(40))))
        self.assertThat(self.store.read(("submissions/07",))["submissions/07"].value, Equals(7))

    def test_load_of_many_partitions_does_not_wait_for_each_answer_in_turn(self):
        """A new owner starts no task before it has read all jobs."""
        for number in range(40):
            self._put(f"submissions/{number:02}", number)
        self.api.delay_s = 0.05
        began_s = monotonic()
        changes = self.store.load("submissions")
        self.assertThat(monotonic() - began_s, LessThan(HASH_PARTITION_COUNT * 0.05 / 2))
        self.assertThat(sorted(row.value for row in changes.rows), Equals(list(range(40))))

    def _store_that_answers(self, handle):
        server = start_server("127.0.0.1:0", handle)
        self.addCleanup(server.stop, 0)
        return StoreClient(Client(bound_address(server)))

    def test_feed_after_a_load_of_many_partitions_begins_at_the_earliest_version(self):
        """A change between the reads of two partitions would otherwise be left out."""
        versions = iter((7, 3, *range(8, 8 + HASH_PARTITION_COUNT)))
        store = self._store_that_answers(
            lambda call: json_reply({"rows": [], "ver": next(versions), "nowMs": 1.0})
        )
        self.assertThat(store.load("submissions").version, Equals(3))

    def test_load_of_many_partitions_fails_without_a_call_for_each(self):
        """Each call to a store that does not answer takes its whole time limit."""
        store = self._store_that_answers(lambda call: UNAVAILABLE)
        self.assertThat(store.load("submissions"), IsInstance(Unavailable))
        self.assertThat(store.calls, LessThan(HASH_PARTITION_COUNT))

    def test_feed_returns_changes_and_removals(self):
        start = self.store.load("progress").version
        self._put("progress/a", 1)
        self._put("progress/b", 2)
        self.store.commit(Transaction((), (), ("progress/a",)))
        changes = self.store.follow("progress", start, 0.5)
        values = {row.key: row.value for row in changes.rows}
        self.assertThat(values, Equals({"progress/a": None, "progress/b": 2}))
        self.assertThat(self.store.follow("progress", changes.version, 0.0).rows, Equals(()))

    def test_feed_that_exceeds_one_answer_continues_after_its_last_row(self):
        start = self.store.load("progress").version
        for first in range(0, 1203, 100):
            numbers = range(first, min(1203, first + 100))
            puts = tuple(Put(f"progress/{number:04}", number) for number in numbers)
            self.store.commit(Transaction((), puts))
        pages = [self.store.follow("progress", start, 0.5)]
        while pages[-1].has_more:
            pages.append(self.store.follow("progress", pages[-1].version, 0.5))
        values = {row.value for page in pages for row in page.rows}
        self.assertThat(values, Equals(set(range(1203))))
        self.assertThat(len(pages), Equals(3))
        self.assertThat(self.store.follow("progress", pages[-1].version, 0.0).rows, Equals(()))

    def test_feed_without_history_reports_it(self):
        self._put("progress/a", 1)
        self.table.drop_history()
        self.assertThat(self.store.follow("progress", 0, 0.1), IsInstance(HistoryLost))

    def test_unreadable_row_does_not_hide_the_others(self):
        # A value nested 4,096 levels deep raised an error that ended the term of each owner.
        values = (b"[" * 4096, b"\xff", b"1e999", b"{", b'{"n":1}')
        server = start_server("127.0.0.1:0", answer_rows(values))
        self.addCleanup(server.stop, 0)
        rows = StoreClient(Client(bound_address(server))).load("servers").rows
        self.assertThat([row.value for row in rows], Equals([{}] * 4 + [{"n": 1}]))

    def test_operator_rows_are_read_from_the_unnamed_partition(self):
        self.table.commit(Transaction((), (Put("op/config", {"version": 3}),)))
        self.assertThat(self.store.load("op").rows[0].value, Equals({"version": 3}))

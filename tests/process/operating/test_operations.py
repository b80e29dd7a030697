"""Operators' instructions, also after a lost change history, and the bounded decision log."""

from time import monotonic
from time import time

from gevent import sleep
from gevent import spawn
from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import Failure
from laburnumswitch.platform.operations import decode_operation
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.operations import follow_operations
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.change_feed import Feed
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import FeedMemoryTable
from tests.fakes import FakeClock
from tests.platform.test_decoding import ROUTE
from tests.process.dispatch.harness import wait_until

CONFIGURATION = {"version": 1, "routes": [ROUTE], "services": []}


class TestOperations(TestCase):
    def setUp(self):
        super().setUp()
        self.table = FeedMemoryTable()
        self.log = DecisionLog("vm-1", time, 1000)
        self.operations = Operations(self.log)
        self.is_stopped = False
        self.addCleanup(setattr, self, "is_stopped", True)
        spawn(
            follow_operations,
            self.operations,
            Feed(self.table, "op", wait_s=0.1),
            decode_operation,
            monotonic,
            sleep,
            lambda: self.is_stopped,
        )

    def _publish(self, version, *routes):
        value = {"version": version, "routes": routes, "services": []}
        self.table.commit(Transaction((), (Put("op/config", value),)))

    def _version(self):
        configuration = self.operations.configuration
        return configuration.version if configuration else 0

    def test_only_newer_versions_are_adopted(self):
        self._publish(3, ROUTE)
        wait_until(lambda: self._version() == 3)
        self._publish(2)
        self._publish(4, ROUTE)
        wait_until(lambda: self._version() == 4)
        self.assertThat(self.operations.route("h.example", "/p/x").name, Equals("r"))

    def test_queue_outlives_its_route(self):
        self._publish(1, ROUTE)
        wait_until(lambda: self._version() == 1)
        self._publish(2)
        wait_until(lambda: self._version() == 2)
        self.assertThat(self.operations.route("h.example", "/p/x"), Equals(None))
        self.assertThat(self.operations.queue("r").name, Equals("r"))

    def test_longest_prefix_wins(self):
        self._publish(1, ROUTE, {**ROUTE, "name": "longer", "pathPrefix": "/p/q/"})
        wait_until(lambda: self._version() == 1)
        self.assertThat(self.operations.route("h.example", "/p/q/x").name, Equals("longer"))

    def test_zone_returned_while_the_change_history_was_lost(self):
        self.table.commit(Transaction((), (Put("op/evacuate/a", {}),)))
        wait_until(lambda: self.operations.evacuated_zones == {"a"})
        self.table.commit(Transaction((), (), ("op/evacuate/a",)))
        self.table.drop_history()
        wait_until(lambda: not self.operations.evacuated_zones)

    def test_changes_are_followed_after_a_store_outage(self):
        self.table.down = True
        self._publish(5, ROUTE)
        sleep(0.3)
        self.table.down = False
        self._publish(6, ROUTE)
        wait_until(lambda: self._version() == 6)


class LateTable(FeedMemoryTable):
    """A store whose answers are processed late, or come from a replica that lags."""

    def __init__(self, clock):
        super().__init__()
        self.delay_s = 0.0
        self.lag = 0
        self._fake_clock = clock

    def load(self, table):
        return self._answer_late(super().load(table))

    def follow(self, table, after, wait_s):
        return self._answer_late(super().follow(table, after, 0.0))

    def _answer_late(self, answer):
        self._fake_clock.sleep(self.delay_s)
        if isinstance(answer, Failure):
            return answer
        return answer._replace(version=answer.version - self.lag)


class TestConfirmation(TestCase):
    """How long ago the configuration was certainly the newest decides on keys."""

    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.table = LateTable(self.clock)
        self.table.commit(Transaction((), (Put("op/config", CONFIGURATION),)))
        self.operations = Operations(DecisionLog("vm-1", time, 1000))

    def _read(self, reads):
        """Follow the table for a number of reads after the first one, 60 s apart."""
        left = [None] * 2 * (reads + 1)
        follow_operations(
            self.operations,
            Feed(self.table, "op", wait_s=0.1),
            decode_operation,
            self.clock,
            self.clock.sleep,
            lambda: not left or left.pop(),
        )

    def test_read_confirms_from_when_it_was_sent(self):
        """A process that was paused took an answer from before the pause for a recent one."""
        sent_s = self.clock()
        self.table.delay_s = 30.0
        self._read(0)
        self.assertThat(self.operations.version(), Equals(1))
        self.assertThat(self.operations.confirmed_s, Equals(sent_s))

    def test_failed_read_confirms_nothing(self):
        self.table.down = True
        self._read(2)
        self.assertThat(self.operations.confirmed_s, Equals(float("-inf")))

    def test_answer_of_a_store_that_lags_confirms_nothing(self):
        lags = [0, 1, 1, 0]
        confirmed = []

        def answer(changes):
            self.clock.sleep(10.0)
            confirmed.append(self.operations.confirmed_s)
            return changes._replace(version=changes.version - lags[len(confirmed) - 1])

        self.table._answer_late = answer
        first_s = self.clock()
        self._read(3)
        self.assertThat(confirmed[1:], Equals([first_s, first_s, first_s]))
        self.assertThat(self.operations.confirmed_s, Equals(first_s + 30.0))


class TestDecisionLog(TestCase):
    def test_dropped_lines_are_counted(self):
        log = DecisionLog("vm-1", lambda: 1.5, 2)
        for number in range(5):
            log.note("event", str(number), age_s=0.1)
        lines = [decode(line) for line in log.take().splitlines()]
        self.assertThat(
            lines[0], Equals({"t": 1.5, "vm": "vm-1", "event": "event", "id": "0", "age_s": 0.1})
        )
        self.assertThat(lines[-1], Equals({"vm": "vm-1", "event": "lines_dropped", "n": 3}))
        self.assertThat(log.take(), Equals(b""))

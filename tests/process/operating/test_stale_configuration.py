"""Configurations in quick succession, read over links that carry them slowly.

After an outage, an entry behind a narrow link read every version since, which took longer than the
time limit of a read. Each attempt began anew, and the entry answered by its old version.
"""

from time import monotonic
from time import time

from gevent import sleep
from gevent import spawn
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from laburnumswitch.platform.operations import decode_operation
from laburnumswitch.platform.store import StoreClient
from laburnumswitch.process.leadership.peer_api import make_leadership_peer_handler
from laburnumswitch.process.leadership.peer_api import PeerClient
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.operating.admin import AdminContext
from laburnumswitch.process.operating.admin import make_admin_server
from laburnumswitch.process.operating.admin import TrafficCounter
from laburnumswitch.process.operating.operations import follow_operations
from laburnumswitch.process.operating.operations import FROM_STORE
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.change_feed import Feed
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction
from soak.proxy import Mode
from soak.proxy import Proxy
from standin.fleet.api import StoreApi
from standin.fleet.feed_table import FeedMemoryTable
from standin.server import bound_address
from standin.server import start_server
from tests.process.dispatch.harness import wait_until

# Time within which a confirmed version must be in force, in seconds.
APPLY_S = 3.0
LINK_BYTES_PER_S = 400_000
CHANGE_INTERVAL_S = 0.4
FEW_ROUTES = 250
MANY_ROUTES = 2400


def make_value(version, routes):
    return {
        "version": version,
        "routes": [
            {
                "name": f"queue-{number:05}",
                "host": f"host{number:05}.example",
                "pathPrefix": f"/prefix{number:05}/",
                "service": "reports",
                "timeoutMs": 3000 + version,
            }
            for number in range(routes)
        ],
        "services": [{"name": "reports"}],
    }


class TestNarrowLink(TestCase):
    def setUp(self):
        super().setUp()
        self.table = FeedMemoryTable()
        server = start_server("127.0.0.1:0", StoreApi(self.table).handle)
        self.addCleanup(server.stop, 0)
        self.link = Proxy(bound_address(server))
        self.addCleanup(self.link.stop)
        self.link.answer_bytes_per_s = LINK_BYTES_PER_S
        self.operations = Operations(DecisionLog("vm-1", time, 1000))
        self.is_stopped = False
        self.addCleanup(setattr, self, "is_stopped", True)
        self.published = 0

    def _publish(self, routes):
        self.published += 1
        value = make_value(self.published, routes)
        self.table.commit(Transaction((), (Put("op/config", value),)))

    def _publish_often(self, routes):
        while not self.is_stopped:
            self._publish(routes)
            sleep(CHANGE_INTERVAL_S)

    def _follow(self):
        spawn(
            follow_operations,
            self.operations,
            Feed(StoreClient(Client(self.link.address)), "op", wait_s=0.5, only_newest=True),
            decode_operation,
            monotonic,
            sleep,
            lambda: self.is_stopped,
        )

    def _assert_in_force_in_time(self, version):
        wait_until(lambda: self.operations.version() >= version, APPLY_S)

    def test_changes_missed_during_an_outage_do_not_keep_the_newest_version_out(self):
        self._publish(FEW_ROUTES)
        self._follow()
        wait_until(lambda: self.operations.version() == 1)
        self.link.set_mode(Mode.SILENT)
        for _ in range(20):
            self._publish(FEW_ROUTES)
        spawn(self._publish_often, FEW_ROUTES)
        sleep(1.0)
        self.link.set_mode(Mode.PASS)
        self._assert_in_force_in_time(self.published)

    def test_version_larger_than_the_link_carries_in_the_time_of_a_read_comes_into_force(self):
        self._publish(FEW_ROUTES)
        self._follow()
        wait_until(lambda: self.operations.version() == 1)
        for _ in range(2):
            self._publish(MANY_ROUTES)
            self._assert_in_force_in_time(self.published)
            sleep(APPLY_S / 2)

    def test_configuration_fetched_from_another_entry_arrives_over_a_narrow_link(self):
        """The fetch was given up after 0.4 s and began anew with each answer of the owner."""
        configuration = decode_operation(Row("op/config", 1, make_value(7, MANY_ROUTES)))
        self.operations.adopt(configuration, FROM_STORE)
        handler = make_leadership_peer_handler(lambda: None, "i1", self.operations, monotonic)
        context = AdminContext({"peer": handler}, lambda authorization: True, TrafficCounter())
        server = make_admin_server("127.0.0.1:0", context)
        server.start()
        self.addCleanup(server.stop, 0)
        link = Proxy(bound_address(server))
        self.addCleanup(link.stop)
        link.answer_bytes_per_s = LINK_BYTES_PER_S // 2
        relayed = PeerClient().fetch_configuration(link.address)
        self.assertNotIsInstance(relayed, Failure)
        self.assertThat(relayed.configuration, Equals(configuration))

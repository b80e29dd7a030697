"""Tests of when an entry reports itself ready for callers to the load balancer."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Service
from laburnumswitch.process.daemon.readiness import Readiness
from laburnumswitch.process.daemon.readiness import ReadinessInputs
from laburnumswitch.process.daemon.readiness import UPSTREAMS_WAIT_LIMIT_S
from laburnumswitch.size import Size
from laburnumswitch.upstream import Upstream

DECLARED = Configuration(1, services=(Service("orders", "shop", ("h",), 1, Size(1, 1)),))
UPSTREAM = Upstream("orders:0.1", "orders", "127.0.0.1:9", "north", "worker-1", 8)


class TestReadiness(TestCase):
    def setUp(self):
        super().setUp()
        self.leaving = False
        self.configuration = Configuration()
        self.upstreams = ()
        self.now_s = 10.0
        self.readiness = Readiness(
            ReadinessInputs(
                lambda: self.leaving,
                lambda: self.configuration,
                lambda name: self.upstreams,
                lambda: self.now_s,
            )
        )

    def test_new_entry_waits_for_a_configuration_and_for_upstreams(self):
        self.assertThat(self.readiness.unready_reason(), Equals("no configuration"))
        self.configuration = DECLARED
        self.assertThat(self.readiness.unready_reason(), Equals("upstreams not known yet"))
        self.upstreams = (UPSTREAM,)
        self.assertThat(self.readiness.unready_reason(), Equals(""))

    def test_entry_that_was_ready_stays_so_without_upstreams(self):
        self.configuration, self.upstreams = DECLARED, (UPSTREAM,)
        self.readiness.unready_reason()
        self.upstreams = ()
        self.assertThat(self.readiness.unready_reason(), Equals(""))

    def test_wait_for_upstreams_has_a_limit(self):
        self.configuration = DECLARED
        self.readiness.unready_reason()
        self.now_s += UPSTREAMS_WAIT_LIMIT_S
        self.assertThat(self.readiness.unready_reason(), Equals(""))

    def test_leaving_entry_is_never_ready(self):
        self.configuration, self.upstreams, self.leaving = DECLARED, (UPSTREAM,), True
        self.assertThat(self.readiness.unready_reason(), Equals("stopping"))

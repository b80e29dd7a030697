"""The ports' shares of memory and descriptors on the smallest machine."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.job_spec import Limits
from laburnumswitch.process.operating.port_limits import caller_limits
from laburnumswitch.process.operating.port_limits import health_limits
from laburnumswitch.process.operating.port_limits import peer_limits
from tests.process.dispatch.harness import DEPLOYMENT

SMALL = DEPLOYMENT._replace(memory_mb=200, max_sockets=824)
IDLE_MB = 45
# Each body in use exists four times, and each connection takes up to 64 KB.
COPIES = 4
CONNECTION_MB = 1 / 16


class TestPortLimits(TestCase):
    def test_all_clients_together_fit_into_the_smallest_machine(self):
        for max_sockets, share in ((824, 0.6), (8_000, 0.75)):
            self.check_sum(SMALL._replace(max_sockets=max_sockets), share)

    def check_sum(self, small, share):
        ports = (caller_limits(small, Limits()), peer_limits(small), health_limits(small))
        bodies_mb = sum(port.total_body_bytes for port in ports) / 2**20
        connections = sum(port.connections for port in ports)
        used_mb = IDLE_MB + COPIES * bodies_mb + connections * CONNECTION_MB
        self.assertThat(used_mb, LessThan(share * small.memory_mb))
        # Three quarters of the descriptors are for connections to workers.
        self.assertThat(connections, LessThan(small.max_sockets // 4))

    def test_limits_of_the_configuration_apply_to_callers(self):
        limits = caller_limits(SMALL, Limits(9, 8.0, 7, 6.0))
        found = (limits.body_bytes, limits.idle_s, limits.head_bytes, limits.head_s)
        self.assertThat(found, Equals((9, 8.0, 7, 6.0)))

    def test_ports_stay_usable_with_very_few_descriptors(self):
        limits = health_limits(SMALL._replace(max_sockets=0))
        self.assertThat(limits.connections, GreaterThan(1))

"""Which clients are closed for others, and which are refused."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.connection.client_limits import BodyBudget
from laburnumswitch.connection.client_limits import Cause
from laburnumswitch.connection.client_limits import Hold
from laburnumswitch.connection.client_limits import PortClients
from laburnumswitch.connection.client_limits import RefusalCounter
from laburnumswitch.connection.request_reader import CallerLimits
from tests.fakes import FakeClock

BODY_BYTES = 262_144
LIMIT_BYTES = 8 * BODY_BYTES


class FakeClient:
    def __init__(self):
        self.is_closed = False

    def abort(self):
        self.is_closed = True


def make_clients(**limits):
    reports = []
    refusals = RefusalCounter(FakeClock(), reports.append)
    return PortClients("callers", lambda: CallerLimits(**limits), refusals), refusals, reports


class TestBodyBudget(TestCase):
    def test_unfinished_bodies_displace_each_other(self):
        # Bodies that stop short of their end would otherwise add up without bound.
        budget = BodyBudget(LIMIT_BYTES)
        clients = [FakeClient() for _ in range(300)]
        dropped = []
        for client in clients:
            hold = budget.hold(client, BODY_BYTES - 1)
            self.assertThat(hold.is_granted, Equals(True))
            dropped += hold.dropped
            self.assertThat(budget.used_bytes, LessThan(LIMIT_BYTES + 1))
        self.assertThat(dropped, Equals(clients[: len(dropped)]))

    def test_complete_bodies_are_not_dropped(self):
        # A body that is being answered may have been stored already.
        budget = BodyBudget(LIMIT_BYTES)
        for _ in range(6):
            client = FakeClient()
            budget.hold(client, BODY_BYTES)
            budget.complete(client)
        late, small = FakeClient(), FakeClient()
        self.assertThat(budget.hold(late, BODY_BYTES), Equals(Hold(False)))
        # A part of the budget is left to small bodies.
        self.assertThat(budget.hold(small, 2_000), Equals(Hold(True)))
        budget.release(late)
        budget.release(client)
        self.assertThat(budget.hold(FakeClient(), BODY_BYTES - 4_000).is_granted, Equals(True))

    def test_growing_body_counts_once(self):
        budget = BodyBudget(LIMIT_BYTES)
        client = FakeClient()
        for size in (1_000, 2_000, 3_000):
            budget.hold(client, size)
        self.assertThat(budget.used_bytes, Equals(3_000))
        budget.complete(client)
        budget.release(client)
        self.assertThat(budget.used_bytes, Equals(0))


class TestPortClients(TestCase):
    def test_client_waited_for_longest_makes_way(self):
        # Connections that send nothing would otherwise keep all others out.
        clients, refusals, _ = make_clients(connections=3)
        busy, first, second, third = (FakeClient() for _ in range(4))
        for client in (busy, first, second):
            clients.admit(client)
        clients.note_busy(busy)
        clients.note_waiting(first)
        self.assertThat(clients.admit(third), Equals(True))
        closed = [client.is_closed for client in (busy, first, second, third)]
        self.assertThat(closed, Equals([False, False, True, False]))
        clients.remove(second)
        self.assertThat(clients.open_count, Equals(3))
        self.assertThat(refusals.counts["callers", Cause.CONNECTIONS], Equals(1))

    def test_new_client_is_refused_while_all_others_are_answered(self):
        clients, _, _ = make_clients(connections=1)
        busy = FakeClient()
        clients.admit(busy)
        clients.note_busy(busy)
        self.assertThat(clients.admit(FakeClient()), Equals(False))
        self.assertThat((busy.is_closed, clients.open_count), Equals((False, 1)))

    def test_closed_client_gets_no_memory(self):
        # Its greenlet may run once more before it notices.
        clients, _, _ = make_clients(total_body_bytes=LIMIT_BYTES)
        self.assertThat(clients.hold_body(FakeClient(), 1), Equals(False))
        self.assertThat(clients.budget.used_bytes, Equals(0))


class TestRefusalCounter(TestCase):
    def test_refusals_are_reported_once_a_second_with_their_counts(self):
        # Otherwise misbehaving clients fill the log.
        clock, reports = FakeClock(), []
        refusals = RefusalCounter(clock, reports.append)
        for _ in range(1_000):
            refusals.note("ready", Cause.TIMEOUT)
        clock.sleep(1.0)
        refusals.note("ready", Cause.TIMEOUT)
        self.assertThat(reports, Equals([{"ready.timeout": 1}, {"ready.timeout": 1_000}]))

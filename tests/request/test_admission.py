"""Queueing and load shedding by priority."""

from gevent import sleep
from gevent import spawn
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import NotRun
from laburnumswitch.process.placing.service_queue import MAX_WAIT_S
from laburnumswitch.process.placing.service_queue import ServiceQueue
from laburnumswitch.process.placing.service_queue import WaitOutcome
from laburnumswitch.request.admission import admit
from laburnumswitch.upstream import Upstream
from tests.request.fakes import call
from tests.request.fakes import context_of
from tests.request.fakes import event_kinds
from tests.request.fakes import get
from tests.request.fakes import ORDERS
from tests.request.fakes import served

UPSTREAM = Upstream("u", "orders", "127.0.0.1:1", "a", "w", 1)


class TestAdmission(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.context = context_of(UPSTREAM, clock=lambda: self.now_s)
        self.state = self.context.upstream_states.of(UPSTREAM)
        self.service_state = self.context.service_state(ORDERS)
        self.service_state.in_flight = 1_000
        self.queue = self.service_state.queue

    def admit_later(self, rank, order):
        def run():
            result = admit(self.context, ORDERS, rank, self.now_s + 10.0)
            if not isinstance(result, NotRun):
                self.state.outstanding += 1
                order.append(rank)
            return result

        greenlet = spawn(run)
        sleep(0)
        return greenlet

    def free_slot(self):
        self.state.outstanding -= 1
        self.queue.wake()
        sleep(0)

    def test_waiting_requests_are_served_by_priority_then_arrival(self):
        self.state.outstanding = 1
        order = []
        for rank in (2, 1, 0, 1):
            self.admit_later(rank, order)
        for _ in range(4):
            self.free_slot()
        self.assertThat(order, Equals([0, 1, 1, 2]))

    def test_full_queue_sheds_the_lowest_priority_first(self):
        self.state.outstanding = 1
        capacity = 5
        self.service_state.in_flight = int(capacity / MAX_WAIT_S)
        self.service_state.mean_latency_s = 1.0
        low = [self.admit_later(2, []) for _ in range(capacity)]
        late = self.admit_later(2, [])
        high = self.admit_later(0, [])
        sleep(0)
        self.assertThat(late.value, IsInstance(NotRun))
        self.assertThat(low[-1].value, IsInstance(NotRun))
        self.assertThat(
            [greenlet.ready() for greenlet in low[:-1]], Equals([False] * (capacity - 1))
        )
        self.assertThat(high.ready(), Equals(False))
        self.assertThat(self.context.counts.shed, Equals(2))
        self.assertThat(event_kinds(self.context), Contains("shed"))

    def test_shed_request_is_answered_at_once_as_not_run(self):
        context = context_of(UPSTREAM)
        context.upstream_states.of(UPSTREAM).outstanding = 1
        with served(context) as port:
            reply = call(port, get())
        self.assertThat((reply.status, reply.outcome), Equals((503, "not-run")))
        self.assertThat(reply.headers, Contains("retry-after"))

    def test_slot_given_as_the_wait_times_out_is_not_lost(self):
        queue = ServiceQueue(lambda: 0.0)
        outcomes = []
        spawn(lambda: outcomes.append(queue.wait(0, 1, 0.01, 10)))
        sleep(0)
        queue.wake()
        sleep(0.02)
        self.assertThat(outcomes, Equals([WaitOutcome.TURN]))
        self.assertThat(queue, HasLength(0))

    def test_request_to_a_service_without_upstreams_does_not_wait(self):
        context = context_of()
        self.assertThat(admit(context, ORDERS, 0, 10.0).reason, Equals("no upstream"))

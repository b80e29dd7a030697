"""Tests of the prices of workers for best-effort work."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.opportunity import Demand
from laburnumswitch.process.dispatch.opportunity import worker_prices
from laburnumswitch.process.dispatch.placing import PlacementContext
from laburnumswitch.process.dispatch.placing import Ranking
from tests.process.dispatch.test_decisions import HARMFUL
from tests.process.dispatch.test_decisions import HARMLESS
from tests.process.dispatch.test_decisions import make_trained_model
from tests.process.dispatch.test_decisions import make_worker
from tests.process.dispatch.test_decisions import SERVING


class TestWorkerPrices(TestCase):
    """Half of the best-effort work interferes with the serving tasks of most workers."""

    def setUp(self):
        super().setUp()
        self.model = make_trained_model()
        self.sensitive = [make_worker(number, SERVING) for number in range(1, 4)]
        self.tolerant = make_worker(4)
        self.workers = [*self.sensitive, self.tolerant]
        self.price_by_id = worker_prices(self.workers, {"loud": 10.0, "quiet": 10.0}, self.model)

    def test_worker_that_alone_suits_an_image_in_demand_is_the_most_expensive(self):
        prices = [self.price_by_id[worker.worker_id] for worker in self.workers]
        self.assertThat(min(prices), Equals(0.0))
        self.assertThat(max(prices[:3]), LessThan(prices[3]))

    def test_harmless_work_leaves_that_worker_to_the_harmful(self):
        # Without prices, the worker with the most idle processors is taken.
        workers = [self.tolerant, *self.sensitive]
        images = ("loud", "quiet")
        priced = PlacementContext(self.model, images, self.price_by_id)
        free = PlacementContext(self.model, images)
        self.assertThat(Ranking(HARMLESS, workers, free).best().worker, Is(self.tolerant))
        choice = Ranking(HARMLESS, workers, priced).best()
        self.assertThat(choice.worker in self.sensitive, Equals(True))
        self.assertThat(Ranking(HARMFUL, workers, priced).best().worker, Is(self.tolerant))

    def test_price_does_not_make_a_worker_unsuitable(self):
        context = PlacementContext(self.model, ("loud", "quiet"), self.price_by_id)
        choice = Ranking(HARMFUL, [self.tolerant], context).best()
        self.assertThat(choice.own_cost, LessThan(choice.cost))

    def test_no_demand_has_no_prices(self):
        self.assertThat(worker_prices(self.workers, {}, self.model), Equals({}))


class TestDemand(TestCase):
    def test_earlier_demand_fades(self):
        demand = Demand()
        demand.add("loud", 8.0, 0.0)
        demand.add("quiet", 8.0, 20.0)
        self.assertThat(demand.work_by_image["loud"], LessThan(4.0))
        self.assertThat(demand.work_by_image["quiet"], Equals(8.0))

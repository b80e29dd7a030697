"""Tests of the sizes of tasks for which no worker has room."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.room import NoRoom
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.replay import Arrival
from tests.process.dispatch.replay import FleetReplay

URGENT = Queue("check", "c.example", "/c/", "shop", max_attempts=2)


class TestNoRoom(TestCase):
    def test_sizes_at_least_as_large_are_ruled_out(self):
        no_room = NoRoom()
        no_room.note(Step(1, 4000, 512))
        self.assertThat(no_room.rules_out(Step(9, 4000, 512)), Equals(True))
        self.assertThat(no_room.rules_out(Step(1, 5000, 512, required_label="a")), Equals(True))
        self.assertThat(no_room.rules_out(Step(1, 5000, 511)), Equals(False))
        self.assertThat(no_room.rules_out(Step(1, 3999, 9999)), Equals(False))

    def test_sizes_are_ruled_out_exactly_if_they_fit_no_worker(self):
        # A size that is ruled out wrongly waits although there is room.
        random = Random(5)
        steps = [Step(1, random.randrange(1, 9) * 1000, random.randrange(1, 9)) for _ in range(60)]
        no_room = NoRoom()
        fits_none = [step for step in steps if step.cpu_millis > 4000 or step.memory_mb > 5]
        for step in fits_none:
            no_room.note(step)
        ruled_out = [step for step in steps if no_room.rules_out(step)]
        self.assertThat(ruled_out, Equals(fits_none))


class TestFullFleet(TestCase):
    def test_waiting_steps_do_not_look_at_every_worker_each(self):
        # Each of 300 waiting steps looked at all 200 workers in each pass.
        looks = 0
        fits = Worker.fits

        def count_looks(worker, step):
            nonlocal looks
            looks += 1
            return fits(worker, step)

        self.addCleanup(setattr, Worker, "fits", fits)
        listings = [make_listing(number, cpu_millis=8000) for number in range(1, 201)]
        fleet = FleetReplay(listings, [URGENT])
        filling = Arrival(0.0, "check", (Step(200, 8000, 512, estimate_ms=9e4),), (90.0,))
        fleet.replay([filling], 0.3)
        waiting = [
            Arrival(0.0, "check", (Step(2, 2000 + 10 * number, 512),), (1.0,))
            for number in range(300)
        ]
        Worker.fits = count_looks
        fleet.replay(waiting, 0.04)
        self.assertThat(looks, LessThan(300 * 200))

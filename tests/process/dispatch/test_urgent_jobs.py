"""Tests that replay urgent jobs on a fleet that long-running tasks fill."""

from random import Random

from testtools import TestCase
from testtools.matchers import GreaterThan

from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.replay import Arrival
from tests.process.dispatch.replay import FleetReplay

# Share of the worth of the large deployment that its users ask for.
TARGET_SHARE = 0.69
# Part of its worth that a late job still has, up to three times its target.
LATE_WORTH = 0.15
LATE_FACTOR = 3.0
URGENT = Queue("check", "check.example", "/", "shop", stretch=1.5, objective_s=0.3)
LASTING = Queue("feed", "feed.example", "/", "shop", stretch=2.2, objective_s=2.5)
WORKERS = 112
LENGTH_S = 40.0
FILLED_S = 6.0


def make_fleet():
    listings = [
        make_listing(
            number,
            cpu_millis=96_000 if number % 3 == 0 else 64_000,
            memory_mb=384_000 if number % 3 == 0 else 256_000,
        )
        for number in range(1, WORKERS + 1)
    ]
    return FleetReplay(listings, [URGENT, LASTING])


def lasting_job(random, at_s):
    cpu_millis = min(20_000, max(5_000, int(random.gauss(13_000, 3_000))))
    step = Step(24, cpu_millis, 26_000, image=f"f{random.randrange(16)}", long_running=True)
    return Arrival(at_s, "feed", (step._replace(tail_target_ms=50, max_unavailable=2),))


def urgent_job(random, at_s):
    steps = []
    for index in range(random.choice((1, 1, 2, 2))):
        cpu_millis = min(61_000, max(6_000, int(random.lognormvariate(9.8, 0.45))))
        width = min(56, max(1, int(random.lognormvariate(1.95, 0.75))))
        step = Step(width, cpu_millis, 2 * cpu_millis, estimate_ms=1000.0)
        steps.append(step._replace(after=(index - 1,) if index else ()))
    durations = tuple(min(2.5, random.lognormvariate(-0.1, 0.45)) for _ in steps)
    return Arrival(at_s, "check", tuple(steps), durations)


def full_day(random, urgent_per_s=1.4, lasting_per_s=0.12, filled=24):
    """Return arrivals of which the long-running ones nearly fill the fleet before the others."""
    arrivals = [lasting_job(random, 0.1 * number) for number in range(filled)]
    at_s = FILLED_S
    while at_s < LENGTH_S - 6.0:
        at_s += random.expovariate(urgent_per_s + lasting_per_s)
        is_urgent = random.random() < urgent_per_s / (urgent_per_s + lasting_per_s)
        arrivals.append(urgent_job(random, at_s) if is_urgent else lasting_job(random, at_s))
    return arrivals


def earned_share(jobs):
    earned = sum(
        (
            1.0
            if job.took_s <= job.objective_s
            else LATE_WORTH if job.took_s <= LATE_FACTOR * job.objective_s else 0.0
        )
        for job in jobs
    )
    return earned / len(jobs)


class TestUrgentJobsOnAFullFleet(TestCase):
    def test_urgent_jobs_are_served_while_long_running_tasks_fill_the_fleet(self):
        # Free processors were left in pieces too small for an urgent task, and each piece that an
        # urgent task gave back went to a long-running one.
        for seed in (1, 2, 3):
            fleet = make_fleet()
            finished = fleet.replay(full_day(Random(seed)), LENGTH_S)
            self.assertThat(earned_share(finished["check"]), GreaterThan(TARGET_SHARE), str(seed))

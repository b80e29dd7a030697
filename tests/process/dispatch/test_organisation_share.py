"""Tests of fair sharing between organisations, among them a replay of one at many times its rate."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.size import ZERO
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.replay import Arrival
from tests.process.dispatch.replay import FleetReplay
from tests.process.dispatch.test_urgent_jobs import earned_share

# The example deployment of the design page, a quarter of it.
CHECK = Queue("check", "check.example", "/", "shop", stretch=1.0, objective_s=0.3)
PLAN = Queue("plan", "plan.example", "/", "shop", priority=2, stretch=1.5, objective_s=1.0)
WORKERS = 61
WORKER_CPU_MILLIS = 64_000
CHECKS_PER_S = 6.0 / 4
PLANS_PER_S = 16.0 / 4
HOT = "org-0"
HOT_FACTOR = 7.5
HOT_FROM_S = 10.0
HOT_S = 6.5
LENGTH_S = 34.0
# Part of the jobs that each of twenty organisations sends: a few are large.
PARTS = (0.2, 0.15, 0.1, *([0.55 / 17] * 17))
# Weights are a quarter above the usual rates.
ORGANISATIONS = tuple(
    Organisation(f"org-{number}", 1.25 * part * (CHECKS_PER_S + PLANS_PER_S), ZERO)
    for number, part in enumerate(PARTS)
)


def check_job(random, at_s, organisation):
    steps = [Step(10, 11_000, 1_000, estimate_ms=640.0) for _ in range(random.choice((1, 1, 2)))]
    steps[1:] = [step._replace(after=(0,)) for step in steps[1:]]
    return Arrival(at_s, "check", tuple(steps), (0.64,) * len(steps), organisation)


def plan_job(random, at_s, organisation):
    step = Step(20, 7_000, 1_000, estimate_ms=1700.0, best_effort=True)
    return Arrival(at_s, "plan", (step, step._replace(after=(0,))), (1.7, 1.7), organisation)


def day(seed, hot_factor=HOT_FACTOR):
    """Return arrivals; those that are not of the hot phase do not depend on the factor."""
    random = Random(seed)
    arrivals = []
    for number, part in enumerate(PARTS):
        for make, per_s in ((check_job, CHECKS_PER_S), (plan_job, PLANS_PER_S)):
            at_s = random.expovariate(part * per_s)
            while at_s < LENGTH_S:
                arrivals.append(make(random, at_s, f"org-{number}"))
                at_s += random.expovariate(part * per_s)
    for make, per_s in ((check_job, CHECKS_PER_S), (plan_job, PLANS_PER_S)):
        at_s = HOT_FROM_S
        while hot_factor > 1.0 and at_s < HOT_FROM_S + HOT_S:
            arrivals.append(make(random, at_s, HOT))
            at_s += random.expovariate((hot_factor - 1.0) * PARTS[0] * per_s)
    return arrivals


def play(arrivals, organisations=ORGANISATIONS):
    listings = [
        make_listing(number, cpu_millis=WORKER_CPU_MILLIS, memory_mb=256_000)
        for number in range(1, WORKERS + 1)
    ]
    fleet = FleetReplay(listings, [CHECK, PLAN], organisations=organisations)
    return fleet.replay(arrivals, LENGTH_S + 10.0)

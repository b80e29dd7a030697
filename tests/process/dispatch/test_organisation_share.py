"""Tests of fair sharing between organisations, with a replay of one at many times its rate."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.organisation_share import ArrivalBucket
from laburnumswitch.process.dispatch.organisation_share import burst_jobs
from laburnumswitch.process.dispatch.organisation_share import OrganisationShares
from laburnumswitch.process.dispatch.organisation_share import ShareClass
from laburnumswitch.process.dispatch.organisation_update import note_loaded_jobs
from laburnumswitch.size import ZERO
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.replay import Arrival
from tests.process.dispatch.replay import FleetReplay
from tests.process.dispatch.test_urgent_jobs import earned_share

# A quarter of the example deployment of the design page, on so few workers that the hot phase
# exceeds their capacity.
CHECK = Queue("check", "check.example", "/", "shop", stretch=1.0, objective_s=0.3)
PLAN = Queue("plan", "plan.example", "/", "shop", priority=2, stretch=1.5, objective_s=1.0)
WORKERS = 36
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


def make_fleet(workers=WORKERS, organisations=ORGANISATIONS):
    listings = [
        make_listing(number, cpu_millis=WORKER_CPU_MILLIS, memory_mb=256_000)
        for number in range(1, workers + 1)
    ]
    return FleetReplay(listings, [CHECK, PLAN], organisations=organisations)


def earned_by_others(arrivals):
    """Return the worth of the jobs of all organisations but the hot one, in jobs."""
    finished = make_fleet().replay(arrivals, LENGTH_S + 10.0)
    others = [job for jobs in finished.values() for job in jobs if job.organisation != HOT]
    return earned_share(others) * len(others)


class TestHotOrganisation(TestCase):
    def test_others_lose_no_more_than_the_hot_one_is_entitled_to(self):
        # Its jobs went before those of others wherever they had more slack or less work: in these
        # days the others lost 10 to 15 jobs.
        hot = ORGANISATIONS[0]
        usual_per_s = PARTS[0] * (CHECKS_PER_S + PLANS_PER_S)
        extra_jobs = burst_jobs(hot.weight) + (hot.weight - usual_per_s) * HOT_S
        for seed in (1, 2, 3):
            lost = earned_by_others(day(seed, 1.0)) - earned_by_others(day(seed))
            self.assertThat(lost, LessThan(extra_jobs), str(seed))

    def test_jobs_that_are_not_owed_start_while_there_is_capacity(self):
        # Half of the workers stay free. Each job must have something running within three seconds.
        fleet = make_fleet(2 * WORKERS, (Organisation(HOT, 0.1),))
        fleet.replay([plan_job(None, 0.0, HOT) for _ in range(15)], 1.0)
        jobs = fleet.owner.jobs_by_id.values()
        self.assertThat([job.is_owed for job in jobs].count(False), GreaterThan(10))
        self.assertThat([job.job_id for job in jobs if not job.is_running()], Equals([]))

    def test_nothing_is_stopped_for_work_that_is_not_owed(self):
        # Urgent work of a hot organisation stopped long-running tasks of others. Its first job is
        # owed, and takes the place of two of them.
        fleet = make_fleet(40, (Organisation(HOT, 0.0),))
        lasting = Step(4, 15_000, 1_000, long_running=True, max_unavailable=4)
        fleet.replay([Arrival(0.0, "check", (lasting,))] * 40, 4.0)
        step = Step(1, 30_000, 1_000, estimate_ms=1000.0)
        fleet.replay([Arrival(0.0, "check", (step,), (1.0,), HOT)] * 4, 0.9)
        self.assertThat(len(fleet.stopped_runs), Equals(2))


class TestShareClass(TestCase):
    """Classes of two organisations with equal weights."""

    ORGANISATIONS = {name: Organisation(name, 1.0) for name in ("a", "b")}
    STEP = Step(1, 1_000, estimate_ms=1000.0)

    def setUp(self):
        super().setUp()
        self.shares = OrganisationShares()

    def _job(self, organisation, number=0, step=STEP):
        job = Job(Submission(f"{number:016x}", "q", "", (step,), 0.0, organisation=organisation))
        self.shares.note_arrival(job, self.ORGANISATIONS, 0.0)
        return job

    def _class(self, job):
        occurrence = job.occurrences[0]
        return self.shares.share_class(ReadyStep(job, occurrence, occurrence.steps[0]))

    def test_jobs_beyond_the_burst_are_not_owed(self):
        classes = [self._class(self._job("a", number)) for number in range(20)]
        self.assertThat(classes.count(ShareClass.WITHIN_SHARE), Equals(int(burst_jobs(1.0))))
        self.assertThat(classes[-1], Equals(ShareClass.NOT_OWED))

    def test_public_and_long_running_jobs_are_not_put_back(self):
        for step in (self.STEP, self.STEP._replace(long_running=True)):
            name = "a" if step.long_running else ""
            classes = {self._class(self._job(name, number, step)) for number in range(20)}
            self.assertThat(classes, Equals({ShareClass.WITHIN_SHARE}))
        self.assertThat(self._class(self._job("a")), Equals(ShareClass.WITHIN_SHARE))

    def test_organisation_that_used_more_goes_after_others_for_a_time(self):
        jobs = {name: self._job(name) for name in ("a", "b")}
        for now_s in range(6):
            self.shares.update({"a": 10.0, "b": 1.0}, self.ORGANISATIONS, float(now_s))
        self.assertThat(self._class(jobs["a"]), Equals(ShareClass.OVER_SHARE))
        self.assertThat(self._class(jobs["b"]), Equals(ShareClass.WITHIN_SHARE))
        self.shares.update({"a": 1.0, "b": 1.0}, self.ORGANISATIONS, 30.0)
        self.assertThat(self._class(jobs["a"]), Equals(ShareClass.WITHIN_SHARE))

    def test_a_single_job_is_not_more_than_a_share(self):
        # One job of a small organisation exceeds its share while it runs.
        job = self._job("a")
        self.shares.update({"a": 1.0, "b": 0.0}, self.ORGANISATIONS, 0.0)
        self.shares.update({"a": 1.0, "b": 0.0}, self.ORGANISATIONS, 1.0)
        self.assertThat(self._class(job), Equals(ShareClass.WITHIN_SHARE))

    def test_order_is_as_without_shares_once_no_organisations_are_configured(self):
        job = [self._job("a", number) for number in range(20)][-1]
        self.shares.update({"a": 1.0}, {}, 1.0)
        self.assertThat(self._class(job), Equals(ShareClass.WITHIN_SHARE))


class TestArrivals(TestCase):
    def test_jobs_that_become_known_out_of_order_earn_no_tokens_twice(self):
        # Entries notify the owner at once, and its feed brings the same jobs in another order.
        bucket = ArrivalBucket(1.0, 0.0)
        taken = sum(bucket.take(1.0, at_s) for _ in range(10) for at_s in (2.0, 0.0))
        self.assertThat(taken, Equals(int(burst_jobs(1.0))))

    def test_new_owner_counts_the_jobs_that_it_loads(self):
        # A new owner would have owed the hot organisation its whole backlog and another burst.
        fleet = make_fleet(1, (Organisation(HOT, 1.0),))
        fleet.owner.is_loaded.clear()
        step = Step(1, 1_000, estimate_ms=1000.0)
        for number in reversed(range(20)):
            submitted_s = fleet.now_s - 1.0 + 0.01 * number
            submission = Submission(f"{number:016x}", "plan", "", (step,), submitted_s)
            fleet.owner.add_job(submission._replace(organisation=HOT))
        note_loaded_jobs(fleet.owner)
        owed = sorted(job.job_id for job in fleet.owner.jobs_by_id.values() if job.is_owed)
        first = [f"{number:016x}" for number in range(int(burst_jobs(1.0)))]
        self.assertThat(owed, Equals(first))

    def test_removed_configuration_of_organisations_owes_all_new_jobs(self):
        fleet = make_fleet(1, (Organisation(HOT, 0.0),))
        configuration = QueueConfiguration(2, {PLAN.name: PLAN}, {"shop": True})
        fleet.owner.context.operations.apply(configuration)
        fleet.replay([plan_job(None, 0.0, HOT) for _ in range(5)], 0.1)
        self.assertThat(all(job.is_owed for job in fleet.owner.jobs_by_id.values()), Equals(True))

"""Tests that replay urgent jobs on a fleet that long-running tasks fill."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.headroom import MAX_HEADROOM_SHARE
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.tickets import Tickets
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


class TestRoomGivenBack(TestCase):
    """One urgent task after the other uses the only worker with room; a long-running one waits."""

    LASTING_STEP = Step(1, 13_000, 26_000, long_running=True)
    URGENT_STEP = Step(1, 40_000, 80_000, estimate_ms=600.0)
    BUSY_S = 10.0

    def setUp(self):
        super().setUp()
        listings = [
            make_listing(number, cpu_millis=64_000, memory_mb=256_000) for number in range(1, 11)
        ]
        self.fleet = FleetReplay(listings, [URGENT, LASTING], rejects_jobs=False)
        whole_worker = self.LASTING_STEP._replace(count=9, cpu_millis=64_000)
        filling = [Arrival(0.0, "feed", (step,)) for step in (whole_worker, self.LASTING_STEP)]
        self.fleet.replay(filling, 4.0)
        # Headroom as after a wave of urgent work.
        self.fleet.owner.headroom_by_service["shop"].update(640_000.0, self.fleet.now_s)
        urgent = [
            Arrival(0.7 * number, "check", (self.URGENT_STEP,), (0.6,))
            for number in range(int(self.BUSY_S / 0.7))
        ]
        self.arrivals = [*urgent, self._waiting_job(2)]

    def _waiting_job(self, count):
        return Arrival(0.1, "feed", (self.LASTING_STEP._replace(count=count),))

    def _long_running_runs(self):
        runs = [
            run
            for worker in self.fleet.owner.workers_by_id.values()
            for run in worker.runs_by_task.values()
        ]
        return sum(run.step.cpu_millis == self.LASTING_STEP.cpu_millis for run in runs)

    def test_room_between_two_urgent_tasks_does_not_go_to_a_long_running_one(self):
        self.fleet.replay(self.arrivals, self.BUSY_S)
        self.assertThat(self._long_running_runs(), Equals(1))

    def test_room_that_stays_free_goes_to_it_within_three_seconds(self):
        self.fleet.replay(self.arrivals, self.BUSY_S)
        self.fleet.replay([], 3.0)
        self.assertThat(self._long_running_runs(), Equals(3))

    def test_room_with_short_gaps_goes_to_it_within_three_seconds(self):
        # A single urgent task now and then held up long-running tasks for as long as that went on.
        short = self.URGENT_STEP._replace(estimate_ms=200.0)
        urgent = [Arrival(0.9 * number, "check", (short,), (0.2,)) for number in range(4)]
        self.fleet.replay([*urgent, self._waiting_job(2)], 3.1)
        self.assertThat(self._long_running_runs(), Equals(3))

    def test_room_on_one_worker_for_several_tasks_goes_to_a_step_of_a_single_one(self):
        # Room was counted for as many tasks as the step has, so one worker never had enough.
        self.fleet.replay([self._waiting_job(1)], 3.1)
        self.assertThat(self._long_running_runs(), Equals(2))


class TestPreemption(TestCase):
    LASTING_STEP = Step(4, 15_000, 26_000, long_running=True)
    URGENT_STEP = Step(1, 30_000, 60_000, estimate_ms=1000.0)

    def _fill(self, *queues, workers=4, **changes):
        listings = [
            make_listing(number, cpu_millis=64_000, memory_mb=256_000)
            for number in range(1, workers + 1)
        ]
        fleet = FleetReplay(listings, list(queues))
        step = self.LASTING_STEP._replace(**changes)
        fleet.replay([Arrival(0.0, "feed", (step,))] * workers, 4.0)
        return fleet

    def test_urgent_task_gets_the_room_of_the_fewest_processors(self):
        fleet = self._fill(URGENT, LASTING, workers=40, max_unavailable=4)
        finished = fleet.replay([Arrival(0.0, "check", (self.URGENT_STEP,), (1.0,))], 2.0)
        self.assertThat(len(fleet.stopped_runs), Equals(2))
        self.assertThat(finished["check"][0].took_s, LessThan(1.6))

    def test_steps_keep_all_but_the_declared_number_of_their_tasks(self):
        # Tasks of a step share workers, so only one of them may be stopped there.
        fleet = self._fill(URGENT, LASTING, workers=40, max_unavailable=1)
        arrivals = [Arrival(0.1 * n, "check", (self.URGENT_STEP,), (1.0,)) for n in range(10)]
        fleet.replay(arrivals, 3.0)
        stopped = [key[:3] for _, key in fleet.stopped_runs]
        self.assertThat(len(set(stopped)), Equals(len(stopped)))

    def test_tasks_of_a_more_urgent_queue_are_not_stopped(self):
        fleet = self._fill(URGENT._replace(priority=1), LASTING, workers=40, max_unavailable=4)
        fleet.replay([Arrival(0.0, "check", (self.URGENT_STEP,), (1.0,))], 2.0)
        self.assertThat(fleet.stopped_runs, Equals([]))

    def test_nothing_is_stopped_for_tasks_that_wait_for_tickets(self):
        # Their tickets may be for other workers than those that were cleared.
        fleet = self._fill(
            URGENT._replace(needs_advice=True), LASTING, workers=40, max_unavailable=4
        )
        fleet.owner.context = fleet.owner.context._replace(
            ask_advice=lambda *arguments: Tickets({}, 1.0)
        )
        fleet.replay([Arrival(0.0, "check", (self.URGENT_STEP,), (1.0,))], 2.0)
        self.assertThat(fleet.stopped_runs, Equals([]))

    def test_room_that_is_about_to_become_free_is_waited_for(self):
        fleet = self._fill(URGENT, LASTING, workers=40, max_unavailable=4)
        first = self.URGENT_STEP._replace(estimate_ms=600.0)
        arrivals = [
            Arrival(0.0, "check", (first,), (0.6,)),
            Arrival(0.9, "check", (self.URGENT_STEP,), (1.0,)),
        ]
        fleet.replay(arrivals, 3.0)
        self.assertThat(len(fleet.stopped_runs), Equals(2))

    def test_stopped_tasks_run_again_within_six_seconds_under_lasting_load(self):
        # Room between two urgent tasks is room in the eyes of users, and was never left to others.
        fleet = self._fill(URGENT, LASTING, workers=40, max_unavailable=4)
        wide = self.URGENT_STEP._replace(count=30)
        arrivals = [Arrival(0.5 * n, "check", (wide,), (1.0,)) for n in range(30)]
        for arrival in arrivals:
            fleet.replay([arrival._replace(at_s=0.0)], 0.5)
            longest_s = max(
                (
                    fleet.now_s - ready.step_state.ready_since_s
                    for ready in fleet.owner.ready_step_by_key.values()
                    if ready.step_state.step.long_running
                ),
                default=0.0,
            )
            self.assertThat(longest_s, LessThan(6.0))
        self.assertThat(len(fleet.stopped_runs), GreaterThan(0))

    def test_urgent_tasks_get_a_limited_share_of_the_processors(self):
        fleet = self._fill(URGENT, LASTING, workers=40, max_unavailable=4)
        wide = self.URGENT_STEP._replace(count=80)
        fleet.replay([Arrival(0.0, "check", (wide,), (5.0,))], 4.0)
        used = sum(each.urgent_cpu_millis for each in fleet.owner.workers_by_id.values())
        self.assertThat(used, LessThan(MAX_HEADROOM_SHARE * 40 * 64_000 + 1))
        self.assertThat(used, GreaterThan(0))

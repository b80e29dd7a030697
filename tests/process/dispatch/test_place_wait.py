"""Tests that replay jobs whose data are in one rack, and gangs, on fleets with room elsewhere."""

from json import loads
from math import inf
from random import Random
from statistics import mean

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.down_time import MAX_INHERITED_WAIT_S
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import step_estimate_s
from laburnumswitch.process.dispatch.place_supply import collect_places
from laburnumswitch.process.dispatch.place_supply import RunTiming
from laburnumswitch.process.dispatch.place_wait import count_waiting
from laburnumswitch.process.dispatch.place_wait import MAX_LOGGED_PER_S
from laburnumswitch.process.dispatch.place_wait import MAX_WAIT_S
from laburnumswitch.process.dispatch.place_wait import PlaceSnapshot
from laburnumswitch.process.dispatch.place_wait import PlaceWaits
from laburnumswitch.process.observing.decisions import DecisionLog
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.replay import Arrival
from tests.process.dispatch.replay import FleetReplay

CHECK = Queue("check", "check.example", "/", "shop", stretch=1.5, objective_s=0.3)
ROUTE = Queue("route", "route.example", "/", "shop", priority=2, stretch=2.0, objective_s=2.0)
GANG = CHECK._replace(name="gang")
FEED = Queue("feed", "feed.example", "/", "shop", stretch=2.2, objective_s=2.5)
# The factors of the example deployments.
FAR_FACTORS = (1.5, 2.0, 3.0)
RACKS = 8
HOT_S = 5.5
HOT_SHARE = 0.6
LENGTH_S = 16.0


class FixedWaits(PlaceWaits):
    """The earlier policy: urgent tasks start anywhere at once, best-effort steps wait for as long
    as a task loses elsewhere."""

    def choose_elsewhere(self, ready, queue, near, workers, now_s, wall_s):
        step, step_state = ready.step_state.step, ready.step_state
        lost_s = (self._bounds.far_factor - 1.0) * step_estimate_s(step)
        has_room = any(each.fits(step) for each in near)
        if step.best_effort and has_room and now_s - step_state.ready_since_s < lost_s:
            return 0
        return step_state.waiting_count()

    def gang_waits(self, ready, queue, groups, workers, now_s, wall_s):
        return False


class Outcome:
    """Share of jobs on time, and mean time that a job takes."""

    def __init__(self, jobs):
        self.on_time = mean(job.took_s <= job.objective_s for job in jobs)
        self.mean_s = mean(job.took_s for job in jobs)

    def __repr__(self):
        return f"{self.on_time:.3f} on time, mean {self.mean_s:.2f} s"


def replay(policy, far_factor, make_day, seeds=range(1, 7), lost_rack="", length_s=LENGTH_S):
    """Return the outcomes by queue, and the owners' waits."""
    jobs_by_queue = {}
    waits = []
    for seed in seeds:
        fleet = make_fleet(policy, far_factor)
        if lost_rack:
            fleet.lose_rack(3.0, lost_rack)
        for name, jobs in fleet.replay(make_day(Random(seed)), length_s).items():
            jobs_by_queue.setdefault(name, []).extend(jobs)
        waits.append(fleet.owner.place_waits)
    return {name: Outcome(jobs) for name, jobs in jobs_by_queue.items()}, waits


def make_fleet(policy, far_factor, workers=48):
    listings = [
        make_listing(number, cpu_millis=64_000, memory_mb=256_000, rack=f"r{number % RACKS}")
        for number in range(workers)
    ]
    fleet = FleetReplay(listings, [CHECK, GANG, ROUTE, FEED], False, far_factor=far_factor)
    owner = fleet.owner
    owner.place_waits = policy(owner.context.log, owner.context.deployment.bounds)
    return fleet


def check_job(random, at_s, rack, wrong=1.0):
    steps = []
    durations = []
    for index in range(random.choice((1, 1, 2, 2, 2))):
        cpu_millis = min(40_000, max(3_000, int(random.lognormvariate(9.25, 0.4))))
        width = min(30, max(1, int(random.lognormvariate(2.1, 0.6))))
        duration = min(2.5, random.lognormvariate(-0.55, 0.4))
        estimate = 1000.0 * duration * random.lognormvariate(0.0, 0.15)
        if wrong != 1.0:
            estimate *= random.choice((wrong, 1.0 / wrong))
        step = Step(width, cpu_millis, cpu_millis, estimate_ms=estimate, data_rack=rack)
        steps.append(step._replace(after=(index - 1,) if index else ()))
        durations.append(duration)
    return Arrival(at_s, "check", tuple(steps), tuple(durations))


def hot_day(random, rate=6.0, wrong=1.0):
    arrivals = []
    at_s = 0.0
    while at_s < 10.0:
        at_s += random.expovariate(rate)
        is_hot = 1.0 < at_s < 1.0 + HOT_S and random.random() < HOT_SHARE
        rack = "r1" if is_hot else f"r{random.randrange(RACKS)}"
        arrivals.append(check_job(random, at_s, rack, wrong))
    return arrivals


def gang_day(random, rate=5.0, other_rate=18.0):
    """Return gangs that need half a rack, among tasks that prefer no rack."""
    arrivals = []
    at_s = 0.0
    while at_s < 8.0:
        at_s += random.expovariate(rate + other_rate)
        duration = min(2.5, random.lognormvariate(-0.4, 0.4))
        estimate = 1000.0 * duration * random.lognormvariate(0.0, 0.15)
        if random.random() < rate / (rate + other_rate):
            step = Step(8, 16_000, 16_000, estimate_ms=estimate, gang=True, same_rack=True)
            arrivals.append(Arrival(at_s, "gang", (step,), (duration,)))
        else:
            step = Step(10, 11_000, 11_000, estimate_ms=estimate)
            arrivals.append(Arrival(at_s, "check", (step,), (duration,)))
    return arrivals


def route_day(random, rate=10.0):
    """Return best-effort jobs whose tasks are limited by memory."""
    arrivals = []
    at_s = 0.0
    while at_s < 7.0:
        at_s += random.expovariate(rate)
        is_hot = 1.0 < at_s < 1.0 + HOT_S and random.random() < HOT_SHARE
        rack = "r1" if is_hot else f"r{random.randrange(RACKS)}"
        duration = min(5.0, random.lognormvariate(0.45, 0.4))
        step = Step(20, 7_000, 28_000, estimate_ms=1000.0 * duration, data_rack=rack)
        step = step._replace(image=f"i{random.randrange(6)}", best_effort=True)
        second = step._replace(after=(0,))
        arrivals.append(Arrival(at_s, "route", (step, second), (duration, duration)))
    return arrivals


class TestHotRack(TestCase):
    """60% of the urgent jobs want the same rack for 5.5 s, and start elsewhere at once."""

    def _compare(self, far_factor, make_day, **arguments):
        earlier, _ = replay(FixedWaits, far_factor, make_day, **arguments)
        now, waits = replay(PlaceWaits, far_factor, make_day, **arguments)
        return earlier, now, waits

    def test_more_jobs_are_on_time_the_more_a_task_loses_elsewhere(self):
        for far_factor, least_gain in zip(FAR_FACTORS, (-0.01, 0.03, 0.10), strict=True):
            earlier, now, waits = self._compare(far_factor, hot_day)
            gain = now["check"].on_time - earlier["check"].on_time
            self.assertThat(gain, GreaterThan(least_gain), f"{far_factor}: {earlier}, {now}")
            self.assertThat(now["check"].mean_s, LessThan(earlier["check"].mean_s))
            self.assertThat(sum(each.waited_s for each in waits), GreaterThan(0.0))

    def test_wrong_estimates_cost_few_jobs(self):
        # Waits follow from estimates, which would hold tasks back from places that are free.
        def wrong_day(random):
            return hot_day(random, wrong=5.0)

        for far_factor, least_gain in zip(FAR_FACTORS, (-0.01, -0.01, 0.05), strict=True):
            earlier, now, _ = self._compare(far_factor, wrong_day)
            gain = now["check"].on_time - earlier["check"].on_time
            self.assertThat(gain, GreaterThan(least_gain), f"{far_factor}: {earlier}, {now}")

    def test_jobs_leave_a_rack_that_is_lost(self):
        # The runs there never end, and the owner knows of the loss only after a second.
        for far_factor, least_gain in zip(FAR_FACTORS, (-0.03, -0.01, 0.10), strict=True):
            earlier, now, _ = self._compare(
                far_factor, hot_day, lost_rack="r1", length_s=LENGTH_S + 8.0
            )
            gain = now["check"].on_time - earlier["check"].on_time
            self.assertThat(gain, GreaterThan(least_gain), f"{far_factor}: {earlier}, {now}")
            self.assertThat(now["check"].mean_s, LessThan(earlier["check"].mean_s + 0.15))

    def test_best_effort_jobs_wait_only_as_long_as_that_pays(self):
        for far_factor, least_gain in zip(FAR_FACTORS, (0.0, 0.0, 0.05), strict=True):
            earlier, now, _ = self._compare(far_factor, route_day, seeds=(1,), length_s=40.0)
            gain = now["route"].on_time - earlier["route"].on_time
            self.assertThat(gain, GreaterThan(least_gain), f"{far_factor}: {earlier}, {now}")
            self.assertThat(now["route"].mean_s, LessThan(earlier["route"].mean_s))

    def test_gangs_wait_for_a_rack_with_room_for_all_members(self):
        # As soon as no rack had room, they started over several, and took longer by the factor.
        for far_factor in FAR_FACTORS[1:]:
            earlier, now, _ = self._compare(far_factor, gang_day)
            self.assertThat(now["gang"].on_time, GreaterThan(earlier["gang"].on_time))
            self.assertThat(now["gang"].mean_s, LessThan(earlier["gang"].mean_s))
            self.assertThat(now["check"].on_time, GreaterThan(earlier["check"].on_time - 0.01))


class TestOneStep(TestCase):
    """A step that wants a rack whose workers are full, while those of another rack are idle."""

    def _fleet(self, blocker_s, estimate_s, far_factor=3.0, policy=PlaceWaits):
        listings = [
            make_listing(number, cpu_millis=64_000, memory_mb=256_000, rack=f"r{number % 2}")
            for number in range(20)
        ]
        fleet = FleetReplay(listings, [CHECK], False, far_factor=far_factor)
        self.log = DecisionLog("vm-1", lambda: fleet.now_s, 10_000)
        fleet.owner.place_waits = policy(self.log, fleet.owner.context.deployment.bounds)
        blocker = Step(10, 60_000, 1_000, estimate_ms=1000.0 * estimate_s, data_rack="r1")
        fleet.replay([Arrival(0.0, "check", (blocker,), (blocker_s,))], 0.3)
        return fleet

    def _lines(self):
        lines = [loads(line) for line in self.log.take().splitlines()]
        return [line for line in lines if line["event"] == "place_wait"]

    def test_step_waits_for_places_that_become_free_soon(self):
        fleet = self._fleet(0.6, 0.6)
        step = Step(4, 20_000, 1_000, estimate_ms=500.0, data_rack="r1")
        finished = fleet.replay([Arrival(0.0, "check", (step,), (0.5,))], 2.0)
        self.assertThat(finished["check"][-1].took_s, LessThan(1.0))
        begun, ended = self._lines()
        self.assertThat((begun["state"], begun["tasks"], begun["ahead"]), Equals(("begun", 4, 0)))
        self.assertThat(abs(begun["expected_s"] - 0.3), LessThan(0.06))
        self.assertThat((ended["outcome"], begun["lost_s"]), Equals(("near", 1.0)))
        self.assertThat(fleet.owner.place_waits.near_tasks, Equals(14))

    def test_job_with_nothing_running_starts_elsewhere_long_before_three_seconds(self):
        # The runs in the rack never end, and their estimates say that they soon will.
        fleet = self._fleet(100.0, 1.5)
        step = Step(4, 20_000, 1_000, estimate_ms=9_000.0, data_rack="r1")
        fleet.replay([Arrival(0.0, "check", (step,), (9.0,))], 1.7)
        self.assertThat(fleet.owner.place_waits.elsewhere_tasks, Equals(4))
        self.assertThat(self._lines()[-1]["state"], Equals("ended"))

    def test_waiting_step_keeps_no_workers_from_others(self):
        # Workers are reserved for urgent steps without room, but this one has room elsewhere.
        fleet = self._fleet(0.6, 0.6)
        waiting = Step(4, 20_000, 1_000, estimate_ms=500.0, data_rack="r1")
        other = Step(10, 60_000, 1_000, estimate_ms=500.0)
        arrivals = [Arrival(0.0, "check", (step,), (0.5,)) for step in (waiting, other)]
        fleet.replay(arrivals, 0.1)
        waiting_tasks = [
            ready.step_state.waiting_count() for ready in fleet.owner.ready_step_by_key.values()
        ]
        self.assertThat(waiting_tasks, Equals([4]))

    def test_log_is_bounded_and_cancelled_jobs_are_forgotten(self):
        fleet = self._fleet(0.9, 0.9)
        step = Step(1, 2_000, 1_000, estimate_ms=900.0, data_rack="r1", max_per_worker=1)
        full = step._replace(cpu_millis=20_000)
        fleet.replay([Arrival(0.0, "check", (full,), (0.9,))] * 60, 0.1)
        self.assertThat(len(self._lines()), Equals(MAX_LOGGED_PER_S))
        for job_id in list(fleet.owner.jobs_by_id):
            fleet.owner.cancel_job(job_id)
        fleet.replay([], 0.1)
        lines = self._lines()
        self.assertThat({line["outcome"] for line in lines}, Equals({"given up"}))
        self.assertThat(len(lines), Equals(MAX_LOGGED_PER_S))

    def test_steps_without_a_preference_are_not_asked_about(self):
        class NoWaits(PlaceWaits):
            choose_elsewhere = gang_waits = note_queued = None

        fleet = self._fleet(0.1, 0.1, policy=PlaceWaits)
        fleet.owner.place_waits.__class__ = NoWaits
        steps = (
            Step(4, 2_000, 1_000, estimate_ms=500.0),
            Step(4, 2_000, 1_000, estimate_ms=500.0, gang=True),
            Step(4, 2_000, 1_000, image="i", estimate_ms=500.0, best_effort=True),
        )
        arrivals = [Arrival(0.5, "check", (step,), (0.5,)) for step in steps]
        finished = fleet.replay(arrivals, 2.0)
        self.assertThat(all(job.took_s < 0.7 for job in finished["check"]), Equals(True))


class TestCountWaiting(TestCase):
    SNAPSHOT = PlaceSnapshot(
        tasks=4,
        rack="r1",
        ahead=0,
        wait_s=lambda index: 0.2 * (index + 1),
        lost_s=1.0,
        slack_s=2.0,
        objective_s=2.0,
        waited_s=0.0,
        is_running=True,
        is_contended=False,
    )

    def _count(self, **changes):
        return count_waiting(self.SNAPSHOT._replace(**changes))

    def test_tasks_wait_while_that_costs_less_than_the_distance(self):
        self.assertThat(self._count(), Equals(4))
        self.assertThat(self._count(lost_s=0.1), Equals(0))

    def test_no_task_waits_if_others_of_the_step_have_to_go_elsewhere(self):
        # The step ends no sooner, and keeps a place from a job that would be on time there.
        self.assertThat(self._count(lost_s=0.5), Equals(0))

    def test_tasks_leave_capacity_elsewhere_to_work_that_waits_for_it(self):
        self.assertThat(self._count(lost_s=0.25, is_contended=True), Equals(2))

    def test_job_that_is_on_time_elsewhere_is_not_made_late(self):
        slow = {"wait_s": lambda index: 0.9, "is_contended": True}
        self.assertThat(self._count(slack_s=1.0, **slow), Equals(0))
        self.assertThat(self._count(slack_s=0.9, **slow), Equals(4))

    def test_wait_has_a_bound_whatever_the_places_promise(self):
        soon = {"wait_s": lambda index: 0.01}
        self.assertThat(self._count(waited_s=1.9, **soon), Equals(4))
        self.assertThat(self._count(waited_s=2.0, **soon), Equals(0))
        self.assertThat(self._count(waited_s=MAX_WAIT_S, lost_s=60.0, **soon), Equals(0))

    def test_first_task_of_a_job_goes_early_also_after_a_takeover(self):
        # A successor counts up to ``MAX_INHERITED_WAIT_S`` as waited.
        soon = {"wait_s": lambda index: 0.01, "is_running": False, "waited_s": MAX_INHERITED_WAIT_S}
        self.assertThat(self._count(**soon), Equals(0))
        self.assertThat(self._count(is_contended=True, **soon), Equals(3))


class TestPlaces(TestCase):
    TIMING = RunTiming(3.0, 0.4, 10.0)

    def _places(self, *steps, wanted=None, started_s=9.8):
        worker = Worker(make_listing(1, rack="r1"), None, 1)
        for number, step in enumerate(steps):
            worker.add_run(ActiveRun(TaskKey(f"{number}", 0, 0, 0), 1, step, 1, started_s))
        wanted = wanted or Step(1, 2_000, 100, data_rack="r1")
        return collect_places(wanted, [worker], self.TIMING)

    def test_places_follow_the_expected_ends(self):
        short, long = (Step(1, 2_000, 100, estimate_ms=each) for each in (500.0, 900.0))
        places = self._places(long, short)
        self.assertThat([round(each, 3) for each in places.free_after_s], Equals([0.3, 0.7]))
        self.assertThat(round(places.wait_s(3), 3), Equals(1.4))

    def test_small_runs_free_a_place_only_together(self):
        small, other = (Step(1, 1_900, 100, estimate_ms=each) for each in (500.0, 900.0))
        places = self._places(small, other, wanted=Step(1, 4_000, 100, data_rack="r1"))
        self.assertThat([round(each, 3) for each in places.free_after_s], Equals([0.7]))

    def test_run_far_from_its_data_takes_longer(self):
        far = Step(1, 4_000, 100, estimate_ms=500.0, data_rack="r2")
        self.assertThat(round(self._places(far).wait_s(0), 3), Equals(1.3))

    def test_overdue_run_is_not_expected_to_end_now(self):
        late = Step(1, 4_000, 100, estimate_ms=500.0)
        self.assertThat(self._places(late, started_s=8.5).wait_s(0), GreaterThan(1.0))

    def test_long_running_tasks_and_racks_without_workers_promise_nothing(self):
        lasting = Step(1, 4_000, 100, long_running=True)
        self.assertThat(self._places(lasting).wait_s(0), Equals(inf))
        self.assertThat(collect_places(lasting, [], self.TIMING).wait_s(0), Equals(inf))

    def test_gang_needs_all_of_its_places_at_the_same_time(self):
        places = self._places(Step(1, 2_000, 100, estimate_ms=500.0))
        waits = [round(places.gather_s(count), 3) for count in (1, 2)]
        self.assertThat(waits, Equals([0.0, 0.3]))
        self.assertThat(places.gather_s(3), Equals(inf))

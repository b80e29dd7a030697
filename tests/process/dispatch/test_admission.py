"""Tests of the admission of long-running jobs."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from laburnumswitch.process.dispatch.admission import ADMISSION_S
from laburnumswitch.process.dispatch.admission import admit
from laburnumswitch.process.dispatch.admission import INHERITED_ADMISSIONS_S
from laburnumswitch.process.dispatch.admission import measure_commitments
from laburnumswitch.process.dispatch.commitment import committed_cpu_millis
from laburnumswitch.process.dispatch.commitment import MAX_RETRY_AFTER_S
from laburnumswitch.process.dispatch.commitment import RATE_WINDOW_S
from laburnumswitch.process.dispatch.commitment import retry_after
from laburnumswitch.process.dispatch.commitment import UNKNOWN_RETRY_AFTER_S
from laburnumswitch.process.dispatch.headroom import OBSERVATION_S
from laburnumswitch.process.dispatch.headroom import PEAK_FACTOR
from laburnumswitch.process.dispatch.headroom import UNSEEN_RESERVE_SHARE
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.leadership.messages import AdmissionRequest
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.replay import Arrival
from tests.process.dispatch.replay import FleetReplay
from tests.process.dispatch.test_urgent_jobs import LASTING
from tests.process.dispatch.test_urgent_jobs import URGENT

WORKERS = 10
WORKER_CPU_MILLIS = 64_000
CAPACITY = WORKERS * WORKER_CPU_MILLIS
LIMIT = int(CAPACITY * (1 - UNSEEN_RESERVE_SHARE))
STEP = Step(2, 8_000, 16_000, long_running=True)
STEP_CPU_MILLIS = 2 * 8_000


class TestAdmission(TestCase):
    def setUp(self):
        super().setUp()
        listings = [
            make_listing(number, cpu_millis=WORKER_CPU_MILLIS, memory_mb=256_000)
            for number in range(1, WORKERS + 1)
        ]
        self.fleet = FleetReplay(listings, [URGENT, LASTING])
        self.owner = self.fleet.owner
        self.fleet.replay([], 5.0)

    def _admit(self, job_id, cpu_millis):
        return admit(self.owner, AdmissionRequest(job_id, LASTING.name, cpu_millis)).retry_after_s

    def _commit(self, count):
        """Accept jobs of ``STEP`` and return the processors left within the limit."""
        self.fleet.replay([Arrival(0.0, LASTING.name, (STEP,))] * count, 4.0)
        return LIMIT - count * STEP_CPU_MILLIS

    def test_job_within_the_limit_is_admitted_and_the_next_one_rejected(self):
        left = self._commit(30)
        self.assertThat(self._admit("a", left), Equals(0))
        self.assertThat(self._admit("b", 1_000), GreaterThan(0))

    def test_small_job_is_admitted_beside_one_that_is_too_large(self):
        left = self._commit(30)
        self.assertThat(self._admit("a", left + 1_000), GreaterThan(0))
        self.assertThat(self._admit("b", left), Equals(0))

    def test_jobs_that_arrive_together_are_counted_before_they_are_stored(self):
        outcomes = [self._admit(f"j{n}", LIMIT // 10) for n in range(20)]
        self.assertThat(outcomes.count(0), Equals(10))

    def test_repeated_request_of_an_admitted_job_is_admitted(self):
        self._admit("a", LIMIT)
        self.assertThat(
            (self._admit("a", LIMIT), self._admit("b", 1)), Equals((0, UNKNOWN_RETRY_AFTER_S))
        )

    def test_admission_of_a_job_that_was_not_stored_ends(self):
        self._admit("a", LIMIT)
        self.fleet.now_s += ADMISSION_S + 1.0
        self.assertThat(self._admit("b", LIMIT), Equals(0))

    def test_accepted_job_is_admitted_again_on_a_full_fleet(self):
        self._commit(30)
        known = next(iter(self.owner.jobs_by_id))
        self.assertThat(self._admit("a", LIMIT), GreaterThan(0))
        self.assertThat(self._admit(known, LIMIT), Equals(0))

    def test_ended_job_gives_its_processors_back(self):
        self._admit("a", self._commit(30))
        self.assertThat(self._admit("b", STEP_CPU_MILLIS), GreaterThan(0))
        self.owner.cancel_job(next(iter(self.owner.jobs_by_id)))
        self.assertThat(self._admit("b", STEP_CPU_MILLIS), Equals(0))

    def test_retry_after_follows_the_rate_at_which_processors_become_free(self):
        self._commit(30)
        self.owner.cancel_job(next(iter(self.owner.jobs_by_id)))
        per_s = STEP_CPU_MILLIS / RATE_WINDOW_S
        excess = int(7 * per_s)
        left = LIMIT - 29 * STEP_CPU_MILLIS
        self.assertThat(self._admit("a", left + excess), Equals(7))

    def test_nothing_is_rejected_until_the_workers_are_listed(self):
        self.owner.knows_listings = False
        self.assertThat(self._admit("a", 2 * CAPACITY), Equals(0))

    def test_nothing_is_rejected_while_the_fleet_is_starting(self):
        self.owner.add_worker(make_listing(99, cpu_millis=WORKER_CPU_MILLIS))
        self.assertThat(self._admit("a", 2 * CAPACITY), Equals(0))

    def test_jobs_that_arrive_soon_after_the_last_worker_are_judged(self):
        # The first jobs of a day arrived 1.5 s after it, and all were accepted.
        self.owner.add_worker(make_listing(99, cpu_millis=WORKER_CPU_MILLIS))
        self.fleet.replay([], 1.5)
        self.assertThat(self._admit("a", 2 * CAPACITY), GreaterThan(0))

    def test_successor_rejects_nothing_that_its_predecessor_may_have_admitted(self):
        self.owner.epoch = 2
        self.owner.began_s = self.fleet.now_s
        self.assertThat(self._admit("a", 2 * CAPACITY), Equals(0))
        self.fleet.now_s += INHERITED_ADMISSIONS_S + 0.1
        self.assertThat(self._admit("b", 2 * CAPACITY), GreaterThan(0))

    def test_workers_that_leave_do_not_count(self):
        for worker in list(self.owner.workers_by_id.values())[:5]:
            worker.listing = worker.listing._replace(is_draining=True)
        self.assertThat(self._admit("a", LIMIT // 2), Equals(0))
        self.assertThat(self._admit("b", 1_000), GreaterThan(0))

    def test_evacuated_workers_count_for_what_runs_there(self):
        self._commit(10)
        self.owner.context.operations.set_evacuated_zones(frozenset({"a"}))
        commitment = measure_commitments(self.owner)["shop"]
        self.assertThat(commitment.capacity_cpu_millis, Equals(10 * STEP_CPU_MILLIS))

    def test_seen_urgent_work_is_kept_room_for(self):
        self.owner.headroom_by_service["shop"].update(0.11 * CAPACITY, self.fleet.now_s)
        reserve = measure_commitments(self.owner)["shop"].urgent_reserve_cpu_millis
        self.assertThat(reserve, Equals(round(PEAK_FACTOR * 0.11 * CAPACITY)))

    def test_urgent_work_of_another_service_does_not_count(self):
        # All services shared one peak, and what waited for one counted for each.
        other = make_listing(99, service="mill", cpu_millis=WORKER_CPU_MILLIS, memory_mb=256_000)
        self.fleet.add_worker(other)
        queue = URGENT._replace(name="grind", host="grind.example", service="mill")
        queues = {each.name: each for each in (URGENT, LASTING, queue)}
        self.owner.context.operations.apply(QueueConfiguration(2, queues, {"shop": True}))
        urgent = Step(20, 30_000, 60_000, estimate_ms=1000.0)
        self.fleet.replay([Arrival(0.0, "grind", (urgent,), (1.0,))], 0.5)
        peak_by_service = {
            service: commitment.urgent_peak_cpu_millis
            for service, commitment in measure_commitments(self.owner).items()
        }
        self.assertThat(peak_by_service["shop"], Equals(0))
        self.assertThat(peak_by_service["mill"], GreaterThan(0))

    def test_little_is_kept_after_long_observation_without_urgent_work(self):
        self.fleet.now_s += OBSERVATION_S
        reserve = measure_commitments(self.owner)["shop"].urgent_reserve_cpu_millis
        self.assertThat(reserve < UNSEEN_RESERVE_SHARE * CAPACITY, Equals(True))


class TestCommitment(TestCase):
    def test_only_long_running_steps_that_reserve_processors_count(self):
        steps = (STEP, STEP._replace(best_effort=True), STEP._replace(long_running=False))
        self.assertThat(committed_cpu_millis(steps), Equals(STEP_CPU_MILLIS))

    def test_retry_after_is_bounded(self):
        cases = [(1_000, 0.0), (1_000_000, 1.0), (1_000, 400.0), (1, 400.0)]
        expected = [UNKNOWN_RETRY_AFTER_S, MAX_RETRY_AFTER_S, 3, 1]
        self.assertThat([retry_after(*case) for case in cases], Equals(expected))

"""Tests of single scheduling decisions, under the load for which each rule exists."""

from random import Random
from time import monotonic

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.best_effort import FailedPlacements
from laburnumswitch.process.dispatch.best_effort import forced_starts
from laburnumswitch.process.dispatch.best_effort import MAX_PLACEMENT_WAIT_S
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.headroom import choose_reserved
from laburnumswitch.process.dispatch.headroom import Headroom
from laburnumswitch.process.dispatch.headroom import MAX_RESERVED_SHARE
from laburnumswitch.process.dispatch.headroom import may_reserve
from laburnumswitch.process.dispatch.headroom import RESERVATION_S
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import ReadyStep
from laburnumswitch.process.dispatch.ordering import order_key
from laburnumswitch.process.dispatch.ordering import Tier
from laburnumswitch.process.dispatch.placing import INTERFERENCE_LIMIT
from laburnumswitch.process.dispatch.placing import MAX_RANKED_WORKERS
from laburnumswitch.process.dispatch.placing import PlacementContext
from laburnumswitch.process.dispatch.placing import Ranking
from laburnumswitch.process.dispatch.placing import workers_to_rank
from laburnumswitch.process.dispatch.relocation import choose_moves
from laburnumswitch.process.dispatch.step_state import StepState
from laburnumswitch.process.dispatch.tails import exceedance_probability
from laburnumswitch.process.dispatch.tails import IDLE_RATIO
from laburnumswitch.process.dispatch.tails import PRIOR_LOAD
from laburnumswitch.process.dispatch.tails import TailLatencyModel
from laburnumswitch.process.dispatch.tails import TARGET_UTILISATION
from laburnumswitch.process.dispatch.throttling import BestEffortInput
from laburnumswitch.process.dispatch.throttling import choose_throttles
from laburnumswitch.process.dispatch.throttling import ServingInput
from laburnumswitch.process.dispatch.throttling import STOP_ALL_MARGIN_S
from laburnumswitch.process.dispatch.throttling import STOP_INTERFERING_MARGIN_S
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_session import choose_speeds
from tests.process.dispatch.harness import make_listing

MAX_OVER_TARGET_S = 4.0
LOUD_COEFFICIENT = 2.0
SERVING = Step(1, cpu_millis=1000, image="web", tail_target_ms=100, long_running=True)
HARMFUL = Step(1, cpu_millis=1600, image="loud", best_effort=True, checkpoints=True)
HARMLESS = Step(1, cpu_millis=1600, image="quiet", best_effort=True, checkpoints=True)


def make_trained_model():
    """Return a model whose samples show that ``loud`` raises the tail latency of ``web``.

    In the samples, it exceeds its target by half while ``loud`` uses a fifth of a worker.
    """
    model = TailLatencyModel()
    random = Random(1)
    for sample in range(200):
        loud, quiet = random.choice(((0.2, 0.0), (0.0, 0.4), (0.0, 0.0)))
        ratio = IDLE_RATIO / (0.54 - LOUD_COEFFICIENT * loud) * random.gauss(1.0, 0.1)
        task = TaskKey("web", 0, 0, sample % 5)
        model.observe(task, "web", ratio, {"loud": loud, "quiet": quiet}, 0.2 * sample)
    return model


def make_worker(number, *steps, **changes):
    worker = Worker(make_listing(number, **changes), None, 1)
    for index, step in enumerate(steps):
        run = ActiveRun(TaskKey(f"{number}-{step.image}", 0, 0, index), 1, step, 1, 0.0)
        run.update(RunReport(run.task, 1, "", 50.0, 50.0), 0.0)
        worker.add_run(run)
    return worker


def make_serving_input(**changes):
    coefficients = {"loud": LOUD_COEFFICIENT, "quiet": 0.03}
    return ServingInput(PRIOR_LOAD, coefficients, coefficients, 0.0)._replace(**changes)


class TestTailLatencyModel(TestCase):
    def test_learns_which_image_interferes(self):
        model = make_trained_model()
        self.assertThat(model.coefficient("web", "loud"), GreaterThan(0.8 * LOUD_COEFFICIENT))
        self.assertThat(model.coefficient("web", "quiet"), LessThan(0.2 * LOUD_COEFFICIENT))

    def test_parameters_can_be_loaded_by_a_successor(self):
        model = make_trained_model()
        successor = TailLatencyModel()
        successor.load_parameters(model.parameters())
        difference = successor.coefficient("web", "loud") - model.coefficient("web", "loud")
        self.assertThat(abs(difference), LessThan(0.02))

    def test_images_are_similar_only_if_both_are_known(self):
        model = make_trained_model()
        self.assertThat(model.similarity("web", "web", ("loud",)), Equals(1.0))
        self.assertThat(model.similarity("web", "new", ("loud",)), Equals(0.0))

    def test_probability_of_exceeding_the_target(self):
        self.assertThat(exceedance_probability(TARGET_UTILISATION), Equals(0.5))
        self.assertThat(exceedance_probability(TARGET_UTILISATION - 0.3), LessThan(0.01))

    def test_steady_tasks_of_the_same_step_tell_interference_from_load(self):
        """All tasks of a step grow slower as their load rises; only one has a neighbour."""
        model = TailLatencyModel()
        for second in range(6):
            load = 0.4 + 0.05 * second
            for index in range(4):
                shares = {"loud": 0.1} if index == 0 and second >= 3 else {}
                used = load + LOUD_COEFFICIENT * shares.get("loud", 0.0)
                task = TaskKey("web", 0, 0, index)
                model.observe(task, "web", IDLE_RATIO / (1.0 - used), shares, second + 0.2 * index)
        self.assertThat(model.load(TaskKey("web", 0, 0, 3)), GreaterThan(0.55))
        difference = model.coefficient("web", "loud") - LOUD_COEFFICIENT
        self.assertThat(abs(difference), LessThan(0.4))

    def test_one_slow_worker_does_not_raise_the_load_of_the_other_tasks(self):
        model = TailLatencyModel()
        for second in range(10):
            for index in range(4):
                ratio = 3.0 if index == 0 else 0.4
                task = TaskKey("web", 0, 0, index)
                model.observe(task, "web", ratio, {}, second + 0.2 * index)
        self.assertThat(model.load(TaskKey("web", 0, 0, 1)), LessThan(0.6))
        self.assertThat(model.load(TaskKey("web", 0, 0, 0)), GreaterThan(0.8))

    def test_queue_left_after_saturation_does_not_count_as_load(self):
        model = TailLatencyModel()
        task = TaskKey("web", 0, 0, 0)
        for second in range(5):
            model.observe(task, "web", 0.4, {}, second)
        model.observe(task, "web", 9.0, {"loud": 0.2}, 5.0)
        model.observe(task, "web", 1.5, {}, 6.0)
        self.assertThat(model.load(task), LessThan(0.7))


class TestRanking(TestCase):
    def setUp(self):
        super().setUp()
        self.context = PlacementContext(make_trained_model(), ("loud", "quiet"))

    def test_harmful_work_is_placed_away_from_serving_tasks(self):
        beside, alone = make_worker(1, SERVING), make_worker(2)
        choice = Ranking(HARMFUL, (beside, alone), self.context).best()
        self.assertThat(choice.worker, Is(alone))

    def test_harmless_work_may_be_placed_beside_serving_tasks(self):
        choice = Ranking(HARMLESS, (make_worker(1, SERVING),), self.context).best()
        self.assertThat(choice.cost, LessThan(INTERFERENCE_LIMIT))

    def test_harmful_work_beside_serving_tasks_exceeds_the_limit(self):
        worker = make_worker(1, SERVING, SERVING, SERVING, SERVING)
        choice = Ranking(HARMFUL, (worker,), self.context).best()
        self.assertThat(choice.cost, GreaterThan(INTERFERENCE_LIMIT))

    def test_task_persistently_over_its_target_gets_no_harmful_neighbour(self):
        worker = make_worker(1, SERVING)
        worker.last_sample_s = 2.0
        choice = Ranking(HARMFUL, (worker,), self.context).best()
        self.assertThat(choice.cost, GreaterThan(1.0))

    def test_worker_whose_best_effort_runs_are_throttled_is_not_suitable(self):
        """Stopped runs cause no interference, but a new one would be stopped as well."""
        worker = make_worker(1, SERVING, HARMFUL, HARMFUL, HARMFUL, cpu_millis=16_000)
        for run in worker.best_effort_runs():
            run.speed_percent = 0
        choice = Ranking(HARMFUL, (worker,), self.context).best()
        self.assertThat(choice.cost, GreaterThan(INTERFERENCE_LIMIT))
        self.assertThat(
            Ranking(HARMLESS, (worker,), self.context).best().cost, LessThan(INTERFERENCE_LIMIT)
        )

    def test_distance_from_the_data_does_not_count_as_interference(self):
        step = HARMLESS._replace(data_rack="r2")
        choice = Ranking(step, (make_worker(1, SERVING),), self.context).best()
        self.assertThat(choice.cost, GreaterThan(INTERFERENCE_LIMIT))
        self.assertThat(choice.own_cost, LessThan(INTERFERENCE_LIMIT))

    def test_wide_step_is_spread_as_costs_rise(self):
        workers = [make_worker(number) for number in range(3)]
        ranking = Ranking(HARMLESS, workers, self.context)
        chosen = []
        for index in range(6):
            worker = ranking.best().worker
            chosen.append(worker.worker_id)
            worker.add_run(ActiveRun(TaskKey("j", 0, 0, index), 1, HARMLESS, 1, 0.0))
            ranking.requeue_best(True)
        self.assertThat({chosen.count(worker.worker_id) for worker in workers}, Equals({2}))

    def test_urgent_work_is_packed(self):
        urgent = Step(1, cpu_millis=1000)
        full, empty = make_worker(1, SERVING), make_worker(2)
        choice = Ranking(urgent, (empty, full), self.context).best()
        self.assertThat(choice.worker, Is(full))

    def test_work_is_placed_in_the_rack_of_its_data(self):
        urgent = Step(1, cpu_millis=1000, data_rack="r2")
        near, far = make_worker(1, rack="r2"), make_worker(2, SERVING)
        choice = Ranking(urgent, (near, far), self.context).best()
        self.assertThat(choice.worker, Is(near))

    def test_part_of_a_large_fleet_is_ranked_with_the_rack_of_the_data(self):
        workers = [make_worker(number, rack=f"r{number // 10}") for number in range(400)]
        step = HARMLESS._replace(data_rack="r39")
        ranked = workers_to_rank(step, workers, 450)
        self.assertThat(ranked[0], Is(workers[50]))
        self.assertThat(len(ranked), Equals(MAX_RANKED_WORKERS + 10))
        self.assertThat(workers_to_rank(step, workers[:100], 450), Equals(workers[:100]))

    def test_no_worker_with_capacity_gives_no_choice(self):
        large = Step(1, cpu_millis=9000)
        self.assertThat(Ranking(large, (make_worker(1),), self.context).best(), Is(None))


class TestBestEffort(TestCase):
    def test_waits_for_a_suitable_worker_while_most_capacity_is_reserved(self):
        self.assertThat(forced_starts(HARMFUL, 10.0, 0.9, False), Equals(0))

    def test_one_task_of_a_job_starts_early_while_most_capacity_is_free(self):
        self.assertThat(forced_starts(HARMFUL, 1.4, 0.3, False), Equals(0))
        self.assertThat(forced_starts(HARMFUL, 1.6, 0.3, False), Equals(1))
        self.assertThat(forced_starts(HARMFUL, 1.6, 0.3, True), Equals(0))

    def test_all_tasks_of_a_step_start_after_the_maximum_wait(self):
        step = HARMFUL._replace(count=8)
        self.assertThat(forced_starts(step, MAX_PLACEMENT_WAIT_S, 0.9, True), Equals(8))


class TestFailedPlacements(TestCase):
    """A burst leaves a hundred steps waiting in a fleet of hundreds of workers."""

    def setUp(self):
        super().setUp()
        self.failed_placements = FailedPlacements()
        self.failed_placements.note(HARMFUL)

    def test_step_that_needs_at_least_as_much_is_ruled_out(self):
        self.assertThat(self.failed_placements.rules_out(HARMFUL._replace(count=9)), Is(True))
        self.assertThat(
            self.failed_placements.rules_out(HARMFUL._replace(cpu_millis=800)), Is(False)
        )

    def test_other_images_are_not_ruled_out(self):
        self.assertThat(self.failed_placements.rules_out(HARMLESS), Is(False))

    def test_step_restricted_to_some_workers_rules_nothing_out(self):
        self.failed_placements.note(HARMLESS._replace(required_label="fast"))
        self.assertThat(self.failed_placements.rules_out(HARMLESS), Is(False))


class TestThrottling(TestCase):
    def test_only_the_interfering_run_is_throttled(self):
        best_effort = [BestEffortInput("a", "loud", 0.3), BestEffortInput("b", "quiet", 0.3)]
        percent = choose_throttles([make_serving_input()], best_effort, MAX_OVER_TARGET_S)
        self.assertThat(percent["a"], LessThan(60))
        self.assertThat(percent["b"], Equals(100))

    def test_nothing_is_throttled_below_the_target(self):
        percent = choose_throttles(
            [make_serving_input()], [BestEffortInput("a", "loud", 0.05)], MAX_OVER_TARGET_S
        )
        self.assertThat(percent["a"], Equals(100))

    def test_tail_latency_over_its_target_stops_all_interfering_runs(self):
        best_effort = [BestEffortInput("a", "loud", 0.01), BestEffortInput("b", "quiet", 0.3)]
        percent = choose_throttles(
            [make_serving_input(over_target_s=2.0)], best_effort, MAX_OVER_TARGET_S
        )
        self.assertThat(percent, Equals({"a": 0, "b": 100}))

    def test_tail_latency_over_its_target_for_longer_stops_all_runs(self):
        best_effort = [BestEffortInput("a", "loud", 0.01), BestEffortInput("b", "quiet", 0.3)]
        percent = choose_throttles(
            [make_serving_input(over_target_s=2.7)], best_effort, MAX_OVER_TARGET_S
        )
        self.assertThat(percent, Equals({"a": 0, "b": 0}))


class TestChosenSpeeds(TestCase):
    """Speeds that follow from the model and the runs of a worker."""

    def setUp(self):
        super().setUp()
        self.model = make_trained_model()

    def _choose(self, worker, now_s):
        speeds = choose_speeds(self.model, worker, MAX_OVER_TARGET_S, now_s)
        return [speeds[run.task] for run in worker.best_effort_runs()]

    def test_interfering_runs_stop_before_all_others(self):
        worker = make_worker(1, SERVING, HARMFUL._replace(cpu_millis=40), HARMLESS)
        limit_s = MAX_OVER_TARGET_S - STOP_INTERFERING_MARGIN_S
        self.assertThat(self._choose(worker, limit_s - 0.01), Equals([100, 100]))
        self.assertThat(self._choose(worker, limit_s), Equals([0, 100]))
        self.assertThat(self._choose(worker, MAX_OVER_TARGET_S - STOP_ALL_MARGIN_S), Equals([0, 0]))

    def test_run_that_is_stopping_gets_no_speed(self):
        worker = make_worker(1, SERVING, HARMFUL)
        worker.best_effort_runs()[0].is_stopping = True
        self.assertThat(choose_speeds(self.model, worker, MAX_OVER_TARGET_S, 9.0), Equals({}))

    def test_runs_by_kind_follow_starts_and_ends(self):
        worker = make_worker(1, SERVING, HARMFUL)
        serving, best_effort = worker.serving_runs(), worker.best_effort_runs()
        self.assertThat((len(serving), len(best_effort)), Equals((1, 1)))
        worker.remove_run(best_effort[0].task)
        self.assertThat(worker.best_effort_runs(), Equals([]))
        later = ActiveRun(TaskKey("later", 0, 0, 0), 1, HARMLESS, 1, 0.0)
        worker.add_run(later)
        self.assertThat(worker.best_effort_runs(), Equals([later]))
        worker.remove_run(serving[0].task)
        self.assertThat(worker.serving_runs(), Equals([]))


class TestRelocation(TestCase):
    def setUp(self):
        super().setUp()
        self.context = PlacementContext(make_trained_model(), ("loud", "quiet"))
        self.worker = make_worker(1, SERVING, HARMFUL)
        self.active_run = self.worker.best_effort_runs()[0]
        self.active_run.throttled_since_s = 0.0

    def test_throttled_run_moves_to_a_suitable_worker(self):
        suitable = make_worker(2)
        moves = choose_moves((self.worker, suitable), self.context, 1.0)
        self.assertThat(
            [(move.run, move.target) for move in moves], Equals([(self.active_run, suitable)])
        )

    def test_run_stays_if_no_other_worker_is_suitable(self):
        moves = choose_moves((self.worker, make_worker(2, *[SERVING] * 4)), self.context, 1.0)
        self.assertThat(moves, Equals([]))

    def test_nearly_done_run_stays(self):
        self.active_run.progress_percent = 90.0
        self.assertThat(choose_moves((self.worker, make_worker(2)), self.context, 1.0), Equals([]))

    def test_recently_throttled_run_stays(self):
        self.assertThat(choose_moves((self.worker, make_worker(2)), self.context, 0.5), Equals([]))


class TestOrdering(TestCase):
    queue = Queue("q", "", "", "s", stretch=2.0, objective_s=1.0)

    def _key(self, width, submitted_s, now_s, queue=queue, best_effort=True):
        step = Step(width, cpu_millis=1000, estimate_ms=1000, best_effort=best_effort)
        job = Job(Submission(f"j{width}", "q", "", (step,), submitted_s))
        occurrence = job.occurrences[0]
        return order_key(ReadyStep(job, occurrence, occurrence.steps[0]), queue, 4.0, now_s)

    def test_jobs_that_can_be_on_time_go_before_late_ones(self):
        late, on_time = self._key(2, 0.0, 5.0), self._key(8, 4.0, 5.0)
        self.assertThat(late.tier, Equals(Tier.LATE))
        self.assertThat(on_time, LessThan(late))

    def test_jobs_without_remaining_value_go_last(self):
        self.assertThat(self._key(2, 0.0, 20.0).tier, Equals(Tier.EXPIRED))

    def test_among_jobs_on_time_the_highest_value_per_work_goes_first(self):
        self.assertThat(self._key(2, 0.0, 0.0), LessThan(self._key(16, 0.0, 0.0)))

    def test_large_urgent_jobs_do_not_wait_behind_small_ones(self):
        # When small jobs went first, only a third of the largest tenth of urgent jobs was served.
        large = self._key(16, 0.0, 1.0, best_effort=False)
        small = self._key(2, 0.5, 1.0, best_effort=False)
        self.assertThat(large, LessThan(small))

    def test_priority_takes_precedence(self):
        urgent = self.queue._replace(priority=0)
        batch = self.queue._replace(priority=2)
        self.assertThat(self._key(2, 0.0, 9.0, urgent), LessThan(self._key(2, 0.0, 0.0, batch)))


class TestLease(TestCase):
    def test_lease_lapses_only_by_the_slowest_possible_clock(self):
        worker = make_worker(1)
        worker.note_answer(10.0, 500.0)
        worker.extend_grant(6.0)
        self.assertThat(worker.has_certainly_lapsed(16.05), Equals(False))
        self.assertThat(worker.has_certainly_lapsed(16.2), Equals(True))

    def test_grants_between_answers_do_not_extend_the_lease(self):
        worker = make_worker(1)
        worker.note_answer(10.0, 500.0)
        first = worker.extend_grant(6.0)
        self.assertThat(worker.extend_grant(6.0), Equals(first))

    def test_ended_runs_are_acknowledged_in_order_once_stored(self):
        worker = make_worker(1)
        worker.pending_acknowledgements = [(2, 1), (1, 2), (3, 3)]
        self.assertThat(worker.take_acknowledgeable(1), Equals(0))
        self.assertThat(worker.take_acknowledgeable(2), Equals(2))

    def test_listing_returns_after_an_outage_of_the_store(self):
        worker = make_worker(1)
        now_s = monotonic()
        worker.unlisted_since_s = now_s
        self.assertThat(worker.is_listed(now_s + 1.0), Equals(True))
        self.assertThat(worker.is_listed(now_s + 3.0), Equals(False))


class TestHeadroom(TestCase):
    def test_headroom_follows_the_recent_peak_of_urgent_work(self):
        headroom = Headroom()
        headroom.update(400.0, 10.0)
        headroom.update(0.0, 11.0)
        self.assertThat(headroom.long_running_budget((make_worker(1),)), LessThan(3600.0))
        headroom.update(0.0, 60.0)
        self.assertThat(headroom.long_running_budget((make_worker(1),)), GreaterThan(3800.0))

    def test_running_urgent_work_uses_up_its_headroom(self):
        headroom = Headroom()
        headroom.update(400.0, 10.0)
        busy = make_worker(1, Step(1, cpu_millis=400, image="urgent"))
        self.assertThat(headroom.long_running_budget((busy,)), GreaterThan(3400.0))

    def test_workers_with_most_capacity_are_reserved_for_large_tasks(self):
        # Without reserved workers, small tasks take all capacity that becomes free.
        large = Step(2, cpu_millis=3500)
        step_state = StepState(large, "j", 0, 0)
        workers = [make_worker(number, SERVING, SERVING) for number in range(40)]
        workers.append(make_worker(99, SERVING))
        reserved = choose_reserved(large, step_state, workers, 0)
        self.assertThat(len(reserved), Equals(2))
        self.assertThat("w99" in reserved, Equals(True))
        most = int(MAX_RESERVED_SHARE * len(workers))
        self.assertThat(choose_reserved(large, step_state, workers, most), Equals(set()))

    def test_workers_of_no_use_to_a_step_are_not_reserved(self):
        # A job whose label no worker has kept the workers with most room from all later jobs.
        workers = [make_worker(number) for number in range(40)]
        for changes in ({"required_label": "huge"}, {"accelerators": 1}, {"cpu_millis": 9000}):
            step = Step(6, cpu_millis=1000)._replace(**changes)
            step_state = StepState(step, "j", 0, 0)
            self.assertThat(choose_reserved(step, step_state, workers, 0), Equals(set()))
        step = Step(6, cpu_millis=1000)
        step_state = StepState(step, "j", 0, 0)
        reserved = choose_reserved(step, step_state, workers, 0, lambda each: each is workers[7])
        self.assertThat(reserved, Equals({"w7"}))

    def test_nothing_is_reserved_for_a_gang_that_is_too_large(self):
        workers = [make_worker(number) for number in range(40)]
        gang = Step(161, cpu_millis=1000, gang=True)
        step_state = StepState(gang, "j", 0, 0)
        self.assertThat(choose_reserved(gang, step_state, workers, 0), Equals(set()))
        gang = gang._replace(count=160)
        self.assertThat(len(choose_reserved(gang, step_state, workers, 0)), GreaterThan(0))
        spread = gang._replace(max_per_worker=3)
        self.assertThat(choose_reserved(spread, step_state, workers, 0), Equals(set()))

    def test_what_is_reserved_is_given_back_after_a_while(self):
        # A job that never finds what it waits for must not keep others out for ever.
        step_state = StepState(Step(6, cpu_millis=1000), "j", 0, 0)
        step_state.ready_since_s = 100.0
        given_back_s = 100.0 + RESERVATION_S
        self.assertThat(may_reserve(step_state, given_back_s - 0.1), Equals(True))
        self.assertThat(may_reserve(step_state, given_back_s + 0.1), Equals(False))
        step_state.last_start_s = given_back_s
        self.assertThat(may_reserve(step_state, given_back_s + 0.1), Equals(True))

    def test_headroom_is_limited(self):
        headroom = Headroom()
        headroom.update(90_000.0, 10.0)
        self.assertThat(headroom.long_running_budget((make_worker(1),)), Equals(0.85 * 4000))

"""Tests of the logged reasons for which ready tasks wait."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.start_delays import WaitReason
from laburnumswitch.process.dispatch.waiting import find_wait_reason
from laburnumswitch.process.dispatch.waiting import measure_waits
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until
from tests.process.dispatch.test_decisions import make_worker
from tests.process.dispatch.test_decisions import SERVING

LARGE = Step(1, cpu_millis=2000, memory_mb=4000)
GREEDY = Step(1, cpu_millis=100, memory_mb=5000, best_effort=True, image="greedy")


class TestWaitReason(TestCase):
    def test_worker_with_room_is_left_to_the_planner(self):
        self.assertThat(find_wait_reason(LARGE, [make_worker(1)], []), Equals(WaitReason.PLANNING))

    def test_only_a_worker_without_starts_has_room(self):
        full = make_worker(1, SERVING, SERVING, SERVING)
        reason = find_wait_reason(LARGE, [full], [make_worker(2)])
        self.assertThat(reason, Equals(WaitReason.UNUSABLE))

    def test_free_processors_are_in_pieces(self):
        workers = [make_worker(number, SERVING, SERVING, SERVING) for number in (1, 2)]
        self.assertThat(find_wait_reason(LARGE, workers, []), Equals(WaitReason.PIECES))

    def test_too_few_processors_are_free(self):
        workers = [make_worker(1, SERVING, SERVING, SERVING)]
        self.assertThat(find_wait_reason(LARGE, workers, []), Equals(WaitReason.PROCESSORS))

    def test_best_effort_work_holds_the_memory(self):
        workers = [make_worker(1, GREEDY)]
        self.assertThat(find_wait_reason(LARGE, workers, []), Equals(WaitReason.MEMORY))

    def test_task_that_no_worker_could_hold(self):
        huge = LARGE._replace(cpu_millis=5000)
        self.assertThat(find_wait_reason(huge, [make_worker(1)], []), Equals(WaitReason.SIZE))

    def test_task_whose_label_no_worker_has(self):
        labelled = LARGE._replace(required_label="huge")
        self.assertThat(find_wait_reason(labelled, [make_worker(1)], []), Equals(WaitReason.SIZE))


class TestWaits(TestCase):
    def test_waiting_tasks_are_counted_by_reason(self):
        harness = DispatchHarness(workers=1)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: [each.is_reached for each in owner.workers_by_id.values()] == [True])
        harness.submit(make_submission("j1", Step(3, cpu_millis=5000, memory_mb=10)), owner)
        wait = measure_waits(owner)["shop"]
        self.assertThat(wait.tasks_by_reason, Equals({WaitReason.SIZE: 3}))
        self.assertThat((wait.waiting_cpu_millis, wait.workers), Equals((15_000, 1)))

    def test_end_of_a_job_says_where_its_time_went(self):
        harness = DispatchHarness(workers=1)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        harness.submit(make_submission("j1"), owner)
        lines = []
        wait_until(lambda: lines.append(harness.log.take()) or b"job_final" in b"".join(lines))
        final = next(line for line in b"".join(lines).splitlines() if b"job_final" in line)
        self.assertThat(b'"queue":"orders"' in final and b'"steps":[[' in final, Equals(True))

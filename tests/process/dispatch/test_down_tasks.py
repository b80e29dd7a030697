"""Tests of the reasons for which long-running tasks do not run, from one run to the next."""

from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.down_tasks import find_down_tasks
from laburnumswitch.process.dispatch.down_tasks import find_unusable_cause
from laburnumswitch.process.dispatch.down_tasks import MAX_EXPLAINED
from laburnumswitch.process.dispatch.down_tasks import MAX_SIZES
from laburnumswitch.process.dispatch.down_tasks import UnusableCause
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.fleet import MAX_SILENCE_S
from laburnumswitch.process.dispatch.headroom import Headroom
from laburnumswitch.process.dispatch.headroom import LONGEST_WAIT_S
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.load_report import choose_logged
from laburnumswitch.process.dispatch.load_report import LOGGED_DOWN_S
from laburnumswitch.process.dispatch.load_report import MAX_DOWN_LINES
from laburnumswitch.process.dispatch.start_delays import WaitReason
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.size import Size
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_configuration
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import QUEUE
from tests.process.dispatch.harness import WAIT_LIMIT_S
from tests.process.dispatch.harness import wait_until

LASTING = Step(1, cpu_millis=1000, memory_mb=100, long_running=True)


class TestDownTasks(TestCase):
    """No greenlet runs while a test looks, so the planner does not act in between."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        self.owner = self.harness.start_owner()
        self.addCleanup(self.owner.stop)
        wait_until(lambda: len(usable_workers(self.owner, "shop")) == 2)
        self.now_s = self.owner.context.clock()
        self.workers = list(self.owner.workers_by_id.values())

    def _down(self):
        return [(each.task.job_id, each.reason) for each in find_down_tasks(self.owner).tasks]

    def _reason(self, step=LASTING, **fields):
        self.harness.submit(make_submission("j1", step, **fields), self.owner)
        return find_down_tasks(self.owner).tasks[0].reason

    def test_owner_that_is_not_certain_to_be_the_owner(self):
        self.owner.recorder.is_certainly_owner = lambda: False
        self.assertThat(self._reason(), Equals(WaitReason.UNCONFIRMED))

    def test_queue_that_is_not_configured(self):
        self.owner.queue_of = lambda job: None
        self.assertThat(self._reason(), Equals(WaitReason.QUEUE))

    def test_listings_that_were_not_read(self):
        self.owner.knows_listings = False
        self.assertThat(self._reason(), Equals(WaitReason.LISTINGS))

    def test_organisation_at_its_limit(self):
        self.harness.operations.apply(make_configuration(2, org=Size(500, 0, 0)))
        blocking = LASTING._replace(cpu_millis=400)
        self.harness.submit(make_submission("j0", blocking, organisation="org"), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 1)
        self.assertThat(self._reason(organisation="org"), Equals(WaitReason.QUOTA))

    def test_crashes_that_are_not_stored(self):
        self.harness.submit(make_submission("j1", LASTING), self.owner)
        self.owner.jobs_by_id["j1"].occurrences[0].steps[0].tasks[0].crashed_runs = {1, 2}
        self.owner.crashes_in_batch = self.owner.recorder.committed + 1
        self.assertThat(self._down(), Equals([("j1", WaitReason.CRASHES)]))

    def test_step_that_is_tried_again_later(self):
        self.harness.submit(make_submission("j1", LASTING), self.owner)
        step_state = self.owner.jobs_by_id["j1"].occurrences[0].steps[0]
        step_state.retry_after_s = self.now_s + 60.0
        self.assertThat(self._down(), Equals([("j1", WaitReason.RETRY)]))

    def test_capacity_that_is_kept_for_urgent_tasks(self):
        self.owner.headroom_by_service["shop"] = headroom = Headroom()
        headroom.update(8000.0, self.now_s)
        step = LASTING._replace(cpu_millis=4000)
        self.workers[0].listing = self.workers[0].listing._replace(cpu_millis=4100)
        self.workers[1].used_cpu_millis = 4000
        self.assertThat(self._reason(step), Equals(WaitReason.KEPT))

    def test_no_capacity_is_kept_from_a_task_that_has_waited_for_long(self):
        self.test_capacity_that_is_kept_for_urgent_tasks()
        step_state = self.owner.jobs_by_id["j1"].occurrences[0].steps[0]
        step_state.ready_since_s -= LONGEST_WAIT_S
        self.assertThat(find_down_tasks(self.owner).tasks[0].reason, Equals(WaitReason.PLANNING))

    def test_workers_that_are_kept_for_a_large_urgent_task(self):
        self.owner.headroom_by_service["shop"] = Headroom()
        self.owner.reserved_by_service["shop"] = {"w1", "w2"}
        self.assertThat(self._reason(), Equals(WaitReason.KEPT))

    def test_each_worker_with_room_has_as_many_as_it_may(self):
        step = LASTING._replace(count=3, max_per_worker=1)
        self.harness.submit(make_submission("j1", step), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 2)
        wait_until(lambda: self._down() == [("j1", WaitReason.SPREAD)])

    def test_gang_whose_members_do_not_fit_at_once(self):
        step = LASTING._replace(count=3, cpu_millis=4000, gang=True)
        self.assertThat(self._reason(step), Equals(WaitReason.GANG))

    def test_queue_whose_tasks_need_permission(self):
        self.harness.operations.apply(make_configuration(2, QUEUE._replace(needs_advice=True)))
        self.assertThat(self._reason(), Equals(WaitReason.ADVICE))

    def test_workers_with_room_that_get_no_starts_are_counted_by_cause(self):
        self.workers[0].is_silent = True
        self.workers[1].blocked_until_s = self.now_s + 60.0
        self.harness.submit(make_submission("j1", LASTING), self.owner)
        down = find_down_tasks(self.owner).tasks[0]
        self.assertThat(down.reason, Equals(WaitReason.UNUSABLE))
        causes = {UnusableCause.SILENT: 1, UnusableCause.PAUSED: 1}
        self.assertThat(down.unusable, Equals(causes))

    def test_worker_is_usable_exactly_if_there_is_no_cause_against_it(self):
        worker = self.workers[0]
        changes = {
            UnusableCause.VOIDING: ("is_voiding_starts", True),
            UnusableCause.UNRESERVED: ("has_unreserved_runs", True),
            UnusableCause.UNLISTED: ("unlisted_since_s", self.now_s - 60.0),
            UnusableCause.UNSTORED: ("listed_in_batch", self.owner.recorder.committed + 1),
            UnusableCause.DRAINING: ("listing", worker.listing._replace(is_draining=True)),
            UnusableCause.PAUSED: ("blocked_until_s", self.now_s + 60.0),
            UnusableCause.SILENT: ("last_answer_s", self.now_s - MAX_SILENCE_S),
        }
        for cause, (name, value) in changes.items():
            before = getattr(worker, name)
            setattr(worker, name, value)
            is_usable = worker in usable_workers(self.owner, "shop")
            found = find_unusable_cause(self.owner, worker)
            self.assertThat((found, is_usable), Equals((cause, False)))
            setattr(worker, name, before)
            self.assertThat(find_unusable_cause(self.owner, worker), Equals(None))
        self.harness.operations.set_evacuated_zones(frozenset("a"))
        self.assertThat(find_unusable_cause(self.owner, worker), Equals(UnusableCause.EVACUATED))

    def test_task_is_down_while_its_worker_may_still_run_it(self):
        self.harness.submit(make_submission("j1", LASTING), self.owner)
        wait_until(lambda: self.harness.checker.start_count == 1)
        worker = next(each for each in self.workers if each.runs_by_task)
        run = next(iter(worker.runs_by_task.values()))
        wait_until(lambda: run.confirmed_s is not None and self._down() == [])
        worker.is_silent = True
        run.reported_s = run.confirmed_s = self.owner.context.clock() - 5.0
        down = find_down_tasks(self.owner).tasks[0]
        self.assertThat(
            (down.reason, down.worker_id), Equals((WaitReason.SILENT, worker.worker_id))
        )
        self.assertThat(down.down_s, GreaterThan(4.9))
        self.assertThat(down.until_s, GreaterThan(1.0))
        run.is_stopping, run.stop_sent_s = True, run.reported_s
        self.assertThat(self._down(), Equals([("j1", WaitReason.STOPPING)]))
        run.is_stopping, run.confirmed_s = False, None
        self.assertThat(self._down(), Equals([("j1", WaitReason.STARTING)]))

    def test_tasks_that_have_been_down_for_longest_are_explained(self):
        step = LASTING._replace(count=MAX_EXPLAINED, cpu_millis=9000)
        self.harness.submit(make_submission("j1", step), self.owner)
        self.harness.submit(make_submission("j2", step._replace(count=3)), self.owner)
        counts = find_down_tasks(self.owner).count_by_reason()
        expected = {WaitReason.SIZE: MAX_EXPLAINED, WaitReason.OTHER: 3}
        self.assertThat(counts["shop"], Equals(expected))
        down_by_reason = self.owner.start_delays.down_by_reason
        tasks = {reason: count.tasks for reason, count in down_by_reason.items()}
        self.assertThat(tasks, Equals(expected))

    def test_number_of_searches_for_room_is_bounded(self):
        steps = (LASTING._replace(cpu_millis=9000 + each) for each in range(MAX_SIZES + 2))
        self.harness.submit(make_submission("j1", *steps), self.owner)
        counts = find_down_tasks(self.owner).count_by_reason()
        expected = {WaitReason.SIZE: MAX_SIZES, WaitReason.OTHER: 2}
        self.assertThat(counts["shop"], Equals(expected))

    def test_lines_are_bounded_and_only_of_tasks_that_were_down_for_long(self):
        step = LASTING._replace(count=MAX_DOWN_LINES + 1, cpu_millis=9000)
        self.harness.submit(make_submission("j1", step), self.owner)
        down = find_down_tasks(self.owner).tasks
        self.assertThat(choose_logged(down), Equals([]))
        long_down = [each._replace(down_s=LOGGED_DOWN_S) for each in down]
        self.assertThat(choose_logged(long_down), Equals(long_down[:MAX_DOWN_LINES]))


class TestSuccessor(TestCase):
    def test_task_whose_run_may_exist_on_a_silent_worker_waits_for_that_worker_only(self):
        harness = DispatchHarness()
        first = harness.start_owner()
        self.addCleanup(first.stop)
        harness.submit(make_submission("j1", LASTING), first)
        wait_until(lambda: harness.checker.start_count == 1)
        holder = next(each for each in harness.worker_by_id.values() if each.running())
        first.stop()
        holder.drops_calls = True
        second = harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(second.is_loaded.is_set)
        (down,) = find_down_tasks(second).tasks
        self.assertThat(down.reason, Equals(WaitReason.SILENT))
        self.assertThat(down.worker_id, Equals(holder.listing.worker_id))
        self.assertThat(down.down_s, LessThan(WAIT_LIMIT_S))

    def test_log_leads_from_a_takeover_to_the_start_of_a_task(self):
        harness = DispatchHarness()
        first = harness.start_owner()
        self.addCleanup(first.stop)
        harness.submit(make_submission("j1", LASTING), first)
        wait_until(lambda: harness.checker.start_count == 1)
        holder = next(each for each in harness.worker_by_id.values() if each.running())
        first.stop()
        holder.drops_calls = True
        harness.log.take()
        # As after an owner of an earlier version, which stores no placements.
        harness.table.commit(Transaction((), (), (SUCCESSION_KEY,)))
        second = harness.start_owner("vm-2")
        self.addCleanup(second.stop)
        wait_until(second.is_loaded.is_set)
        down = find_down_tasks(second).tasks[0]
        self.assertThat(down.reason, Equals(WaitReason.UNKNOWN_RUNS))
        wait_until(lambda: harness.checker.start_count == 2)
        lines = []

        def started():
            lines.extend(decode(line) for line in harness.log.take().splitlines())
            return [line for line in lines if line["event"] == "run_start"]

        wait_until(started)
        task_down = [line for line in lines if line["event"] == "task_down"]
        self.assertThat({line["id"] for line in task_down}, Equals({"j1.0.0.0"}))
        self.assertThat({line["reason"] for line in task_down}, Equals({"unknown_runs"}))
        holder_id = holder.listing.worker_id
        self.assertThat({line["worker"] for line in task_down}, Equals({holder_id}))
        until_s = [line["until_s"] for line in task_down]
        self.assertThat(until_s, Equals(sorted(until_s, reverse=True)))
        waits = [line for line in lines if line["event"] == "tasks_waiting"]
        self.assertThat(waits[0]["long_running_by_reason"], Equals({"unknown_runs": 1}))
        run_start = started()[0]
        self.assertThat(run_start["longest_wait"], Equals("unknown_runs"))
        self.assertThat(run_start["down_s"], GreaterThan(LOGGED_DOWN_S))
        self.assertThat(run_start["longest_wait_s"], LessThan(run_start["down_s"] + 0.001))

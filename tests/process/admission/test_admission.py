"""Admission of jobs, schedules and services by concurrent entries."""

from datetime import datetime
from datetime import UTC

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import IsInstance
from testtools.matchers import StartsWith

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.declaration import Team
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import NotFound
from laburnumswitch.process.admission.admission import Admission
from laburnumswitch.process.admission.job_row import cancel_jobs_by_id
from laburnumswitch.process.admission.schedule import next_firing
from laburnumswitch.process.admission.schedule import read_fired
from laburnumswitch.process.ledger.progress import EndedTaskCounts
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.size import Size
from standin.table import MemoryTable
from tests.fakes import FakeClock
from tests.fakes import FaultyTable
from tests.fakes import make_context
from tests.fakes import make_vm

SMALL = Size(1_000, 1_000)
HUGE = Size(900_000, 1_000)
NOON_S = datetime(2026, 3, 1, 12, 0, tzinfo=UTC).timestamp()


def make_job(name="j", size=SMALL, **changes):
    return Job(name, "team", ("run",), size, **changes)


class AdmissionCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock(NOON_S)
        self.table = MemoryTable(clock=self.clock)
        self.vms = (make_vm(1, "a", "ra"), make_vm(2, "b", "rb"))
        self.configuration = Configuration(1)

    def admission(self, table=None, vm_id="e1"):
        context = make_context(
            table or self.table,
            self.clock,
            None,
            lambda: self.vms,
            vm_id,
            configuration=lambda: self.configuration,
            shard_count=4,
        )
        shared = SharedRows(context.table)
        shared.refresh(self.clock())
        return Admission(context, shared)

    def declare(self, *jobs, services=(), teams=()):
        self.configuration = Configuration(1, "", services, jobs, teams)

    def values(self, prefix):
        return [row.value for row in self.table.scan(prefix)]

    def states(self):
        rows = (*self.values("job/"), *self.values("ended/"))
        states = {value["job_id"]: value["state"] for value in rows}
        self.assertThat(states, HasLength(len(rows)))
        return states

    def sent_indexes(self):
        """Return the indexes of all tasks in the inboxes, sorted."""
        return sorted(
            value["first"] + number if "first" in value else number
            for value in self.values("inbox/")
            for number in range(value["count"])
        )

    def write_progress(self, job_id, **counts):
        progress = EndedTaskCounts(
            *(counts.get(name, 0) for name in ("finished", "failed", "cancelled"))
        )
        self.table.commit(Transaction((), (Put(f"progress/{job_id}/0-0", progress),)))


class TestJobs(AdmissionCase):
    def test_two_entries_send_each_task_once(self):
        self.declare(make_job(tasks=10))
        first, second = self.admission(), self.admission(vm_id="e2")
        for admission in (first, second, first):
            admission.run_pass()
        self.assertThat(self.sent_indexes(), Equals(list(range(10))))

    def test_two_entries_that_read_the_same_rows_admit_once(self):
        self.declare(make_job(tasks=3))
        table = FaultyTable(self.table)
        table.before_commit = self.admission(vm_id="e2").run_pass
        self.admission(table).run_pass()
        self.assertThat(self.sent_indexes(), Equals([0, 1, 2]))

    def test_tasks_that_a_shard_consumed_meanwhile_are_not_sent_again(self):
        self.declare(make_job(tasks=3))
        table = FaultyTable(self.table)

        def admit_and_consume_inboxes():
            self.admission(vm_id="e2").run_pass()
            keys = tuple(row.key for row in self.table.scan("inbox/"))
            self.table.commit(Transaction((), (), keys))

        table.before_commit = admit_and_consume_inboxes
        self.admission(table).run_pass()
        self.assertThat(self.sent_indexes(), Equals([]))

    def test_lost_answer_does_not_admit_twice(self):
        self.declare(make_job(tasks=3))
        self.table.lose_answers = 1
        admission = self.admission()
        admission.run_pass()
        admission.run_pass()
        self.assertThat(self.sent_indexes(), Equals([0, 1, 2]))

    def test_impossible_job_has_a_typed_reason_and_sends_no_tasks(self):
        self.declare(make_job(size=HUGE))
        admission = self.admission()
        admission.run_pass()
        self.assertThat(self.states(), Equals({"j@1": "impossible"}))
        self.assertThat(self.values("job/")[0]["reason"], StartsWith("JobTooLarge"))
        self.assertThat(self.sent_indexes(), Equals([]))
        self.vms += (make_vm(3, capacity=Size(1_000_000, 9_000)),)
        admission.run_pass()
        self.assertThat(self.states(), Equals({"j@1": "admitted"}))

    def test_quota_below_one_task_is_impossible(self):
        self.declare(make_job(), teams=(Team("team", Size(10, 10)),))
        self.admission().run_pass()
        self.assertThat(self.values("job/")[0]["reason"], StartsWith("QuotaTooSmall"))

    def test_job_waits_for_its_dependency(self):
        self.declare(make_job("a"), make_job("b", after=("a",)))
        admission = self.admission()
        admission.run_pass()
        self.assertThat(self.states(), Equals({"a@1": "admitted", "b@1": "waiting"}))
        self.write_progress("a@1", finished=1)
        admission.run_pass()
        admission.run_pass()
        self.assertThat(self.states(), Equals({"a@1": "finished", "b@1": "admitted"}))

    def test_completion_needs_every_task_and_deletes_progress_rows(self):
        self.declare(make_job(tasks=3))
        admission = self.admission()
        admission.run_pass()
        self.write_progress("j@1", finished=1, failed=1)
        admission.run_pass()
        self.assertThat(self.states(), Equals({"j@1": "admitted"}))
        self.write_progress("j@1", finished=2, failed=1)
        admission.run_pass()
        self.assertThat(self.states(), Equals({"j@1": "failed"}))
        self.assertThat(self.values("progress/"), Equals([]))

    def test_new_generation_runs_again_and_the_same_one_does_not(self):
        self.declare(make_job())
        admission = self.admission()
        admission.run_pass()
        self.write_progress("j@1", finished=1)
        admission.run_pass()
        admission.run_pass()
        self.assertThat(self.states(), Equals({"j@1": "finished"}))
        self.declare(make_job(generation=2))
        admission.run_pass()
        self.assertThat(self.states(), Equals({"j@1": "finished", "j@2": "admitted"}))

    def test_cancellation_is_idempotent_and_unknown_job_is_typed(self):
        self.declare(make_job("a"), make_job("b", after=("a",)))
        self.admission().run_pass()
        for _ in range(2):
            cancel_jobs_by_id(self.table, ("a@1", "b@1"), self.clock())
        self.assertThat(self.states(), Equals({"a@1": "cancelling", "b@1": "cancelled"}))
        self.assertThat(self.values("cancelled/"), HasLength(1))
        unknown = cancel_jobs_by_id(self.table, ("c@1",), self.clock())
        self.assertThat(unknown, IsInstance(NotFound))


class TestSchedules(AdmissionCase):
    def fired(self):
        return [value["job_id"].partition("@")[2] for value in self.values("job/")]

    def test_two_entries_fire_each_instant_once_and_skip_none(self):
        self.declare(make_job(schedule="*/10 * * * *"))
        first, second = self.admission(), self.admission(vm_id="e2")
        first.run_pass()
        self.assertThat(self.fired(), Equals([]))
        for _ in range(3):
            self.clock.sleep(600)
            second.run_pass()
            first.run_pass()
        self.clock.sleep(1_800)
        first.run_pass()
        self.assertThat(
            [name[9:13] for name in self.fired()],
            Equals(["1210", "1220", "1230", "1240", "1250", "1300"]),
        )

    def test_pass_is_due_at_a_firing_a_new_version_and_after_the_interval(self):
        self.declare(make_job(schedule="*/10 * * * *"))
        admission = self.admission()
        for _ in range(2):
            admission.run_pass()
        self.assertThat(admission.is_due(), Equals(False))
        self.clock.sleep(4.0)
        self.assertThat(admission.is_due(), Equals(False))
        self.configuration = self.configuration._replace(version=2)
        self.assertThat(admission.is_due(), Equals(True))
        self.clock.sleep(594.0)
        admission.run_pass()
        self.clock.sleep(1.5)
        self.assertThat(admission.is_due(), Equals(False))
        self.clock.sleep(0.5)
        self.assertThat(admission.is_due(), Equals(True))

    def test_paused_entry_cannot_fire_an_old_instant_again(self):
        self.declare(make_job(schedule="*/10 * * * *"))
        self.admission().run_pass()
        self.clock.sleep(600)
        table = FaultyTable(self.table)
        table.before_commit = self.admission(vm_id="e2").run_pass
        self.admission(table).run_pass()
        self.assertThat(self.fired(), HasLength(1))
        self.assertThat(self.sent_indexes(), Equals([0]))

    def test_stale_entry_cannot_repeat_a_firing_whose_rows_were_pruned(self):
        job = make_job(schedule="*/10 * * * *")
        for pruned in ("job/", "fired/"):
            self.declare(job)
            self.admission().run_pass()
            stale = read_fired(self.table, "j")
            self.clock.sleep(600)
            firing = next_firing(job, stale, self.clock())
            self.clock.sleep(600)
            self.admission(vm_id="e2").run_pass()
            keys = [row.key for row in self.table.scan(pruned)]
            # Only the newest fired row is kept, as after a long pause.
            kept = keys[-1:] if pruned == "fired/" else []
            self.table.commit(Transaction((), (), tuple(set(keys) - set(kept))))
            outcome = self.table.commit(Transaction(firing.conditions, firing.puts))
            self.assertThat(outcome, IsInstance(Conflict))

    def test_time_zone_decides_the_instant(self):
        self.declare(make_job(schedule="0 6 * * *", time_zone="Asia/Ho_Chi_Minh"))
        admission = self.admission()
        admission.run_pass()
        self.clock.sleep(86_400)
        admission.run_pass()
        self.assertThat(self.fired(), Equals(["20260301T230000Z"]))

    def test_invalid_schedule_is_kept_as_typed_failure(self):
        self.declare(make_job(schedule="never", time_zone="UTC"), make_job("k"))
        admission = self.admission()
        admission.run_pass()
        admission.run_pass()
        self.assertThat(admission.invalid_schedule_by_job["j"].tag, Equals("ScheduleInvalid"))
        self.assertThat(self.states(), Equals({"k@1": "admitted"}))


class TestServices(AdmissionCase):
    def replica_sets(self):
        return [
            (replica_set["job_id"], replica_set["indexes"], bool(replica_set["retire_at_s"]))
            for value in self.values("service/")
            for replica_set in value["handed"]
        ]

    def service(self, replicas, **changes):
        return Service("s", "team", ("s",), replicas, SMALL, **changes)

    def test_replicas_are_spread_resized_and_replaced(self):
        admission = self.admission()
        self.declare(services=(self.service(2),))
        admission.run_pass()
        admission.run_pass()
        self.assertThat({row.key.split("/")[1] for row in self.table.scan("inbox/")}, HasLength(2))
        self.declare(services=(self.service(3),))
        admission.run_pass()
        self.assertThat(self.replica_sets(), Equals([("s@r1", [0, 1, 2], False)]))
        self.declare(services=(self.service(1),))
        admission.run_pass()
        self.declare(services=(self.service(2),))
        admission.run_pass()
        self.assertThat(self.replica_sets(), Equals([("s@r1", [0, 3], False)]))
        self.declare(services=(self.service(2, command=("new",)),))
        admission.run_pass()
        self.assertThat(
            self.replica_sets(), Equals([("s@r1", [0, 3], True), ("s@r2", [0, 1], False)])
        )
        self.clock.sleep(60)
        admission.run_pass()
        self.assertThat(self.replica_sets(), Equals([("s@r2", [0, 1], False)]))
        self.declare()
        admission.run_pass()
        self.assertThat(self.replica_sets(), Equals([]))
        self.assertThat(self.values("inbox/"), HasLength(6))

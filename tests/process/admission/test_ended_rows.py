"""Rows of ended jobs: moved once, looked up by key, kept while they prevent a second run."""

from testtools.matchers import Equals
from testtools.matchers import HasLength

from laburnumswitch.process.admission.ended_rows import PRUNE_INTERVAL_S
from laburnumswitch.process.admission.ended_rows import RETENTION_S
from laburnumswitch.process.admission.job_row import cancel_jobs_by_id
from laburnumswitch.process.operating.views import view_jobs
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from tests.fakes import FaultyTable
from tests.process.admission.test_admission import AdmissionCase
from tests.process.admission.test_admission import make_job


class ScanHook:
    """Table that calls ``act`` once, after the first scan of a prefix."""

    def __init__(self, table, prefix, act):
        self.table, self.prefix, self.act = table, prefix, act

    def scan(self, prefix, after=""):
        rows = self.table.scan(prefix, after)
        if prefix == self.prefix and self.act:
            act, self.act = self.act, None
            act()
        return rows

    def __getattr__(self, name):
        return getattr(self.table, name)


class TestEndedRows(AdmissionCase):
    def keys(self):
        return [row.key for prefix in ("ended/", "job/") for row in self.table.scan(prefix)]

    def run_to_end(self, vm_id="e1", **counts):
        admission = self.admission(vm_id=vm_id)
        admission.run_pass()
        self.write_progress("j@1", **(counts or {"finished": 1}))
        admission.run_pass()

    def consume_inboxes(self):
        self.table.commit(Transaction((), (), tuple(r.key for r in self.table.scan("inbox/"))))

    def test_ended_job_is_not_admitted_again_by_any_entry(self):
        self.declare(make_job())
        self.run_to_end()
        self.consume_inboxes()
        attempts = []
        for vm_id in ("e1", "e2"):
            table = FaultyTable(self.table)
            table.before_commit = lambda: attempts.append(1)
            self.admission(table, vm_id=vm_id).run_pass()
        self.assertThat((self.keys(), self.sent_indexes()), Equals((["ended/j@1"], [])))
        self.assertThat(attempts, Equals([]))

    def test_entry_paused_before_its_commit_does_not_admit_what_ended_meanwhile(self):
        self.declare(make_job())
        table = FaultyTable(self.table)

        def run_and_consume_inboxes():
            self.run_to_end("e2")
            self.consume_inboxes()

        table.before_commit = run_and_consume_inboxes
        self.admission(table).run_pass()
        self.assertThat((self.keys(), self.sent_indexes()), Equals((["ended/j@1"], [])))

    def test_job_that_ends_between_the_reads_is_not_admitted_again(self):
        self.declare(make_job())
        self.admission().run_pass()
        self.consume_inboxes()
        self.write_progress("j@1", finished=1)
        table = ScanHook(self.table, "job/", self.admission(vm_id="e2").run_pass)
        self.admission(table).run_pass()
        self.assertThat((self.keys(), self.sent_indexes()), Equals((["ended/j@1"], [])))

    def test_lost_answer_of_the_move_leaves_one_row(self):
        self.declare(make_job())
        admission = self.admission()
        admission.run_pass()
        self.write_progress("j@1", finished=1)
        self.table.lose_answers = 1
        admission.run_pass()
        admission.run_pass()
        self.assertThat(self.keys(), Equals(["ended/j@1"]))

    def test_dependent_starts_only_after_its_predecessor_finished(self):
        for failed, state in ((1, "waiting"), (0, "admitted")):
            self.renew_table()
            self.declare(make_job())
            self.run_to_end(finished=1 - failed, failed=failed)
            self.declare(make_job(), make_job("k", after=("j",)))
            self.admission(vm_id="e2").run_pass()
            self.assertThat(self.states()["k@1"], Equals(state))

    def renew_table(self):
        self.table = type(self.table)(clock=self.clock)

    def test_job_cancelled_before_admission_stays_cancelled(self):
        self.declare(make_job("k", after=("j",)))
        self.admission().run_pass()
        for _ in range(2):
            outcome = cancel_jobs_by_id(self.table, ("k@1",), self.clock())
            self.assertThat(isinstance(outcome, Committed), Equals(True))
        self.admission().run_pass()
        self.assertThat(self.states(), Equals({"k@1": "cancelled"}))
        self.assertThat(self.keys(), Equals(["ended/k@1"]))

    def test_reader_during_the_move_sees_the_job_once(self):
        for prefix in ("job/", "ended/"):
            self.renew_table()
            self.declare(make_job())
            self.admission().run_pass()
            table = ScanHook(self.table, prefix, self.run_to_end)
            self.assertThat([view.job_id for view in view_jobs(table)], Equals(["j@1"]))

    def test_progress_written_again_after_the_end_is_deleted(self):
        self.declare(make_job())
        self.run_to_end()
        self.write_progress("j@1", finished=1)
        self.admission().run_pass()
        self.assertThat(self.values("progress/"), Equals([]))

    def test_row_that_an_older_version_left_is_moved(self):
        self.declare(make_job())
        self.run_to_end()
        (value,) = self.values("ended/")
        self.table.commit(Transaction((), (Put("job/j@1", value),), ("ended/j@1",)))
        self.admission().run_pass()
        self.assertThat((self.keys(), self.values("ended/")), Equals((["ended/j@1"], [value])))

    def test_expired_rows_are_deleted_except_those_that_prevent_a_second_run(self):
        self.declare(make_job())
        self.run_to_end()
        (value,) = self.values("ended/")
        names = ("j@0", "gone@1", "s@20260301T110000Z", "s@20260301T120000Z")
        puts = tuple(
            Put(f"ended/{job_id}", {**value, "job_id": job_id, "name": job_id.partition("@")[0]})
            for job_id in names
        )
        self.declare(make_job(), make_job("s", schedule="0 0 1 1 *"))
        for index, put in enumerate(puts):
            created_s = value["created_s"] - 10.0 + index
            self.table.commit(
                Transaction((), (Put(put.key, {**put.value, "created_s": created_s}),))
            )
        admission = self.admission()
        self.clock.sleep(RETENTION_S - 1.0)
        admission.run_pass()
        self.assertThat(self.keys(), HasLength(5))
        self.clock.sleep(PRUNE_INTERVAL_S)
        admission.run_pass()
        self.assertThat(self.keys(), Equals(["ended/j@1", "ended/s@20260301T120000Z"]))

"""Tests of commits: lost answers, late writes and superseded terms."""

from time import monotonic
from time import time

from gevent import sleep
from gevent import spawn
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.crashes import CRASHES_PARTS
from laburnumswitch.process.dispatch.crashes import CRASHES_TABLE
from laburnumswitch.process.dispatch.dispatcher import FLEET_PARTS
from laburnumswitch.process.dispatch.dispatcher import FLEET_TABLE
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.dispatch.model_store import LEARNED_KEY
from laburnumswitch.process.dispatch.placements import PLACEMENTS_TABLE
from laburnumswitch.process.dispatch.placements import ROWS_PER_BATCH
from laburnumswitch.process.dispatch.progress import decode_progress
from laburnumswitch.process.dispatch.progress import progress_key
from laburnumswitch.process.dispatch.progress import restore_progress
from laburnumswitch.process.dispatch.queue_store import MAX_QUEUED_PARTS
from laburnumswitch.process.dispatch.queue_store import QUEUES_TABLE
from laburnumswitch.process.dispatch.recorder import JOBS_PER_BATCH
from laburnumswitch.process.dispatch.recorder import MAX_ENTRIES
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.dispatch.recorder import RecorderContext
from laburnumswitch.process.dispatch.recorder import RELEASE_LIMIT_S
from laburnumswitch.process.dispatch.silences import Silences
from laburnumswitch.process.dispatch.silences import SILENCES_PARTS
from laburnumswitch.process.dispatch.silences import SILENCES_TABLE
from laburnumswitch.process.dispatch.unread_workers import UNREAD_KEY
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import read_term
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.feed_table import FeedMemoryTable
from tests.process.dispatch.harness import make_submission


class TestRecorder(TestCase):
    def setUp(self):
        super().setUp()
        self.table = FeedMemoryTable()
        self.table.commit(Transaction((), (Put(TERM_KEY, Term(1, "vm-1", "i")),)))
        context = RecorderContext(
            self.table, DecisionLog("vm-1", time, 1000), monotonic, monotonic, sleep
        )
        self.recorder = Recorder(context, read_term(self.table), monotonic())
        self.job = Job(make_submission("j1", Step(3)))

    def _stored(self):
        row = self.table.read((progress_key("j1"),))[progress_key("j1")]
        return decode_progress(row.key, row.value)

    def _finish_task(self, index):
        self.job.mark_done(self.job.occurrences[0].steps[0].tasks[index])
        return self.recorder.queue_job(self.job)

    def _note_commits(self):
        """Return a list to which each transaction is added from now on."""
        transactions = []
        commit = self.table.commit

        def commit_and_note(transaction):
            transactions.append(transaction)
            return commit(transaction)

        self.table.commit = commit_and_note
        return transactions

    def test_commit_with_a_lost_answer_is_confirmed_and_not_repeated(self):
        self._finish_task(0)
        self.table.lose_answers = 1
        self.assertThat(self.recorder.commit(), Equals(True))
        self.assertThat(self._stored().steps[0].done, Equals("1"))
        self.assertThat(self.table.commits, Equals(2))

    def test_lease_counts_from_the_first_attempt_if_the_answer_to_it_was_lost(self):
        """A successor that has read the result counts the lease of this owner from then."""
        commit, read = self.table.commit, self.table.read

        def lose_look_up(keys):
            self.table.read = read
            sleep(0.2)
            return Unavailable("no answer")

        def lose_answer(transaction):
            commit(transaction)
            self.table.commit, self.table.read = commit, lose_look_up
            return AnswerLost("store", "timeout")

        self.table.commit = lose_answer
        began_s = monotonic()
        self.assertThat(self.recorder.commit(), Equals(True))
        self.assertThat(self.recorder.last_commit_boot_s - began_s, LessThan(0.1))

    def test_delayed_write_cannot_overwrite_a_later_one(self):
        self._finish_task(0)
        self.table.delayed_commits = 1
        self.assertThat(self.recorder.commit(), Equals(True))
        self._finish_task(1)
        self.assertThat(self.recorder.commit(), Equals(True))
        self.assertThat(self.table.apply_delayed_commits(), Equals(0))
        self.assertThat(self._stored().steps[0].done, Equals("3"))

    def test_superseded_owner_commits_nothing(self):
        self.table.commit(Transaction((), (Put(TERM_KEY, Term(2, "vm-2", "k")),)))
        self._finish_task(0)
        self.assertThat(self.recorder.commit(), Equals(False))
        self.assertThat(self.recorder.is_certainly_owner(), Equals(False))
        self.assertThat(
            self.table.read((progress_key("j1"),))[progress_key("j1")].version, Equals(0)
        )

    def test_batch_numbers_tell_when_a_change_is_stored(self):
        batch = self._finish_task(0)
        self.assertThat(batch, GreaterThan(self.recorder.committed))
        self.recorder.commit()
        self.assertThat(self.recorder.committed, Equals(batch))
        self.assertThat(self.job.is_stored, Equals(True))

    def test_no_commit_exceeds_the_entries_of_a_transaction(self):
        """The store would refuse every attempt, and the owner could never commit again."""
        transactions = self._note_commits()
        self.recorder.queue_removals(tuple(f"progress/{number}" for number in range(300)))
        self.recorder.queue_job(self.job)
        self.recorder.release()
        sizes = [len(each.conditions) + len(each.puts) + len(each.deletes) for each in transactions]
        self.assertThat(max(sizes), LessThan(MAX_ENTRIES + 1))
        removed = {key for each in transactions for key in each.deletes}
        self.assertThat(len(removed), Equals(300))

    def test_no_commit_of_all_kinds_of_rows_exceeds_the_entries_of_a_transaction(self):
        """So many changes wait when workers of a zone are lost during a slow commit."""
        transactions = self._note_commits()
        for number in range(JOBS_PER_BATCH):
            self.recorder.queue_job(Job(make_submission(f"j{number}", Step(3))))
        count_by_table = {
            FLEET_TABLE: FLEET_PARTS,
            CRASHES_TABLE: CRASHES_PARTS,
            SILENCES_TABLE: SILENCES_PARTS,
            PLACEMENTS_TABLE: ROWS_PER_BATCH,
            QUEUES_TABLE: MAX_QUEUED_PARTS,
        }
        for key in (SUCCESSION_KEY, LEARNED_KEY, UNREAD_KEY):
            self.recorder.queue_row(key, 1)
        for table, count in count_by_table.items():
            for number in range(count):
                self.recorder.queue_row(f"{table}/{number}", number)
        self.recorder.release()
        sizes = [len(each.conditions) + len(each.puts) + len(each.deletes) for each in transactions]
        self.assertThat(max(sizes), LessThan(MAX_ENTRIES + 1))

    def test_announcement_is_stored_with_the_silences_however_much_waits(self):
        """Silences count under the owner that acted last: neither may be stored alone."""
        transactions = self._note_commits()
        for number in range(3 * JOBS_PER_BATCH):
            self.recorder.queue_job(Job(make_submission(f"j{number}", Step(3))))
        self.recorder.queue_removals(tuple(f"progress/x{number}" for number in range(300)))
        silences = Silences(1, self.recorder)
        silences.announce(f"{SILENCES_TABLE}/{number}" for number in range(SILENCES_PARTS))
        batch = self.recorder.queue_row(SUCCESSION_KEY, 1)
        self.recorder.commit()
        self.assertThat(self.recorder.committed, Equals(batch))
        keys = {put.key for put in transactions[0].puts}
        tables = [key.partition("/")[0] for key in keys]
        self.assertThat(SUCCESSION_KEY in keys, Equals(True))
        self.assertThat(tables.count(SILENCES_TABLE), Equals(SILENCES_PARTS))

    def test_progress_is_restored(self):
        self._finish_task(1)
        task = self.job.occurrences[0].steps[0].tasks[2]
        task.checkpoint = "c"
        self.job.count_failure(task, 5, 3)
        self.recorder.queue_job(self.job)
        self.recorder.commit()
        successor = Job(self.job.submission)
        restore_progress(successor, self._stored())
        tasks = successor.occurrences[0].steps[0].tasks
        self.assertThat([each.is_done for each in tasks], Equals([False, True, False]))
        self.assertThat(tasks[2].failed_runs, Equals({5}))
        self.assertThat(tasks[2].checkpoint, Equals("c"))
        successor.count_failure(tasks[2], 5, 3)
        self.assertThat(tasks[2].failed_runs, Equals({5}))
        self.assertThat(successor.is_final(), Equals(False))

    def test_owner_without_its_store_gives_up_its_last_commits(self):
        # It repeated them for ever, and never answered its callers before it was killed.
        self._finish_task(0)
        self.table.down = True
        release = spawn(self.recorder.release)
        release.join(timeout=RELEASE_LIMIT_S + 10.0)
        self.assertThat(release.ready(), Equals(True))
        self.assertThat(self.recorder.is_lost, Equals(True))

    def test_commit_that_shows_a_lapse_does_not_wait_for_the_interval(self):
        """A lease of a silent worker was noticed as expired up to 1.25 s late."""
        spawn(self.recorder.run, lambda: False)
        self.assertThat(self.recorder.commit(), Equals(True))
        lapsed_s = monotonic()
        self.recorder.commit_after(lapsed_s, 1.0)
        self.assertThat(self.recorder.last_owned_s(), GreaterThan(lapsed_s))
        self.assertThat(monotonic() - lapsed_s, LessThan(0.2))
        batches = self.recorder.batches
        self.recorder.commit_after(lapsed_s, 1.0)
        self.assertThat(self.recorder.batches, Equals(batches))

    def test_released_term_has_no_owner(self):
        self._finish_task(0)
        self.recorder.release()
        self.assertThat(read_term(self.table).term.owner, Equals(""))
        self.assertThat(self._stored().state, Equals(JobState.QUEUED))

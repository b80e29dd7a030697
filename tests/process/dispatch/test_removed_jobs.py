"""Tests of which removed jobs are remembered."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.removed_jobs import REMEMBERED_S
from laburnumswitch.process.dispatch.removed_jobs import RemovedJobs

REMOVED_S = 1000.0
VERSION = 7


class TestRemovedJobs(TestCase):
    def setUp(self):
        super().setUp()
        self.removed_jobs = RemovedJobs()
        self.removed_jobs.add("j1", VERSION, REMOVED_S)

    def check_held(self, is_held):
        self.assertThat(self.removed_jobs.holds("j1"), Equals(is_held))

    def test_holds_only_removed_jobs(self):
        self.check_held(True)
        self.assertThat(self.removed_jobs.holds("j2"), Equals(False))

    def test_submission_from_before_the_removal_changes_nothing(self):
        self.removed_jobs.note_submission("j1", VERSION - 1)
        self.removed_jobs.note_submission("j2", VERSION + 1)
        self.check_held(True)

    def test_submission_after_the_removal_is_a_new_job(self):
        self.removed_jobs.note_submission("j1", VERSION + 1)
        self.check_held(False)

    def test_is_held_while_the_submissions_cannot_be_read(self):
        """However long ago the removal was, the next read may return what was stored before."""
        self.removed_jobs.forget(REMOVED_S)
        self.removed_jobs.forget(REMOVED_S + REMEMBERED_S)
        self.check_held(True)

    def test_is_forgotten_once_later_reads_cannot_return_it(self):
        self.removed_jobs.forget(REMOVED_S + REMEMBERED_S + 0.1)
        self.check_held(False)

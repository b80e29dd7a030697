"""What the demonstration takes out of the declarations and of the answers that it sees."""

from testtools import TestCase
from testtools.matchers import Equals

from scripts.probe import version_seen
from scripts.publication import PROBE_HOST
from scripts.publication import quicken
from scripts.publication import SECOND_PROBE_HOST
from scripts.steps import job_of
from standin.caller_connection import CallerAnswer

ANSWERED = CallerAnswer("answered", 200)
UNKNOWN_HOST = CallerAnswer("not-run", 404)
NO_REPLICA = CallerAnswer("not-run", 503)


class TestPublication(TestCase):
    def test_jobs_run_once_and_faster(self):
        text = "run_time: 40m\nschedule: 30 21 * * *\ntime_zone: Asia/Ho_Chi_Minh\nretries: 3\n"
        self.assertThat(quicken(text), Equals("run_time: 4800ms\nretries: 3\n"))


class TestJobOf(TestCase):
    def test_longest_declared_name_wins(self):
        names = {"price", "price-sync"}
        self.assertThat(job_of("price-sync@2:7", names), Equals("price-sync"))
        self.assertThat(job_of("unknown:7", names), Equals("unknown:7"))


class TestVersionSeen(TestCase):
    def seen(self, first: CallerAnswer, second: CallerAnswer) -> int:
        return version_seen({PROBE_HOST: first, SECOND_PROBE_HOST: second}.__getitem__)

    def test_second_host_tells_the_version(self):
        self.assertThat(self.seen(ANSWERED, ANSWERED), Equals(2))
        self.assertThat(self.seen(ANSWERED, UNKNOWN_HOST), Equals(1))

    def test_answers_for_other_reasons_tell_nothing(self):
        self.assertThat(self.seen(ANSWERED, NO_REPLICA), Equals(0))
        self.assertThat(self.seen(NO_REPLICA, UNKNOWN_HOST), Equals(0))

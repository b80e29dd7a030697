"""Declarations that the demonstration publishes, and version detection from answers."""

from testtools import TestCase
from testtools.matchers import Equals

from scripts.probe import detect_version
from scripts.publication import accelerate_jobs
from scripts.publication import PROBE_HOST
from scripts.publication import SECOND_PROBE_HOST
from scripts.steps import job_name_of
from standin.caller_connection import CallerAnswer

ANSWERED = CallerAnswer("answered", 200)
UNKNOWN_HOST = CallerAnswer("not-run", 404)
NO_REPLICA = CallerAnswer("not-run", 503)


class TestPublication(TestCase):
    def test_schedules_are_removed_and_run_times_shortened(self):
        text = "run_time: 40m\nschedule: 30 21 * * *\ntime_zone: Asia/Ho_Chi_Minh\nretries: 3\n"
        self.assertThat(accelerate_jobs(text), Equals("run_time: 4800ms\nretries: 3\n"))


class TestJobOf(TestCase):
    def test_longest_matching_name_is_chosen(self):
        names = {"price", "price-sync"}
        self.assertThat(job_name_of("price-sync@2:7", names), Equals("price-sync"))
        self.assertThat(job_name_of("unknown:7", names), Equals("unknown:7"))


class TestVersionSeen(TestCase):
    def seen(self, first: CallerAnswer, second: CallerAnswer) -> int:
        return detect_version({PROBE_HOST: first, SECOND_PROBE_HOST: second}.__getitem__)

    def test_answer_for_second_host_determines_version(self):
        self.assertThat(self.seen(ANSWERED, ANSWERED), Equals(2))
        self.assertThat(self.seen(ANSWERED, UNKNOWN_HOST), Equals(1))

    def test_unavailable_service_is_inconclusive(self):
        self.assertThat(self.seen(ANSWERED, NO_REPLICA), Equals(0))
        self.assertThat(self.seen(NO_REPLICA, UNKNOWN_HOST), Equals(0))

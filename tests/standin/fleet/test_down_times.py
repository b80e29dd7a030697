"""Tests of the check of how long long-running tasks are down, which must report each violation."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.size import Size
from standin.fleet.down_times import find_down_times
from standin.fleet.down_times import find_late
from standin.fleet.down_times import find_worker_spans
from standin.fleet.run_records import collect_runs
from standin.fleet.run_records import Span
from standin.fleet.worker import spec_checksum

TASK = "j.0.0.0"
OTHER = "k.0.0.0"
CAPACITY = Size(2000, 1000)
STEP = Step(1, cpu_millis=1000, memory_mb=100, long_running=True)
SUBMISSION_BY_ID = {
    "j": Submission("j", "q", "", (STEP,), 0.0),
    "k": Submission("k", "q", "", (Step(1, cpu_millis=1000, memory_mb=100),), 0.0),
}
END_S = 40.0


def plain(fact, at):
    return {"fact": fact, "at": at}


def boot(worker, at=0.0):
    return {**plain("boot", at), "worker": worker, "born": int(at) + 1, "rate": 1.0}


def start(at, run=1, task=TASK):
    fields = {"fence": 1, "spec": spec_checksum(""), "checkpoint": ""}
    return {**plain("start", at), "task": task, "run": run, **fields}


def end(at, how="stopped", run=1, task=TASK):
    return {**plain("end", at), "task": task, "run": run, "how": how, "number": 1}


def late(*facts_by_worker, troubles=(), until_s=END_S):
    runs = [run for facts in facts_by_worker for run in collect_runs(facts)]
    spans = [span for facts in facts_by_worker for span in find_worker_spans(facts, CAPACITY)]
    down_times = find_down_times([run for run in runs if run.task.job_id == "j"], until_s)
    violations = find_late(down_times, runs, SUBMISSION_BY_ID, spans, list(troubles))
    return [(violation.guarantee, violation.at_s) for violation in violations]


def ends_at_ten(*then):
    return [boot("w1"), start(1.0), plain("gone", 10.0), *then]


def runs_again(at):
    return [boot("w2"), start(at, run=2)]


class TestDownTime(TestCase):
    def test_task_that_runs_again_within_nine_seconds_is_in_time(self):
        self.assertThat(late(ends_at_ten(), runs_again(18.9)), Equals([]))

    def test_task_that_runs_again_later_is_reported(self):
        self.assertThat(late(ends_at_ten(), runs_again(19.1)), Equals([("down", 19.0)]))

    def test_task_that_does_not_run_again_is_reported(self):
        self.assertThat(late(ends_at_ten(), [boot("w2")]), Equals([("down", 19.0)]))
        self.assertThat(late(ends_at_ten(), [boot("w2")], until_s=18.9), Equals([]))

    def test_time_counts_from_the_last_run_whoever_started_it(self):
        short = [boot("w2"), start(15.0, run=2), end(15.5, run=2)]
        again = [boot("w3"), start(24.4, run=3)]
        self.assertThat(late(ends_at_ten(), short, again), Equals([]))
        again = [boot("w3"), start(24.6, run=3)]
        self.assertThat(late(ends_at_ten(), short, again), Equals([("down", 24.5)]))

    def test_task_that_never_ran_and_one_that_still_runs_are_not_down(self):
        self.assertThat(late([boot("w1"), start(1.0)], [boot("w2")]), Equals([]))

    def test_longest_down_time_comes_first(self):
        facts = [boot("w1"), start(1.0), end(2.0), start(5.0, run=2), end(6.0, run=2)]
        durations_s = [down.duration_s for down in find_down_times(collect_runs(facts), 7.0)]
        self.assertThat(durations_s, Equals([3.0, 1.0]))


class TestTrouble(TestCase):
    def test_trouble_must_be_over_for_four_seconds_before_the_last_three(self):
        facts = ends_at_ten(), runs_again(21.9)
        self.assertThat(late(*facts, troubles=[Span(11.0, 15.0)]), Equals([]))
        self.assertThat(late(*facts, troubles=[Span(11.0, 14.0)]), Equals([("down", 21.0)]))

    def test_trouble_long_before_does_not_count(self):
        facts = ends_at_ten(), runs_again(19.1)
        self.assertThat(late(*facts, troubles=[Span(10.0, 11.9)]), Equals([("down", 19.0)]))

    def test_trouble_after_nine_seconds_does_not_count(self):
        facts = ends_at_ten(), runs_again(30.0)
        self.assertThat(late(*facts, troubles=[Span(19.5, 29.0)]), Equals([("down", 19.0)]))

    def test_troubles_one_after_the_other_count_together(self):
        troubles = [Span(17.0, 18.0), Span(10.0, 11.0), Span(13.0, 14.0)]
        self.assertThat(late(ends_at_ten(), runs_again(24.9), troubles=troubles), Equals([]))
        found = late(ends_at_ten(), runs_again(25.1), troubles=troubles)
        self.assertThat(found, Equals([("down", 25.0)]))


class TestRoom(TestCase):
    def test_room_for_one_task_only_is_not_enough(self):
        other = [boot("w2"), start(2.0, task=OTHER)]
        self.assertThat(late(ends_at_ten(), other), Equals([]))

    def test_room_must_be_there_for_three_seconds(self):
        other = [boot("w2"), start(2.0, task=OTHER), end(17.0, task=OTHER)]
        self.assertThat(late(ends_at_ten(), other), Equals([("down", 20.0)]))
        self.assertThat(late(ends_at_ten(), other, until_s=19.9), Equals([]))

    def test_worker_that_leaves_is_lost_or_has_not_started_has_no_room(self):
        self.assertThat(late(ends_at_ten()), Equals([]))
        self.assertThat(late(ends_at_ten(), [boot("w2"), plain("leaving", 18.0)]), Equals([]))
        self.assertThat(late(ends_at_ten(), [boot("w2"), plain("gone", 18.0)]), Equals([]))
        self.assertThat(late(ends_at_ten(), [boot("w2", 18.0)]), Equals([("down", 21.0)]))

    def test_worker_that_starts_again_has_room(self):
        again = ends_at_ten(boot("w1", 12.0))
        self.assertThat(late(again), Equals([("down", 19.0)]))

    def test_rooms_of_several_workers_count_together(self):
        first = [boot("w2"), start(2.0, task=OTHER)]
        second = [boot("w3"), start(2.0, task="k.0.0.1")]
        self.assertThat(late(ends_at_ten(), first, second), Equals([("down", 19.0)]))
